//! Retries of tasks, with backoff, and restarts of gangs.

use rand::Rng;

use primrosebay_state::Name;
use primrosebay_state::id::{JobId, TaskId};
use primrosebay_state::job::Policy;
use primrosebay_state::record::Outcome;
use primrosebay_state::time::Time;

use super::Coordinator;
use super::jobs::State;
use super::tasks::AttemptEnd;

/// Weight of a failure on a worker that is not suspected to be faulty, in quarters of a failure.
const FULL_PENALTY: u32 = 4;

impl Coordinator {
    /// Retries a task, or fails its job if the task has failed too often. Tasks of a service are
    /// always retried.
    pub(super) fn retry_failed(&mut self, now: Time, id: TaskId, worker: &Name, end: AttemptEnd) {
        // If several jobs fail in a row on one worker, the worker is more likely faulty than each
        // job, unless the job has failed on other workers too. Such failures still count in part,
        // so that jobs that can never run end even if all of them are placed on the same worker.
        let failed_elsewhere = self
            .members
            .iter()
            .any(|(name, member)| name != worker && member.failed_jobs.contains(&id.job));
        let member = self.members.get::<Name>(worker);
        let suspect =
            !failed_elsewhere && member.is_some_and(|member| member.failed_jobs.len() > 1);
        let penalty = if suspect { 1 } else { FULL_PENALTY };
        let Some(task) = self.jobs.task_mut(id) else {
            return;
        };
        if end == AttemptEnd::Failed {
            task.failures += 1;
            task.penalty += penalty;
        } else {
            (task.failures, task.penalty) = (0, 0);
        }
        let (failures, penalty) = (task.failures, task.penalty);
        let Some(job) = self.jobs.all.get(&id.job) else {
            return;
        };
        let service = job.spec.policy == Policy::Service;
        if !service && penalty >= FULL_PENALTY * job.spec.retries.max(1) {
            self.end_task(now, id, Outcome::Failed);
        } else if job.moving_to.is_some() || job.is_gang() {
            self.hold_until_idle(now, id);
        } else {
            let delay = self.backoff_delay(failures);
            self.retry_later(now, id, delay);
        }
    }

    /// Returns a retry delay that doubles with each failure, with jitter.
    fn backoff_delay(&mut self, failures: u32) -> u64 {
        let doubled = self.settings.retry_base << failures.saturating_sub(1).min(16);
        let delay = doubled.min(self.settings.retry_max);
        self.rng.random_range(delay / 2..=delay)
    }

    pub(super) fn retry_later(&mut self, now: Time, id: TaskId, delay: u64) {
        self.set_state(id, State::Backoff);
        let entry = (now + delay, id);
        let at = self.backoff.partition_point(|other| *other < entry);
        self.backoff.insert(at, entry);
    }

    /// Submits the tasks whose retry delay has passed.
    pub(super) fn submit_due_retries(&mut self, now: Time) {
        let due = self.backoff.partition_point(|(at, _)| *at <= now);
        let due: Vec<_> = self.backoff.drain(..due).collect();
        for (_, id) in due {
            if let Some(task) = self.jobs.task_mut(id)
                && task.state == State::Backoff
            {
                task.state = State::Blocked;
                self.submit(now, id.job);
            }
        }
    }

    /// Blocks a task of a gang, or of a job that is being moved, until no task of the job runs.
    pub(super) fn hold_until_idle(&mut self, now: Time, id: TaskId) {
        self.set_state(id, State::Blocked);
        if let Some(job) = self.jobs.all.get_mut(&id.job)
            && job.moving_to.is_none()
            && !job.restarting
        {
            job.restarting = true;
            self.unschedule(now, id.job);
        }
        self.restart_if_idle(now, id.job);
    }

    /// Submits the tasks of a restarting job again once none of them runs.
    pub(super) fn restart_if_idle(&mut self, now: Time, id: JobId) {
        let Some(job) = self.jobs.all.get_mut(&id) else {
            return;
        };
        let busy = |state: &State| !matches!(state, State::Blocked | State::Ended { .. });
        if job.restarting && !job.tasks.iter().any(|task| busy(&task.state)) {
            job.restarting = false;
            self.submit(now, id);
        }
    }
}
