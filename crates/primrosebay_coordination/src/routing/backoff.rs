//! Waiting times between attempts.

use rand::Rng;
use rand::rngs::SmallRng;

/// Exponential backoff with jitter.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    /// Upper end of the first wait, in milliseconds.
    pub base: u64,
    /// Longest wait, in milliseconds.
    pub cap: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { base: 4, cap: 250 }
    }
}

impl Backoff {
    /// Returns the wait in milliseconds before the attempt after `attempts` attempts.
    ///
    /// The wait is drawn from the upper half of the current step, so that callers that failed
    /// together do not come back together.
    pub fn wait(&self, attempts: u32, rng: &mut SmallRng) -> u64 {
        let doublings = attempts.saturating_sub(1).min(20);
        let step = (self.base << doublings).min(self.cap);
        rng.random_range(step / 2..=step)
    }
}
