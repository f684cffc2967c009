//! Running tasks of one job per rack and per worker.

/// Numbers of running tasks of one job, as vectors sorted by rack and worker index.
#[derive(Debug, Default)]
pub(super) struct TaskCounts {
    racks: Vec<(usize, u32)>,
    workers: Vec<(usize, u32)>,
}

impl TaskCounts {
    pub(super) fn on_rack(&self, rack: usize) -> u32 {
        get(&self.racks, rack)
    }

    pub(super) fn on_worker(&self, worker: usize) -> u32 {
        get(&self.workers, worker)
    }

    pub(super) fn add(&mut self, rack: usize, worker: usize) {
        add(&mut self.racks, rack);
        add(&mut self.workers, worker);
    }

    pub(super) fn remove(&mut self, rack: usize, worker: usize) {
        remove(&mut self.racks, rack);
        remove(&mut self.workers, worker);
    }
}

fn get(counts: &[(usize, u32)], key: usize) -> u32 {
    counts
        .binary_search_by_key(&key, |c| c.0)
        .map_or(0, |pos| counts[pos].1)
}

fn add(counts: &mut Vec<(usize, u32)>, key: usize) {
    match counts.binary_search_by_key(&key, |c| c.0) {
        Ok(pos) => counts[pos].1 += 1,
        Err(pos) => counts.insert(pos, (key, 1)),
    }
}

fn remove(counts: &mut Vec<(usize, u32)>, key: usize) {
    if let Ok(pos) = counts.binary_search_by_key(&key, |c| c.0) {
        counts[pos].1 -= 1;
        if counts[pos].1 == 0 {
            counts.remove(pos);
        }
    }
}
