//! Jobs that are active: not ended, or ended with runs that may still be on a minion.

use std::sync::Arc;

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::command::Now;
use super::durations::StepRuns;
use crate::config::Queue;
use crate::job::{JobKey, JobSpec, Step, StepKey, TaskKey};
use crate::record::{Outcome, Placement, Progress, TaskProgress};

/// Number of minions per advice call assumed for latency objectives and costs of starts.
pub(super) const OBJECTIVE_MINIONS: usize = 30;

/// Latency from a scheduling decision to the start of the task, in milliseconds: an append to the
/// log and two messages.
pub(super) const START_LATENCY_MS: u64 = 50;

#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent, and most combinations occur"
)]
pub(super) struct ActiveJob {
    pub(super) key: JobKey,
    pub(super) queue: Name,
    pub(super) account: Option<Name>,
    pub(super) spec: Arc<JobSpec>,
    /// Expected run time of the tasks of each step, in milliseconds.
    pub(super) expected: Vec<u64>,
    /// Result of [`JobSpec::remaining_paths_ms`] for `expected`.
    pub(super) remaining_paths: Vec<u64>,
    pub(super) accepted_ms: u64,
    /// Time from the acceptance until the leader knew the job, in milliseconds.
    pub(super) known_ms: u64,
    /// Time until which a task is known to have been running; if none has been in this term, time
    /// at which the leader learned of the job.
    pub(super) ran_until: Time,
    /// Finished runs of each step; empty if there are none.
    pub(super) runs: Vec<StepRuns>,
    /// Expected duration of the job before its first run, in milliseconds; none if it had begun
    /// before this term.
    pub(super) planned: Option<u64>,
    /// Latency objective by the last known queue, in milliseconds.
    pub(super) objective: u64,
    /// Whether the account exceeded the submission rate of its share when the job was added.
    pub(super) over_share: bool,
    pub(super) cancelled: bool,
    /// Whether a minion has started a task.
    pub(super) begun: bool,
    pub(super) outcome: Option<Outcome>,
    pub(super) ended_ms: u64,
    pub(super) tasks: Vec<TaskProgress>,
    /// Gang runs whose failure was counted, as the position of the gang's first task and the run
    /// number.
    pub(super) counted_runs: Vec<(usize, u32)>,
    /// Positions of failed tasks with the minion on which each last failed.
    pub(super) failed_on: Vec<(usize, Name)>,
    /// Positions of tasks that were moved off a slow minion.
    pub(super) moved: Vec<usize>,
    /// Positions of preempted tasks with the number of their preemptions in this term, sorted.
    pub(super) preempted: Vec<(usize, u32)>,
    /// Steps that needed preemption on the minions for which they have tickets, and for which a call
    /// about others was considered.
    pub(super) searched: Vec<StepKey>,
    /// Whether the state has changes that are not in a batch yet.
    pub(super) is_dirty: bool,
    /// Whether the job has changed since its ready steps were determined.
    pub(super) is_changed: bool,
    pub(super) waits: Waits,
}

/// What a pass found that a step waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Wait {
    /// The account's limit.
    Limit,
    /// An answer of the advice service.
    Advice,
    /// An instance that can call the advice service.
    Client,
    /// Free resources on minions.
    Room,
}

/// Time for which steps of a job have waited after a pass had examined them, by cause.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Waits {
    /// Cause that the last pass found, and the time of the pass.
    current: Option<(Wait, Time)>,
    /// Milliseconds by cause, in the order of [`Wait`].
    sums: [u64; 4],
}

impl Waits {
    /// Notes what a step waits for from now on; none if it does not wait any more.
    pub(super) fn note(&mut self, cause: Option<Wait>, now: Time) {
        if let Some((earlier, since)) = self.current {
            self.sums[earlier as usize] += now.since(since);
        }
        self.current = cause.map(|cause| (cause, now));
    }

    /// Returns the cause that the last pass found and the time of that pass; none if the job does
    /// not wait or was not examined.
    pub(super) fn current(&self) -> Option<(Wait, Time)> {
        self.current
    }

    pub(super) fn sum_ms(&self, cause: Wait) -> u64 {
        self.sums[cause as usize]
    }
}

/// Jobs with changes that have not been processed yet.
#[derive(Debug, Default)]
pub(super) struct Changes {
    /// Jobs whose state is not in a batch yet.
    pub(super) unsaved: Vec<JobKey>,
    /// Jobs whose ready steps may have changed.
    pub(super) unsorted: Vec<JobKey>,
}

impl ActiveJob {
    pub(super) fn step(&self, key: StepKey) -> Option<&Step> {
        self.spec.steps.get(key.step as usize)
    }

    /// Returns the resources that one task takes from a minion.
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

    /// Returns the expected duration of a step's tasks, in milliseconds; none if they last.
    pub(super) fn duration_ms(&self, key: StepKey) -> Option<u64> {
        let step = self.step(key)?;
        let expected = self.expected.get(key.step as usize).copied();
        expected.filter(|_| !step.long_running)
    }

    /// Returns the positions of a step's tasks.
    pub(super) fn task_range(&self, key: StepKey) -> std::ops::Range<usize> {
        let first = self.spec.position(TaskKey {
            step: key,
            index: 0,
        });
        let count = self.step(key).map_or(0, |s| s.count as usize);
        let first = first.unwrap_or(0);
        first..first + count
    }

    fn is_step_done(&self, key: StepKey) -> bool {
        self.tasks[self.task_range(key)]
            .iter()
            .all(|t| t.placement == Placement::Done)
    }

    /// Returns whether the current runs of a step have to stop: the job has ended, or a task of the
    /// gang has to be started again.
    pub(super) fn must_stop(&self, key: StepKey) -> bool {
        let is_pending = |t: &TaskProgress| t.placement == Placement::Pending;
        let gang = self.step(key).is_some_and(|s| s.gang);
        self.outcome.is_some() || gang && self.tasks[self.task_range(key)].iter().any(is_pending)
    }

    /// Returns the steps with tasks that can be started: due, with all dependencies done and, for a
    /// gang, with all tasks pending.
    pub(super) fn ready_steps(&self, now: Now, early_ms: u64) -> Vec<StepKey> {
        let mut ready = Vec::new();
        if self.cancelled || self.outcome.is_some() {
            return ready;
        }
        for occurrence in 0..self.spec.occurrences() {
            if self.spec.due_ms(occurrence) > now.wall_ms.saturating_add(early_ms) {
                break;
            }
            for (i, step) in self.spec.steps.iter().enumerate() {
                let key = |step| StepKey {
                    job: self.key,
                    occurrence,
                    step,
                };
                let own = key(u32::try_from(i).unwrap_or(u32::MAX));
                let tasks = &self.tasks[self.task_range(own)];
                let pending = |t: &TaskProgress| t.placement == Placement::Pending;
                let startable = if step.gang {
                    tasks.iter().all(pending)
                } else {
                    tasks.iter().any(pending)
                };
                if startable && step.after.iter().all(|a| self.is_step_done(key(*a))) {
                    ready.push(own);
                }
            }
        }
        ready
    }

    /// Returns the steps that can run or are running: due, with all dependencies done and tasks that
    /// are not done.
    pub(super) fn open_steps(&self, now: Now) -> Vec<StepKey> {
        let mut open = Vec::new();
        if self.cancelled || self.outcome.is_some() {
            return open;
        }
        for occurrence in 0..self.spec.occurrences() {
            if self.spec.due_ms(occurrence) > now.wall_ms {
                break;
            }
            let key = |step| StepKey {
                job: self.key,
                occurrence,
                step,
            };
            for (i, step) in (0..).zip(&self.spec.steps) {
                let can_run = step.after.iter().all(|a| self.is_step_done(key(*a)));
                if can_run && !self.is_step_done(key(i)) {
                    open.push(key(i));
                }
            }
        }
        open
    }

    /// Returns the time by which an occurrence has to end to meet its latency objective, in Unix
    /// milliseconds.
    pub(super) fn deadline_ms(&self, occurrence: u32) -> u64 {
        let from = self.accepted_ms.max(self.spec.due_ms(occurrence));
        from.saturating_add(self.objective)
    }

    /// Returns the last time at which the step can start so that the job, if the dependents follow
    /// without delay, ends by `deadline`, in Unix milliseconds.
    pub(super) fn last_start_ms(&self, step: StepKey, deadline: u64) -> u64 {
        let path = self.remaining_paths.get(step.step as usize);
        let path = path.copied().unwrap_or(0);
        deadline.saturating_sub(path.saturating_add(START_LATENCY_MS))
    }

    /// Returns the due time of the first occurrence that is due after `time`, in Unix milliseconds;
    /// none if there is none.
    pub(super) fn next_due_ms(&self, time: u64) -> Option<u64> {
        if self.cancelled || self.outcome.is_some() {
            return None;
        }
        let due = (0..self.spec.occurrences()).map(|o| self.spec.due_ms(o));
        due.into_iter().find(|due| *due > time)
    }

    /// Returns the latency objective of the job, in milliseconds.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "run times are below 2^52 milliseconds, and larger ones saturate"
    )]
    pub(super) fn objective_ms(&self, queue: &Queue) -> u64 {
        let advice = queue.advice.map_or(0, |a| a.call_ms(OBJECTIVE_MINIONS));
        let path = self.spec.critical_path_ms(&self.expected, advice) as f64;
        queue
            .target_ms
            .saturating_add((path * queue.stretch) as u64)
    }

    /// Returns the state to append to the log.
    pub(super) fn progress(&self, epoch: u64) -> Progress {
        let placed = self.has_placed_tasks();
        let tasks = if self.outcome.is_some() && !placed {
            Vec::new()
        } else {
            self.tasks.iter().map(saved_task).collect()
        };
        Progress {
            epoch,
            begun: self.begun,
            outcome: self.outcome,
            ended_ms: self.ended_ms,
            tasks,
        }
    }

    /// Returns whether any task is or may be on a minion.
    pub(super) fn has_placed_tasks(&self) -> bool {
        self.placed_tasks() > 0
    }

    /// Returns the number of tasks that are or may be on a minion.
    pub(super) fn placed_tasks(&self) -> usize {
        let placed = |t: &&TaskProgress| matches!(t.placement, Placement::Minion(_));
        self.tasks.iter().filter(placed).count()
    }

    /// Returns how often the task at a position was preempted in this term.
    pub(super) fn preemptions(&self, position: usize) -> u32 {
        let found = self.preempted.binary_search_by_key(&position, |p| p.0);
        found.map_or(0, |index| self.preempted[index].1)
    }

    /// Counts a preemption of the task at a position.
    pub(super) fn add_preemption(&mut self, position: usize) {
        match self.preempted.binary_search_by_key(&position, |p| p.0) {
            Ok(index) => self.preempted[index].1 = self.preempted[index].1.saturating_add(1),
            Err(index) => self.preempted.insert(index, (position, 1)),
        }
    }

    /// Notes a change of the job's state.
    pub(super) fn mark_changed(&mut self, changes: &mut Changes) {
        if !std::mem::replace(&mut self.is_dirty, true) {
            changes.unsaved.push(self.key);
        }
        if !std::mem::replace(&mut self.is_changed, true) {
            changes.unsorted.push(self.key);
        }
    }

    /// Ends the job if all its tasks are done or it was cancelled.
    pub(super) fn update_outcome(&mut self, changes: &mut Changes, now: Now) {
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
        self.end(outcome, changes, now);
    }

    pub(super) fn end(&mut self, outcome: Outcome, changes: &mut Changes, now: Now) {
        self.outcome = Some(outcome);
        self.ended_ms = now.wall_ms;
        self.mark_changed(changes);
        log::info!(
            job:% = self.key, queue:% = self.queue, outcome:? = outcome,
            age_ms = now.wall_ms.saturating_sub(self.accepted_ms),
            known_ms = self.known_ms, objective_ms = self.objective,
            expected_ms = self.planned.unwrap_or(0), ran_ms = self.ran_ms(),
            wait_limit_ms = self.waits.sum_ms(Wait::Limit),
            wait_advice_ms = self.waits.sum_ms(Wait::Advice),
            wait_adviser_ms = self.waits.sum_ms(Wait::Client),
            wait_room_ms = self.waits.sum_ms(Wait::Room);
            "leader: job ended"
        );
    }

    /// Returns the checkpoint from which a gang resumes: the greatest one of its tasks in
    /// lexicographic order, which holds the most work.
    pub(super) fn gang_checkpoint(&self, key: StepKey) -> Name {
        let tasks = &self.tasks[self.task_range(key)];
        let greatest = tasks.iter().map(|t| &t.checkpoint).max();
        greatest.cloned().unwrap_or_default()
    }
}

/// Returns the state of a task to append to the log. No successor needs more of a done task than
/// that it is done, and the record of a wide job is appended with each of its ends.
fn saved_task(task: &TaskProgress) -> TaskProgress {
    match task.placement {
        Placement::Done => TaskProgress {
            run: task.run,
            placement: Placement::Done,
            ..TaskProgress::default()
        },
        Placement::Pending | Placement::Minion(_) => task.clone(),
    }
}
