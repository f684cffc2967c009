//! Pauses between attempts to connect.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Doubling pauses with jitter, so that the peers of a restarted instance do not all connect to it
/// at the same moment.
#[derive(Debug)]
pub struct Backoff {
    limits: (Duration, Duration),
    next: Duration,
    random: SmallRng,
}

impl Backoff {
    /// Creates the pauses between the shortest and the longest of `limits`.
    #[must_use]
    pub fn new(limits: (Duration, Duration), seed: u64) -> Self {
        Self {
            limits,
            next: limits.0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the next pause: between half and all of a value that doubles with each call.
    pub fn pause(&mut self) -> Duration {
        let pause = self.next.mul_f64(self.random.random_range(0.5..=1.0));
        self.next = (self.next * 2).min(self.limits.1);
        pause
    }

    /// Starts again at the shortest pause.
    pub fn reset(&mut self) {
        self.next = self.limits.0;
    }
}
