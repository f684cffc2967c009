//! The description of a development cell and its workload.

use eyre::{WrapErr, ensure};
use primrosebay_state::Name;
use primrosebay_state::job::JobSpec;
use primrosebay_state::resources::Resources;
use serde::Deserialize;

/// Most instances of one kind that a development cell starts.
const MAX_INSTANCES: usize = 200;

/// A development cell and its workload.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The region of all zones.
    pub region: Name,
    /// The availability zones.
    pub zones: Vec<Name>,
    /// The workers.
    pub workers: Workers,
    /// The minions.
    pub minions: Minions,
    /// The teams.
    pub teams: Vec<Team>,
    /// The jobs to submit.
    pub jobs: Vec<Jobs>,
    /// The requests to send.
    pub requests: Vec<Requests>,
}

/// Workers of one shape, spread evenly over the zones.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workers {
    /// How many there are.
    pub count: usize,
    /// Workers on one rack.
    pub per_rack: usize,
    /// What each worker holds.
    pub resources: Resources,
}

/// Minions of one shape, spread evenly over the zones.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Minions {
    /// How many there are.
    pub count: usize,
    /// Requests that a minion serves at a time.
    pub slots: u32,
    /// Most open connections of a minion.
    pub connections: usize,
    /// The services, spread evenly over the minions.
    pub services: Vec<Name>,
    /// How long a minion takes for a request, in milliseconds.
    pub service_ms: u64,
}

/// A team and one key of it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The name.
    pub name: Name,
    /// The key in the clear; for development only.
    pub key: String,
    /// The weight when the cell is full.
    pub share: u32,
    /// The upper limit.
    pub limit: Resources,
}

/// Equal jobs of a team.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Jobs {
    /// The team.
    pub team: Name,
    /// How many jobs there are.
    pub count: usize,
    /// The job; its name gets a number.
    pub spec: JobSpec,
}

/// Equal requests of a client account.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Requests {
    /// The service.
    pub service: Name,
    /// The team.
    pub team: Name,
    /// The client account.
    pub account: Name,
    /// How many requests there are.
    pub count: usize,
    /// Requests a second.
    pub rate: u64,
    /// `idempotent` or `once`.
    pub repeat: Name,
}

impl Plan {
    /// Reads and checks a plan.
    pub fn parse(text: &str) -> eyre::Result<Self> {
        let plan: Self = serde_norway::from_str(text).wrap_err("not a development plan")?;
        ensure!(!plan.zones.is_empty(), "zones: at least one is expected");
        for (path, count) in [
            ("workers.count", plan.workers.count),
            ("minions.count", plan.minions.count),
        ] {
            ensure!(
                (1..=MAX_INSTANCES).contains(&count),
                "{path}: 1 to {MAX_INSTANCES} is expected"
            );
        }
        ensure!(
            !plan.minions.services.is_empty(),
            "minions.services: at least one is expected"
        );
        ensure!(
            plan.workers.per_rack > 0,
            "workers.per_rack: at least 1 is expected"
        );
        Ok(plan)
    }

    /// Returns the key of `team`.
    pub fn key(&self, team: &str) -> eyre::Result<&str> {
        self.teams
            .iter()
            .find(|t| &*t.name == team)
            .map(|t| t.key.as_str())
            .ok_or_else(|| eyre::eyre!("team {team} is not in the plan"))
    }
}
