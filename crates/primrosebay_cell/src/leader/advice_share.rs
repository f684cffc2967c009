//! The order in which steps get the instances that make slow advice calls.
//!
//! While fewer instances are free than steps wait, queues get calls by the urgency of their jobs and by
//! their priority, as in serving order. Between queues of the same priority, call time is divided by
//! max-min fairness: the one with the least call time in a sliding window is next. A queue with small
//! demand so gets all of it. A queue for which no call was started during
//! half of the window precedes the others, whatever its jobs are worth. So if the instances can make a
//! call for each queue within a window, no queue waits for longer than the window and the longest call
//! in flight.

use primrosebay_state::Name;
use primrosebay_state::table::Table;
use primrosebay_state::time::Time;

use crate::job::StepKey;

/// Window over which call time is divided, in milliseconds. Several of the longest known calls, of
/// 1.2 s, fit into it.
pub const SHARE_WINDOW_MS: u64 = 4_000;

/// Time after which a queue for which no call was started precedes the others, in milliseconds. It
/// leaves time for one call of each other queue within the window.
const PASSED_OVER_MS: u64 = SHARE_WINDOW_MS / 2;

/// How urgent a waiting step is among those of its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// The step is about to miss its last start, or has none since its tasks last.
    Pressing,
    /// The job can still meet its latency objective.
    InTime,
    /// The job can no longer meet it.
    Late,
    /// The result of the job is no longer of use.
    Expired,
}

/// A step that waits for an instance.
#[derive(Debug, Clone)]
pub struct Waiter {
    /// The step.
    pub step: StepKey,
    /// Queue of the step.
    pub queue: Name,
    /// Priority of the queue; a lower value is more urgent.
    pub priority: u32,
    /// Urgency of the step.
    pub urgency: Urgency,
    /// Whether the account exceeds the submission rate of its share.
    pub over_share: bool,
    /// Last time at which the step can start so that its job is in time, in Unix milliseconds.
    pub last_start: u64,
    /// Time since which the step has waited.
    pub since: Time,
}

impl Waiter {
    /// Orders the steps of a queue, the next one first.
    fn rank(&self) -> (Urgency, bool, u64, Time, StepKey) {
        let step = (self.since, self.step);
        (
            self.urgency,
            self.over_share,
            self.last_start,
            step.0,
            step.1,
        )
    }
}

/// A call that counts toward the share of its queue.
#[derive(Debug)]
struct Charge {
    id: u64,
    started: Time,
    ms: u64,
}

/// The calls of a queue.
#[derive(Debug, Default)]
struct Share {
    /// Calls started within the window, the oldest first.
    charges: Vec<Charge>,
    /// Start of the last call; zero if there was none.
    last_start: Time,
}

impl Share {
    fn spent_ms(&self, now: Time) -> u64 {
        let recent = |c: &&Charge| now.since(c.started) < SHARE_WINDOW_MS;
        self.charges.iter().filter(recent).map(|c| c.ms).sum()
    }
}

/// Call time of each queue within the window.
#[derive(Debug, Default)]
pub struct CallShares {
    queues: Table<Name, Share>,
    last_id: u64,
}

impl CallShares {
    /// Charges a queue for a call that starts now with its expected duration. Returns the number of the
    /// charge.
    pub fn charge(&mut self, queue: &Name, expected_ms: u64, now: Time) -> u64 {
        self.last_id += 1;
        let share = self.queues.or_insert(queue.clone(), Share::default());
        let is_recent = |c: &Charge| now.since(c.started) < SHARE_WINDOW_MS;
        share.charges.retain(is_recent);
        share.last_start = now;
        share.charges.push(Charge {
            id: self.last_id,
            started: now,
            ms: expected_ms,
        });
        self.last_id
    }

    /// Corrects a charge to the actual duration of its call; 0 for a call that was lost.
    pub fn correct(&mut self, queue: &Name, id: u64, actual_ms: u64) {
        let share = self.queues.get_mut(queue);
        let charges = share.map(|s| &mut s.charges[..]).unwrap_or_default();
        if let Some(charge) = charges.iter_mut().find(|c| c.id == id) {
            charge.ms = actual_ms;
        }
    }

    /// Returns the call time of a queue within the window, in milliseconds.
    #[must_use]
    pub fn spent_ms(&self, queue: &Name, now: Time) -> u64 {
        self.queues.get(queue).map_or(0, |s| s.spent_ms(now))
    }

    /// Returns the index of the step that gets the next instance; none if no step waits.
    #[must_use]
    pub fn next(&self, waiting: &[Waiter], now: Time) -> Option<usize> {
        let mut order: Vec<usize> = (0..waiting.len()).collect();
        order.sort_unstable_by_key(|i| (&waiting[*i].queue, waiting[*i].rank()));
        let queues = order.chunk_by(|a, b| waiting[*a].queue == waiting[*b].queue);
        let best = queues.min_by_key(|steps| self.queue_rank(waiting, steps, now));
        best.map(|steps| steps[0])
    }

    /// Orders queues, the next one first, given their waiting steps: those passed over for half a
    /// window by the length of their wait, then the others by whether their next job can be in time,
    /// their priority and their call time.
    fn queue_rank(
        &self,
        waiting: &[Waiter],
        steps: &[usize],
        now: Time,
    ) -> (bool, Urgency, u32, u64, Time) {
        let first = &waiting[steps[0]];
        let share = self.queues.get(&first.queue);
        let last_start = share.map_or(Time(0), |s| s.last_start);
        let oldest = steps.iter().map(|i| waiting[*i].since).min();
        let passed_since = last_start.max(oldest.unwrap_or(now));
        if now.since(passed_since) >= PASSED_OVER_MS {
            return (false, Urgency::Pressing, 0, 0, passed_since);
        }
        let spent_ms = share.map_or(0, |s| s.spent_ms(now));
        let urgency = first.urgency.max(Urgency::InTime);
        (true, urgency, first.priority, spent_ms, passed_since)
    }
}
