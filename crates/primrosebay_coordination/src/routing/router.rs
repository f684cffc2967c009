//! The router of one service: admission, choice of a minion, retries and hedging.

use primrosebay_state::Name;
use primrosebay_state::time::Time;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::admission::{Queue, QueueRules, SlotRequest};
use super::backoff::Backoff;
use super::budget::{BudgetRules, RetryBudget};
use super::estimate::Estimate;
use super::minion::{Endpoint, Feedback, Listed};
use super::retry::{RetryCandidate, retry_after};
use super::table::{MinionTable, TableRules};

/// Rules of a router.
#[derive(Debug, Clone, Copy, Default)]
pub struct RouterRules {
    /// Choice and ejection of minions.
    pub table: TableRules,
    /// Limits of the admission queue.
    pub queue: QueueRules,
    /// Limits on the number of retries.
    pub budget: BudgetRules,
    /// Delay before a retry.
    pub backoff: Backoff,
}

/// Why a request is shed. The request is not sent to a minion; earlier attempts of a retried request
/// may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shed {
    /// The queue is full, and this request was evicted or not queued.
    Full,
    /// The deadline would pass before the answer.
    Late,
    /// No minion is in service.
    NoMinion,
}

/// A request to be admitted and routed to a minion.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Account to which the request is attributed.
    pub account: Name,
    /// Ticket, deadline and minion to avoid.
    pub request: SlotRequest,
    /// Whether the request is a retry.
    pub retried: bool,
}

/// Result of [`Router::admit`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The request is to be sent to this minion, where it counts as running.
    Start(Endpoint),
    /// The request is queued. The queued request with the given ticket, if any, was evicted to make
    /// room.
    Wait(Option<u64>),
    /// The request is shed for the given reason.
    Shed(Shed),
}

/// A request that left the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dequeued {
    /// Ticket of the request.
    pub ticket: u64,
    /// Minion to which the request is to be sent, or why the request is shed.
    pub result: Result<Endpoint, Shed>,
}

/// Routes the requests of one service.
#[derive(Debug)]
pub struct Router {
    rules: RouterRules,
    table: MinionTable,
    queue: Queue,
    budget: RetryBudget,
    estimate: Estimate,
    rng: SmallRng,
}

impl Router {
    /// Creates a router without minions for an entry instance in `zone`.
    #[must_use]
    pub fn new(zone: Name, rules: RouterRules, seed: u64, now: Time) -> Self {
        Self {
            rules,
            table: MinionTable::new(zone, rules.table),
            queue: Queue::new(rules.queue),
            budget: RetryBudget::new(rules.budget, now),
            estimate: Estimate::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Applies a new instance list.
    pub fn update(&mut self, listed: &[Listed], now: Time) {
        self.table.update(listed, now);
    }

    /// Reserves memory for a request body before the body is read. Returns whether the limits
    /// allowed it.
    pub fn reserve_bytes(&mut self, account: &Name, bytes: u64) -> bool {
        self.queue.reserve_bytes(account, bytes)
    }

    /// Releases the memory reserved for a request body.
    pub fn release_bytes(&mut self, account: &Name, bytes: u64) {
        self.queue.release_bytes(account, bytes);
    }

    /// Starts, queues or sheds a request whose whole body has been read.
    pub fn admit(&mut self, arrival: AdmissionRequest, now: Time) -> Admission {
        if !arrival.retried {
            self.budget.deposit();
        }
        let capacity = self.table.capacity(now);
        if capacity == 0 {
            return Admission::Shed(Shed::NoMinion);
        }
        if self.misses_deadline(&arrival, capacity, now) {
            return Admission::Shed(Shed::Late);
        }
        let AdmissionRequest {
            account,
            request,
            retried,
        } = arrival;
        if self.queue.is_empty()
            && let Some(endpoint) = self.pick(request.avoid.as_ref(), now)
        {
            self.queue.started(&account);
            return Admission::Start(endpoint);
        }
        let ticket = request.ticket;
        match self.queue.push(&account, request, retried) {
            Some(evicted) if evicted == ticket => Admission::Shed(Shed::Full),
            evicted => Admission::Wait(evicted),
        }
    }

    /// Returns whether the request is expected to miss its deadline.
    fn misses_deadline(&self, arrival: &AdmissionRequest, capacity: u32, now: Time) -> bool {
        let account = &arrival.account;
        let ahead = if self.queue.is_empty() || arrival.retried {
            0
        } else {
            self.queue.waiting(account) as u64 + 1
        };
        let slots = u64::from(self.queue.share(account, capacity));
        let wait = self.estimate.wait(ahead, slots, now);
        now + wait + self.estimate.tail_latency(now).max(1) > arrival.request.deadline
    }

    /// Removes and returns the next request that can leave the queue; `None` if no request is
    /// queued or no minion has a free slot.
    pub fn dequeue(&mut self, now: Time) -> Option<Dequeued> {
        if self.queue.is_empty() || !self.table.has_free(now) {
            return None;
        }
        let (account, request) = self.queue.pop()?;
        let ticket = request.ticket;
        if now + self.estimate.tail_latency(now).max(1) > request.deadline {
            let result = Err(Shed::Late);
            return Some(Dequeued { ticket, result });
        }
        let result = self.pick(request.avoid.as_ref(), now).ok_or(Shed::NoMinion);
        if result.is_ok() {
            self.queue.started(&account);
        }
        Some(Dequeued { ticket, result })
    }

    fn pick(&mut self, avoid: Option<&Name>, now: Time) -> Option<Endpoint> {
        self.table.pick(avoid, now, &mut self.rng)
    }

    /// Removes a queued request. Returns whether the request was queued.
    pub fn cancel(&mut self, account: &Name, ticket: u64) -> bool {
        self.queue.cancel(account, ticket)
    }

    /// Records the end of an attempt at `minion`. `latency_ms` is the time to the answer, `None`
    /// without an answer.
    pub fn finish(
        &mut self,
        account: &Name,
        minion: &str,
        feedback: Feedback,
        latency_ms: Option<u64>,
        now: Time,
    ) {
        self.queue.ended(account);
        self.table.finish(minion, feedback, now);
        if let Some(ms) = latency_ms {
            self.estimate.record(ms, now);
        }
    }

    /// Returns after how many milliseconds the request is retried; `None` if it is not.
    pub fn retry(&mut self, candidate: &RetryCandidate, now: Time) -> Option<u64> {
        retry_after(
            candidate,
            now,
            &self.rules.backoff,
            &mut self.budget,
            &mut self.rng,
        )
    }

    /// Starts a hedged attempt, if possible at another minion than `avoid`, and returns its minion.
    /// Returns `None` if requests are queued, the retry budget is used up, or no minion has a free
    /// slot.
    pub fn hedge(&mut self, account: &Name, avoid: &Name, now: Time) -> Option<Endpoint> {
        if !self.queue.is_empty() || !self.budget.withdraw(now) {
            return None;
        }
        let endpoint = self.pick(Some(avoid), now)?;
        self.queue.started(account);
        Some(endpoint)
    }

    /// Returns the tail latency in milliseconds, within which nearly all requests are answered; 0
    /// if it is not known.
    #[must_use]
    pub fn tail_latency(&self, now: Time) -> u64 {
        self.estimate.tail_latency(now)
    }

    /// Returns the table of minions.
    #[must_use]
    pub fn table(&self) -> &MinionTable {
        &self.table
    }

    /// Returns the admission queue.
    #[must_use]
    pub fn queue(&self) -> &Queue {
        &self.queue
    }
}
