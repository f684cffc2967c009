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
use crate::receipts::{Kind, Receipt};
use crate::shared::Shared;
use crate::{lead, peer};

/// Most records of one append.
const RECORDS_PER_APPEND: usize = 200;

/// How many answers of the log the leader may take for an append.
const FORWARD_ANSWERS: u32 = 4;

/// What became of records that the leader was to append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Forwarded {
    /// They are in the log.
    Durable,
    /// The leader has not taken them.
    Not,
    /// They may be in the log, or may still be.
    Unknown,
}

/// A record to append.
#[derive(Debug, Clone)]
pub(crate) struct Item {
    /// Who waits for it; nobody for an instance's announcement of itself.
    pub(crate) waiter: Option<(Kind, JobKey)>,
    pub(crate) record: Record,
    /// Whether an append without an answer may have stored it already.
    pub(crate) unsure: bool,
}

/// Appends items until the instance stops. Records that arrive while the allowed number of appends
/// is in flight wait and go together.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>, items: Receiver<Item>) {
    let (permits, returned) = bounded::<()>(shared.settings.max_appends);
    while let Ok(first) = items.recv().await {
        if permits.send(()).await.is_err() {
            return;
        }
        let mut batch = vec![first];
        while batch.len() < RECORDS_PER_APPEND
            && let Ok(item) = items.try_recv()
        {
            batch.push(item);
        }
        let (shared, returned) = (Arc::clone(&shared), returned.clone());
        task::spawn(async move {
            append(&shared, batch).await;
            // Frees the permit taken above.
            let _ = returned.try_recv();
        });
    }
}

async fn append<P: Platform>(shared: &Shared<P>, mut batch: Vec<Item>) {
    let result = match forward(shared, &batch).await {
        Forwarded::Durable => Ok(()),
        Forwarded::Not if is_direct(shared) => append_here(shared, &batch).await,
        forwarded => {
            log::info!(records = batch.len(), forwarded:? = forwarded; "submit: the leader is asked again");
            for item in &mut batch {
                item.unsure |= forwarded == Forwarded::Unknown;
            }
            if shared.is_log_reachable() {
                retry(shared, batch.into_iter()).await;
            } else {
                give_up(shared, &batch, "the log cannot be reached");
            }
            return;
        }
    };
    match result {
        Ok(()) => {
            for (kind, job) in batch.into_iter().filter_map(|i| i.waiter) {
                shared.receipts.settle(kind, job, &Receipt::Durable);
            }
        }
        Err(AppendError::Unknown(reason)) => {
            log::warn!(records = batch.len(), reason:% = reason; "submit: append was not answered");
            for item in &mut batch {
                item.unsure = true;
            }
            if shared.is_log_reachable() {
                retry(shared, batch.into_iter()).await;
            } else {
                give_up(shared, &batch, &reason);
            }
        }
        Err(AppendError::Fenced | AppendError::Sequence(_)) => {
            log::error!("submit: append without a term was refused for its term");
        }
        Err(AppendError::Rejected(reason)) => {
            log::warn!(records = batch.len(), reason:% = reason; "submit: append rejected");
            let (unsure, sure): (Vec<Item>, Vec<Item>) = batch.into_iter().partition(|i| i.unsure);
            give_up(shared, &sure, &reason);
            retry(shared, unsure.into_iter()).await;
        }
    }
}

/// Tells callers that their records are not stored, or may be if an earlier try had no answer.
/// Another instance can accept the job before this one learns what became of it.
fn give_up<P>(shared: &Shared<P>, batch: &[Item], reason: &str) {
    for item in batch {
        let Some((kind, job)) = item.waiter else {
            continue;
        };
        let receipt = if item.unsure {
            Receipt::Unknown
        } else {
            Receipt::Rejected(reason.into())
        };
        shared.receipts.settle(kind, job, &receipt);
    }
}

/// Returns whether this instance may append submissions by itself.
fn is_direct<P: Platform>(shared: &Shared<P>) -> bool {
    let instances = shared.followed().ledger.members().count();
    may_append_directly(shared.platform.log_latency(), instances)
}

/// Asks the leader to append records.
async fn forward<P: Platform>(shared: &Shared<P>, batch: &[Item]) -> Forwarded {
    let records: Vec<Record> = batch.iter().map(|i| i.record.clone()).collect();
    let timeout = shared.platform.log_latency() * FORWARD_ANSWERS + shared.settings.forward_timeout;
    if shared.is_leading() {
        return lead::append(shared, records, timeout).await;
    }
    let leader = {
        let followed = shared.followed();
        let claim = followed.ledger.leader().filter(|c| !c.resigned);
        let mut members = followed.ledger.members();
        claim.and_then(|c| {
            members
                .find(|(name, _)| **name == c.node)
                .map(|(_, m)| m.clone())
        })
    };
    let Some(leader) = leader else {
        return Forwarded::Not;
    };
    let result = peer::forward(&shared.peers, &leader, &records, timeout).await;
    shared.metrics.forward(result);
    result
}

async fn append_here<P: Platform>(shared: &Shared<P>, batch: &[Item]) -> Result<(), AppendError> {
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
    shared.metrics.append("submit", &result);
    result
}

/// Appends again what somebody still waits for. An append that is carried out twice has no further
/// effect, since the log keeps one record for each key.
async fn retry<P: Platform>(shared: &Shared<P>, items: impl Iterator<Item = Item>) {
    let waits = |i: &Item| {
        i.waiter
            .is_some_and(|(kind, job)| shared.receipts.is_expected(kind, job))
    };
    let items: Vec<Item> = items.filter(waits).collect();
    if items.is_empty() {
        return;
    }
    task::sleep(shared.settings.retry_pause).await;
    for item in items {
        send(&shared.submissions, item).await;
    }
}

pub(crate) async fn send(submissions: &Sender<Item>, item: Item) {
    if submissions.send(item).await.is_err() {
        log::debug!("submit: the instance has stopped");
    }
}
