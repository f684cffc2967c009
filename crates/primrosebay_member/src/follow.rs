//! Follows the cell's stream and builds the ledger from it.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use primrosebay_cell::job::JobKey;
use primrosebay_cell::record::{Claim, Record};
use primrosebay_state::time::Time;

use crate::lead::Event;
use crate::platform::{LogRecord, Platform, Read, ReadError, Stream};
use crate::receipts::{Kind, Receipt};
use crate::shared::{Followed, Shared};

/// What records have changed that others wait for.
#[derive(Debug, Default)]
struct Changes {
    submitted: Vec<JobKey>,
    cancelled: Vec<JobKey>,
    claim: Option<Claim>,
    members: bool,
    leader: bool,
}

/// Follows the stream until the instance stops.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    let mut lost = false;
    loop {
        let read = read(&shared).await;
        match &read {
            Ok(records) => {
                if std::mem::take(&mut lost) {
                    log::info!("follow: log is back");
                }
                if *records > 0 && !shared.is_leading() {
                    task::sleep(shared.settings.read_pause).await;
                }
            }
            Err(reason) => {
                if !std::mem::replace(&mut lost, true) {
                    log::warn!(reason:% = reason; "follow: log cannot be read");
                }
                task::sleep(shared.settings.retry_pause).await;
            }
        }
    }
}

/// Reads on once, waiting for a record for a short time. Returns the number of records read.
async fn read<P: Platform>(shared: &Shared<P>) -> Result<usize, String> {
    // Nothing is known to be missing, and no term is claimed, until a read has shown the end.
    let confirmed = shared.followed().fresh.is_some();
    let wait = if confirmed {
        shared.settings.read_wait
    } else {
        Duration::ZERO
    };
    read_on(shared, wait).await
}

/// Reads to the present end of the stream.
pub(crate) async fn catch_up<P: Platform>(shared: &Shared<P>) -> Result<(), String> {
    read_on(shared, Duration::ZERO).await.map(drop)
}

async fn read_on<P: Platform>(shared: &Shared<P>, wait: Duration) -> Result<usize, String> {
    let sent = shared.clock.now();
    let (loaded, next) = {
        let followed = shared.followed();
        (followed.loaded, followed.ledger.next())
    };
    let read = if loaded {
        shared.platform.read(Stream::Cell, next, wait).await
    } else {
        shared.platform.read_newest(Stream::Cell).await
    };
    let read = match read {
        Ok(read) => read,
        Err(ReadError::Unavailable(reason)) => return Err(reason),
        Err(ReadError::Expired) => {
            log::warn!(from = next; "follow: records have expired, the newest are read");
            shared.followed().loaded = false;
            return Ok(0);
        }
    };
    let count = read.records.len();
    apply(shared, read, sent, !loaded);
    Ok(count)
}

fn apply<P: Platform>(shared: &Shared<P>, read: Read, sent: Time, whole: bool) {
    let mut changes = Changes::default();
    let now = shared.clock.now();
    {
        let mut followed = shared.followed();
        for record in read.records {
            apply_record(&mut followed, record, &mut changes);
        }
        followed.loaded = true;
        followed.ledger.read_to(read.next);
        // What was read of the newest records may have changed meanwhile, so only a read that
        // goes on from there, and to the end, shows that nothing is missing.
        if !whole && read.next >= read.end {
            followed.fresh = followed.fresh.max(Some(sent));
        }
        if changes.leader || followed.heard.is_none() {
            followed.heard = Some(now);
            followed.contested = false;
        }
    }
    for job in &changes.submitted {
        let kind = Kind::Submission;
        shared.receipts.settle(kind, *job, &Receipt::Durable);
    }
    for job in &changes.cancelled {
        let kind = Kind::Cancellation;
        shared.receipts.settle(kind, *job, &Receipt::Durable);
    }
    if !changes.submitted.is_empty() || !changes.cancelled.is_empty() {
        shared.tell_leader(|| {
            let mut jobs = changes.submitted.clone();
            jobs.extend(&changes.cancelled);
            Event::Jobs(jobs)
        });
    }
    if changes.members {
        shared.tell_leader(|| Event::Members);
    }
    if let Some(claim) = changes.claim {
        shared.tell_leader(|| Event::Claim(claim));
    }
}

fn apply_record(followed: &mut Followed, record: LogRecord, changes: &mut Changes) {
    let Some(value) = record.value else {
        followed.ledger.remove(&record.key);
        return;
    };
    let decoded = match Record::decode(&value) {
        Ok(decoded) => decoded,
        Err(e) => {
            log::warn!(key:% = record.key, offset = record.offset, reason:% = e; "follow: record left out");
            return;
        }
    };
    let term = followed.ledger.leader().map_or(0, |l| l.epoch);
    match &decoded {
        Record::Submitted(job, _) => changes.submitted.push(*job),
        Record::Cancelled(job) => changes.cancelled.push(*job),
        Record::Progress(_, progress) => changes.leader |= progress.epoch >= term,
        Record::Leader(claim) => {
            changes.leader |= claim.epoch >= term;
            changes.claim = Some(claim.clone());
            if claim.epoch > term {
                log::info!(epoch = claim.epoch, node:% = claim.node; "follow: new leader");
            }
        }
        Record::Member(..) => changes.members = true,
    }
    followed.ledger.apply(record.offset, decoded);
}
