//! Snapshots of a stream's state, published before retention drops the records that they replace.

use primrosebay_state::Name;
use primrosebay_state::record::{JobSnapshotPart, SnapshotItem};
use primrosebay_state::time::Time;

/// Interval in milliseconds after which a snapshot is due regardless of retention.
const INTERVAL_MS: u64 = 10 * 60 * 1000;

/// Schedule of the snapshots of one scope: the configuration or a zone.
#[derive(Debug)]
pub struct SnapshotSchedule {
    /// When the schedule was created or the latest snapshot was completed.
    latest: Time,
    /// Offset of the first part of the latest complete snapshot.
    first: Option<u64>,
}

impl SnapshotSchedule {
    /// Creates a schedule whose first snapshot is due after the regular interval, or earlier if the
    /// log has dropped records.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            latest: now,
            first: None,
        }
    }

    /// Returns whether a snapshot is due for a stream that retains the offsets from `oldest` to
    /// before `end`. Once the log has dropped records, a snapshot is due when the latest one lies
    /// in the older half of the retained offsets, which leaves the time until retention reaches it
    /// for publishing the next.
    #[must_use]
    pub fn due(&self, now: Time, oldest: u64, end: u64) -> bool {
        let expiring = match self.first {
            Some(first) => oldest > 0 && first < oldest + (end - oldest) / 2,
            None => oldest > 0,
        };
        end > 0 && (expiring || now.since(self.latest) >= INTERVAL_MS)
    }

    /// Records a snapshot whose parts are all in the log, the first at offset `first`.
    pub fn published(&mut self, now: Time, first: u64) {
        self.latest = now;
        self.first = Some(first);
    }
}

/// Splits a snapshot of `zone` into parts of at most `limit` bytes. Each item is given with the
/// size of its encoding; an item larger than `limit` is a part of its own.
#[must_use]
pub fn split_snapshot(
    zone: &Name,
    items: Vec<(SnapshotItem, usize)>,
    limit: usize,
) -> Vec<JobSnapshotPart> {
    let mut parts: Vec<Vec<SnapshotItem>> = Vec::new();
    let mut remaining = 0;
    for (item, bytes) in items {
        match parts.last_mut() {
            Some(part) if bytes <= remaining => part.push(item),
            _ => {
                parts.push(vec![item]);
                remaining = limit;
            }
        }
        remaining = remaining.saturating_sub(bytes);
    }
    let to_part = |items| JobSnapshotPart {
        zone: zone.clone(),
        items,
    };
    parts.into_iter().map(to_part).collect()
}
