//! Records of the log and answers to appends.

use primrosebay_state::Name;
use primrosebay_state::id::{JobId, TaskId};
use primrosebay_state::record::{Body, Outcome, Record};
use primrosebay_state::time::Time;

use super::jobs::{Job, State, Task};
use super::term::Phase;
use super::{Coordinator, Pending};

impl Coordinator {
    pub(super) fn on_record(&mut self, now: Time, offset: u64, record: &Record) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset + 1;
        self.log_up = true;
        match &record.body {
            Body::Accepted { job, zone, spec } => self.read_accepted(now, *job, zone, spec),
            Body::Starting { task } => {
                if let Some(task) = self.jobs.task_mut(*task) {
                    task.started = true;
                }
            }
            Body::Finished { task, outcome } => self.read_finished(now, *task, *outcome),
            Body::Cancelled { job } => self.read_cancelled(now, *job),
            Body::Moved {
                job,
                from,
                epoch,
                zone,
                ended,
            } => {
                if self.read_moved(*job, from, *epoch, zone) {
                    self.take_moved(now, *job, ended);
                }
            }
            Body::Opened {
                zone,
                epoch,
                holder,
            } => {
                let latest = self.opened.or_insert(zone.clone(), *epoch);
                *latest = (*latest).max(*epoch);
                if *holder == self.holder && self.recovery.fence == Some(*epoch) {
                    self.recovery.read = true;
                }
            }
            Body::Snapshot(piece) => self.read_snapshot(now, piece),
            Body::Config(_) | Body::Allowance { .. } | Body::ConfigSnapshot(_) => {}
        }
    }

    pub(super) fn read_accepted(
        &mut self,
        now: Time,
        id: JobId,
        zone: &Name,
        spec: &primrosebay_state::job::JobSpec,
    ) {
        let first = self.jobs.claim_name(id, spec);
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
            // Another job got the name while the log was down; every reader finds the same.
            self.read_cancelled(now, id);
        }
    }

    pub(super) fn read_finished(&mut self, now: Time, id: TaskId, outcome: Outcome) {
        let Some((_, task)) = self.jobs.task(id) else {
            return;
        };
        let worker = task.worker().cloned();
        let ended = task.is_ended();
        if !ended && let Some(worker) = worker {
            // A predecessor saw the end; what runs here is stopped as a stray attempt.
            if matches!(task.state, State::Active(_)) {
                let attempt = self.jobs.attempt(id);
                if let Some(member) = self.members.get_mut(&worker) {
                    member.strays.push(attempt);
                    member.stops = true;
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
            self.close(now, id.job);
        }
        self.regroup(now, id.job);
        self.wake_dependents(now, id.job);
    }

    pub(super) fn read_cancelled(&mut self, now: Time, id: JobId) {
        if let Some(job) = self.jobs.all.get_mut(&id) {
            let known = job.cancelled.is_some();
            job.cancelled = Some(true);
            if !known {
                self.close(now, id);
            }
        }
    }

    /// Gives a job its new home, unless a later term of the giving zone has been recorded: the
    /// new coordinator there has gone on with the job.
    fn read_moved(&mut self, id: JobId, from: &Name, epoch: u64, zone: &Name) -> bool {
        let latest = self.opened.get::<Name>(from).copied().unwrap_or(0);
        let Some(job) = self.jobs.all.get_mut(&id) else {
            return false;
        };
        if job.home != *from || epoch < latest {
            return false;
        }
        job.home = zone.clone();
        job.moving = None;
        job.regroup = false;
        self.moves.retain(|moving| *moving != id);
        true
    }

    /// Takes over what the giver of a job knows of its tasks. The records of its tasks may be in a
    /// stream that this zone does not read.
    fn take_moved(&mut self, now: Time, id: JobId, ended: &[(u32, Outcome)]) {
        let Some(job) = self.jobs.all.get_mut(&id) else {
            return;
        };
        for task in &mut job.tasks {
            task.started = false;
        }
        let here = job.home == self.zone;
        if here {
            job.own = false;
            // A predecessor may have started tasks here before this record was read; those that
            // were taken over from the worker are in order.
            let taken = |task: &Task| task.is_ended() || matches!(task.state, State::Active(_));
            for task in job.tasks.iter_mut().filter(|task| !taken(task)) {
                task.state = State::Inherited;
            }
            self.recovery.inherited.push(id);
        }
        for (index, outcome) in ended {
            let task = TaskId {
                job: id,
                index: *index,
            };
            self.read_finished(now, task, *outcome);
        }
        if here {
            self.adopt_orphans(now, id);
        }
    }

    pub(super) fn on_appended(&mut self, now: Time, token: u64) {
        match self.appends.remove(&token) {
            Some(Pending::Finished(id)) => {
                if let Some(task) = self.jobs.task_mut(id)
                    && let State::Ended { recorded, .. } = &mut task.state
                {
                    *recorded = true;
                }
            }
            Some(Pending::Starting(id)) => self.on_starting_recorded(now, id),
            Some(Pending::Cancelled(id)) => {
                if let Some(job) = self.jobs.all.get_mut(&id) {
                    job.cancelled = Some(true);
                }
            }
            Some(Pending::Moved | Pending::Opened) | None => {}
        }
    }

    fn on_starting_recorded(&mut self, now: Time, id: TaskId) {
        let Some(task) = self.jobs.task_mut(id) else {
            return;
        };
        task.started = true;
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
            || job.moving.is_some()
            || job.is_closing()
            || zone == self.zone
        {
            return;
        }
        job.moving = Some(zone);
        self.moves.push(id);
        self.recall(now, id);
    }

    /// Records the moves of jobs of which nothing runs here any more. From then on nothing of
    /// them starts here, even if the outcome of the append remains unknown.
    pub(super) fn advance_moves(&mut self, now: Time) {
        if self.moves.is_empty() || !self.recovery.read || !self.has_authority(now) {
            return;
        }
        let epoch = self.terms.voters.epoch;
        for id in std::mem::take(&mut self.moves) {
            let Some(job) = self.jobs.all.get(&id) else {
                continue;
            };
            let Some(zone) = job.moving.clone() else {
                continue;
            };
            if job.is_closing() || job.is_ended() {
                continue;
            }
            let idle = |state: &State| matches!(state, State::Waiting | State::Ended { .. });
            if job.logged && job.tasks.iter().all(|task| idle(&task.state)) {
                let body = Body::Moved {
                    job: id,
                    from: self.zone.clone(),
                    epoch,
                    zone,
                    ended: job.ended(),
                };
                self.append(Pending::Moved, body);
            } else {
                self.moves.push(id);
            }
        }
    }
}
