//! Moves unused allowance to the zones that ask for it.

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

/// How often a zone looks whether it can give.
const PERIOD: Duration = Duration::from_millis(500);
/// How often a zone looks for a new term. Urgent work waits for it after a takeover.
const FENCE_POLL: Duration = Duration::from_millis(20);
/// How often a recorded transfer is looked for in the configuration.
const READ_POLL: Duration = Duration::from_millis(10);

/// Transfers that a zone has made and that are not yet in its configuration.
#[derive(Debug, Default)]
pub struct Pending {
    amounts: Mutex<Vec<(Name, Resources)>>,
}

impl Pending {
    /// Returns what of the allowance of `team` has been given away already.
    pub fn of(&self, team: &str) -> Resources {
        let amounts = self.amounts.lock().unwrap_or_else(PoisonError::into_inner);
        amounts
            .iter()
            .filter(|(name, _)| **name == *team)
            .fold(Resources::ZERO, |sum, (_, amount)| sum.plus(amount))
    }

    pub(crate) fn add(&self, team: &Name, amount: Resources) {
        let mut amounts = self.amounts.lock().unwrap_or_else(PoisonError::into_inner);
        amounts.push((team.clone(), amount));
    }

    fn remove(&self, team: &Name, amount: &Resources) {
        let mut amounts = self.amounts.lock().unwrap_or_else(PoisonError::into_inner);
        let found = amounts
            .iter()
            .position(|(name, known)| name == team && known == amount);
        if let Some(at) = found {
            amounts.swap_remove(at);
        }
    }
}

/// Records a fence whenever this instance has claimed the zone, and lets the zone start tasks
/// once it has been read back.
///
/// A predecessor may have given allowance away by a record that is still on its way to the log. A
/// transfer of an earlier term that reaches the log after the fence has no effect, so from then on
/// the allowances that were read are all there is.
pub(crate) async fn fence(shared: Weak<Shared>, zone: Arc<Zone>) {
    while let Some(shared) = shared.upgrade() {
        if let Some(held) = zone.authority().filter(|_| !zone.is_fenced()) {
            let id = shared.publisher.next_id();
            let body = Escrow::new(&zone.name, held.epoch, id).fence();
            if let Ok(offset) = shared.publisher.append(CONFIG_STREAM, body).await {
                wait_read(&shared, offset).await;
                zone.set_fenced(held.tenure);
                zone.update_config(&shared);
            }
        }
        drop(shared);
        task::sleep(FENCE_POLL).await;
    }
}

/// Waits until the record at `offset` is in the configuration.
async fn wait_read(shared: &Shared, offset: u64) {
    while shared.config().next <= offset {
        task::sleep(READ_POLL).await;
    }
}

/// Returns what the zone asks its peers for.
pub(crate) fn asked(zone: &Zone) -> Vec<peer::Demand> {
    let found = zone.read(|coordinator| {
        let scheduler = coordinator.scheduler();
        demands(&zone.name, &scheduler.usage(), &scheduler.free())
    });
    found
        .into_iter()
        .map(|demand| peer::Demand {
            team: demand.team,
            zone: demand.zone,
            amount: demand.amount,
        })
        .collect()
}

/// Gives what is spare to other zones for as long as the instance exists.
pub(crate) async fn give(shared: Weak<Shared>, zone: Arc<Zone>) {
    while let Some(shared) = shared.upgrade() {
        // Without the log no transfer can be recorded, so none is begun.
        if let Some(epoch) = zone.epoch()
            && zone.is_fenced()
            && shared.status() == Status::Fresh
        {
            for gift in choose(&shared, &zone) {
                task::spawn(record(Arc::clone(&shared), Arc::clone(&zone), gift, epoch));
            }
        }
        drop(shared);
        task::sleep(PERIOD).await;
    }
}

/// Takes the allowances that can be given from the coordinator.
fn choose(shared: &Shared, zone: &Arc<Zone>) -> Vec<Transfer> {
    let asked = asked_by_peers(shared, &zone.name);
    if asked.is_empty() {
        return Vec::new();
    }
    let config = shared.config();
    let allowances = config.allowances();
    zone.take_gifts(shared, |usage| {
        transfers(usage, |team| allowances.floor(team, &zone.name), &asked)
    })
}

fn asked_by_peers(shared: &Shared, own: &str) -> Vec<Demand> {
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

/// Records a transfer, with as many tries as it takes, because it counts as made from the moment
/// when the coordinator gave the allowance up.
async fn record(shared: Arc<Shared>, zone: Arc<Zone>, gift: Transfer, epoch: u64) {
    let body = Body::Allowance {
        team: gift.team.clone(),
        from: zone.name.clone(),
        to: gift.to,
        amount: gift.amount,
        epoch,
    };
    let offset = loop {
        match shared
            .publisher
            .append_without_timeout(CONFIG_STREAM, body.clone())
            .await
        {
            Ok(offset) => break offset,
            Err(_) => task::sleep(PERIOD).await,
        }
    };
    wait_read(&shared, offset).await;
    zone.pending.remove(&gift.team, &gift.amount);
    zone.update_config(&shared);
}
