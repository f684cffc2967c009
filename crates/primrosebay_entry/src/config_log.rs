//! The configuration as built from the log, from peers or from a snapshot.

use std::collections::VecDeque;

use primrosebay_protocol::log::{Page, Placed};
use primrosebay_state::config::{Config, Loader};
use primrosebay_state::id::{Incarnation, RecordId};
use primrosebay_state::record::{Body, Record};
use primrosebay_state::time::Time;

/// Configuration records that are kept for peers that lag; at 710 changes a day, those of 5 days.
const RECENT: usize = 4_096;
/// Records that are kept after a gap, until a snapshot or a peer fills the gap.
const EARLY: usize = 100_000;

/// Applies configuration records strictly in the order of their offsets, from whichever source they
/// come first.
#[derive(Debug, Default)]
pub struct ConfigLog {
    config: Config,
    /// The latest applied records, up to the next offset.
    recent: VecDeque<Placed>,
    /// Records after a gap, sorted by offset.
    early: Vec<Placed>,
    confirmed: Option<Time>,
}

impl ConfigLog {
    /// Creates an empty configuration.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the offset after the last record that was applied.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.config.next
    }

    /// Returns the configuration.
    #[must_use]
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Notes that the end of the log had been reached with all records applied, as asked at `time`.
    pub fn confirm(&mut self, time: Time) {
        self.confirmed = self.confirmed.max(Some(time));
    }

    /// Returns the milliseconds since the end of the log was confirmed.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<u64> {
        self.confirmed.map(|time| now.since(time))
    }

    /// Takes a page of the log and returns the records that were applied now, in order. If the log
    /// no longer keeps the next record, the configuration starts again at the latest snapshot, once
    /// all of its pieces have been read.
    pub fn read(&mut self, page: Page) -> Vec<Placed> {
        let oldest = page.oldest;
        let applied = self.apply(page.records);
        if oldest > self.config.next {
            self.restore(oldest);
            return self.apply(Vec::new());
        }
        applied
    }

    /// Takes records and returns those that were applied now, in order. Records that were applied
    /// before have no effect; records after a gap wait until the gap is filled.
    pub fn apply(&mut self, records: Vec<Placed>) -> Vec<Placed> {
        for placed in records {
            let at = self
                .early
                .binary_search_by_key(&placed.offset, |early| early.offset);
            if placed.offset >= self.config.next
                && self.early.len() < EARLY
                && let Err(at) = at
            {
                self.early.insert(at, placed);
            }
        }
        let mut applied = Vec::new();
        let next = self.config.next;
        let first = self.early.partition_point(|early| early.offset < next);
        for placed in std::mem::take(&mut self.early).split_off(first) {
            if placed.offset == self.config.next {
                self.apply_next(&placed);
                applied.push(placed);
            } else {
                self.early.push(placed);
            }
        }
        applied
    }

    /// Takes the answer of a peer, which is a snapshot if the peer does not keep the next record.
    pub fn read_peer(&mut self, page: Page) -> Vec<Placed> {
        if page.oldest <= self.config.next {
            return self.apply(page.records);
        }
        let mut loader = Loader::new(page.oldest);
        for placed in page.records {
            loader.push(placed.offset, placed.record);
        }
        self.replace(loader.build());
        self.apply(Vec::new())
    }

    /// Returns the records from `from` on, or a snapshot if they are not kept any longer.
    #[must_use]
    pub fn page(&self, from: u64) -> Page {
        let next = self.config.next;
        let oldest = self.recent.front().map_or(next, |first| first.offset);
        let (oldest, records) = if from < oldest {
            (next, self.snapshot_records())
        } else {
            let newer = self.recent.iter().filter(|placed| placed.offset >= from);
            (oldest, newer.cloned().collect())
        };
        Page {
            oldest,
            end: next,
            records,
        }
    }

    /// Returns a snapshot as records for a peer. They take the last applied offset, so that they
    /// are never mistaken for new records.
    fn snapshot_records(&self) -> Vec<Placed> {
        let id = RecordId {
            incarnation: Incarnation(0),
            sequence: 0,
        };
        let pieces = self.config.pieces().into_iter();
        let placed = pieces.map(|piece| Placed {
            offset: self.config.next.saturating_sub(1),
            record: Record {
                id,
                body: Body::ConfigSnapshot(piece),
            },
        });
        placed.collect()
    }

    fn apply_next(&mut self, placed: &Placed) {
        self.config.apply_record(placed.offset, &placed.record);
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(placed.clone());
    }

    fn restore(&mut self, oldest: u64) {
        let mut loader = Loader::new(oldest);
        for placed in self.early.iter().filter(|placed| placed.offset >= oldest) {
            loader.push(placed.offset, placed.record.clone());
        }
        self.replace(loader.build());
    }

    fn replace(&mut self, config: Option<Config>) {
        let Some(config) = config.filter(|config| config.next > self.config.next) else {
            return;
        };
        log::info!(
            "log: The configuration starts at a snapshot, at {}.",
            config.next
        );
        self.config = config;
        self.recent.clear();
    }
}
