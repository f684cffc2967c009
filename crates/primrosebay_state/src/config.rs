//! Operators' resources and the configuration that log records build.

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::resources::Resources;

/// Whether tasks may start in a zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// Tasks start.
    #[default]
    In,
    /// No task starts; running work moves away.
    Out,
}

/// The contents of an operators' resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Resource {
    /// A team with its share and its upper limit across the fleet.
    Team {
        /// Weight of the team when the cell is full.
        share: u32,
        /// The most that the team may have running.
        limit: Resources,
    },
    /// A key of a team, kept as a hash.
    Key {
        /// The team that the key belongs to.
        team: Name,
        /// SHA-256 of the key, in hexadecimal digits.
        hash: Name,
    },
    /// An availability zone.
    Zone {
        /// Whether tasks may start.
        state: ZoneState,
    },
    /// A queue.
    Queue {
        /// Whether callers without a key may use it.
        open: bool,
        /// The team that the work of an open queue counts for.
        team: Name,
    },
}

/// A stored resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Stored {
    /// The kind, such as `team`.
    pub kind: Name,
    /// The name, unique within the kind.
    pub name: Name,
    /// The log offset of the change that wrote it.
    pub version: u64,
    /// The contents.
    pub spec: Resource,
}

/// One change of configuration as recorded in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The kind of the resource.
    pub kind: Name,
    /// The name of the resource.
    pub name: Name,
    /// The version that the change replaces; 0 if the resource must not exist yet.
    pub expected: u64,
    /// The new contents; nothing to delete the resource.
    pub spec: Option<Resource>,
}

/// What became of a change when it was applied in log order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The change is in force.
    Done,
    /// Another change came first.
    Conflict,
    /// The offset had been applied before.
    Old,
}

/// The configuration at one log offset.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// The offset after the last applied record.
    pub next: u64,
    items: Vec<Stored>,
}

impl Config {
    /// Creates an empty configuration.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Restores a configuration from the resources of a snapshot that includes all offsets before
    /// `next`.
    #[must_use]
    pub fn restore(next: u64, mut items: Vec<Stored>) -> Self {
        items.sort_by(|a, b| (&a.kind, &a.name).cmp(&(&b.kind, &b.name)));
        Self { next, items }
    }

    /// Returns all resources, by kind and name.
    #[must_use]
    pub fn stored(&self) -> &[Stored] {
        &self.items
    }

    /// Applies the change recorded at `offset`. Offsets that were passed before have no effect, so
    /// that the configuration never goes back.
    pub fn apply(&mut self, offset: u64, change: &Change) -> Applied {
        if offset < self.next {
            return Applied::Old;
        }
        self.next = offset + 1;
        let at = self.position(&change.kind, &change.name);
        let current = at.map_or(0, |i| self.items[i].version);
        if current != change.expected {
            return Applied::Conflict;
        }
        match (at, &change.spec) {
            (Ok(i), Some(spec)) => {
                // Offset 0 would read as "does not exist", so versions are offsets plus 1.
                self.items[i].version = offset + 1;
                self.items[i].spec = spec.clone();
            }
            (Ok(i), None) => {
                self.items.remove(i);
            }
            (Err(i), Some(spec)) => self.items.insert(
                i,
                Stored {
                    kind: change.kind.clone(),
                    name: change.name.clone(),
                    version: offset + 1,
                    spec: spec.clone(),
                },
            ),
            (Err(_), None) => {}
        }
        Applied::Done
    }

    /// Returns the resource of `kind` with `name`.
    #[must_use]
    pub fn get(&self, kind: &str, name: &str) -> Option<&Stored> {
        self.position(kind, name).ok().map(|i| &self.items[i])
    }

    /// Returns all resources of `kind`, by name.
    pub fn list<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a Stored> {
        let start = self.items.partition_point(|item| &*item.kind < kind);
        self.items[start..]
            .iter()
            .take_while(move |item| &*item.kind == kind)
    }

    /// Returns the team that the key with `hash` belongs to.
    #[must_use]
    pub fn key_team(&self, hash: &str) -> Option<Name> {
        self.list("key").find_map(|item| match &item.spec {
            Resource::Key { team, hash: known } if &**known == hash => Some(team.clone()),
            _ => None,
        })
    }

    /// Returns the state of `zone`; an unknown zone is in.
    #[must_use]
    pub fn zone_state(&self, zone: &str) -> ZoneState {
        match self.get("zone", zone).map(|item| &item.spec) {
            Some(Resource::Zone { state }) => *state,
            _ => ZoneState::In,
        }
    }

    fn position(&self, kind: &str, name: &str) -> Result<usize, usize> {
        self.items
            .binary_search_by(|item| (&*item.kind, &*item.name).cmp(&(kind, name)))
    }
}
