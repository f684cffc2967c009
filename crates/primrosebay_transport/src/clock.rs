//! A monotonic clock that tests can replace.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use primrosebay_state::time::Time;

/// A monotonic clock with a resolution of one millisecond.
#[derive(Clone)]
pub struct Clock(Arc<dyn Fn() -> Time + Send + Sync>);

impl Clock {
    /// Creates a clock that returns the values of `read`, which must never decrease.
    pub fn new(read: impl Fn() -> Time + Send + Sync + 'static) -> Self {
        Self(Arc::new(read))
    }

    /// Creates a clock that also advances while the machine is suspended (`CLOCK_BOOTTIME`), so that
    /// a process that resumes knows that its last confirmations are out of date.
    #[must_use]
    pub fn boot() -> Self {
        Self::new(|| {
            let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
            let secs = u64::try_from(now.tv_sec).unwrap_or(0);
            let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
            Time(secs * 1_000 + nanos / 1_000_000)
        })
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        (self.0)()
    }
}

/// Returns the processor time that this process has used.
#[must_use]
pub fn processor_time() -> Duration {
    let used = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
    let secs = u64::try_from(used.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(used.tv_nsec).unwrap_or(0);
    Duration::new(secs, nanos)
}

impl Default for Clock {
    /// Creates a clock that starts at 0 and follows the machine's monotonic clock.
    fn default() -> Self {
        let origin = Instant::now();
        Self::new(move || {
            let ms = origin.elapsed().as_millis();
            Time(u64::try_from(ms).unwrap_or(u64::MAX))
        })
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Clock({:?})", self.now())
    }
}
