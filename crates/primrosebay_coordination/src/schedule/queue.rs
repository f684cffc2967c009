//! The pending work of one team, in classes of equal jobs.

use primrosebay_state::id::JobId;
use primrosebay_state::job::Policy;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::blocks::Blocks;
use super::shapes::{Shape, Shapes};

/// The position of a job in its class: when it should have started, its sequence number, and
/// where it is among the jobs.
pub(super) type Entry = (Time, u64, usize);

/// What jobs have in common that are placed alike: if one does not fit, none does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ClassKey {
    /// First, so that urgent classes are the last ones of a queue.
    pub(super) urgent: bool,
    pub(super) policy: Policy,
    /// Pending tasks of a gang; 0 for other jobs.
    pub(super) tasks: usize,
    pub(super) shape: Shape,
    /// The job, if its places depend on its own other tasks.
    pub(super) own: Option<JobId>,
}

impl ClassKey {
    pub(super) fn amount(&self) -> Resources {
        self.shape.amount()
    }

    /// Returns whether a gang would exceed the placements of a call after `placed` others.
    pub(super) fn is_split(&self, placed: usize, max: usize) -> bool {
        placed > 0 && placed + self.tasks > max
    }

    /// Returns whether the shape alone tells whether the class fits somewhere.
    fn is_plain(&self) -> bool {
        !self.urgent && self.tasks == 0 && self.own.is_none()
    }

    /// Returns what is needed to start anything of the class.
    pub(super) fn least(&self) -> Resources {
        self.amount().times(self.tasks.max(1) as u64)
    }
}

#[derive(Debug)]
pub(super) struct Class {
    pub(super) key: ClassKey,
    pub(super) jobs: Blocks<Entry>,
    /// The position of the shape, if it alone tells whether the class fits somewhere.
    pub(super) shape: Option<usize>,
    /// The round in which the class last failed to fit.
    pub(super) round: u64,
    /// The state of the fleet in which the class last failed to fit.
    pub(super) freed: u64,
    /// A gang is not tried again before this time.
    pub(super) retry: Time,
}

/// What the choice of the next job reads of a class, apart from the rest of the class because each
/// round reads it for every class.
#[derive(Debug, Clone, Copy)]
pub(super) struct Head {
    /// The first job of the class.
    pub(super) entry: Entry,
    /// As in [`Class`].
    pub(super) shape: Option<usize>,
    /// What is needed to start anything of the class.
    pub(super) least: Resources,
}

/// The classes of pending jobs of a team, sorted by key.
#[derive(Debug, Default)]
pub(super) struct Queue {
    pub(super) classes: Vec<Class>,
    /// The heads of the classes, in the same order.
    pub(super) heads: Vec<Head>,
    /// The job that should have started first.
    pub(super) head: Option<Entry>,
    /// Classes that need accelerators.
    pub(super) accelerated: usize,
    /// Classes whose shape alone does not tell whether they fit somewhere.
    pub(super) special: usize,
}

impl Queue {
    pub(super) fn insert(&mut self, key: ClassKey, entry: Entry, shapes: &mut Shapes) {
        let at = match self.find(&key) {
            Ok(at) => at,
            Err(at) => {
                let shape = key.is_plain().then(|| shapes.add(key.shape));
                self.special += usize::from(shape.is_none());
                self.accelerated += usize::from(key.shape.accelerators > 0);
                let class = Class {
                    key,
                    jobs: Blocks::default(),
                    shape,
                    round: 0,
                    freed: u64::MAX,
                    retry: Time(0),
                };
                self.classes.insert(at, class);
                let least = key.least();
                self.heads.insert(
                    at,
                    Head {
                        entry,
                        shape,
                        least,
                    },
                );
                at
            }
        };
        self.classes[at].jobs.insert(entry);
        self.heads[at].entry = self.heads[at].entry.min(entry);
        self.head = Some(self.head.map_or(entry, |head| head.min(entry)));
    }

    pub(super) fn remove(&mut self, key: &ClassKey, entry: &Entry, shapes: &mut Shapes) {
        let Ok(at) = self.find(key) else { return };
        let class = &mut self.classes[at];
        class.jobs.remove(entry);
        if class.jobs.is_empty() {
            match class.shape {
                Some(shape) => shapes.remove(shape),
                None => self.special -= 1,
            }
            self.accelerated -= usize::from(key.shape.accelerators > 0);
            self.classes.remove(at);
            self.heads.remove(at);
        } else if let Some(&first) = class.jobs.first() {
            self.heads[at].entry = first;
        }
        if self.head == Some(*entry) {
            self.head = self.heads.iter().map(|head| head.entry).min();
        }
    }

    pub(super) fn find(&self, key: &ClassKey) -> Result<usize, usize> {
        self.classes.binary_search_by(|class| class.key.cmp(key))
    }

    pub(super) fn has_urgent(&self) -> bool {
        self.classes.last().is_some_and(|class| class.key.urgent)
    }
}
