//! Validation of a change before it is appended.
//!
//! A change is not validated again when its record is applied: instances of two releases with
//! different ranges would otherwise build different configurations from the same log.

use super::Config;
use super::keys::KeyHash;
use super::resource::{Change, KINDS, Resource, ZoneState};
use crate::job::{MAX_NAME, Problem, is_name};
use crate::resources::Resources;

/// Largest share of a team.
pub const MAX_SHARE: u32 = 1_000_000;
/// Largest amount of one resource in the upper limit of a team.
pub const MAX_LIMIT: u64 = 1 << 40;

fn name_rule() -> String {
    format!("1 to {MAX_NAME} of a-z, 0-9 and inner hyphens")
}

fn check_name(problems: &mut Vec<Problem>, path: &str, name: &str) {
    if !is_name(name) {
        problems.push(Problem::new(path, name_rule()));
    }
}

fn check_limit(problems: &mut Vec<Problem>, limit: &Resources) {
    for (path, amount) in [
        ("spec.limit.cores_milli", limit.cores_milli),
        ("spec.limit.memory_mib", limit.memory_mib),
        ("spec.limit.accelerators", limit.accelerators),
    ] {
        if amount > MAX_LIMIT {
            problems.push(Problem::new(path, format!("0 to {MAX_LIMIT}")));
        }
    }
}

impl Change {
    /// Checks the change without regard to other resources, and returns every problem.
    #[must_use]
    pub fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        if !KINDS.contains(&&*self.kind) {
            problems.push(Problem::new("kind", KINDS.join(", ")));
        }
        check_name(&mut problems, "name", &self.name);
        let Some(spec) = &self.spec else {
            return problems;
        };
        if spec.kind() != &*self.kind {
            problems.push(Problem::new("spec.kind", self.kind.to_string()));
        }
        match spec {
            Resource::Team { share, limit } => {
                if *share == 0 || *share > MAX_SHARE {
                    problems.push(Problem::new("spec.share", format!("1 to {MAX_SHARE}")));
                }
                check_limit(&mut problems, limit);
            }
            Resource::Key { team, hash } => {
                check_name(&mut problems, "spec.team", team);
                if KeyHash::parse(hash).is_none() {
                    let rule = "64 lower-case hexadecimal digits (SHA-256 of the key)";
                    problems.push(Problem::new("spec.hash", rule));
                }
            }
            Resource::Zone { region, .. } => check_name(&mut problems, "spec.region", region),
            Resource::Queue { team, .. } => check_name(&mut problems, "spec.team", team),
        }
        problems
    }
}

impl Config {
    /// Checks a change against this configuration, and returns every problem. The version is
    /// checked by [`Config::version_conflict`] alone.
    #[must_use]
    pub fn check(&self, change: &Change) -> Vec<Problem> {
        let mut problems = change.check();
        match &change.spec {
            Some(Resource::Key { team, hash }) => {
                self.check_team(&mut problems, team);
                self.check_hash(&mut problems, &change.name, hash);
            }
            Some(Resource::Queue { team, .. }) => self.check_team(&mut problems, team),
            Some(_) => {}
            None => self.check_delete(&mut problems, change),
        }
        problems
    }

    /// Returns the present version of the resource if it differs from the one that `change`
    /// expects; 0 if the resource does not exist.
    #[must_use]
    pub fn version_conflict(&self, change: &Change) -> Option<u64> {
        let version = self.version(&change.kind, &change.name);
        (version != change.expected).then_some(version)
    }

    fn check_team(&self, problems: &mut Vec<Problem>, team: &str) {
        if self.get("team", team).is_none() {
            problems.push(Problem::new("spec.team", "the name of an existing team"));
        }
    }

    fn check_hash(&self, problems: &mut Vec<Problem>, name: &str, hash: &str) {
        let Some(hash) = KeyHash::parse(hash) else {
            return;
        };
        if self.keys.find(&hash).is_some_and(|owner| &*owner != name) {
            problems.push(Problem::new("spec.hash", "a key that no other name has"));
        }
    }

    /// Adds a problem if `change` deletes a zone that is in service. The allowances of a deleted
    /// zone go to the other zones, so its tasks must have been moved before.
    fn check_delete(&self, problems: &mut Vec<Problem>, change: &Change) {
        let stored = self.get(&change.kind, &change.name);
        if let Some(Resource::Zone { state, .. }) = stored.map(|item| &item.spec)
            && *state == ZoneState::In
        {
            problems.push(Problem::new(
                "spec.state",
                "`out` before the zone is deleted",
            ));
        }
    }
}
