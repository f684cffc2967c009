//! Makes submissions and cancellations of callers durable, in batches.
//!
//! Batches are forwarded to the leader, which appends them together with its own records, because a
//! slow log takes few appends per second regardless of their size. If the leader does not take a
//! batch, the instance appends it directly, unless that would overload a slow log. A batch that the
//! leader received but did not acknowledge in time is forwarded again rather than appended
//! directly, since late acknowledgements are the first sign of a slow log.

use std::sync::Arc;

use async_std::channel::{Receiver, Sender, bounded};
use async_std::task;
use primrosebay_cell::job::JobKey;
use primrosebay_cell::record::Record;

use crate::backpressure::may_append_directly;
use crate::platform::{AppendError, Platform};
use crate::shared::Shared;
use crate::waiters::{WriteKind, WriteResult};
use crate::{lead, peer};

/// Maximum number of records in one batch.
const MAX_BATCH_RECORDS: usize = 200;

/// Multiple of the log's latency that is part of the timeout of forwarded records.
const FORWARD_LATENCIES: u32 = 4;

/// The result of forwarding records to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ForwardResult {
    /// The records are in the log.
    Durable,
    /// There is no known leader, or it did not take the records.
    Not,
    /// The records may be in the log, or may still be appended.
    Unknown,
}

/// A record that is to be made durable.
#[derive(Debug, Clone)]
pub(crate) struct PendingRecord {
    /// The write that a caller waits for; `None` for the announcement of an instance.
    pub(crate) waiter: Option<(WriteKind, JobKey)>,
    pub(crate) record: Record,
    /// Whether an earlier attempt without an answer may have stored the record.
    pub(crate) maybe_stored: bool,
}

/// Makes queued records durable until the queue is closed. Records that arrive while the maximum
/// number of batches is in flight are collected for the next batch.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>, pending: Receiver<PendingRecord>) {
    // A semaphore: each message in the channel is a permit held by a batch.
    let (acquire, release) = bounded::<()>(shared.settings.max_appends);
    while let Ok(first) = pending.recv().await {
        if acquire.send(()).await.is_err() {
            return;
        }
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH_RECORDS
            && let Ok(item) = pending.try_recv()
        {
            batch.push(item);
        }
        let (shared, release) = (Arc::clone(&shared), release.clone());
        task::spawn(async move {
            append(&shared, batch).await;
            // Releases the permit of this batch.
            let _ = release.try_recv();
        });
    }
}

/// Makes a batch durable and notifies its callers. Records without a definite result are queued
/// again or, if the log is unreachable, reported to their callers as rejected or unknown.
async fn append<P: Platform>(shared: &Shared<P>, mut batch: Vec<PendingRecord>) {
    let result = match forward(shared, &batch).await {
        ForwardResult::Durable => Ok(()),
        ForwardResult::Not if may_append(shared) => append_directly(shared, &batch).await,
        result => {
            log::info!(records = batch.len(), forwarded:? = result; "submit: records not acknowledged by the leader");
            if result == ForwardResult::Unknown {
                note_unanswered(shared, &mut batch);
            }
            if shared.is_log_reachable() {
                retry(shared, batch.into_iter()).await;
            } else {
                fail_waiters(shared, &batch, "cannot reach the log");
            }
            return;
        }
    };
    match result {
        Ok(()) => {
            for (kind, job) in batch.into_iter().filter_map(|i| i.waiter) {
                shared.waiters.resolve(kind, job, &WriteResult::Durable);
            }
        }
        Err(AppendError::Unknown(reason)) => {
            log::warn!(records = batch.len(), reason:% = reason; "submit: append not answered");
            note_unanswered(shared, &mut batch);
            if shared.is_log_reachable() {
                retry(shared, batch.into_iter()).await;
            } else {
                fail_waiters(shared, &batch, &reason);
            }
        }
        Err(AppendError::Fenced | AppendError::Sequence(_)) => {
            log::error!("submit: fencing error for an append without a term");
        }
        Err(AppendError::Rejected(reason)) => {
            log::warn!(records = batch.len(), reason:% = reason; "submit: append rejected");
            let (maybe_stored, not_stored): (Vec<PendingRecord>, Vec<PendingRecord>) =
                batch.into_iter().partition(|i| i.maybe_stored);
            fail_waiters(shared, &not_stored, &reason);
            retry(shared, maybe_stored.into_iter()).await;
        }
    }
}

/// Notes that the records of a batch may be stored.
fn note_unanswered<P>(shared: &Shared<P>, batch: &mut [PendingRecord]) {
    for item in batch {
        item.maybe_stored = true;
        if let Some((kind, job)) = item.waiter {
            shared.waiters.note_unanswered(kind, job);
        }
    }
}

/// Notifies callers that their records are not stored, or may be stored if an earlier attempt had
/// no answer. Callers do not wait for the outcome, since another instance can accept the job
/// sooner.
fn fail_waiters<P>(shared: &Shared<P>, batch: &[PendingRecord], reason: &str) {
    for item in batch {
        let Some((kind, job)) = item.waiter else {
            continue;
        };
        let result = if item.maybe_stored {
            WriteResult::Unknown
        } else {
            WriteResult::Rejected(reason.into())
        };
        shared.waiters.resolve(kind, job, &result);
    }
}

/// Returns whether this instance may append records directly to the log.
fn may_append<P: Platform>(shared: &Shared<P>) -> bool {
    let instances = shared.cell().ledger.members().count();
    may_append_directly(shared.platform.log_latency(), instances)
}

/// Forwards a batch to the leader, which may be this instance.
async fn forward<P: Platform>(shared: &Shared<P>, batch: &[PendingRecord]) -> ForwardResult {
    let records: Vec<Record> = batch.iter().map(|i| i.record.clone()).collect();
    let timeout =
        shared.platform.log_latency() * FORWARD_LATENCIES + shared.settings.forward_timeout;
    if shared.is_leading() {
        return lead::append(shared, records, timeout).await;
    }
    let leader = {
        let cell = shared.cell();
        let claim = cell.ledger.leader().filter(|c| !c.resigned);
        let mut members = cell.ledger.members();
        claim.and_then(|c| {
            members
                .find(|(name, _)| **name == c.node)
                .map(|(_, m)| m.clone())
        })
    };
    let Some(leader) = leader else {
        return ForwardResult::Not;
    };
    let result = peer::forward(&shared.peer_client, &leader, &records, timeout).await;
    shared.metrics.record_forward(result);
    result
}

/// Appends a batch without a term. Records that cannot be encoded are logged and skipped.
async fn append_directly<P: Platform>(
    shared: &Shared<P>,
    batch: &[PendingRecord],
) -> Result<(), AppendError> {
    let mut records = Vec::with_capacity(batch.len());
    for item in batch {
        match item.record.encode() {
            Ok(bytes) => records.push((item.record.key(), bytes)),
            Err(e) => {
                log::error!(key:% = item.record.key(), reason:% = e; "submit: cannot encode record");
            }
        }
    }
    let result = shared.platform.append(&records, None).await;
    shared.metrics.record_append("submit", &result);
    result
}

/// Queues records again whose callers still wait. Repeated appends are idempotent, since the log
/// keeps one record per key.
async fn retry<P: Platform>(shared: &Shared<P>, items: impl Iterator<Item = PendingRecord>) {
    let is_awaited = |i: &PendingRecord| {
        i.waiter
            .is_some_and(|(kind, job)| shared.waiters.is_pending(kind, job))
    };
    let items: Vec<PendingRecord> = items.filter(is_awaited).collect();
    if items.is_empty() {
        return;
    }
    task::sleep(shared.settings.retry_pause).await;
    for item in items {
        enqueue(&shared.submit_queue, item).await;
    }
}

/// Queues a record to be made durable. Has no effect once the instance has stopped.
pub(crate) async fn enqueue(submit_queue: &Sender<PendingRecord>, item: PendingRecord) {
    if submit_queue.send(item).await.is_err() {
        log::debug!("submit: record dropped, the instance has stopped");
    }
}
