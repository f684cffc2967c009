//! Resources that operators manage, and changes to them.

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::resources::Resources;

/// The kinds of resources, in ascending order.
pub const KINDS: [&str; 4] = ["key", "queue", "team", "zone"];

/// Whether tasks may start in a zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// Tasks may start.
    #[default]
    In,
    /// No task starts; running tasks continue.
    Out,
}

/// The contents of a resource that operators manage.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Resource {
    /// A team of callers, whose resource usage is counted and limited.
    Team {
        /// Weight of the team when the resources of the cell do not suffice for all teams.
        share: u32,
        /// The most resources that the running tasks of the team may hold in the whole cell.
        limit: Resources,
    },
    /// A key of a team, stored as a hash.
    Key {
        /// The team that the key belongs to.
        team: Name,
        /// SHA-256 of the key, as 64 lower-case hexadecimal digits.
        hash: Name,
    },
    /// An availability zone that operators have declared.
    Zone {
        /// Whether tasks may start in the zone.
        state: ZoneState,
        /// The region; the zones of a region form the quorum for operation without the log.
        #[serde(default)]
        region: Name,
    },
    /// A queue for jobs.
    Queue {
        /// Whether other teams and callers without a key may submit jobs.
        open: bool,
        /// The team that owns the queue; all jobs of the queue count towards its usage.
        team: Name,
    },
}

impl Resource {
    /// Returns the kind as it appears in paths of the API and in [`StoredResource::kind`].
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

/// A resource with its name and version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredResource {
    /// The kind, such as `team`.
    pub kind: Name,
    /// The name, unique within the kind.
    pub name: Name,
    /// The log offset of the latest change of the resource, plus 1.
    pub version: u64,
    /// The contents; its variant is that of `kind`.
    pub spec: Resource,
}

/// A write or deletion of one resource, as recorded in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The kind of the resource.
    pub kind: Name,
    /// The name of the resource.
    pub name: Name,
    /// The version that the change replaces; 0 if the resource must not exist yet.
    pub expected: u64,
    /// The new contents; `None` to delete the resource.
    pub spec: Option<Resource>,
}
