//! The shapes of pending work, and which of them are known to fit nowhere.

use primrosebay_state::resources::Resources;

/// What decides whether a task fits on a worker, whichever team and job it belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Shape {
    pub(super) cores_milli: u64,
    pub(super) memory_mib: u64,
    pub(super) accelerators: u64,
    /// Logarithm of the run time, which matters on workers that are held for a waiting job.
    pub(super) span: u32,
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

#[derive(Debug)]
struct Item {
    shape: Shape,
    /// Classes of pending jobs that have the shape.
    classes: usize,
    blocked: bool,
}

/// All shapes of pending work.
#[derive(Debug, Default)]
pub(super) struct Shapes {
    sorted: Vec<(Shape, usize)>,
    items: Vec<Item>,
    unused: Vec<usize>,
    /// Shapes that may fit somewhere.
    open: usize,
}

impl Shapes {
    /// Returns the position of a shape and counts one more class that has it.
    pub(super) fn add(&mut self, shape: Shape) -> usize {
        let place = match self.sorted.binary_search_by(|s| s.0.cmp(&shape)) {
            Ok(place) => {
                let at = self.sorted[place].1;
                self.items[at].classes += 1;
                return at;
            }
            Err(place) => place,
        };
        let item = Item {
            shape,
            classes: 1,
            blocked: false,
        };
        let at = self.unused.pop().unwrap_or(self.items.len());
        if at == self.items.len() {
            self.items.push(item);
        } else {
            self.items[at] = item;
        }
        self.sorted.insert(place, (shape, at));
        self.open += 1;
        at
    }

    /// Counts one class less, and forgets a shape that no class has.
    pub(super) fn remove(&mut self, at: usize) {
        let item = &mut self.items[at];
        item.classes -= 1;
        if item.classes > 0 {
            return;
        }
        self.open -= usize::from(!item.blocked);
        item.blocked = true;
        if let Ok(place) = self.sorted.binary_search_by(|s| s.0.cmp(&item.shape)) {
            self.sorted.remove(place);
        }
        self.unused.push(at);
    }

    pub(super) fn is_blocked(&self, at: usize) -> bool {
        self.items[at].blocked
    }

    /// Returns whether some shape may fit somewhere.
    pub(super) fn is_open(&self) -> bool {
        self.open > 0
    }

    /// Remembers that a shape fits nowhere until room is made for it.
    pub(super) fn block(&mut self, at: usize) {
        let item = &mut self.items[at];
        self.open -= usize::from(!item.blocked);
        item.blocked = true;
    }

    /// Takes into account that `free` is free on some worker.
    pub(super) fn unblock(&mut self, free: &Resources) {
        for &(shape, at) in &self.sorted {
            let item = &mut self.items[at];
            if item.blocked && shape.amount().fits(free) {
                item.blocked = false;
                self.open += 1;
            }
        }
    }
}
