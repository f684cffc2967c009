//! Timestamps with a separate type for each clock.

use std::ops::Add;

use serde::{Deserialize, Serialize};

/// Largest difference between the rates of two clocks, in percent.
pub const MAX_DRIFT_PERCENT: u64 = 1;

/// A point in time on the local monotonic clock, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Time(pub u64);

/// A point in time on a worker's monotonic clock, in milliseconds.
///
/// The separate type prevents comparisons between times of different clocks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkerTime(pub u64);

impl Time {
    /// Returns the milliseconds from `earlier` to `self`, or 0 if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Time {
    type Output = Self;

    fn add(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }
}

impl Add<u64> for WorkerTime {
    type Output = Self;

    fn add(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }
}

/// Returns the local milliseconds after which at least `ms` milliseconds have passed on any other
/// clock, within [`MAX_DRIFT_PERCENT`].
#[must_use]
pub fn upper_bound(ms: u64) -> u64 {
    ms + (ms * MAX_DRIFT_PERCENT).div_ceil(100)
}

/// Returns the lowest number of milliseconds that can have passed on any other clock when `ms`
/// milliseconds have passed locally, within [`MAX_DRIFT_PERCENT`].
#[must_use]
pub fn lower_bound(ms: u64) -> u64 {
    ms - (ms * MAX_DRIFT_PERCENT).div_ceil(100)
}
