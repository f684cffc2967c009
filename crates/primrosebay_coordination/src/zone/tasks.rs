//! Changes of tasks: what becomes of an attempt that is over, and of jobs that are closed.

use primrosebay_protocol::worker::AttemptState;
use primrosebay_state::Name;
use primrosebay_state::id::{JobId, TaskId};
use primrosebay_state::job::{JobSpec, Policy};
use primrosebay_state::record::{Body, Outcome};
use primrosebay_state::time::Time;

use super::jobs::{Excess, Job, State};
use super::{Coordinator, Pending};

/// How an attempt came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Over {
    Done,
    Failed,
    /// It was stopped, so it ran for a while.
    Stopped,
    /// It never ran.
    NotRun,
    /// Its worker does not answer and has stopped it by now, or has restarted.
    Lost,
}

impl Over {
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
        own: bool,
    ) {
        // Without authority the job may start elsewhere before this instance gets the zone.
        let own = own && self.has_authority(now);
        if let Some(job) = self.jobs.all.get_mut(&id) {
            job.logged |= durable;
            if own && job.home == self.zone {
                job.claim();
            }
            self.submit(now, id);
            return;
        }
        let state = if own {
            State::Waiting
        } else {
            State::Inherited
        };
        let mut job = Job::new(self.zone.clone(), spec, &state);
        job.logged = durable;
        job.own = own;
        self.jobs.all.insert(id, job);
        if !own {
            self.recovery.inherited.push(id);
        }
        self.adopt_orphans(now, id);
        self.submit(now, id);
    }

    /// Hands the waiting tasks of a job to the scheduler if nothing keeps them.
    pub(super) fn submit(&mut self, now: Time, id: JobId) {
        let Some(job) = self.jobs.all.get(&id) else {
            return;
        };
        let waits = job.home != self.zone
            || job.is_closing()
            || job.moving.is_some()
            || job.regroup
            || (job.is_once() && !job.logged);
        if waits {
            return;
        }
        if !job.own && !self.recovery.done {
            self.wait_for_recovery(id);
            return;
        }
        if !job.spec.after.is_empty() {
            let before = self.jobs.named(&job.spec.team, &job.spec.after);
            if before.and_then(Job::outcome) != Some(Outcome::Done) {
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
            if task.state == State::Waiting {
                task.state = State::Pending;
                indexes.push(index);
            }
        }
        if !indexes.is_empty() {
            self.scheduler.submit(now, id, &job.spec, &indexes);
            self.changed = true;
        }
    }

    /// Keeps the waiting tasks of a job until the log has been read: the job may have been moved or
    /// its tasks may have finished.
    fn wait_for_recovery(&mut self, id: JobId) {
        let Some(job) = self.jobs.all.get_mut(&id) else {
            return;
        };
        let mut waiting = false;
        for task in &mut job.tasks {
            if task.state == State::Waiting {
                task.state = State::Inherited;
                waiting = true;
            }
        }
        if waiting && !self.recovery.inherited.contains(&id) {
            self.recovery.inherited.push(id);
        }
    }

    /// Handles the end of the attempt that the task at `id` was given last.
    pub(super) fn attempt_over(&mut self, now: Time, id: TaskId, over: Over) {
        let Some((job, task)) = self.jobs.task(id) else {
            return;
        };
        let Some(worker) = task.worker().cloned() else {
            return;
        };
        let (closing, once) = (job.is_closing(), job.is_once());
        let evicted =
            matches!(&task.state, State::Active(active) if active.excess == Excess::Evicted);
        let service = job.spec.policy == Policy::Service;
        let keep = job.moving.is_some() || job.is_gang();
        self.detach(now, id, &worker);
        self.note_result(now, &worker, id.job, over);
        if closing {
            let outcome = if over == Over::Done {
                Outcome::Done
            } else {
                Outcome::Cancelled
            };
            self.set_state(
                id,
                State::Ended {
                    outcome,
                    recorded: false,
                },
            );
            return;
        }
        match over {
            Over::Done if !service => self.end_task(now, id, Outcome::Done),
            Over::Stopped | Over::Lost if once => self.end_task(now, id, Outcome::Unknown),
            Over::Failed if once => self.end_task(now, id, Outcome::Failed),
            // Counts as a failure, because the next attempt is likely to need as much.
            Over::Stopped if evicted => self.retry_failed(now, id, &worker, Over::Failed),
            Over::Done | Over::Failed => self.retry_failed(now, id, &worker, over),
            _ if keep => self.hold_back(now, id),
            Over::NotRun => self.retry_later(now, id, self.settings.heartbeat),
            Over::Stopped | Over::Lost => {
                self.set_state(id, State::Waiting);
                self.submit(now, id.job);
            }
        }
        self.regroup(now, id.job);
    }

    /// Takes the task off its worker and frees its resources.
    pub(super) fn detach(&mut self, now: Time, id: TaskId, worker: &Name) {
        if let Some(member) = self.members.get_mut(worker) {
            member.remove(id);
        }
        self.scheduler.release(now, id);
        self.changed = true;
    }

    pub(super) fn set_state(&mut self, id: TaskId, state: State) {
        if let Some(task) = self.jobs.task_mut(id) {
            task.state = state;
        }
    }

    /// Ends a task that is on no worker, and records its outcome.
    pub(super) fn end_task(&mut self, now: Time, id: TaskId, outcome: Outcome) {
        self.set_state(
            id,
            State::Ended {
                outcome,
                recorded: false,
            },
        );
        self.append(Pending::Finished(id), Body::Finished { task: id, outcome });
        if outcome == Outcome::Failed {
            if let Some(job) = self.jobs.all.get_mut(&id.job) {
                job.failed = true;
            }
            self.close(now, id.job);
        }
        self.wake_dependents(now, id.job);
    }

    /// Ends the tasks of a cancelled or failed job that do not run, and stops the others.
    pub(super) fn close(&mut self, now: Time, id: JobId) {
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
                        member.stops = true;
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
        self.changed = true;
        self.wake_dependents(now, id);
    }

    pub(super) fn on_cancel(&mut self, now: Time, id: JobId) {
        let Some(job) = self.jobs.all.get_mut(&id) else {
            return;
        };
        if job.cancelled.is_some() {
            return;
        }
        job.cancelled = Some(false);
        self.append(Pending::Cancelled(id), Body::Cancelled { job: id });
        self.close(now, id);
    }

    /// Submits the jobs that wait for the job `id`, now that it has ended.
    pub(super) fn wake_dependents(&mut self, now: Time, id: JobId) {
        if self.dependents.is_empty() || !self.jobs.all.get(&id).is_some_and(Job::is_ended) {
            return;
        }
        for dependent in std::mem::take(&mut self.dependents) {
            self.submit(now, dependent);
        }
    }

    /// Takes the tasks of a job that do not run back from the scheduler and stops the others, as
    /// far as they may run again.
    pub(super) fn recall(&mut self, now: Time, id: JobId) {
        self.scheduler.cancel(now, id);
        let Some(job) = self.jobs.all.get_mut(&id) else {
            return;
        };
        let (once, checkpoint) = (job.is_once(), job.spec.checkpoint);
        let mut placed = Vec::new();
        for (index, task) in (0..).zip(&mut job.tasks) {
            match &mut task.state {
                State::Pending | State::Backoff => task.state = State::Waiting,
                State::Placed(worker) | State::Recording(worker) => {
                    placed.push((TaskId { job: id, index }, worker.clone()));
                    task.state = State::Waiting;
                }
                State::Active(active) if !once => {
                    active.stop.get_or_insert(checkpoint);
                    if let Some(member) = self.members.get_mut(&active.worker) {
                        member.stops = true;
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
