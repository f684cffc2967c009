//! All decisions about the requests of one service.

use primrosebay_state::Name;
use primrosebay_state::time::Time;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::admission::{Queue, QueueRules, Waiting};
use super::backoff::Backoff;
use super::budget::{BudgetRules, RetryBudget};
use super::estimate::Estimate;
use super::minion::{Endpoint, Feedback, Listed};
use super::retry::{Candidate, retry_after};
use super::table::{Table, TableRules};

/// Rules of a router.
#[derive(Debug, Clone, Copy, Default)]
pub struct RouterRules {
    /// How minions are chosen.
    pub table: TableRules,
    /// Bounds of the queue.
    pub queue: QueueRules,
    /// How much is retried.
    pub budget: BudgetRules,
    /// How long retries wait.
    pub backoff: Backoff,
}

/// Why a request is turned away. In each case this attempt has not been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shed {
    /// The queue is full.
    Full,
    /// The deadline would pass before an answer.
    Late,
    /// No minion is in service.
    NoMinion,
}

/// A request that asks for a minion.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// The account that the request counts for.
    pub account: Name,
    /// The request with its deadline.
    pub request: Waiting,
    /// Whether the request was sent before.
    pub retried: bool,
}

/// The answer to an offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The request goes to this minion.
    Start(Endpoint),
    /// The request waits. The request with the given ticket, if any, was turned away for it.
    Wait(Option<u64>),
    /// The request is turned away.
    Shed(Shed),
}

/// A request that leaves the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dequeued {
    /// The request.
    pub ticket: u64,
    /// The minion that it goes to, or why it is turned away.
    pub result: Result<Endpoint, Shed>,
}

/// Routes the requests of one service.
#[derive(Debug)]
pub struct Router {
    rules: RouterRules,
    table: Table,
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
            table: Table::new(zone, rules.table),
            queue: Queue::new(rules.queue),
            budget: RetryBudget::new(rules.budget, now),
            estimate: Estimate::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes over the live list.
    pub fn update(&mut self, listed: &[Listed], now: Time) {
        self.table.update(listed, now);
    }

    /// Holds room for a body before it is read, and returns whether there was room.
    pub fn reserve_bytes(&mut self, account: &Name, bytes: u64) -> bool {
        self.queue.reserve_bytes(account, bytes)
    }

    /// Gives back the room of a body.
    pub fn release_bytes(&mut self, account: &Name, bytes: u64) {
        self.queue.release_bytes(account, bytes);
    }

    /// Decides about a request that has its whole body.
    pub fn admit(&mut self, offer: AdmissionRequest, now: Time) -> Admission {
        if !offer.retried {
            self.budget.deposit();
        }
        let capacity = self.table.capacity(now);
        if capacity == 0 {
            return Admission::Shed(Shed::NoMinion);
        }
        if self.late(&offer, capacity, now) {
            return Admission::Shed(Shed::Late);
        }
        let AdmissionRequest {
            account,
            request,
            retried,
        } = offer;
        if self.queue.is_empty()
            && let Some(site) = self.pick(request.avoid.as_ref(), now)
        {
            self.queue.started(&account);
            return Admission::Start(site);
        }
        let ticket = request.ticket;
        match self.queue.push(&account, request, retried) {
            Some(evicted) if evicted == ticket => Admission::Shed(Shed::Full),
            evicted => Admission::Wait(evicted),
        }
    }

    fn late(&self, offer: &AdmissionRequest, capacity: u32, now: Time) -> bool {
        let account = &offer.account;
        let ahead = if self.queue.is_empty() || offer.retried {
            0
        } else {
            self.queue.waiting(account) as u64 + 1
        };
        let slots = u64::from(self.queue.share(account, capacity));
        let wait = self.estimate.wait(ahead, slots, now);
        now + wait + self.estimate.tail_latency(now).max(1) > offer.request.deadline
    }

    /// Returns the next request that leaves the queue, until there is none that can.
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

    /// Removes a request that waits and returns whether it was waiting.
    pub fn cancel(&mut self, account: &Name, ticket: u64) -> bool {
        self.queue.cancel(account, ticket)
    }

    /// Records the end of an attempt at `minion`, which took `took` milliseconds if it was answered.
    pub fn finish(
        &mut self,
        account: &Name,
        minion: &str,
        feedback: Feedback,
        took: Option<u64>,
        now: Time,
    ) {
        self.queue.ended(account);
        self.table.finish(minion, feedback, now);
        if let Some(ms) = took {
            self.estimate.record(ms, now);
        }
    }

    /// Returns after how many milliseconds the request is sent again, or nothing if it is not.
    pub fn retry(&mut self, candidate: &Candidate, now: Time) -> Option<u64> {
        retry_after(
            candidate,
            now,
            &self.rules.backoff,
            &mut self.budget,
            &mut self.rng,
        )
    }

    /// Takes one retry for a hedged attempt and chooses its minion.
    pub fn hedge(&mut self, account: &Name, avoid: &Name, now: Time) -> Option<Endpoint> {
        if !self.queue.is_empty() || !self.budget.withdraw(now) {
            return None;
        }
        let site = self.pick(Some(avoid), now)?;
        self.queue.started(account);
        Some(site)
    }

    /// Returns the time within which nearly all requests are answered, in milliseconds; 0 if
    /// nothing is known.
    #[must_use]
    pub fn tail_latency(&self, now: Time) -> u64 {
        self.estimate.tail_latency(now)
    }

    /// Returns the minions.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the waiting requests.
    #[must_use]
    pub fn queue(&self) -> &Queue {
        &self.queue
    }
}
