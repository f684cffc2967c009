//! Commands of the leader and the events that it receives.

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;
use serde::{Deserialize, Serialize};

use crate::fencing::FencingToken;
use crate::job::{StepKey, TaskKey};
use crate::record::{LeaseWaits, Record};

/// Command to start a run of a task on a minion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Name of the minion.
    pub minion: Name,
    /// Address of the minion.
    pub address: Name,
    /// Token below which the minion refuses commands from then on.
    pub token: FencingToken,
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Description of the work.
    pub payload: Name,
    /// End of the run's first lease on the minion's clock, in milliseconds. The minion refuses a
    /// start that arrives later.
    pub until_ms: u64,
    /// Ticket of the advice service; none if the queue needs no advice.
    pub ticket: Option<Name>,
    /// Checkpoint from which to resume; empty for none.
    pub checkpoint: Name,
}

/// A command that the caller of the leader has to carry out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Starts a run. The record of the run is durable by then.
    Start(Start),
    /// Stops a run, also one whose start may not have arrived.
    Stop {
        /// Name of the minion.
        minion: Name,
        /// Address of the minion.
        address: Name,
        /// Token below which the minion refuses commands from then on.
        token: FencingToken,
        /// Task of the run.
        task: TaskKey,
        /// Number of the run.
        run: u32,
    },
    /// Renews the lease of a minion and reads its running and ended runs.
    Hold {
        /// Name of the minion.
        minion: Name,
        /// Address of the minion.
        address: Name,
        /// Token below which the minion refuses commands from then on.
        token: FencingToken,
        /// Expiry of the lease on the minion's clock, in milliseconds; none to leave the lease as
        /// it is.
        until_ms: Option<u64>,
        /// Sequence number of the last ended run whose effect is durable. The minion may forget
        /// ended runs up to this number. 0 if the minion knows the number or may have restarted.
        acked: u64,
        /// Maximum time to wait for a run to end before answering, in milliseconds.
        wait_ms: u64,
    },
    /// Asks the advice service which minions may run a step.
    AskAdvice {
        /// Instance that makes the call.
        node: Name,
        /// Step to place.
        step: StepKey,
        /// Minions to ask about.
        minions: Vec<Name>,
        /// Timeout of the call, in milliseconds.
        timeout_ms: u64,
    },
}

/// Log changes that become durable as one batch, possibly in several appends. Actions that depend
/// on them wait until the whole batch is durable.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// Number of the batch in the leadership term, from 1.
    pub id: u64,
    /// Records to append.
    pub records: Vec<Record>,
    /// Keys to remove from the log.
    pub removed: Vec<String>,
    /// Lease waits for the claim that ends the batch.
    pub waits: LeaseWaits,
}

/// Answer to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartAnswer {
    /// The run has started or was already running. Holds the time on the minion's clock, in
    /// milliseconds; none if the answer did not tell it.
    Started(Option<u64>),
    /// The minion has refused the start and does not run it.
    Refused(Refusal),
    /// The start has no answer; the minion may still carry it out.
    Unknown,
}

/// Reason why a minion refused a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The minion has seen a command with a higher token.
    Fenced,
    /// The run number is not higher than that of a run that was stopped or ended on the minion.
    Old,
    /// The start arrived after its [`until_ms`](Start::until_ms).
    Late,
    /// The minion lacks free resources.
    Room,
    /// The minion does not accept the ticket of the advice service.
    Ticket,
    /// A different incarnation of the minion answered.
    Incarnation,
    /// The minion is unhealthy, cannot be reached or cannot parse the command.
    Unhealthy,
}

/// Result of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The run succeeded. Only a task that runs until its job is cancelled is started again.
    Done,
    /// The run failed, which counts toward the attempts that the queue allows.
    Failed,
    /// The run ended without a result: it was stopped, its lease expired or its gang lost a task.
    Lost,
}

/// A run in progress, as reported by a minion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveRun {
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Latest checkpoint; empty for none.
    pub checkpoint: Name,
}

/// An ended run, as reported by a minion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Sequence number of the ended run on this incarnation of the minion.
    pub sequence: u64,
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Result of the run.
    pub end: End,
    /// Latest checkpoint; empty for none.
    pub checkpoint: Name,
}

/// State of a minion, reported in answer to a hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldReport {
    /// Time on the minion's clock, in milliseconds.
    pub clock_ms: u64,
    /// Start time of this incarnation of the minion, in Unix milliseconds; 0 if unknown.
    pub started_ms: u64,
    /// Runs in progress, including those that earlier leaders started.
    pub running: Vec<ActiveRun>,
    /// Ended runs that are not acknowledged yet, by ascending sequence number.
    pub ended: Vec<EndedRun>,
}

/// Result of a hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HoldAnswer {
    /// The minion accepted the hold and reported its state.
    Held(HoldReport),
    /// The minion has seen a command with a higher token.
    Fenced,
    /// A different incarnation of the minion answered.
    Incarnation,
    /// The minion sent no valid answer, or refused the hold for another reason.
    Failed,
}

/// Answer of the advice service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Advice {
    /// Minions that may run the step, each with its ticket.
    pub allowed: Vec<(Name, Name)>,
    /// Validity of the tickets, in milliseconds.
    pub valid_ms: u64,
}

/// Directory entry of a minion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// Name of the minion.
    pub name: Name,
    /// Address of the minion.
    pub address: Name,
    /// Service to which the minion belongs.
    pub service: Name,
    /// Availability zone of the minion.
    pub zone: Name,
    /// Labels of the minion: its kind, then its rack.
    pub labels: Vec<Name>,
    /// Total resources of the minion.
    pub capacity: Resources,
    /// Minimum time until a draining minion shuts down, in milliseconds; none if the minion is not
    /// draining.
    pub drain_ms: Option<u64>,
    /// Start time of this incarnation of the minion, in Unix milliseconds; 0 if unknown.
    pub started_ms: u64,
}

/// A change in the minion directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DirectoryChange {
    /// A minion was added or its entry changed.
    Listed(DirectoryEntry),
    /// The minion with this name was removed. Its runs may still be in progress.
    Removed(Name),
    /// The entry under this name was replaced by one that names no minion to use.
    Unreadable(Name),
}

/// Time of an event on the local clocks.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// Monotonic clock, which also advances while the system is suspended.
    pub time: Time,
    /// Wall clock, in Unix milliseconds.
    pub wall_ms: u64,
}
