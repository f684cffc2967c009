//! Jobs as callers submit them, and their validation.

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::resources::Resources;

/// Largest number of tasks in a job.
pub const MAX_TASKS: u32 = 10_000;
/// Longest name of a job, team, key, queue, zone or region, in bytes.
pub const MAX_NAME: usize = 63;
/// Largest amount of one resource that a task may request.
const MAX_AMOUNT: u64 = 1 << 32;

/// How a job is scheduled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// A fixed number of tasks is kept running until the job is cancelled.
    Service,
    /// Each task runs to its end and starts as soon as resources are free.
    #[default]
    Batch,
    /// All tasks start together or none starts.
    Gang,
}

/// Whether work may be run again after a failure.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// A repeated run has no additional effect.
    #[default]
    Idempotent,
    /// The work runs at most once.
    Once,
}

/// A job as a caller submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobSpec {
    /// The name, unique within the team.
    pub name: Name,
    /// The team; empty in a submission, because the key or the queue determines it.
    pub team: Name,
    /// The name of the queue; empty for the implicit queue of the team.
    pub queue: Name,
    /// How the job is scheduled.
    pub policy: Policy,
    /// The number of tasks, from 1 to [`MAX_TASKS`].
    pub tasks: u32,
    /// The resources that each task needs.
    pub resources: Resources,
    /// Whether tasks may be run again after a failure.
    pub repeat: Repeat,
    /// Whether the job is placed before all work that is not urgent.
    pub urgent: bool,
    /// Expected run time of a task in milliseconds; 0 if unknown.
    pub run_ms: u64,
    /// Milliseconds from acceptance to the time by which the job should finish; 0 for no deadline.
    pub deadline_ms: u64,
    /// Whether a task can be checkpointed and resumed.
    pub checkpoint: bool,
    /// Consecutive failed attempts of a task after which the job fails; 0 counts as 1, and a
    /// failure on a worker that is likely faulty counts as a quarter. Tasks of a service are always
    /// retried.
    pub retries: u32,
    /// Zones in which the job may run; empty for all zones.
    pub zones: Vec<Name>,
    /// Most tasks of the job on one rack; 0 for no limit.
    pub rack_limit: u32,
    /// Most tasks of the job on one worker; 0 for no limit.
    pub worker_limit: u32,
    /// Name of a job of the same team that must succeed before this job starts; empty for none.
    pub after: Name,
    /// The W3C trace context of the submission, set by the entry instance; empty if there is none.
    pub trace: Name,
}

impl Default for JobSpec {
    fn default() -> Self {
        Self {
            name: Name::from(""),
            team: Name::from(""),
            queue: Name::from(""),
            policy: Policy::default(),
            tasks: 1,
            resources: Resources::ZERO,
            repeat: Repeat::default(),
            urgent: false,
            run_ms: 0,
            deadline_ms: 0,
            checkpoint: false,
            retries: 3,
            zones: Vec::new(),
            rack_limit: 0,
            worker_limit: 0,
            after: Name::from(""),
            trace: Name::from(""),
        }
    }
}

/// An invalid field of a submission or of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The path of the field, such as `resources.cores_milli`.
    pub path: String,
    /// The values that are allowed.
    pub expected: String,
}

impl Problem {
    /// Creates a problem with the field at `path`.
    #[must_use]
    pub fn new(path: impl Into<String>, expected: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            expected: expected.into(),
        }
    }
}

/// Returns whether `name` consists of 1 to [`MAX_NAME`] lower-case letters, digits and inner
/// hyphens.
#[must_use]
pub fn is_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= MAX_NAME
        && !name.starts_with('-')
        && !name.ends_with('-')
        && name
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
}

impl JobSpec {
    /// Checks the fields without regard to the state of the cell, and returns every problem.
    #[must_use]
    pub fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let name_rule = format!("1 to {MAX_NAME} of a-z, 0-9 and inner hyphens");
        if !is_name(&self.name) {
            problems.push(Problem::new("name", name_rule.clone()));
        }
        for (path, name) in [("queue", &self.queue), ("after", &self.after)] {
            if !name.is_empty() && !is_name(name) {
                problems.push(Problem::new(path, name_rule.clone()));
            }
        }
        for (i, zone) in self.zones.iter().enumerate() {
            if !is_name(zone) {
                problems.push(Problem::new(format!("zones[{i}]"), name_rule.clone()));
            }
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            problems.push(Problem::new("tasks", format!("1 to {MAX_TASKS}")));
        }
        self.check_resources(&mut problems);
        problems
    }

    fn check_resources(&self, problems: &mut Vec<Problem>) {
        if self.resources.is_zero() {
            problems.push(Problem::new("resources", "more than zero of a resource"));
        }
        for (path, amount) in [
            ("resources.cores_milli", self.resources.cores_milli),
            ("resources.memory_mib", self.resources.memory_mib),
            ("resources.accelerators", self.resources.accelerators),
        ] {
            if amount > MAX_AMOUNT {
                problems.push(Problem::new(path, format!("0 to {MAX_AMOUNT}")));
            }
        }
    }
}
