//! When tasks are tried again.

use rand::Rng;

use primrosebay_state::Name;
use primrosebay_state::id::{JobId, TaskId};
use primrosebay_state::job::Policy;
use primrosebay_state::record::Outcome;
use primrosebay_state::time::Time;

use super::Coordinator;
use super::jobs::State;
use super::tasks::Over;

/// Weight of a failure on a worker that is not suspected itself.
const FULL_BLAME: u32 = 4;

impl Coordinator {
    /// Tries a task again after a failure, or fails its job after too many. The tasks of a service
    /// are always started again.
    pub(super) fn retry_failed(&mut self, now: Time, id: TaskId, worker: &Name, over: Over) {
        // A worker that fails several jobs in a row is more likely at fault than each of them,
        // unless the job fails on other workers too. Jobs that can never run must still come to an
        // end when they meet on one worker.
        let elsewhere = self
            .members
            .iter()
            .any(|(name, member)| name != worker && member.failed.contains(&id.job));
        let member = self.members.get::<Name>(worker);
        let suspect = !elsewhere && member.is_some_and(|member| member.failed.len() > 1);
        let blame = if suspect { 1 } else { FULL_BLAME };
        let Some(task) = self.jobs.task_mut(id) else {
            return;
        };
        if over == Over::Failed {
            task.failures += 1;
            task.blame += blame;
        } else {
            (task.failures, task.blame) = (0, 0);
        }
        let (failures, blame) = (task.failures, task.blame);
        let Some(job) = self.jobs.all.get(&id.job) else {
            return;
        };
        let service = job.spec.policy == Policy::Service;
        if !service && blame >= FULL_BLAME * job.spec.retries.max(1) {
            self.end_task(now, id, Outcome::Failed);
        } else if job.moving.is_some() || job.is_gang() {
            self.hold_back(now, id);
        } else {
            let delay = self.backoff_delay(failures);
            self.retry_later(now, id, delay);
        }
    }

    /// Returns a jittered wait that doubles with each failure.
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

    /// Submits the tasks whose wait has passed.
    pub(super) fn end_backoff(&mut self, now: Time) {
        let due = self.backoff.partition_point(|(at, _)| *at <= now);
        let due: Vec<_> = self.backoff.drain(..due).collect();
        for (_, id) in due {
            if let Some(task) = self.jobs.task_mut(id)
                && task.state == State::Backoff
            {
                task.state = State::Waiting;
                self.submit(now, id.job);
            }
        }
    }

    /// Keeps a task of a gang, or of a job that moves, until no task of the job runs.
    pub(super) fn hold_back(&mut self, now: Time, id: TaskId) {
        self.set_state(id, State::Waiting);
        if let Some(job) = self.jobs.all.get_mut(&id.job)
            && job.moving.is_none()
            && !job.regroup
        {
            job.regroup = true;
            self.recall(now, id.job);
        }
        self.regroup(now, id.job);
    }

    /// Starts a gang again once none of its tasks runs.
    pub(super) fn regroup(&mut self, now: Time, id: JobId) {
        let Some(job) = self.jobs.all.get_mut(&id) else {
            return;
        };
        let still = |state: &State| !matches!(state, State::Waiting | State::Ended { .. });
        if job.regroup && !job.tasks.iter().any(|task| still(&task.state)) {
            job.regroup = false;
            self.submit(now, id);
        }
    }
}
