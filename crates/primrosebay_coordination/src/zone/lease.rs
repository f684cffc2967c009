//! Arithmetic of leases: what one clock tells about another within the drift bound.

use primrosebay_state::time::{Time, WorkerTime, lower_bound};

/// The last reading of a worker's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Reading {
    pub clock: WorkerTime,
    /// Local time at which the reading had been taken at the latest.
    pub received: Time,
}

impl Reading {
    /// Returns a time that the worker's clock has reached for sure when the local clock is `now`.
    ///
    /// A deadline that is computed from it is early rather than late: the worker's clock passes
    /// `earliest(now) + ms` at most `upper_bound(ms)` after `now`.
    pub fn earliest(self, now: Time) -> WorkerTime {
        self.clock + lower_bound(now.since(self.received))
    }
}

/// Returns whether a lease of `ttl` whose renewal was sent at `sent` is still in force at the
/// worker, by the local clock alone.
pub(super) fn in_force(sent: Time, now: Time, ttl: u64) -> bool {
    now.since(sent) < lower_bound(ttl)
}
