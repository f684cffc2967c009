//! Decision whether a request is retried after a failed attempt.

use primrosebay_state::job::Repeat;
use primrosebay_state::time::Time;
use rand::rngs::SmallRng;

use super::backoff::Backoff;
use super::budget::RetryBudget;

/// Largest number of attempts of one request, refused ones not included.
const MAX_ATTEMPTS: u32 = 4;
/// Largest number of refused attempts of one request. A refusal costs a minion nothing, and at high
/// load several in a row are common while entry instances compete for the last free slots.
const MAX_REFUSALS: u32 = 16;

/// Why an attempt has no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request was sent.
    NotSent,
    /// The minion answered that it did not run the request.
    Refused,
    /// The request was sent, at least in part, and no answer came.
    Lost,
    /// The minion ran the request and failed.
    Failed,
}

/// Whether a request ran, considering all its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// Every attempt was refused or not sent, or there was no attempt.
    NotRun,
    /// An attempt may have run, and none is known to have failed.
    Unknown,
    /// An attempt ran and failed.
    Failed,
}

/// Summary of the attempts of one request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Attempts {
    /// Number of attempts, refused ones included.
    pub count: u32,
    refused: u32,
    lost: bool,
    failed: bool,
}

impl Attempts {
    /// Records the failure of an attempt.
    pub fn record(&mut self, failure: AttemptFailure) {
        self.count += 1;
        self.refused += u32::from(failure == AttemptFailure::Refused);
        self.lost |= failure == AttemptFailure::Lost;
        self.failed |= failure == AttemptFailure::Failed;
    }

    /// Returns whether no further attempt is allowed.
    fn exhausted(&self) -> bool {
        self.count - self.refused >= MAX_ATTEMPTS || self.refused >= MAX_REFUSALS
    }

    /// Returns whether any of the attempts ran. All attempts count, not only the last one: a
    /// refusal does not undo an earlier attempt that may have run.
    #[must_use]
    pub fn execution(&self) -> Execution {
        match (self.failed, self.lost) {
            (true, _) => Execution::Failed,
            (false, true) => Execution::Unknown,
            (false, false) => Execution::NotRun,
        }
    }
}

/// A request that may be retried after its last attempt failed.
#[derive(Debug, Clone, Copy)]
pub struct RetryCandidate {
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// When the client stops waiting for the answer.
    pub deadline: Time,
    /// Whether the whole body is still available to be sent again.
    pub replayable: bool,
    /// Summary of all attempts, the last one included.
    pub attempts: Attempts,
    /// Failure of the last attempt.
    pub failure: AttemptFailure,
}

/// Returns after how many milliseconds the request is retried; `None` if it is not.
pub fn retry_after(
    candidate: &RetryCandidate,
    now: Time,
    backoff: &Backoff,
    budget: &mut RetryBudget,
    rng: &mut SmallRng,
) -> Option<u64> {
    if !candidate.replayable || candidate.attempts.exhausted() {
        return None;
    }
    let not_run = matches!(
        candidate.failure,
        AttemptFailure::NotSent | AttemptFailure::Refused
    );
    if candidate.repeat == Repeat::Once && !not_run {
        return None;
    }
    let delay = backoff.delay(candidate.attempts.count, rng);
    if now + delay >= candidate.deadline {
        return None;
    }
    // The budget bounds the work that retries add, and an attempt that did not run added none.
    (not_run || budget.withdraw(now)).then_some(delay)
}
