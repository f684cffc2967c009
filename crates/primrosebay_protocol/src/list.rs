//! Messages of the platform's list service, which lists all instances.

use serde::{Deserialize, Serialize};

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;

/// The role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves the API and coordinates zones.
    Entry,
    /// Runs tasks.
    Worker,
    /// Serves the requests of one service.
    Minion,
}

/// The state of an instance as the platform reports it, with a delay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Liveness {
    /// The instance is in service.
    #[default]
    Live,
    /// The instance is about to stop and must not get new work.
    Leaving,
}

/// An entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The unique name of the instance.
    pub name: Name,
    /// The role of the instance.
    pub role: Role,
    /// The availability zone in which the instance runs.
    pub zone: Name,
    /// The rack; empty if unknown.
    #[serde(default)]
    pub rack: Name,
    /// The service that a minion serves; empty for other roles.
    #[serde(default)]
    pub service: Name,
    /// Address and port: the peer interface of an entry instance, the HTTP interface of other
    /// instances.
    pub address: Name,
    /// Whether the instance is in service or about to stop.
    #[serde(default)]
    pub state: Liveness,
    /// The total resources of a worker; zero for other roles.
    #[serde(default)]
    pub resources: Resources,
}

/// The response of the list service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Instances {
    /// All known instances, including those that are about to stop.
    pub instances: Vec<Instance>,
}
