//! Transfers of unused allowance to zones that ask for it.

use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use async_std::task;
use primrosebay_coordination::escrow::{Demand, Transfer, demands, transfers};
use primrosebay_coordination::freshness::Status;
use primrosebay_protocol::log::CONFIG_STREAM;
use primrosebay_protocol::peer;
use primrosebay_state::Name;
use primrosebay_state::escrow::Escrow;
use primrosebay_state::record::Body;
use primrosebay_state::resources::Resources;

use crate::shared::Shared;
use crate::zones::Zone;

/// Interval between rounds of transfers, and pause before a failed append of one is retried.
const TRANSFER_PERIOD: Duration = Duration::from_millis(500);
/// Interval between checks for a claim without a fence. It is short because urgent work waits for
/// the fence after a takeover.
const FENCE_POLL: Duration = Duration::from_millis(20);
/// Interval between checks whether the configuration has reached an offset.
const READ_POLL: Duration = Duration::from_millis(10);

/// Transfers that a zone has made and that its configuration does not show yet.
#[derive(Debug, Default)]
pub struct PendingTransfers {
    amounts: Mutex<Vec<(Name, Resources)>>,
}

impl PendingTransfers {
    /// Returns the sum of the pending transfers from the allowance of `team`.
    pub fn amount(&self, team: &str) -> Resources {
        let amounts = self.amounts.lock().unwrap_or_else(PoisonError::into_inner);
        amounts
            .iter()
            .filter(|(name, _)| **name == *team)
            .fold(Resources::ZERO, |sum, (_, amount)| sum.plus(amount))
    }

    /// Adds a transfer that the coordinator has reserved.
    pub(crate) fn add(&self, team: &Name, amount: Resources) {
        let mut amounts = self.amounts.lock().unwrap_or_else(PoisonError::into_inner);
        amounts.push((team.clone(), amount));
    }

    /// Removes a transfer that the configuration shows now.
    fn remove(&self, team: &Name, amount: &Resources) {
        let mut amounts = self.amounts.lock().unwrap_or_else(PoisonError::into_inner);
        let position = amounts
            .iter()
            .position(|(name, known)| name == team && known == amount);
        if let Some(at) = position {
            amounts.swap_remove(at);
        }
    }
}

/// Appends a fence whenever this instance has claimed the zone, and lets the zone start tasks once
/// the fence has been read back.
///
/// A transfer by a predecessor may still be on its way to the log. A transfer of an earlier term
/// that reaches the log after the fence has no effect, so the allowances read up to the fence are
/// complete.
pub(crate) async fn maintain_fence(shared: Weak<Shared>, zone: Arc<Zone>) {
    while let Some(shared) = shared.upgrade() {
        if let Some(authority) = zone.authority().filter(|_| !zone.is_fenced()) {
            let id = shared.publisher.next_id();
            let body = Escrow::new(&zone.name, authority.epoch, id).fence();
            if let Ok(offset) = shared.publisher.append(CONFIG_STREAM, body).await {
                wait_applied(&shared, offset).await;
                zone.set_fenced(authority.tenure);
                zone.update_config(&shared);
            }
        }
        drop(shared);
        task::sleep(FENCE_POLL).await;
    }
}

/// Waits until the configuration includes the record at `offset`.
async fn wait_applied(shared: &Shared, offset: u64) {
    while shared.config().next <= offset {
        task::sleep(READ_POLL).await;
    }
}

/// Returns the allowance that the zone asks its peers for.
pub(crate) fn zone_demand(zone: &Zone) -> Vec<peer::Demand> {
    let own = zone.read(|coordinator| {
        let scheduler = coordinator.scheduler();
        demands(&zone.name, &scheduler.usage(), &scheduler.free())
    });
    own.into_iter()
        .map(|demand| peer::Demand {
            team: demand.team,
            zone: demand.zone,
            amount: demand.amount,
        })
        .collect()
}

/// Transfers spare allowance to other zones until the instance is dropped.
pub(crate) async fn run_transfers(shared: Weak<Shared>, zone: Arc<Zone>) {
    while let Some(shared) = shared.upgrade() {
        // No transfer is started while the log is unreachable, since it could not be recorded.
        if let Some(epoch) = zone.epoch()
            && zone.is_fenced()
            && shared.status() == Status::Fresh
        {
            for transfer in choose_transfers(&shared, &zone) {
                task::spawn(record_transfer(
                    Arc::clone(&shared),
                    Arc::clone(&zone),
                    transfer,
                    epoch,
                ));
            }
        }
        drop(shared);
        task::sleep(TRANSFER_PERIOD).await;
    }
}

/// Chooses the transfers to make, and lowers the allowances in the coordinator by them.
fn choose_transfers(shared: &Shared, zone: &Arc<Zone>) -> Vec<Transfer> {
    let requested = peer_demands(shared, &zone.name);
    if requested.is_empty() {
        return Vec::new();
    }
    let config = shared.config();
    let allowances = config.allowances();
    zone.reserve_transfers(shared, |usage| {
        transfers(usage, |team| allowances.floor(team, &zone.name), &requested)
    })
}

/// Returns the demand of other zones as reported in the heartbeats of peers.
fn peer_demands(shared: &Shared, own: &str) -> Vec<Demand> {
    let view = shared.peers().map_or_else(Vec::new, |peers| peers.view());
    let demands = view.into_iter().flat_map(|peer| peer.summary.demand);
    demands
        .filter(|demand| *demand.zone != *own)
        .map(|demand| Demand {
            team: demand.team,
            zone: demand.zone,
            amount: demand.amount,
        })
        .collect()
}

/// Appends a transfer, retrying until the append succeeds: the transfer counts as made since the
/// coordinator lowered its allowance.
async fn record_transfer(shared: Arc<Shared>, zone: Arc<Zone>, transfer: Transfer, epoch: u64) {
    let body = Body::Allowance {
        team: transfer.team.clone(),
        from: zone.name.clone(),
        to: transfer.to,
        amount: transfer.amount,
        epoch,
    };
    let offset = loop {
        match shared
            .publisher
            .append_without_timeout(CONFIG_STREAM, body.clone())
            .await
        {
            Ok(offset) => break offset,
            Err(_) => task::sleep(TRANSFER_PERIOD).await,
        }
    };
    wait_applied(&shared, offset).await;
    zone.pending_transfers
        .remove(&transfer.team, &transfer.amount);
    zone.update_config(&shared);
}
