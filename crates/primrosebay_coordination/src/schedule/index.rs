//! The index of workers by free resources.

use std::ops::Range;

use primrosebay_state::resources::Resources;

use super::blocks::Blocks;

/// Level of workers that have no accelerators.
const PLAIN: usize = 0;
/// Level of workers with accelerators, by what tasks without accelerators may use there.
const BESIDE: usize = 1;
/// Number of levels; those from 2 on are for each count of free accelerators from 1.
const LEVELS: usize = 18;
/// Buckets of free memory, two for each doubling from 256 MiB.
const BUCKETS: usize = 32;

#[derive(Debug, Clone, Default)]
struct Level {
    /// One bit for each bucket that is not empty.
    filled: u32,
    buckets: [Blocks<(u64, usize)>; BUCKETS],
}

/// What a worker offers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Offer {
    /// Whether the worker has accelerators, free or not.
    pub(super) accelerated: bool,
    /// What is free.
    pub(super) free: Resources,
    /// What tasks without accelerators may use of it.
    pub(super) plain: Resources,
}

impl Offer {
    /// Returns the levels at which the worker is found, with the amount for each.
    fn entries(&self) -> impl Iterator<Item = (usize, Resources)> {
        let free = (self.accelerated && self.free.accelerators > 0)
            .then(|| (level(self.free.accelerators), self.free));
        let plain = if self.accelerated { BESIDE } else { PLAIN };
        std::iter::once((plain, self.plain)).chain(free)
    }
}

/// Workers by level, then by a bucket of free memory, then sorted by free cores.
#[derive(Debug)]
pub(super) struct Index {
    levels: Vec<Level>,
}

impl Default for Index {
    fn default() -> Self {
        Self {
            levels: vec![Level::default(); LEVELS],
        }
    }
}

impl Index {
    pub(super) fn insert(&mut self, offer: &Offer, worker: usize) {
        for (level, amount) in offer.entries() {
            let level = &mut self.levels[level];
            let bucket = bucket(amount.memory_mib);
            level.buckets[bucket].insert((amount.cores_milli, worker));
            level.filled |= 1 << bucket;
        }
    }

    pub(super) fn remove(&mut self, offer: &Offer, worker: usize) {
        for (level, amount) in offer.entries() {
            let level = &mut self.levels[level];
            let bucket = bucket(amount.memory_mib);
            level.buckets[bucket].remove(&(amount.cores_milli, worker));
            if level.buckets[bucket].is_empty() {
                level.filled &= !(1 << bucket);
            }
        }
    }

    /// Returns the levels on which `need` can fit, best first.
    pub(super) fn levels(need: &Resources) -> Range<usize> {
        if need.accelerators == 0 {
            PLAIN..BESIDE + 1
        } else {
            level(need.accelerators)..LEVELS
        }
    }

    /// Calls `each` for workers of `level` that may have room for `need`, at most `limit` for each
    /// bucket, tightest in cores first. Returns whether some were left out.
    pub(super) fn visit(
        &self,
        level: usize,
        need: &Resources,
        limit: usize,
        mut each: impl FnMut(usize),
    ) -> bool {
        let level = &self.levels[level];
        let mut cut = false;
        let mut filled = level.filled & (u32::MAX << bucket(need.memory_mib));
        while filled != 0 {
            let bucket = filled.trailing_zeros() as usize;
            filled &= filled - 1;
            let mut workers = level.buckets[bucket].from((need.cores_milli, 0));
            workers
                .by_ref()
                .take(limit)
                .for_each(|&(_, worker)| each(worker));
            cut |= workers.next().is_some();
        }
        cut
    }
}

/// Returns the level of a count of free accelerators.
fn level(accelerators: u64) -> usize {
    usize::try_from(accelerators).map_or(LEVELS - 1, |n| n.saturating_add(1).min(LEVELS - 1))
}

fn bucket(memory: u64) -> usize {
    let Some(octave) = memory.checked_ilog2().filter(|&octave| octave >= 8) else {
        return 0;
    };
    let half = usize::from(memory >> (octave - 1) & 1 == 1);
    ((octave as usize - 8) * 2 + half + 1).min(BUCKETS - 1)
}
