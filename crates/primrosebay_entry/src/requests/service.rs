//! The router of one service and the requests that wait for a minion.

use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use primrosebay_coordination::routing::admission::SlotRequest;
use primrosebay_coordination::routing::minion::{Endpoint, Feedback, Listed};
use primrosebay_coordination::routing::retry::RetryCandidate;
use primrosebay_coordination::routing::router::{Admission, AdmissionRequest, Router, Shed};
use primrosebay_state::Name;
use primrosebay_state::time::Time;

use super::{Clock, RequestSettings};

/// The endpoint that a request is sent to, or the reason why it was shed.
type AdmissionResult = Result<Endpoint, Shed>;

/// The router of one service behind a lock.
pub(super) struct Service {
    pub(super) name: Name,
    clock: Clock,
    inner: Mutex<Inner>,
}

/// State of a service that its lock protects.
#[derive(Debug)]
struct Inner {
    router: Router,
    /// Channels to the waiting requests, sorted by ticket.
    waiters: Vec<(u64, Sender<AdmissionResult>)>,
}

/// Gauge values of a service at one moment.
#[derive(Debug, Clone, Copy)]
pub(super) struct Gauges {
    /// Requests in the queue.
    pub(super) waiting: u64,
    /// Bytes reserved for bodies of waiting and running requests.
    pub(super) held_bytes: u64,
    /// Requests that the minions in service can run at the same time.
    pub(super) capacity: u64,
    /// Minions that are ejected because of failures.
    pub(super) ejected: u64,
}

impl fmt::Debug for Service {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Service")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

impl Service {
    pub(super) fn new(name: Name, zone: Name, settings: &RequestSettings, clock: Clock) -> Self {
        let mut hasher = DefaultHasher::new();
        (settings.seed, &*name).hash(&mut hasher);
        let router = Router::new(zone, settings.rules, hasher.finish(), clock());
        Self {
            name,
            clock,
            inner: Mutex::new(Inner {
                router,
                waiters: Vec::new(),
            }),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now(&self) -> Time {
        (self.clock)()
    }

    /// Updates the minions from the instance list and dispatches waiting requests.
    pub(super) fn update(&self, listed: &[Listed]) {
        let now = self.now();
        let mut inner = self.inner();
        inner.router.update(listed, now);
        inner.dispatch(now);
    }

    /// Starts waiting requests while minions have free slots, and sheds those whose deadline can no
    /// longer be met.
    pub(super) fn dispatch(&self) {
        self.inner().dispatch(self.now());
    }

    pub(super) fn gauges(&self) -> Gauges {
        let now = self.now();
        let inner = self.inner();
        Gauges {
            waiting: inner.router.queue().len() as u64,
            held_bytes: inner.router.queue().bytes(),
            capacity: inner.router.table().capacity(now).into(),
            ejected: inner.router.table().ejected(now) as u64,
        }
    }

    /// Waits until the request may be sent to a minion. The minion `avoid` is used only if no other
    /// has a free slot. `retried` tells whether an earlier attempt was made.
    ///
    /// # Errors
    /// Returns why the request was shed.
    pub(super) async fn acquire(
        self: &Arc<Self>,
        account: &Name,
        ticket: u64,
        deadline: Time,
        avoid: Option<Name>,
        retried: bool,
    ) -> Result<SlotGuard, Shed> {
        let request = SlotRequest {
            ticket,
            deadline,
            avoid,
        };
        let admission = AdmissionRequest {
            account: account.clone(),
            request,
            retried,
        };
        let admitted = self.inner().try_admit(admission, self.now());
        let result = match admitted {
            Ok(result) => result,
            Err(receiver) => {
                let mut waiter = Waiter {
                    service: self,
                    account,
                    ticket,
                    receiver,
                    received: false,
                };
                let remaining = Duration::from_millis(deadline.since(self.now()));
                let result = timeout(remaining, waiter.receiver.recv()).await;
                waiter.received = matches!(result, Ok(Ok(_)));
                result.ok().and_then(Result::ok).unwrap_or(Err(Shed::Late))
            }
        };
        result.map(|endpoint| SlotGuard::new(self, account, endpoint))
    }

    /// Returns the delay in milliseconds until the request is retried; `None` if it must not be.
    pub(super) fn retry(&self, candidate: &RetryCandidate) -> Option<u64> {
        self.inner().router.retry(candidate, self.now())
    }

    /// Reserves a slot for a hedged attempt if the retry budget allows it. The minion `avoid` is
    /// used only if no other has a free slot.
    pub(super) fn hedge(self: &Arc<Self>, account: &Name, avoid: &Name) -> Option<SlotGuard> {
        let endpoint = self.inner().router.hedge(account, avoid, self.now())?;
        Some(SlotGuard::new(self, account, endpoint))
    }

    /// Returns the tail latency, within which nearly all requests are answered, in milliseconds; 0
    /// if it is unknown.
    pub(super) fn tail_latency_ms(&self) -> u64 {
        self.inner().router.tail_latency(self.now())
    }

    /// Releases the slot of an attempt and dispatches waiting requests. `latency_ms` is `None` for
    /// an attempt without a response.
    fn finish(&self, account: &Name, minion: &str, feedback: Feedback, latency_ms: Option<u64>) {
        let now = self.now();
        let mut inner = self.inner();
        inner
            .router
            .finish(account, minion, feedback, latency_ms, now);
        inner.dispatch(now);
    }
}

impl Inner {
    /// Returns the admission result, or the channel that delivers it if the request has to wait.
    fn try_admit(
        &mut self,
        admission: AdmissionRequest,
        now: Time,
    ) -> Result<AdmissionResult, Receiver<AdmissionResult>> {
        let ticket = admission.request.ticket;
        match self.router.admit(admission, now) {
            Admission::Start(endpoint) => Ok(Ok(endpoint)),
            Admission::Shed(shed) => Ok(Err(shed)),
            Admission::Wait(evicted) => {
                if let Some(evicted) = evicted {
                    self.notify(evicted, Err(Shed::Full));
                }
                let (sender, receiver) = bounded(1);
                let i = self.waiters.partition_point(|w| w.0 < ticket);
                self.waiters.insert(i, (ticket, sender));
                Err(receiver)
            }
        }
    }

    fn dispatch(&mut self, now: Time) {
        while let Some(next) = self.router.dequeue(now) {
            self.notify(next.ticket, next.result);
        }
    }

    /// Delivers the admission result to the waiting request with `ticket`.
    fn notify(&mut self, ticket: u64, result: AdmissionResult) {
        if let Ok(i) = self.waiters.binary_search_by_key(&ticket, |w| w.0) {
            let (_, sender) = self.waiters.remove(i);
            let _ = sender.try_send(result);
        }
    }
}

/// A waiting request. Dropping it before the result is received removes the request from the queue.
#[derive(Debug)]
struct Waiter<'a> {
    service: &'a Arc<Service>,
    account: &'a Name,
    ticket: u64,
    receiver: Receiver<AdmissionResult>,
    /// Whether the result was received, so that a granted slot has its own guard.
    received: bool,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if self.received {
            return;
        }
        let mut inner = self.service.inner();
        inner.router.cancel(self.account, self.ticket);
        if let Ok(i) = inner.waiters.binary_search_by_key(&self.ticket, |w| w.0) {
            inner.waiters.remove(i);
        }
        drop(inner);
        // A slot that was granted after the wait ended is released again.
        if let Ok(Ok(endpoint)) = self.receiver.try_recv() {
            drop(SlotGuard::new(self.service, self.account, endpoint));
        }
    }
}

/// A minion's slot that is occupied by one attempt. Dropping the guard releases the slot.
#[derive(Debug)]
pub(super) struct SlotGuard {
    service: Arc<Service>,
    account: Name,
    endpoint: Endpoint,
    started: Time,
    feedback: Feedback,
    latency_ms: Option<u64>,
}

impl SlotGuard {
    fn new(service: &Arc<Service>, account: &Name, endpoint: Endpoint) -> Self {
        Self {
            started: service.now(),
            service: Arc::clone(service),
            account: account.clone(),
            endpoint,
            feedback: Feedback::default(),
            latency_ms: None,
        }
    }

    pub(super) fn service(&self) -> &Arc<Service> {
        &self.service
    }

    pub(super) fn account(&self) -> &Name {
        &self.account
    }

    pub(super) fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Records the feedback from a response of the minion, and its latency.
    pub(super) fn record_answer(&mut self, feedback: Feedback) {
        self.feedback = feedback;
        self.latency_ms = Some(self.service.now().since(self.started));
    }

    /// Records the feedback from an attempt without a usable response.
    pub(super) fn record_failure(&mut self, feedback: Feedback) {
        self.feedback = feedback;
        self.latency_ms = None;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.service.finish(
            &self.account,
            &self.endpoint.name,
            self.feedback,
            self.latency_ms,
        );
    }
}

/// Memory that is reserved for a request body. Dropping the guard releases it.
#[derive(Debug)]
pub(super) struct BodyReservation {
    service: Arc<Service>,
    account: Name,
    bytes: u64,
}

impl BodyReservation {
    /// Reserves `bytes` for a body of `account`; `None` if that exceeds the queue's limits.
    pub(super) fn new(service: &Arc<Service>, account: &Name, bytes: u64) -> Option<Self> {
        service
            .inner()
            .router
            .reserve_bytes(account, bytes)
            .then(|| Self {
                service: Arc::clone(service),
                account: account.clone(),
                bytes,
            })
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.service
            .inner()
            .router
            .release_bytes(&self.account, self.bytes);
    }
}
