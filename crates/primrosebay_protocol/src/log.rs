//! Messages of the platform's log service.

use serde::{Deserialize, Serialize};

use primrosebay_state::record::Record;

/// The stream of records of the configuration and the allowances.
pub const CONFIG_STREAM: &str = "config";
/// The stream of job records. Records of tasks are in one stream per zone, `tasks-<zone>`.
pub const JOBS_STREAM: &str = "jobs";

/// The body of one append: a batch of records.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Append {
    /// The records, in order.
    pub records: Vec<Record>,
}

/// The response to an append.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Appended {
    /// The offset of the first record of the batch.
    pub first: u64,
}

/// A record with its offset in the stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LogEntry {
    /// The position in the stream, which increases by 1 with each record.
    pub offset: u64,
    /// The record as it was appended.
    pub record: Record,
}

/// The response to a read.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Page {
    /// The oldest offset that is still kept.
    pub oldest: u64,
    /// The offset that the next appended record gets.
    pub end: u64,
    /// The records from the requested offset on, up to the page limit.
    pub records: Vec<LogEntry>,
}
