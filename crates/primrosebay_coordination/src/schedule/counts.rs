//! How many tasks of one job are where.

/// Running tasks of one job by rack and by worker, as sorted vectors.
#[derive(Debug, Default)]
pub(super) struct Counts {
    racks: Vec<(usize, u32)>,
    workers: Vec<(usize, u32)>,
}

impl Counts {
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
        .map_or(0, |at| counts[at].1)
}

fn add(counts: &mut Vec<(usize, u32)>, key: usize) {
    match counts.binary_search_by_key(&key, |c| c.0) {
        Ok(at) => counts[at].1 += 1,
        Err(at) => counts.insert(at, (key, 1)),
    }
}

fn remove(counts: &mut Vec<(usize, u32)>, key: usize) {
    if let Ok(at) = counts.binary_search_by_key(&key, |c| c.0) {
        counts[at].1 -= 1;
        if counts[at].1 == 0 {
            counts.remove(at);
        }
    }
}
