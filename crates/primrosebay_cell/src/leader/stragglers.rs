//! Detection of slow minions, which answer as usual but whose tasks make little or no progress.

use primrosebay_state::Name;

use super::Leader;
use super::active::ActiveJob;
use super::command::Now;
use super::minion::{Phase, Run};
use crate::job::{JobKey, StepKey, TaskKey};

/// Multiple of its estimated run time after which a run may count as overdue while little is known
/// of its queue, and before which none does that would lose its work. Estimates are rough, so one
/// overdue run says little about its minion.
const OVERDUE_FACTOR: u64 = 3;

/// Fraction of runs that take less than an overdue one, once the run times of the queue are known.
/// One in a thousand is rare enough beside the two jobs that a slow minion needs.
const OVERDUE_QUANTILE: f64 = 0.999;

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

/// Expected run time below which overdue runs are restarted elsewhere without a checkpoint, in
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
        let Some((job, spec)) = job.and_then(|j| Some((j, j.step(run.task.step)?))) else {
            return false;
        };
        if spec.long_running || spec.estimate_ms == 0 {
            return false;
        }
        let elapsed = now.time.since(since).saturating_sub(OVERDUE_MARGIN_MS);
        let by_estimate = spec.estimate_ms.saturating_mul(OVERDUE_FACTOR);
        let learned = self.learned_limit_ms(job, run.task.step, elapsed);
        let is_lossless = spec.checkpoints && !spec.gang;
        let limit = match learned {
            Some(learned) if is_lossless => learned,
            Some(learned) => learned.max(by_estimate),
            None => by_estimate,
        };
        elapsed > limit
    }

    /// Returns the time after which a run of the step has taken longer than nearly all, in
    /// milliseconds; none if little is known of its queue.
    fn learned_limit_ms(&self, job: &ActiveJob, step: StepKey, elapsed: u64) -> Option<u64> {
        if !self.uses_durations() {
            return None;
        }
        let expected = job.duration_ms(step)?;
        if elapsed <= expected {
            // Nearly all take longer than the mean. This spares most runs the computation.
            return Some(expected);
        }
        job.quantile_ms(&self.durations, step, OVERDUE_QUANTILE)
    }

    /// Returns whether an overdue task should be restarted elsewhere, and marks it as moved. A task
    /// is moved at most once, since its estimate may be wrong.
    fn mark_moved(&mut self, task: TaskKey) -> bool {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return false;
        };
        let expected_ms = job.duration_ms(task.step).unwrap_or(u64::MAX);
        let movable = job
            .step(task.step)
            .is_some_and(|s| !s.gang && (s.checkpoints || expected_ms < SHORT_RUN_MS));
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
