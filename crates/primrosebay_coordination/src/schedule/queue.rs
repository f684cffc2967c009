//! Pending jobs of one team, in classes of jobs that are placed alike.

use primrosebay_state::id::JobId;
use primrosebay_state::job::Policy;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::block_set::BlockSet;
use super::shapes::{Shape, Shapes};

/// The position of a job in its class: its latest start time and its sequence number, with its
/// index in `Jobs`.
pub(super) type QueueEntry = (Time, u64, usize);

/// The properties that jobs of one class share: if one of these jobs does not fit, none does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ClassKey {
    /// The first field, so that urgent classes are the last ones of a queue.
    pub(super) urgent: bool,
    pub(super) policy: Policy,
    /// Number of pending tasks of a gang; 0 for other jobs.
    pub(super) tasks: usize,
    pub(super) shape: Shape,
    /// The job, if it has rack or worker limits. It forms a class of its own, because its placement
    /// depends on its other tasks.
    pub(super) limited_job: Option<JobId>,
}

impl ClassKey {
    pub(super) fn amount(&self) -> Resources {
        self.shape.amount()
    }

    /// Returns whether placing a gang after `placed` decisions would exceed the `max` placements of a
    /// call. Returns false before the first decision, so that a gang larger than `max` can start.
    pub(super) fn exceeds_batch(&self, placed: usize, max: usize) -> bool {
        placed > 0 && placed + self.tasks > max
    }

    /// Returns whether the shape alone decides whether the class fits somewhere.
    fn is_shape_only(&self) -> bool {
        !self.urgent && self.tasks == 0 && self.limited_job.is_none()
    }

    /// Returns the resources needed to start one task, or all pending tasks of a gang.
    pub(super) fn min_amount(&self) -> Resources {
        self.amount().times(self.tasks.max(1) as u64)
    }
}

/// A class of pending jobs and its last failed placement.
#[derive(Debug)]
pub(super) struct Class {
    pub(super) key: ClassKey,
    pub(super) jobs: BlockSet<QueueEntry>,
    /// Id of the shape, if the shape alone decides whether the class fits somewhere.
    pub(super) shape: Option<usize>,
    /// Round of the last failed placement; 0 for none.
    pub(super) round: u64,
    /// `Fleet::generation` at the last failed placement; `u64::MAX` for none.
    pub(super) generation: u64,
    /// Earliest time of the next attempt to place a gang.
    pub(super) retry_at: Time,
}

/// The fields of a class that the choice of the next job reads. Kept apart from [`Class`] because
/// each round reads them for every class.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClassHead {
    /// The first job of the class.
    pub(super) entry: QueueEntry,
    /// Same as [`Class::shape`].
    pub(super) shape: Option<usize>,
    /// Same as [`ClassKey::min_amount`].
    pub(super) min_amount: Resources,
}

/// The classes of pending jobs of a team, sorted by key.
#[derive(Debug, Default)]
pub(super) struct Queue {
    pub(super) classes: Vec<Class>,
    /// The heads of the classes, in the same order.
    pub(super) heads: Vec<ClassHead>,
    /// The first job of all classes.
    pub(super) head: Option<QueueEntry>,
    /// Number of classes that need accelerators.
    pub(super) accelerated: usize,
    /// Number of classes whose shape alone does not decide whether they fit somewhere.
    pub(super) shapeless: usize,
}

impl Queue {
    pub(super) fn insert(&mut self, key: ClassKey, entry: QueueEntry, shapes: &mut Shapes) {
        let pos = match self.find(&key) {
            Ok(pos) => pos,
            Err(pos) => {
                let shape = key.is_shape_only().then(|| shapes.add(key.shape));
                self.shapeless += usize::from(shape.is_none());
                self.accelerated += usize::from(key.shape.accelerators > 0);
                let class = Class {
                    key,
                    jobs: BlockSet::default(),
                    shape,
                    round: 0,
                    generation: u64::MAX,
                    retry_at: Time(0),
                };
                self.classes.insert(pos, class);
                let min_amount = key.min_amount();
                self.heads.insert(
                    pos,
                    ClassHead {
                        entry,
                        shape,
                        min_amount,
                    },
                );
                pos
            }
        };
        self.classes[pos].jobs.insert(entry);
        self.heads[pos].entry = self.heads[pos].entry.min(entry);
        self.head = Some(self.head.map_or(entry, |head| head.min(entry)));
    }

    pub(super) fn remove(&mut self, key: &ClassKey, entry: &QueueEntry, shapes: &mut Shapes) {
        let Ok(pos) = self.find(key) else { return };
        let class = &mut self.classes[pos];
        class.jobs.remove(entry);
        if class.jobs.is_empty() {
            match class.shape {
                Some(shape) => shapes.remove(shape),
                None => self.shapeless -= 1,
            }
            self.accelerated -= usize::from(key.shape.accelerators > 0);
            self.classes.remove(pos);
            self.heads.remove(pos);
        } else if let Some(&first) = class.jobs.first() {
            self.heads[pos].entry = first;
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
