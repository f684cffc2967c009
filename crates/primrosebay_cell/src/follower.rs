//! Which instances follow the whole log of the cell.
//!
//! In a large cell every record would be read by every instance, although a few large ones suffice
//! to answer for all. Small instances relay their callers' requests to those.

use std::hash::{DefaultHasher, Hash, Hasher};

use primrosebay_state::Name;
use primrosebay_state::table::Table;
use primrosebay_state::time::Time;

use crate::record::Member;

/// Settings of the choice. Names ending in `_ms` are in milliseconds.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of instances from which on small ones relay.
    pub instances: usize,
    /// Number of large instances that a cell must have for small ones to relay.
    pub large: usize,
    /// Time without an instance that answers after which a relaying one follows the log itself.
    pub patience_ms: u64,
    /// Upper bound of a delay added to `patience_ms`, which differs between instances. It keeps them
    /// from reading the whole log at the same time.
    pub spread_ms: u64,
    /// Time for which an instance that gave no answer is asked only after the others.
    pub rest_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            instances: 64,
            large: 3,
            patience_ms: 2_000,
            spread_ms: 6_000,
            rest_ms: 2_000,
        }
    }
}

/// Returns whether an instance with this processor share is small compared with the largest one.
fn is_small(cores_milli: u32, largest: u32) -> bool {
    cores_milli <= largest / 2
}

/// Returns the large instances that a small one can relay to, sorted by preference: those of its
/// zone first, in an order that differs between instances. Empty if the instance has to follow the
/// log itself, since the cell or its largest instances are not large enough.
#[must_use]
pub fn relay_targets(
    name: &Name,
    own: &Member,
    members: &Table<Name, Member>,
    settings: &Settings,
) -> Vec<(Name, Member)> {
    let largest = members.iter().map(|(_, m)| m.cores_milli).max();
    let largest = largest.unwrap_or(0);
    if members.len() < settings.instances || !is_small(own.cores_milli, largest) {
        return Vec::new();
    }
    let large = members
        .iter()
        .filter(|(_, m)| !is_small(m.cores_milli, largest));
    let mut targets: Vec<(Name, Member)> = large.map(|(n, m)| (n.clone(), m.clone())).collect();
    if targets.len() < settings.large {
        return Vec::new();
    }
    targets.sort_by_cached_key(|(target, member)| {
        let mut hasher = DefaultHasher::new();
        (name, target).hash(&mut hasher);
        (member.zone != own.zone, hasher.finish())
    });
    targets
}

/// A relaying instance's view of the instances that answer for it.
#[derive(Debug)]
pub struct Relay {
    settings: Settings,
    targets: Vec<(Name, Member)>,
    /// Targets that gave no answer, with the time until which they come last.
    resting: Vec<(Name, Time)>,
    /// Sending time of the last request that a target with a readable log has answered.
    contact: Time,
    /// Time after `contact` at which this instance gives up relaying.
    patience_ms: u64,
}

impl Relay {
    /// Starts to relay to `targets`, which must not be empty.
    #[must_use]
    pub fn new(name: &Name, targets: Vec<(Name, Member)>, settings: Settings, now: Time) -> Self {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        let spread = hasher.finish() % settings.spread_ms.max(1);
        Self {
            patience_ms: settings.patience_ms + spread,
            settings,
            targets,
            resting: Vec::new(),
            contact: now,
        }
    }

    /// Replaces the targets.
    pub fn set_targets(&mut self, targets: Vec<(Name, Member)>) {
        self.targets = targets;
    }

    /// Returns the targets in the order in which to ask them.
    #[must_use]
    pub fn targets(&self, now: Time) -> Vec<(Name, Member)> {
        let is_resting = |name: &Name| {
            let resting = self.resting.iter();
            resting.clone().any(|(n, until)| n == name && now < *until)
        };
        let (last, mut first): (Vec<_>, Vec<_>) = self
            .targets
            .iter()
            .cloned()
            .partition(|(name, _)| is_resting(name));
        first.extend(last);
        first
    }

    /// Records that a target has answered a request that was sent at `sent`.
    pub fn on_answer(&mut self, name: &Name, sent: Time) {
        self.contact = self.contact.max(sent);
        self.resting.retain(|(n, _)| n != name);
    }

    /// Records that a target gave no answer, or cannot read the log itself.
    pub fn on_failure(&mut self, name: &Name, now: Time) {
        self.resting.retain(|(n, until)| n != name && now < *until);
        let until = now + self.settings.rest_ms;
        self.resting.push((name.clone(), until));
    }

    /// Returns the sending time of the last request that was answered.
    #[must_use]
    pub fn contact(&self) -> Time {
        self.contact
    }

    /// Returns whether no target has answered for so long that the instance has to follow the log
    /// itself.
    #[must_use]
    pub fn is_abandoned(&self, now: Time) -> bool {
        now.since(self.contact) > self.patience_ms
    }
}
