//! The index of workers by free resources.

use std::ops::Range;

use primrosebay_state::resources::Resources;

use super::blocks::Blocks;

/// Levels of free accelerators: one for workers that have none, then one for each free count.
const LEVELS: usize = 18;
/// Buckets of free memory, two for each doubling from 256 MiB.
const BUCKETS: usize = 32;

#[derive(Debug, Clone, Default)]
struct Level {
    /// One bit for each bucket that is not empty.
    filled: u32,
    buckets: [Blocks<(u64, usize)>; BUCKETS],
}

/// Workers by free accelerators, then by a bucket of free memory, then sorted by free cores.
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
    pub(super) fn insert(&mut self, total: &Resources, free: &Resources, worker: usize) {
        let level = &mut self.levels[level(total, free)];
        let bucket = bucket(free.memory_mib);
        level.buckets[bucket].insert((free.cores_milli, worker));
        level.filled |= 1 << bucket;
    }

    pub(super) fn remove(&mut self, total: &Resources, free: &Resources, worker: usize) {
        let level = &mut self.levels[level(total, free)];
        let bucket = bucket(free.memory_mib);
        level.buckets[bucket].remove(&(free.cores_milli, worker));
        if level.buckets[bucket].is_empty() {
            level.filled &= !(1 << bucket);
        }
    }

    /// Returns the levels on which `need` can fit, best first.
    pub(super) fn levels(need: &Resources) -> Range<usize> {
        if need.accelerators == 0 {
            0..LEVELS
        } else {
            free_level(need.accelerators)..LEVELS
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

fn level(total: &Resources, free: &Resources) -> usize {
    if total.accelerators == 0 {
        0
    } else {
        free_level(free.accelerators)
    }
}

fn free_level(accelerators: u64) -> usize {
    usize::try_from(accelerators).map_or(LEVELS - 1, |n| n.saturating_add(1).min(LEVELS - 1))
}

fn bucket(memory: u64) -> usize {
    let Some(octave) = memory.checked_ilog2().filter(|&octave| octave >= 8) else {
        return 0;
    };
    let half = usize::from(memory >> (octave - 1) & 1 == 1);
    ((octave as usize - 8) * 2 + half + 1).min(BUCKETS - 1)
}
