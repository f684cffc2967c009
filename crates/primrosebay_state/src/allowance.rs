//! Upper limits of teams, held in escrow as allowances of zones.
//!
//! All allowances follow from the log prefix alone, and their sum is at most the limit at every
//! prefix. A zone that is declared after a team starts with what no other zone holds, because the
//! others may be using their parts; it gets more by transfers.

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

/// A declared zone with the highest term in which it gave.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Giver {
    zone: Name,
    epoch: u64,
}

/// The allowances of all teams in all zones at one log offset.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Allowances {
    grants: Vec<Grant>,
    limits: Vec<Limit>,
    zones: Vec<Giver>,
}

fn split(amount: &Resources) -> [u64; 3] {
    [amount.cores_milli, amount.memory_mib, amount.accelerators]
}

fn join([cores_milli, memory_mib, accelerators]: [u64; 3]) -> Resources {
    Resources {
        cores_milli,
        memory_mib,
        accelerators,
    }
}

/// Applies `f` to each dimension of two amounts.
pub(crate) fn zip(a: &Resources, b: &Resources, f: impl Fn(u64, u64) -> u64) -> Resources {
    let (a, b) = (split(a), split(b));
    join(std::array::from_fn(|i| f(a[i], b[i])))
}

/// Returns the part `new` / `old` of `amount`, rounded down.
fn scale(amount: u64, new: u64, old: u64) -> u64 {
    let part = u128::from(amount) * u128::from(new) / u128::from(old.max(1));
    u64::try_from(part).unwrap_or(u64::MAX)
}

/// Spreads what is missing up to `limit` evenly; the first amounts get the remainder.
fn spread(limit: u64, amounts: &mut [u64]) {
    let spare = limit.saturating_sub(amounts.iter().sum());
    let count = amounts.len() as u64;
    for (i, amount) in (0..).zip(amounts) {
        *amount += spare / count + u64::from(i < spare % count);
    }
}

/// Reduces the amounts by the factor `new` / `old`. What rounding leaves over goes in units to the
/// first amounts that lost a fraction, so that a small limit is not rounded away.
fn reduce(amounts: &mut [u64], new: u64, old: u64) {
    let mut rest = scale(amounts.iter().sum(), new, old);
    let parts: Vec<u64> = amounts.iter().map(|all| scale(*all, new, old)).collect();
    rest = rest.saturating_sub(parts.iter().sum());
    for (amount, part) in amounts.iter_mut().zip(parts) {
        let inexact = u128::from(*amount) * u128::from(new) % u128::from(old) != 0;
        let unit = u64::from(rest > 0 && inexact);
        rest -= unit;
        *amount = part + unit;
    }
}

impl Allowances {
    /// Returns what `zone` may use of the limit of `team`.
    #[must_use]
    pub fn get(&self, team: &str, zone: &str) -> Resources {
        self.position(team, zone)
            .map_or(Resources::ZERO, |i| self.grants[i].amount)
    }

    /// Returns the upper limit of `team`; an unknown team has none of anything.
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

    /// Returns what `zone` never gives away: half of the even part of the limit, or what it has if
    /// that is less.
    #[must_use]
    pub fn floor(&self, team: &str, zone: &str) -> Resources {
        let half = self.half(team);
        zip(&half, &self.get(team, zone), u64::min)
    }

    /// Returns the names of the teams.
    pub fn teams(&self) -> impl Iterator<Item = &Name> {
        self.limits.iter().map(|limit| &limit.team)
    }

    /// Returns the highest term in which `zone` gave or fenced.
    #[must_use]
    pub fn epoch(&self, zone: &str) -> u64 {
        self.zone(zone).map_or(0, |i| self.zones[i].epoch)
    }

    /// Sets the limit of `team`. A new limit is split evenly, a raise is spread evenly, and a lower
    /// limit reduces the allowances in proportion.
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
                    self.insert(team, &zone, Resources::ZERO);
                }
            }
        }
        let (old, new) = (split(&old), split(new));
        for i in 0..3 {
            match new[i].cmp(&old[i]) {
                Ordering::Greater => self.update(team, i, spread),
                Ordering::Less => self.update(team, i, |new, amounts| {
                    reduce(amounts, new, old[i]);
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

    /// Declares `zone`. It gets what no other zone holds.
    pub fn add_zone(&mut self, zone: &Name) {
        let Err(at) = self.zone(zone) else {
            return;
        };
        let giver = Giver {
            zone: zone.clone(),
            epoch: 0,
        };
        self.zones.insert(at, giver);
        for limit in self.limits.clone() {
            let spare = limit.amount.minus(&self.sum(&limit.team));
            self.insert(&limit.team, zone, spare);
        }
    }

    /// Removes `zone` and spreads its allowances over the other zones.
    pub fn remove_zone(&mut self, zone: &str) {
        self.zones.retain(|giver| &*giver.zone != zone);
        self.grants.retain(|grant| &*grant.zone != zone);
        for limit in self.limits.clone() {
            for i in 0..3 {
                self.update(&limit.team, i, spread);
            }
        }
    }

    /// Transfers `amount` from one zone to another and returns whether it took effect.
    ///
    /// A record of an older term than the giver's latest has no effect: the successor may already
    /// use what an append of its predecessor, delayed in the network, gives away. A transfer of
    /// nothing to the zone itself only records the term.
    pub fn transfer(
        &mut self,
        team: &str,
        from: &str,
        to: &str,
        amount: &Resources,
        epoch: u64,
    ) -> bool {
        let Ok(giver) = self.zone(from) else {
            return false;
        };
        if epoch < self.zones[giver].epoch {
            return false;
        }
        self.zones[giver].epoch = epoch;
        if from == to {
            return amount.is_zero();
        }
        let (Ok(source), Ok(target)) = (self.position(team, from), self.position(team, to)) else {
            return false;
        };
        if !amount.fits(&self.spare(team, from)) {
            return false;
        }
        self.grants[source].amount = self.grants[source].amount.minus(amount);
        self.grants[target].amount = self.grants[target].amount.plus(amount);
        true
    }

    /// Returns what `zone` may give away: its allowance above the floor.
    #[must_use]
    pub fn spare(&self, team: &str, zone: &str) -> Resources {
        self.get(team, zone).minus(&self.half(team))
    }

    fn half(&self, team: &str) -> Resources {
        let zones = (self.zones.len() as u64).max(1);
        join(split(&self.limit(team)).map(|all| all / zones / 2))
    }

    /// Replaces dimension `i` of the allowances of `team` by what `f` makes of the limit and the
    /// amounts by zone.
    fn update(&mut self, team: &str, i: usize, f: impl Fn(u64, &mut [u64])) {
        let limit = split(&self.limit(team))[i];
        let mut own: Vec<&mut Grant> = self
            .grants
            .iter_mut()
            .filter(|grant| &*grant.team == team)
            .collect();
        let mut amounts: Vec<u64> = own.iter().map(|grant| split(&grant.amount)[i]).collect();
        f(limit, &mut amounts);
        for (grant, amount) in own.iter_mut().zip(amounts) {
            let mut dims = split(&grant.amount);
            dims[i] = amount;
            grant.amount = join(dims);
        }
    }

    fn insert(&mut self, team: &Name, zone: &Name, amount: Resources) {
        if let Err(at) = self.position(team, zone) {
            let grant = Grant {
                team: team.clone(),
                zone: zone.clone(),
                amount,
            };
            self.grants.insert(at, grant);
        }
    }

    fn position(&self, team: &str, zone: &str) -> Result<usize, usize> {
        self.grants
            .binary_search_by(|grant| (&*grant.team, &*grant.zone).cmp(&(team, zone)))
    }

    fn zone(&self, zone: &str) -> Result<usize, usize> {
        self.zones.binary_search_by(|giver| (*giver.zone).cmp(zone))
    }
}
