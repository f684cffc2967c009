//! Heartbeats, configuration, copies and calls between entry instances, with a log that has faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task::{self, block_on};
use rstest::rstest;
use tide::http::{Method, Request, Url};

use primrosebay_coordination::publisher::SeenRecords;
use primrosebay_coordination::zone::Coordinator;
use primrosebay_entry::instance::Instance;
use primrosebay_entry::peers::PeerSetup;
use primrosebay_entry::publisher::{Durability, PublishError};
use primrosebay_entry::shared::{Setup, Shared};
use primrosebay_protocol::code::Code;
use primrosebay_protocol::list::{self, Liveness, Role};
use primrosebay_protocol::log::{CONFIG_STREAM, JOBS_STREAM};
use primrosebay_protocol::peer::{self, Caller, Response};
use primrosebay_standin::list::ListService;
use primrosebay_standin::log::{Faults, LogService, Settings};
use primrosebay_standin::worker::WorkerService;
use primrosebay_state::config::{Change, Resource, ZoneState};
use primrosebay_state::id::{Incarnation, JobId, RecordId};
use primrosebay_state::job::JobSpec;
use primrosebay_state::record::{Body, Outcome};
use primrosebay_state::resources::Resources;
use primrosebay_transport::http_server::{Limits, Server};
use primrosebay_transport::log::{HttpLog, Log};
use primrosebay_transport::peer::DevAuthority;

const STREAM: &str = "jobs-test";
/// Polls, 10 ms apart, after which a condition that does not hold fails the test.
const MAX_POLLS: u32 = 2_000;

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

async fn listen<S: Clone + Send + Sync + 'static>(app: tide::Server<S>) -> Server {
    Server::start(loopback(), app, Limits::default())
        .await
        .unwrap()
}

async fn wait_until(failure: &str, condition: impl Fn() -> bool) {
    for _ in 0..MAX_POLLS {
        if condition() {
            return;
        }
        task::sleep(Duration::from_millis(10)).await;
    }
    panic!("{failure}");
}

fn instance_item(name: &str, role: Role, zone: &str, address: SocketAddr) -> list::Instance {
    list::Instance {
        name: name.into(),
        role,
        zone: zone.into(),
        rack: "".into(),
        service: "".into(),
        address: address.to_string().into(),
        state: Liveness::Live,
        resources: Resources::ZERO,
    }
}

/// Stand-ins for the platform's log and instance list, and the authority for peer certificates.
struct Platform {
    log: Arc<LogService>,
    log_server: Server,
    list: tide::Server<Arc<ListService>>,
    list_server: Server,
    authority: DevAuthority,
}

impl Platform {
    async fn start() -> Self {
        let log = LogService::new(Settings::default()).app();
        let list = ListService::new(Vec::new()).app();
        Self {
            log: log.state().clone(),
            log_server: listen(log).await,
            list_server: listen(list.clone()).await,
            list,
            authority: DevAuthority::new().unwrap(),
        }
    }

    /// Starts an instance and adds it to the instance list. Without `has_log`, its reads and
    /// appends fail.
    async fn join(&self, zone: &str, has_log: bool) -> Instance {
        let name = format!("entry-{zone}");
        let setup = Setup {
            name: name.as_str().into(),
            zone: zone.into(),
            region: "r".into(),
            address: loopback(),
            // The instance list answers calls to the log with 404.
            log: if has_log {
                self.log_server.address()
            } else {
                self.list_server.address()
            },
            list: self.list_server.address(),
            operators: Vec::new(),
            call_timeout: Duration::from_secs(1),
            limits: primrosebay_settings::Limits::default(),
            timeouts: primrosebay_settings::Timeouts::default(),
            clock: primrosebay_transport::clock::Clock::default(),
        };
        let peers = PeerSetup {
            address: loopback(),
            identity: self.authority.issue(&name).unwrap(),
            files: None,
        };
        let instance = Instance::start_with(setup, Some(peers)).await.unwrap();
        let address = instance.peer_address().unwrap();
        self.add_to_list(instance_item(&name, Role::Entry, zone, address))
            .await;
        instance
    }

    async fn add_to_list(&self, instance: list::Instance) {
        let url = format!("http://list/instances/{}", instance.name);
        let mut request = Request::new(Method::Put, Url::parse(&url).unwrap());
        request.set_body(tide::Body::from_json(&instance).unwrap());
        let _: tide::Response = self.list.respond(request).await.unwrap();
    }

    /// Starts an instance in each zone and waits until all of them reach each other.
    async fn start_cell(&self, zones: &[&str]) -> Vec<Instance> {
        let mut cell = Vec::new();
        for zone in zones {
            cell.push(self.join(zone, true).await);
        }
        self.wait_connected(&cell).await;
        cell
    }

    async fn wait_connected(&self, cell: &[Instance]) {
        let alive = |instance: &Instance| {
            let view = instance.shared().peers().unwrap().view();
            let alive = |health| health == primrosebay_coordination::membership::Health::Alive;
            view.iter().filter(|peer| alive(peer.health)).count()
        };
        wait_until("the instances did not reach each other", || {
            cell.iter().all(|one| alive(one) == cell.len() - 1)
        })
        .await;
    }

    fn set_log_down(&self, down: bool) {
        self.log.set_faults(Faults {
            down,
            ..Faults::default()
        });
    }

    /// Returns the sequences of the cancelled jobs in log order, without records that readers skip
    /// as duplicates.
    async fn logged_jobs(&self) -> Vec<u64> {
        let log = HttpLog::new(self.log_server.address(), Duration::from_secs(5));
        let mut seen = SeenRecords::new();
        let page = log.read(STREAM, 0, Duration::ZERO).await.unwrap();
        let unique = page.records.into_iter();
        let unique = unique.filter(|entry| seen.insert(entry.offset, entry.record.id));
        unique
            .map(|entry| match entry.record.body {
                Body::Cancelled { job } => job.sequence,
                _ => panic!("unexpected record"),
            })
            .collect()
    }
}

fn job(sequence: u64) -> JobId {
    JobId {
        incarnation: Incarnation(1),
        sequence,
    }
}

fn cancellation(sequence: u64) -> Body {
    Body::Cancelled { job: job(sequence) }
}

fn held_copies(shared: &Shared) -> usize {
    shared.peers().unwrap().copy_count()
}

/// Guards against records that are lost, duplicated or reordered when the log is slow or down,
/// limits appends, or loses an append or the answer to one.
#[rstest]
#[case::slow(Faults { slow_ms: 60, ..Faults::default() })]
#[case::answers_lost(Faults { lose: 5, ..Faults::default() })]
#[case::appends_lost(Faults { drop: 5, ..Faults::default() })]
#[case::limited(Faults { rate: 8, ..Faults::default() })]
#[case::down(Faults { down: true, ..Faults::default() })]
fn log_faults_lose_no_record(#[case] faults: Faults) {
    block_on(async {
        let platform = Platform::start().await;
        let instance = platform.join("a", true).await;
        platform.log.set_faults(faults);
        let mut calls = Vec::new();
        for sequence in 1..=40 {
            let publisher = instance.shared().publisher.clone();
            calls.push(task::spawn(async move {
                publisher
                    .append_without_timeout(STREAM, cancellation(sequence))
                    .await
            }));
            // Waiting here keeps the records in order.
            wait_until("a call was not queued", || {
                instance.shared().publisher.enqueued() >= sequence
            })
            .await;
        }
        if faults.down {
            wait_until("the outage was not noticed", || {
                instance.shared().publisher.failing().is_some()
            })
            .await;
            platform.set_log_down(false);
        }
        for call in calls {
            call.await.unwrap();
        }
        assert_eq!(platform.logged_jobs().await, (1..=40).collect::<Vec<_>>());
        assert_eq!(instance.shared().publisher.backlog(), (0, 0));
        instance.close().await;
    });
}

/// Guards against records that are rejected or lost in an outage of the log although peers can hold
/// copies, and against copies that take effect twice or are never released.
#[rstest]
#[case::sender_survives(true)]
#[case::sender_crashes(false)]
fn records_are_held_by_two_peers_while_the_log_is_down(#[case] survives: bool) {
    block_on(async {
        let platform = Platform::start().await;
        let cell = platform.start_cell(&["a", "b", "c"]).await;
        platform.set_log_down(true);
        for sequence in 1..=3 {
            let result = cell[0]
                .shared()
                .publisher
                .persist(STREAM, cancellation(sequence))
                .await;
            assert_eq!(result, Ok(Durability::Held));
        }
        assert_eq!(held_copies(cell[1].shared()), 3);
        assert_eq!(held_copies(cell[2].shared()), 3);
        if !survives {
            // The instance crashes: it neither appends its records nor notifies its peers.
            let shared = cell[0].shared();
            shared.publisher.clone().close(Duration::ZERO).await;
            shared.peers().unwrap().clone().close().await;
        }
        platform.set_log_down(false);
        wait_until("the copies were not released", || {
            cell[1..]
                .iter()
                .all(|holder| held_copies(holder.shared()) == 0)
        })
        .await;
        assert_eq!(platform.logged_jobs().await, [1, 2, 3]);
    });
}

/// Guards against accepting a record that is stored nowhere: without the log and without peers, the
/// caller must learn that nothing was accepted.
#[test]
fn record_without_log_and_peers_is_refused() {
    block_on(async {
        let platform = Platform::start().await;
        let instance = platform.join("a", false).await;
        let result = instance
            .shared()
            .publisher
            .persist(STREAM, cancellation(1))
            .await;
        assert_eq!(result, Err(PublishError::NotAppended));
        assert_eq!(instance.shared().publisher.backlog().0, 0);
    });
}

fn zone_change(name: &str) -> Body {
    Body::Config(Change {
        kind: "zone".into(),
        name: name.into(),
        expected: 0,
        spec: Some(Resource::Zone {
            state: ZoneState::Out,
            region: "r".into(),
        }),
    })
}

/// Guards against an instance that cannot read the log and keeps an old configuration although its
/// peers have a newer one. One instance is running when the change is made, another starts later.
#[test]
fn configuration_reaches_instances_without_the_log() {
    block_on(async {
        let platform = Platform::start().await;
        let cell = [
            platform.join("a", true).await,
            platform.join("b", false).await,
        ];
        platform.wait_connected(&cell).await;
        let publisher = &cell[0].shared().publisher;
        for zone in ["x", "y"] {
            publisher
                .append(CONFIG_STREAM, zone_change(zone))
                .await
                .unwrap();
        }
        let is_current = |instance: &Instance| {
            let config = instance.shared().config();
            config.next == 2 && config.zone_state("y") == ZoneState::Out
        };
        wait_until("the change was not pushed", || is_current(&cell[1])).await;
        let late = platform.join("c", false).await;
        wait_until("the late instance got no configuration", || {
            is_current(&late)
        })
        .await;
    });
}

/// Guards against forwarded submissions that take effect twice when repeated, that other teams can
/// read, or that are reported as accepted although they were lost.
#[test]
fn submissions_are_forwarded_to_the_coordinator() {
    block_on(async {
        let platform = Platform::start().await;
        let worker = listen(Arc::new(WorkerService::new(1, Resources::ZERO)).app()).await;
        let item = instance_item("worker", Role::Worker, "a", worker.address());
        platform.add_to_list(item).await;
        let mut cell = platform.start_cell(&["a", "b"]).await;
        let (b, a) = (cell.pop().unwrap(), cell.pop().unwrap());
        let peers = b.shared().peers().unwrap().clone();
        wait_until("no coordinator is known", || {
            peers.coordinator("a").is_some()
        })
        .await;
        let home = "a".into();
        let caller = |team: &str| Caller {
            team: team.into(),
            operator: false,
            config: 0,
        };
        let spec = JobSpec {
            name: "rebuild".into(),
            team: "shop".into(),
            ..JobSpec::default()
        };
        for _ in 0..2 {
            let answer = b
                .shared()
                .submit_to(&home, job(1), caller("shop"), spec.clone());
            assert_eq!(answer.await.unwrap().code, Code::ACCEPTED);
        }
        let zone = a.shared().zone("a").unwrap();
        assert_eq!(zone.read(|coordinator| coordinator.jobs().count()), 1);
        let read = |team| peer::Request::Read {
            id: job(1),
            caller: caller(team),
        };
        let answer = peers.forward("entry-a", &read("shop")).await;
        assert!(matches!(answer, Ok(Response::Job(_))));
        let other = peers.forward("entry-a", &read("other")).await.unwrap_err();
        assert_eq!(other.code, Code::NOT_FOUND);
        // The coordinator becomes unreachable. Any instance may record the job, but only once.
        a.shared().peers().unwrap().clone().close().await;
        let spec = JobSpec {
            name: "second".into(),
            ..spec
        };
        for _ in 0..2 {
            let answer = b
                .shared()
                .submit_to(&home, job(2), caller("shop"), spec.clone());
            let submitted = answer.await.unwrap();
            assert_eq!((submitted.code, submitted.id), (Code::ACCEPTED, job(2)));
        }
        let log = HttpLog::new(platform.log_server.address(), Duration::from_secs(5));
        let page = log.read(JOBS_STREAM, 0, Duration::ZERO).await.unwrap();
        let bodies = page.records.iter().map(|entry| &entry.record.body);
        let accepted =
            bodies.filter(|body| matches!(body, Body::Accepted { job: id, .. } if *id == job(2)));
        assert_eq!(accepted.count(), 1);
        // The name identifies the job: a submission repeated with a new identifier gets the first
        // job.
        let again = b.shared().submit_to(&home, job(3), caller("shop"), spec);
        assert_eq!(again.await.unwrap().id, job(2));
    });
}

/// Guards against a cancellation that is acknowledged while only peers hold its record, but has no
/// effect before the log is back. It is sent to the coordinator of the job's zone, or to another
/// instance.
#[rstest]
#[case::coordinator(0)]
#[case::other_instance(1)]
fn cancellation_held_by_peers_takes_effect_without_the_log(#[case] at: usize) {
    block_on(async {
        let platform = Platform::start().await;
        let worker = listen(Arc::new(WorkerService::new(1, Resources::ZERO)).app()).await;
        let item = instance_item("worker", Role::Worker, "a", worker.address());
        platform.add_to_list(item).await;
        let cell = platform.start_cell(&["a", "b", "c"]).await;
        let zone = cell[0].shared().zone("a").unwrap();
        let knows_coordinator = |instance: &Instance| {
            let peers = instance.shared().peers().unwrap();
            peers.coordinator("a").is_some()
        };
        wait_until("no coordinator is known", || {
            zone.epoch().is_some() && cell[1..].iter().all(knows_coordinator)
        })
        .await;
        let caller = Caller {
            team: "shop".into(),
            operator: false,
            config: 0,
        };
        let spec = JobSpec {
            name: "rebuild".into(),
            team: "shop".into(),
            ..JobSpec::default()
        };
        let home = "a".into();
        let submitted = cell[0]
            .shared()
            .submit_to(&home, job(1), caller.clone(), spec);
        submitted.await.unwrap();
        let knows = |instance: &Instance| {
            let zones = instance.shared().zones();
            let known = |c: &Coordinator| c.job(job(1)).is_some();
            zones.iter().all(|zone| zone.read(known))
        };
        wait_until("the job is not known", || cell.iter().all(knows)).await;
        platform.set_log_down(true);
        cell[at].shared().cancel_job(job(1), &caller).await.unwrap();
        let outcome = || zone.read(|coordinator| coordinator.job(job(1)).unwrap().outcome);
        wait_until("the job is not cancelled", || {
            outcome() == Some(Outcome::Cancelled)
        })
        .await;
    });
}

/// Guards against a record identifier that is used by two processes or for two records.
#[test]
fn record_identifiers_are_unique() {
    block_on(async {
        let platform = Platform::start().await;
        let a = platform.join("a", true).await;
        let b = platform.join("b", true).await;
        let mut ids: Vec<RecordId> = [&a, &b, &a]
            .iter()
            .map(|instance| instance.shared().publisher.next_id())
            .collect();
        ids.sort();
        ids.dedup();
        assert_eq!(ids.len(), 3);
    });
}
