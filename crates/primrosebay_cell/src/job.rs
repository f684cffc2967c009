//! Jobs as callers submit them.

use std::fmt;
use std::str::FromStr;

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use serde::{Deserialize, Serialize};

/// Most tasks of one job over all its steps and occurrences.
///
/// It bounds the memory that one submission can take and the size of a progress record, which
/// has to fit into one record of the log.
pub const MAX_TASKS: u64 = 4_000;

/// Identifies a job; the caller chooses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobKey(pub u64);

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The text is not the key of a job.
#[derive(Debug, thiserror::Error)]
#[error("a job key has 16 hexadecimal digits")]
pub struct ParseKeyError;

impl FromStr for JobKey {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, ParseKeyError> {
        let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !digits {
            return Err(ParseKeyError);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseKeyError)
    }
}

/// Identifies one step of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepKey {
    /// The job.
    pub job: JobKey,
    /// The occurrence, from 0; always 0 for a job that does not repeat.
    pub occurrence: u32,
    /// The position of the step in the job, from 0.
    pub step: u32,
}

/// Identifies one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskKey {
    /// The step that the task belongs to.
    pub step: StepKey,
    /// The position in the step, from 0.
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

/// What the tasks of a step have in common.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the properties of a step are independent of each other"
)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// What one task needs.
    pub amount: Resources,
    /// The caller's estimate of a task's run time in milliseconds; 0 if unknown.
    pub estimate_ms: u64,
    /// Steps whose tasks must all be done first, by their position.
    pub after: Vec<u32>,
    /// Whether the tasks work only while all of them are present.
    pub gang: bool,
    /// Whether the tasks are slow unless all of them run on one rack.
    pub one_rack: bool,
    /// The label that a minion must have.
    pub label: Option<Name>,
    /// The rack that holds the data.
    pub rack: Option<Name>,
    /// Most tasks of the step on one minion; 0 for no limit.
    pub per_minion: u32,
    /// Whether a task may run more than once at the same time.
    pub speculative: bool,
    /// Whether the tasks save checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Whether the tasks use processor time that others leave unused, so that their cores are not
    /// counted against a minion.
    #[serde(rename = "soaks")]
    pub best_effort: bool,
}

/// When the steps of a job run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// When the first occurrence is due, in Unix milliseconds.
    pub first_ms: u64,
    /// Milliseconds between occurrences.
    pub every_ms: u64,
    /// The number of occurrences.
    pub times: u32,
}

/// A job as its caller submitted it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobSpec {
    /// What a minion is told to run.
    pub payload: Name,
    /// The steps.
    pub steps: Vec<Step>,
    /// Whether and when the steps run again.
    pub repeat: Option<Repeat>,
}

/// Why a job cannot be accepted.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// There is nothing to run.
    #[error("a job needs at least one step and each step at least one task")]
    Empty,
    /// The job is larger than the cell keeps.
    #[error("a job has at most {MAX_TASKS} tasks")]
    TooLarge,
    /// A step waits for itself, a later step or one that does not exist.
    #[error("step {0} depends on a step that does not come before it")]
    Dependency(usize),
}

impl JobSpec {
    /// Checks that the job can be run.
    ///
    /// # Errors
    /// Returns the first reason why it cannot.
    pub fn validate(&self) -> Result<(), SpecError> {
        if self.steps.is_empty() || self.steps.iter().any(|s| s.count == 0) {
            return Err(SpecError::Empty);
        }
        let tasks: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        if tasks * u64::from(self.occurrences()) > MAX_TASKS {
            return Err(SpecError::TooLarge);
        }
        for (i, step) in self.steps.iter().enumerate() {
            if step.after.iter().any(|a| *a as usize >= i) {
                return Err(SpecError::Dependency(i));
            }
        }
        Ok(())
    }

    /// Returns the number of occurrences, 1 for a job that does not repeat.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |r| r.times.max(1))
    }

    /// Returns the number of tasks of one occurrence.
    #[must_use]
    pub fn task_count(&self) -> usize {
        self.steps.iter().map(|s| s.count as usize).sum()
    }

    /// Returns the place of a task among all tasks of the job, if the job has it.
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

    /// Returns when an occurrence is due, in Unix milliseconds; 0 for a job that does not repeat.
    #[must_use]
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        self.repeat.map_or(0, |r| {
            r.first_ms + u64::from(occurrence).saturating_mul(r.every_ms)
        })
    }

    /// Returns the run time of the longest chain of dependent steps in milliseconds, where each
    /// step also takes `overhead_ms`.
    #[must_use]
    pub fn critical_path_ms(&self, overhead_ms: u64) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step.after.iter().filter_map(|a| ends.get(*a as usize));
            let start = start.max().copied().unwrap_or(0);
            ends.push(start + step.estimate_ms + overhead_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns for each step the estimated run time of the longest chain of dependent steps that
    /// begins with it, in milliseconds.
    #[must_use]
    pub fn critical_paths_ms(&self) -> Vec<u64> {
        // Steps depend only on earlier ones, so the last comes first.
        let mut chains = vec![0; self.steps.len()];
        for (i, step) in self.steps.iter().enumerate().rev() {
            chains[i] += step.estimate_ms;
            for before in &step.after {
                let before = *before as usize;
                chains[before] = chains[before].max(chains[i]);
            }
        }
        chains
    }
}
