//! The interface between an instance and the platform: log, minions and advice service.

use std::fmt::Debug;
use std::future::Future;
use std::time::{Duration, Instant};

use primrosebay_cell::config::Config;
use primrosebay_cell::fencing::FencingToken;
use primrosebay_cell::job::{StepKey, TaskKey};
use primrosebay_cell::leader::{Advice, DirectoryChange, HoldAnswer, Start, StartAnswer};
use primrosebay_state::Name;

use crate::log_limit::LogLimit;

/// A compacted stream of the log, which retains at least the newest record of each key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stream {
    /// Records that instances of the cell append.
    Cell,
    /// The configuration and the evacuated availability zones, set by operators.
    Operators,
    /// The directory of minions, maintained by the platform.
    Directory,
    /// Announcements of the instances of the cell, which all of them read.
    Members,
}

/// A record of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// The position in the stream.
    pub offset: u64,
    /// The key by which the stream is compacted.
    pub key: String,
    /// The value, or `None` if the record removes the key.
    pub value: Option<Vec<u8>>,
}

/// The result of one read of a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Read {
    /// The records. They are in stream order, except in the result of [`Platform::read_newest`].
    pub records: Vec<LogRecord>,
    /// The offset at which the next read starts.
    pub next: u64,
    /// The offset after the last record of the stream; greater than `next` if the stream holds
    /// more records than one read returns.
    pub end: u64,
}

/// The reason why a stream could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadError {
    /// Some requested records have been compacted away; only the newest of each key are left.
    Expired,
    /// The log did not answer, or its answer was an error or malformed; holds the cause.
    Unavailable(String),
}

/// Identifies an append of a leader, so that the log can reject former leaders and repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AppendId {
    /// The epoch of the leader's term. The log rejects appends of lower epochs.
    pub epoch: u64,
    /// The number of the append within the term, from 0.
    pub sequence: u64,
}

/// The reason why an append was not acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendError {
    /// The log has seen a higher term.
    Fenced,
    /// The sequence number does not follow the last one of the term; holds the expected number.
    Sequence(u64),
    /// Nothing was appended; holds the cause.
    Rejected(String),
    /// The records may have been appended, or may still be; holds the cause.
    Unknown(String),
}

/// A decoded record of [`Stream::Operators`].
#[derive(Debug, Clone)]
pub enum OperatorChange {
    /// A new version of the configuration.
    Config(Config),
    /// The availability zone is evacuated: no task may be started there.
    Evacuated(Name),
    /// The availability zone is back in service.
    Returned(Name),
    /// A record that does not affect the cell.
    Other,
}

/// The recipient of a command, with the token by which the minion refuses superseded commands.
#[derive(Debug, Clone, Copy)]
pub struct Target<'a> {
    /// The name of the minion's incarnation; other incarnations refuse the command.
    pub minion: &'a str,
    /// The network address of the minion.
    pub address: &'a str,
    /// The fencing token of the command.
    pub token: FencingToken,
}

/// Access to the log, the minions and the advice service of a platform.
pub trait Platform: Debug + Send + Sync + 'static {
    /// Returns the recent latency of the log.
    fn log_latency(&self) -> Duration;

    /// Reads records starting at offset `from`. If there are none yet, waits for up to `wait`.
    fn read(
        &self,
        stream: Stream,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Read, ReadError>> + Send;

    /// Reads the newest record of each key. Records may be replaced during the read, so the result
    /// is complete only after a further [`Platform::read`] from [`Read::next`] to the end.
    fn read_newest(&self, stream: Stream) -> impl Future<Output = Result<Read, ReadError>> + Send;

    /// Appends key-value records to [`Stream::Cell`] atomically. An empty value removes the key.
    /// Appends without an `id` are neither fenced nor deduplicated.
    fn append(
        &self,
        records: &[(String, Vec<u8>)],
        id: Option<AppendId>,
    ) -> impl Future<Output = Result<(), AppendError>> + Send;

    /// Appends a record to [`Stream::Members`].
    fn announce(
        &self,
        key: &str,
        value: Vec<u8>,
    ) -> impl Future<Output = Result<(), AppendError>> + Send;

    /// Starts a run of a task on a minion.
    fn start(&self, start: &Start) -> impl Future<Output = StartAnswer> + Send;

    /// Stops a run of a task. Returns whether the minion acknowledged the stop.
    fn stop(
        &self,
        target: Target<'_>,
        task: TaskKey,
        run: u32,
    ) -> impl Future<Output = bool> + Send;

    /// Renews a minion's lease and reads its running and ended runs.
    ///
    /// `until_ms` is the end of the lease in milliseconds of the minion's clock, or `None` to leave
    /// the lease as it is. Ended runs numbered up to `acked` are recorded durably and need not be
    /// reported again. The minion waits for up to `wait` for a run to end.
    fn hold(
        &self,
        target: Target<'_>,
        until_ms: Option<u64>,
        acked: u64,
        wait: Duration,
    ) -> impl Future<Output = HoldAnswer> + Send;

    /// Asks the advice service which of `minions` may run a step. Returns the reason if the call
    /// fails.
    fn advise(
        &self,
        step: StepKey,
        minions: &[Name],
        timeout: Duration,
    ) -> impl Future<Output = Result<Advice, String>> + Send;

    /// Decodes a record of [`Stream::Operators`].
    ///
    /// # Errors
    /// Returns the reason why the record cannot be decoded.
    fn operator_change(&self, record: &LogRecord) -> Result<OperatorChange, String>;

    /// Decodes a record of [`Stream::Directory`].
    ///
    /// # Errors
    /// Returns the reason why the record cannot be decoded.
    fn directory_change(&self, record: &LogRecord) -> Result<DirectoryChange, String>;

    /// Decodes records of [`Stream::Directory`]. A record that cannot be decoded names no minion to
    /// use, and is logged as far as `log_limit` allows.
    fn directory_changes(
        &self,
        records: &[LogRecord],
        log_limit: &mut LogLimit,
    ) -> Vec<DirectoryChange> {
        let changes = records.iter().map(|record| {
            self.directory_change(record).unwrap_or_else(|e| {
                if let Some(left_out) = log_limit.admit(Instant::now()) {
                    log::warn!(key:% = record.key, offset = record.offset, reason:% = e, left_out; "platform: undecodable directory record, names no minion to use");
                }
                DirectoryChange::Unreadable(record.key.as_str().into())
            })
        });
        changes.collect()
    }
}
