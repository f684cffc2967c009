//! Messages between the coordinator of a zone and a worker.

use serde::{Deserialize, Serialize};

use primrosebay_state::Name;
use primrosebay_state::id::{AttemptId, Incarnation};
use primrosebay_state::job::Repeat;
use primrosebay_state::record::Outcome;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::WorkerTime;

/// One period in which a coordinator controls a zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Term {
    /// The number of the term, which increases with every term of the zone.
    pub epoch: u64,
    /// The process that coordinates the zone in this term.
    pub holder: Incarnation,
    /// The names, in ascending order, of the workers whose leases the coordinator held when the
    /// term opened.
    pub voters: Vec<Name>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Starts an attempt; has no effect if the worker already knows the attempt.
    Start(Start),
    /// Stops an attempt; has no effect unless the attempt runs.
    Stop {
        /// The attempt to stop.
        attempt: AttemptId,
        /// Whether to write a checkpoint first.
        checkpoint: bool,
    },
    /// Limits an attempt to the resources that its job declared.
    Throttle {
        /// The attempt to limit.
        attempt: AttemptId,
    },
}

/// A command to start an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The attempt to start.
    pub attempt: AttemptId,
    /// The resources that the attempt is allocated.
    pub resources: Resources,
    /// Whether the task may be run again after a failure.
    pub repeat: Repeat,
    /// Declared run time in milliseconds; 0 if it runs until it is stopped.
    pub run_ms: u64,
    /// The team whose usage includes the task.
    pub team: Name,
    /// The W3C trace context of the submission; empty if there is none.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub trace: Name,
}

/// A request from a coordinator, or from a candidate that claims the lease of the worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The term of the sender. Its voters are empty until the term has opened, and again once the
    /// sender knows that the worker has stored them.
    pub term: Term,
    /// The run of the worker's process that the request is meant for; 0 for a first claim. A worker
    /// that has restarted cannot interpret times of the clock of an earlier run.
    pub run: u64,
    /// Increases with every request of the sender; a request that arrives after a later one has no
    /// effect.
    pub sequence: u64,
    /// The time on the worker's clock after which the request has no effect; `None` for a first
    /// claim, which carries no commands.
    pub deadline: Option<WorkerTime>,
    /// The duration of the control lease, in milliseconds from the arrival of the request; 0 to
    /// read the state of the worker without claiming the lease.
    pub lease_ms: u64,
    /// The time on the worker's clock at which running attempts are stopped, unless a later request
    /// extends it.
    pub tasks_until: WorkerTime,
    /// The sequence number of the latest report that has been handled; the worker drops ended
    /// attempts up to this report.
    pub acknowledged: u64,
    /// The commands, in the order in which they are executed.
    pub commands: Vec<Command>,
    /// Whether the sender releases the lease.
    pub release: bool,
}

/// The state of an attempt on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptState {
    /// The attempt runs.
    Running,
    /// The attempt ran and succeeded.
    Done,
    /// The attempt ran and failed.
    Failed,
    /// The attempt was stopped, by a command or because its renewal expired.
    Stopped,
    /// The worker refused to start the attempt; it did not run.
    Refused,
}

impl AttemptState {
    /// Returns the outcome of an attempt that ran to its end; `None` in all other states.
    #[must_use]
    pub fn outcome(self) -> Option<Outcome> {
        match self {
            Self::Done => Some(Outcome::Done),
            Self::Failed => Some(Outcome::Failed),
            Self::Running | Self::Stopped | Self::Refused => None,
        }
    }
}

/// The state of one attempt, reported when it changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The sequence number of the report, increasing on each worker.
    pub sequence: u64,
    /// The attempt that the report is about.
    pub attempt: AttemptId,
    /// The state of the attempt.
    pub state: AttemptState,
    /// The resources that the attempt was allocated.
    pub resources: Resources,
    /// The resources that the attempt uses, measured with a delay.
    pub usage: Resources,
    /// The team whose usage includes the attempt.
    pub team: Name,
}

/// The reply of a worker to a [`Request`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The time on the worker's clock when the reply was sent.
    pub clock: WorkerTime,
    /// The run of the worker's process; never 0.
    pub run: u64,
    /// The sequence number of the request that this reply answers.
    pub sequence: u64,
    /// Whether the request took effect: the lease was granted or renewed, and the commands were
    /// executed.
    pub granted: bool,
    /// The latest term to which the worker granted its lease.
    pub term: Option<Term>,
    /// The latest term with voters that the worker has received; `None` if there is none or the
    /// sender knows that the worker has stored it.
    pub opened: Option<Term>,
    /// Milliseconds until the lease of another holder expires; 0 if the request was granted.
    pub held_ms: u64,
    /// Milliseconds for which the lease has been free; 0 while it is held.
    pub free_ms: u64,
    /// The total resources of the worker.
    pub resources: Resources,
    /// The reports after the acknowledged one, in ascending order of sequence; the reports of all
    /// attempts after a claim. Empty if the request was not granted.
    pub reports: Vec<Report>,
}
