//! Minions that answer as usual but have become slow, or whose tasks stand still.

use primrosebay_state::Name;

use super::Leader;
use super::command::Now;
use super::minion::{Phase, Run};
use crate::job::{JobKey, TaskKey};

/// How many times its estimate a run may take before it counts as overdue. Estimates are rough, so
/// one overdue run says little about its minion.
const OVERDUE_FACTOR: u64 = 3;

/// Added to the time after which a run is overdue, in milliseconds, for the start of a task.
const OVERDUE_MS: u64 = 500;

/// How many jobs have to be overdue on a minion for it to count as slow.
const OVERDUE_JOBS: usize = 2;

/// How long a slow minion gets no starts, in milliseconds, counted from each answer that shows it.
const SLOW_MS: u64 = 2_000;

/// Runs with a lower estimate start elsewhere although their work is lost, in milliseconds: that
/// takes less than what a slow minion still needs.
const SHORT_RUN_MS: u64 = 2_000;

impl Leader {
    /// Takes a minion out of use while runs of several jobs take much longer there than they
    /// should, and starts those elsewhere that lose little by it.
    pub(super) fn note_pace(&mut self, name: &Name, now: Now) {
        let overdue = self.overdue(name, now);
        let mut jobs: Vec<JobKey> = overdue.iter().map(|(task, _)| task.step.job).collect();
        jobs.dedup();
        if jobs.len() < OVERDUE_JOBS {
            return;
        }
        let Some(minion) = self.minions.get_mut(name) else {
            return;
        };
        if now.time >= minion.quarantine {
            log::warn!(minion:% = name, overdue = overdue.len(), runs = minion.runs.len(); "leader: minion is slow");
        }
        minion.quarantine = minion.quarantine.max(now.time + SLOW_MS);
        for (task, run) in overdue {
            if self.may_move(task) {
                log::info!(task:% = task, run, minion:% = name; "leader: run is overdue and starts elsewhere");
                self.stop_run(name, task, run, now);
            }
        }
    }

    /// Returns the overdue runs of a minion, sorted.
    fn overdue(&self, name: &Name, now: Now) -> Vec<(TaskKey, u32)> {
        let Some(minion) = self.minions.get(name) else {
            return Vec::new();
        };
        let overdue = minion.runs.iter().filter(|r| self.is_overdue(r, now));
        let mut overdue: Vec<_> = overdue.map(|r| (r.task, r.number)).collect();
        overdue.sort_unstable();
        overdue
    }

    fn is_overdue(&self, run: &Run, now: Now) -> bool {
        let Phase::Running(since) = run.phase else {
            return false;
        };
        let job = self.jobs.get(&run.task.step.job);
        let estimate = job
            .and_then(|j| j.step(run.task.step))
            .filter(|s| !s.long_running)
            .map_or(0, |s| s.estimate_ms);
        estimate > 0 && now.time.since(since) > estimate * OVERDUE_FACTOR + OVERDUE_MS
    }

    /// Returns whether an overdue task should start elsewhere. Each does so once, since its estimate
    /// may be what is wrong.
    fn may_move(&mut self, task: TaskKey) -> bool {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return false;
        };
        let movable = job
            .step(task.step)
            .is_some_and(|s| !s.gang && (s.checkpoints || s.estimate_ms < SHORT_RUN_MS));
        let Some(at) = job.spec.position(task).filter(|_| movable) else {
            return false;
        };
        let first = !job.moved.contains(&at);
        if first {
            job.moved.push(at);
        }
        first
    }
}
