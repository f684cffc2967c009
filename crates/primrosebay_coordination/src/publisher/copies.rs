//! Copies of records that other entry instances have not been able to append yet.

use std::collections::VecDeque;

use primrosebay_state::Name;
use primrosebay_state::id::{Incarnation, RecordId};
use primrosebay_state::record::Record;

use super::QueueFull;

/// Limits of the copies that one instance holds.
#[derive(Debug, Clone)]
pub struct CopyLimits {
    /// Largest number of copies.
    pub count: usize,
    /// Largest total size of the copies in bytes.
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
    /// Size of the encoded record.
    bytes: usize,
    /// Whether the record was queued in this instance's own publisher.
    queued: bool,
}

/// The copies that one entry instance holds for others, in order of arrival.
#[derive(Debug, Default)]
pub struct Copies {
    limits: CopyLimits,
    entries: VecDeque<Copy>,
    /// Identifiers of the held records, sorted.
    ids: Vec<RecordId>,
    bytes: usize,
}

impl Copies {
    /// Creates a store without copies.
    #[must_use]
    pub fn new(limits: CopyLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Returns the number of copies.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no copies.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Stores a copy of a record whose encoding has `bytes` bytes, unless one is already stored.
    ///
    /// # Errors
    /// Returns [`QueueFull`] if the copy would exceed a limit.
    pub fn hold(&mut self, stream: &Name, record: Record, bytes: usize) -> Result<(), QueueFull> {
        let Err(i) = self.ids.binary_search(&record.id) else {
            return Ok(());
        };
        if self.entries.len() >= self.limits.count || self.bytes + bytes > self.limits.bytes {
            return Err(QueueFull);
        }
        self.ids.insert(i, record.id);
        self.bytes += bytes;
        self.entries.push_back(Copy {
            stream: stream.clone(),
            record,
            bytes,
            queued: false,
        });
        Ok(())
    }

    /// Removes the copy of a record that is in the log.
    pub fn release(&mut self, id: RecordId) {
        let Ok(i) = self.ids.binary_search(&id) else {
            return;
        };
        self.ids.remove(i);
        if let Some(i) = self.entries.iter().position(|copy| copy.record.id == id)
            && let Some(copy) = self.entries.remove(i)
        {
            self.bytes -= copy.bytes;
        }
    }

    /// Returns the copies that this instance has to append itself, because the process that created
    /// the record is not `alive`: stream, record, and size in bytes. Each copy is returned once,
    /// but stays stored until its record is in the log.
    pub fn due(&mut self, alive: impl Fn(Incarnation) -> bool) -> Vec<(Name, Record, usize)> {
        let orphans = self
            .entries
            .iter_mut()
            .filter(|copy| !copy.queued && !alive(copy.record.id.incarnation));
        orphans
            .map(|copy| {
                copy.queued = true;
                (copy.stream.clone(), copy.record.clone(), copy.bytes)
            })
            .collect()
    }

    /// Lets [`Self::due`] return a copy again that could not be queued.
    pub fn retry(&mut self, id: RecordId) {
        if let Some(copy) = self.entries.iter_mut().find(|copy| copy.record.id == id) {
            copy.queued = false;
        }
    }
}
