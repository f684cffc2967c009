//! Routes requests from callers to minions and returns the responses.

mod account;
mod attempt;
mod handler;
mod metrics;
mod options;
mod outcome;
mod payload;
mod pipe;
mod service;

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
use primrosebay_coordination::routing::retry::{Attempts, RetryCandidate};
use primrosebay_coordination::routing::router::RouterRules;
use primrosebay_protocol::api::Failure;
use primrosebay_protocol::code::{Code, Ran};
use primrosebay_protocol::list::{Instance, Liveness, Role};
use primrosebay_protocol::minion::RAN_HEADER;
use primrosebay_state::Name;
use primrosebay_state::id::Incarnation;
use primrosebay_state::time::Time;
use primrosebay_transport::budget::{Cause, Charge};
use primrosebay_transport::minion::{ExactReader, MinionLink};
use primrosebay_transport::trace::Span;
use tide::http::{Body, Request, Response, StatusCode};

pub use account::resolve_account;
pub(crate) use handler::handle;

use metrics::Metrics;
use options::RequestOptions;
use payload::{BodyReader, Payload};
use service::{BodyReservation, Service};

/// Returns the current time of the local clock.
pub type Clock = Arc<dyn Fn() -> Time + Send + Sync>;

/// Limits and routing rules of the request path.
#[derive(Debug, Clone, Copy)]
pub struct RequestSettings {
    /// Largest body in bytes that is buffered, so that it can be sent again. A longer body is
    /// streamed and needs a declared length.
    pub replay_bytes: usize,
    /// Largest accepted body in bytes.
    pub max_body: u64,
    /// Largest response in bytes that is read completely before it is passed on to the caller.
    pub inline_bytes: usize,
    /// Deadline in milliseconds of a request without a deadline header.
    pub default_deadline: u64,
    /// Longest deadline in milliseconds; a longer one is reduced to it.
    pub max_deadline: u64,
    /// Whether a slow idempotent request is hedged, that is, also sent to a second minion.
    pub hedge: bool,
    /// Rules for admission, the choice of minions and retries.
    pub rules: RouterRules,
    /// Seed of the random choices among minions.
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
    /// Sequence number of the last request; 0 before the first.
    last_sequence: AtomicU64,
    /// Every service that ever had a minion in the instance list, sorted by name.
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
    /// Creates the request path of an entry instance in `zone`. No minion is known until the first
    /// [`Requests::update`].
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
            last_sequence: AtomicU64::new(0),
            services: RwLock::default(),
        }
    }

    /// Updates the minions of each service from the instance list. A service without listed
    /// minions keeps its waiting requests.
    pub fn update(&self, instances: &[Instance]) {
        let mut minions: Vec<_> = instances
            .iter()
            .filter(|i| i.role == Role::Minion)
            .collect();
        minions.sort_by(|a, b| a.service.cmp(&b.service));
        for group in minions.chunk_by(|a, b| a.service == b.service) {
            let listed: Vec<_> = group
                .iter()
                .map(|instance| listed_minion(instance))
                .collect();
            self.service_or_create(&group[0].service).update(&listed);
        }
        for service in self.services().iter() {
            if minions.iter().all(|m| m.service != service.name) {
                service.update(&[]);
            }
        }
    }

    /// Dispatches waiting requests that became ready by the passage of time, for example at the end
    /// of an ejection, and records the gauges. Must be called several times a second.
    pub fn tick(&self) {
        for service in self.services().iter() {
            service.dispatch();
            self.metrics.record_gauges(&service.name, service.gauges());
        }
    }

    /// Sends a caller's request to a minion of `service`, on behalf of `account`, and returns the
    /// minion's response or a failure response.
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
        let mut options = RequestOptions::from_request(request, &self.settings, self.now())?;
        let service = self.service(service).ok_or(Code::NOT_FOUND)?;
        let buffered_bytes = match options.length {
            Some(length) if length > self.settings.replay_bytes as u64 => 0,
            Some(length) => length,
            None => self.settings.replay_bytes as u64,
        };
        // Memory for the body is reserved before any of it is read.
        let reservation =
            BodyReservation::new(&service, &account, buffered_bytes).ok_or(Code::OVERLOADED)?;
        let payload = self.read_body(request.take_body(), &options).await?;
        if let (Payload::Stream(..), Some(charge)) = (&payload, request.ext().get::<Arc<Charge>>())
        {
            charge.pass_on();
        }
        let span = Span::start("request", &options.trace);
        span.set("service", &*service.name);
        options.trace = span.context();
        let response = self
            .run_attempts(&service, &account, &options, &payload)
            .await;
        span.close();
        drop(reservation);
        response
    }

    /// Reads a body of up to `replay_bytes` completely, so that a slow caller occupies no slot of a
    /// minion. A longer body is streamed if its length is declared, and rejected otherwise.
    async fn read_body(&self, body: Body, options: &RequestOptions) -> Result<Payload, Code> {
        let max_bytes = self.settings.replay_bytes as u64;
        let mut bytes = Vec::new();
        let result = match options.length {
            Some(length) if length > max_bytes => {
                return Ok(Payload::Stream(BodyReader::new(body), length));
            }
            Some(length) => {
                let mut exact = ExactReader::new(body, length);
                self.before_deadline(options, exact.read_to_end(&mut bytes))
                    .await?
            }
            None => {
                let mut limited = body.take(max_bytes + 1);
                self.before_deadline(options, limited.read_to_end(&mut bytes))
                    .await?
            }
        };
        match result {
            Ok(count) if count as u64 > max_bytes => Err(Code::BODY_TOO_LARGE),
            Ok(_) => Ok(Payload::Whole(bytes.into())),
            Err(e) if Cause::of(&e) == Some(Cause::Memory) => Err(Code::OVERLOADED),
            Err(_) => Err(Code::MALFORMED),
        }
    }

    /// Awaits `future` until the deadline of the request.
    async fn before_deadline<T>(
        &self,
        options: &RequestOptions,
        future: impl Future<Output = T>,
    ) -> Result<T, Code> {
        let remaining = Duration::from_millis(options.deadline.since(self.now()));
        timeout(remaining, future).await.map_err(|_| Code::DEADLINE)
    }

    /// Makes attempts until one succeeds or the request must not be retried.
    async fn run_attempts(
        &self,
        service: &Arc<Service>,
        account: &Name,
        options: &RequestOptions,
        payload: &Payload,
    ) -> Result<Response, Code> {
        let request = RequestId {
            incarnation: self.incarnation,
            sequence: self.last_sequence.fetch_add(1, Ordering::Relaxed) + 1,
        };
        let mut attempts = Attempts::default();
        let mut avoid = None;
        loop {
            let slot = service
                .acquire(
                    account,
                    request.sequence,
                    options.deadline,
                    avoid.take(),
                    attempts.count > 0,
                )
                .await
                .map_err(|shed| outcome::shed_code(shed, attempts.execution()))?;
            avoid = Some(slot.endpoint().name.clone());
            let attempt = request.attempt(attempts.count + 1);
            let failure = match self.attempt(slot, attempt, options, payload).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            attempts.record(failure);
            let candidate = RetryCandidate {
                repeat: options.repeat,
                deadline: options.deadline,
                replayable: payload.replayable(),
                attempts,
                failure,
            };
            let Some(delay_ms) = service.retry(&candidate) else {
                return Err(outcome::execution_code(attempts.execution()));
            };
            self.metrics.record_retry(&service.name);
            task::sleep(Duration::from_millis(delay_ms)).await;
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

    fn service_or_create(&self, name: &Name) -> Arc<Service> {
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

fn listed_minion(instance: &Instance) -> Listed {
    Listed {
        endpoint: Endpoint {
            name: instance.name.clone(),
            zone: instance.zone.clone(),
            address: instance.address.clone(),
        },
        leaving: instance.state == Liveness::Leaving,
    }
}

/// Returns the response to a request that failed with `code` instead of a minion's response. The
/// header [`RAN_HEADER`] is `no` if the request did not run.
#[must_use]
pub fn failure_response(code: Code) -> Response {
    let status = StatusCode::try_from(code.status()).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    if code.info().is_some_and(|info| info.ran == Ran::No) {
        response.insert_header(RAN_HEADER, "no");
    }
    if let Ok(body) = Body::from_json(&Failure::new(code)) {
        response.set_body(body);
    }
    response
}
