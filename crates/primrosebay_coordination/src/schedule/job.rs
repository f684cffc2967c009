//! Jobs with pending or running tasks.

use primrosebay_state::id::JobId;
use primrosebay_state::job::{JobSpec, Policy};
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::block_set::BlockSet;
use super::fleet::Need;
use super::queue::{ClassKey, QueueEntry};
use super::shapes::Shape;
use super::task_counts::TaskCounts;

/// A job with pending or running tasks.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: JobId,
    pub(super) spec: JobSpec,
    /// Index of the team in `Teams`.
    pub(super) team: usize,
    /// Resources granted to each task.
    pub(super) amount: Resources,
    /// Expected run time of a task in milliseconds, learned or declared; 0 if unknown.
    pub(super) run_ms: u64,
    /// When the job should start at the latest.
    pub(super) start_by: Time,
    /// Submission number, which orders jobs with the same `start_by`.
    pub(super) sequence: u64,
    /// Indices of pending tasks, in descending order.
    pub(super) pending: Vec<u32>,
    /// Indices of running tasks with their slots in `RunningTasks`, sorted.
    pub(super) running: Vec<(u32, usize)>,
    /// Running tasks by rack and worker; maintained only if [`Job::needs_counts`] is true.
    pub(super) counts: TaskCounts,
    /// Number of preemptions by task index, sorted.
    pub(super) preemptions: Vec<(u32, u32)>,
    /// Pending tasks that wait for their victims to stop.
    pub(super) claims: usize,
    /// Earliest time of the next attempt to reserve resources for the job.
    pub(super) hold_after: Time,
    /// Index of the rack at which the search for the next worker starts.
    pub(super) next_rack: usize,
    /// Class and position of the job in the queue of its team; `None` while it is not queued.
    pub(super) entry: Option<(ClassKey, QueueEntry)>,
    pub(super) cancelled: bool,
}

impl Job {
    pub(super) fn is_gang(&self) -> bool {
        self.spec.policy == Policy::Gang
    }

    /// Returns the expected run time of a task in milliseconds; `None` if it is unknown or the job
    /// is a service.
    pub(super) fn expected_run(&self) -> Option<u64> {
        (self.run_ms > 0 && self.spec.policy != Policy::Service).then_some(self.run_ms)
    }

    /// Returns what the next task of the job needs; `job_index` is the index of this job in `Jobs`.
    pub(super) fn need(&self, job_index: usize, now: Time) -> Need {
        Need {
            amount: self.amount,
            end: self.expected_run().map(|ms| now + ms),
            job: job_index,
            urgent: self.spec.urgent,
        }
    }

    /// Returns whether placement depends on where other tasks of the job run.
    pub(super) fn needs_counts(&self) -> bool {
        self.spec.policy == Policy::Service || self.is_limited()
    }

    /// Returns whether the job limits its tasks per rack or per worker.
    pub(super) fn is_limited(&self) -> bool {
        self.spec.rack_limit > 0 || self.spec.worker_limit > 0
    }

    /// Returns whether the rack and worker limits of the job allow one more task on the worker.
    pub(super) fn allows(&self, rack: usize, worker: usize) -> bool {
        let below = |limit: u32, count: u32| limit == 0 || count < limit;
        !self.is_limited()
            || (below(self.spec.rack_limit, self.counts.on_rack(rack))
                && below(self.spec.worker_limit, self.counts.on_worker(worker)))
    }

    /// Adds a pending task unless it is already pending or running.
    pub(super) fn add_pending(&mut self, index: u32) {
        if self.running.binary_search_by_key(&index, |r| r.0).is_ok() {
            return;
        }
        let pos = self.pending.binary_search_by(|other| index.cmp(other));
        if let Err(pos) = pos {
            self.pending.insert(pos, index);
        }
    }

    /// Counts one more preemption of a task.
    pub(super) fn record_preemption(&mut self, index: u32) {
        match self.preemptions.binary_search_by_key(&index, |p| p.0) {
            Ok(pos) => self.preemptions[pos].1 += 1,
            Err(pos) => self.preemptions.insert(pos, (index, 1)),
        }
    }

    /// Returns how often a task was preempted.
    pub(super) fn preemptions(&self, index: u32) -> u32 {
        self.preemptions
            .binary_search_by_key(&index, |p| p.0)
            .map_or(0, |pos| self.preemptions[pos].1)
    }

    /// Returns the class in which the job queues now; for a gang, it changes with the pending
    /// tasks.
    pub(super) fn class_key(&self) -> ClassKey {
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
                run_log2: self.expected_run().map_or(u32::MAX, u64::ilog2),
            },
            limited_job: self.is_limited().then_some(self.id),
        }
    }
}

/// All jobs, by identifier and by index.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    ids: BlockSet<(JobId, usize)>,
    /// Jobs by index; `None` for an index that can be reused.
    pub(super) items: Vec<Option<Job>>,
    free_slots: Vec<usize>,
}

impl Jobs {
    pub(super) fn find(&self, id: JobId) -> Option<usize> {
        let &(found, index) = self.ids.range_from((id, 0)).next()?;
        (found == id).then_some(index)
    }

    pub(super) fn get(&self, index: usize) -> Option<&Job> {
        self.items.get(index)?.as_ref()
    }

    pub(super) fn get_mut(&mut self, index: usize) -> Option<&mut Job> {
        self.items.get_mut(index)?.as_mut()
    }

    pub(super) fn insert(&mut self, job: Job) -> usize {
        let id = job.id;
        let index = self.free_slots.pop().unwrap_or(self.items.len());
        if index == self.items.len() {
            self.items.push(Some(job));
        } else {
            self.items[index] = Some(job);
        }
        self.ids.insert((id, index));
        index
    }

    /// Drops the job if it has neither pending nor running tasks.
    pub(super) fn remove_unused(&mut self, index: usize) {
        let Some(job) = self.get(index) else { return };
        if job.pending.is_empty() && job.running.is_empty() {
            let id = job.id;
            self.ids.remove(&(id, index));
            self.items[index] = None;
            self.free_slots.push(index);
        }
    }
}
