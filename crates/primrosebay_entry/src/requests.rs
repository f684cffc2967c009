//! Requests from callers to minions and the answers back.

mod account;
mod attempt;
mod handler;
mod metrics;
mod outcome;
mod pipe;
mod service;
mod source;
mod terms;

use std::fmt;
use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use futures_lite::AsyncReadExt;
use primrosebay_coordination::routing::attempt::RequestId;
use primrosebay_coordination::routing::minion::{Endpoint, Listed};
use primrosebay_coordination::routing::retry::{Attempts, Candidate};
use primrosebay_coordination::routing::router::RouterRules;
use primrosebay_protocol::api::Failure;
use primrosebay_protocol::code::{Code, Ran};
use primrosebay_protocol::list::{Instance, Liveness, Role};
use primrosebay_protocol::minion::RAN_HEADER;
use primrosebay_state::Name;
use primrosebay_state::id::Incarnation;
use primrosebay_state::time::Time;
use primrosebay_transport::minion::{ExactReader, MinionLink};
use primrosebay_transport::trace::Span;
use tide::http::{Body, Request, Response, StatusCode};

pub use account::resolve_account;
pub(crate) use handler::handle;

use metrics::Metrics;
use service::{Held, Service};
use source::{Payload, Source};
use terms::Terms;

/// Reads the local clock.
pub type Clock = Arc<dyn Fn() -> Time + Send + Sync>;

/// Bounds of requests.
#[derive(Debug, Clone, Copy)]
pub struct RequestSettings {
    /// Bytes of a body up to which it is kept for another attempt. Longer bodies are passed on as
    /// they arrive and need a declared length.
    pub replay_bytes: usize,
    /// Most bytes of a body.
    pub max_body: u64,
    /// Bytes of an answer up to which it is read before the caller gets any of it.
    pub inline_bytes: usize,
    /// Deadline in milliseconds of requests that name none.
    pub default_deadline: u64,
    /// Longest deadline in milliseconds.
    pub max_deadline: u64,
    /// Whether a slow idempotent request is sent to a second minion.
    pub hedge: bool,
    /// Rules of routing.
    pub rules: RouterRules,
    /// Seed of the random choices.
    pub seed: u64,
}

impl Default for RequestSettings {
    fn default() -> Self {
        Self {
            replay_bytes: 64 << 10,
            max_body: 256 << 20,
            inline_bytes: 16 << 10,
            default_deadline: 10_000,
            max_deadline: 300_000,
            hedge: false,
            rules: RouterRules::default(),
            seed: 0,
        }
    }
}

/// Routes callers' requests to minions through the link `L`.
pub struct Requests<L> {
    settings: RequestSettings,
    zone: Name,
    incarnation: Incarnation,
    link: L,
    clock: Clock,
    metrics: Metrics,
    last: AtomicU64,
    /// The services of the live list, by name.
    services: RwLock<Vec<Arc<Service>>>,
}

impl<L> fmt::Debug for Requests<L> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Requests")
            .field("settings", &self.settings)
            .field("zone", &self.zone)
            .finish_non_exhaustive()
    }
}

impl<L: MinionLink> Requests<L> {
    /// Creates the request path of an entry instance in `zone`, without minions.
    #[must_use]
    pub fn new(
        settings: RequestSettings,
        zone: Name,
        incarnation: Incarnation,
        link: L,
        clock: Clock,
    ) -> Self {
        Self {
            settings,
            zone,
            incarnation,
            link,
            clock,
            metrics: Metrics::new(),
            last: AtomicU64::new(0),
            services: RwLock::default(),
        }
    }

    /// Takes over the minions of the live list.
    pub fn update(&self, instances: &[Instance]) {
        let mut minions: Vec<_> = instances
            .iter()
            .filter(|i| i.role == Role::Minion)
            .collect();
        minions.sort_by(|a, b| a.service.cmp(&b.service));
        for group in minions.chunk_by(|a, b| a.service == b.service) {
            let listed: Vec<_> = group.iter().map(|instance| listed(instance)).collect();
            self.service_or_new(&group[0].service).update(&listed);
        }
        for service in self.services().iter() {
            if minions.iter().all(|m| m.service != service.name) {
                service.update(&[]);
            }
        }
    }

    /// Starts requests that wait for something that only time brings, such as the end of an
    /// ejection, and records the gauges. To be called several times a second.
    pub fn tick(&self) {
        for service in self.services().iter() {
            service.pump();
            self.metrics.record_state(&service.name, service.state());
        }
    }

    /// Answers a caller's request to `service`, for `account`.
    pub async fn answer(&self, account: Name, service: &str, request: &mut Request) -> Response {
        let started = self.now();
        let (code, response) = match self.try_answer(account, service, request).await {
            Ok(response) => (Code::OK, response),
            Err(code) => (code, failure_response(code)),
        };
        self.metrics
            .record_answer(service, code, self.now().since(started));
        response
    }

    async fn try_answer(
        &self,
        account: Name,
        service: &str,
        request: &mut Request,
    ) -> Result<Response, Code> {
        let mut terms = Terms::of(request, &self.settings, self.now())?;
        let service = self.service(service).ok_or(Code::NOT_FOUND)?;
        let buffered = match terms.length {
            Some(length) if length > self.settings.replay_bytes as u64 => 0,
            Some(length) => length,
            None => self.settings.replay_bytes as u64,
        };
        // Room for the body is taken before any of it is read.
        let held = Held::new(&service, &account, buffered).ok_or(Code::OVERLOADED)?;
        let payload = self.read_body(request.take_body(), &terms).await?;
        let span = Span::start("request", &terms.trace);
        span.set("service", &*service.name);
        terms.trace = span.context();
        let response = self.run(&service, &account, &terms, &payload).await;
        span.close();
        drop(held);
        response
    }

    /// Reads a short body to its end, so that a slow caller holds no slot of a minion.
    async fn read_body(&self, body: Body, terms: &Terms) -> Result<Payload, Code> {
        let most = self.settings.replay_bytes as u64;
        let mut bytes = Vec::new();
        let read = match terms.length {
            Some(length) if length > most => {
                return Ok(Payload::Stream(Source::new(body), length));
            }
            Some(length) => {
                let mut exact = ExactReader::new(body, length);
                self.in_time(terms, exact.read_to_end(&mut bytes)).await?
            }
            None => {
                let mut limited = body.take(most + 1);
                self.in_time(terms, limited.read_to_end(&mut bytes)).await?
            }
        };
        match read {
            Ok(count) if count as u64 > most => Err(Code::BODY_TOO_LARGE),
            Ok(_) => Ok(Payload::Whole(bytes.into())),
            Err(_) => Err(Code::MALFORMED),
        }
    }

    async fn in_time<T>(&self, terms: &Terms, read: impl Future<Output = T>) -> Result<T, Code> {
        let left = Duration::from_millis(terms.deadline.since(self.now()));
        timeout(left, read).await.map_err(|_| Code::DEADLINE)
    }

    async fn run(
        &self,
        service: &Arc<Service>,
        account: &Name,
        terms: &Terms,
        payload: &Payload,
    ) -> Result<Response, Code> {
        let request = RequestId {
            incarnation: self.incarnation,
            sequence: self.last.fetch_add(1, Ordering::Relaxed) + 1,
        };
        let mut attempts = Attempts::default();
        let mut avoid = None;
        loop {
            let running = service
                .enter(
                    account,
                    request.sequence,
                    terms.deadline,
                    avoid.take(),
                    attempts.count > 0,
                )
                .await
                .map_err(|shed| outcome::shed_code(shed, attempts.execution()))?;
            avoid = Some(running.site().name.clone());
            let attempt = request.attempt(attempts.count + 1);
            let ended = match self.attempt(running, attempt, terms, payload).await {
                Ok(response) => return Ok(response),
                Err(ended) => ended,
            };
            attempts.record(ended);
            let candidate = Candidate {
                repeat: terms.repeat,
                deadline: terms.deadline,
                replayable: payload.replayable(),
                attempts,
                failure: ended,
            };
            let Some(wait) = service.retry(&candidate) else {
                return Err(outcome::proof_code(attempts.execution()));
            };
            self.metrics.record_retry(&service.name);
            task::sleep(Duration::from_millis(wait)).await;
        }
    }

    fn now(&self) -> Time {
        (self.clock)()
    }

    fn services(&self) -> std::sync::RwLockReadGuard<'_, Vec<Arc<Service>>> {
        self.services.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn service(&self, name: &str) -> Option<Arc<Service>> {
        let services = self.services();
        let i = services.binary_search_by(|s| (*s.name).cmp(name)).ok()?;
        Some(Arc::clone(&services[i]))
    }

    fn service_or_new(&self, name: &Name) -> Arc<Service> {
        if let Some(service) = self.service(name) {
            return service;
        }
        let mut services = self
            .services
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let i = services.partition_point(|s| s.name < *name);
        let service = Service::new(
            name.clone(),
            self.zone.clone(),
            &self.settings,
            Arc::clone(&self.clock),
        );
        services.insert(i, Arc::new(service));
        Arc::clone(&services[i])
    }
}

fn listed(instance: &Instance) -> Listed {
    Listed {
        endpoint: Endpoint {
            name: instance.name.clone(),
            zone: instance.zone.clone(),
            address: instance.address.clone(),
        },
        leaving: instance.state == Liveness::Leaving,
    }
}

/// Returns the answer to a request that has no answer of a minion.
#[must_use]
pub fn failure_response(code: Code) -> Response {
    let status = StatusCode::try_from(code.status()).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    if code.info().is_some_and(|entry| entry.ran == Ran::No) {
        response.insert_header(RAN_HEADER, "no");
    }
    if let Ok(body) = Body::from_json(&Failure::new(code)) {
        response.set_body(body);
    }
    response
}
