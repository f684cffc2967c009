//! Recovery after a takeover: locates the tasks that a previous coordinator may have started,
//! before inherited tasks may start.

use primrosebay_protocol::worker::{AttemptState, Report};
use primrosebay_state::Name;
use primrosebay_state::id::{AttemptId, JobId, TaskId};
use primrosebay_state::job::JobSpec;
use primrosebay_state::record::Outcome;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::Coordinator;
use super::jobs::{Job, State};
use super::member::Member;
use crate::schedule::Scheduler;
use primrosebay_state::table::Table;

/// The progress of the zone's recovery in the current term.
#[derive(Debug, Default)]
pub(super) struct Recovery {
    /// The epoch in this instance's `Opened` record, once it is being appended.
    pub fence_epoch: Option<u64>,
    /// Whether the log has been read up to that record. Records that a predecessor appends after it
    /// are void, so all effects of the predecessor are known.
    pub log_read: bool,
    /// Whether inherited tasks may start.
    pub done: bool,
    /// Jobs with inherited tasks.
    pub inherited: Vec<JobId>,
    /// Reported attempts of jobs whose record has not been read, with their worker.
    pub orphans: Table<AttemptId, (Name, Report)>,
    /// Whether a team's settings have changed since the last update of the team limits.
    pub teams_changed: bool,
    /// Total size of the unlocated voters at the last update of the team limits.
    reserved: Resources,
}

impl Coordinator {
    /// Returns the voters on which unknown tasks may run: those that have not granted their lease
    /// and whose tasks may not have stopped yet.
    pub(super) fn unlocated(&self, now: Time) -> impl Iterator<Item = &Name> {
        let unknown = move |member: Option<&Member>| {
            member.is_none_or(|m| m.granted_at.is_none() && !self.tasks_have_ended(now, m))
        };
        let voters = self.terms.voters.names.iter();
        voters.filter(move |name| unknown(self.members.get::<Name>(name)))
    }

    /// Releases the inherited tasks once the own term is open, the log has been read and no voter
    /// is unlocated.
    pub(super) fn advance_recovery(&mut self, now: Time) {
        let ready = self.terms.voters.own && self.recovery.log_read;
        if ready && !self.recovery.done && self.unlocated(now).next().is_none() {
            self.recovery.done = true;
        }
        if self.recovery.done {
            for id in std::mem::take(&mut self.recovery.inherited) {
                self.release_inherited(now, id);
            }
        }
    }

    /// Releases the inherited tasks of one job, which run on no worker. Tasks that may run only
    /// once and have a `Starting` record end with an unknown outcome instead.
    fn release_inherited(&mut self, now: Time, id: JobId) {
        let Some(job) = self.jobs.all.get_mut(&id) else {
            return;
        };
        if job.home != self.zone {
            return;
        }
        let once = job.is_once();
        let mut unknown = Vec::new();
        for (index, task) in (0..).zip(&mut job.tasks) {
            if task.state != State::Inherited {
                continue;
            }
            task.state = State::Blocked;
            if once && task.start_recorded {
                unknown.push(TaskId { job: id, index });
            }
        }
        if job.is_gang() {
            let runs = |task: &super::jobs::Task| matches!(task.state, State::Active(_));
            let waits = |task: &super::jobs::Task| task.state == State::Blocked;
            job.restarting = job.tasks.iter().any(runs) && job.tasks.iter().any(waits);
        }
        let restarting = job.restarting;
        for task in unknown {
            self.end_task(now, task, Outcome::Unknown);
        }
        if restarting {
            self.unschedule(now, id);
            self.restart_if_idle(now, id);
        }
        self.submit(now, id);
    }

    /// Stores a reported attempt of an unknown job until the record of the job is read.
    pub(super) fn add_orphan(&mut self, now: Time, worker: &Name, report: &Report) {
        let id = report.attempt.task;
        if report.state == AttemptState::Running {
            let spec = JobSpec {
                team: report.team.clone(),
                resources: report.resources,
                ..JobSpec::default()
            };
            self.scheduler.add_running(now, id, worker, &spec);
        } else {
            self.scheduler.release(now, id);
        }
        let entry = (worker.clone(), report.clone());
        self.recovery.orphans.insert(report.attempt, entry);
    }

    /// Applies the reports about a job that arrived before its record was read.
    pub(super) fn adopt_orphans(&mut self, now: Time, id: JobId) {
        let found: Vec<_> = self
            .recovery
            .orphans
            .iter()
            .filter(|(attempt, _)| attempt.task.job == id)
            .map(|(_, entry)| entry.clone())
            .collect();
        for (worker, report) in found {
            self.recovery.orphans.remove(&report.attempt);
            // If the task is not taken over, its resources must no longer count as used by its
            // team.
            self.scheduler.release(now, report.attempt.task);
            self.on_report(now, &worker, &report);
        }
    }

    /// Updates the teams' limits in the scheduler. While unknown tasks may run on unlocated voters,
    /// each team is assumed to use the full capacity of these voters.
    pub(super) fn update_team_limits(&mut self, now: Time) {
        let reserved = self
            .unlocated(now)
            .map(|name| {
                self.members
                    .get::<Name>(name)
                    .map_or(UNKNOWN_SIZE, Member::size)
            })
            .fold(Resources::ZERO, |sum, size| sum.plus(&size));
        if reserved == self.recovery.reserved && reserved.is_zero() && !self.recovery.teams_changed
        {
            return;
        }
        let used = if reserved.is_zero() {
            Table::default()
        } else {
            self.team_usage()
        };
        for (team, (share, allowance)) in self.teams.iter() {
            // Known running tasks are not preempted because of this assumption.
            let used = used.get::<Name>(team).copied().unwrap_or_default();
            let rest = allowance.minus(&reserved);
            let limit = Resources {
                cores_milli: rest
                    .cores_milli
                    .max(used.cores_milli.min(allowance.cores_milli)),
                memory_mib: rest
                    .memory_mib
                    .max(used.memory_mib.min(allowance.memory_mib)),
                accelerators: rest
                    .accelerators
                    .max(used.accelerators.min(allowance.accelerators)),
            };
            self.scheduler.set_team(team.clone(), *share, limit);
        }
        self.recovery.reserved = reserved;
        self.recovery.teams_changed = false;
        self.needs_scheduling = true;
    }

    fn team_usage(&self) -> Table<Name, Resources> {
        let mut usage: Table<Name, Resources> = Table::default();
        let mut add = |team: &Name, amount: &Resources| {
            let sum = usage.or_insert(team.clone(), Resources::ZERO);
            *sum = sum.plus(amount);
        };
        for (_, member) in self.members.iter() {
            for id in member.tasks.iter().chain(&member.placed) {
                if let Some(job) = self.jobs.all.get(&id.job) {
                    add(&job.spec.team, &job.spec.resources);
                }
            }
        }
        for (_, (_, report)) in self.recovery.orphans.iter() {
            if report.state == AttemptState::Running {
                add(&report.team, &report.resources);
            }
        }
        usage
    }

    /// Discards the state of the term and marks all tasks that have not ended as inherited, as
    /// after a restart.
    pub(super) fn discard_term(&mut self, _now: Time) {
        self.scheduler = Scheduler::new(crate::schedule::Settings::default(), self.seed);
        self.backoff.clear();
        self.throttled.clear();
        self.dependents.clear();
        self.recovery = Recovery {
            teams_changed: true,
            ..Recovery::default()
        };
        for (id, job) in self.jobs.all.iter_mut() {
            job.moving_to = None;
            job.restarting = false;
            if job.home == self.zone && !job.is_ended() {
                job.make_inherited();
                self.recovery.inherited.push(*id);
            }
        }
    }
}

/// Assumed size of a worker of unknown capacity, which leaves no team any unused allowance.
const UNKNOWN_SIZE: Resources = Resources {
    cores_milli: u64::MAX,
    memory_mib: u64::MAX,
    accelerators: u64::MAX,
};

impl Member {
    fn size(&self) -> Resources {
        if self.total.is_zero() {
            UNKNOWN_SIZE
        } else {
            self.total
        }
    }
}

impl Job {
    /// Marks the tasks that have not ended as inherited, or as cancelled if the job is cancelled or
    /// failed.
    pub(super) fn make_inherited(&mut self) {
        let closing = self.is_closing();
        self.exclusive = false;
        for task in &mut self.tasks {
            if closing && !task.is_ended() {
                task.state = State::Ended {
                    outcome: Outcome::Cancelled,
                    recorded: false,
                };
            } else if !task.is_ended() {
                task.state = State::Inherited;
            }
        }
    }
}
