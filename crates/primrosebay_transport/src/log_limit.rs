//! Limits the number of log lines about one kind of event that others can cause at any rate.

use std::time::{Duration, Instant};

/// Maximum number of lines in an interval: enough to name the writers of a few odd records.
const MAX_LINES: u32 = 10;

/// Length of an interval. One line a second on average is as much as the leader's summary.
const INTERVAL: Duration = Duration::from_secs(10);

/// Admits a bounded number of log lines in each interval and counts the others.
#[derive(Debug, Default)]
pub struct LogLimit {
    /// Start of the interval; `None` before the first line.
    start: Option<Instant>,
    /// Lines admitted in the interval.
    lines: u32,
    /// Lines left out since the last admitted one.
    left_out: u64,
}

impl LogLimit {
    /// Returns whether a line may be written at `now`, as the number of lines left out before it;
    /// `None` if this line is left out as well.
    pub fn admit(&mut self, now: Instant) -> Option<u64> {
        let is_over = |start: Instant| now.saturating_duration_since(start) >= INTERVAL;
        if self.start.is_none_or(is_over) {
            self.start = Some(now);
            self.lines = 0;
        }
        if self.lines >= MAX_LINES {
            self.left_out += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
