//! The latest changes, for watches.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::resource::{Change, Resource};
use crate::Name;

/// Changes that are kept. At 710 changes a day they reach back more than five days.
pub const HISTORY_CAPACITY: usize = 4096;

/// A change that is in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// The offset to watch from in order to get what follows this event.
    pub next: u64,
    /// The kind of the resource.
    pub kind: Name,
    /// The name of the resource.
    pub name: Name,
    /// The new contents; nothing if the resource was deleted.
    pub spec: Option<Resource>,
}

/// The offset to watch from is older than the oldest change that is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("changes are kept from offset {oldest}")]
pub struct TooOld {
    /// The lowest offset that can be watched from.
    pub oldest: u64,
}

/// A bounded list of changes in log order.
#[derive(Debug, Clone)]
pub struct History {
    oldest: u64,
    bound: usize,
    events: VecDeque<Event>,
}

impl Default for History {
    fn default() -> Self {
        Self::new(0, HISTORY_CAPACITY)
    }
}

impl History {
    /// Creates a history that knows nothing before the offset `oldest` and keeps `bound` changes.
    #[must_use]
    pub fn new(oldest: u64, bound: usize) -> Self {
        Self {
            oldest,
            bound,
            events: VecDeque::new(),
        }
    }

    /// Adds the change at `offset`, and drops the oldest one if there are too many.
    pub fn push(&mut self, offset: u64, change: &Change) {
        self.events.push_back(Event {
            next: offset + 1,
            kind: change.kind.clone(),
            name: change.name.clone(),
            spec: change.spec.clone(),
        });
        while self.events.len() > self.bound {
            self.oldest = self.events.pop_front().map_or(0, |event| event.next);
        }
    }

    /// Returns the changes at `from` and later.
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
