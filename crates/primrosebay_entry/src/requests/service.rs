//! One service's router with the requests that wait for it.

use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use primrosebay_coordination::routing::admission::Waiting;
use primrosebay_coordination::routing::minion::{Endpoint, Feedback, Listed};
use primrosebay_coordination::routing::retry::Candidate;
use primrosebay_coordination::routing::router::{Admission, AdmissionRequest, Router, Shed};
use primrosebay_state::Name;
use primrosebay_state::time::Time;

use super::{Clock, RequestSettings};

type Turn = Result<Endpoint, Shed>;

/// A service with its own lock.
pub(super) struct Service {
    pub(super) name: Name,
    clock: Clock,
    core: Mutex<Core>,
}

#[derive(Debug)]
struct Core {
    router: Router,
    /// Requests that wait, by ticket.
    waiters: Vec<(u64, Sender<Turn>)>,
}

/// Figures of a service at one moment.
#[derive(Debug, Clone, Copy)]
pub(super) struct State {
    pub(super) waiting: u64,
    pub(super) held: u64,
    pub(super) capacity: u64,
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
            core: Mutex::new(Core {
                router,
                waiters: Vec::new(),
            }),
        }
    }

    fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now(&self) -> Time {
        (self.clock)()
    }

    /// Takes over the minions of the live list.
    pub(super) fn update(&self, listed: &[Listed]) {
        let now = self.now();
        let mut core = self.core();
        core.router.update(listed, now);
        core.pump(now);
    }

    /// Starts or turns away the requests that no longer have to wait.
    pub(super) fn pump(&self) {
        self.core().pump(self.now());
    }

    pub(super) fn state(&self) -> State {
        let now = self.now();
        let core = self.core();
        State {
            waiting: core.router.queue().len() as u64,
            held: core.router.queue().bytes(),
            capacity: core.router.table().capacity(now).into(),
            ejected: core.router.table().ejected(now) as u64,
        }
    }

    /// Waits until the request may be sent to a minion.
    pub(super) async fn enter(
        self: &Arc<Self>,
        account: &Name,
        ticket: u64,
        deadline: Time,
        avoid: Option<Name>,
        again: bool,
    ) -> Result<Running, Shed> {
        let request = Waiting {
            ticket,
            deadline,
            avoid,
        };
        let offer = AdmissionRequest {
            account: account.clone(),
            request,
            retried: again,
        };
        let offered = self.core().offer(offer, self.now());
        let turn = match offered {
            Ok(turn) => turn,
            Err(receiver) => {
                let mut waiter = Waiter {
                    service: self,
                    account,
                    ticket,
                    receiver,
                    served: false,
                };
                let left = Duration::from_millis(deadline.since(self.now()));
                let turn = timeout(left, waiter.receiver.recv()).await;
                waiter.served = matches!(turn, Ok(Ok(_)));
                turn.ok().and_then(Result::ok).unwrap_or(Err(Shed::Late))
            }
        };
        turn.map(|site| Running::new(self, account, site))
    }

    /// Returns after how many milliseconds the request is sent again.
    pub(super) fn retry(&self, candidate: &Candidate) -> Option<u64> {
        self.core().router.retry(candidate, self.now())
    }

    /// Starts a second attempt of a slow request at another minion, if the budget allows it.
    pub(super) fn hedge(self: &Arc<Self>, account: &Name, avoid: &Name) -> Option<Running> {
        let site = self.core().router.hedge(account, avoid, self.now())?;
        Some(Running::new(self, account, site))
    }

    /// Returns the time within which nearly all requests are answered, in milliseconds.
    pub(super) fn slow(&self) -> u64 {
        self.core().router.tail_latency(self.now())
    }

    fn finish(&self, account: &Name, minion: &str, feedback: Feedback, took: Option<u64>) {
        let now = self.now();
        let mut core = self.core();
        core.router.finish(account, minion, feedback, took, now);
        core.pump(now);
    }
}

impl Core {
    /// Returns the request's turn, or where it will arrive.
    fn offer(&mut self, offer: AdmissionRequest, now: Time) -> Result<Turn, Receiver<Turn>> {
        let ticket = offer.request.ticket;
        match self.router.admit(offer, now) {
            Admission::Start(site) => Ok(Ok(site)),
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

    fn pump(&mut self, now: Time) {
        while let Some(next) = self.router.dequeue(now) {
            self.notify(next.ticket, next.result);
        }
    }

    fn notify(&mut self, ticket: u64, turn: Turn) {
        if let Ok(i) = self.waiters.binary_search_by_key(&ticket, |w| w.0) {
            let (_, sender) = self.waiters.remove(i);
            let _ = sender.try_send(turn);
        }
    }
}

/// A request in the queue. It leaves the queue when this is dropped.
#[derive(Debug)]
struct Waiter<'a> {
    service: &'a Arc<Service>,
    account: &'a Name,
    ticket: u64,
    receiver: Receiver<Turn>,
    served: bool,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if self.served {
            return;
        }
        let mut core = self.service.core();
        core.router.cancel(self.account, self.ticket);
        if let Ok(i) = core.waiters.binary_search_by_key(&self.ticket, |w| w.0) {
            core.waiters.remove(i);
        }
        drop(core);
        // The turn may have come at the last moment and must be given back.
        if let Ok(Ok(site)) = self.receiver.try_recv() {
            drop(Running::new(self.service, self.account, site));
        }
    }
}

/// A request that occupies a slot of a minion. The slot is free again when this is dropped.
#[derive(Debug)]
pub(super) struct Running {
    service: Arc<Service>,
    account: Name,
    site: Endpoint,
    started: Time,
    feedback: Feedback,
    took: Option<u64>,
}

impl Running {
    fn new(service: &Arc<Service>, account: &Name, site: Endpoint) -> Self {
        Self {
            started: service.now(),
            service: Arc::clone(service),
            account: account.clone(),
            site,
            feedback: Feedback::default(),
            took: None,
        }
    }

    pub(super) fn service(&self) -> &Arc<Service> {
        &self.service
    }

    pub(super) fn account(&self) -> &Name {
        &self.account
    }

    pub(super) fn site(&self) -> &Endpoint {
        &self.site
    }

    /// Notes an answer of the minion.
    pub(super) fn answered(&mut self, feedback: Feedback) {
        self.feedback = feedback;
        self.took = Some(self.service.now().since(self.started));
    }

    /// Notes the end of an attempt without a usable answer.
    pub(super) fn ended(&mut self, feedback: Feedback) {
        self.feedback = feedback;
        self.took = None;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.service
            .finish(&self.account, &self.site.name, self.feedback, self.took);
    }
}

/// Room for a body. It is given back when this is dropped.
#[derive(Debug)]
pub(super) struct Held {
    service: Arc<Service>,
    account: Name,
    bytes: u64,
}

impl Held {
    pub(super) fn new(service: &Arc<Service>, account: &Name, bytes: u64) -> Option<Self> {
        service
            .core()
            .router
            .reserve_bytes(account, bytes)
            .then(|| Self {
                service: Arc::clone(service),
                account: account.clone(),
                bytes,
            })
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.service
            .core()
            .router
            .release_bytes(&self.account, self.bytes);
    }
}
