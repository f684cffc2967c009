//! Decides when this instance begins a term.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use primrosebay_cell::ledger::Ledger;
use primrosebay_cell::record::{Claim, Record};

use crate::election_timeout::{ElectionTimeout, LastLeader};
use crate::lead::{self, millis};
use crate::platform::{AppendError, AppendId, Platform};
use crate::settings::Settings;
use crate::shared::Shared;

/// How often the instance looks whether a leader is missing.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Terms are numbered in steps of this many, and a claim takes a random number of its step. So two
/// claims at the same time never have the same number.
const EPOCH_STEP: u64 = 1_000;

/// How long an instance waits to read its own claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// Watches for the loss of the leader and leads when it is this instance's turn.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    let mut jitter = random_jitter(&shared);
    loop {
        task::sleep(CHECK_INTERVAL).await;
        if shared.is_stopping() || !is_election_due(&shared, jitter) {
            continue;
        }
        if let Some(epoch) = claim_term(&shared).await {
            lead::run(Arc::clone(&shared), epoch).await;
            // Whoever has ended the term may not have been read yet, so the own claim, which is the
            // last one that is known, does not mean that nobody leads.
            restart_timeout(&shared);
        }
        jitter = random_jitter(&shared);
    }
}

fn random_jitter<P>(shared: &Shared<P>) -> Duration {
    let max = millis(shared.settings.election_jitter);
    Duration::from_millis(rand::random_range(0..=max))
}

/// Returns how long an instance lets larger ones go first. A leader does most of the cell's work.
fn rank_delay(ledger: &Ledger, settings: &Settings) -> Duration {
    let members = ledger.members().map(|(_, member)| member.cores_milli);
    let largest = members.max().unwrap_or(0).max(1);
    let deficit = largest.saturating_sub(settings.cores_milli);
    settings.rank_delay * deficit / largest
}

/// Returns whether the log has shown no leader for so long that this instance may take over.
fn is_election_due<P: Platform>(shared: &Shared<P>, jitter: Duration) -> bool {
    let cell = shared.cell();
    let Some(caught_up) = cell.caught_up else {
        return false;
    };
    // What cannot be read proves nothing about the leader.
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
    };
    let duration = timeout.duration(&shared.settings);
    cell.leader_seen
        .is_some_and(|leader_seen| caught_up.since(leader_seen) >= millis(duration))
}

/// Waits for signs of another leader before this instance claims again.
fn restart_timeout<P>(shared: &Shared<P>) {
    let now = shared.clock.now();
    let mut cell = shared.cell();
    cell.leader_seen = Some(now);
    cell.contested = true;
}

/// Begins a term. Returns its number once the claim has been read back and no higher one is known.
async fn claim_term<P: Platform>(shared: &Shared<P>) -> Option<u64> {
    let known = shared.cell().ledger.leader().map_or(0, |c| c.epoch);
    let epoch = (known / EPOCH_STEP + 1) * EPOCH_STEP + rand::random_range(0..EPOCH_STEP);
    let claim = Claim {
        epoch,
        node: shared.settings.name.clone(),
        batch: 0,
        resigned: false,
    };
    log::info!(epoch, known; "election: no leader is heard, claims the term");
    let record = Record::Leader(claim.clone());
    let bytes = match record.encode() {
        Ok(bytes) => bytes,
        Err(e) => {
            log::error!(reason:% = e; "election: claim cannot be encoded");
            return None;
        }
    };
    let id = AppendId { epoch, sequence: 0 };
    let records = [(record.key(), bytes)];
    let result = shared.platform.append(&records, Some(id)).await;
    shared.metrics.record_append("claim", &result);
    if let Err(e) = result {
        log::warn!(epoch, reason:? = e; "election: claim failed");
        // A refused claim means that a higher one is in the log, and one without an answer may be
        // there too. Claiming again at once would only depose whoever has just begun.
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
                log::info!(epoch, other = read.epoch; "election: another instance has claimed a higher term");
                return None;
            }
            Some(read) if read == claim => return Some(epoch),
            _ => task::sleep(Duration::from_millis(5)).await,
        }
    }
    log::warn!(epoch; "election: own claim was not read back in time");
    None
}
