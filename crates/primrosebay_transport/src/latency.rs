//! How long a service takes to answer, and how long to wait for it.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Shortest timeout. It leaves room for a retransmission on a healthy link.
const MIN_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest timeout, so that a service that has gone silent is noticed.
const MAX_TIMEOUT: Duration = Duration::from_secs(2);

/// How many times its recent latency a service may take.
const LATENCIES: u32 = 4;

/// How long an answer says something about the next one.
const MEMORY: Duration = Duration::from_secs(3);

/// Long polls of which the shortest shows how long an answer takes that waits for nothing.
const POLLS: usize = 4;

#[derive(Debug, Default)]
struct Recent {
    /// The slowest answer, forgotten step by step with later ones, and when it was noted.
    call: Duration,
    called: Option<Instant>,
    polls: [Duration; POLLS],
    polled: usize,
}

/// The recent latency of a service.
#[derive(Debug, Default)]
pub struct Latency(Mutex<Recent>);

impl Latency {
    fn lock(&self) -> MutexGuard<'_, Recent> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes how long an answer took, or how long one was waited for in vain.
    pub fn record(&self, took: Duration) {
        let mut recent = self.lock();
        recent.call = took.max(recent.call * 3 / 4);
        recent.called = Some(Instant::now());
    }

    /// Notes how long a long poll took.
    pub fn record_poll(&self, took: Duration) {
        let mut recent = self.lock();
        let at = recent.polled % POLLS;
        recent.polls[at] = took;
        recent.polled += 1;
    }

    /// Returns the recent latency.
    #[must_use]
    pub fn recent(&self) -> Duration {
        let recent = self.lock();
        let valid = recent.called.is_some_and(|at| at.elapsed() < MEMORY);
        let call = if valid { recent.call } else { Duration::ZERO };
        let poll = recent.polls.iter().min().copied().unwrap_or_default();
        call.max(poll)
    }

    /// Returns how long to wait for the next answer. A service that has become slow is given more
    /// time with each answer that comes too late.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        (MIN_TIMEOUT + self.recent() * LATENCIES).min(MAX_TIMEOUT)
    }
}
