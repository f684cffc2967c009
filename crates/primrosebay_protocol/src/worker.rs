//! The exchange between the coordinator of a zone and a worker.

use serde::{Deserialize, Serialize};

use primrosebay_state::Name;
use primrosebay_state::id::{AttemptId, Incarnation};
use primrosebay_state::job::Repeat;
use primrosebay_state::record::Outcome;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::WorkerTime;

/// One period of a coordinator's authority over a zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Term {
    /// Increases with every term of the zone.
    pub epoch: u64,
    /// The coordinator.
    pub holder: Incarnation,
    /// The workers that the coordinator held when the term opened, by name.
    pub voters: Vec<Name>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Starts an attempt.
    Start(Start),
    /// Stops an attempt, with a checkpoint if asked for.
    Stop {
        /// The attempt.
        attempt: AttemptId,
        /// Whether to save its progress first.
        checkpoint: bool,
    },
    /// Limits an attempt to the resources that it declared.
    Throttle {
        /// The attempt.
        attempt: AttemptId,
    },
}

/// What a worker needs to start an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The attempt.
    pub attempt: AttemptId,
    /// What the attempt is given.
    pub resources: Resources,
    /// Whether the task may run again.
    pub repeat: Repeat,
    /// Declared run time in milliseconds; 0 if it runs until it is stopped.
    pub run_ms: u64,
    /// The team that the task counts for.
    pub team: Name,
    /// The W3C trace context of the submission; empty if there is none.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub trace: Name,
}

/// A request of a coordinator, or of a candidate that claims the worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The term under which the request is made; without voters until the term has opened.
    pub term: Term,
    /// The worker's run that the request is meant for; 0 for a first claim. Times of the worker's
    /// clock mean nothing to a worker that has restarted.
    pub run: u64,
    /// Increases with every request of the sender; a request that arrives after a later one is void.
    pub sequence: u64,
    /// The request is void after this time on the worker's clock; nothing for a first claim, which
    /// carries no commands.
    pub deadline: Option<WorkerTime>,
    /// How long the control lease is to last, in milliseconds from the arrival; 0 to read the state
    /// of the worker without a claim.
    pub lease_ms: u64,
    /// Running attempts are stopped at this time on the worker's clock unless it is moved on.
    pub tasks_until: WorkerTime,
    /// The highest report that has been handled; the worker forgets ended attempts up to it.
    pub acknowledged: u64,
    /// What to do, in order.
    pub commands: Vec<Command>,
    /// Whether the lease is given back.
    pub release: bool,
}

/// The state of an attempt on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptState {
    /// The attempt runs.
    Running,
    /// The attempt ran to its end.
    Done,
    /// The attempt failed.
    Failed,
    /// The attempt was stopped.
    Stopped,
    /// The worker refused to start the attempt; it did not run.
    Refused,
}

impl AttemptState {
    /// Returns the outcome of an attempt that has ended by itself.
    #[must_use]
    pub fn outcome(self) -> Option<Outcome> {
        match self {
            Self::Done => Some(Outcome::Done),
            Self::Failed => Some(Outcome::Failed),
            Self::Running | Self::Stopped | Self::Refused => None,
        }
    }
}

/// A change of one attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Number of the report, increasing on each worker.
    pub sequence: u64,
    /// The attempt.
    pub attempt: AttemptId,
    /// Its state.
    pub state: AttemptState,
    /// What it was given.
    pub resources: Resources,
    /// What it uses, with a lag.
    pub usage: Resources,
    /// The team that it counts for.
    pub team: Name,
}

/// The answer of a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The worker's clock when it answered.
    pub clock: WorkerTime,
    /// Identifies the run of the worker's process; never 0.
    pub run: u64,
    /// The number of the request that is answered.
    pub sequence: u64,
    /// Whether the request took effect: the lease was granted or renewed and the commands done.
    pub granted: bool,
    /// The latest term that the worker granted.
    pub term: Option<Term>,
    /// The latest term with voters that the worker was told of.
    pub opened: Option<Term>,
    /// Remaining milliseconds of the lease that another holder has.
    pub held_ms: u64,
    /// Milliseconds for which nobody has held the lease; 0 while it is held.
    pub free_ms: u64,
    /// What the worker holds in total.
    pub resources: Resources,
    /// Reports after the acknowledged one, by sequence; complete after a claim.
    pub reports: Vec<Report>,
}
