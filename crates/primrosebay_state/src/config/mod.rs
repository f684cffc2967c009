//! The configuration built from the log stream `config`.

mod check;
mod history;
mod keys;
mod resource;
mod seen_ids;
mod snapshot;

pub use check::{MAX_LIMIT, MAX_SHARE};
pub use history::{Event, HISTORY_CAPACITY, History, TooOld};
pub use keys::{KeyHash, KeyIndex};
pub use resource::{Change, KINDS, Resource, StoredResource, ZoneState};
pub use seen_ids::{SEEN_CAPACITY, SeenIds};
pub use snapshot::{ConfigSnapshotPart, Loader};

use crate::Name;
use crate::allowance::Allowances;
use crate::record::{Body, Record};

/// The result of applying a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyResult {
    /// The record took effect, or is a part of a snapshot, which changes nothing.
    Done,
    /// The version of the resource is not the one that the change expects.
    Conflict,
    /// The offset was applied before.
    Old,
    /// An earlier offset has not been applied yet; the record is ignored.
    Gap,
    /// A record with the same identifier was applied before.
    Duplicate,
    /// The record has no effect: its kind does not match its contents, its transfer is not allowed,
    /// or it does not belong to the stream `config`.
    Refused,
}

/// The configuration at one offset of the log.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// The offset after the last applied record.
    pub next: u64,
    items: Vec<StoredResource>,
    keys: KeyIndex,
    seen: SeenIds,
    history: History,
    allowances: Allowances,
}

impl Config {
    /// Creates an empty configuration.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty configuration that keeps up to `capacity` changes for watches.
    #[must_use]
    pub fn with_history(capacity: usize) -> Self {
        Self {
            history: History::new(0, capacity),
            ..Self::default()
        }
    }

    /// Applies the record at `offset` if it is the next one. Lower offsets have no effect, so that
    /// the configuration never reverts; higher offsets have none either, so that no record is
    /// skipped.
    pub fn apply_record(&mut self, offset: u64, record: &Record) -> ApplyResult {
        if let Some(result) = self.check_offset(offset) {
            return result;
        }
        self.next = offset + 1;
        if !self.seen.insert(record.id) {
            return ApplyResult::Duplicate;
        }
        match &record.body {
            Body::Config(change) => self.apply_change(offset, change),
            Body::Allowance {
                team,
                from,
                to,
                amount,
                epoch,
            } if self.allowances.transfer(team, from, to, amount, *epoch) => ApplyResult::Done,
            Body::ConfigSnapshot(_) => ApplyResult::Done,
            _ => ApplyResult::Refused,
        }
    }

    /// Applies the change at `offset`, for a record whose identifier is known to be new.
    pub fn apply(&mut self, offset: u64, change: &Change) -> ApplyResult {
        if let Some(result) = self.check_offset(offset) {
            return result;
        }
        self.next = offset + 1;
        self.apply_change(offset, change)
    }

    /// Returns the result for an offset that is not the next one.
    fn check_offset(&self, offset: u64) -> Option<ApplyResult> {
        match offset.cmp(&self.next) {
            std::cmp::Ordering::Less => Some(ApplyResult::Old),
            std::cmp::Ordering::Equal => None,
            std::cmp::Ordering::Greater => Some(ApplyResult::Gap),
        }
    }

    fn apply_change(&mut self, offset: u64, change: &Change) -> ApplyResult {
        if change
            .spec
            .as_ref()
            .is_some_and(|spec| spec.kind() != &*change.kind)
        {
            return ApplyResult::Refused;
        }
        if self.version_conflict(change).is_some() {
            return ApplyResult::Conflict;
        }
        self.store(offset, change);
        self.update_indexes(offset, change);
        self.history.push(offset, change);
        ApplyResult::Done
    }

    fn store(&mut self, offset: u64, change: &Change) {
        match (self.position(&change.kind, &change.name), &change.spec) {
            (Ok(i), Some(spec)) => {
                // Version 0 means "does not exist", so versions are offsets plus 1.
                self.items[i].version = offset + 1;
                self.items[i].spec = spec.clone();
            }
            (Ok(i), None) => {
                self.items.remove(i);
            }
            (Err(i), Some(spec)) => self.items.insert(
                i,
                StoredResource {
                    kind: change.kind.clone(),
                    name: change.name.clone(),
                    version: offset + 1,
                    spec: spec.clone(),
                },
            ),
            (Err(_), None) => {}
        }
    }

    /// Updates the key index and the allowances.
    fn update_indexes(&mut self, offset: u64, change: &Change) {
        match (&*change.kind, &change.spec) {
            ("key", Some(Resource::Key { hash, .. })) => {
                self.keys.remove(&change.name);
                if let Some(hash) = KeyHash::parse(hash) {
                    self.keys.insert(&change.name, offset + 1, hash);
                }
            }
            ("key", _) => self.keys.remove(&change.name),
            ("team", Some(Resource::Team { limit, .. })) => {
                self.allowances.set_limit(&change.name, limit);
            }
            ("team", _) => self.allowances.remove_team(&change.name),
            ("zone", Some(_)) => self.allowances.add_zone(&change.name),
            ("zone", None) => self.allowances.remove_zone(&change.name),
            _ => {}
        }
    }

    /// Returns the resource of `kind` with `name`.
    #[must_use]
    pub fn get(&self, kind: &str, name: &str) -> Option<&StoredResource> {
        self.position(kind, name).ok().map(|i| &self.items[i])
    }

    /// Returns the version of a resource, or 0 if it does not exist.
    #[must_use]
    pub fn version(&self, kind: &str, name: &str) -> u64 {
        self.get(kind, name).map_or(0, |item| item.version)
    }

    /// Returns all resources of `kind`, sorted by name.
    pub fn list<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a StoredResource> {
        let start = self.items.partition_point(|item| &*item.kind < kind);
        self.items[start..]
            .iter()
            .take_while(move |item| &*item.kind == kind)
    }

    /// Returns all resources, sorted by kind and name.
    #[must_use]
    pub fn resources(&self) -> &[StoredResource] {
        &self.items
    }

    /// Returns the team of the key with the SHA-256 `hash`, in hexadecimal digits; `None` if there
    /// is no such key or its team was deleted.
    #[must_use]
    pub fn key_team(&self, hash: &str) -> Option<Name> {
        let name = self.keys.find(&KeyHash::parse(hash)?)?;
        match &self.get("key", &name)?.spec {
            Resource::Key { team, .. } if self.get("team", team).is_some() => Some(team.clone()),
            _ => None,
        }
    }

    /// Returns the team of `key`; `None` if the key is unknown or its team was deleted.
    #[must_use]
    pub fn authenticate(&self, key: &[u8]) -> Option<Name> {
        self.key_team(&KeyHash::of(key).hex())
    }

    /// Returns the state of `zone`; [`ZoneState::In`] if the zone is unknown.
    #[must_use]
    pub fn zone_state(&self, zone: &str) -> ZoneState {
        match self.get("zone", zone).map(|item| &item.spec) {
            Some(Resource::Zone { state, .. }) => *state,
            _ => ZoneState::In,
        }
    }

    /// Returns the declared zones with their regions, sorted by name.
    pub fn zones(&self) -> impl Iterator<Item = (&Name, &Name)> {
        self.list("zone").filter_map(|item| match &item.spec {
            Resource::Zone { region, .. } => Some((&item.name, region)),
            _ => None,
        })
    }

    /// Returns the changes at the offset `from` and later.
    ///
    /// # Errors
    ///
    /// Returns [`TooOld`] if a change at `from` or later may have been dropped.
    pub fn since(&self, from: u64) -> Result<impl Iterator<Item = &Event>, TooOld> {
        self.history.since(from)
    }

    /// Returns the allowances of all teams in all zones.
    #[must_use]
    pub fn allowances(&self) -> &Allowances {
        &self.allowances
    }

    fn position(&self, kind: &str, name: &str) -> Result<usize, usize> {
        self.items
            .binary_search_by(|item| (&*item.kind, &*item.name).cmp(&(kind, name)))
    }
}
