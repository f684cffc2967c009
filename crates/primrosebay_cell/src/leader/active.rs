//! Jobs that have not ended.

use std::sync::Arc;

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;

use super::command::Now;
use crate::config::Queue;
use crate::job::{JobKey, JobSpec, Step, StepKey, TaskKey};
use crate::record::{Outcome, Placement, Progress, TaskProgress};

/// Minions that a call for advice names when an objective is computed.
const OBJECTIVE_MINIONS: usize = 30;

/// How long it takes from a decision until a minion has begun a task, in milliseconds: an append to
/// the log and two messages.
const START_MS: u64 = 50;

#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each says something of its own, and most combinations occur"
)]
pub(super) struct Active {
    pub(super) key: JobKey,
    pub(super) queue: Name,
    pub(super) account: Option<Name>,
    pub(super) spec: Arc<JobSpec>,
    /// What [`JobSpec::critical_paths_ms`] returns for it.
    pub(super) chains: Vec<u64>,
    pub(super) accepted_ms: u64,
    /// Whether the account had submitted more than its share promises.
    pub(super) excess: bool,
    pub(super) cancelled: bool,
    /// Whether a minion has begun a task.
    pub(super) begun: bool,
    pub(super) outcome: Option<Outcome>,
    pub(super) ended_ms: u64,
    pub(super) tasks: Vec<TaskProgress>,
    /// The last run of each gang whose failure was counted, by the place of its first task.
    pub(super) counted: Vec<(usize, u32)>,
    /// Tasks with the minion on which they last failed.
    pub(super) failed_on: Vec<(usize, Name)>,
    /// Tasks that were moved off a slow minion.
    pub(super) moved: Vec<usize>,
    /// Whether the durable state is behind.
    pub(super) dirty: bool,
}

impl Active {
    pub(super) fn step(&self, key: StepKey) -> Option<&Step> {
        self.spec.steps.get(key.step as usize)
    }

    /// Returns what one task takes from a minion.
    pub(super) fn amount(&self, key: StepKey) -> Resources {
        let Some(step) = self.step(key) else {
            return Resources::ZERO;
        };
        let cores_milli = if step.best_effort {
            0
        } else {
            step.amount.cores_milli
        };
        Resources {
            cores_milli,
            ..step.amount
        }
    }

    /// Returns the places of a step's tasks.
    pub(super) fn places(&self, key: StepKey) -> std::ops::Range<usize> {
        let first = self.spec.position(TaskKey {
            step: key,
            index: 0,
        });
        let count = self.step(key).map_or(0, |s| s.count as usize);
        let first = first.unwrap_or(0);
        first..first + count
    }

    fn is_step_done(&self, key: StepKey) -> bool {
        self.tasks[self.places(key)]
            .iter()
            .all(|t| t.placement == Placement::Done)
    }

    /// Returns the steps that have tasks to start.
    pub(super) fn ready(&self, now: Now, early_ms: u64) -> Vec<StepKey> {
        let mut ready = Vec::new();
        if self.cancelled || self.outcome.is_some() {
            return ready;
        }
        for occurrence in 0..self.spec.occurrences() {
            if self.spec.due_ms(occurrence) > now.wall_ms + early_ms {
                break;
            }
            for (i, step) in self.spec.steps.iter().enumerate() {
                let key = |step| StepKey {
                    job: self.key,
                    occurrence,
                    step,
                };
                let own = key(u32::try_from(i).unwrap_or(u32::MAX));
                let tasks = &self.tasks[self.places(own)];
                let pending = |t: &TaskProgress| t.placement == Placement::Pending;
                let waits = if step.gang {
                    tasks.iter().all(pending)
                } else {
                    tasks.iter().any(pending)
                };
                if waits && step.after.iter().all(|a| self.is_step_done(key(*a))) {
                    ready.push(own);
                }
            }
        }
        ready
    }

    /// Returns until when the job is worth its full value, in Unix milliseconds.
    pub(super) fn deadline_ms(&self, queue: &Queue, occurrence: u32) -> u64 {
        let from = self.accepted_ms.max(self.spec.due_ms(occurrence));
        from + self.objective_ms(queue)
    }

    /// Returns when the job ends if the step starts now and those that depend on it follow at once,
    /// in Unix milliseconds.
    pub(super) fn expected_end_ms(&self, step: StepKey, now: Now) -> u64 {
        let chain = self.chains.get(step.step as usize).copied().unwrap_or(0);
        now.wall_ms + START_MS + chain
    }

    /// Returns how long the job may take, in milliseconds.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "run times are far below 2^52 milliseconds"
    )]
    pub(super) fn objective_ms(&self, queue: &Queue) -> u64 {
        let advice = queue.advice.map_or(0, |a| a.call_ms(OBJECTIVE_MINIONS));
        let chain = self.spec.critical_path_ms(advice) as f64;
        queue.target_ms + (chain * queue.stretch) as u64
    }

    /// Returns the durable state to append.
    pub(super) fn progress(&self, epoch: u64) -> Progress {
        let placed = self.is_placed();
        let tasks = if self.outcome.is_some() && !placed {
            Vec::new()
        } else {
            self.tasks.clone()
        };
        Progress {
            epoch,
            begun: self.begun,
            outcome: self.outcome,
            ended_ms: self.ended_ms,
            tasks,
        }
    }

    /// Returns whether a task may be on a minion.
    pub(super) fn is_placed(&self) -> bool {
        self.tasks
            .iter()
            .any(|t| matches!(t.placement, Placement::Minion(_)))
    }

    /// Records the outcome if all tasks are done or the job was cancelled.
    pub(super) fn settle(&mut self, now: Now) {
        if self.outcome.is_some() {
            return;
        }
        let done = self.tasks.iter().all(|t| t.placement == Placement::Done);
        let outcome = if done {
            Outcome::Completed
        } else if self.cancelled {
            Outcome::Cancelled
        } else {
            return;
        };
        self.end(outcome, now);
    }

    pub(super) fn end(&mut self, outcome: Outcome, now: Now) {
        self.outcome = Some(outcome);
        self.ended_ms = now.wall_ms;
        self.dirty = true;
        log::info!(
            job:% = self.key, queue:% = self.queue, outcome:? = outcome,
            age_ms = now.wall_ms.saturating_sub(self.accepted_ms);
            "leader: job ended"
        );
    }

    /// Returns the checkpoint with which a gang starts: the one that holds the most work.
    pub(super) fn gang_checkpoint(&self, key: StepKey) -> Name {
        let tasks = &self.tasks[self.places(key)];
        let newest = tasks.iter().map(|t| &t.checkpoint).max();
        newest.cloned().unwrap_or_default()
    }
}
