//! Identifiers of recently applied records, to apply a repeated record once.

use std::collections::VecDeque;

use crate::id::RecordId;

/// Number of identifiers that are kept. A publisher resends a record only until the log outage that
/// hid the acknowledgement has ended, which is at most a few hundred records later.
pub const SEEN_CAPACITY: usize = 16_384;

/// The identifiers of the latest applied records.
///
/// Each identifier is kept, not just the highest sequence number of each process, because a record
/// whose append failed may enter the log after a later record of the same process.
#[derive(Debug, Clone, Default)]
pub struct SeenIds {
    order: VecDeque<RecordId>,
    sorted: Vec<RecordId>,
}

impl SeenIds {
    /// Adds `id` and returns whether it is new. The oldest identifier above the capacity is
    /// dropped.
    pub fn insert(&mut self, id: RecordId) -> bool {
        let Err(at) = self.sorted.binary_search(&id) else {
            return false;
        };
        self.sorted.insert(at, id);
        self.order.push_back(id);
        if self.order.len() > SEEN_CAPACITY
            && let Some(oldest) = self.order.pop_front()
            && let Ok(at) = self.sorted.binary_search(&oldest)
        {
            self.sorted.remove(at);
        }
        true
    }

    /// Returns the identifiers, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = RecordId> {
        self.order.iter().copied()
    }
}
