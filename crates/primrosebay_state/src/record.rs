//! Records of the log streams.

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::config::{Change, ConfigSnapshotPart};
use crate::id::{Incarnation, JobId, RecordId, TaskId};
use crate::job::JobSpec;

/// How a task or job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The work ran to its end.
    Done,
    /// The work failed for good.
    Failed,
    /// The work was cancelled.
    Cancelled,
    /// The work may have run and is not run again.
    Unknown,
}

/// An entry of a log stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Identifies the record; a second record with the same identifier has no effect.
    pub id: RecordId,
    /// What is recorded.
    pub body: Body,
}

/// What a record says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// Configuration was changed.
    Config(Change),
    /// A job was accepted with a home zone.
    Accepted {
        /// The job.
        job: JobId,
        /// The home zone.
        zone: Name,
        /// What the caller submitted.
        spec: JobSpec,
    },
    /// A task that may run at most once is about to start.
    Starting {
        /// The task.
        task: TaskId,
    },
    /// A task ended.
    Finished {
        /// The task.
        task: TaskId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A caller or operator cancelled a job.
    Cancelled {
        /// The job.
        job: JobId,
    },
    /// The home zone gave a job to another zone.
    Moved {
        /// The job.
        job: JobId,
        /// The zone that gives the job.
        from: Name,
        /// The epoch under which it gives the job; the record is void if a later term of the zone
        /// is recorded before it.
        epoch: u64,
        /// The new home zone.
        zone: Name,
        /// The tasks that have ended, by index. The others do not run, and what may run once has
        /// not run.
        #[serde(default)]
        ended: Vec<(u32, Outcome)>,
    },
    /// A coordinator took a zone over. Records that its predecessors append later are void.
    Opened {
        /// The zone.
        zone: Name,
        /// The epoch of the new coordinator's first term.
        epoch: u64,
        /// The new coordinator.
        holder: Incarnation,
    },
    /// A zone gave a part of its allowance to another zone.
    Allowance {
        /// The team.
        team: Name,
        /// The zone that gives.
        from: Name,
        /// The zone that receives.
        to: Name,
        /// The amount.
        amount: crate::resources::Resources,
        /// The giver's term; records of an earlier term than the giver's latest have no effect.
        #[serde(default)]
        epoch: u64,
    },
    /// A piece of a snapshot of the configuration.
    ConfigSnapshot(ConfigSnapshotPart),
    /// A part of a snapshot of jobs, published before retention drops the records that it stands
    /// for.
    Snapshot(JobSnapshotPart),
}

/// A part of a snapshot of a zone's live jobs. Each part is complete in itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSnapshotPart {
    /// The zone.
    pub zone: Name,
    /// The contents.
    pub items: Vec<SnapshotItem>,
}

/// One thing that a snapshot keeps.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SnapshotItem {
    /// The latest recorded term of a zone.
    Opened {
        /// The zone.
        zone: Name,
        /// The epoch.
        epoch: u64,
    },
    /// A job that has not ended.
    Job {
        /// The job.
        job: JobId,
        /// The home zone.
        zone: Name,
        /// What the caller submitted.
        spec: Box<JobSpec>,
        /// The tasks that ended, by index.
        ended: Vec<(u32, Outcome)>,
        /// The tasks with a `Starting` record that have not ended, by index.
        starting: Vec<u32>,
        /// Whether the job was cancelled.
        cancelled: bool,
    },
}
