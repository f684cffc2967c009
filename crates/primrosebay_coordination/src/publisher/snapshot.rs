//! Snapshots, published before retention drops the records that they stand for.

use primrosebay_state::Name;
use primrosebay_state::record::{Item, Piece};
use primrosebay_state::time::Time;

/// Milliseconds after which a snapshot is published even if retention is not near.
const EVERY_MS: u64 = 10 * 60 * 1000;

/// Decides when the next snapshot of one scope is due.
#[derive(Debug)]
pub struct SnapshotPlan {
    at: Time,
    /// The offset of the first piece of the latest complete snapshot.
    first: Option<u64>,
}

impl SnapshotPlan {
    /// Creates a plan whose first snapshot is due after the usual interval, or earlier if retention
    /// is near.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            at: now,
            first: None,
        }
    }

    /// Returns whether a snapshot is due, for a stream that keeps the offsets from `oldest` up to
    /// `end`. Once the log has dropped records, a snapshot is due when the latest one has passed
    /// half of what is kept, which leaves the other half as time for publishing.
    #[must_use]
    pub fn due(&self, now: Time, oldest: u64, end: u64) -> bool {
        let near = match self.first {
            Some(first) => oldest > 0 && first < oldest + (end - oldest) / 2,
            None => oldest > 0,
        };
        end > 0 && (near || now.since(self.at) >= EVERY_MS)
    }

    /// Takes the offset of the first piece of a snapshot whose pieces are all in the log.
    pub fn published(&mut self, now: Time, first: u64) {
        self.at = now;
        self.first = Some(first);
    }
}

/// Cuts the items, each with the bytes of its encoding, into pieces of at most `limit` bytes. An
/// item that is longer is a piece of its own.
#[must_use]
pub fn split_snapshot(zone: &Name, items: Vec<(Item, usize)>, limit: usize) -> Vec<Piece> {
    let mut parts: Vec<Vec<Item>> = Vec::new();
    let mut room = 0;
    for (item, bytes) in items {
        match parts.last_mut() {
            Some(part) if bytes <= room => part.push(item),
            _ => {
                parts.push(vec![item]);
                room = limit;
            }
        }
        room = room.saturating_sub(bytes);
    }
    let piece = |items| Piece {
        zone: zone.clone(),
        items,
    };
    parts.into_iter().map(piece).collect()
}
