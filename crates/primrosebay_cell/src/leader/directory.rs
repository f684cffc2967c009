//! Which minions there are.

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::Leader;
use super::command::{DirectoryChange, DirectoryEntry, Now};
use super::minion::Minion;

/// Returns an entry for a minion that is known only from records of its tasks.
pub(super) fn unlisted(name: Name) -> DirectoryEntry {
    DirectoryEntry {
        name,
        address: Name::default(),
        service: Name::default(),
        zone: Name::default(),
        labels: Vec::new(),
        capacity: Resources::ZERO,
        drain_ms: None,
        started_ms: 0,
    }
}

impl Leader {
    /// Takes over a change of the directory.
    pub fn on_directory(&mut self, change: DirectoryChange, now: Now) {
        match change {
            DirectoryChange::Listed(entry) => self.on_listed(entry, now),
            DirectoryChange::Removed(name) => {
                if let Some(minion) = self.minions.get_mut(&name)
                    && minion.unlisted.is_none()
                {
                    minion.unlisted = Some(now.time);
                    log::info!(minion:% = name, runs = minion.runs.len(); "leader: minion no longer listed");
                }
            }
        }
    }

    /// Takes over the whole directory: minions that it does not list are no longer listed.
    pub fn on_directory_snapshot(&mut self, entries: Vec<DirectoryEntry>, now: Now) {
        let mut names: Vec<Name> = entries.iter().map(|e| e.name.clone()).collect();
        names.sort_unstable();
        let missing: Vec<Name> = self
            .minions
            .iter()
            .filter(|(name, _)| names.binary_search(name).is_err())
            .map(|(name, _)| name.clone())
            .collect();
        for entry in entries {
            self.on_listed(entry, now);
        }
        for name in missing {
            self.on_directory(DirectoryChange::Removed(name), now);
        }
    }

    fn on_listed(&mut self, entry: DirectoryEntry, now: Now) {
        let Some(minion) = self.minions.get_mut(&entry.name) else {
            log::info!(minion:% = entry.name, zone:% = entry.zone, draining = entry.drain_ms.is_some(); "leader: minion listed");
            // Nothing that an earlier leader sent is known to be there, and the first answer to a
            // hold makes sure of it.
            let minion = Minion::new(entry.clone(), now.time, Time(0));
            self.minions.insert(entry.name, minion);
            return;
        };
        minion.unlisted = None;
        match (entry.drain_ms, minion.leaves) {
            (None, _) => minion.leaves = None,
            (Some(ms), None) => {
                minion.leaves = Some(now.time + ms);
                log::info!(minion:% = entry.name, left_ms = ms, runs = minion.runs.len(); "leader: minion leaves");
            }
            (Some(_), Some(_)) => {}
        }
        if entry.address != minion.entry.address {
            minion.next_hold = now.time;
        }
        // A restart is believed only when the minion itself answers with its new start time.
        minion.entry = entry;
    }

    /// Forgets minions that are gone and hold nothing.
    pub(super) fn forget_gone(&mut self, now: Now) {
        let settings = &self.settings;
        self.minions.retain(|name, m| {
            let gone = m
                .unlisted
                .is_some_and(|at| now.time.since(at) > 2 * settings.unlisted_ms)
                && m.is_silent(now.time, settings)
                && m.runs.is_empty()
                && !m.holding;
            if gone {
                log::info!(minion:% = name; "leader: minion forgotten");
            }
            !gone
        });
    }
}
