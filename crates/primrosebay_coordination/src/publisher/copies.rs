//! Copies of records that other entry instances could not append yet.

use std::collections::VecDeque;

use primrosebay_state::Name;
use primrosebay_state::id::{Incarnation, RecordId};
use primrosebay_state::record::Record;

use super::QueueFull;

/// Limits of the copies that one instance holds.
#[derive(Debug, Clone)]
pub struct CopyLimits {
    /// Records.
    pub count: usize,
    /// Bytes.
    pub bytes: usize,
}

impl Default for CopyLimits {
    fn default() -> Self {
        Self {
            count: 100_000,
            bytes: 32 << 20,
        }
    }
}

#[derive(Debug)]
struct Copy {
    stream: Name,
    record: Record,
    bytes: usize,
    /// Whether the copy was handed to this instance's own publisher.
    queued: bool,
}

/// The copies that one entry instance holds for others, in the order of their arrival.
#[derive(Debug, Default)]
pub struct Copies {
    limits: CopyLimits,
    held: VecDeque<Copy>,
    /// The identifiers of the held records, sorted.
    ids: Vec<RecordId>,
    bytes: usize,
}

impl Copies {
    /// Creates an empty store.
    #[must_use]
    pub fn new(limits: CopyLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Returns the number of records held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether no record is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Holds a record whose encoding has `bytes` bytes. A record that is held already is not added
    /// again.
    ///
    /// # Errors
    /// Returns an error if there is no room.
    pub fn hold(&mut self, stream: &Name, record: Record, bytes: usize) -> Result<(), QueueFull> {
        let Err(at) = self.ids.binary_search(&record.id) else {
            return Ok(());
        };
        if self.held.len() >= self.limits.count || self.bytes + bytes > self.limits.bytes {
            return Err(QueueFull);
        }
        self.ids.insert(at, record.id);
        self.bytes += bytes;
        self.held.push_back(Copy {
            stream: stream.clone(),
            record,
            bytes,
            queued: false,
        });
        Ok(())
    }

    /// Drops a copy, because its record is in the log.
    pub fn release(&mut self, id: RecordId) {
        let Ok(known) = self.ids.binary_search(&id) else {
            return;
        };
        self.ids.remove(known);
        if let Some(at) = self.held.iter().position(|copy| copy.record.id == id)
            && let Some(copy) = self.held.remove(at)
        {
            self.bytes -= copy.bytes;
        }
    }

    /// Returns the copies that this instance has to append itself, because the process that made
    /// them is not `alive`. Each copy is returned once and held until its record is in the log.
    pub fn due(&mut self, alive: impl Fn(Incarnation) -> bool) -> Vec<(Name, Record, usize)> {
        let orphans = self
            .held
            .iter_mut()
            .filter(|copy| !copy.queued && !alive(copy.record.id.incarnation));
        orphans
            .map(|copy| {
                copy.queued = true;
                (copy.stream.clone(), copy.record.clone(), copy.bytes)
            })
            .collect()
    }

    /// Offers a copy again that [`Self::due`] returned but that could not be queued.
    pub fn retry(&mut self, id: RecordId) {
        if let Some(copy) = self.held.iter_mut().find(|copy| copy.record.id == id) {
            copy.queued = false;
        }
    }
}
