//! Slots of a minion.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// A fixed number of slots.
#[derive(Debug)]
pub(super) struct Slots {
    most: u32,
    busy: Arc<AtomicU32>,
}

/// An occupied slot. It is free again when this is dropped.
#[derive(Debug)]
pub(super) struct Slot(Arc<AtomicU32>);

impl Slots {
    pub(super) fn new(most: u32) -> Self {
        Self {
            most,
            busy: Arc::default(),
        }
    }

    pub(super) fn take(&self) -> Option<Slot> {
        let slot = Slot(Arc::clone(&self.busy));
        (self.busy.fetch_add(1, Ordering::SeqCst) < self.most).then_some(slot)
    }

    pub(super) fn busy(&self) -> u32 {
        self.busy.load(Ordering::SeqCst).min(self.most)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
