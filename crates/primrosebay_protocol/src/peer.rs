//! Frames between entry instances.
//!
//! A frame is one version byte followed by a `postcard` body. Log records and bodies of the API
//! travel as JSON documents inside a frame, because their types use serde features that `postcard`
//! cannot decode, such as internally tagged enums.

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
/// Longest frame in bytes. The longest frames are snapshots of the configuration, with the
/// identifiers of 16,384 records in 1 MB and some thousand resources.
pub const MAX_FRAME: usize = 2 << 20;

/// A frame that cannot be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame is longer than [`MAX_FRAME`].
    #[error("the frame has {0} bytes, more than {MAX_FRAME}")]
    TooLong(usize),
    /// The frame has no bytes.
    #[error("the frame is empty")]
    Empty,
    /// The frame was written by a version that this process cannot read.
    #[error("the frame has version {0}, and this process reads version {VERSION}")]
    Version(u8),
    /// The body has another form than expected.
    #[error("the frame is malformed")]
    Malformed,
    /// Bytes follow the body.
    #[error("{0} bytes follow the body of the frame")]
    Trailing(usize),
}

/// A value that is carried as JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(transparent, bound = "")]
pub struct Document<T> {
    json: Vec<u8>,
    kind: PhantomData<fn() -> T>,
}

impl<T: Serialize> Document<T> {
    /// Encodes `value`.
    ///
    /// # Errors
    /// Returns an error if the value has no JSON form or exceeds [`MAX_FRAME`].
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
    /// Decodes the value.
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
    /// The zone.
    pub zone: Name,
    /// The epoch of the sender's term.
    pub epoch: u64,
}

/// The resources of the workers that a coordinator holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneResources {
    /// The zone.
    pub zone: Name,
    /// What is not allocated.
    pub free: Resources,
    /// What the workers have in total.
    pub total: Resources,
    /// What pending tasks ask for.
    pub wanted: Resources,
}

/// Allowance that a zone asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The team.
    pub team: Name,
    /// The zone that asks.
    pub zone: Name,
    /// The amount.
    pub amount: Resources,
}

/// The part of a heartbeat that changes seldom.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The zones that the sender coordinates.
    pub zones: Vec<ZoneTerm>,
    /// The resources of these zones.
    pub free: Vec<ZoneResources>,
    /// The allowances that these zones ask for.
    pub demand: Vec<Demand>,
}

/// The periodic message between two entry instances.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's process.
    pub incarnation: Incarnation,
    /// The number of the heartbeat, increasing for each addressee, from 1.
    pub sequence: u64,
    /// The highest sequence that the sender received from the addressee; 0 for none. It bounds the
    /// age of the heartbeat on the addressee's clock, however long the network delayed it.
    pub echo: u64,
    /// The offset after the last configuration record that the sender applied.
    pub config: u64,
    /// Milliseconds since the end of the log was confirmed, over all hops; nothing if never.
    pub log_age: Option<u64>,
    /// Whether the sender counts towards the quorum for going on without the log.
    pub current: bool,
    /// Zones, free resources and demand; nothing if the latest summary of the same process stands.
    pub summary: Option<Summary>,
}

/// Who makes a forwarded call, as the entry instance that took it has authenticated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// The team; empty for an operator.
    pub team: Name,
    /// Whether the call was made with an operator's key.
    pub operator: bool,
    /// The configuration offset at which the key was checked.
    pub config: u64,
}

/// A frame that opens a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// Names the sender; the first request on a connection.
    Hello {
        /// The instance's name, for which its certificate must be valid.
        name: Name,
        /// The instance's process.
        incarnation: Incarnation,
    },
    /// A heartbeat that is too long for a datagram.
    Heartbeat(Heartbeat),
    /// Configuration records that the sender has applied, with increasing offsets.
    Push(Document<Vec<LogEntry>>),
    /// Asks for configuration records.
    Config {
        /// The first offset that the sender lacks.
        from: u64,
    },
    /// Asks to hold copies of records while the log is down.
    Hold {
        /// The log stream.
        stream: Name,
        /// The records.
        records: Document<Vec<Record>>,
    },
    /// Tells that held records are in the log.
    Release {
        /// The records.
        ids: Vec<RecordId>,
    },
    /// Submits a job to the coordinator of a zone.
    Submit {
        /// The identifier, chosen by the sender, so that a repeated call has one effect.
        id: JobId,
        /// The home zone.
        zone: Name,
        /// Who submits.
        caller: Caller,
        /// The job.
        spec: Document<JobSpec>,
    },
    /// Reads a job.
    Read {
        /// The job.
        id: JobId,
        /// Who reads.
        caller: Caller,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        id: JobId,
        /// Who cancels.
        caller: Caller,
    },
    /// Lists jobs of the caller's team.
    List {
        /// Who lists.
        caller: Caller,
        /// The zone whose jobs are listed; empty for all zones that the addressee coordinates.
        zone: Name,
        /// The last job of the previous page.
        after: Option<JobId>,
        /// Most jobs to return.
        limit: u32,
    },
}

/// The frame that answers a request on the same stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Response {
    /// The request was carried out.
    Done,
    /// Names the addressee.
    Hello {
        /// The instance's name.
        name: Name,
        /// The instance's process.
        incarnation: Incarnation,
    },
    /// Configuration records from the requested offset on.
    Config(Document<Page>),
    /// The job was accepted.
    Submitted(Document<Submitted>),
    /// A job.
    Job(Document<JobView>),
    /// Jobs.
    Jobs(Document<Vec<JobView>>),
    /// The request was refused or failed with the documented meaning of the code.
    Refused(Code),
    /// The request was refused or failed, with details.
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
