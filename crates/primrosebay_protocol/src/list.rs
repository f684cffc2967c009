//! The platform's list of instances.

use serde::{Deserialize, Serialize};

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;

/// What an instance is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Runs a process of the system.
    Entry,
    /// Runs tasks.
    Worker,
    /// Serves requests.
    Minion,
}

/// What the platform says about an instance, with a lag.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Liveness {
    /// The instance is in service.
    #[default]
    Live,
    /// The instance is about to stop and must get no new work.
    Leaving,
}

/// One instance of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The unique name.
    pub name: Name,
    /// What the instance is for.
    pub role: Role,
    /// The availability zone.
    pub zone: Name,
    /// The rack; empty if unknown.
    #[serde(default)]
    pub rack: Name,
    /// The service that a minion serves; empty for other roles.
    #[serde(default)]
    pub service: Name,
    /// Address and port of the instance's HTTP interface; of its peer interface for entry
    /// instances.
    pub address: Name,
    /// Whether the instance is leaving.
    #[serde(default)]
    pub state: Liveness,
    /// What a worker holds.
    #[serde(default)]
    pub resources: Resources,
}

/// The answer of the list service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Instances {
    /// All known instances.
    pub instances: Vec<Instance>,
}
