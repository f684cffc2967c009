//! What the leader asks for and what it is told.

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use crate::job::{StepKey, TaskKey};
use crate::record::Record;

/// A start of one run of a task on a minion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// The minion.
    pub minion: Name,
    /// Where it is reached.
    pub address: Name,
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// What the minion is to run.
    pub payload: Name,
    /// The lease's end on the minion's clock, in milliseconds.
    pub until: u64,
    /// The ticket of the advice service, if the queue has one.
    pub ticket: Option<Name>,
    /// The checkpoint to go on from; empty for none.
    pub checkpoint: Name,
}

/// Something that the leader wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Start a run.
    Start(Start),
    /// Stop a run.
    Stop {
        /// The minion.
        minion: Name,
        /// Where it is reached.
        address: Name,
        /// The task.
        task: TaskKey,
        /// The number of the run.
        run: u32,
    },
    /// Renew the lease of a minion and read what runs and what has ended there.
    Hold {
        /// The minion.
        minion: Name,
        /// Where it is reached.
        address: Name,
        /// The lease's end on the minion's clock; none if the clock is not known yet.
        until: Option<u64>,
        /// The last end that is durable.
        acked: u64,
        /// How long the minion may wait for an end, in milliseconds.
        wait_ms: u64,
    },
    /// Ask the advice service which minions may run a step.
    AskAdvice {
        /// The instance that is to ask.
        node: Name,
        /// The step.
        step: StepKey,
        /// The minions in question.
        minions: Vec<Name>,
        /// How long the answer may take, in milliseconds.
        timeout_ms: u64,
    },
}

/// Records that have to be appended together before the leader goes on with what they say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The number of the batch in the term.
    pub id: u64,
    /// The records.
    pub records: Vec<Record>,
    /// Keys whose records are to be removed.
    pub removed: Vec<String>,
}

/// What a minion answered to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run has started or was already there.
    Started,
    /// The minion has done nothing.
    Refused(Refusal),
    /// There was no answer; the start may still be carried out.
    Unknown,
}

/// Why a minion has done nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Another leader has a higher term.
    Fenced,
    /// The run is not higher than one that was stopped or ended there.
    Old,
    /// The lease's end has passed.
    Late,
    /// The minion has no room.
    Room,
    /// The ticket is not valid.
    Ticket,
    /// Another incarnation than the one meant answered.
    Incarnation,
    /// The minion is not healthy or the order was not understood.
    Unhealthy,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The task is done.
    Done,
    /// The run failed.
    Failed,
    /// The run ended without a result of its own: stopped, its lease lapsed, or its gang broke.
    Lost,
}

/// A run that a minion lists as running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveRun {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// The last checkpoint; empty for none.
    pub checkpoint: Name,
}

/// A run that a minion lists as ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// The number of the end on this incarnation of the minion.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// How it ended.
    pub end: End,
    /// The last checkpoint; empty for none.
    pub checkpoint: Name,
}

/// What a minion answered to a hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HoldReport {
    /// The minion's clock, in milliseconds.
    pub clock_ms: u64,
    /// When this incarnation of the minion started, in Unix milliseconds; 0 if it does not say.
    pub started_ms: u64,
    /// What runs.
    pub running: Vec<ActiveRun>,
    /// What has ended and is not yet acknowledged.
    pub ended: Vec<EndedRun>,
}

/// What came of a hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HoldAnswer {
    /// The minion answered.
    Held(HoldReport),
    /// Another leader has a higher term.
    Fenced,
    /// Another incarnation than the one meant answered.
    Incarnation,
    /// There was no usable answer.
    Failed,
}

/// What the advice service answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Advice {
    /// The minions that may run the step with their tickets.
    pub allowed: Vec<(Name, Name)>,
    /// How long the tickets are valid, in milliseconds.
    pub valid_ms: u64,
}

/// A minion as the directory lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// The minion.
    pub name: Name,
    /// Where it is reached.
    pub address: Name,
    /// The service that it belongs to.
    pub service: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Its kind and its rack.
    pub labels: Vec<Name>,
    /// What it holds.
    pub capacity: Resources,
    /// How much longer it serves at least, in milliseconds, if it is leaving.
    pub drain_ms: Option<u64>,
    /// When this incarnation started, in Unix milliseconds; 0 if it does not say.
    pub started_ms: u64,
}

/// A change of the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DirectoryChange {
    /// A minion is listed.
    Listed(DirectoryEntry),
    /// A minion is no longer listed.
    Removed(Name),
}

/// Local times of a decision.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// The local steady clock, which counts time in suspension.
    pub time: Time,
    /// Unix milliseconds.
    pub wall_ms: u64,
}
