//! Callers that wait until records are durable: their own, or that of a job's end.

use std::sync::{Mutex, PoisonError};

use async_std::channel::{Receiver, Sender, bounded};
use primrosebay_cell::job::JobKey;

/// The kind of write that a caller waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteKind {
    /// The record of a submission.
    Submission,
    /// The record of a cancellation.
    Cancellation,
    /// The leader's record of the job's end.
    End,
}

/// The result of writing a record to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    /// The record is in the log.
    Durable,
    /// The record is not in the log and will not be appended; holds the reason.
    Rejected(String),
    /// The record may or may not be in the log, which cannot be reached to find out.
    Unknown,
}

/// A caller that waits for the result of a write.
#[derive(Debug)]
struct Waiter {
    kind: WriteKind,
    job: JobKey,
    sender: Sender<WriteResult>,
    /// Whether an attempt of the write since the caller began to wait had no answer.
    maybe_stored: bool,
}

/// The waiting callers. A write is resolved by the answer to its append or by reading its record
/// from the log, whichever comes first, so a lost answer delays no caller.
#[derive(Debug, Default)]
pub struct Waiters {
    waiters: Mutex<Vec<Waiter>>,
}

impl Waiters {
    /// Adds a waiter and returns the channel on which it receives the result. Removes waiters whose
    /// callers no longer wait.
    pub fn register(&self, kind: WriteKind, job: JobKey) -> Receiver<WriteResult> {
        let (sender, receiver) = bounded(1);
        let mut waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        waiters.retain(|w| !w.sender.is_closed());
        waiters.push(Waiter {
            kind,
            job,
            sender,
            maybe_stored: false,
        });
        receiver
    }

    /// Returns whether a caller still waits for the end of a job.
    pub fn awaits_end(&self) -> bool {
        let waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        waiters
            .iter()
            .any(|w| w.kind == WriteKind::End && !w.sender.is_closed())
    }

    /// Returns whether a caller still waits for the write.
    pub fn is_pending(&self, kind: WriteKind, job: JobKey) -> bool {
        let waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        waiters
            .iter()
            .any(|w| w.kind == kind && w.job == job && !w.sender.is_closed())
    }

    /// Notes that an attempt of the write had no answer, so that its record may be stored. Other callers
    /// may wait for another record of the same write.
    pub fn note_unanswered(&self, kind: WriteKind, job: JobKey) {
        let mut waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        for waiter in waiters.iter_mut() {
            waiter.maybe_stored |= waiter.kind == kind && waiter.job == job;
        }
    }

    /// Sends the result of a write to all its waiters and removes them. A rejection is unknown to those
    /// for whom an earlier attempt had no answer.
    pub fn resolve(&self, kind: WriteKind, job: JobKey, result: &WriteResult) {
        let mut waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        waiters.retain(|w| {
            let matches = w.kind == kind && w.job == job;
            if matches {
                let is_rejected = matches!(result, WriteResult::Rejected(_));
                let known = if is_rejected && w.maybe_stored {
                    WriteResult::Unknown
                } else {
                    result.clone()
                };
                // The channel has room for the single result, so sending fails only if the caller
                // no longer waits.
                let _ = w.sender.try_send(known);
            }
            !matches
        });
    }
}
