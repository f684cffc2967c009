//! The coordinator of one zone: takes timestamped events and returns commands.

mod advance;
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

use self::jobs::Jobs;
use self::member::Member;
use self::recovery::Recovery;
use self::term::Terms;
use crate::schedule::Scheduler;
use primrosebay_state::table::Table;

/// Something that happened outside of the coordinator.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passed. Comes at least every 100 ms.
    Tick,
    /// The live list was read.
    Workers(Vec<Instance>),
    /// The rank of this instance among the candidates for the zone, from 0; nothing if it is none.
    Rank(Option<u32>),
    /// A worker answered.
    Reply {
        /// The worker.
        worker: Name,
        /// When the request was sent.
        sent: Time,
        /// The answer.
        reply: Reply,
    },
    /// A request got no answer.
    Unreachable {
        /// The worker.
        worker: Name,
        /// When the request was sent.
        sent: Time,
    },
    /// A job was accepted with this zone as its home.
    Accepted {
        /// The job.
        job: JobId,
        /// What the caller submitted.
        spec: JobSpec,
        /// Whether the record is in the log; it is held by peers otherwise.
        durable: bool,
        /// Whether this coordinator accepted it in one tenure (see [`Authority::tenure`]), so that
        /// no other one can have started it.
        exclusive: bool,
    },
    /// A caller or operator cancels a job.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// A job is to be given to another zone.
    Move {
        /// The job.
        job: JobId,
        /// The new home zone.
        zone: Name,
    },
    /// A record of the stream `jobs` was read. Records come in the order of their offsets.
    Record {
        /// The offset.
        offset: u64,
        /// The record.
        record: Record,
    },
    /// All records before the end of the log have been read.
    LogEnd {
        /// The offset of the end.
        offset: u64,
    },
    /// The log cannot be read or appended to.
    LogDown,
    /// The append that `Command::Append` asked for took effect.
    Appended {
        /// The token of the command.
        token: u64,
    },
    /// The settings of a team changed.
    Team {
        /// The team.
        team: Name,
        /// Its weight.
        share: u32,
        /// The most that it may have running in this zone.
        allowance: Resources,
    },
    /// Operators took the zone out of service or in again.
    ZoneState(ZoneState),
    /// Whether the configuration is fresh enough to start tasks.
    MayStart(bool),
    /// An operator asserts that a worker has been switched off.
    WorkerLost(Name),
    /// The instance is about to stop.
    Stop,
}

/// Something that the coordinator asks for.
#[derive(Debug, Clone)]
pub enum Command {
    /// Sends a request to a worker, once.
    Send {
        /// The worker.
        worker: Name,
        /// The request.
        request: Request,
    },
    /// Appends to the stream `jobs`, with as many tries as it takes, and reports
    /// `Event::Appended`.
    Append {
        /// Identifies the append towards the coordinator.
        token: u64,
        /// What to record.
        body: Body,
    },
    /// All leases have been given back, so the process may exit.
    Stopped,
}

/// What the answer to an append stands for.
#[derive(Debug, Clone, PartialEq)]
enum Pending {
    Finished(TaskId),
    Starting(TaskId),
    Cancelled(JobId),
    Moved,
    Opened,
}

/// The state of one candidate for the coordination of a zone, or of its coordinator.
#[derive(Debug)]
pub struct Coordinator {
    settings: Settings,
    holder: Incarnation,
    zone: Name,
    rng: SmallRng,
    seed: u64,
    rank: Option<u32>,
    members: Table<Name, Member>,
    lost: Vec<Name>,
    terms: Terms,
    recovery: Recovery,
    jobs: Jobs,
    scheduler: Scheduler,
    teams: Table<Name, (u32, Resources)>,
    sequence: u64,
    token: u64,
    appends: Table<u64, Pending>,
    backoff: Vec<(Time, TaskId)>,
    /// Tasks that use more than they were given, with the time until which they are throttled.
    throttled: Vec<(Time, TaskId)>,
    /// Jobs that wait for another job to end.
    dependents: Vec<JobId>,
    /// Jobs that are being given to another zone.
    moves: Vec<JobId>,
    /// The latest recorded term of each zone.
    opened: Table<Name, u64>,
    next_offset: u64,
    probed: Time,
    /// Whether the scheduler may decide differently from its last run.
    changed: bool,
    zone_state: ZoneState,
    may_start: bool,
    log_up: bool,
    out: Vec<Command>,
}

impl Coordinator {
    /// Creates a candidate for the coordination of `zone` that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, incarnation: Incarnation, zone: Name, seed: u64) -> Self {
        Self {
            holder: incarnation,
            zone,
            rng: SmallRng::seed_from_u64(seed),
            seed,
            rank: None,
            members: Table::default(),
            lost: Vec::new(),
            terms: Terms::default(),
            recovery: Recovery::default(),
            jobs: Jobs::default(),
            scheduler: Scheduler::new(crate::schedule::Settings::default(), seed),
            teams: Table::default(),
            sequence: 0,
            token: 0,
            appends: Table::default(),
            backoff: Vec::new(),
            throttled: Vec::new(),
            dependents: Vec::new(),
            moves: Vec::new(),
            opened: Table::default(),
            next_offset: 0,
            probed: Time(0),
            changed: true,
            zone_state: ZoneState::In,
            may_start: false,
            log_up: false,
            out: Vec::new(),
            settings,
        }
    }

    /// Handles one event. `now` is the local monotonic clock and never goes back.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Command> {
        let answered = match &event {
            Event::Reply { worker, .. } => Some(worker.clone()),
            _ => None,
        };
        match event {
            Event::Tick => self.changed = true,
            Event::Workers(list) => self.set_workers(&list),
            Event::Rank(rank) => self.rank = rank,
            Event::Reply {
                worker,
                sent,
                reply,
            } => self.on_reply(now, &worker, sent, &reply),
            Event::Unreachable { worker, sent } => {
                if let Some(member) = self.members.get_mut(&worker) {
                    member.unanswered(sent);
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
            Event::LogEnd { .. } => self.log_up = true,
            Event::LogDown => self.log_up = false,
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
            Event::WorkerLost(worker) => self.on_lost(now, &worker),
            Event::Stop => self.stop(now),
        }
        self.advance(now, answered.as_ref());
        std::mem::take(&mut self.out)
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

    fn on_lost(&mut self, now: Time, worker: &Name) {
        if !self.lost.contains(worker) {
            self.lost.push(worker.clone());
        }
        self.lose_tasks(now, worker);
    }

    /// Asks for an append and notes what its answer stands for.
    fn append(&mut self, pending: Pending, body: Body) {
        self.token += 1;
        self.appends.insert(self.token, pending);
        self.out.push(Command::Append {
            token: self.token,
            body,
        });
    }
}
