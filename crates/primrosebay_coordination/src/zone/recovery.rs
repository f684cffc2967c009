//! What a successor finds out before it starts tasks that its predecessor may have started.

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

/// How far the recovery of a zone has come in the present term.
#[derive(Debug, Default)]
pub(super) struct Recovery {
    /// The epoch of the `Opened` record that was appended.
    pub fence: Option<u64>,
    /// Whether the log has been read up to that record. Records that a predecessor appends later
    /// are void, so everything that it did is known.
    pub read: bool,
    /// Whether inherited tasks may start.
    pub done: bool,
    /// Jobs with inherited tasks.
    pub inherited: Vec<JobId>,
    /// Attempts of jobs whose record has not been read.
    pub orphans: Table<AttemptId, (Name, Report)>,
    pub teams_changed: bool,
    reserve: Resources,
}

impl Coordinator {
    /// Returns the voters on which tasks may run that this coordinator does not know of.
    pub(super) fn unlocated(&self, now: Time) -> impl Iterator<Item = &Name> {
        let unknown = move |member: Option<&Member>| {
            member.is_none_or(|m| m.granted.is_none() && !self.tasks_have_ended(now, m))
        };
        let voters = self.terms.voters.names.iter();
        voters.filter(move |name| unknown(self.members.get::<Name>(name)))
    }

    /// Releases the inherited tasks once every condition for it holds.
    pub(super) fn advance_recovery(&mut self, now: Time) {
        let ready = self.terms.voters.own && self.recovery.read;
        if ready && !self.recovery.done && self.unlocated(now).next().is_none() {
            self.recovery.done = true;
        }
        if self.recovery.done {
            for id in std::mem::take(&mut self.recovery.inherited) {
                self.release_inherited(now, id);
            }
        }
    }

    /// Releases the tasks of one job that run nowhere.
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
            task.state = State::Waiting;
            if once && task.started {
                unknown.push(TaskId { job: id, index });
            }
        }
        if job.is_gang() {
            let runs = |task: &super::jobs::Task| matches!(task.state, State::Active(_));
            let waits = |task: &super::jobs::Task| task.state == State::Waiting;
            job.regroup = job.tasks.iter().any(runs) && job.tasks.iter().any(waits);
        }
        let regroup = job.regroup;
        for task in unknown {
            self.end_task(now, task, Outcome::Unknown);
        }
        if regroup {
            self.recall(now, id);
            self.regroup(now, id);
        }
        self.submit(now, id);
    }

    /// Keeps an attempt of an unknown job until the record of the job is read.
    pub(super) fn note_orphan(&mut self, now: Time, worker: &Name, report: &Report) {
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

    /// Applies what workers reported about a job before its record was read.
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
            // If the task is not taken over, nothing may count for its team any more.
            self.scheduler.release(now, report.attempt.task);
            self.on_report(now, &worker, &report);
        }
    }

    /// Sets what teams may use. As long as tasks may run on workers that have not been claimed,
    /// each team is assumed to use all of them.
    pub(super) fn limit_teams(&mut self, now: Time) {
        let reserve = self
            .unlocated(now)
            .map(|name| self.members.get::<Name>(name).map_or(UNKNOWN, Member::size))
            .fold(Resources::ZERO, |sum, size| sum.plus(&size));
        if reserve == self.recovery.reserve && reserve.is_zero() && !self.recovery.teams_changed {
            return;
        }
        let used = if reserve.is_zero() {
            Table::default()
        } else {
            self.team_usage()
        };
        for (team, (share, allowance)) in self.teams.iter() {
            // What runs already is not stopped for the sake of a guess.
            let used = used.get::<Name>(team).copied().unwrap_or_default();
            let rest = allowance.minus(&reserve);
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
        self.recovery.reserve = reserve;
        self.recovery.teams_changed = false;
        self.changed = true;
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

    /// Makes everything that is not over inherited, as after a restart.
    pub(super) fn forget_term(&mut self, _now: Time) {
        self.scheduler = Scheduler::new(crate::schedule::Settings::default(), self.seed);
        self.backoff.clear();
        self.throttled.clear();
        self.dependents.clear();
        self.recovery = Recovery {
            teams_changed: true,
            ..Recovery::default()
        };
        for (id, job) in self.jobs.all.iter_mut() {
            job.moving = None;
            job.regroup = false;
            if job.home == self.zone && !job.is_ended() {
                job.make_inherited();
                self.recovery.inherited.push(*id);
            }
        }
    }
}

/// Stands for a worker of unknown size: no team may rely on any allowance beside it.
const UNKNOWN: Resources = Resources {
    cores_milli: u64::MAX,
    memory_mib: u64::MAX,
    accelerators: u64::MAX,
};

impl Member {
    fn size(&self) -> Resources {
        if self.total.is_zero() {
            UNKNOWN
        } else {
            self.total
        }
    }
}

impl Job {
    /// Forgets where the tasks that are not over may run.
    pub(super) fn make_inherited(&mut self) {
        let closing = self.is_closing();
        self.own = false;
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
