//! Observed service times.

use primrosebay_state::time::Time;

/// Weight of the history against one observation in the mean.
const MEAN_WEIGHT: u64 = 16;
/// Weight of the history against one observation in the mean deviation.
const DEVIATION_WEIGHT: u64 = 8;
/// Fixed-point factor, so that times of a few milliseconds are averaged without loss.
const SCALE: u64 = 1024;
/// How long an estimate holds without a new observation, in milliseconds. An estimate that sheds
/// every request gets no new observations, so it must end by itself.
const MIN_TTL: u64 = 1_000;

/// Moving mean and mean deviation of the time that minions take.
#[derive(Debug, Clone, Copy, Default)]
pub struct Estimate {
    mean: u64,
    deviation: u64,
    last: Option<Time>,
}

impl Estimate {
    /// Records one answer that took `ms`.
    pub fn record(&mut self, ms: u64, now: Time) {
        let sample = ms.min(1 << 32) * SCALE;
        if self.known(now) {
            let error = sample.abs_diff(self.mean);
            self.mean = (self.mean * (MEAN_WEIGHT - 1) + sample) / MEAN_WEIGHT;
            self.deviation = (self.deviation * (DEVIATION_WEIGHT - 1) + error) / DEVIATION_WEIGHT;
        } else {
            self.mean = sample;
            self.deviation = sample / 2;
        }
        self.last = Some(now);
    }

    /// Returns the milliseconds until a request with `ahead` requests before it gets one of `slots`
    /// slots; 0 if nothing is known.
    #[must_use]
    pub fn wait(&self, ahead: u64, slots: u64, now: Time) -> u64 {
        if self.known(now) {
            self.mean * ahead / SCALE / slots.max(1)
        } else {
            0
        }
    }

    /// Returns the time within which nearly all requests are answered, in milliseconds; 0 if
    /// nothing is known.
    #[must_use]
    pub fn tail_latency(&self, now: Time) -> u64 {
        if self.known(now) {
            (self.mean + 3 * self.deviation).div_ceil(SCALE)
        } else {
            0
        }
    }

    fn known(&self, now: Time) -> bool {
        let ttl = MIN_TTL.max(4 * self.mean / SCALE);
        self.last.is_some_and(|at| now.since(at) < ttl)
    }
}
