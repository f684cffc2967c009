//! The latest changes of the configuration, for watches.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::resource::{Change, Resource};
use crate::Name;

/// Default number of changes that are kept: more than five days at 710 changes a day.
pub const HISTORY_CAPACITY: usize = 4096;

/// A change that took effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// The offset to watch from for the changes after this event.
    pub next: u64,
    /// The kind of the resource.
    pub kind: Name,
    /// The name of the resource.
    pub name: Name,
    /// The new contents; `None` if the resource was deleted.
    pub spec: Option<Resource>,
}

/// The error for a watch from an offset before the oldest change that is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("changes are kept from offset {oldest}")]
pub struct TooOld {
    /// The lowest offset to watch from.
    pub oldest: u64,
}

/// A bounded list of changes in log order.
#[derive(Debug, Clone)]
pub struct History {
    oldest: u64,
    capacity: usize,
    events: VecDeque<Event>,
}

impl Default for History {
    fn default() -> Self {
        Self::new(0, HISTORY_CAPACITY)
    }
}

impl History {
    /// Creates an empty history that begins at the offset `oldest` and keeps up to `capacity`
    /// changes.
    #[must_use]
    pub fn new(oldest: u64, capacity: usize) -> Self {
        Self {
            oldest,
            capacity,
            events: VecDeque::new(),
        }
    }

    /// Adds the change at `offset`, and drops the oldest changes above the capacity.
    pub fn push(&mut self, offset: u64, change: &Change) {
        self.events.push_back(Event {
            next: offset + 1,
            kind: change.kind.clone(),
            name: change.name.clone(),
            spec: change.spec.clone(),
        });
        while self.events.len() > self.capacity {
            self.oldest = self.events.pop_front().map_or(0, |event| event.next);
        }
    }

    /// Returns the changes at the offset `from` and later.
    ///
    /// # Errors
    ///
    /// Returns [`TooOld`] if a change at `from` or later may have been dropped.
    pub fn since(&self, from: u64) -> Result<impl Iterator<Item = &Event>, TooOld> {
        if from < self.oldest {
            return Err(TooOld {
                oldest: self.oldest,
            });
        }
        let start = self.events.partition_point(|event| event.next <= from);
        Ok(self.events.range(start..))
    }
}
