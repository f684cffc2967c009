//! Transfers of team allowances between zones: what a zone requests and what it can give.
//!
//! A transfer takes effect once the giving zone's record of it is in the log. This module only
//! decides; [`primrosebay_state::allowance::Allowances`] maintains the invariant that the
//! allowances of a team sum to at most its limit.

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;

use crate::schedule::TeamUsage;

/// Amount that a transfer may take even if it exceeds half of the spare allowance. Repeated halving
/// alone ends in fractions of a core, which run no task.
const MIN_OFFER: Resources = Resources {
    cores_milli: 1_000,
    memory_mib: 1_024,
    accelerators: 1,
};

/// A zone's request for more allowance of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// Team whose allowance is requested.
    pub team: Name,
    /// Zone that requests the allowance.
    pub zone: Name,
    /// Allowance that the zone lacks to run its pending work.
    pub amount: Resources,
}

/// A transfer of allowance that the zone can make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// Team whose allowance is transferred.
    pub team: Name,
    /// Zone that receives the allowance.
    pub to: Name,
    /// Amount of allowance to transfer; at most the requested amount, and not zero.
    pub amount: Resources,
}

/// Returns the allowance that `zone` lacks to run its pending work, for each team that lacks any.
/// Only pending work that fits into `free`, the free resources of the zone's workers, counts:
/// allowance that the zone cannot use may be needed elsewhere.
#[must_use]
pub fn demands(zone: &Name, usage: &[TeamUsage], free: &Resources) -> Vec<Demand> {
    usage
        .iter()
        .filter_map(|team| {
            let usable = team.wanted.minimum(free);
            let amount = team.used.plus(&usable).minus(&team.allowance);
            (!amount.is_zero()).then(|| Demand {
                team: team.team.clone(),
                zone: zone.clone(),
                amount,
            })
        })
        .collect()
}

/// Returns the transfers that the zone can make to meet `demands`. The zone keeps the allowance for
/// its running and pending work, and at least `floor` of the team.
///
/// A transfer takes at most half of the spare allowance, or `MIN_OFFER` if that is more, so that
/// several zones do not meet the same demand many times over.
#[must_use]
pub fn transfers(
    usage: &[TeamUsage],
    floor: impl Fn(&str) -> Resources,
    demands: &[Demand],
) -> Vec<Transfer> {
    let mut transfers = Vec::new();
    for team in usage {
        let reserved = team.used.plus(&team.wanted).maximum(&floor(&team.team));
        let mut spare = team.allowance.minus(&reserved);
        for demand in demands.iter().filter(|d| d.team == team.team) {
            let offered = half(&spare).maximum(&MIN_OFFER).minimum(&spare);
            let amount = demand.amount.minimum(&offered);
            if amount.is_zero() {
                continue;
            }
            spare = spare.minus(&amount);
            transfers.push(Transfer {
                team: team.team.clone(),
                to: demand.zone.clone(),
                amount,
            });
        }
    }
    transfers
}

/// Returns half of `amount`, rounded up so that the last unit can be transferred.
fn half(amount: &Resources) -> Resources {
    amount.minus(&amount.divided(2))
}
