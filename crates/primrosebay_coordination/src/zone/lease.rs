//! Lease arithmetic across two clocks whose relative drift is bounded.

use primrosebay_state::time::{Time, WorkerTime, lower_bound};

/// The last reading of a worker's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ClockReading {
    pub clock: WorkerTime,
    /// Local time at which the reading was received, so it was taken no later.
    pub received: Time,
}

impl ClockReading {
    /// Returns a lower bound of the worker's clock at the local time `now`.
    ///
    /// A deadline computed from this bound is early rather than late: the worker's clock passes
    /// `earliest(now) + ms` at most `upper_bound(ms)` after `now`.
    pub fn earliest(self, now: Time) -> WorkerTime {
        self.clock + lower_bound(now.since(self.received))
    }
}

/// Returns whether a lease of `ttl` milliseconds, granted for a request sent at `sent`, is certain
/// to be in force on the worker. Uses only the local clock.
pub(super) fn in_force(sent: Time, now: Time, ttl: u64) -> bool {
    now.since(sent) < lower_bound(ttl)
}
