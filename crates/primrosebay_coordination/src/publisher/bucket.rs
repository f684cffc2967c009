//! Token bucket that limits the append rate of one entry instance.

use primrosebay_state::time::Time;

/// Appends per second of all entry instances together. The remainder of the 300/s that the log
/// allows covers an instance list that lags.
pub const TOTAL_RATE: u64 = 240;
/// Appends that all instances together may save up for a burst; each may save up at least one. If
/// the instance list lacks one of six instances, their 288 appends per second and bursts of 12 stay
/// within 300/s.
const TOTAL_BURST: u64 = 10;
/// Units of one token. The fine unit makes rates below one append per millisecond whole numbers.
const TOKEN_UNITS: u64 = 1_000_000;

/// A token bucket whose rate is this instance's share of [`TOTAL_RATE`]. Each append takes a token.
#[derive(Debug)]
pub struct TokenBucket {
    /// Units added per millisecond.
    rate: u64,
    /// Largest level in units.
    burst: u64,
    /// Level at `filled` in units.
    level: u64,
    filled: Time,
}

impl TokenBucket {
    /// Creates a bucket with one token for one of `instances` entry instances.
    #[must_use]
    pub fn new(instances: usize) -> Self {
        let mut bucket = Self {
            rate: 0,
            burst: TOKEN_UNITS,
            level: TOKEN_UNITS,
            filled: Time(0),
        };
        bucket.set_instances(Time(0), instances);
        bucket
    }

    /// Sets the number of instances that share the rate; 0 counts as 1.
    pub fn set_instances(&mut self, now: Time, instances: usize) {
        self.refill(now);
        let instances = instances.max(1) as u64;
        self.rate = (TOTAL_RATE * TOKEN_UNITS / 1000 / instances).max(1);
        self.burst = TOKEN_UNITS.max(TOTAL_BURST * TOKEN_UNITS / instances);
        self.level = self.level.min(self.burst);
    }

    /// Takes a token and returns whether one was available.
    pub fn take(&mut self, now: Time) -> bool {
        self.refill(now);
        let available = self.level >= TOKEN_UNITS;
        if available {
            self.level -= TOKEN_UNITS;
        }
        available
    }

    /// Returns when the next token is available; `now` if one is.
    #[must_use]
    pub fn ready(&self, now: Time) -> Time {
        let missing = TOKEN_UNITS.saturating_sub(self.level);
        now.max(self.filled + missing.div_ceil(self.rate))
    }

    fn refill(&mut self, now: Time) {
        let added = now.since(self.filled).saturating_mul(self.rate);
        self.level = self.level.saturating_add(added).min(self.burst);
        self.filled = self.filled.max(now);
    }
}
