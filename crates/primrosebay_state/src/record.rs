//! Records of the log streams `config`, `jobs` and `tasks-<zone>`.

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::config::{Change, ConfigSnapshotPart};
use crate::id::{Incarnation, JobId, RecordId, TaskId};
use crate::job::JobSpec;

/// How a task or job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The work ran and succeeded.
    Done,
    /// The work failed and is not retried.
    Failed,
    /// The work was cancelled.
    Cancelled,
    /// The work may have run; it is not retried.
    Unknown,
}

/// An entry of a log stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The identifier; a second record with the same identifier has no effect.
    pub id: RecordId,
    /// The event or the part of a snapshot that the record stores.
    pub body: Body,
}

/// The contents of a record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// A resource of the configuration was written or deleted.
    Config(Change),
    /// A job was accepted and assigned to a home zone.
    Accepted {
        /// The identifier of the accepted job.
        job: JobId,
        /// The home zone, whose coordinator schedules the job.
        zone: Name,
        /// The job as the caller submitted it.
        spec: JobSpec,
    },
    /// A task that may run at most once is about to be started.
    Starting {
        /// The task that is about to be started.
        task: TaskId,
    },
    /// A task ended.
    Finished {
        /// The task that ended.
        task: TaskId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A caller or operator cancelled a job.
    Cancelled {
        /// The job that was cancelled.
        job: JobId,
    },
    /// The home zone handed a job over to another zone.
    Moved {
        /// The job that was handed over.
        job: JobId,
        /// The previous home zone; the record has no effect if the job has another one.
        from: Name,
        /// The epoch of the coordinator of `from`; the record has no effect if a later term of
        /// `from` is recorded before it.
        epoch: u64,
        /// The new home zone.
        zone: Name,
        /// The tasks that have ended, by index. No other task is running, and no other task that
        /// may run at most once has run.
        #[serde(default)]
        ended: Vec<(u32, Outcome)>,
    },
    /// A coordinator took over a zone. Later records of earlier coordinators have no effect.
    Opened {
        /// The zone that was taken over.
        zone: Name,
        /// The epoch of the new coordinator's first term.
        epoch: u64,
        /// The process of the new coordinator.
        holder: Incarnation,
    },
    /// A zone transferred a part of its allowance to another zone, or fenced earlier transfers.
    Allowance {
        /// The team; empty in a fence.
        team: Name,
        /// The zone that gives the allowance away; in a fence, the fenced zone.
        from: Name,
        /// The receiving zone; equal to `from` in a fence.
        to: Name,
        /// The transferred resources; zero in a fence.
        amount: crate::resources::Resources,
        /// The epoch of the coordinator of `from`; a record with an epoch below the latest one of
        /// `from` has no effect.
        #[serde(default)]
        epoch: u64,
    },
    /// A part of a snapshot of the configuration.
    ConfigSnapshot(ConfigSnapshotPart),
    /// A part of a snapshot of jobs, published before the retention of the log drops the records
    /// that it replaces.
    Snapshot(JobSnapshotPart),
}

/// A part of a snapshot of the unfinished jobs of a zone and of the jobs that they wait for. Each
/// part can be applied without the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSnapshotPart {
    /// The home zone of the unfinished jobs.
    pub zone: Name,
    /// The terms and the jobs in this part.
    pub items: Vec<SnapshotItem>,
}

/// An item of a snapshot of jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SnapshotItem {
    /// The latest recorded term of a zone.
    Opened {
        /// The zone that the term belongs to.
        zone: Name,
        /// The epoch of the term.
        epoch: u64,
    },
    /// A job that has not ended, or an ended job that such a job waits for.
    Job {
        /// The identifier of the job.
        job: JobId,
        /// The home zone. That of a job that has not ended is the zone of the snapshot.
        zone: Name,
        /// The job as the caller submitted it.
        spec: Box<JobSpec>,
        /// The tasks that have ended, by index.
        ended: Vec<(u32, Outcome)>,
        /// The tasks with a `Starting` record that have not ended, by index.
        starting: Vec<u32>,
        /// Whether the job was cancelled.
        cancelled: bool,
    },
}
