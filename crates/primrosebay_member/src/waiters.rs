//! Callers that wait until a record of theirs is durable.

use std::sync::{Mutex, PoisonError};

use async_std::channel::{Receiver, Sender, bounded};
use primrosebay_cell::job::JobKey;

/// What a record says of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteKind {
    Submission,
    Cancellation,
}

/// What became of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum WriteResult {
    /// It is in the log.
    Durable,
    /// It is not in the log and never will be.
    Rejected(String),
    /// It may be in the log or not, and the log cannot be reached to find out.
    Unknown,
}

#[derive(Debug)]
struct Waiter {
    kind: WriteKind,
    job: JobKey,
    sender: Sender<WriteResult>,
}

/// Callers that wait. Both the answer to an append and a read of the log can settle a record, so
/// that a lost answer delays nobody.
#[derive(Debug, Default)]
pub(crate) struct Waiters {
    waiters: Mutex<Vec<Waiter>>,
}

impl Waiters {
    pub(crate) fn register(&self, kind: WriteKind, job: JobKey) -> Receiver<WriteResult> {
        let (sender, receiver) = bounded(1);
        let mut waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        waiters.retain(|w| !w.sender.is_closed());
        waiters.push(Waiter { kind, job, sender });
        receiver
    }

    /// Returns whether somebody still waits for a record.
    pub(crate) fn is_pending(&self, kind: WriteKind, job: JobKey) -> bool {
        let waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        waiters
            .iter()
            .any(|w| w.kind == kind && w.job == job && !w.sender.is_closed())
    }

    pub(crate) fn resolve(&self, kind: WriteKind, job: JobKey, result: &WriteResult) {
        let mut waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        waiters.retain(|w| {
            let matches = w.kind == kind && w.job == job;
            if matches {
                // The channel holds one receipt and a waiter gets only one; if the caller has
                // left, nobody needs it.
                let _ = w.sender.try_send(result.clone());
            }
            !matches
        });
    }
}
