//! The plan: a description of a development cell and its workload in YAML.

use eyre::{WrapErr, ensure};
use primrosebay_state::Name;
use primrosebay_state::job::JobSpec;
use primrosebay_state::resources::Resources;
use serde::Deserialize;

/// Maximum number of workers, and of minions, in a development cell.
const MAX_INSTANCES: usize = 200;

/// A development cell and its workload.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Region to which all zones belong.
    pub region: Name,
    /// Availability zones, at least one.
    pub zones: Vec<Name>,
    /// Workers of the cell.
    pub workers: Workers,
    /// Minions of the cell.
    pub minions: Minions,
    /// Teams, each with one key.
    pub teams: Vec<Team>,
    /// Jobs to submit, grouped by team and specification; may be empty.
    pub jobs: Vec<Jobs>,
    /// Requests to send, grouped by service and client account; may be empty.
    pub requests: Vec<Requests>,
}

/// Identical workers, spread evenly over the zones.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workers {
    /// Number of workers, 1 to `MAX_INSTANCES`.
    pub count: usize,
    /// Number of workers in each rack, at least 1.
    pub per_rack: usize,
    /// Total resources of each worker.
    pub resources: Resources,
}

/// Identical minions, spread evenly over the zones.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Minions {
    /// Number of minions, 1 to `MAX_INSTANCES`.
    pub count: usize,
    /// Maximum number of requests that a minion runs concurrently.
    pub slots: u32,
    /// Maximum number of open connections of a minion.
    pub connections: usize,
    /// Services, at least one, spread evenly over the minions. A minion runs one service.
    pub services: Vec<Name>,
    /// Time for which a minion runs a request, in milliseconds.
    pub service_ms: u64,
}

/// A team with one key.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team, which is also the name of its key resource.
    pub name: Name,
    /// Key in plain text; for development only.
    pub key: String,
    /// Weight of the team's share when the cell is full.
    pub share: u32,
    /// Upper limit of the resources that the team may use.
    pub limit: Resources,
}

/// Jobs of a team with the same specification.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Jobs {
    /// Team that submits the jobs.
    pub team: Name,
    /// Number of jobs.
    pub count: usize,
    /// Specification of each job. A number is appended to its name.
    pub spec: JobSpec,
}

/// Requests of a client account to one service.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Requests {
    /// Service that runs the requests.
    pub service: Name,
    /// Team whose key the requests carry.
    pub team: Name,
    /// Client account of the requests.
    pub account: Name,
    /// Number of requests.
    pub count: usize,
    /// Requests per second; 0 counts as 1.
    pub rate: u64,
    /// Whether requests may be retried: `idempotent` or `once`.
    pub repeat: Name,
}

impl Plan {
    /// Decodes and checks a plan.
    pub fn parse(text: &str) -> eyre::Result<Self> {
        let plan: Self = serde_norway::from_str(text).wrap_err("invalid development plan")?;
        ensure!(!plan.zones.is_empty(), "zones: expected at least one");
        for (path, count) in [
            ("workers.count", plan.workers.count),
            ("minions.count", plan.minions.count),
        ] {
            ensure!(
                (1..=MAX_INSTANCES).contains(&count),
                "{path}: expected 1 to {MAX_INSTANCES}"
            );
        }
        ensure!(
            !plan.minions.services.is_empty(),
            "minions.services: expected at least one"
        );
        ensure!(
            plan.workers.per_rack > 0,
            "workers.per_rack: expected at least 1"
        );
        Ok(plan)
    }

    /// Returns the key of `team`. Fails if the team is not in the plan.
    pub fn key(&self, team: &str) -> eyre::Result<&str> {
        self.teams
            .iter()
            .find(|t| &*t.name == team)
            .map(|t| t.key.as_str())
            .ok_or_else(|| eyre::eyre!("team {team} is not in the plan"))
    }
}
