//! Frames between entry instances.
//!
//! A frame is one version byte followed by a `postcard` body. Log records and API bodies are
//! embedded as JSON documents, because their types use serde features that `postcard` cannot
//! decode, such as internally tagged enums.

use std::marker::PhantomData;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use primrosebay_state::Name;
use primrosebay_state::id::{Incarnation, JobId, RecordId};
use primrosebay_state::job::JobSpec;
use primrosebay_state::record::Record;
use primrosebay_state::resources::Resources;

use crate::api::{Failure, JobView, Submitted};
use crate::code::Code;
use crate::log::{LogEntry, Page};

/// The version of the frames that this process writes and reads.
pub const VERSION: u8 = 1;
/// Longest frame, in bytes. The longest frames carry a snapshot of the configuration: the
/// identifiers of 16,384 records, which take 1 MB, and some thousand resources.
pub const MAX_FRAME: usize = 2 << 20;

/// The error for a frame that cannot be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame is longer than [`MAX_FRAME`].
    #[error("the frame has {0} bytes, more than {MAX_FRAME}")]
    TooLong(usize),
    /// The frame has no bytes, so it lacks the version.
    #[error("the frame is empty")]
    Empty,
    /// The frame has a version that this process cannot read.
    #[error("the frame has version {0}, and this process reads version {VERSION}")]
    Version(u8),
    /// The body does not have the form of the expected message.
    #[error("the frame is malformed")]
    Malformed,
    /// Bytes follow the body.
    #[error("{0} bytes follow the body of the frame")]
    Trailing(usize),
}

/// A value of type `T` that is embedded in a frame as JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(transparent, bound = "")]
pub struct Document<T> {
    json: Vec<u8>,
    kind: PhantomData<fn() -> T>,
}

impl<T: Serialize> Document<T> {
    /// Encodes `value` as JSON.
    ///
    /// # Errors
    /// Returns an error if the value cannot be encoded as JSON or its JSON exceeds [`MAX_FRAME`].
    pub fn new(value: &T) -> Result<Self, FrameError> {
        let json = serde_json::to_vec(value).map_err(|_| FrameError::Malformed)?;
        if json.len() > MAX_FRAME {
            return Err(FrameError::TooLong(json.len()));
        }
        Ok(Self {
            json,
            kind: PhantomData,
        })
    }
}

impl<T: DeserializeOwned> Document<T> {
    /// Decodes the value from its JSON.
    ///
    /// # Errors
    /// Returns an error if the bytes are not JSON of the expected form.
    pub fn read(&self) -> Result<T, FrameError> {
        serde_json::from_slice(&self.json).map_err(|_| FrameError::Malformed)
    }
}

/// A zone that the sender coordinates.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneTerm {
    /// The zone over which the sender has authority.
    pub zone: Name,
    /// The epoch of the sender's term.
    pub epoch: u64,
}

/// The resources of the workers of a zone whose leases the coordinator holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneResources {
    /// The zone of the workers.
    pub zone: Name,
    /// The resources that are not allocated.
    pub free: Resources,
    /// The resources of these workers, whether allocated or not.
    pub total: Resources,
    /// The resources that pending tasks request.
    pub wanted: Resources,
}

/// The allowance of a team that a zone requests from other zones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The team whose allowance is requested.
    pub team: Name,
    /// The zone that requests the allowance.
    pub zone: Name,
    /// The allowance that the zone lacks to run its pending tasks.
    pub amount: Resources,
}

/// The part of a heartbeat that the sender includes only in some heartbeats.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The zones that the sender coordinates.
    pub zones: Vec<ZoneTerm>,
    /// The resources in these zones.
    pub free: Vec<ZoneResources>,
    /// The allowances that these zones request.
    pub demand: Vec<Demand>,
}

/// The periodic message between two entry instances.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The run of the sender's process.
    pub incarnation: Incarnation,
    /// The sequence number of the heartbeat, counted for each receiver from 1.
    pub sequence: u64,
    /// The highest sequence number that the sender has received from the receiver; 0 if there is
    /// none. The receiver derives from it an upper bound for the age of the heartbeat on its own
    /// clock, however long the network delayed the heartbeat.
    pub echo: u64,
    /// The offset after the last configuration record that the sender applied.
    pub config: u64,
    /// Milliseconds since the end of the log was last confirmed, summed over all hops; `None` if it
    /// was never confirmed.
    pub log_age: Option<u64>,
    /// Whether the sender counts towards the quorum for operation without the log.
    pub current: bool,
    /// Zones, their resources and their demand; `None` if the latest summary of this process still
    /// counts.
    pub summary: Option<Summary>,
}

/// The caller of a forwarded call, as authenticated by the entry instance that received the call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// The team; empty for an operator.
    pub team: Name,
    /// Whether the call was made with the key of an operator.
    pub operator: bool,
    /// The offset of the configuration with which the key was checked.
    pub config: u64,
}

/// A request, sent as the first frame of a QUIC stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// Identifies the sender; the first request on a connection.
    Hello {
        /// The name of the sender, for which its certificate must be valid.
        name: Name,
        /// The run of the process.
        incarnation: Incarnation,
    },
    /// A heartbeat that is too long for a datagram.
    Heartbeat(Heartbeat),
    /// Configuration records that the sender has applied, with increasing offsets.
    Push(Document<Vec<LogEntry>>),
    /// Requests the configuration records from an offset on.
    Config {
        /// The first offset that the sender lacks.
        from: u64,
    },
    /// Stores copies of records at the receiver while the log is unavailable.
    Hold {
        /// The log stream that the records are to be appended to.
        stream: Name,
        /// The records to copy.
        records: Document<Vec<Record>>,
    },
    /// Drops copies stored by `Hold`, because the records are in the log now.
    Release {
        /// The identifiers of the records.
        ids: Vec<RecordId>,
    },
    /// Submits a job to the coordinator of a zone.
    Submit {
        /// The identifier, chosen by the sender, which makes repeated calls idempotent.
        id: JobId,
        /// The home zone, which the receiver must coordinate.
        zone: Name,
        /// The caller, whose team must be that of the job.
        caller: Caller,
        /// The specification of the job, with its team.
        spec: Document<JobSpec>,
    },
    /// Reads a job as the receiver knows it.
    Read {
        /// The identifier of the job.
        id: JobId,
        /// The caller, which must be an operator or belong to the job's team.
        caller: Caller,
    },
    /// Cancels a job, and returns it as known before.
    Cancel {
        /// The identifier of the job.
        id: JobId,
        /// The caller, which must be an operator or belong to the job's team.
        caller: Caller,
    },
    /// Lists the jobs of the caller's team.
    List {
        /// The caller; an operator gets the jobs of all teams.
        caller: Caller,
        /// The zone whose jobs are listed; empty for all zones that the receiver coordinates.
        zone: Name,
        /// The last job of the previous page; `None` for the first page.
        after: Option<JobId>,
        /// The largest number of jobs to return.
        limit: u32,
    },
}

/// The response to a request, sent on the same stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Response {
    /// The request was carried out.
    Done,
    /// Identifies the receiver of the request.
    Hello {
        /// The name of the receiver.
        name: Name,
        /// The run of the process.
        incarnation: Incarnation,
    },
    /// Configuration records from the requested offset on.
    Config(Document<Page>),
    /// The job was accepted.
    Submitted(Document<Submitted>),
    /// The job that was read, or that was cancelled.
    Job(Document<JobView>),
    /// One page of jobs.
    Jobs(Document<Vec<JobView>>),
    /// The request was refused or failed; the code tells why.
    Refused(Code),
    /// The request was refused or failed, with a message and the invalid fields.
    Failed(Document<Failure>),
}

/// Encodes a heartbeat, request or response.
///
/// # Errors
/// Returns an error if the frame would exceed [`MAX_FRAME`].
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    let frame = postcard::to_extend(message, vec![VERSION]).map_err(|_| FrameError::Malformed)?;
    if frame.len() > MAX_FRAME {
        return Err(FrameError::TooLong(frame.len()));
    }
    Ok(frame)
}

/// Decodes a frame as a heartbeat, request or response.
///
/// # Errors
/// Returns an error if the frame is empty, too long, of another version or malformed.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, FrameError> {
    if frame.len() > MAX_FRAME {
        return Err(FrameError::TooLong(frame.len()));
    }
    let (version, body) = frame.split_first().ok_or(FrameError::Empty)?;
    if *version != VERSION {
        return Err(FrameError::Version(*version));
    }
    match postcard::take_from_bytes(body) {
        Ok((message, [])) => Ok(message),
        Ok((_, rest)) => Err(FrameError::Trailing(rest.len())),
        Err(_) => Err(FrameError::Malformed),
    }
}
