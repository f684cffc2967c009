//! The pending work of one team, in classes of equal jobs.

use primrosebay_state::id::JobId;
use primrosebay_state::job::Policy;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::blocks::Blocks;

/// The position of a job in its class: when it should have started, its sequence number, and
/// where it is among the jobs.
pub(super) type Entry = (Time, u64, usize);

/// What jobs have in common that are placed alike: if one does not fit, none does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ClassKey {
    pub(super) urgent: bool,
    pub(super) policy: Policy,
    /// Pending tasks of a gang; 0 for other jobs.
    pub(super) tasks: usize,
    pub(super) cores_milli: u64,
    pub(super) memory_mib: u64,
    pub(super) accelerators: u64,
    /// Logarithm of the run time, on which backfilling depends.
    pub(super) span: u32,
    /// The job, if its places depend on its own other tasks.
    pub(super) own: Option<JobId>,
}

impl ClassKey {
    pub(super) fn amount(&self) -> Resources {
        Resources {
            cores_milli: self.cores_milli,
            memory_mib: self.memory_mib,
            accelerators: self.accelerators,
        }
    }

    /// Returns whether a gang would exceed the placements of a call after `placed` others.
    pub(super) fn is_split(&self, placed: usize, max: usize) -> bool {
        placed > 0 && placed + self.tasks > max
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
    /// The round in which the class last failed to fit.
    pub(super) round: u64,
    /// The state of the fleet in which the class last failed to fit.
    pub(super) freed: u64,
    /// A gang is not tried again before this time.
    pub(super) retry: Time,
}

/// The classes of pending jobs of a team, sorted by key.
#[derive(Debug, Default)]
pub(super) struct Queue {
    pub(super) classes: Vec<Class>,
}

impl Queue {
    pub(super) fn insert(&mut self, key: ClassKey, entry: Entry) {
        let at = match self.find(&key) {
            Ok(at) => at,
            Err(at) => {
                let class = Class {
                    key,
                    jobs: Blocks::default(),
                    round: 0,
                    freed: u64::MAX,
                    retry: Time(0),
                };
                self.classes.insert(at, class);
                at
            }
        };
        self.classes[at].jobs.insert(entry);
    }

    pub(super) fn remove(&mut self, key: &ClassKey, entry: &Entry) {
        if let Ok(at) = self.find(key) {
            self.classes[at].jobs.remove(entry);
            if self.classes[at].jobs.is_empty() {
                self.classes.remove(at);
            }
        }
    }

    pub(super) fn find(&self, key: &ClassKey) -> Result<usize, usize> {
        self.classes.binary_search_by(|class| class.key.cmp(key))
    }

    /// Returns the job that should have started first.
    pub(super) fn head(&self) -> Option<&Entry> {
        self.classes.iter().filter_map(|c| c.jobs.first()).min()
    }
}
