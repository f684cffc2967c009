//! The minions of one service and the choice among them.

use primrosebay_state::Name;
use primrosebay_state::time::Time;
use rand::Rng;
use rand::rngs::SmallRng;

use super::minion::{Endpoint, Feedback, Listed, Minion};
use super::outlier::OutlierRules;

/// How long minions are kept that the live list lost together with most others, in milliseconds.
const LIST_GRACE: u64 = 30_000;

/// How a minion is chosen. The other ways exist to be measured against.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Choice {
    /// The less loaded of two drawn at random.
    #[default]
    LeastOfTwo,
    /// One drawn at random.
    Random,
    /// One after the other.
    RoundRobin,
}

/// Rules of the choice.
#[derive(Debug, Clone, Copy)]
pub struct TableRules {
    /// When minions are ejected.
    pub outlier: OutlierRules,
    /// Milliseconds until a returned minion gets its full share.
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

/// The minions of one service, by name.
#[derive(Debug)]
pub struct Table {
    zone: Name,
    rules: TableRules,
    minions: Vec<Minion>,
    turn: usize,
    shrunk: Option<Time>,
}

impl Table {
    /// Creates an empty table for an entry instance in `zone`.
    #[must_use]
    pub fn new(zone: Name, rules: TableRules) -> Self {
        Self {
            zone,
            rules,
            minions: Vec::new(),
            turn: 0,
            shrunk: None,
        }
    }

    /// Takes over the live list. A minion that is no longer listed is kept until its last request
    /// has ended.
    pub fn update(&mut self, listed: &[Listed], now: Time) {
        // Minions of the first list have served before, only later ones are new.
        let joined = (!self.minions.is_empty()).then_some(now);
        if !self.doubtful(listed.len(), now) {
            for minion in &mut self.minions {
                minion.listed = false;
            }
        }
        for item in listed {
            self.merge(item, joined);
        }
        for minion in &mut self.minions {
            // The list has caught up with what the minion announced itself.
            if !minion.listed || minion.list_leaving {
                minion.own_leaving = None;
            }
        }
        self.minions.retain(|m| m.listed || m.running > 0);
    }

    /// Returns whether the list has lost so many minions at once that it is more likely wrong than
    /// the minions gone.
    fn doubtful(&mut self, listed: usize, now: Time) -> bool {
        let known = self.minions.iter().filter(|m| m.listed).count();
        if listed * 2 >= known {
            self.shrunk = None;
            return false;
        }
        let since = *self.shrunk.get_or_insert(now);
        now.since(since) < LIST_GRACE
    }

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

    /// Chooses a minion with a free slot and counts the request as running there.
    ///
    /// Minions of the own zone come first; the others are used when the zone is saturated. The
    /// minion to `avoid` is used only if no other has a free slot.
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

    fn choose(
        &mut self,
        near: bool,
        avoid: Option<&Name>,
        now: Time,
        rng: &mut SmallRng,
    ) -> Option<usize> {
        let window = self.rules.ramp_ms;
        let free = |m: &Minion| {
            (m.endpoint.zone == self.zone) == near
                && m.free(now, window) > 0
                && avoid.is_none_or(|name| *name != m.endpoint.name)
        };
        match self.rules.choice {
            Choice::LeastOfTwo => {
                let (first, second) = draw_two(&self.minions, free, rng)?;
                let cost = |i: usize, other: usize| {
                    u64::from(self.minions[i].load(now) + 1)
                        * self.minions[other].weight(now, window)
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
                let found = (1..=total)
                    .map(|step| (self.turn + step) % total)
                    .find(|&i| free(&self.minions[i]))?;
                self.turn = found;
                Some(found)
            }
        }
    }

    /// Records the end of an attempt at the minion with `name`.
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
            minion.own_leaving = Some(now);
        }
        let rules = self.rules.outlier;
        let ejected = self.ejected(now);
        let room = ejected < rules.max_ejected(self.minions.len());
        let health = &mut self.minions[i].health;
        let failing = feedback.failed.is_some_and(|f| health.record(f, &rules));
        if failing && room && !health.ejected(now) {
            health.eject(now, &rules);
        }
        if !self.minions[i].listed && self.minions[i].running == 0 {
            self.minions.remove(i);
        }
    }

    /// Returns how many minions are ejected.
    #[must_use]
    pub fn ejected(&self, now: Time) -> usize {
        self.minions
            .iter()
            .filter(|m| m.health.ejected(now))
            .count()
    }

    /// Returns how many requests the minions in service can run at the same time.
    #[must_use]
    pub fn capacity(&self, now: Time) -> u32 {
        let window = self.rules.ramp_ms;
        self.minions
            .iter()
            .map(|m| m.free(now, window) + if m.in_service(now) { m.running } else { 0 })
            .sum()
    }

    /// Returns whether a minion has a free slot.
    #[must_use]
    pub fn has_free(&self, now: Time) -> bool {
        let window = self.rules.ramp_ms;
        self.minions.iter().any(|m| m.free(now, window) > 0)
    }

    /// Returns the minions by name.
    #[must_use]
    pub fn minions(&self) -> &[Minion] {
        &self.minions
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.minions
            .binary_search_by(|minion| (*minion.endpoint.name).cmp(name))
    }
}

/// Draws two different minions that are `free`, with the same probability for each pair; the same
/// one twice if there is only one.
fn draw_two(
    minions: &[Minion],
    free: impl Fn(&Minion) -> bool,
    rng: &mut SmallRng,
) -> Option<(usize, usize)> {
    let mut drawn = [0; 2];
    let mut seen = 0;
    for (i, _) in minions.iter().enumerate().filter(|(_, m)| free(m)) {
        if seen < 2 {
            drawn[seen] = i;
        } else {
            let slot = rng.random_range(0..=seen);
            if slot < 2 {
                drawn[slot] = i;
            }
        }
        seen += 1;
    }
    match seen {
        0 => None,
        1 => Some((drawn[0], drawn[0])),
        // The reservoir keeps its order while there are only two, so the first is drawn as well.
        _ if rng.random() => Some((drawn[0], drawn[1])),
        _ => Some((drawn[1], drawn[0])),
    }
}
