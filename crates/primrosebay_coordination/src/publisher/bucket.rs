//! The append rate of one entry instance.

use primrosebay_state::time::Time;

/// Appends a second of all entry instances together. The rest of the 300/s that the log allows
/// covers a list of instances that lags.
pub const TOTAL_RATE: u64 = 240;
/// Appends that all instances together may save up for a burst, but at least one for each. With a
/// list that lacks one of six instances, 288 appends and bursts of 12 stay within 300/s.
const TOTAL_BURST: u64 = 10;
/// Parts of one token, so that rates below one append a millisecond need no fractions.
const TOKEN: u64 = 1_000_000;

/// A token bucket whose rate is this instance's part of [`TOTAL_RATE`].
#[derive(Debug)]
pub struct TokenBucket {
    /// Parts of a token that are added each millisecond.
    rate: u64,
    burst: u64,
    level: u64,
    at: Time,
}

impl TokenBucket {
    /// Creates a bucket with one token for one of `instances`.
    #[must_use]
    pub fn new(instances: usize) -> Self {
        let mut bucket = Self {
            rate: 0,
            burst: TOKEN,
            level: TOKEN,
            at: Time(0),
        };
        bucket.set_instances(Time(0), instances);
        bucket
    }

    /// Sets the number of instances that share the rate; at least one.
    pub fn set_instances(&mut self, now: Time, instances: usize) {
        self.fill(now);
        let instances = instances.max(1) as u64;
        self.rate = (TOTAL_RATE * TOKEN / 1000 / instances).max(1);
        self.burst = TOKEN.max(TOTAL_BURST * TOKEN / instances);
        self.level = self.level.min(self.burst);
    }

    /// Takes a token if there is one.
    pub fn take(&mut self, now: Time) -> bool {
        self.fill(now);
        let enough = self.level >= TOKEN;
        if enough {
            self.level -= TOKEN;
        }
        enough
    }

    /// Returns when the next token is there.
    #[must_use]
    pub fn ready(&self, now: Time) -> Time {
        let missing = TOKEN.saturating_sub(self.level);
        now.max(self.at + missing.div_ceil(self.rate))
    }

    fn fill(&mut self, now: Time) {
        let added = now.since(self.at).saturating_mul(self.rate);
        self.level = self.level.saturating_add(added).min(self.burst);
        self.at = self.at.max(now);
    }
}
