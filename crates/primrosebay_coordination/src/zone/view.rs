//! Read-only views of the coordinator's state for the API.

use primrosebay_protocol::api::{JobView, TaskState, TaskView};
use primrosebay_protocol::code::Code;
use primrosebay_state::Name;
use primrosebay_state::id::JobId;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::Coordinator;
use super::jobs::{Job, State, Task};
use super::member::Quarantine;
use super::term::Phase;
use crate::schedule::Scheduler;

/// The authority of this instance over the zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Authority {
    /// The phase of this instance in the zone.
    pub phase: Phase,
    /// The epoch in the requests of this instance.
    pub epoch: u64,
    /// The epoch at which this instance's current claim began. A job counts as accepted by this
    /// coordinator only if it held authority in the same tenure both before the job's record was
    /// first sent and when the record became durable; otherwise another coordinator may have
    /// started the job in between.
    pub tenure: u64,
    /// Whether the leases held by this instance allow it to start tasks.
    pub held: bool,
}

/// The condition that keeps inherited tasks from starting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// This instance does not coordinate the zone.
    Watching,
    /// Too few voters of the latest term have granted their lease. Inherited tasks wait until
    /// workers return or are declared lost.
    VotersMissing,
    /// The term of this instance is not open yet, because commands of the previous term may still
    /// be valid or too few voters know the new term.
    Opening,
    /// The log has not been read up to the end of the previous term.
    LogNotRead,
    /// Unknown tasks may run on voters that do not reply.
    TasksUnlocated,
    /// Inherited tasks may start.
    Done,
}

impl Stage {
    /// Returns the result code that the API reports for the stage.
    #[must_use]
    pub fn code(self) -> Code {
        match self {
            Self::Done => Code::OK,
            Self::LogNotRead => Code::LOG_UNAVAILABLE,
            Self::Watching | Self::VotersMissing | Self::Opening | Self::TasksUnlocated => {
                Code::NO_COORDINATOR
            }
        }
    }
}

/// The progress of the zone's recovery after a takeover.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Readiness {
    /// The condition that keeps inherited tasks from starting.
    pub stage: Stage,
    /// The result code of `stage`; `OK` if inherited tasks may start.
    pub code: Code,
    /// Number of voters of the latest term that count for this instance's authority.
    pub claimed: usize,
    /// Number of voters of the latest term.
    pub voters: usize,
    /// Whether the log has been read up to the end of the previous term.
    pub log_read: bool,
    /// Voters on which unknown tasks may run.
    pub unlocated: Vec<Name>,
    /// Number of jobs with inherited tasks that have not been released.
    pub inherited: usize,
}

/// The state of one worker for the API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerView {
    /// The worker's name.
    pub name: Name,
    /// The rack of the worker.
    pub rack: Name,
    /// The worker's capacity.
    pub total: Resources,
    /// Whether this instance holds the worker's control lease.
    pub held: bool,
    /// Whether the scheduler may place tasks on the worker.
    pub usable: bool,
    /// Whether the worker is in quarantine or on probation after repeated failures.
    pub quarantined: bool,
    /// Number of tasks that were sent to the worker and may run there.
    pub tasks: usize,
}

impl Coordinator {
    /// Returns the job `id`, whatever its home zone, or nothing if it is unknown.
    #[must_use]
    pub fn job(&self, id: JobId) -> Option<JobView> {
        self.jobs.all.get(&id).map(|job| job.view(id))
    }

    /// Returns the home zone of the job `id`, or nothing if it is unknown.
    #[must_use]
    pub fn home(&self, id: JobId) -> Option<&Name> {
        self.jobs.all.get(&id).map(|job| &job.home)
    }

    /// Returns the other zones with jobs that have not ended and that jobs of this zone wait for,
    /// sorted.
    #[must_use]
    pub fn awaited_zones(&self) -> Vec<Name> {
        let waiting = self
            .dependents
            .iter()
            .filter_map(|id| self.jobs.all.get(id));
        let awaited = waiting
            .filter(|job| !job.is_ended())
            .filter_map(|job| self.jobs.by_name(&job.spec.team, &job.spec.after));
        let mut zones: Vec<_> = awaited
            .filter(|job| job.home != self.zone && !job.is_ended())
            .map(|job| job.home.clone())
            .collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Returns the first job of `team` that the log has under `name`, whatever its home zone.
    #[must_use]
    pub fn job_by_name(&self, team: &Name, name: &Name) -> Option<JobView> {
        let id = self.jobs.id_by_name(team, name)?;
        self.job(id)
    }

    /// Returns the jobs whose home is this zone, ordered by id.
    pub fn jobs(&self) -> impl Iterator<Item = JobView> {
        self.jobs
            .all
            .iter()
            .filter(|(_, job)| job.home == self.zone)
            .map(|(id, job)| job.view(*id))
    }

    /// Returns the known workers, ordered by name.
    pub fn workers(&self, now: Time) -> impl Iterator<Item = WorkerView> {
        let ttl = self.settings.control_ttl;
        self.members.iter().map(move |(name, member)| WorkerView {
            name: name.clone(),
            rack: member.rack.clone(),
            total: member.total,
            held: member.is_held(now, ttl),
            usable: member.usable,
            quarantined: member.quarantine != Quarantine::None,
            tasks: member.tasks.len(),
        })
    }

    /// Returns the value of the latest [`Event::MayStart`](super::Event::MayStart), or false before
    /// the first one.
    #[must_use]
    pub fn may_start(&self) -> bool {
        self.may_start
    }

    /// Returns the authority of this instance over the zone at `now`.
    #[must_use]
    pub fn authority(&self, now: Time) -> Authority {
        Authority {
            phase: self.terms.phase,
            epoch: self.terms.epoch,
            tenure: self.terms.first_epoch,
            held: self.has_authority(now),
        }
    }

    /// Returns the progress of the zone's recovery at `now`.
    #[must_use]
    pub fn readiness(&self, now: Time) -> Readiness {
        let unlocated: Vec<_> = self.unlocated(now).cloned().collect();
        let stage = self.stage(now, &unlocated);
        Readiness {
            stage,
            code: stage.code(),
            claimed: self.votes(now),
            voters: self.terms.voters.names.len(),
            log_read: self.recovery.log_read,
            unlocated,
            inherited: self.recovery.inherited.len(),
        }
    }

    fn stage(&self, now: Time, unlocated: &[Name]) -> Stage {
        if self.terms.phase != Phase::Claiming {
            Stage::Watching
        } else if !self.has_authority(now) {
            Stage::VotersMissing
        } else if self.recovery.done {
            Stage::Done
        } else if !self.terms.voters.own {
            Stage::Opening
        } else if !self.recovery.log_read {
            Stage::LogNotRead
        } else if unlocated.is_empty() {
            Stage::Done
        } else {
            Stage::TasksUnlocated
        }
    }

    /// Returns the scheduler, which explains pending tasks and summarizes usage.
    #[must_use]
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }
}

impl Job {
    fn view(&self, id: JobId) -> JobView {
        JobView {
            id,
            zone: self.home.clone(),
            outcome: self.outcome(),
            spec: self.spec.clone(),
            tasks: (0..)
                .zip(&self.tasks)
                .map(|(index, task)| task.view(index))
                .collect(),
        }
    }
}

impl Task {
    fn view(&self, index: u32) -> TaskView {
        TaskView {
            index,
            state: match &self.state {
                State::Active(active) if active.running => TaskState::Running,
                State::Active(_) => TaskState::Starting,
                State::Ended { outcome, .. } => TaskState::Ended(*outcome),
                _ => TaskState::Pending,
            },
            attempts: self.attempts,
            worker: self.worker().cloned(),
        }
    }
}
