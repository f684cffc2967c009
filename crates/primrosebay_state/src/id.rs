//! Identifiers that are unique without coordination between instances.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Identifies one run of the process of an entry instance; drawn at random when the process starts.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Identifies a log record, so that a record that is appended twice is applied once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordId {
    /// The process that created the record.
    pub incarnation: Incarnation,
    /// The number of the record within that process, from 1.
    pub sequence: u64,
}

/// Identifies a job; serialized as text such as `0123456789abcdef-1`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct JobId {
    /// The process that accepted the job.
    pub incarnation: Incarnation,
    /// The number of the job within that process, from 1.
    pub sequence: u64,
}

/// Identifies one task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The index of the task in the job, from 0.
    pub index: u32,
}

/// Identifies one attempt to run a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The task that the attempt runs.
    pub task: TaskId,
    /// The number of the attempt, from 1.
    pub attempt: u32,
}

/// The error for text that is not the identifier of a job.
#[derive(Debug, thiserror::Error)]
#[error("a job identifier has the form 0123456789abcdef-1, in hexadecimal digits")]
pub struct ParseIdError;

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.incarnation.0, self.sequence)
    }
}

impl FromStr for JobId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let (incarnation, sequence) = text.split_once('-').ok_or(ParseIdError)?;
        let parse = |part: &str| u64::from_str_radix(part, 16).map_err(|_| ParseIdError);
        Ok(Self {
            incarnation: Incarnation(parse(incarnation)?),
            sequence: parse(sequence)?,
        })
    }
}

impl From<JobId> for String {
    fn from(id: JobId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for JobId {
    type Error = ParseIdError;

    fn try_from(text: String) -> Result<Self, ParseIdError> {
        text.parse()
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}
