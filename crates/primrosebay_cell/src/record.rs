//! Records of the cell's log.
//!
//! The log is compacted: it keeps the newest record of each key. Every record therefore holds the
//! complete state of its key, and a reader may miss older records.

use std::sync::Arc;

use primrosebay_state::Name;
use serde::{Deserialize, Serialize};

use crate::config::Queue;
use crate::job::{JobKey, JobSpec, SpecError};

/// Highest term of a claim. Fencing tokens above 2^53 are not exact in JSON implementations that
/// store numbers as floating point; at 1,000 for each claim, claims never come near it.
pub const MAX_EPOCH: u64 = 1 << 53;

/// Highest weight or sum of squares of a [`SavedModel`], above those of any horizon in use.
const MAX_SUM: f32 = 1e6;

/// Highest logarithm of a time in milliseconds: that of the highest number of 64 bits.
const MAX_LN_MS: f32 = 45.0;

/// Version of the encoding, stored in the first byte of each record.
const VERSION: u8 = 1;

/// First byte of an encoded [`Record::Leader`] after the version.
const LEADER_VARIANT: u8 = 3;

/// First byte of an encoded [`Record::Member`] after the version.
const MEMBER_VARIANT: u8 = 4;

/// Encoding of the fields of a [`Claim`] that earlier builds did not write: no process, no address,
/// no known wait and no list of silent minions.
const CLAIM_DEFAULTS: [u8; 4] = [0; 4];

/// An accepted job, as its caller submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Queue to which the job was submitted.
    pub queue: Name,
    /// Account that owns the job's API key; none on a public queue.
    pub account: Option<Name>,
    /// Payload, steps and repetition of the job.
    pub spec: Arc<JobSpec>,
    /// Time of acceptance, in Unix milliseconds of the instance that accepted the job.
    pub accepted_ms: u64,
}

/// The queue and the account to which a job belongs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Queue to which the job is submitted.
    pub queue: Name,
    /// Account that owns the job's API key; none on a public queue.
    pub account: Option<Name>,
}

impl Submission {
    /// Returns the queue and the account to which the job belongs.
    #[must_use]
    pub fn owner(&self) -> Owner {
        Owner {
            queue: self.queue.clone(),
            account: self.account.clone(),
        }
    }

    /// Returns whether the job belongs to `owner`.
    #[must_use]
    pub fn is_of(&self, owner: &Owner) -> bool {
        self.queue == owner.queue && self.account == owner.account
    }
}

/// Final result of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All tasks are done.
    Completed,
    /// A task or gang has failed as many times as the queue allows.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// Assignment of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Placement {
    /// The task has to be started.
    #[default]
    Pending,
    /// The task's current run was or may have been sent to this minion.
    Minion(Name),
    /// The task is done and needs no further run.
    Done,
}

/// Durable state of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Number of the latest run; 0 if the task has never been placed.
    pub run: u32,
    /// Assignment of the task.
    #[serde(rename = "place")]
    pub placement: Placement,
    /// Number of failed runs. A gang is counted on its first task only.
    pub failures: u32,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: Name,
}

/// Durable state of a job and its tasks. Only the leader writes it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Epoch of the leader that wrote the record.
    pub epoch: u64,
    /// Whether a minion has started a task of the job.
    pub begun: bool,
    /// Final result; none while the job has not ended.
    pub outcome: Option<Outcome>,
    /// Time at which the job ended, in Unix milliseconds; 0 if it has not ended.
    pub ended_ms: u64,
    /// Tasks of all occurrences and steps, in that order. Empty once the job has ended and none of
    /// its tasks is on a minion.
    pub tasks: Vec<TaskProgress>,
}

/// The process of an instance. An instance that restarts is another process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// Random number drawn at the start of the process; 0 if unknown.
    pub id: u64,
    /// Address for calls from other instances.
    pub address: Name,
}

/// The time that a successor has to wait for leases, counted from the record that holds it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseWaits {
    /// Time until all leases of earlier terms have expired, in milliseconds; none if unknown.
    pub inherited_ms: Option<u64>,
    /// Minions that get no lease of this term before a later list without them is durable, each with
    /// the time until all leases there have expired, in milliseconds. Sorted by name. If there is
    /// none, the last list of the term is still in force.
    pub silent: Option<Vec<(Name, u64)>>,
}

/// A claim of leadership. The leader appends it again as a heartbeat.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Epoch of the leadership term. A higher epoch supersedes a lower one.
    pub epoch: u64,
    /// Name of the leading instance.
    pub node: Name,
    /// Number of the batch that this record ends. A reader of this record knows that the batch is
    /// durable, even if the reply to its append was lost.
    pub batch: u64,
    /// Whether the leader has resigned, so that another instance may claim leadership at once.
    pub resigned: bool,
    /// Process of the leading instance.
    pub process: Process,
    /// Leases that the leader has granted or inherited. The last field but one and this one are
    /// missing in records of earlier builds.
    pub waits: LeaseWaits,
}

/// An instance that can lead the cell and serve callers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Member {
    /// Address for calls from other instances.
    pub address: Name,
    /// CPU share of the instance, in thousandths of a core.
    pub cores_milli: u32,
    /// Secret that other instances present in calls. Only readers of the log know it.
    pub secret: Name,
    /// Availability zone of the instance; empty if it was announced by a build that does not tell
    /// it. The last field, so that records without it can be read.
    pub zone: Name,
}

/// What a leader has learned of the run times of a queue, see [`crate::leader::durations`]. Single
/// precision is far more than the evidence has, and keeps the record below 100 bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct SavedModel {
    /// Weight of the runs with an estimate, in steps.
    pub weight: f32,
    /// Mean of ln(estimate).
    pub mean_x: f32,
    /// Mean of ln(run time) of these runs.
    pub mean_y: f32,
    /// Weighted sum of the squared deviations of ln(estimate).
    pub squares_x: f32,
    /// Weighted sum of the squared deviations of ln(run time).
    pub squares_y: f32,
    /// Weighted sum of the products of both deviations.
    pub products: f32,
    /// Weight of all runs, in steps.
    pub all_weight: f32,
    /// Mean of ln(run time) of all runs.
    pub all_mean: f32,
    /// Weighted sum of their squared deviations.
    pub all_squares: f32,
    /// Weight of the runs that were compared with others of their step.
    pub pairs: f32,
    /// Weighted sum of the squared deviations from these others.
    pub within: f32,
}

impl SavedModel {
    /// Returns whether a leader can have learned this.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let sums = [
            self.weight,
            self.squares_x,
            self.squares_y,
            self.all_weight,
            self.all_squares,
            self.pairs,
            self.within,
        ];
        let means = [self.mean_x, self.mean_y, self.all_mean];
        sums.iter().all(|v| (0.0..=MAX_SUM).contains(v))
            && means.iter().all(|v| (0.0..=MAX_LN_MS).contains(v))
            && self.products.abs() <= MAX_SUM
    }
}

/// A record of the cell's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A job was accepted.
    Submitted(JobKey, Submission),
    /// A caller cancelled a job.
    Cancelled(JobKey),
    /// The state of a job or its tasks has changed.
    Progress(JobKey, Progress),
    /// An instance claims, renews or resigns leadership.
    Leader(Claim),
    /// An instance has announced itself.
    Member(Name, Member),
    /// The rules by which the accepted jobs of a queue are scheduled. They are kept after the queue
    /// has left the configuration.
    Queue(Queue),
    /// What the leader has learned of the run times of the queue with this name. Builds that do not
    /// know the variant cannot decode the record, and skip it.
    Durations(Name, SavedModel),
    /// A caller cancelled a job that was not in the log. Its submission may still be on its way, and
    /// the job is cancelled once it arrives if it belongs to the caller. Builds that do not know the
    /// variant skip the record.
    Withdrawn(JobKey, Owner),
}

/// Reason why a record cannot be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The record has another encoding version.
    #[error("record has encoding version {0}, expected {VERSION}")]
    Version(u8),
    /// The bytes are not a valid encoding.
    #[error("malformed record: {0}")]
    Malformed(#[from] postcard::Error),
    /// The record has no bytes.
    #[error("record is empty")]
    Empty,
    /// The record belongs under the key that this holds.
    #[error("record is not stored under its key {0}")]
    Key(String),
    /// No instance can have accepted the job.
    #[error("record holds an invalid job: {0}")]
    Job(#[from] SpecError),
    /// No instance can have claimed the term.
    #[error("record is of the term {0}, which is higher than {MAX_EPOCH}")]
    Epoch(u64),
    /// No leader can have learned the model.
    #[error("record holds a model of run times out of range")]
    Model,
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
            Self::Queue(queue) => format!("q{}", queue.name),
            Self::Durations(queue, _) => format!("d{queue}"),
            Self::Withdrawn(job, _) => format!("w{job}"),
        }
    }

    /// Returns the job that the record is about; none if it is about none.
    #[must_use]
    pub fn job(&self) -> Option<JobKey> {
        match self {
            Self::Submitted(job, _)
            | Self::Cancelled(job)
            | Self::Progress(job, _)
            | Self::Withdrawn(job, _) => Some(*job),
            Self::Leader(_) | Self::Member(..) | Self::Queue(_) | Self::Durations(..) => None,
        }
    }

    /// Encodes the record, with the encoding version in the first byte.
    ///
    /// # Errors
    /// Returns an error if the serializer fails.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        Ok(postcard::to_extend(self, vec![VERSION])?)
    }

    /// Decodes a record that [`Self::encode`] encoded.
    ///
    /// # Errors
    /// Returns an error if the bytes are empty, have another encoding version or are malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        match bytes.split_first() {
            None => Err(RecordError::Empty),
            Some((&VERSION, rest)) => Ok(postcard::from_bytes(rest).or_else(|e| {
                // Earlier builds announced instances without their zone, and claimed without the
                // process and the waits.
                let missing: &[u8] = match rest.first() {
                    Some(&MEMBER_VARIANT) => &[0],
                    Some(&LEADER_VARIANT) => &CLAIM_DEFAULTS,
                    _ => return Err(e),
                };
                postcard::from_bytes(&[rest, missing].concat())
            })?),
            Some((other, _)) => Err(RecordError::Version(*other)),
        }
    }

    /// Decodes the record that the log holds under `key`, and checks that an instance may have
    /// written it.
    ///
    /// # Errors
    /// Returns an error if the bytes cannot be decoded, belong under another key, or hold a job, a
    /// term or a model that no instance accepts.
    pub fn read(key: &str, bytes: &[u8]) -> Result<Self, RecordError> {
        let record = Self::decode(bytes)?;
        let expected = record.key();
        if key != expected {
            return Err(RecordError::Key(expected));
        }
        match &record {
            Self::Submitted(_, submission) => submission.spec.validate()?,
            Self::Leader(claim) if claim.epoch > MAX_EPOCH => {
                return Err(RecordError::Epoch(claim.epoch));
            }
            Self::Progress(_, progress) if progress.epoch > MAX_EPOCH => {
                return Err(RecordError::Epoch(progress.epoch));
            }
            Self::Durations(_, model) if !model.is_valid() => return Err(RecordError::Model),
            _ => {}
        }
        Ok(record)
    }
}
