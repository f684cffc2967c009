//! Identifiers of records that were applied before.

use std::collections::VecDeque;

use crate::id::RecordId;

/// Identifiers that are kept. A record is sent again only until its publisher has seen the end of
/// the log outage that hid the acknowledgement, which is a few hundred records later at most.
pub const SEEN_CAPACITY: usize = 16_384;

/// The latest record identifiers.
///
/// Single identifiers are kept and not the highest sequence number of each process, because a
/// record whose append failed may follow a later one of the same process.
#[derive(Debug, Clone, Default)]
pub struct SeenIds {
    order: VecDeque<RecordId>,
    sorted: Vec<RecordId>,
}

impl SeenIds {
    /// Adds `id` and returns whether it is new.
    pub fn insert(&mut self, id: RecordId) -> bool {
        let Err(at) = self.sorted.binary_search(&id) else {
            return false;
        };
        self.sorted.insert(at, id);
        self.order.push_back(id);
        if self.order.len() > SEEN_CAPACITY
            && let Some(old) = self.order.pop_front()
            && let Ok(at) = self.sorted.binary_search(&old)
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
