//! The minions of one service and the load balancing among them.

use primrosebay_state::Name;
use primrosebay_state::time::Time;
use rand::Rng;
use rand::rngs::SmallRng;

use super::minion::{Endpoint, Feedback, Listed, Minion};
use super::outlier::OutlierRules;

/// Time in milliseconds for which minions are kept when the instance list loses more than half of
/// them at once.
const LIST_GRACE_MS: u64 = 30_000;

/// How a minion is chosen. [`Choice::Random`] and [`Choice::RoundRobin`] are baselines for
/// benchmarks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Choice {
    /// The less loaded of two minions drawn at random.
    #[default]
    LeastOfTwo,
    /// A minion drawn at random.
    Random,
    /// Each minion in turn.
    RoundRobin,
}

/// Rules for the choice and the ejection of minions.
#[derive(Debug, Clone, Copy)]
pub struct TableRules {
    /// Ejection of minions that fail often.
    pub outlier: OutlierRules,
    /// Milliseconds until a minion that entered service or returned gets its full load.
    pub ramp_ms: u64,
    /// How a minion is chosen.
    pub choice: Choice,
}

impl Default for TableRules {
    fn default() -> Self {
        Self {
            outlier: OutlierRules::default(),
            ramp_ms: 10_000,
            choice: Choice::default(),
        }
    }
}

/// The minions of one service.
#[derive(Debug)]
pub struct MinionTable {
    /// Zone of the entry instance.
    zone: Name,
    rules: TableRules,
    /// Listed minions and those with unfinished requests, sorted by name.
    minions: Vec<Minion>,
    /// Index of the minion last chosen by [`Choice::RoundRobin`].
    last_chosen: usize,
    /// Since when the instance list has lacked more than half of the minions.
    shrunk_since: Option<Time>,
}

impl MinionTable {
    /// Creates an empty table for an entry instance in `zone`.
    #[must_use]
    pub fn new(zone: Name, rules: TableRules) -> Self {
        Self {
            zone,
            rules,
            minions: Vec::new(),
            last_chosen: 0,
            shrunk_since: None,
        }
    }

    /// Applies a new instance list. A minion that is no longer listed is kept until its last
    /// request has ended.
    pub fn update(&mut self, listed: &[Listed], now: Time) {
        // Minions of the first list were in service before and need no slow start.
        let joined = (!self.minions.is_empty()).then_some(now);
        if !self.is_suspect(listed.len(), now) {
            for minion in &mut self.minions {
                minion.listed = false;
            }
        }
        for item in listed {
            self.merge(item, joined);
        }
        for minion in &mut self.minions {
            // The list has caught up with the minion's own announcement.
            if !minion.listed || minion.list_leaving {
                minion.announced_leaving = None;
            }
        }
        self.minions.retain(|m| m.listed || m.running > 0);
    }

    /// Returns whether the list has lost so many minions at once that the list is more likely wrong
    /// than that the minions are gone.
    fn is_suspect(&mut self, listed: usize, now: Time) -> bool {
        let known = self.minions.iter().filter(|m| m.listed).count();
        if listed * 2 >= known {
            self.shrunk_since = None;
            return false;
        }
        let since = *self.shrunk_since.get_or_insert(now);
        now.since(since) < LIST_GRACE_MS
    }

    /// Adds or updates a minion of the instance list.
    fn merge(&mut self, item: &Listed, joined: Option<Time>) {
        match self.position(&item.endpoint.name) {
            Ok(i) => {
                let known = &mut self.minions[i];
                if known.list_leaving && !item.leaving {
                    known.joined = joined;
                }
                known.endpoint = item.endpoint.clone();
                known.listed = true;
                known.list_leaving = item.leaving;
            }
            Err(i) => {
                let mut minion = Minion::new(item.endpoint.clone(), joined);
                minion.list_leaving = item.leaving;
                self.minions.insert(i, minion);
            }
        }
    }

    /// Chooses a minion with a free slot and counts the request as running there. Returns `None` if
    /// no minion has a free slot.
    ///
    /// Minions of other zones are used only if the own zone is saturated. The minion to `avoid` is
    /// used only if no other minion has a free slot.
    pub fn pick(
        &mut self,
        avoid: Option<&Name>,
        now: Time,
        rng: &mut SmallRng,
    ) -> Option<Endpoint> {
        let mut index = self.choose(true, avoid, now, rng);
        if index.is_none() {
            index = self.choose(false, avoid, now, rng);
        }
        if index.is_none() && avoid.is_some() {
            return self.pick(None, now, rng);
        }
        let index = index?;
        let minion = &mut self.minions[index];
        minion.start(now);
        Some(minion.endpoint.clone())
    }

    /// Returns the index of a minion with a free slot, either in the own zone (`own_zone`) or in
    /// the other zones.
    fn choose(
        &mut self,
        own_zone: bool,
        avoid: Option<&Name>,
        now: Time,
        rng: &mut SmallRng,
    ) -> Option<usize> {
        let ramp_ms = self.rules.ramp_ms;
        let free = |m: &Minion| {
            (m.endpoint.zone == self.zone) == own_zone
                && m.free(now, ramp_ms) > 0
                && avoid.is_none_or(|name| *name != m.endpoint.name)
        };
        match self.rules.choice {
            Choice::LeastOfTwo => {
                let (first, second) = draw_two(&self.minions, free, rng)?;
                let cost = |i: usize, other: usize| {
                    u64::from(self.minions[i].load(now) + 1)
                        * self.minions[other].weight(now, ramp_ms)
                };
                Some(if cost(second, first) < cost(first, second) {
                    second
                } else {
                    first
                })
            }
            Choice::Random => draw_two(&self.minions, free, rng).map(|(first, _)| first),
            Choice::RoundRobin => {
                let total = self.minions.len();
                let chosen = (1..=total)
                    .map(|step| (self.last_chosen + step) % total)
                    .find(|&i| free(&self.minions[i]))?;
                self.last_chosen = chosen;
                Some(chosen)
            }
        }
    }

    /// Records the end of an attempt at the minion `name`.
    pub fn finish(&mut self, name: &str, feedback: Feedback, now: Time) {
        let Ok(i) = self.position(name) else { return };
        let minion = &mut self.minions[i];
        minion.running = minion.running.saturating_sub(1);
        if feedback.refused {
            minion.report_full(now);
        } else if let Some(busy) = feedback.busy {
            minion.report(busy, now);
        }
        if feedback.leaving {
            minion.announced_leaving = Some(now);
        }
        let rules = self.rules.outlier;
        let ejected = self.ejected(now);
        let may_eject = ejected < rules.max_ejected(self.minions.len());
        let health = &mut self.minions[i].health;
        let failing = feedback.failed.is_some_and(|f| health.record(f, &rules));
        if failing && may_eject && !health.ejected(now) {
            health.eject(now, &rules);
        }
        if !self.minions[i].listed && self.minions[i].running == 0 {
            self.minions.remove(i);
        }
    }

    /// Returns the number of ejected minions.
    #[must_use]
    pub fn ejected(&self, now: Time) -> usize {
        self.minions
            .iter()
            .filter(|m| m.health.ejected(now))
            .count()
    }

    /// Returns how many requests the minions in service can run at the same time, as far as this
    /// instance knows.
    #[must_use]
    pub fn capacity(&self, now: Time) -> u32 {
        let ramp_ms = self.rules.ramp_ms;
        self.minions
            .iter()
            .map(|m| m.free(now, ramp_ms) + if m.in_service(now) { m.running } else { 0 })
            .sum()
    }

    /// Returns whether any minion has a free slot.
    #[must_use]
    pub fn has_free(&self, now: Time) -> bool {
        let ramp_ms = self.rules.ramp_ms;
        self.minions.iter().any(|m| m.free(now, ramp_ms) > 0)
    }

    /// Returns the minions, sorted by name.
    #[must_use]
    pub fn minions(&self) -> &[Minion] {
        &self.minions
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.minions
            .binary_search_by(|minion| (*minion.endpoint.name).cmp(name))
    }
}

/// Draws two different minions that are `free`, each pair with the same probability, and returns
/// their indices. Returns the same index twice if only one minion is free, and `None` if none is.
fn draw_two(
    minions: &[Minion],
    free: impl Fn(&Minion) -> bool,
    rng: &mut SmallRng,
) -> Option<(usize, usize)> {
    let mut drawn = [0; 2];
    let mut count = 0;
    for (i, _) in minions.iter().enumerate().filter(|(_, m)| free(m)) {
        if count < 2 {
            drawn[count] = i;
        } else {
            let slot = rng.random_range(0..=count);
            if slot < 2 {
                drawn[slot] = i;
            }
        }
        count += 1;
    }
    match count {
        0 => None,
        1 => Some((drawn[0], drawn[0])),
        // Reservoir sampling alone never swaps the two when only two are free, so the order is
        // drawn as well.
        _ if rng.random() => Some((drawn[0], drawn[1])),
        _ => Some((drawn[1], drawn[0])),
    }
}
