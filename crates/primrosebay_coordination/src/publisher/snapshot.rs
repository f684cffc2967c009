//! Snapshots in pieces, published before retention drops the records that they stand for.

use primrosebay_state::Name;
use primrosebay_state::id::RecordId;
use primrosebay_state::record::{Item, Piece};
use primrosebay_state::time::Time;

/// Milliseconds after which a snapshot is published even if retention is not near.
const EVERY_MS: u64 = 10 * 60 * 1000;

/// Decides when the next snapshot of one scope is due.
#[derive(Debug)]
pub struct Plan {
    at: Time,
    /// The offset of the first piece of the latest complete snapshot.
    first: Option<u64>,
}

impl Plan {
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

/// Cuts the items, each with the bytes of its encoding, into pieces of at most `limit` bytes. The
/// records of the pieces take consecutive sequences from `snapshot` on.
#[must_use]
pub fn pieces(
    snapshot: RecordId,
    scope: &Name,
    through: u64,
    items: Vec<(Item, usize)>,
    limit: usize,
) -> Vec<Piece> {
    let mut parts: Vec<Vec<Item>> = vec![Vec::new()];
    let mut room = limit;
    for (item, bytes) in items {
        if bytes > room && parts.last().is_some_and(|part| !part.is_empty()) {
            parts.push(Vec::new());
            room = limit;
        }
        room = room.saturating_sub(bytes);
        if let Some(part) = parts.last_mut() {
            part.push(item);
        }
    }
    let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
    (0..)
        .zip(parts)
        .map(|(index, items)| Piece {
            snapshot,
            scope: scope.clone(),
            through,
            index,
            count,
            items,
        })
        .collect()
}

/// A complete snapshot.
#[derive(Debug, Clone, PartialEq)]
pub struct Restored {
    /// What it covers.
    pub scope: Name,
    /// The offset after the last record that it includes.
    pub through: u64,
    /// The contents.
    pub items: Vec<Item>,
}

#[derive(Debug)]
struct Partial {
    snapshot: RecordId,
    scope: Name,
    through: u64,
    pieces: Vec<Option<Vec<Item>>>,
}

/// Puts snapshots together from pieces in any order.
#[derive(Debug, Default)]
pub struct Assembler {
    partial: Vec<Partial>,
}

impl Assembler {
    /// Creates an assembler without pieces.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a piece and returns the snapshot if it is complete. Pieces of older snapshots of the
    /// same scope are dropped.
    pub fn add(&mut self, piece: &Piece) -> Option<Restored> {
        /// A snapshot with more pieces than this is not one of ours.
        const MOST: u32 = 10_000;
        if piece.index >= piece.count || piece.count > MOST {
            return None;
        }
        let same = |partial: &Partial| partial.scope == piece.scope;
        let newer = |partial: &Partial| same(partial) && partial.through > piece.through;
        if self.partial.iter().any(newer) {
            return None;
        }
        self.partial
            .retain(|partial| !same(partial) || partial.through == piece.through);
        let known = |partial: &Partial| same(partial) && partial.snapshot == piece.snapshot;
        let at = self.partial.iter().position(known).unwrap_or_else(|| {
            self.partial.push(Partial {
                snapshot: piece.snapshot,
                scope: piece.scope.clone(),
                through: piece.through,
                pieces: vec![None; piece.count as usize],
            });
            self.partial.len() - 1
        });
        let slot = self.partial[at].pieces.get_mut(piece.index as usize)?;
        *slot = Some(piece.items.clone());
        if self.partial[at].pieces.iter().any(Option::is_none) {
            return None;
        }
        let done = self.partial.swap_remove(at);
        Some(Restored {
            scope: done.scope,
            through: done.through,
            items: done.pieces.into_iter().flatten().flatten().collect(),
        })
    }
}
