//! Estimate of service times from observed answers.

use primrosebay_state::time::Time;

/// Inverse weight of one observation in the moving mean.
const MEAN_WEIGHT: u64 = 16;
/// Inverse weight of one observation in the moving mean deviation.
const DEVIATION_WEIGHT: u64 = 8;
/// Fixed-point units of one millisecond, so that means of a few milliseconds keep their fractions.
const SCALE: u64 = 1024;
/// Shortest time in milliseconds for which an estimate is valid without a new observation. It has
/// to expire: an estimate that causes every request to be shed gets no new observations.
const MIN_TTL_MS: u64 = 1_000;

/// Moving mean and mean deviation of the service time of minions.
#[derive(Debug, Clone, Copy, Default)]
pub struct Estimate {
    /// Mean in fixed-point units.
    mean: u64,
    /// Mean deviation in fixed-point units.
    deviation: u64,
    /// When the last observation was recorded.
    last: Option<Time>,
}

impl Estimate {
    /// Records an answer that took `ms` milliseconds.
    pub fn record(&mut self, ms: u64, now: Time) {
        let sample = ms.min(1 << 32) * SCALE;
        if self.is_valid(now) {
            let error = sample.abs_diff(self.mean);
            self.mean = (self.mean * (MEAN_WEIGHT - 1) + sample) / MEAN_WEIGHT;
            self.deviation = (self.deviation * (DEVIATION_WEIGHT - 1) + error) / DEVIATION_WEIGHT;
        } else {
            self.mean = sample;
            self.deviation = sample / 2;
        }
        self.last = Some(now);
    }

    /// Returns the expected milliseconds until a request with `ahead` requests before it gets one
    /// of `slots` slots; 0 without a valid estimate.
    #[must_use]
    pub fn wait(&self, ahead: u64, slots: u64, now: Time) -> u64 {
        if self.is_valid(now) {
            self.mean * ahead / SCALE / slots.max(1)
        } else {
            0
        }
    }

    /// Returns the tail latency in milliseconds, within which nearly all requests are answered: the
    /// mean plus three mean deviations. Returns 0 without a valid estimate.
    #[must_use]
    pub fn tail_latency(&self, now: Time) -> u64 {
        if self.is_valid(now) {
            (self.mean + 3 * self.deviation).div_ceil(SCALE)
        } else {
            0
        }
    }

    /// Returns whether the last observation is recent enough.
    fn is_valid(&self, now: Time) -> bool {
        let ttl_ms = MIN_TTL_MS.max(4 * self.mean / SCALE);
        self.last.is_some_and(|at| now.since(at) < ttl_ms)
    }
}
