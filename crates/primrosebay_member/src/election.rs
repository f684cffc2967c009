//! Detects the loss of the leader and claims the leadership.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::task;
use primrosebay_cell::ledger::Ledger;
use primrosebay_cell::record::{Claim, LeaseWaits, Record};

use crate::election_timeout::{ElectionTimeout, LastLeader};
use crate::lead::{self, millis};
use crate::platform::{AppendError, AppendId, Platform};
use crate::settings::Settings;
use crate::shared::Shared;

/// Interval of checking whether the election timeout has expired.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Size of the range of epochs from which each claim draws a random one, which makes it unlikely
/// that simultaneous claims have the same epoch.
const EPOCH_STEP: u64 = 1_000;

/// Time limit for reading back the instance's own claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// Claims the leadership whenever the election timeout expires, and leads if the claim succeeds.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    let mut jitter = random_jitter(&shared);
    loop {
        task::sleep(CHECK_INTERVAL).await;
        if shared.is_stopping() || !is_election_due(&shared, jitter) {
            continue;
        }
        let claimed = shared.clock.now();
        let epoch = claim_term(&shared).await;
        if let Some(epoch) = epoch {
            lead::run(Arc::clone(&shared), epoch, claimed).await;
            // The last known claim is this instance's own, but the claim of the instance that ended
            // the term may not have been read yet. The full election timeout has to pass first.
            restart_timeout(&shared);
        }
        shared.leading_epoch.store(0, Ordering::SeqCst);
        jitter = random_jitter(&shared);
    }
}

/// Returns a random delay of up to the maximum election jitter.
fn random_jitter<P>(shared: &Shared<P>) -> Duration {
    let max = millis(shared.settings.election_jitter);
    Duration::from_millis(rand::random_range(0..=max))
}

/// Returns the delay by which this instance lets larger ones claim first, since the leader does
/// most of the cell's work. The delay grows with the difference from the largest CPU share.
fn rank_delay(ledger: &Ledger, settings: &Settings) -> Duration {
    let members = ledger.members().map(|(_, member)| member.cores_milli);
    let largest = members.max().unwrap_or(0).max(1);
    let deficit = largest.saturating_sub(settings.cores_milli);
    settings.rank_delay * deficit / largest
}

/// Returns whether the election timeout has expired, so that this instance may claim the
/// leadership.
fn is_election_due<P: Platform>(shared: &Shared<P>, jitter: Duration) -> bool {
    let configured = shared.operators().caught_up.is_some();
    let cell = shared.cell();
    let Some(caught_up) = cell.caught_up else {
        return false;
    };
    // Without recent reads, a missing record of the leader does not mean that the leader is gone.
    if !shared.is_fresh(Some(caught_up), 2 * shared.settings.read_wait + jitter) {
        return false;
    }
    let last_leader = match cell.ledger.leader() {
        None => LastLeader::None,
        Some(claim) if claim.resigned => LastLeader::Resigned,
        Some(claim) if claim.node == shared.settings.name => LastLeader::Own,
        Some(_) => LastLeader::Other,
    };
    let timeout = ElectionTimeout {
        last_leader,
        contested: cell.contested,
        log_latency: shared.platform.log_latency(),
        jitter,
        rank_delay: rank_delay(&cell.ledger, &shared.settings),
        configured,
    };
    let duration = timeout.duration(&shared.settings);
    cell.timeout_start
        .is_some_and(|start| caught_up.since(start) >= millis(duration))
}

/// Restarts the election timeout at its full length.
fn restart_timeout<P>(shared: &Shared<P>) {
    let now = shared.clock.now();
    let mut cell = shared.cell();
    cell.timeout_start = Some(now);
    cell.contested = true;
}

/// Claims the leadership for a new term. Returns the epoch once the claim has been read back and no
/// higher one is known.
async fn claim_term<P: Platform>(shared: &Shared<P>) -> Option<u64> {
    let known = shared.cell().ledger.leader().map_or(0, |c| c.epoch);
    let epoch = (known / EPOCH_STEP + 1) * EPOCH_STEP + rand::random_range(0..EPOCH_STEP);
    let claim = Claim {
        epoch,
        node: shared.settings.name.clone(),
        batch: 0,
        resigned: false,
        process: shared.own_process(),
        waits: LeaseWaits::default(),
    };
    shared.leading_epoch.store(epoch, Ordering::SeqCst);
    log::info!(epoch, known; "election: election timeout expired, claiming leadership");
    let record = Record::Leader(claim.clone());
    let bytes = match record.encode() {
        Ok(bytes) => bytes,
        Err(e) => {
            log::error!(reason:% = e; "election: cannot encode claim");
            return None;
        }
    };
    let id = AppendId { epoch, sequence: 0 };
    let records = [(record.key(), bytes)];
    let result = shared.platform.append(&records, Some(id)).await;
    shared.metrics.record_append("claim", &result);
    if let Err(e) = result {
        log::warn!(epoch, reason:? = e; "election: claim failed");
        // A fenced claim means that a higher one is in the log, and an unanswered claim may be in
        // the log as well. A new claim at once would depose the leader that has just begun.
        if !matches!(e, AppendError::Rejected(_)) {
            restart_timeout(shared);
        }
        return None;
    }
    let deadline = shared.clock.now() + millis(CLAIM_TIMEOUT);
    while shared.clock.now() < deadline {
        let leader = shared.cell().ledger.leader().cloned();
        match leader {
            Some(read) if read.epoch > epoch => {
                log::info!(epoch, other = read.epoch; "election: lost to a claim of a higher term");
                return None;
            }
            Some(read) if read == claim => return Some(epoch),
            _ => task::sleep(Duration::from_millis(5)).await,
        }
    }
    log::warn!(epoch; "election: own claim not read back in time");
    None
}
