//! Teams, their resource usage and their order by weighted dominant share.

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_state::table::Table;
use primrosebay_state::time::Time;

use super::queue::Queue;

/// Weight of a team with share 0, which gets only resources that no other team requests.
const MIN_WEIGHT: f64 = 1e-6;

/// A team, its usage of the zone and its pending jobs.
#[derive(Debug)]
pub(super) struct Team {
    pub(super) name: Name,
    pub(super) share: u32,
    /// Resources that the team may use in the zone.
    pub(super) allowance: Resources,
    /// False for a removed team and for one known only from its jobs.
    pub(super) configured: bool,
    /// Resources used by all running tasks.
    pub(super) used: Resources,
    /// Resources used by urgent tasks.
    pub(super) urgent: Resources,
    /// Resources claimed by urgent tasks that wait for their victims to stop.
    pub(super) claimed: Resources,
    /// Resources used by tasks that are being preempted.
    pub(super) stopping: Resources,
    /// Sequence number of the first pending job, and when that job was first seen at the head of
    /// the team furthest below its share.
    pub(super) starving: Option<(u64, Time)>,
    /// Number of tasks that are being preempted.
    pub(super) preempting: usize,
    pub(super) queue: Queue,
}

impl Team {
    /// Returns whether the allowance of the team permits `amount` more.
    pub(super) fn allows(&self, amount: &Resources) -> bool {
        let after = self.used.plus(&self.claimed).plus(amount);
        self.configured && after.fits(&self.allowance)
    }

    /// Returns whether urgent tasks stay within `permille` of `total` with `amount` more. A team
    /// without urgent tasks may always start one.
    pub(super) fn allows_urgent(
        &self,
        amount: &Resources,
        total: &Resources,
        permille: u32,
    ) -> bool {
        let before = self.urgent.plus(&self.claimed);
        before.is_zero()
            || before.plus(amount).dominant_share(total) <= f64::from(permille) / 1000.0
    }

    /// Returns whether the team exceeds its allowance, not counting tasks that are being preempted.
    pub(super) fn exceeds_allowance(&self) -> bool {
        !self.used.minus(&self.stopping).fits(&self.allowance)
    }

    fn weight(&self) -> f64 {
        f64::from(self.share).max(MIN_WEIGHT)
    }

    /// Returns the dominant share less a bonus, divided by the weight; the lowest rank comes first.
    pub(super) fn rank(&self, total: &Resources, bonus: f64) -> f64 {
        (self.used.dominant_share(total) - bonus) / self.weight()
    }

    /// Returns the weighted dominant share of urgent tasks.
    pub(super) fn urgent_rank(&self, total: &Resources) -> f64 {
        self.urgent.dominant_share(total) / self.weight()
    }
}

/// All teams, by name and by index.
#[derive(Debug, Default)]
pub(super) struct Teams {
    names: Table<Name, usize>,
    pub(super) items: Vec<Team>,
}

impl Teams {
    pub(super) fn find(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Returns the index of the team, which is created without an allowance if it is unknown.
    pub(super) fn intern(&mut self, name: &Name) -> usize {
        if let Some(id) = self.find(name) {
            return id;
        }
        let id = self.items.len();
        self.items.push(Team {
            name: name.clone(),
            share: 0,
            allowance: Resources::ZERO,
            configured: false,
            used: Resources::ZERO,
            urgent: Resources::ZERO,
            claimed: Resources::ZERO,
            stopping: Resources::ZERO,
            starving: None,
            preempting: 0,
            queue: Queue::default(),
        });
        self.names.insert(name.clone(), id);
        id
    }
}
