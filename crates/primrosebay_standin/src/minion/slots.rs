//! Request slots of a minion.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// A fixed number of slots, one for each request that runs at the same time.
#[derive(Debug)]
pub(super) struct Slots {
    limit: u32,
    busy: Arc<AtomicU32>,
}

/// An occupied slot, freed when dropped.
#[derive(Debug)]
pub(super) struct Slot(Arc<AtomicU32>);

impl Slots {
    pub(super) fn new(limit: u32) -> Self {
        Self {
            limit,
            busy: Arc::default(),
        }
    }

    /// Occupies a slot, or returns `None` if all are occupied.
    pub(super) fn acquire(&self) -> Option<Slot> {
        let slot = Slot(Arc::clone(&self.busy));
        (self.busy.fetch_add(1, Ordering::SeqCst) < self.limit).then_some(slot)
    }

    /// Returns the number of occupied slots. The counter exceeds `limit` for a moment while
    /// [`Self::acquire`] fails.
    pub(super) fn busy(&self) -> u32 {
        self.busy.load(Ordering::SeqCst).min(self.limit)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
