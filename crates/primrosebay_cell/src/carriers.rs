//! Which instances carry the commands of the leader to the minions of a large cell.
//!
//! The leader decides, and carriers keep the connections to the minions. A carrier holds no state
//! that outlives it: the leader treats what a lost carrier has not answered like any command without
//! an answer, and gives its minions to others. Two carriers of a minion do no harm, since commands
//! are bounded by the term, the minion's clock and the number of the run.

use std::hash::{DefaultHasher, Hash, Hasher};

use primrosebay_state::Name;
use primrosebay_state::table::Table;
use primrosebay_state::time::Time;

/// Settings of the choice of carriers. Names ending in `_ms` are in milliseconds.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of minions for each carrier. A leader of fewer than this calls its minions itself.
    pub minions: usize,
    /// Time without a poll after which a carrier counts as lost. Part of the time after which its
    /// minions count as silent.
    pub silence_ms: u64,
    /// Time for which an instance that was lost as a carrier is not chosen again.
    pub rest_ms: u64,
    /// Number of holds in a row that have to fail before a carrier counts as cut off.
    pub failures: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            minions: 100,
            silence_ms: 600,
            rest_ms: 5_000,
            failures: 30,
        }
    }
}

/// Permission of a carrier to carry out commands, given by the answer to a poll.
///
/// It is bounded by the carrier's own clock, counted from the sending of the poll, so it runs out
/// while the carrier is suspended or the answer is delayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    epoch: u64,
    until: Time,
}

impl Permit {
    /// Returns the permission for the commands of the leader of term `epoch`, in answer to a poll
    /// that was sent at `sent`. The clock must also advance while the system is suspended.
    #[must_use]
    pub fn new(epoch: u64, sent: Time, age_ms: u64) -> Self {
        Self {
            epoch,
            until: sent + age_ms,
        }
    }

    /// Returns whether a command may be sent now, if the highest known term is `known_epoch`.
    #[must_use]
    pub fn is_valid(&self, now: Time, known_epoch: u64) -> bool {
        now <= self.until && known_epoch <= self.epoch
    }
}

/// An instance that can be a carrier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Name of the instance.
    pub name: Name,
    /// Availability zone; empty if unknown.
    pub zone: Name,
    /// Processor share, in thousandths of a core.
    pub cores_milli: u32,
}

/// A chosen carrier.
#[derive(Debug)]
struct Carrier {
    name: Name,
    zone: Name,
    /// Time of the last poll, or of the choice.
    last_seen: Time,
    /// Number of holds that have failed since one succeeded.
    failures: usize,
}

/// A minion with its carrier.
#[derive(Debug)]
struct Assignment {
    zone: Name,
    carrier: Option<Name>,
}

/// The reason why an instance is not a carrier any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// It has not polled for too long.
    Silent,
    /// It reaches none of its minions.
    CutOff,
    /// It is not a member of the cell any more.
    Gone,
}

/// The carriers of a term and the minions that each of them serves.
#[derive(Debug)]
pub struct Carriers {
    own_name: Name,
    settings: Settings,
    /// Sorted by preference: the largest first, then by name.
    instances: Vec<Instance>,
    chosen: Vec<Carrier>,
    /// Instances that were lost as carriers, and until when they are not chosen.
    resting: Table<Name, Time>,
    minions: Table<Name, Assignment>,
}

impl Carriers {
    /// Starts without carriers.
    #[must_use]
    pub fn new(own_name: Name, settings: Settings) -> Self {
        Self {
            own_name,
            settings,
            instances: Vec::new(),
            chosen: Vec::new(),
            resting: Table::default(),
            minions: Table::default(),
        }
    }

    /// Sets the instances of the cell. The leader itself is not chosen, since it has the least
    /// processor time to spare.
    pub fn set_instances(&mut self, mut instances: Vec<Instance>) {
        instances.retain(|i| i.name != self.own_name);
        instances.sort_by(|a, b| (b.cores_milli, &a.name).cmp(&(a.cores_milli, &b.name)));
        self.instances = instances;
    }

    /// Adds a minion or sets its zone.
    pub fn set_minion(&mut self, name: &Name, zone: &Name) {
        let assignment = Assignment {
            zone: zone.clone(),
            carrier: best_carrier(&self.chosen, name, zone),
        };
        self.minions.insert(name.clone(), assignment);
    }

    /// Forgets the minions for which `keep` returns false.
    pub fn retain_minions(&mut self, keep: impl Fn(&Name) -> bool) {
        self.minions.retain(|name, _| keep(name));
    }

    /// Returns the carrier of a minion; none if the leader has to call it itself.
    #[must_use]
    pub fn carrier(&self, minion: &Name) -> Option<&Name> {
        self.minions.get(minion)?.carrier.as_ref()
    }

    /// Returns the number of carriers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.chosen.len()
    }

    /// Returns whether there are no carriers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.chosen.is_empty()
    }

    /// Records a poll of a carrier. Returns whether the instance is a carrier.
    pub fn on_poll(&mut self, name: &Name, now: Time) -> bool {
        let carrier = self.chosen.iter_mut().find(|c| c.name == *name);
        carrier.map(|c| c.last_seen = now).is_some()
    }

    /// Records whether a hold through a carrier was answered.
    pub fn on_hold(&mut self, carrier: &Name, answered: bool) {
        if let Some(carrier) = self.chosen.iter_mut().find(|c| c.name == *carrier) {
            carrier.failures = if answered { 0 } else { carrier.failures + 1 };
        }
    }

    /// Removes the carriers that are lost, and gives their minions to others. Returns the lost ones.
    pub fn remove_lost(&mut self, now: Time) -> Vec<(Name, Loss)> {
        let (settings, instances) = (&self.settings, &self.instances);
        let loss_of = |c: &Carrier| {
            if now.since(c.last_seen) > settings.silence_ms {
                Some(Loss::Silent)
            } else if c.failures >= settings.failures {
                Some(Loss::CutOff)
            } else if instances.iter().all(|i| i.name != c.name) {
                Some(Loss::Gone)
            } else {
                None
            }
        };
        let mut removed = Vec::new();
        self.chosen.retain(|carrier| {
            let loss = loss_of(carrier);
            removed.extend(loss.map(|loss| (carrier.name.clone(), loss)));
            loss.is_none()
        });
        self.resting.retain(|_, until| now < *until);
        for (name, _) in &removed {
            let until = now + self.settings.rest_ms;
            self.resting.insert(name.clone(), until);
        }
        if !removed.is_empty() {
            self.assign();
        }
        removed
    }

    /// Chooses carriers until there are enough for the minions, the largest instances of each zone
    /// first. Returns the new ones, which have to be told.
    pub fn choose(&mut self, now: Time) -> Vec<Name> {
        let wanted = self.minions.len() / self.settings.minions.max(1);
        let mut chosen = Vec::new();
        while self.chosen.len() < wanted {
            let carriers = &self.chosen;
            let is_free = |i: &&Instance| {
                let is_carrier = carriers.iter().any(|c| c.name == i.name);
                !is_carrier && self.resting.get(&i.name).is_none()
            };
            let in_zone = |i: &&Instance| carriers.iter().filter(|c| c.zone == i.zone).count();
            // The instances are sorted by size, and the first minimum is taken.
            let Some(best) = self.instances.iter().filter(is_free).min_by_key(in_zone) else {
                break;
            };
            chosen.push(best.name.clone());
            self.chosen.push(Carrier {
                name: best.name.clone(),
                zone: best.zone.clone(),
                last_seen: now,
                failures: 0,
            });
        }
        if !chosen.is_empty() {
            self.assign();
        }
        chosen
    }

    fn assign(&mut self) {
        for (name, assignment) in self.minions.iter_mut() {
            assignment.carrier = best_carrier(&self.chosen, name, &assignment.zone);
        }
    }
}

/// Returns the carrier of a minion: one of its zone, if there is any. The choice depends only on
/// the names, so that a carrier that comes or goes affects few other minions and a new leader uses
/// the connections that exist.
fn best_carrier(carriers: &[Carrier], minion: &Name, zone: &Name) -> Option<Name> {
    let rank = |carrier: &&Carrier| {
        let mut hasher = DefaultHasher::new();
        (minion, &carrier.name).hash(&mut hasher);
        (carrier.zone == *zone, hasher.finish())
    };
    let best = carriers.iter().max_by_key(rank);
    best.map(|c| c.name.clone())
}
