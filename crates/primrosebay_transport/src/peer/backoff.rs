//! Backoff between connection attempts.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Exponential backoff with jitter, so that the peers of a restarted instance do not all connect to
/// it at the same moment.
#[derive(Debug)]
pub struct Backoff {
    limits: (Duration, Duration),
    interval: Duration,
    rng: SmallRng,
}

impl Backoff {
    /// Creates a backoff whose interval grows from the first to the second of `limits`. `seed`
    /// determines the jitter.
    #[must_use]
    pub fn new(limits: (Duration, Duration), seed: u64) -> Self {
        Self {
            limits,
            interval: limits.0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the next pause, a random time between half of the interval and all of it, and
    /// doubles the interval.
    pub fn pause(&mut self) -> Duration {
        let pause = self.interval.mul_f64(self.rng.random_range(0.5..=1.0));
        self.interval = (self.interval * 2).min(self.limits.1);
        pause
    }

    /// Resets the interval to the shortest one.
    pub fn reset(&mut self) {
        self.interval = self.limits.0;
    }
}
