//! Jobs as submitted by callers.

use std::fmt;
use std::str::FromStr;

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use serde::{Deserialize, Serialize};

/// Maximum number of tasks of a job over all its steps and occurrences.
///
/// The limit bounds the memory that one submission takes and the size of a progress record, which
/// has to fit into one record of the log.
pub const MAX_TASKS: u64 = 4_000;

/// Identifier of a job, chosen by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobKey(pub u64);

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Error for text that is not a job key or task key.
#[derive(Debug, thiserror::Error)]
#[error("expected 16 hexadecimal digits, followed by .occurrence.step.index for a task")]
pub struct ParseKeyError;

impl FromStr for JobKey {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, ParseKeyError> {
        let is_valid = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_valid {
            return Err(ParseKeyError);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseKeyError)
    }
}

/// Identifier of a step in one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StepKey {
    /// Job of the step.
    pub job: JobKey,
    /// Occurrence, from 0; always 0 for a job that does not repeat.
    pub occurrence: u32,
    /// Position of the step in the job, from 0.
    pub step: u32,
}

/// Identifier of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskKey {
    /// Step of the task.
    pub step: StepKey,
    /// Position of the task in the step, from 0.
    pub index: u32,
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskKey {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, ParseKeyError> {
        let mut parts = text.split('.');
        let job = parts.next().ok_or(ParseKeyError)?.parse()?;
        let mut number = || {
            let part = parts.next().ok_or(ParseKeyError)?;
            part.parse::<u32>().map_err(|_| ParseKeyError)
        };
        let (occurrence, step, index) = (number()?, number()?, number()?);
        if parts.next().is_some() {
            return Err(ParseKeyError);
        }
        Ok(Self {
            step: StepKey {
                job,
                occurrence,
                step,
            },
            index,
        })
    }
}

/// Properties that all tasks of a step share.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the properties of a step are independent of each other"
)]
pub struct Step {
    /// Number of tasks; at least 1.
    pub count: u32,
    /// Resources that one task needs.
    pub amount: Resources,
    /// Estimated run time of a task, in milliseconds; 0 if unknown.
    pub estimate_ms: u64,
    /// Positions of the steps whose tasks must all be done first.
    pub after: Vec<u32>,
    /// Whether the tasks form a gang, which runs only while all its tasks are running.
    pub gang: bool,
    /// Whether the tasks are slow unless all of them run on one rack.
    pub one_rack: bool,
    /// Label that a minion must have; none for any minion.
    pub label: Option<Name>,
    /// Preferred rack, which holds the data; none for no preference.
    pub rack: Option<Name>,
    /// Maximum number of tasks of the step on one minion; 0 for no limit.
    pub per_minion: u32,
    /// Whether several runs of a task may exist at the same time.
    pub speculative: bool,
    /// Whether the tasks save checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Whether the tasks use only processor time that other tasks leave idle, so that their cores
    /// do not count against the capacity of a minion.
    #[serde(rename = "soaks")]
    pub best_effort: bool,
}

/// Schedule of a job that repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// Due time of the first occurrence, in Unix milliseconds.
    pub first_ms: u64,
    /// Interval between occurrences, in milliseconds.
    pub every_ms: u64,
    /// Number of occurrences; 0 counts as 1.
    pub times: u32,
}

/// Specification of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobSpec {
    /// Description of the work, passed to the minion.
    pub payload: Name,
    /// Steps; each may depend on earlier ones.
    pub steps: Vec<Step>,
    /// Schedule of the occurrences; none for a job that runs once.
    pub repeat: Option<Repeat>,
}

/// Reason why a job is rejected.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// The job has no step, or a step has no task.
    #[error("a job needs at least one step and each step at least one task")]
    Empty,
    /// The job has more than [`MAX_TASKS`] tasks.
    #[error("a job has at most {MAX_TASKS} tasks")]
    TooLarge,
    /// The step at this position depends on itself, a later step or one that does not exist.
    #[error("step {0} depends on a step that does not come before it")]
    Dependency(usize),
}

impl JobSpec {
    /// Checks that the job can be accepted.
    ///
    /// # Errors
    /// Returns the first reason for rejection.
    pub fn validate(&self) -> Result<(), SpecError> {
        if self.steps.is_empty() || self.steps.iter().any(|s| s.count == 0) {
            return Err(SpecError::Empty);
        }
        let tasks: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        if tasks.saturating_mul(u64::from(self.occurrences())) > MAX_TASKS {
            return Err(SpecError::TooLarge);
        }
        for (i, step) in self.steps.iter().enumerate() {
            if step.after.iter().any(|a| *a as usize >= i) {
                return Err(SpecError::Dependency(i));
            }
        }
        Ok(())
    }

    /// Returns the number of occurrences; 1 for a job that does not repeat.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |r| r.times.max(1))
    }

    /// Returns the number of tasks in one occurrence.
    #[must_use]
    pub fn task_count(&self) -> usize {
        self.steps.iter().map(|s| s.count as usize).sum()
    }

    /// Returns the position of a task among all tasks of the job, from 0; none if the job does not
    /// have the task.
    #[must_use]
    pub fn position(&self, task: TaskKey) -> Option<usize> {
        let step = self.steps.get(task.step.step as usize)?;
        if task.index >= step.count || task.step.occurrence >= self.occurrences() {
            return None;
        }
        let before = &self.steps[..task.step.step as usize];
        let offset: usize = before.iter().map(|s| s.count as usize).sum();
        Some(task.step.occurrence as usize * self.task_count() + offset + task.index as usize)
    }

    /// Returns the due time of an occurrence, in Unix milliseconds; 0 for a job that does not
    /// repeat.
    #[must_use]
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        self.repeat.map_or(0, |r| {
            let delay_ms = u64::from(occurrence).saturating_mul(r.every_ms);
            r.first_ms.saturating_add(delay_ms)
        })
    }

    /// Returns the estimated run time of the tasks of each step, in milliseconds.
    #[must_use]
    pub fn estimates_ms(&self) -> Vec<u64> {
        self.steps.iter().map(|s| s.estimate_ms).collect()
    }

    /// Returns the length of the job's critical path in milliseconds: the run time of the longest
    /// chain of dependent steps, with `overhead_ms` added for each step. `durations` holds the run
    /// time of each step.
    #[must_use]
    pub fn critical_path_ms(&self, durations: &[u64], overhead_ms: u64) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (step, duration) in self.steps.iter().zip(durations) {
            let start = step.after.iter().filter_map(|a| ends.get(*a as usize));
            let start = start.max().copied().unwrap_or(0);
            let duration = duration.saturating_add(overhead_ms);
            ends.push(start.saturating_add(duration));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns for each step the run time of the longest chain of dependent steps that starts with
    /// the step, in milliseconds. `durations` holds the run time of each step.
    #[must_use]
    pub fn remaining_paths_ms(&self, durations: &[u64]) -> Vec<u64> {
        // Steps depend only on earlier ones, so a step's dependents are processed before the step.
        let mut paths = vec![0; self.steps.len()];
        for (i, (step, duration)) in self.steps.iter().zip(durations).enumerate().rev() {
            paths[i] = duration.saturating_add(paths[i]);
            for before in &step.after {
                let before = *before as usize;
                paths[before] = paths[before].max(paths[i]);
            }
        }
        paths
    }
}
