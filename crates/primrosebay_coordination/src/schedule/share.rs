//! Teams, what they use, and whose turn it is.

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_state::table::Table;
use primrosebay_state::time::Time;

use super::queue::Queue;

/// Weight of a team with share 0, which gets only what no other team asks for.
const LEAST: f64 = 1e-6;

#[derive(Debug)]
pub(super) struct Team {
    pub(super) name: Name,
    pub(super) share: u32,
    pub(super) allowance: Resources,
    /// Whether the team is configured.
    pub(super) known: bool,
    pub(super) used: Resources,
    /// What urgent tasks use.
    pub(super) urgent: Resources,
    /// What urgent tasks wait for while their victims stop.
    pub(super) claimed: Resources,
    /// What tasks that are being preempted use.
    pub(super) stopping: Resources,
    /// The sequence number of the first job, and since when it has waited while the team was the
    /// furthest below its share.
    pub(super) stalled: Option<(u64, Time)>,
    /// Tasks that are being preempted.
    pub(super) victims: usize,
    pub(super) queue: Queue,
}

impl Team {
    /// Returns whether the team may use `amount` more.
    pub(super) fn allows(&self, amount: &Resources) -> bool {
        let after = self.used.plus(&self.claimed).plus(amount);
        self.known && after.fits(&self.allowance)
    }

    /// Returns whether urgent work that uses `amount` more stays within `permille` of the cell. One
    /// task is always allowed.
    pub(super) fn allows_urgent(
        &self,
        amount: &Resources,
        total: &Resources,
        permille: u32,
    ) -> bool {
        let before = self.urgent.plus(&self.claimed);
        before.is_zero() || before.plus(amount).dominant(total) <= f64::from(permille) / 1000.0
    }

    /// Returns whether the team uses more than its allowance, apart from what is stopping.
    pub(super) fn is_over(&self) -> bool {
        !self.used.minus(&self.stopping).fits(&self.allowance)
    }

    fn weight(&self) -> f64 {
        f64::from(self.share).max(LEAST)
    }

    /// Returns the weighted dominant share, less a bonus for work that waits; the lowest comes
    /// first.
    pub(super) fn rank(&self, total: &Resources, bonus: f64) -> f64 {
        (self.used.dominant(total) - bonus) / self.weight()
    }

    /// Returns the weighted dominant share of urgent work.
    pub(super) fn urgent_rank(&self, total: &Resources) -> f64 {
        self.urgent.dominant(total) / self.weight()
    }
}

/// All teams, found by name.
#[derive(Debug, Default)]
pub(super) struct Teams {
    names: Table<Name, usize>,
    pub(super) items: Vec<Team>,
}

impl Teams {
    pub(super) fn find(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Returns the position of the team, which is created without allowance if it is unknown.
    pub(super) fn intern(&mut self, name: &Name) -> usize {
        if let Some(id) = self.find(name) {
            return id;
        }
        let id = self.items.len();
        self.items.push(Team {
            name: name.clone(),
            share: 0,
            allowance: Resources::ZERO,
            known: false,
            used: Resources::ZERO,
            urgent: Resources::ZERO,
            claimed: Resources::ZERO,
            stopping: Resources::ZERO,
            stalled: None,
            victims: 0,
            queue: Queue::default(),
        });
        self.names.insert(name.clone(), id);
        id
    }
}
