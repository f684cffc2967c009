//! Task state transitions: job submission, ends of attempts, cancellation and failure of jobs.

use primrosebay_protocol::worker::AttemptState;
use primrosebay_state::Name;
use primrosebay_state::id::{JobId, TaskId};
use primrosebay_state::job::{JobSpec, Policy};
use primrosebay_state::record::{Body, Outcome};
use primrosebay_state::time::Time;

use super::jobs::{Job, Overuse, State};
use super::{Coordinator, PendingAppend};

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptEnd {
    Done,
    Failed,
    /// The attempt was stopped after it had started.
    Stopped,
    /// The attempt never started, because its worker refused it or rejected the start request.
    NotRun,
    /// The attempt's worker has restarted, was declared lost, or has stopped its tasks because
    /// their renewal expired.
    Lost,
}

impl AttemptEnd {
    pub fn from_report(state: AttemptState) -> Option<Self> {
        match state {
            AttemptState::Running => None,
            AttemptState::Done => Some(Self::Done),
            AttemptState::Failed => Some(Self::Failed),
            AttemptState::Stopped => Some(Self::Stopped),
            AttemptState::Refused => Some(Self::NotRun),
        }
    }
}

impl Coordinator {
    pub(super) fn on_accepted(
        &mut self,
        now: Time,
        id: JobId,
        spec: JobSpec,
        durable: bool,
        exclusive: bool,
    ) {
        // Without authority, another coordinator may start the job before this instance takes over.
        let exclusive = exclusive && self.has_authority(now);
        if let Some(job) = self.jobs.all.get_mut(&id) {
            job.logged |= durable;
            if exclusive && job.home == self.zone {
                job.mark_exclusive();
            }
            self.submit(now, id);
            return;
        }
        let state = if exclusive {
            State::Blocked
        } else {
            State::Inherited
        };
        let mut job = Job::new(self.zone.clone(), spec, &state);
        job.logged = durable;
        job.exclusive = exclusive;
        self.jobs.all.insert(id, job);
        if !exclusive {
            self.recovery.inherited.push(id);
        }
        self.adopt_orphans(now, id);
        self.submit(now, id);
        self.apply_early(now, id);
    }

    /// Submits the blocked tasks of a job to the scheduler unless the job has to wait.
    pub(super) fn submit(&mut self, now: Time, id: JobId) {
        let Some(job) = self.jobs.all.get(&id) else {
            return;
        };
        let blocked = job.home != self.zone
            || job.is_closing()
            || job.moving_to.is_some()
            || job.restarting
            || (job.is_once() && !job.logged);
        if blocked {
            return;
        }
        if !job.exclusive && !self.recovery.done {
            self.wait_for_recovery(id);
            return;
        }
        if !job.spec.after.is_empty() {
            let prerequisite = self.jobs.by_name(&job.spec.team, &job.spec.after);
            if prerequisite.and_then(Job::outcome) != Some(Outcome::Done) {
                if !self.dependents.contains(&id) {
                    self.dependents.push(id);
                }
                return;
            }
        }
        let Some(job) = self.jobs.all.get_mut(&id) else {
            return;
        };
        let mut indexes = Vec::new();
        for (index, task) in (0..).zip(&mut job.tasks) {
            if task.state == State::Blocked {
                task.state = State::Queued;
                indexes.push(index);
            }
        }
        if !indexes.is_empty() {
            self.scheduler.submit(now, id, &job.spec, &indexes);
            self.needs_scheduling = true;
        }
    }

    /// Marks the blocked tasks of a job as inherited until recovery is done: the log may still show
    /// that the job was moved or that its tasks have finished.
    fn wait_for_recovery(&mut self, id: JobId) {
        let Some(job) = self.jobs.all.get_mut(&id) else {
            return;
        };
        let mut blocked = false;
        for task in &mut job.tasks {
            if task.state == State::Blocked {
                task.state = State::Inherited;
                blocked = true;
            }
        }
        if blocked && !self.recovery.inherited.contains(&id) {
            self.recovery.inherited.push(id);
        }
    }

    /// Handles the end of the current attempt of a task: ends the task or retries it.
    pub(super) fn on_attempt_end(&mut self, now: Time, id: TaskId, end: AttemptEnd) {
        let Some((job, task)) = self.jobs.task(id) else {
            return;
        };
        let Some(worker) = task.worker().cloned() else {
            return;
        };
        let (closing, once) = (job.is_closing(), job.is_once());
        let evicted =
            matches!(&task.state, State::Active(active) if active.overuse == Overuse::Evicted);
        let service = job.spec.policy == Policy::Service;
        let needs_idle = job.moving_to.is_some() || job.is_gang();
        self.detach(now, id, &worker);
        self.record_result(now, &worker, id.job, end);
        if closing {
            // No record of this end will follow, so the task gets the outcome that every reader of
            // the log derives, even if the attempt succeeded before the stop reached it.
            self.set_state(
                id,
                State::Ended {
                    outcome: Outcome::Cancelled,
                    recorded: false,
                },
            );
            return;
        }
        match end {
            AttemptEnd::Done if !service => self.end_task(now, id, Outcome::Done),
            AttemptEnd::Stopped | AttemptEnd::Lost if once => {
                self.end_task(now, id, Outcome::Unknown);
            }
            AttemptEnd::Failed if once => self.end_task(now, id, Outcome::Failed),
            // An eviction counts as a failure, because the next attempt is likely to use as much.
            AttemptEnd::Stopped if evicted => {
                self.retry_failed(now, id, &worker, AttemptEnd::Failed);
            }
            AttemptEnd::Done | AttemptEnd::Failed => self.retry_failed(now, id, &worker, end),
            _ if needs_idle => self.hold_until_idle(now, id),
            AttemptEnd::NotRun => self.retry_later(now, id, self.settings.heartbeat),
            AttemptEnd::Stopped | AttemptEnd::Lost => {
                self.set_state(id, State::Blocked);
                self.submit(now, id.job);
            }
        }
        self.restart_if_idle(now, id.job);
    }

    /// Removes a task from its worker and releases its resources.
    pub(super) fn detach(&mut self, now: Time, id: TaskId, worker: &Name) {
        if let Some(member) = self.members.get_mut(worker) {
            member.remove_task(id);
        }
        self.scheduler.release(now, id);
        self.needs_scheduling = true;
    }

    pub(super) fn set_state(&mut self, id: TaskId, state: State) {
        if let Some(task) = self.jobs.task_mut(id) {
            task.state = state;
        }
    }

    /// Ends a task that is on no worker, and appends its outcome to the log.
    pub(super) fn end_task(&mut self, now: Time, id: TaskId, outcome: Outcome) {
        self.set_state(
            id,
            State::Ended {
                outcome,
                recorded: false,
            },
        );
        self.append(
            PendingAppend::Finished(id),
            Body::Finished { task: id, outcome },
        );
        if outcome == Outcome::Failed {
            if let Some(job) = self.jobs.all.get_mut(&id.job) {
                job.failed = true;
            }
            self.close_job(now, id.job);
        }
        self.submit_dependents(now, id.job);
    }

    /// Ends the tasks of a cancelled or failed job that are not active, and stops the active ones.
    pub(super) fn close_job(&mut self, now: Time, id: JobId) {
        self.scheduler.cancel(now, id);
        let Some(job) = self.jobs.all.get_mut(&id) else {
            return;
        };
        let mut placed = Vec::new();
        for (index, task) in (0..).zip(&mut job.tasks) {
            match &mut task.state {
                State::Ended { .. } => {}
                State::Active(active) => {
                    active.stop.get_or_insert(false);
                    if let Some(member) = self.members.get_mut(&active.worker) {
                        member.stops_due = true;
                    }
                }
                state => {
                    if let State::Recording(worker) | State::Placed(worker) = state {
                        placed.push((TaskId { job: id, index }, worker.clone()));
                    }
                    *state = State::Ended {
                        outcome: Outcome::Cancelled,
                        recorded: false,
                    };
                }
            }
        }
        for (task, worker) in placed {
            self.detach(now, task, &worker);
        }
        self.needs_scheduling = true;
        self.submit_dependents(now, id);
    }

    pub(super) fn on_cancel(&mut self, now: Time, id: JobId) {
        let Some(job) = self.jobs.all.get_mut(&id) else {
            return;
        };
        if job.cancelled.is_some() {
            return;
        }
        job.cancelled = Some(false);
        self.append(PendingAppend::Cancelled(id), Body::Cancelled { job: id });
        self.close_job(now, id);
    }

    /// Submits the jobs that wait for another one if the job `id` has ended.
    pub(super) fn submit_dependents(&mut self, now: Time, id: JobId) {
        if self.dependents.is_empty() || !self.jobs.all.get(&id).is_some_and(Job::is_ended) {
            return;
        }
        for dependent in std::mem::take(&mut self.dependents) {
            self.submit(now, dependent);
        }
    }

    /// Blocks the tasks of a job that are not active, and stops the active ones unless they may run
    /// only once.
    pub(super) fn unschedule(&mut self, now: Time, id: JobId) {
        self.scheduler.cancel(now, id);
        let Some(job) = self.jobs.all.get_mut(&id) else {
            return;
        };
        let (once, checkpoint) = (job.is_once(), job.spec.checkpoint);
        let mut placed = Vec::new();
        for (index, task) in (0..).zip(&mut job.tasks) {
            match &mut task.state {
                State::Queued | State::Backoff => task.state = State::Blocked,
                State::Placed(worker) | State::Recording(worker) => {
                    placed.push((TaskId { job: id, index }, worker.clone()));
                    task.state = State::Blocked;
                }
                State::Active(active) if !once => {
                    active.stop.get_or_insert(checkpoint);
                    if let Some(member) = self.members.get_mut(&active.worker) {
                        member.stops_due = true;
                    }
                }
                _ => {}
            }
        }
        for (task, worker) in placed {
            self.detach(now, task, &worker);
        }
    }
}
