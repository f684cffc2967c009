//! Whether a request is sent again after an attempt.

use primrosebay_state::job::Repeat;
use primrosebay_state::time::Time;
use rand::rngs::SmallRng;

use super::backoff::Backoff;
use super::budget::RetryBudget;

/// Most attempts of one request that were not refused.
const MAX_ATTEMPTS: u32 = 4;
/// Most refusals of one request. A refusal costs a minion nothing, and at high load several in a row
/// are common while other entry instances compete for the last free slots.
const MAX_REFUSALS: u32 = 16;

/// How an attempt without a usable answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request was sent.
    NotSent,
    /// The minion said that it did not run the request.
    Refused,
    /// The request was sent, at least in part, and no answer came.
    Lost,
    /// The minion ran the request and failed.
    Failed,
}

/// What the attempts of a request prove together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// No attempt ran.
    NotRun,
    /// An attempt may have run.
    Unknown,
    /// An attempt ran and failed.
    Failed,
}

/// The attempts of one request so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct Attempts {
    /// How many there were.
    pub count: u32,
    refused: u32,
    lost: bool,
    failed: bool,
}

impl Attempts {
    /// Records how one attempt ended.
    pub fn record(&mut self, ended: AttemptFailure) {
        self.count += 1;
        self.refused += u32::from(ended == AttemptFailure::Refused);
        self.lost |= ended == AttemptFailure::Lost;
        self.failed |= ended == AttemptFailure::Failed;
    }

    fn exhausted(&self) -> bool {
        self.count - self.refused >= MAX_ATTEMPTS || self.refused >= MAX_REFUSALS
    }

    /// Returns what is known about all attempts, not only the last one. A later refusal does not
    /// undo an earlier attempt that may have run.
    #[must_use]
    pub fn execution(&self) -> Execution {
        match (self.failed, self.lost) {
            (true, _) => Execution::Failed,
            (false, true) => Execution::Unknown,
            (false, false) => Execution::NotRun,
        }
    }
}

/// A request whose last attempt has ended.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Whether the whole body is still at hand.
    pub replayable: bool,
    /// All attempts, the last one included.
    pub attempts: Attempts,
    /// How the last attempt ended.
    pub failure: AttemptFailure,
}

/// Returns after how many milliseconds the request is sent again, or nothing if it is not.
pub fn retry_after(
    candidate: &Candidate,
    now: Time,
    backoff: &Backoff,
    budget: &mut RetryBudget,
    rng: &mut SmallRng,
) -> Option<u64> {
    if !candidate.replayable || candidate.attempts.exhausted() {
        return None;
    }
    let proved = matches!(
        candidate.failure,
        AttemptFailure::NotSent | AttemptFailure::Refused
    );
    if candidate.repeat == Repeat::Once && !proved {
        return None;
    }
    let wait = backoff.wait(candidate.attempts.count, rng);
    if now + wait >= candidate.deadline {
        return None;
    }
    // The budget bounds the work that retries add. An attempt that did not run added none.
    (proved || budget.withdraw(now)).then_some(wait)
}
