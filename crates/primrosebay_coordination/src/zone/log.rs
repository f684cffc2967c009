//! Log records, acknowledged appends and moves of jobs to other zones.

use primrosebay_state::Name;
use primrosebay_state::id::{JobId, TaskId};
use primrosebay_state::record::{Body, Outcome, Record};
use primrosebay_state::time::Time;

use super::jobs::{Job, State, Task};
use super::term::Phase;
use super::{Coordinator, PendingAppend};

impl Coordinator {
    pub(super) fn on_record(&mut self, now: Time, offset: u64, record: &Record) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset + 1;
        self.log_available = true;
        match &record.body {
            Body::Accepted { job, zone, spec } => {
                self.apply_accepted(now, *job, zone, spec);
                self.apply_early(now, *job);
            }
            Body::Starting { task } => {
                if let Some(task) = self.jobs.task_mut(*task) {
                    task.start_recorded = true;
                }
            }
            Body::Finished { task, outcome } => self.apply_finished(now, *task, *outcome),
            Body::Cancelled { job } | Body::Moved { job, .. } => {
                // Whether a move is void depends on the terms recorded before it.
                if self.is_superseded(&record.body) {
                    return;
                }
                if self.jobs.all.get(job).is_some() {
                    self.apply_change(now, &record.body);
                } else {
                    self.early_records.add(offset, *job, record.body.clone());
                }
            }
            Body::Opened {
                zone,
                epoch,
                holder,
            } => {
                let latest = self.recorded_epochs.or_insert(zone.clone(), *epoch);
                *latest = (*latest).max(*epoch);
                if *holder == self.holder && self.recovery.fence_epoch == Some(*epoch) {
                    self.recovery.log_read = true;
                }
            }
            Body::Snapshot(part) => self.apply_snapshot(now, part),
            Body::Config(_) | Body::Allowance { .. } | Body::ConfigSnapshot(_) => {}
        }
    }

    pub(super) fn apply_accepted(
        &mut self,
        now: Time,
        id: JobId,
        zone: &Name,
        spec: &primrosebay_state::job::JobSpec,
    ) {
        let first = self.jobs.register_name(id, spec);
        if let Some(job) = self.jobs.all.get_mut(&id) {
            job.logged = true;
        } else {
            let mut job = Job::new(zone.clone(), spec.clone(), &State::Inherited);
            job.logged = true;
            self.jobs.all.insert(id, job);
            if *zone == self.zone {
                self.recovery.inherited.push(id);
            }
            self.adopt_orphans(now, id);
        }
        if first {
            self.submit(now, id);
        } else {
            // Another job got the name during a log outage. Every reader cancels the same job,
            // because all read the records in the same order.
            self.apply_cancelled(now, id);
        }
    }

    /// Applies the records of the job `id` that were read before it was known.
    pub(super) fn apply_early(&mut self, now: Time, id: JobId) {
        for body in self.early_records.take(id) {
            self.apply_change(now, &body);
        }
    }

    /// Applies the cancellation or the move of a known job.
    fn apply_change(&mut self, now: Time, body: &Body) {
        match body {
            Body::Cancelled { job } => self.apply_cancelled(now, *job),
            Body::Moved {
                job,
                from,
                zone,
                ended,
                ..
            } if self.apply_moved(*job, from, zone) => {
                self.reset_moved_tasks(now, *job, ended);
            }
            _ => {}
        }
    }

    /// Returns whether a move was recorded after a later term of the zone that gives the job away:
    /// the coordinator of that term keeps the job.
    fn is_superseded(&self, body: &Body) -> bool {
        let Body::Moved { from, epoch, .. } = body else {
            return false;
        };
        let latest = self.recorded_epochs.get::<Name>(from);
        latest.is_some_and(|latest| epoch < latest)
    }

    pub(super) fn apply_finished(&mut self, now: Time, id: TaskId, outcome: Outcome) {
        let Some((_, task)) = self.jobs.task(id) else {
            return;
        };
        let worker = task.worker().cloned();
        let ended = task.is_ended();
        if !ended && let Some(worker) = worker {
            // A predecessor recorded the end, so an attempt that still runs here is stale and is
            // stopped.
            if matches!(task.state, State::Active(_)) {
                let attempt = self.jobs.attempt(id);
                if let Some(member) = self.members.get_mut(&worker) {
                    member.stale_attempts.push(attempt);
                    member.stops_due = true;
                }
            }
            self.detach(now, id, &worker);
        }
        self.set_state(
            id,
            State::Ended {
                outcome,
                recorded: true,
            },
        );
        if outcome == Outcome::Failed
            && let Some(job) = self.jobs.all.get_mut(&id.job)
        {
            job.failed = true;
            self.close_job(now, id.job);
        }
        self.restart_if_idle(now, id.job);
        self.submit_dependents(now, id.job);
    }

    pub(super) fn apply_cancelled(&mut self, now: Time, id: JobId) {
        if let Some(job) = self.jobs.all.get_mut(&id) {
            let known = job.cancelled.is_some();
            job.cancelled = Some(true);
            if !known {
                self.close_job(now, id);
            }
        }
    }

    /// Sets the new home of a job and returns true. Returns false if `from` is not its home.
    fn apply_moved(&mut self, id: JobId, from: &Name, zone: &Name) -> bool {
        let Some(job) = self.jobs.all.get_mut(&id) else {
            return false;
        };
        if job.home != *from {
            return false;
        }
        job.home = zone.clone();
        job.moving_to = None;
        job.restarting = false;
        self.pending_moves.retain(|moving| *moving != id);
        true
    }

    /// Resets the tasks of a moved job and applies the outcomes in its `Moved` record. The log
    /// records of these tasks may be in a stream that this zone does not read.
    fn reset_moved_tasks(&mut self, now: Time, id: JobId, ended: &[(u32, Outcome)]) {
        let Some(job) = self.jobs.all.get_mut(&id) else {
            return;
        };
        for task in &mut job.tasks {
            task.start_recorded = false;
        }
        let here = job.home == self.zone;
        if here {
            job.exclusive = false;
            // A predecessor in this zone may have started tasks before this instance read the
            // record. Tasks that are active because a worker reported them keep their state.
            let keeps_state =
                |task: &Task| task.is_ended() || matches!(task.state, State::Active(_));
            for task in job.tasks.iter_mut().filter(|task| !keeps_state(task)) {
                task.state = State::Inherited;
            }
            self.recovery.inherited.push(id);
        }
        for (index, outcome) in ended {
            let task = TaskId {
                job: id,
                index: *index,
            };
            self.apply_finished(now, task, *outcome);
        }
        if here {
            self.adopt_orphans(now, id);
        }
    }

    pub(super) fn on_appended(&mut self, now: Time, token: u64) {
        match self.pending_appends.remove(&token) {
            Some(PendingAppend::Finished(id)) => {
                if let Some(task) = self.jobs.task_mut(id)
                    && let State::Ended { recorded, .. } = &mut task.state
                {
                    *recorded = true;
                }
            }
            Some(PendingAppend::Starting(id)) => self.on_starting_recorded(now, id),
            Some(PendingAppend::Cancelled(id)) => {
                if let Some(job) = self.jobs.all.get_mut(&id) {
                    job.cancelled = Some(true);
                }
            }
            Some(PendingAppend::Moved | PendingAppend::Opened) | None => {}
        }
    }

    fn on_starting_recorded(&mut self, now: Time, id: TaskId) {
        let Some(task) = self.jobs.task_mut(id) else {
            return;
        };
        task.start_recorded = true;
        let State::Recording(worker) = &task.state else {
            return;
        };
        let worker = worker.clone();
        task.state = State::Placed(worker.clone());
        match self.members.get_mut(&worker) {
            Some(member) => member.placed.push(id),
            None => self.requeue_placed(now, id),
        }
    }

    pub(super) fn on_move(&mut self, now: Time, id: JobId, zone: Name) {
        let here = self.terms.phase == Phase::Claiming;
        let Some(job) = self.jobs.all.get_mut(&id) else {
            return;
        };
        if !here
            || job.home != self.zone
            || job.moving_to.is_some()
            || job.is_closing()
            || zone == self.zone
        {
            return;
        }
        job.moving_to = Some(zone);
        self.pending_moves.push(id);
        self.unschedule(now, id);
    }

    /// Appends the `Moved` records of jobs without active tasks. From then on no task of these jobs
    /// starts here, even if the result of the append remains unknown.
    pub(super) fn advance_moves(&mut self, now: Time) {
        if self.pending_moves.is_empty() || !self.recovery.log_read || !self.has_authority(now) {
            return;
        }
        let epoch = self.terms.voters.epoch;
        for id in std::mem::take(&mut self.pending_moves) {
            let Some(job) = self.jobs.all.get(&id) else {
                continue;
            };
            let Some(zone) = job.moving_to.clone() else {
                continue;
            };
            if job.is_closing() || job.is_ended() {
                continue;
            }
            let idle = |state: &State| matches!(state, State::Blocked | State::Ended { .. });
            if job.logged && job.tasks.iter().all(|task| idle(&task.state)) {
                let body = Body::Moved {
                    job: id,
                    from: self.zone.clone(),
                    epoch,
                    zone,
                    ended: job.ended_tasks(),
                };
                self.append(PendingAppend::Moved, body);
            } else {
                self.pending_moves.push(id);
            }
        }
    }
}
