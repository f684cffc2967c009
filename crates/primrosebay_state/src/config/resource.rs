//! Operators' resources and changes to them.

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::resources::Resources;

/// The kinds of resources, in ascending order.
pub const KINDS: [&str; 4] = ["key", "queue", "team", "zone"];

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
        /// The region; the zones of a region form the quorum for going on without the log.
        #[serde(default)]
        region: Name,
    },
    /// A queue.
    Queue {
        /// Whether callers without a key may use it.
        open: bool,
        /// The team that the work of an open queue counts for.
        team: Name,
    },
}

impl Resource {
    /// Returns the kind, as in paths and in [`StoredResource::kind`].
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Team { .. } => "team",
            Self::Key { .. } => "key",
            Self::Zone { .. } => "zone",
            Self::Queue { .. } => "queue",
        }
    }
}

/// A stored resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredResource {
    /// The kind, such as `team`.
    pub kind: Name,
    /// The name, unique within the kind.
    pub name: Name,
    /// The log offset of the change that wrote it, plus 1.
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
