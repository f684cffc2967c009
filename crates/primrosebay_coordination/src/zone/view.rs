//! Read access for the API.

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

/// Whether this instance coordinates the zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Authority {
    /// What the instance does in the zone.
    pub phase: Phase,
    /// The epoch of its requests.
    pub epoch: u64,
    /// The epoch of its first claim since it last had no authority. A job counts as accepted by
    /// this coordinator only if authority was held in the same tenure before its record was first
    /// sent and when the record was durable; another one may have started it in between otherwise.
    pub tenure: u64,
    /// Whether it may start tasks by its leases.
    pub held: bool,
}

/// What inherited tasks wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// This instance does not coordinate the zone.
    Watching,
    /// Too few voters of the latest term have granted their lease; inherited tasks wait until
    /// workers return or are declared lost.
    VotersMissing,
    /// Commands of the previous term have not expired.
    Opening,
    /// The log has not been read up to the end of the previous term.
    LogNotRead,
    /// Tasks may run on voters that do not answer.
    TasksUnlocated,
    /// Inherited tasks may start.
    Done,
}

impl Stage {
    /// Returns the result code that stands for the stage.
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

/// How far the recovery of the zone has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Readiness {
    /// What inherited tasks wait for.
    pub stage: Stage,
    /// `OK` if inherited tasks may start.
    pub code: Code,
    /// Voters of the latest term that have been claimed.
    pub claimed: usize,
    /// Voters of the latest term.
    pub voters: usize,
    /// Whether the log has been read up to the end of the previous term.
    pub log_read: bool,
    /// Voters on which unknown tasks may run.
    pub unlocated: Vec<Name>,
    /// Jobs with inherited tasks that wait.
    pub inherited: usize,
}

/// One worker as the API shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerView {
    /// The name.
    pub name: Name,
    /// The rack.
    pub rack: Name,
    /// What it holds in total.
    pub total: Resources,
    /// Whether its lease is held.
    pub held: bool,
    /// Whether it gets tasks.
    pub usable: bool,
    /// Whether it is quarantined because it fails what it starts.
    pub quarantined: bool,
    /// Tasks that were sent to it.
    pub tasks: usize,
}

impl Coordinator {
    /// Returns the job `id` of this or another zone.
    #[must_use]
    pub fn job(&self, id: JobId) -> Option<JobView> {
        self.jobs.all.get(&id).map(|job| job.view(id))
    }

    /// Returns the job of `team` that has `name` in the log, whatever its home.
    #[must_use]
    pub fn job_by_name(&self, team: &Name, name: &Name) -> Option<JobView> {
        let id = self.jobs.id_of(team, name)?;
        self.job(id)
    }

    /// Returns the jobs whose home is this zone, by id.
    pub fn jobs(&self) -> impl Iterator<Item = JobView> {
        self.jobs
            .all
            .iter()
            .filter(|(_, job)| job.home == self.zone)
            .map(|(id, job)| job.view(*id))
    }

    /// Returns the known workers by name.
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

    /// Returns whether the configuration is fresh enough to start tasks, as last told.
    #[must_use]
    pub fn may_start(&self) -> bool {
        self.may_start
    }

    /// Returns whether this instance coordinates the zone.
    #[must_use]
    pub fn authority(&self, now: Time) -> Authority {
        Authority {
            phase: self.terms.phase,
            epoch: self.terms.epoch,
            tenure: self.terms.first,
            held: self.has_authority(now),
        }
    }

    /// Returns how far the recovery of the zone has come.
    #[must_use]
    pub fn readiness(&self, now: Time) -> Readiness {
        let unlocated: Vec<_> = self.unlocated(now).cloned().collect();
        let stage = self.stage(now, &unlocated);
        Readiness {
            stage,
            code: stage.code(),
            claimed: self.votes(now),
            voters: self.terms.voters.names.len(),
            log_read: self.recovery.read,
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
        } else if !self.recovery.read {
            Stage::LogNotRead
        } else if unlocated.is_empty() {
            Stage::Done
        } else {
            Stage::TasksUnlocated
        }
    }

    /// Returns the scheduler, for its explanations and summaries.
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
