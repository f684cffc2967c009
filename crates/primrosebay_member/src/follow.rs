//! Follows the cell's stream and applies its records to the ledger.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use primrosebay_cell::job::JobKey;
use primrosebay_cell::record::{Claim, Record};
use primrosebay_state::time::Time;

use crate::lead::Event;
use crate::platform::{LogRecord, Platform, Read, ReadError, Stream};
use crate::shared::{CellState, Shared};
use crate::waiters::{WriteKind, WriteResult};

/// The effects of the records of one read, for notifying waiting callers and the leader.
#[derive(Debug, Default)]
struct Changes {
    submitted: Vec<JobKey>,
    cancelled: Vec<JobKey>,
    /// Jobs of which the end was read.
    ended: Vec<JobKey>,
    claim: Option<Claim>,
    members: bool,
    /// Whether a record of the current leader or of a newer one was read.
    leader_active: bool,
}

/// Follows the cell's stream until the task is cancelled.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    let mut unreachable = false;
    loop {
        if !shared.follows_log() {
            task::sleep(shared.settings.tick_interval).await;
            continue;
        }
        let read = poll(&shared).await;
        match &read {
            Ok(records) => {
                if std::mem::take(&mut unreachable) {
                    log::info!("follow: log is readable again");
                }
                if *records > 0 && !shared.is_leading() {
                    pause(&shared).await;
                }
            }
            Err(reason) => {
                if !std::mem::replace(&mut unreachable, true) {
                    log::warn!(reason:% = reason; "follow: cannot read log");
                }
                task::sleep(shared.settings.retry_pause).await;
            }
        }
    }
}

/// Pauses between two reads, less long while callers wait for the end of a job.
async fn pause<P>(shared: &Shared<P>) {
    let settings = &shared.settings;
    task::sleep(settings.awaited_pause).await;
    if !shared.waiters.awaits_end() {
        let rest = settings.read_pause.saturating_sub(settings.awaited_pause);
        let _ = async_std::future::timeout(rest, shared.end_awaited.1.recv()).await;
    }
}

/// Reads the next records, with a long poll if the stream has been read to its end before. Returns
/// the number of records read.
async fn poll<P: Platform>(shared: &Shared<P>) -> Result<usize, String> {
    // Until a read has reached the end, the instance can neither answer for unknown jobs nor claim
    // the leadership, so these reads do not wait.
    let confirmed = shared.cell().caught_up.is_some();
    let wait = if confirmed {
        shared.settings.read_wait
    } else {
        Duration::ZERO
    };
    read_next(shared, wait).await
}

/// Reads the next records without waiting for new ones. Returns the reason if the read fails.
pub(crate) async fn catch_up<P: Platform>(shared: &Shared<P>) -> Result<(), String> {
    read_next(shared, Duration::ZERO).await.map(drop)
}

/// Reads and applies the next records, or the snapshot of the newest records if none is loaded.
/// Returns the number of records read.
async fn read_next<P: Platform>(shared: &Shared<P>, wait: Duration) -> Result<usize, String> {
    let sent = shared.clock.now();
    let (loaded, next) = {
        let cell = shared.cell();
        (cell.loaded, cell.ledger.next_offset())
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
            log::warn!(from = next; "follow: records expired before they were read, loading a snapshot");
            shared.cell().loaded = false;
            return Ok(0);
        }
    };
    let count = read.records.len();
    apply(shared, read, sent, !loaded);
    Ok(count)
}

/// Applies the records of a read that was sent at `sent`, then notifies waiting callers and the
/// leader.
fn apply<P: Platform>(shared: &Shared<P>, read: Read, sent: Time, is_snapshot: bool) {
    let mut changes = Changes::default();
    let now = shared.clock.now();
    if !shared.follows_log() {
        return;
    }
    {
        let mut cell = shared.cell();
        if is_snapshot {
            cell.terms.clear();
        }
        for record in read.records {
            apply_record(&mut cell, record, now, &mut changes);
        }
        cell.loaded = true;
        cell.ledger.advance_to(read.next);
        // Records may be replaced while a snapshot is read, so the state is complete only after a
        // further read that reaches the end of the stream.
        if !is_snapshot && read.next >= read.end {
            cell.caught_up = cell.caught_up.max(Some(sent));
        }
        if changes.leader_active || cell.timeout_start.is_none() {
            cell.timeout_start = Some(now);
            cell.contested = false;
        }
    }
    for job in &changes.submitted {
        let kind = WriteKind::Submission;
        shared.waiters.resolve(kind, *job, &WriteResult::Durable);
    }
    for job in &changes.cancelled {
        let kind = WriteKind::Cancellation;
        shared.waiters.resolve(kind, *job, &WriteResult::Durable);
    }
    for job in &changes.ended {
        let kind = WriteKind::End;
        shared.waiters.resolve(kind, *job, &WriteResult::Durable);
    }
    if !changes.submitted.is_empty() || !changes.cancelled.is_empty() {
        shared.notify_leader(|| {
            let mut jobs = changes.submitted.clone();
            jobs.extend(&changes.cancelled);
            Event::JobsChanged(jobs)
        });
    }
    if changes.members {
        shared.notify_leader(|| Event::MembersChanged);
    }
    if let Some(claim) = changes.claim {
        shared.notify_leader(|| Event::ClaimRead(claim));
    }
}

fn apply_record(cell: &mut CellState, record: LogRecord, now: Time, changes: &mut Changes) {
    let Some(value) = record.value else {
        cell.ledger.remove(&record.key);
        return;
    };
    let decoded = match Record::read(&record.key, &value) {
        Ok(decoded) => decoded,
        Err(e) => {
            if let Some(left_out) = cell.odd_records.admit(Instant::now()) {
                log::warn!(key:% = record.key, offset = record.offset, reason:% = e, left_out; "follow: undecodable record skipped");
            }
            return;
        }
    };
    let epoch = cell.ledger.leader().map_or(0, |l| l.epoch);
    match &decoded {
        Record::Submitted(job, _) => changes.submitted.push(*job),
        Record::Cancelled(job) | Record::Withdrawn(job, _) => changes.cancelled.push(*job),
        Record::Progress(job, progress) => {
            changes.leader_active |= progress.epoch >= epoch;
            if progress.outcome.is_some() {
                changes.ended.push(*job);
            }
        }
        Record::Leader(claim) => {
            changes.leader_active |= claim.epoch >= epoch;
            changes.claim = Some(claim.clone());
            cell.terms.observe(claim, now);
            if claim.epoch > epoch {
                log::info!(epoch = claim.epoch, node:% = claim.node; "follow: new leader");
            }
        }
        Record::Member(..) => changes.members = true,
        Record::Queue(_) | Record::Durations(..) => {}
    }
    cell.ledger.apply(record.offset, decoded);
}
