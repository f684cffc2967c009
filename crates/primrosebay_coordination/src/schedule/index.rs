//! Index of workers by free resources.

use std::ops::Range;

use primrosebay_state::resources::Resources;

use super::block_set::BlockSet;

/// Level of workers without accelerators.
const CPU_WORKERS: usize = 0;
/// Level of workers with accelerators, by their free resources for tasks without accelerators.
const ACCELERATOR_WORKERS: usize = 1;
/// Number of levels. Levels 2 to 17 list workers with 1 to 16 free accelerators, the last one also
/// those with more.
const LEVELS: usize = 18;
/// Number of buckets by free memory: one below 256 MiB, then two for each doubling.
const BUCKETS: usize = 32;

/// The workers of one level by free memory, then by free cores.
#[derive(Debug, Clone, Default)]
struct Level {
    /// One bit for each non-empty bucket.
    non_empty: u32,
    /// Free cores and indices of workers, by bucket.
    buckets: [BlockSet<(u64, usize)>; BUCKETS],
}

/// The free resources by which a worker is indexed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Offer {
    /// Whether the worker has accelerators, free or in use.
    pub(super) has_accelerators: bool,
    /// Resources available to tasks with accelerators.
    pub(super) free: Resources,
    /// Part of `free` that is available to tasks without accelerators.
    pub(super) cpu_only: Resources,
}

impl Offer {
    /// Returns the levels that list the worker, with the amount that counts on each.
    fn entries(&self) -> impl Iterator<Item = (usize, Resources)> {
        let free = (self.has_accelerators && self.free.accelerators > 0)
            .then(|| (level_of(self.free.accelerators), self.free));
        let base_level = if self.has_accelerators {
            ACCELERATOR_WORKERS
        } else {
            CPU_WORKERS
        };
        std::iter::once((base_level, self.cpu_only)).chain(free)
    }
}

/// Workers by level, then by bucket of free memory, then sorted by free cores.
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
            let bucket = bucket_of(amount.memory_mib);
            level.buckets[bucket].insert((amount.cores_milli, worker));
            level.non_empty |= 1 << bucket;
        }
    }

    pub(super) fn remove(&mut self, offer: &Offer, worker: usize) {
        for (level, amount) in offer.entries() {
            let level = &mut self.levels[level];
            let bucket = bucket_of(amount.memory_mib);
            level.buckets[bucket].remove(&(amount.cores_milli, worker));
            if level.buckets[bucket].is_empty() {
                level.non_empty &= !(1 << bucket);
            }
        }
    }

    /// Returns the levels whose workers may fit `need`, best first.
    pub(super) fn levels(need: &Resources) -> Range<usize> {
        if need.accelerators == 0 {
            CPU_WORKERS..ACCELERATOR_WORKERS + 1
        } else {
            level_of(need.accelerators)..LEVELS
        }
    }

    /// Calls `each` for workers of `level` that may fit `need`, at most `limit` per bucket, those
    /// with the fewest free cores first. Returns whether the limit excluded any.
    pub(super) fn visit(
        &self,
        level: usize,
        need: &Resources,
        limit: usize,
        mut each: impl FnMut(usize),
    ) -> bool {
        let level = &self.levels[level];
        let mut truncated = false;
        let mut non_empty = level.non_empty & (u32::MAX << bucket_of(need.memory_mib));
        while non_empty != 0 {
            let bucket = non_empty.trailing_zeros() as usize;
            non_empty &= non_empty - 1;
            let mut workers = level.buckets[bucket].range_from((need.cores_milli, 0));
            workers
                .by_ref()
                .take(limit)
                .for_each(|&(_, worker)| each(worker));
            truncated |= workers.next().is_some();
        }
        truncated
    }
}

/// Returns the level for a number of free accelerators.
fn level_of(accelerators: u64) -> usize {
    usize::try_from(accelerators).map_or(LEVELS - 1, |n| n.saturating_add(1).min(LEVELS - 1))
}

/// Returns the bucket for an amount of free memory in MiB.
fn bucket_of(memory: u64) -> usize {
    let Some(octave) = memory.checked_ilog2().filter(|&octave| octave >= 8) else {
        return 0;
    };
    let half = usize::from(memory >> (octave - 1) & 1 == 1);
    ((octave as usize - 8) * 2 + half + 1).min(BUCKETS - 1)
}
