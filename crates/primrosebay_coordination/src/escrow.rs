//! Which part of its allowances a zone asks for and gives to other zones.
//!
//! A transfer takes effect when the giver's record is in the log. This module only decides; the
//! invariant that allowances sum to at most the limit is kept by
//! [`primrosebay_state::allowance::Allowances`].

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;

use crate::schedule::TeamUsage;

/// The least that is given at a time if there is as much. Halves alone end in fractions of a core,
/// which run no task.
const GRAIN: Resources = Resources {
    cores_milli: 1_000,
    memory_mib: 1_024,
    accelerators: 1,
};

/// What a zone asks for on behalf of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The team.
    pub team: Name,
    /// The zone that asks.
    pub zone: Name,
    /// The amount.
    pub amount: Resources,
}

/// A transfer that the zone is ready to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// The team.
    pub team: Name,
    /// The zone that receives.
    pub to: Name,
    /// The amount.
    pub amount: Resources,
}

/// Returns what the zone lacks to run its pending work, bounded by the free resources of its
/// workers, because allowance that cannot be used there may be needed elsewhere.
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

/// Returns the transfers that the zone can make to the zones that ask, without going below what
/// it uses or below `floor`.
///
/// Half of what is spare is given at a time, but not less than [`GRAIN`], so that several givers do
/// not meet the same demand many times over. Pending work of the giver counts as use.
#[must_use]
pub fn transfers(
    usage: &[TeamUsage],
    floor: impl Fn(&str) -> Resources,
    demands: &[Demand],
) -> Vec<Transfer> {
    let mut gifts = Vec::new();
    for team in usage {
        let keep = team.used.plus(&team.wanted).maximum(&floor(&team.team));
        let mut spare = team.allowance.minus(&keep);
        for demand in demands.iter().filter(|d| d.team == team.team) {
            let part = half(&spare).maximum(&GRAIN).minimum(&spare);
            let amount = demand.amount.minimum(&part);
            if amount.is_zero() {
                continue;
            }
            spare = spare.minus(&amount);
            gifts.push(Transfer {
                team: team.team.clone(),
                to: demand.zone.clone(),
                amount,
            });
        }
    }
    gifts
}

/// Rounds up, so that the last unit can be given.
fn half(amount: &Resources) -> Resources {
    amount.minus(&amount.divided(2))
}
