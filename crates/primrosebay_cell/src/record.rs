//! Records of the cell's log.
//!
//! The log keeps the newest record of each key, so every record holds the whole state of its key
//! and a reader may miss older ones.

use std::sync::Arc;

use primrosebay_state::Name;
use serde::{Deserialize, Serialize};

use crate::job::{JobKey, JobSpec};

/// Version of the encoding, the first byte of each record.
const VERSION: u8 = 1;

/// A job that was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The queue.
    pub queue: Name,
    /// The account whose key came with the job; none on a public queue.
    pub account: Option<Name>,
    /// The job.
    pub spec: Arc<JobSpec>,
    /// When the job was accepted, in Unix milliseconds of the instance that took it.
    pub accepted_ms: u64,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All tasks are done.
    Completed,
    /// A task or a gang has failed as often as its queue allows.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// Where a task stands.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Placement {
    /// The task is to be started.
    #[default]
    Pending,
    /// The task's run was or may have been sent to this minion.
    Minion(Name),
    /// The task is done.
    Done,
}

/// The durable state of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// The number of the last run, 0 if there was none.
    pub run: u32,
    /// Where the task stands.
    #[serde(rename = "place")]
    pub placement: Placement,
    /// How many runs have failed. For a gang, its first task holds the count.
    pub failures: u32,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: Name,
}

/// The durable state of a job's tasks. Only the leader writes it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The term of the leader that wrote the record.
    pub epoch: u64,
    /// Whether a minion has begun a task of the job.
    pub begun: bool,
    /// How the job ended, if it has.
    pub outcome: Option<Outcome>,
    /// When the job ended, in Unix milliseconds; 0 if it has not.
    pub ended_ms: u64,
    /// The tasks of all occurrences and steps, in that order. Empty for a job that has ended.
    pub tasks: Vec<TaskProgress>,
}

/// A term of leadership, written again as a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The number of the term. Higher terms replace lower ones.
    pub epoch: u64,
    /// The instance that leads.
    pub node: Name,
    /// The number of the batch that this record ends. Whoever reads it knows that the batch is
    /// durable, also if the answer to its append was lost.
    pub batch: u64,
    /// Whether the leader has stopped and another may claim at once.
    pub resigned: bool,
}

/// An instance of the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where other instances reach it.
    pub address: Name,
    /// Its share of a processor, in thousandths of a core.
    pub cores_milli: u32,
    /// What other instances present to it. Only readers of the log know it.
    pub secret: Name,
}

/// A record of the cell's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A job was accepted.
    Submitted(JobKey, Submission),
    /// A caller cancelled a job.
    Cancelled(JobKey),
    /// The tasks of a job have changed.
    Progress(JobKey, Progress),
    /// An instance leads.
    Leader(Claim),
    /// An instance is there.
    Member(Name, Member),
}

/// A record that cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// Another version of the program wrote it.
    #[error("the record has version {0}, expected {VERSION}")]
    Version(u8),
    /// The bytes do not form a record.
    #[error("the record cannot be decoded: {0}")]
    Malformed(#[from] postcard::Error),
    /// There are no bytes.
    #[error("the record is empty")]
    Empty,
}

impl Record {
    /// Returns the key under which the log keeps the newest record.
    #[must_use]
    pub fn key(&self) -> String {
        match self {
            Self::Submitted(job, _) => format!("j{job}"),
            Self::Cancelled(job) => format!("c{job}"),
            Self::Progress(job, _) => format!("p{job}"),
            Self::Leader(_) => "leader".into(),
            Self::Member(name, _) => format!("m{name}"),
        }
    }

    /// Encodes the record.
    ///
    /// # Errors
    /// Returns an error if the record cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        Ok(postcard::to_extend(self, vec![VERSION])?)
    }

    /// Decodes a record.
    ///
    /// # Errors
    /// Returns why the bytes are not a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        match bytes.split_first() {
            None => Err(RecordError::Empty),
            Some((&VERSION, rest)) => Ok(postcard::from_bytes(rest)?),
            Some((other, _)) => Err(RecordError::Version(*other)),
        }
    }
}
