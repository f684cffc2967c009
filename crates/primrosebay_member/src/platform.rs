//! What an instance needs from the platform on which it runs.

use std::fmt::Debug;
use std::future::Future;
use std::time::Duration;

use primrosebay_cell::config::Config;
use primrosebay_cell::job::{StepKey, TaskKey};
use primrosebay_cell::leader::{Advice, DirectoryChange, Entry, HoldAnswer, Start, StartAnswer};
use primrosebay_state::Name;

/// A stream of the log that keeps the newest record of each key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stream {
    /// The cell's own records.
    Cell,
    /// What operators have set.
    Operators,
    /// The minions that there are.
    Directory,
}

/// A record of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// Its place in the stream.
    pub offset: u64,
    /// Its key.
    pub key: String,
    /// Its value; none if the key was removed.
    pub value: Option<Vec<u8>>,
}

/// Part of a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Read {
    /// The records, in the order of the stream unless they are the newest of each key.
    pub records: Vec<LogRecord>,
    /// The offset from which to read on.
    pub next: u64,
    /// The offset after the last record of the stream. It is beyond `next` if the stream holds more
    /// than one read returns.
    pub end: u64,
}

/// Why a stream could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadError {
    /// Records that were asked for have expired; only the newest of each key are left.
    Expired,
    /// The log did not answer in a way that can be used.
    Unavailable(String),
}

/// What makes an append exclusive to one term and safe to repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AppendId {
    /// The number of the term. Appends of lower terms are refused.
    pub epoch: u64,
    /// The number of the append within the term.
    pub sequence: u64,
}

/// Why an append was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendError {
    /// A higher term has begun.
    Fenced,
    /// The append does not follow the last one of its term; this number would.
    Sequence(u64),
    /// Nothing was appended.
    Rejected(String),
    /// The records may have been appended, or may still be.
    Unknown(String),
}

/// What operators have set.
#[derive(Debug, Clone)]
pub enum OperatorChange {
    /// A version of the configuration.
    Config(Config),
    /// Nothing is to be started in this availability zone.
    Evacuated(Name),
    /// The availability zone may be used again.
    Returned(Name),
    /// Something that concerns no decision of the cell.
    Other,
}

/// An order to a minion, with what protects it from acting for a former leader.
#[derive(Debug, Clone, Copy)]
pub struct Target<'a> {
    /// The incarnation that is meant.
    pub minion: &'a str,
    /// Where it is reached.
    pub address: &'a str,
    /// The term of the leader.
    pub epoch: u64,
}

/// The platform on which an instance runs.
pub trait Platform: Debug + Send + Sync + 'static {
    /// Returns how long the log has recently taken to answer.
    fn log_latency(&self) -> Duration;

    /// Reads records from an offset on, waiting up to `wait` for the first one.
    fn read(
        &self,
        stream: Stream,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Read, ReadError>> + Send;

    /// Reads the newest record of each key. Records may change while they are read, so the stream
    /// has to be read on from the offset that is returned.
    fn read_newest(&self, stream: Stream) -> impl Future<Output = Result<Read, ReadError>> + Send;

    /// Appends records to the cell's stream, all or none.
    fn append(
        &self,
        records: &[(String, Vec<u8>)],
        id: Option<AppendId>,
    ) -> impl Future<Output = Result<(), AppendError>> + Send;

    /// Starts a run.
    fn start(&self, start: &Start, epoch: u64) -> impl Future<Output = StartAnswer> + Send;

    /// Stops a run. Returns whether the minion has answered that it did.
    fn stop(
        &self,
        target: Target<'_>,
        task: TaskKey,
        run: u32,
    ) -> impl Future<Output = bool> + Send;

    /// Renews a minion's lease and reads what runs and what has ended there.
    fn hold(
        &self,
        target: Target<'_>,
        until: Option<u64>,
        acked: u64,
        wait: Duration,
    ) -> impl Future<Output = HoldAnswer> + Send;

    /// Asks which of these minions may run a step.
    fn advise(
        &self,
        step: StepKey,
        minions: &[Name],
        timeout: Duration,
    ) -> impl Future<Output = Result<Advice, String>> + Send;

    /// Decodes a record of [`Stream::Operators`].
    ///
    /// # Errors
    /// Returns why the record cannot be used.
    fn operator_change(&self, record: &LogRecord) -> Result<OperatorChange, String>;

    /// Decodes a record of [`Stream::Directory`].
    ///
    /// # Errors
    /// Returns why the record names no minion that can be used.
    fn directory_change(&self, record: &LogRecord) -> Result<DirectoryChange, String>;

    /// Decodes records that are the newest of each key into the whole directory.
    fn directory(&self, records: &[LogRecord]) -> Vec<Entry> {
        let mut entries = Vec::new();
        for record in records {
            match self.directory_change(record) {
                Ok(DirectoryChange::Listed(entry)) => entries.push(entry),
                Ok(DirectoryChange::Removed(_)) => {}
                Err(e) => {
                    log::warn!(key:% = record.key, reason:% = e; "directory: record left out");
                }
            }
        }
        entries
    }
}
