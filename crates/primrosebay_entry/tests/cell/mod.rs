//! A cell of entry instances whose connections to the log have faults set by the test, with a clock
//! that the test advances.
#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

use async_std::task;
use primrosebay_entry::auth;
use primrosebay_entry::instance::Instance;
use primrosebay_entry::shared::{Setup, Shared};
use primrosebay_protocol::list::{self, Liveness, Role};
use primrosebay_protocol::log::CONFIG_STREAM;
use primrosebay_settings::{Limits, Timeouts};
use primrosebay_standin::list::ListService;
use primrosebay_standin::log::{LogService, Settings};
use primrosebay_standin::worker::WorkerService;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;
use primrosebay_transport::clock::Clock;
use primrosebay_transport::http_client::Client;
use primrosebay_transport::http_server::{self, Server};
use tide::http::Method;

/// The operator key that all instances of the cell accept.
pub const OPERATOR: &str = "operator-key";

/// A fault between one instance and the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// Calls are refused with status 503.
    Down,
    /// Appends take effect and are answered with status 502.
    AnswersLost,
    /// Reads of the configuration are refused with status 503.
    ConfigUnreadable,
    /// Both `AnswersLost` and `ConfigUnreadable`.
    LostUnreadable,
}

/// An entry instance of the cell.
pub struct Node {
    pub instance: Instance,
    fault: Arc<AtomicU8>,
    /// The number of log calls refused since the fault was set.
    refused: Arc<AtomicU64>,
    /// Whether the instance exchanges heartbeats with the other linked ones.
    pub linked: bool,
}

impl Node {
    pub fn shared(&self) -> &Arc<Shared> {
        self.instance.shared()
    }

    pub fn set_fault(&self, fault: Fault) {
        self.fault.store(fault as u8, Ordering::SeqCst);
        self.refused.store(0, Ordering::SeqCst);
    }
}

/// Entry instances with a log and an instance list.
pub struct Cell {
    pub nodes: Vec<Node>,
    clock: Arc<AtomicU64>,
    client: Client,
    log: tide::Server<Arc<LogService>>,
    list: SocketAddr,
    options: (Limits, Timeouts),
    real_clock: bool,
    servers: Vec<Server>,
}

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

async fn listen<S: Clone + Send + Sync + 'static>(app: tide::Server<S>) -> Server {
    let limits = http_server::Limits::default();
    Server::start(loopback(), app, limits)
        .await
        .expect("port 0")
}

/// Returns a proxy between an instance and the log that injects `fault` and counts refused calls.
fn log_proxy(
    log: tide::Server<Arc<LogService>>,
    fault: Arc<AtomicU8>,
    refused: Arc<AtomicU64>,
) -> tide::Server<()> {
    let answer = move |request: tide::Request<()>| {
        let (log, fault) = (log.clone(), fault.load(Ordering::SeqCst));
        let refused = Arc::clone(&refused);
        async move {
            let append = request.method() == Method::Post;
            let unreadable =
                fault == Fault::ConfigUnreadable as u8 || fault == Fault::LostUnreadable as u8;
            let config = request.url().path().contains(CONFIG_STREAM);
            if fault == Fault::Down as u8 || unreadable && config && !append {
                refused.fetch_add(1, Ordering::SeqCst);
                return Ok(tide::Response::new(503));
            }
            let inner: tide::http::Request = request.into();
            let response: tide::Response = log.respond(inner).await?;
            if append
                && (fault == Fault::AnswersLost as u8
                    || unreadable && fault != Fault::ConfigUnreadable as u8)
            {
                return Ok(tide::Response::new(502));
            }
            Ok(response)
        }
    };
    let mut app = tide::new();
    app.at("/*").all(answer);
    app
}

/// Returns the list entry of the instance in `zone`.
fn entry(zone: &str) -> list::Instance {
    list::Instance {
        name: format!("entry-{zone}").into(),
        role: Role::Entry,
        zone: zone.into(),
        rack: "".into(),
        service: "".into(),
        address: "".into(),
        state: Liveness::Live,
        resources: Resources::ZERO,
    }
}

/// Returns the list entry of a worker in zone `a` that does not answer, because nothing listens on
/// the reserved port 0.
fn worker() -> list::Instance {
    list::Instance {
        name: "worker-1".into(),
        role: Role::Worker,
        rack: "rack-1".into(),
        address: "127.0.0.1:0".into(),
        resources: Resources {
            cores_milli: 64_000,
            memory_mib: 131_072,
            accelerators: 0,
        },
        ..entry("a")
    }
}

impl Cell {
    pub async fn start(zones: &[&str]) -> Self {
        let limits = Limits {
            body_bytes: 4096,
            watch_events: 16,
            ..Limits::default()
        };
        let timeouts = Timeouts {
            poll_ms: 50,
            ..Timeouts::default()
        };
        Self::with(zones, limits, timeouts, Settings::default()).await
    }

    pub async fn with(zones: &[&str], limits: Limits, timeouts: Timeouts, log: Settings) -> Self {
        Self::build(zones, (limits, timeouts), log, None).await
    }

    /// Starts a cell with a worker that runs tasks in zone `a`, on the real clock.
    pub async fn with_worker(zones: &[&str]) -> Self {
        let service = Arc::new(WorkerService::new(1, worker().resources));
        let server = listen(service.app()).await;
        let timeouts = Timeouts {
            poll_ms: 50,
            ..Timeouts::default()
        };
        let options = (Limits::default(), timeouts);
        Self::build(zones, options, Settings::default(), Some(server)).await
    }

    async fn build(
        zones: &[&str],
        options: (Limits, Timeouts),
        log: Settings,
        server: Option<Server>,
    ) -> Self {
        let mut listed: Vec<_> = zones.iter().map(|zone| entry(zone)).collect();
        let address = server
            .as_ref()
            .map(|server| server.address().to_string().into());
        listed.push(list::Instance {
            address: address.unwrap_or(worker().address),
            ..worker()
        });
        let list = ListService::new(listed);
        let list = listen(list.app()).await;
        let mut cell = Self {
            nodes: Vec::new(),
            // The coordinator takes time 0 for one that was never set.
            clock: Arc::new(AtomicU64::new(1000)),
            client: Client::new(),
            log: LogService::new(log).app(),
            list: list.address(),
            options,
            real_clock: server.is_some(),
            servers: std::iter::once(list).chain(server).collect(),
        };
        for zone in zones {
            cell.add(zone).await;
        }
        cell
    }

    /// Adds a worker that runs tasks in `zone` to a cell that was started with one.
    pub async fn add_worker(&mut self, zone: &str) {
        let service = Arc::new(WorkerService::new(2, worker().resources));
        let server = listen(service.app()).await;
        let instance = list::Instance {
            name: format!("worker-{zone}").into(),
            zone: zone.into(),
            address: server.address().to_string().into(),
            ..worker()
        };
        let path = format!("/instances/{}", instance.name);
        let body = serde_json::to_vec(&instance).expect("instances are encodable");
        let limit = Duration::from_secs(20);
        let answer = self
            .client
            .bytes(self.list, Method::Put, &path, &[], Some(body), limit);
        let (status, _) = answer.await.expect("an answer");
        assert!(status.is_success());
        self.servers.push(server);
    }

    /// Stops the worker of a cell that was started with one.
    pub async fn stop_worker(&mut self) {
        assert!(
            self.real_clock,
            "only cells on the real clock have a worker"
        );
        // The server of the instance list is the first one.
        self.servers.remove(1).close().await;
    }

    /// Starts an instance in `zone` and waits until it has read the log and the instance list.
    pub async fn add(&mut self, zone: &str) {
        let (fault, refused) = (Arc::new(AtomicU8::new(0)), Arc::default());
        let log = listen(log_proxy(
            self.log.clone(),
            Arc::clone(&fault),
            Arc::clone(&refused),
        ))
        .await;
        let clock = Arc::clone(&self.clock);
        let clock = if self.real_clock {
            Clock::default()
        } else {
            Clock::new(move || Time(clock.load(Ordering::SeqCst)))
        };
        let instance = Instance::start(Setup {
            name: format!("entry-{zone}").into(),
            zone: zone.into(),
            region: "north".into(),
            address: loopback(),
            log: log.address(),
            list: self.list,
            operators: vec![auth::hash(OPERATOR).into()],
            call_timeout: Duration::from_secs(5),
            limits: self.options.0.clone(),
            timeouts: self.options.1.clone(),
            clock,
        });
        let instance = instance.await.expect("port 0");
        self.servers.push(log);
        let shared = Arc::clone(instance.shared());
        self.nodes.push(Node {
            instance,
            fault,
            refused,
            linked: true,
        });
        let listed = || !shared.directory().is_empty();
        let fresh = || {
            shared
                .configuration
                .with_freshness(|f| f.current(shared.now()))
        };
        self.wait(|_| fresh() && listed()).await;
    }

    /// Exchanges heartbeats between linked instances.
    pub fn exchange_heartbeats(&self) {
        let linked = || self.nodes.iter().map(Node::shared).zip(&self.nodes);
        let linked = || {
            linked()
                .filter(|(_, node)| node.linked)
                .map(|(shared, _)| shared)
        };
        for from in linked() {
            let now = from.now();
            let report = from.configuration.with_freshness(|f| f.report(now));
            for to in linked().filter(|to| !Arc::ptr_eq(to, from)) {
                let (now, report) = (to.now(), report.clone());
                to.configuration
                    .with_freshness(|f| f.record_report(now, now, report));
            }
        }
    }

    /// Advances the clock in steps of the heartbeat interval of 400 ms. After each step, instances
    /// without a fault confirm the end of the log, and linked instances exchange heartbeats.
    pub async fn advance(&self, ms: u64) {
        for _ in 0..ms / 400 {
            let now = self.clock.fetch_add(400, Ordering::SeqCst) + 400;
            let confirmed = |node: &Node| {
                let report = node
                    .shared()
                    .configuration
                    .with_freshness(|f| f.report(Time(now)));
                let up = node.fault.load(Ordering::SeqCst) == Fault::None as u8;
                !up || report.age.is_some_and(|age| age == 0)
            };
            self.wait(|cell| cell.nodes.iter().all(confirmed)).await;
            self.exchange_heartbeats();
        }
    }

    /// Waits until `done` holds, and panics after 20,000 polls, at least 1 ms apart, which no
    /// healthy run needs.
    pub async fn wait(&self, done: impl Fn(&Self) -> bool) {
        for _ in 0..20_000 {
            if done(self) {
                return;
            }
            self.exchange_heartbeats();
            task::sleep(Duration::from_millis(1)).await;
        }
        panic!("the condition does not hold");
    }

    /// Sets a fault under which reads are refused, and waits until no earlier read is in flight.
    pub async fn block_config_reads(&self, at: usize, fault: Fault) {
        self.nodes[at].set_fault(fault);
        let refused = |cell: &Self| cell.nodes[at].refused.load(Ordering::SeqCst) > 0;
        self.wait(refused).await;
    }

    /// Calls the API of the instance at index `at`, while linked instances exchange heartbeats.
    /// Without a `key`, the call has no authorization header. Returns the status and the body.
    pub async fn call(
        &self,
        at: usize,
        key: &str,
        method: Method,
        path: &str,
        body: impl Into<Vec<u8>>,
    ) -> (u16, String) {
        let bearer = format!("Bearer {key}");
        let headers: &[(&str, &str)] = match key {
            "" => &[],
            _ => &[("authorization", &bearer)],
        };
        let body = Some(body.into()).filter(|body| !body.is_empty());
        let address = self.nodes[at].instance.address();
        let limit = Duration::from_secs(20);
        let answer = self
            .client
            .bytes(address, method, path, headers, body, limit);
        let heartbeats = async {
            loop {
                self.exchange_heartbeats();
                task::sleep(Duration::from_millis(2)).await;
            }
        };
        let (status, bytes) = futures_lite::future::or(answer, heartbeats)
            .await
            .expect("an answer");
        (status.into(), String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Writes a resource with the operator key.
    pub async fn put(&self, at: usize, path: &str, version: u64, spec: &str) -> (u16, String) {
        let body = format!(r#"{{"version":{version},"spec":{spec}}}"#);
        self.call(at, OPERATOR, Method::Put, path, body).await
    }

    /// Creates the zones of all instances, and the teams `a` and `b` with a key each.
    pub async fn seed(&self) {
        for node in &self.nodes {
            let path = format!("/v1/zones/{}", node.shared().setup.zone);
            let (status, body) = self
                .put(0, &path, 0, r#"{"state":"in","region":"north"}"#)
                .await;
            assert!(status < 300, "{body}");
        }
        for team in ["a", "b"] {
            let spec = r#"{"share":1,"limit":{"cores_milli":9000}}"#;
            self.put(0, &format!("/v1/teams/{team}"), 0, spec).await;
            let hash = auth::hash(&format!("{team}-key"));
            let spec = format!(r#"{{"team":"{team}","hash":"{hash}"}}"#);
            let (status, body) = self.put(0, &format!("/v1/keys/{team}"), 0, &spec).await;
            assert_eq!(status, 200, "{body}");
        }
    }
}
