//! Detection of slow minions, which answer as usual but whose tasks make little or no progress.

use primrosebay_state::Name;

use super::Leader;
use super::command::Now;
use super::minion::{Phase, Run};
use crate::job::{JobKey, TaskKey};

/// Multiple of its estimated run time after which a run may count as overdue. Estimates are rough,
/// so one overdue run says little about its minion.
const OVERDUE_FACTOR: u64 = 3;

/// Margin for the start of a task before its run counts as overdue, in milliseconds.
const OVERDUE_MARGIN_MS: u64 = 500;

/// Number of different jobs with overdue runs on a minion for it to count as slow.
const OVERDUE_JOBS: usize = 2;

/// Duration of the quarantine of a slow minion, in milliseconds, renewed by each answer that shows
/// it as slow.
const SLOW_QUARANTINE_MS: u64 = 2_000;

/// Time since a minion became slow for which its quarantine is renewed, in milliseconds. A task may
/// run only on this minion.
const SLOW_LIMIT_MS: u64 = 10_000;

/// One in this many minions of a service may be quarantined as slow. If more of them are slow, the
/// estimates are wrong.
const SLOW_SHARE: usize = 3;

/// Estimated run time below which overdue runs are restarted elsewhere without a checkpoint, in
/// milliseconds: a restart takes less time than a slow minion still needs.
const SHORT_RUN_MS: u64 = 2_000;

impl Leader {
    /// Quarantines a minion for some time while runs of several jobs are overdue there, and restarts
    /// those runs elsewhere that lose little work.
    pub(super) fn quarantine_slow(&mut self, name: &Name, now: Now) {
        let overdue = self.overdue(name, now);
        let mut jobs: Vec<JobKey> = overdue.iter().map(|(task, _)| task.step.job).collect();
        jobs.dedup();
        if jobs.len() < OVERDUE_JOBS {
            if let Some(minion) = self.minions.get_mut(name) {
                minion.slow_since = None;
            }
            return;
        }
        let is_few = self.is_slow_share_free(name, now);
        let Some(minion) = self.minions.get_mut(name) else {
            return;
        };
        let since = *minion.slow_since.get_or_insert(now.time);
        if !is_few || now.time.since(since) > SLOW_LIMIT_MS {
            return;
        }
        if now.time >= minion.quarantined_until {
            log::warn!(minion:% = name, overdue = overdue.len(), runs = minion.runs.len(); "leader: slow minion quarantined");
        }
        minion.slow_until = now.time + SLOW_QUARANTINE_MS;
        minion.quarantined_until = minion.quarantined_until.max(minion.slow_until);
        for (task, run) in overdue {
            if self.mark_moved(task) {
                log::info!(task:% = task, run, minion:% = name; "leader: moving overdue run");
                self.stop_run(name, task, run, now);
            }
        }
    }

    /// Returns whether the minion may be quarantined as slow besides the others of its service.
    fn is_slow_share_free(&self, name: &Name, now: Now) -> bool {
        let Some(minion) = self.minions.get(name) else {
            return false;
        };
        let service = &minion.entry.service;
        let (mut others, mut slow) = (0, 0);
        for (other, minion) in self.minions.iter() {
            let is_present = !minion.is_silent(now.time, &self.settings);
            if other != name && minion.entry.service == *service && is_present {
                others += 1;
                slow += usize::from(now.time < minion.slow_until);
            }
        }
        slow < others.min(((others + 1) / SLOW_SHARE).max(1))
    }

    /// Returns the overdue runs of a minion, sorted by task.
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
        let limit = estimate
            .saturating_mul(OVERDUE_FACTOR)
            .saturating_add(OVERDUE_MARGIN_MS);
        estimate > 0 && now.time.since(since) > limit
    }

    /// Returns whether an overdue task should be restarted elsewhere, and marks it as moved. A task
    /// is moved at most once, since its estimate may be wrong.
    fn mark_moved(&mut self, task: TaskKey) -> bool {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return false;
        };
        let movable = job
            .step(task.step)
            .is_some_and(|s| !s.gang && (s.checkpoints || s.estimate_ms < SHORT_RUN_MS));
        let Some(position) = job.spec.position(task).filter(|_| movable) else {
            return false;
        };
        let first = !job.moved.contains(&position);
        if first {
            job.moved.push(position);
        }
        first
    }
}
