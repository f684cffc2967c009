//! Jobs with pending or running tasks.

use primrosebay_state::id::JobId;
use primrosebay_state::job::{JobSpec, Policy};
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::counts::Counts;
use super::fleet::Need;
use super::queue::{ClassKey, Entry};
use super::shapes::Shape;

#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: JobId,
    pub(super) spec: JobSpec,
    pub(super) team: usize,
    /// What each task is given.
    pub(super) amount: Resources,
    /// Expected run time of a task in milliseconds; 0 if unknown.
    pub(super) run_ms: u64,
    /// When the job should have started.
    pub(super) start_by: Time,
    /// Counts submissions, so that equal jobs start in their order.
    pub(super) sequence: u64,
    /// Pending tasks, the lowest last.
    pub(super) pending: Vec<u32>,
    /// Running tasks and their positions in the ledger, sorted.
    pub(super) running: Vec<(u32, usize)>,
    pub(super) counts: Counts,
    /// How often tasks were preempted, sorted by task.
    pub(super) preempted: Vec<(u32, u32)>,
    /// Pending tasks that wait for their victims to stop.
    pub(super) claims: usize,
    /// When resources may next be held for the job.
    pub(super) hold_after: Time,
    /// The rack from which the next worker is looked for.
    pub(super) rack: usize,
    /// Where the job is in the queue of its team.
    pub(super) entry: Option<(ClassKey, Entry)>,
    pub(super) cancelled: bool,
}

impl Job {
    pub(super) fn is_gang(&self) -> bool {
        self.spec.policy == Policy::Gang
    }

    /// Returns the expected run time of a task in milliseconds, if it is known to end.
    pub(super) fn ends(&self) -> Option<u64> {
        (self.run_ms > 0 && self.spec.policy != Policy::Service).then_some(self.run_ms)
    }

    /// Returns what the next task of the job needs; `at` is where the job is among the jobs.
    pub(super) fn need(&self, at: usize, now: Time) -> Need {
        Need {
            amount: self.amount,
            end: self.ends().map(|ms| now + ms),
            job: at,
            urgent: self.spec.urgent,
        }
    }

    /// Returns whether places depend on where other tasks of the job are.
    pub(super) fn is_counted(&self) -> bool {
        self.spec.policy == Policy::Service || self.is_limited()
    }

    pub(super) fn is_limited(&self) -> bool {
        self.spec.rack_limit > 0 || self.spec.worker_limit > 0
    }

    /// Returns whether the limits of the job allow one more task on the worker.
    pub(super) fn allows(&self, rack: usize, worker: usize) -> bool {
        let below = |limit: u32, count: u32| limit == 0 || count < limit;
        !self.is_limited()
            || (below(self.spec.rack_limit, self.counts.on_rack(rack))
                && below(self.spec.worker_limit, self.counts.on_worker(worker)))
    }

    pub(super) fn add_pending(&mut self, index: u32) {
        if self.running.binary_search_by_key(&index, |r| r.0).is_ok() {
            return;
        }
        let at = self.pending.binary_search_by(|other| index.cmp(other));
        if let Err(at) = at {
            self.pending.insert(at, index);
        }
    }

    pub(super) fn add_preempted(&mut self, index: u32) {
        match self.preempted.binary_search_by_key(&index, |p| p.0) {
            Ok(at) => self.preempted[at].1 += 1,
            Err(at) => self.preempted.insert(at, (index, 1)),
        }
    }

    /// Returns how often a task was preempted.
    pub(super) fn preempted(&self, index: u32) -> u32 {
        self.preempted
            .binary_search_by_key(&index, |p| p.0)
            .map_or(0, |at| self.preempted[at].1)
    }

    pub(super) fn class(&self) -> ClassKey {
        ClassKey {
            urgent: self.spec.urgent,
            policy: self.spec.policy,
            tasks: if self.is_gang() {
                self.pending.len()
            } else {
                0
            },
            shape: Shape {
                cores_milli: self.amount.cores_milli,
                memory_mib: self.amount.memory_mib,
                accelerators: self.amount.accelerators,
                span: self.ends().map_or(u32::MAX, u64::ilog2),
            },
            own: self.is_limited().then_some(self.id),
        }
    }
}

/// All jobs, found by identifier.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    ids: Vec<(JobId, usize)>,
    pub(super) items: Vec<Option<Job>>,
    unused: Vec<usize>,
}

impl Jobs {
    pub(super) fn find(&self, id: JobId) -> Option<usize> {
        let at = self.ids.binary_search_by_key(&id, |j| j.0).ok()?;
        Some(self.ids[at].1)
    }

    pub(super) fn get(&self, at: usize) -> Option<&Job> {
        self.items.get(at)?.as_ref()
    }

    pub(super) fn get_mut(&mut self, at: usize) -> Option<&mut Job> {
        self.items.get_mut(at)?.as_mut()
    }

    pub(super) fn insert(&mut self, job: Job) -> usize {
        let id = job.id;
        let at = self.unused.pop().unwrap_or(self.items.len());
        if at == self.items.len() {
            self.items.push(Some(job));
        } else {
            self.items[at] = Some(job);
        }
        if let Err(place) = self.ids.binary_search_by_key(&id, |j| j.0) {
            self.ids.insert(place, (id, at));
        }
        at
    }

    /// Drops the job if it has no tasks left.
    pub(super) fn forget(&mut self, at: usize) {
        let Some(job) = self.get(at) else { return };
        if job.pending.is_empty() && job.running.is_empty() {
            if let Ok(place) = self.ids.binary_search_by_key(&job.id, |j| j.0) {
                self.ids.remove(place);
            }
            self.items[at] = None;
            self.unused.push(at);
        }
    }
}
