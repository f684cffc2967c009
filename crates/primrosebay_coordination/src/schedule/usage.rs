//! What teams use and wait for.

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;

use super::Scheduler;

/// The use of one zone by one team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamUsage {
    /// The team.
    pub team: Name,
    /// The most that the team may use in the zone.
    pub allowance: Resources,
    /// What its running tasks use.
    pub used: Resources,
    /// What its pending tasks ask for.
    pub wanted: Resources,
}

impl Scheduler {
    /// Returns what each configured team uses and waits for.
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
            .filter(|(team, _)| team.known)
            .map(|(team, wanted)| TeamUsage {
                team: team.name.clone(),
                allowance: team.allowance,
                used: team.used.plus(&team.claimed),
                wanted,
            })
            .collect()
    }
}
