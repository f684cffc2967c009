//! Snapshots of the configuration, published before the retention of the log drops the records that
//! they replace.

use serde::{Deserialize, Serialize};

use super::history::History;
use super::resource::{Resource, StoredResource};
use super::{Config, KeyHash};
use crate::allowance::Allowances;
use crate::id::RecordId;
use crate::record::{Body, Record};

/// Most resources in one part. With [`PART_IDS`], keeps a part well below the 256 KB of an append.
const PART_ITEMS: usize = 256;
/// Most record identifiers in one part.
const PART_IDS: usize = 2048;

/// One part of a snapshot of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigSnapshotPart {
    /// The snapshot includes the effect of all records before this offset.
    pub at: u64,
    /// The index of this part, from 0.
    pub part: u32,
    /// The number of parts of the snapshot, at least 1.
    pub parts: u32,
    /// Resources, sorted by kind and name.
    pub items: Vec<StoredResource>,
    /// All allowances in the first part; empty in the other parts.
    pub allowances: Allowances,
    /// Identifiers of applied records, oldest first. A reader that starts from the snapshot must
    /// ignore the same duplicates as a reader of the whole log.
    pub seen: Vec<RecordId>,
}

impl Config {
    /// Returns a snapshot of the configuration in parts. Two instances at the same offset return
    /// the same parts.
    #[must_use]
    pub fn snapshot_parts(&self) -> Vec<ConfigSnapshotPart> {
        let seen: Vec<RecordId> = self.seen.iter().collect();
        let mut items = self.items.chunks(PART_ITEMS);
        let mut ids = seen.chunks(PART_IDS);
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

    fn from_parts(parts: &[&ConfigSnapshotPart], history: usize) -> Option<Self> {
        let first = parts.first()?;
        let mut config = Self {
            next: first.at,
            history: History::new(first.at, history),
            allowances: first.allowances.clone(),
            ..Self::default()
        };
        for part in parts {
            for item in &part.items {
                config.restore_item(item);
            }
            for id in &part.seen {
                config.seen.insert(*id);
            }
        }
        Some(config)
    }

    /// Inserts a resource of a snapshot and indexes it if it is a key. Allowances are not updated,
    /// because the snapshot holds them.
    pub(super) fn restore_item(&mut self, item: &StoredResource) {
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

/// Restores the configuration from the records that the log still keeps.
#[derive(Debug)]
pub struct Loader {
    oldest: u64,
    history: usize,
    records: Vec<(u64, Record)>,
}

impl Loader {
    /// Creates a loader for a log whose oldest kept offset is `oldest`. The restored configuration
    /// keeps up to `history` changes for watches.
    #[must_use]
    pub fn new(oldest: u64, history: usize) -> Self {
        Self {
            oldest,
            history,
            records: Vec::new(),
        }
    }

    /// Adds the record at `offset`. Records must be added in log order.
    pub fn push(&mut self, offset: u64, record: Record) {
        self.records.push((offset, record));
    }

    /// Returns the configuration after the last added record. Returns `None` if the log no longer
    /// starts at offset 0 and has no complete snapshot followed by all later records.
    #[must_use]
    pub fn build(&self) -> Option<Config> {
        let mut config = if self.oldest == 0 {
            Config::with_history(self.history)
        } else {
            self.latest_snapshot()?
        };
        for (offset, record) in &self.records {
            config.apply_record(*offset, record);
        }
        Some(config)
    }

    /// Restores the latest complete snapshot whose following records are all kept.
    fn latest_snapshot(&self) -> Option<Config> {
        let mut parts: Vec<&ConfigSnapshotPart> = self
            .records
            .iter()
            .filter_map(|(_, record)| match &record.body {
                Body::ConfigSnapshot(part) if part.at >= self.oldest => Some(part),
                _ => None,
            })
            .collect();
        parts.sort_by_key(|part| (part.at, part.parts, part.part));
        parts.dedup_by_key(|part| (part.at, part.parts, part.part));
        parts
            .chunk_by(|a, b| (a.at, a.parts) == (b.at, b.parts))
            .rfind(|group| group.len() == group[0].parts as usize)
            .and_then(|group| Config::from_parts(group, self.history))
    }
}
