//! Resource shapes of pending tasks, and which of them fit on no worker.

use primrosebay_state::resources::Resources;

/// The properties that decide on which workers a task fits, regardless of its team and job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Shape {
    pub(super) cores_milli: u64,
    pub(super) memory_mib: u64,
    pub(super) accelerators: u64,
    /// Base-2 logarithm of the expected run time in milliseconds, which matters on workers with a
    /// hold; `u32::MAX` if the run time is unknown.
    pub(super) run_log2: u32,
}

impl Shape {
    pub(super) fn amount(&self) -> Resources {
        Resources {
            cores_milli: self.cores_milli,
            memory_mib: self.memory_mib,
            accelerators: self.accelerators,
        }
    }
}

/// A shape and its users.
#[derive(Debug)]
struct ShapeEntry {
    shape: Shape,
    /// Number of classes of pending jobs that have the shape.
    classes: usize,
}

/// The shapes of all pending tasks.
#[derive(Debug, Default)]
pub(super) struct Shapes {
    /// Shapes and their ids, sorted by shape.
    sorted: Vec<(Shape, usize)>,
    /// Entries by shape id.
    items: Vec<ShapeEntry>,
    /// Whether a shape is known to fit nowhere, by shape id. Kept apart from `items` because it is
    /// read most often.
    blocked: Vec<bool>,
    free_ids: Vec<usize>,
    /// Number of shapes that may fit somewhere.
    unblocked: usize,
}

impl Shapes {
    /// Returns the id of a shape, and counts one more class that has it.
    pub(super) fn add(&mut self, shape: Shape) -> usize {
        let pos = match self.sorted.binary_search_by(|s| s.0.cmp(&shape)) {
            Ok(pos) => {
                let id = self.sorted[pos].1;
                self.items[id].classes += 1;
                return id;
            }
            Err(pos) => pos,
        };
        let item = ShapeEntry { shape, classes: 1 };
        let id = self.free_ids.pop().unwrap_or(self.items.len());
        if id == self.items.len() {
            self.items.push(item);
            self.blocked.push(false);
        } else {
            self.items[id] = item;
            self.blocked[id] = false;
        }
        self.sorted.insert(pos, (shape, id));
        self.unblocked += 1;
        id
    }

    /// Counts one class less for a shape, and drops the shape with its last class.
    pub(super) fn remove(&mut self, id: usize) {
        let item = &mut self.items[id];
        item.classes -= 1;
        if item.classes > 0 {
            return;
        }
        self.unblocked -= usize::from(!self.blocked[id]);
        self.blocked[id] = true;
        if let Ok(pos) = self.sorted.binary_search_by(|s| s.0.cmp(&item.shape)) {
            self.sorted.remove(pos);
        }
        self.free_ids.push(id);
    }

    pub(super) fn is_blocked(&self, id: usize) -> bool {
        self.blocked[id]
    }

    /// Returns whether any shape may fit somewhere.
    pub(super) fn any_unblocked(&self) -> bool {
        self.unblocked > 0
    }

    /// Marks a shape, and every shape that needs at least as much, as fitting nowhere until
    /// resources become free. If a worker with a hold has the resources (`held`), shapes with a
    /// shorter run time stay unblocked.
    pub(super) fn block(&mut self, id: usize, held: bool) {
        let failed = self.items[id].shape;
        let amount = failed.amount();
        for &(shape, id) in &self.sorted {
            // Only tasks with accelerators may use the accelerator headroom.
            let same_kind = (shape.accelerators == 0) == (failed.accelerators == 0);
            let no_shorter = !held || shape.run_log2 >= failed.run_log2;
            if !self.blocked[id] && same_kind && no_shorter && amount.fits(&shape.amount()) {
                self.blocked[id] = true;
                self.unblocked -= 1;
            }
        }
    }

    /// Unblocks the shapes that fit into `free`, the free resources of one worker.
    pub(super) fn unblock(&mut self, free: &Resources) {
        for &(shape, id) in &self.sorted {
            if self.blocked[id] && shape.amount().fits(free) {
                self.blocked[id] = false;
                self.unblocked += 1;
            }
        }
    }
}
