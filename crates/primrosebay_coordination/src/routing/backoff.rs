//! Delays between the attempts of a request.

use rand::Rng;
use rand::rngs::SmallRng;

/// Exponential backoff with jitter.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    /// Upper bound of the first delay in milliseconds.
    pub base: u64,
    /// Upper bound of all delays in milliseconds.
    pub cap: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { base: 4, cap: 250 }
    }
}

impl Backoff {
    /// Returns the delay in milliseconds before the next attempt, after `attempts` attempts.
    ///
    /// The upper bound doubles with each attempt. The delay is drawn from its upper half, so that
    /// requests that failed at the same time are not retried at the same time.
    pub fn delay(&self, attempts: u32, rng: &mut SmallRng) -> u64 {
        let doublings = attempts.saturating_sub(1).min(20);
        let bound = (self.base << doublings).min(self.cap);
        rng.random_range(bound / 2..=bound)
    }
}
