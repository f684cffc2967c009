//! Resource usage of teams.

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;

use super::Scheduler;

/// Resource usage of one team in one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamUsage {
    /// The name of the team.
    pub team: Name,
    /// The resources that the team may use in the zone.
    pub allowance: Resources,
    /// The resources of its running tasks and of the claims of its urgent tasks.
    pub used: Resources,
    /// The resources that its pending tasks request.
    pub wanted: Resources,
}

impl Scheduler {
    /// Returns the resource usage of each configured team.
    #[must_use]
    pub fn usage(&self) -> Vec<TeamUsage> {
        let mut wanted = vec![Resources::ZERO; self.teams.items.len()];
        for job in self.jobs.items.iter().flatten() {
            let amount = job.amount.times(job.pending.len() as u64);
            wanted[job.team] = wanted[job.team].plus(&amount);
        }
        self.teams
            .items
            .iter()
            .zip(wanted)
            .filter(|(team, _)| team.configured)
            .map(|(team, wanted)| TeamUsage {
                team: team.name.clone(),
                allowance: team.allowance,
                used: team.used.plus(&team.claimed),
                wanted,
            })
            .collect()
    }
}
