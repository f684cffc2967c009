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
}

/// All shapes of pending work.
#[derive(Debug, Default)]
pub(super) struct Shapes {
    sorted: Vec<(Shape, usize)>,
    items: Vec<Item>,
    /// Whether each item is known to fit nowhere, apart because it is read most.
    blocked: Vec<bool>,
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
        let item = Item { shape, classes: 1 };
        let at = self.unused.pop().unwrap_or(self.items.len());
        if at == self.items.len() {
            self.items.push(item);
            self.blocked.push(false);
        } else {
            self.items[at] = item;
            self.blocked[at] = false;
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
        self.open -= usize::from(!self.blocked[at]);
        self.blocked[at] = true;
        if let Ok(place) = self.sorted.binary_search_by(|s| s.0.cmp(&item.shape)) {
            self.sorted.remove(place);
        }
        self.unused.push(at);
    }

    pub(super) fn is_blocked(&self, at: usize) -> bool {
        self.blocked[at]
    }

    /// Returns whether some shape may fit somewhere.
    pub(super) fn is_open(&self) -> bool {
        self.open > 0
    }

    /// Remembers that a shape, and every shape that needs no less, fits nowhere until room is made.
    /// Where resources are `held`, only shapes that run no shorter are known not to fit.
    pub(super) fn block(&mut self, at: usize, held: bool) {
        let low = self.items[at].shape;
        let amount = low.amount();
        for &(shape, at) in &self.sorted {
            // Work with accelerators may use what is kept from other work.
            let alike = (shape.accelerators == 0) == (low.accelerators == 0);
            let longer = !held || shape.span >= low.span;
            if !self.blocked[at] && alike && longer && amount.fits(&shape.amount()) {
                self.blocked[at] = true;
                self.open -= 1;
            }
        }
    }

    /// Takes into account that `free` is free on some worker.
    pub(super) fn unblock(&mut self, free: &Resources) {
        for &(shape, at) in &self.sorted {
            if self.blocked[at] && shape.amount().fits(free) {
                self.blocked[at] = false;
                self.open += 1;
            }
        }
    }
}
