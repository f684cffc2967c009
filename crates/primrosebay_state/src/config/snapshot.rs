//! The configuration as records, published before retention drops the originals.

use serde::{Deserialize, Serialize};

use super::history::History;
use super::resource::{Resource, StoredResource};
use super::{Config, KeyHash};
use crate::allowance::Allowances;
use crate::id::RecordId;
use crate::record::{Body, Record};

/// Resources and identifiers in one piece, so that a piece stays well below an append's 256 KB.
const PIECE_ITEMS: usize = 256;
const PIECE_IDS: usize = 2048;

/// One piece of a snapshot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigSnapshotPart {
    /// The snapshot holds the effect of all records before this offset.
    pub at: u64,
    /// The number of this piece, from 0.
    pub part: u32,
    /// The number of pieces.
    pub parts: u32,
    /// Resources, by kind and name.
    pub items: Vec<StoredResource>,
    /// Allowances, in the first piece only.
    pub allowances: Allowances,
    /// Identifiers of applied records, oldest first. Readers that start here must ignore the same
    /// duplicates as all others.
    pub seen: Vec<RecordId>,
}

impl Config {
    /// Returns the configuration as pieces of a snapshot. Two instances at the same offset return
    /// the same pieces.
    #[must_use]
    pub fn snapshot_parts(&self) -> Vec<ConfigSnapshotPart> {
        let seen: Vec<RecordId> = self.seen.iter().collect();
        let mut items = self.items.chunks(PIECE_ITEMS);
        let mut ids = seen.chunks(PIECE_IDS);
        let parts = items.len().max(ids.len()).max(1);
        let parts = u32::try_from(parts).unwrap_or(u32::MAX);
        (0..parts)
            .map(|part| ConfigSnapshotPart {
                at: self.next,
                part,
                parts,
                items: items
                    .next()
                    .map_or_else(Vec::new, <[StoredResource]>::to_vec),
                allowances: if part == 0 {
                    self.allowances.clone()
                } else {
                    Allowances::default()
                },
                seen: ids.next().map_or_else(Vec::new, <[RecordId]>::to_vec),
            })
            .collect()
    }

    fn from_pieces(pieces: &[&ConfigSnapshotPart], history: usize) -> Option<Self> {
        let first = pieces.first()?;
        let mut config = Self {
            next: first.at,
            history: History::new(first.at, history),
            allowances: first.allowances.clone(),
            ..Self::default()
        };
        for piece in pieces {
            for item in &piece.items {
                config.put_back(item);
            }
            for id in &piece.seen {
                config.seen.insert(*id);
            }
        }
        Some(config)
    }

    pub(super) fn put_back(&mut self, item: &StoredResource) {
        if let Resource::Key { hash, .. } = &item.spec
            && let Some(hash) = KeyHash::parse(hash)
        {
            self.keys.insert(&item.name, item.version, hash);
        }
        match self.position(&item.kind, &item.name) {
            Ok(i) => self.items[i] = item.clone(),
            Err(i) => self.items.insert(i, item.clone()),
        }
    }
}

/// Builds the configuration from what the log still keeps.
#[derive(Debug)]
pub struct Loader {
    oldest: u64,
    history: usize,
    records: Vec<(u64, Record)>,
}

impl Loader {
    /// Creates a loader for a log whose oldest kept offset is `oldest`. The configuration keeps
    /// `history` changes for watches.
    #[must_use]
    pub fn new(oldest: u64, history: usize) -> Self {
        Self {
            oldest,
            history,
            records: Vec::new(),
        }
    }

    /// Adds the record at `offset`; records are added in log order.
    pub fn push(&mut self, offset: u64, record: Record) {
        self.records.push((offset, record));
    }

    /// Returns the configuration at the end of the records, or nothing if there is no complete
    /// snapshot whose following records are all kept.
    #[must_use]
    pub fn build(&self) -> Option<Config> {
        let mut config = if self.oldest == 0 {
            Config::with_history(self.history)
        } else {
            self.latest()?
        };
        for (offset, record) in &self.records {
            config.apply_record(*offset, record);
        }
        Some(config)
    }

    fn latest(&self) -> Option<Config> {
        let mut pieces: Vec<&ConfigSnapshotPart> = self
            .records
            .iter()
            .filter_map(|(_, record)| match &record.body {
                Body::ConfigSnapshot(piece) if piece.at >= self.oldest => Some(piece),
                _ => None,
            })
            .collect();
        pieces.sort_by_key(|piece| (piece.at, piece.parts, piece.part));
        pieces.dedup_by_key(|piece| (piece.at, piece.parts, piece.part));
        pieces
            .chunk_by(|a, b| (a.at, a.parts) == (b.at, b.parts))
            .rfind(|group| group.len() == group[0].parts as usize)
            .and_then(|group| Config::from_pieces(group, self.history))
    }
}
