//! Messages of the platform's log service.

use serde::{Deserialize, Serialize};

use primrosebay_state::record::Record;

/// The stream of operators' configuration and allowances.
pub const CONFIG_STREAM: &str = "config";
/// The stream of jobs.
pub const JOBS_STREAM: &str = "jobs";

/// A batch of records to append, as one append.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Append {
    /// The records, in order.
    pub records: Vec<Record>,
}

/// The answer to an append.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the first record of the batch.
    pub first: u64,
}

/// One record with its place in the stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LogEntry {
    /// The offset.
    pub offset: u64,
    /// The record.
    pub record: Record,
}

/// The answer to a read.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Page {
    /// The oldest offset that is still kept.
    pub oldest: u64,
    /// The offset that the next append gets.
    pub end: u64,
    /// The records from the requested offset on, up to a limit.
    pub records: Vec<LogEntry>,
}
