//! Upper limits of teams, divided into allowances of zones (escrow).
//!
//! The allowances depend on the applied log prefix alone. At every prefix, the allowances of a team
//! add up to at most its limit. A zone that is declared after a team starts with the part of the
//! limit that no other zone holds, because the other zones may be using their allowances; it gets
//! more by transfers.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::resources::Resources;

/// The part of a team's limit that one zone may use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Grant {
    team: Name,
    zone: Name,
    amount: Resources,
}

/// The upper limit of a team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Limit {
    team: Name,
    amount: Resources,
}

/// A declared zone with the highest epoch of its transfers and fences.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct DeclaredZone {
    zone: Name,
    epoch: u64,
}

/// The allowances of all teams in all zones at one log offset.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Allowances {
    grants: Vec<Grant>,
    limits: Vec<Limit>,
    zones: Vec<DeclaredZone>,
}

fn to_array(amount: &Resources) -> [u64; 3] {
    [amount.cores_milli, amount.memory_mib, amount.accelerators]
}

fn from_array([cores_milli, memory_mib, accelerators]: [u64; 3]) -> Resources {
    Resources {
        cores_milli,
        memory_mib,
        accelerators,
    }
}

/// Applies `f` to each dimension of two amounts.
pub(crate) fn zip_with(a: &Resources, b: &Resources, f: impl Fn(u64, u64) -> u64) -> Resources {
    let (a, b) = (to_array(a), to_array(b));
    from_array(std::array::from_fn(|i| f(a[i], b[i])))
}

/// Multiplies `amount` by `new` / `old`, rounding down.
fn scale(amount: u64, new: u64, old: u64) -> u64 {
    let scaled = u128::from(amount) * u128::from(new) / u128::from(old.max(1));
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

/// Adds equal parts to the amounts so that their sum reaches `limit`; the first amounts get the
/// remainder.
fn spread(limit: u64, amounts: &mut [u64]) {
    let spare = limit.saturating_sub(amounts.iter().sum());
    let count = amounts.len() as u64;
    for (i, amount) in (0..).zip(amounts) {
        *amount += spare / count + u64::from(i < spare % count);
    }
}

/// Multiplies the amounts by `new` / `old`, which is below 1. The units lost by rounding go to the
/// first amounts that were rounded down, so that a small limit does not become zero.
fn scale_down(amounts: &mut [u64], new: u64, old: u64) {
    let mut leftover = scale(amounts.iter().sum(), new, old);
    let parts: Vec<u64> = amounts
        .iter()
        .map(|amount| scale(*amount, new, old))
        .collect();
    leftover = leftover.saturating_sub(parts.iter().sum());
    for (amount, part) in amounts.iter_mut().zip(parts) {
        let rounded = u128::from(*amount) * u128::from(new) % u128::from(old) != 0;
        let unit = u64::from(leftover > 0 && rounded);
        leftover -= unit;
        *amount = part + unit;
    }
}

impl Allowances {
    /// Returns the allowance of `team` in `zone`; zero if the team or the zone is unknown.
    #[must_use]
    pub fn get(&self, team: &str, zone: &str) -> Resources {
        self.grant_position(team, zone)
            .map_or(Resources::ZERO, |i| self.grants[i].amount)
    }

    /// Returns the upper limit of `team`; zero if the team is unknown.
    #[must_use]
    pub fn limit(&self, team: &str) -> Resources {
        self.limits
            .binary_search_by(|limit| (*limit.team).cmp(team))
            .map_or(Resources::ZERO, |i| self.limits[i].amount)
    }

    /// Returns the sum of the allowances of `team`.
    #[must_use]
    pub fn sum(&self, team: &str) -> Resources {
        self.grants
            .iter()
            .filter(|grant| &*grant.team == team)
            .fold(Resources::ZERO, |sum, grant| sum.plus(&grant.amount))
    }

    /// Returns the part of its allowance that `zone` never transfers: half of an equal share of the
    /// limit, or the whole allowance if that is less.
    #[must_use]
    pub fn floor(&self, team: &str, zone: &str) -> Resources {
        let half = self.half_share(team);
        zip_with(&half, &self.get(team, zone), u64::min)
    }

    /// Returns the names of the teams in ascending order.
    pub fn teams(&self) -> impl Iterator<Item = &Name> {
        self.limits.iter().map(|limit| &limit.team)
    }

    /// Returns the highest epoch of the transfers and fences of `zone`; 0 if there is none.
    #[must_use]
    pub fn epoch(&self, zone: &str) -> u64 {
        self.zone_position(zone).map_or(0, |i| self.zones[i].epoch)
    }

    /// Sets the limit of `team`. A first limit and a raise are divided evenly among the zones; a
    /// lower limit reduces the allowances in proportion.
    pub fn set_limit(&mut self, team: &Name, new: &Resources) {
        let old = self.limit(team);
        match self.limits.binary_search_by(|limit| limit.team.cmp(team)) {
            Ok(i) => self.limits[i].amount = *new,
            Err(i) => {
                let limit = Limit {
                    team: team.clone(),
                    amount: *new,
                };
                self.limits.insert(i, limit);
                for at in 0..self.zones.len() {
                    let zone = self.zones[at].zone.clone();
                    self.insert_grant(team, &zone, Resources::ZERO);
                }
            }
        }
        let (old, new) = (to_array(&old), to_array(new));
        for i in 0..3 {
            match new[i].cmp(&old[i]) {
                Ordering::Greater => self.update_dimension(team, i, spread),
                Ordering::Less => self.update_dimension(team, i, |new, amounts| {
                    scale_down(amounts, new, old[i]);
                }),
                Ordering::Equal => {}
            }
        }
    }

    /// Removes `team` and its allowances.
    pub fn remove_team(&mut self, team: &str) {
        self.limits.retain(|limit| &*limit.team != team);
        self.grants.retain(|grant| &*grant.team != team);
    }

    /// Declares `zone` and assigns to it the part of each limit that no other zone holds.
    pub fn add_zone(&mut self, zone: &Name) {
        let Err(at) = self.zone_position(zone) else {
            return;
        };
        let declared = DeclaredZone {
            zone: zone.clone(),
            epoch: 0,
        };
        self.zones.insert(at, declared);
        for limit in self.limits.clone() {
            let spare = limit.amount.minus(&self.sum(&limit.team));
            self.insert_grant(&limit.team, zone, spare);
        }
    }

    /// Removes `zone` and divides its allowances evenly among the other zones.
    pub fn remove_zone(&mut self, zone: &str) {
        self.zones.retain(|declared| &*declared.zone != zone);
        self.grants.retain(|grant| &*grant.zone != zone);
        for limit in self.limits.clone() {
            for i in 0..3 {
                self.update_dimension(&limit.team, i, spread);
            }
        }
    }

    /// Transfers `amount` of the allowance of `team` from the zone `from` to the zone `to`, and
    /// returns whether the transfer took effect.
    ///
    /// A transfer with an epoch below the latest one of `from` has no effect: its append may have
    /// been delayed in the network while the next coordinator already uses the amount. A transfer
    /// of nothing from a zone to itself is a fence, which only records the epoch.
    pub fn transfer(
        &mut self,
        team: &str,
        from: &str,
        to: &str,
        amount: &Resources,
        epoch: u64,
    ) -> bool {
        let Ok(sender) = self.zone_position(from) else {
            return false;
        };
        if epoch < self.zones[sender].epoch {
            return false;
        }
        self.zones[sender].epoch = epoch;
        if from == to {
            return amount.is_zero();
        }
        let (Ok(source), Ok(target)) = (
            self.grant_position(team, from),
            self.grant_position(team, to),
        ) else {
            return false;
        };
        if !amount.fits(&self.spare(team, from)) {
            return false;
        }
        self.grants[source].amount = self.grants[source].amount.minus(amount);
        self.grants[target].amount = self.grants[target].amount.plus(amount);
        true
    }

    /// Returns the part of its allowance that `zone` may transfer: the part above the floor.
    #[must_use]
    pub fn spare(&self, team: &str, zone: &str) -> Resources {
        self.get(team, zone).minus(&self.half_share(team))
    }

    /// Returns half of an equal share of the limit, rounded down.
    fn half_share(&self, team: &str) -> Resources {
        let zones = (self.zones.len() as u64).max(1);
        from_array(to_array(&self.limit(team)).map(|amount| amount / zones / 2))
    }

    /// Changes dimension `i` of the allowances of `team` with `f`, which gets the limit and the
    /// amounts in the order of the zones.
    fn update_dimension(&mut self, team: &str, i: usize, f: impl Fn(u64, &mut [u64])) {
        let limit = to_array(&self.limit(team))[i];
        let mut grants: Vec<&mut Grant> = self
            .grants
            .iter_mut()
            .filter(|grant| &*grant.team == team)
            .collect();
        let mut amounts: Vec<u64> = grants
            .iter()
            .map(|grant| to_array(&grant.amount)[i])
            .collect();
        f(limit, &mut amounts);
        for (grant, amount) in grants.iter_mut().zip(amounts) {
            let mut dimensions = to_array(&grant.amount);
            dimensions[i] = amount;
            grant.amount = from_array(dimensions);
        }
    }

    fn insert_grant(&mut self, team: &Name, zone: &Name, amount: Resources) {
        if let Err(at) = self.grant_position(team, zone) {
            let grant = Grant {
                team: team.clone(),
                zone: zone.clone(),
                amount,
            };
            self.grants.insert(at, grant);
        }
    }

    fn grant_position(&self, team: &str, zone: &str) -> Result<usize, usize> {
        self.grants
            .binary_search_by(|grant| (&*grant.team, &*grant.zone).cmp(&(team, zone)))
    }

    fn zone_position(&self, zone: &str) -> Result<usize, usize> {
        self.zones
            .binary_search_by(|declared| (*declared.zone).cmp(zone))
    }
}
