//! Makes durable what callers submit, many records with one call.
//!
//! Records go to the leader, which appends them with its own: a slow log takes few appends a second,
//! however many records each holds. If there is no leader the instance appends them itself, unless
//! that would fill the queue of a slow log. A leader that is reached but late still has them: it is
//! asked again, since the first sign of a slow log is that answers of the leader are late.

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

/// Most records of one append.
const MAX_APPEND_RECORDS: usize = 200;

/// How many answers of the log the leader may take for an append.
const FORWARD_LATENCIES: u32 = 4;

/// What became of records that the leader was to append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ForwardResult {
    /// They are in the log.
    Durable,
    /// The leader has not taken them.
    Not,
    /// They may be in the log, or may still be.
    Unknown,
}

/// A record to append.
#[derive(Debug, Clone)]
pub(crate) struct PendingRecord {
    /// Who waits for it; nobody for an instance's announcement of itself.
    pub(crate) waiter: Option<(WriteKind, JobKey)>,
    pub(crate) record: Record,
    /// Whether an append without an answer may have stored it already.
    pub(crate) maybe_stored: bool,
}

/// Appends items until the instance stops. Records that arrive while the allowed number of appends
/// is in flight wait and go together.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>, pending: Receiver<PendingRecord>) {
    let (acquire, release) = bounded::<()>(shared.settings.max_appends);
    while let Ok(first) = pending.recv().await {
        if acquire.send(()).await.is_err() {
            return;
        }
        let mut batch = vec![first];
        while batch.len() < MAX_APPEND_RECORDS
            && let Ok(item) = pending.try_recv()
        {
            batch.push(item);
        }
        let (shared, release) = (Arc::clone(&shared), release.clone());
        task::spawn(async move {
            append(&shared, batch).await;
            // Frees the permit taken above.
            let _ = release.try_recv();
        });
    }
}

async fn append<P: Platform>(shared: &Shared<P>, mut batch: Vec<PendingRecord>) {
    let result = match forward(shared, &batch).await {
        ForwardResult::Durable => Ok(()),
        ForwardResult::Not if may_append(shared) => append_directly(shared, &batch).await,
        result => {
            log::info!(records = batch.len(), forwarded:? = result; "submit: the leader is asked again");
            for item in &mut batch {
                item.maybe_stored |= result == ForwardResult::Unknown;
            }
            if shared.is_log_reachable() {
                retry(shared, batch.into_iter()).await;
            } else {
                fail_waiters(shared, &batch, "the log cannot be reached");
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
            log::warn!(records = batch.len(), reason:% = reason; "submit: append was not answered");
            for item in &mut batch {
                item.maybe_stored = true;
            }
            if shared.is_log_reachable() {
                retry(shared, batch.into_iter()).await;
            } else {
                fail_waiters(shared, &batch, &reason);
            }
        }
        Err(AppendError::Fenced | AppendError::Sequence(_)) => {
            log::error!("submit: append without a term was refused for its term");
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

/// Tells callers that their records are not stored, or may be if an earlier try had no answer.
/// Another instance can accept the job before this one learns what became of it.
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

/// Returns whether this instance may append submissions by itself.
fn may_append<P: Platform>(shared: &Shared<P>) -> bool {
    let instances = shared.cell().ledger.members().count();
    may_append_directly(shared.platform.log_latency(), instances)
}

/// Asks the leader to append records.
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

async fn append_directly<P: Platform>(
    shared: &Shared<P>,
    batch: &[PendingRecord],
) -> Result<(), AppendError> {
    let mut records = Vec::with_capacity(batch.len());
    for item in batch {
        match item.record.encode() {
            Ok(bytes) => records.push((item.record.key(), bytes)),
            Err(e) => {
                log::error!(key:% = item.record.key(), reason:% = e; "submit: record cannot be encoded");
            }
        }
    }
    let result = shared.platform.append(&records, None).await;
    shared.metrics.record_append("submit", &result);
    result
}

/// Appends again what somebody still waits for. An append that is carried out twice has no further
/// effect, since the log keeps one record for each key.
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

pub(crate) async fn enqueue(submit_queue: &Sender<PendingRecord>, item: PendingRecord) {
    if submit_queue.send(item).await.is_err() {
        log::debug!("submit: the instance has stopped");
    }
}
