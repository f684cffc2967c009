//! Minions as listed in the directory.

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;

use super::Leader;
use super::command::{DirectoryChange, DirectoryEntry, Now};
use super::minion::{Listing, Minion};

/// Returns a placeholder for a minion that is known only from task records.
pub(super) fn placeholder(name: Name) -> DirectoryEntry {
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
    /// Applies a change of the directory.
    pub fn on_directory(&mut self, change: DirectoryChange, now: Now) {
        self.room.mark_stale();
        match change {
            DirectoryChange::Listed(entry) => self.on_listed(entry, now),
            DirectoryChange::Removed(name) => {
                if let Some(minion) = self.minions.get_mut(&name)
                    && minion.listing.absent_since().is_none()
                {
                    minion.listing = Listing::Missing(now.time);
                    log::info!(minion:% = name, runs = minion.runs.len(); "leader: minion removed from directory");
                }
            }
            DirectoryChange::Unreadable(name) => {
                if let Some(minion) = self.minions.get_mut(&name)
                    && !matches!(minion.listing, Listing::Unreadable(_))
                {
                    let since = minion.listing.absent_since().unwrap_or(now.time);
                    minion.listing = Listing::Unreadable(since);
                    log::warn!(minion:% = name, runs = minion.runs.len(); "leader: entry of minion replaced by an unreadable one");
                }
            }
        }
    }

    /// Applies a snapshot of the directory. Minions missing from it count as removed.
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
            log::info!(minion:% = entry.name, zone:% = entry.zone, draining = entry.drain_ms.is_some(); "leader: minion added to directory");
            // No record places a task on this minion. Should an earlier leader have started one
            // there, the first answer to a hold reports it.
            let mut minion = Minion::new(entry.clone(), self.first_generation, now.time);
            minion.note_start(entry.started_ms, now, &self.settings);
            self.minions.insert(entry.name, minion);
            return;
        };
        minion.listing = Listing::Listed;
        if entry.started_ms != minion.entry.started_ms {
            minion.note_start(entry.started_ms, now, &self.settings);
            minion.limit_reborn(self.inheritance.last_grant(&self.settings), &self.settings);
        }
        match (entry.drain_ms, minion.drains_at) {
            (None, _) => minion.drains_at = None,
            (Some(ms), None) => {
                minion.drains_at = Some(now.time + ms);
                log::info!(minion:% = entry.name, left_ms = ms, runs = minion.runs.len(); "leader: minion is draining");
            }
            (Some(_), Some(_)) => {}
        }
        if entry.address != minion.entry.address {
            minion.next_hold = now.time;
        }
        // A restart counts only once the minion itself answers with its new start time.
        minion.entry = entry;
        if minion.started_ms != 0 && minion.entry.started_ms > minion.started_ms {
            minion.raise_generation();
            minion.next_hold = now.time;
        }
    }

    /// Removes minions that are unlisted, silent and without runs.
    pub(super) fn remove_stale(&mut self, now: Now) {
        let settings = &self.settings;
        self.minions.retain(|name, m| {
            let stale = m
                .listing
                .absent_since()
                .is_some_and(|at| now.time.since(at) > 2 * settings.unlisted_ms)
                && m.is_silent(now.time, settings)
                && m.runs.is_empty()
                && !m.hold_pending;
            if stale {
                // The minion may come back, and has seen this generation.
                let next = m.generations.successor();
                self.first_generation = self.first_generation.max(next);
                self.room.mark_stale();
                self.durations.forget_minion(name);
                log::info!(minion:% = name; "leader: stale minion removed");
            }
            !stale
        });
    }
}
