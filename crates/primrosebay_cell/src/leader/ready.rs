//! The steps that can be started, in the order in which they are served.
//!
//! A step changes its place when its job changes or when it can no longer be in time. Neither needs
//! a visit to the other steps.

use std::ops::Range;

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::active::Wait;
use crate::job::{JobKey, StepKey};

/// Added to the priority of jobs that can no longer meet their latency objective, so that jobs
/// which still can are served first.
pub(super) const LATE_CLASS: u32 = 1_000;

/// Added to the priority of expired jobs, whose results are no longer of use.
const EXPIRED_CLASS: u32 = 2_000;

/// Sort key of a ready step: class plus priority, whether the account exceeds its share, and
/// deadline. The lowest key is served first.
pub(super) type SortKey = (u32, bool, u64);

/// A step with tasks that can be started. Times are in Unix milliseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReadyStep {
    pub(super) key: StepKey,
    /// Priority of the queue.
    pub(super) priority: u32,
    /// Whether the account exceeds the submission rate of its share.
    pub(super) over_share: bool,
    /// Time by which the occurrence has to end to meet its latency objective.
    pub(super) deadline: u64,
    /// Last time at which a start can still meet the deadline.
    pub(super) last_start: u64,
    /// Time after which the job has expired.
    pub(super) expiry: u64,
}

impl ReadyStep {
    fn sort_key(&self, now: u64) -> SortKey {
        let class = if now > self.expiry {
            EXPIRED_CLASS
        } else if now > self.last_start {
            LATE_CLASS
        } else {
            0
        };
        let class = self.priority.saturating_add(class);
        (class, self.over_share, self.deadline)
    }

    /// Returns the time at which the step changes its class next; none if it never does.
    fn next_change(&self, now: u64) -> Option<u64> {
        let changes = [self.last_start, self.expiry];
        let later = changes.into_iter().filter(|at| now <= *at).min()?;
        later.checked_add(1)
    }
}

/// What a pass found about a step that it could not start in full.
#[derive(Debug, Clone)]
pub(super) struct Backoff {
    /// Time at which the step is examined again.
    pub(super) until: Time,
    pub(super) cause: Wait,
    /// Account whose limit the step is charged for while it waits, the amount and the time at which the
    /// step is expected to start.
    pub(super) charge: Option<(Name, (Resources, Time))>,
}

/// A ready step with its current place.
#[derive(Debug)]
struct Entry {
    step: ReadyStep,
    sort_key: SortKey,
    next_change: Option<u64>,
    /// Ends early if the step's place or job changes, or an advice call of it ends.
    backoff: Option<Backoff>,
}

impl Entry {
    fn new(step: ReadyStep, now: u64) -> Self {
        Self {
            step,
            sort_key: step.sort_key(now),
            next_change: step.next_change(now),
            backoff: None,
        }
    }
}

/// The ready steps of all jobs.
#[derive(Debug, Default)]
pub(super) struct ReadyQueue {
    /// Sorted by step.
    entries: Vec<Entry>,
    /// The steps in serving order.
    order: Vec<(SortKey, StepKey)>,
    /// Times at which steps change their class, sorted.
    changes: Vec<(u64, StepKey)>,
    /// Times at which an occurrence of a job becomes due, sorted.
    due: Vec<(u64, JobKey)>,
}

impl ReadyQueue {
    /// Replaces the ready steps of a job. `next_due` is the time of its next occurrence, if any.
    pub(super) fn set_job(
        &mut self,
        job: JobKey,
        steps: impl Iterator<Item = ReadyStep>,
        next_due: Option<u64>,
        now: u64,
    ) {
        let steps: Vec<ReadyStep> = steps.collect();
        let range = self.range(job);
        let known = self.entries[range.clone()].iter().map(|e| e.step.key);
        if known.eq(steps.iter().map(|s| s.key)) {
            self.remove_due(job);
            for (index, step) in range.zip(steps) {
                self.replace(index, step, now);
            }
        } else {
            self.remove_job(job);
            for step in steps {
                self.insert(step, now);
            }
        }
        if let Some(due) = next_due {
            insert_sorted(&mut self.due, (due, job));
        }
    }

    /// Removes the steps of a job.
    pub(super) fn remove_job(&mut self, job: JobKey) {
        for entry in self.entries.drain(self.range(job)) {
            remove_sorted(&mut self.order, &(entry.sort_key, entry.step.key));
            if let Some(at) = entry.next_change {
                remove_sorted(&mut self.changes, &(at, entry.step.key));
            }
        }
        self.remove_due(job);
    }

    /// Returns the indices of a job's entries.
    fn range(&self, job: JobKey) -> Range<usize> {
        let from = self.entries.partition_point(|e| e.step.key.job < job);
        let of_job = self.entries[from..].iter();
        from..from + of_job.take_while(|e| e.step.key.job == job).count()
    }

    fn remove_due(&mut self, job: JobKey) {
        if !self.due.is_empty() {
            self.due.retain(|d| d.1 != job);
        }
    }

    /// Replaces the entry of a step. Its place in the serving order seldom changes, and the lists are
    /// long.
    fn replace(&mut self, index: usize, step: ReadyStep, now: u64) {
        let key = step.key;
        let entry = Entry::new(step, now);
        let (sort_key, next_change) = (entry.sort_key, entry.next_change);
        let earlier = std::mem::replace(&mut self.entries[index], entry);
        if earlier.sort_key != sort_key {
            remove_sorted(&mut self.order, &(earlier.sort_key, key));
            insert_sorted(&mut self.order, (sort_key, key));
        }
        if earlier.next_change != next_change {
            if let Some(at) = earlier.next_change {
                remove_sorted(&mut self.changes, &(at, key));
            }
            if let Some(at) = next_change {
                insert_sorted(&mut self.changes, (at, key));
            }
        }
    }

    fn insert(&mut self, step: ReadyStep, now: u64) {
        let entry = Entry::new(step, now);
        let key = step.key;
        insert_sorted(&mut self.order, (entry.sort_key, key));
        if let Some(at) = entry.next_change {
            insert_sorted(&mut self.changes, (at, key));
        }
        match self.entries.binary_search_by_key(&key, |e| e.step.key) {
            Ok(index) => self.entries[index] = entry,
            Err(index) => self.entries.insert(index, entry),
        }
    }

    /// Moves the steps whose class has changed by `now`, and returns the jobs with an occurrence
    /// that is due by `due_by`.
    pub(super) fn advance(&mut self, now: u64, due_by: u64) -> Vec<JobKey> {
        let passed = self.changes.partition_point(|c| c.0 <= now);
        let changed: Vec<StepKey> = self.changes.drain(..passed).map(|c| c.1).collect();
        for key in changed {
            let Ok(index) = self.entries.binary_search_by_key(&key, |e| e.step.key) else {
                continue;
            };
            self.replace(index, self.entries[index].step, now);
        }
        let due = self.due.partition_point(|d| d.0 <= due_by);
        self.due.drain(..due).map(|d| d.1).collect()
    }

    fn entry(&mut self, step: StepKey) -> Option<&mut Entry> {
        let found = self.entries.binary_search_by_key(&step, |e| e.step.key);
        found.ok().map(|index| &mut self.entries[index])
    }

    /// Returns the last time at which a start of the step can still meet its deadline.
    pub(super) fn last_start(&mut self, step: StepKey) -> Option<u64> {
        self.entry(step).map(|e| e.step.last_start)
    }

    /// Sets what is known about a step that a pass could not start in full.
    pub(super) fn set_backoff(&mut self, step: StepKey, backoff: Backoff) {
        if let Some(entry) = self.entry(step) {
            entry.backoff = Some(backoff);
        }
    }

    /// Makes the next pass examine a step.
    pub(super) fn wake(&mut self, step: StepKey) {
        if let Some(entry) = self.entry(step) {
            entry.backoff = None;
        }
    }

    /// Returns what is known about a step that need not be examined yet.
    pub(super) fn backoff(&self, step: StepKey, now: Time) -> Option<&Backoff> {
        let found = self.entries.binary_search_by_key(&step, |e| e.step.key);
        let backoff = self.entries[found.ok()?].backoff.as_ref();
        backoff.filter(|b| now < b.until)
    }

    /// Returns what is known of a ready step.
    pub(super) fn get(&self, step: StepKey) -> Option<&ReadyStep> {
        let found = self.entries.binary_search_by_key(&step, |e| e.step.key);
        found.ok().map(|index| &self.entries[index].step)
    }

    /// Returns whether the job of a ready step can no longer meet its latency objective; none if the
    /// step is not ready.
    pub(super) fn is_late(&self, step: StepKey) -> Option<bool> {
        let found = self.entries.binary_search_by_key(&step, |e| e.step.key);
        found
            .ok()
            .map(|index| self.entries[index].sort_key.0 >= LATE_CLASS)
    }

    /// Returns whether a step is ready.
    pub(super) fn contains(&self, step: StepKey) -> bool {
        let found = self.entries.binary_search_by_key(&step, |e| e.step.key);
        found.is_ok()
    }

    /// Returns the number of ready steps.
    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns all steps, sorted by key.
    #[cfg(debug_assertions)]
    pub(super) fn steps(&self) -> Vec<StepKey> {
        self.entries.iter().map(|e| e.step.key).collect()
    }

    /// Asserts that the sorted lists are those of the entries.
    #[cfg(debug_assertions)]
    pub(super) fn assert_consistent(&self) {
        let order = self.entries.iter().map(|e| (e.sort_key, e.step.key));
        let mut order: Vec<(SortKey, StepKey)> = order.collect();
        order.sort_unstable();
        assert_eq!(self.order, order, "serving order");
        let change = |e: &Entry| Some((e.next_change?, e.step.key));
        let mut changes: Vec<(u64, StepKey)> = self.entries.iter().filter_map(change).collect();
        changes.sort_unstable();
        assert_eq!(self.changes, changes, "changes of class");
    }

    /// Returns the step at an index of the serving order.
    pub(super) fn at(&self, index: usize) -> Option<Ready> {
        self.order.get(index).map(Ready::new)
    }

    /// Returns the indices of up to `count` steps from the position `from` on, without the first
    /// `skipped` ones. After the last step, it goes on with the first one that is not skipped.
    pub(super) fn rotate(
        &self,
        from: Option<(SortKey, StepKey)>,
        skipped: usize,
        count: usize,
    ) -> impl Iterator<Item = usize> + Clone + use<> {
        let len = self.order.len();
        let first = skipped.min(len);
        let rest = &self.order[first..];
        let middle = from.map_or(0, |from| rest.partition_point(|entry| *entry < from));
        let after = first + middle..len;
        after.chain(first..first + middle).take(count)
    }
}

/// A ready step in serving order.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ready {
    /// Position in the serving order.
    pub(super) position: (SortKey, StepKey),
    /// Whether the job can no longer meet its latency objective.
    pub(super) late: bool,
}

impl Ready {
    fn new(position: &(SortKey, StepKey)) -> Self {
        Self {
            position: *position,
            late: position.0.0 >= LATE_CLASS,
        }
    }

    pub(super) fn step(&self) -> StepKey {
        self.position.1
    }
}

fn insert_sorted<T: Ord>(items: &mut Vec<T>, item: T) {
    if let Err(index) = items.binary_search(&item) {
        items.insert(index, item);
    }
}

fn remove_sorted<T: Ord>(items: &mut Vec<T>, item: &T) {
    if let Ok(index) = items.binary_search(item) {
        items.remove(index);
    }
}
