//! Whether a client sends or reads fast enough for the memory that it holds.

use std::time::{Duration, Instant};

/// Bytes a second from which on a client counts as making progress: the rate at which the largest body
/// of a caller (256 KiB) arrives within the time for a body (10 s).
const MIN_RATE: u64 = 26_214;

/// The progress of a client that transfers bytes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    /// Time up to which the bytes that were transferred suffice.
    covered: Instant,
}

impl Progress {
    /// Creates the progress of a client that starts at `now`.
    pub(crate) fn new(now: Instant) -> Self {
        Self { covered: now }
    }

    /// Notes that bytes were transferred. Bytes cover no time to come, so that a client cannot send
    /// ahead and then stand still.
    pub(crate) fn advance(&mut self, bytes: usize, now: Instant) {
        let micros = (bytes as u64).saturating_mul(1_000_000) / MIN_RATE;
        self.covered = (self.covered + Duration::from_micros(micros)).min(now);
    }

    /// Returns for how long the client is behind; zero if it keeps up.
    pub(crate) fn behind(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.covered)
    }
}
