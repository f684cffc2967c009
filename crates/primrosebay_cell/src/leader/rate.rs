//! Detection of accounts that submit jobs faster than their share allows.

use primrosebay_state::time::Time;

/// A token bucket with a capacity of one second's jobs.
#[derive(Debug)]
pub(super) struct TokenBucket {
    /// Available tokens, in thousandths of a job.
    tokens_milli: u64,
    refilled: Time,
}

impl TokenBucket {
    pub(super) fn new(per_second: u32, now: Time) -> Self {
        Self {
            tokens_milli: u64::from(per_second) * 1000,
            refilled: now,
        }
    }

    /// Counts a job and returns whether it is within the rate. A rate of 0 means no limit.
    pub(super) fn take(&mut self, per_second: u32, now: Time) -> bool {
        if per_second == 0 {
            return true;
        }
        let rate = u64::from(per_second);
        let tokens = self.tokens_milli + rate * now.since(self.refilled);
        self.tokens_milli = tokens.min(rate * 1000);
        self.refilled = now;
        if self.tokens_milli < 1000 {
            return false;
        }
        self.tokens_milli -= 1000;
        true
    }
}
