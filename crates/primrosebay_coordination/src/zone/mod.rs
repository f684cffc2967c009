//! The coordinator of one zone: a state machine that takes timestamped events and returns commands.

mod advance;
mod early;
mod jobs;
mod lease;
mod log;
mod member;
mod quarantine;
mod recovery;
mod reports;
mod retry;
mod send;
mod settings;
mod snapshot;
mod tasks;
mod term;
mod usage;
mod view;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use primrosebay_protocol::list::{Instance, Liveness, Role};
use primrosebay_protocol::worker::{Reply, Request};
use primrosebay_state::Name;
use primrosebay_state::config::ZoneState;
use primrosebay_state::id::{Incarnation, JobId, TaskId};
use primrosebay_state::job::JobSpec;
use primrosebay_state::record::{Body, Record};
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

pub use self::settings::Settings;
pub use self::term::Phase;
pub use self::view::{Authority, Readiness, Stage, WorkerView};

use self::early::EarlyRecords;
use self::jobs::Jobs;
use self::member::Member;
use self::recovery::Recovery;
use self::term::Terms;
use crate::schedule::Scheduler;
use primrosebay_state::table::Table;

/// An input of the coordinator.
#[derive(Debug, Clone)]
pub enum Event {
    /// A timer tick, at least every 100 ms.
    Tick,
    /// The instance list was read. Only the workers of this zone are used.
    Workers(Vec<Instance>),
    /// The rank of this instance among the candidates for the zone, from 0; `None` if it is not a
    /// candidate.
    Rank(Option<u32>),
    /// A worker replied to a request.
    Reply {
        /// The name of the worker.
        worker: Name,
        /// When the request was sent, on the local clock.
        sent: Time,
        /// The worker's reply.
        reply: Reply,
    },
    /// A request to a worker got no reply.
    Unreachable {
        /// The name of the worker.
        worker: Name,
        /// When the request was sent, on the local clock.
        sent: Time,
    },
    /// A job was accepted with this zone as its home.
    Accepted {
        /// The id of the job.
        job: JobId,
        /// The submitted specification.
        spec: JobSpec,
        /// Whether the `Accepted` record is in the log; otherwise peers hold it.
        durable: bool,
        /// Whether this coordinator accepted the job within one tenure (see [`Authority::tenure`]),
        /// so that no other coordinator can have started it.
        exclusive: bool,
    },
    /// A caller or operator cancels a job.
    Cancel {
        /// The id of the job.
        job: JobId,
    },
    /// A job is to be moved to another zone.
    Move {
        /// The id of the job.
        job: JobId,
        /// The new home zone.
        zone: Name,
    },
    /// A record of the stream `jobs` was read. Records arrive in ascending order of their offsets.
    Record {
        /// The offset of the record in the stream.
        offset: u64,
        /// The record that was read.
        record: Record,
    },
    /// All records before the end of the log have been read.
    LogEnd {
        /// The offset after the last record.
        offset: u64,
    },
    /// The log cannot be read or appended to.
    LogDown,
    /// The append of a `Command::Append` took effect.
    Appended {
        /// The token of the command.
        token: u64,
    },
    /// The settings of a team changed.
    Team {
        /// The name of the team.
        team: Name,
        /// The team's weight in fair sharing.
        share: u32,
        /// The limit on the resources of the team's running tasks in this zone.
        allowance: Resources,
    },
    /// Operators took the zone out of service or put it back into service.
    ZoneState(ZoneState),
    /// Whether the configuration is fresh enough to start tasks.
    MayStart(bool),
    /// An operator declares that a worker has been switched off.
    WorkerLost(Name),
    /// The instance is about to stop, so its leases are to be released.
    Stop,
}

/// An output of the coordinator, which the caller carries out.
#[derive(Debug, Clone)]
pub enum Command {
    /// Sends a request to a worker, without retries.
    Send {
        /// The name of the worker.
        worker: Name,
        /// The request to send.
        request: Request,
    },
    /// Appends to the stream `jobs`, retrying until the append takes effect, which is reported
    /// by `Event::Appended`.
    Append {
        /// Identifies the append in `Event::Appended`.
        token: u64,
        /// The body of the record.
        body: Body,
    },
    /// All leases have been released or have expired, so the process may exit.
    Stopped,
}

/// The purpose of an append that is not acknowledged yet.
#[derive(Debug, Clone, PartialEq)]
enum PendingAppend {
    Finished(TaskId),
    Starting(TaskId),
    Cancelled(JobId),
    Moved,
    Opened,
}

/// The state machine of an instance that is a zone's coordinator or a candidate for it.
#[derive(Debug)]
pub struct Coordinator {
    settings: Settings,
    /// The incarnation of this instance, which identifies it as a holder of leases.
    holder: Incarnation,
    zone: Name,
    rng: SmallRng,
    seed: u64,
    rank: Option<u32>,
    members: Table<Name, Member>,
    /// Workers that an operator declared lost.
    lost_workers: Vec<Name>,
    terms: Terms,
    recovery: Recovery,
    jobs: Jobs,
    /// Records of jobs whose own record has not been read.
    early_records: EarlyRecords,
    scheduler: Scheduler,
    /// Share and allowance of each team.
    teams: Table<Name, (u32, Resources)>,
    last_sequence: u64,
    last_token: u64,
    pending_appends: Table<u64, PendingAppend>,
    /// Tasks to retry, sorted by the time at which they are due.
    backoff: Vec<(Time, TaskId)>,
    /// Tasks that use more than their allocation, with the end of their throttling time.
    throttled: Vec<(Time, TaskId)>,
    /// Jobs that wait for another job to end.
    dependents: Vec<JobId>,
    /// Jobs whose move to another zone has not been appended to the log.
    pending_moves: Vec<JobId>,
    /// The epoch of the latest recorded term of each zone.
    recorded_epochs: Table<Name, u64>,
    /// The offset of the next record; records before it are skipped.
    next_offset: u64,
    /// When this candidate last read the lease state of a few workers.
    last_probe: Time,
    /// Whether another run of the scheduler may lead to new decisions.
    needs_scheduling: bool,
    zone_state: ZoneState,
    may_start: bool,
    log_available: bool,
    commands: Vec<Command>,
}

impl Coordinator {
    /// Creates a candidate for the coordination of `zone`. `seed` determines all random choices.
    #[must_use]
    pub fn new(settings: Settings, incarnation: Incarnation, zone: Name, seed: u64) -> Self {
        Self {
            holder: incarnation,
            zone,
            rng: SmallRng::seed_from_u64(seed),
            seed,
            rank: None,
            members: Table::default(),
            lost_workers: Vec::new(),
            terms: Terms::default(),
            recovery: Recovery::default(),
            jobs: Jobs::default(),
            early_records: EarlyRecords::default(),
            scheduler: Scheduler::new(crate::schedule::Settings::default(), seed),
            teams: Table::default(),
            last_sequence: 0,
            last_token: 0,
            pending_appends: Table::default(),
            backoff: Vec::new(),
            throttled: Vec::new(),
            dependents: Vec::new(),
            pending_moves: Vec::new(),
            recorded_epochs: Table::default(),
            next_offset: 0,
            last_probe: Time(0),
            needs_scheduling: true,
            zone_state: ZoneState::In,
            may_start: false,
            log_available: false,
            commands: Vec::new(),
            settings,
        }
    }

    /// Handles one event and returns the resulting commands. `now` is a reading of the local
    /// monotonic clock.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Command> {
        let replied = match &event {
            Event::Reply { worker, .. } => Some(worker.clone()),
            _ => None,
        };
        match event {
            Event::Tick => self.needs_scheduling = true,
            Event::Workers(list) => self.set_workers(&list),
            Event::Rank(rank) => self.rank = rank,
            Event::Reply {
                worker,
                sent,
                reply,
            } => self.on_reply(now, &worker, sent, &reply),
            Event::Unreachable { worker, sent } => {
                if let Some(member) = self.members.get_mut(&worker) {
                    member.on_timeout(sent);
                }
            }
            Event::Accepted {
                job,
                spec,
                durable,
                exclusive,
            } => self.on_accepted(now, job, spec, durable, exclusive),
            Event::Cancel { job } => self.on_cancel(now, job),
            Event::Move { job, zone } => self.on_move(now, job, zone),
            Event::Record { offset, record } => self.on_record(now, offset, &record),
            Event::LogEnd { .. } => self.log_available = true,
            Event::LogDown => self.log_available = false,
            Event::Appended { token } => self.on_appended(now, token),
            Event::Team {
                team,
                share,
                allowance,
            } => {
                self.teams.insert(team, (share, allowance));
                self.recovery.teams_changed = true;
            }
            Event::ZoneState(state) => self.zone_state = state,
            Event::MayStart(may_start) => self.may_start = may_start,
            Event::WorkerLost(worker) => self.on_worker_lost(now, &worker),
            Event::Stop => self.stop(now),
        }
        self.advance(now, replied.as_ref());
        std::mem::take(&mut self.commands)
    }

    fn set_workers(&mut self, list: &[Instance]) {
        for (_, member) in self.members.iter_mut() {
            member.listed = false;
        }
        let workers = list
            .iter()
            .filter(|i| i.role == Role::Worker && i.zone == self.zone);
        for instance in workers {
            let member = self
                .members
                .or_insert(instance.name.clone(), Member::default());
            member.listed = true;
            member.leaving = instance.state == Liveness::Leaving;
            member.rack = instance.rack.clone();
            if member.run == 0 {
                member.total = instance.resources;
            }
        }
    }

    fn on_worker_lost(&mut self, now: Time, worker: &Name) {
        if !self.lost_workers.contains(worker) {
            self.lost_workers.push(worker.clone());
        }
        self.mark_tasks_lost(now, worker);
    }

    /// Issues an append and stores its purpose under a new token.
    fn append(&mut self, pending: PendingAppend, body: Body) {
        self.last_token += 1;
        self.pending_appends.insert(self.last_token, pending);
        self.commands.push(Command::Append {
            token: self.last_token,
            body,
        });
    }
}
