//! The recent latency of a service, and the timeout of calls that follows from it.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Lower bound of the timeout. It allows for a retransmission on a healthy link.
const MIN_TIMEOUT: Duration = Duration::from_millis(300);

/// Upper bound of the timeout, so that an unresponsive service is detected.
const MAX_TIMEOUT: Duration = Duration::from_secs(2);

/// Multiple of the recent latency that the timeout allows on top of [`MIN_TIMEOUT`].
const LATENCY_FACTOR: u32 = 4;

/// Age up to which the latency of a call is used to predict that of the next one.
const CALL_VALIDITY: Duration = Duration::from_secs(3);

/// Number of recent long polls. The shortest of them shows the latency of a poll that finds a
/// record without waiting.
const POLL_SAMPLES: usize = 4;

#[derive(Debug, Default)]
struct Samples {
    /// Decaying maximum of the call latencies: each call lowers it by at most a quarter.
    call: Duration,
    /// The time of the last recorded call.
    called_at: Option<Instant>,
    /// Ring buffer of the durations of the last long polls.
    polls: [Duration; POLL_SAMPLES],
    /// Number of recorded long polls.
    poll_count: usize,
}

/// Measures the recent latency of a service.
#[derive(Debug, Default)]
pub struct Latency(Mutex<Samples>);

impl Latency {
    fn lock(&self) -> MutexGuard<'_, Samples> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the latency of a call, or the time after which a call without a response was given
    /// up.
    pub fn record(&self, latency: Duration) {
        let mut samples = self.lock();
        samples.call = latency.max(samples.call * 3 / 4);
        samples.called_at = Some(Instant::now());
    }

    /// Records the duration of a long poll, which may include a wait for a record.
    pub fn record_poll(&self, duration: Duration) {
        let mut samples = self.lock();
        let index = samples.poll_count % POLL_SAMPLES;
        samples.polls[index] = duration;
        samples.poll_count += 1;
    }

    /// Returns the recent latency: the decaying maximum of the calls or the shortest of the
    /// last long polls, whichever is longer. It is 0 without measurements.
    #[must_use]
    pub fn recent(&self) -> Duration {
        let samples = self.lock();
        let valid = samples
            .called_at
            .is_some_and(|at| at.elapsed() < CALL_VALIDITY);
        let call = if valid { samples.call } else { Duration::ZERO };
        let poll = samples.polls.iter().min().copied().unwrap_or_default();
        call.max(poll)
    }

    /// Returns the timeout of the next call. A call that timed out raises the recent latency, so a
    /// service that has become slow gets more time with each late response.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        (MIN_TIMEOUT + self.recent() * LATENCY_FACTOR).min(MAX_TIMEOUT)
    }
}
