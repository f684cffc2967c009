//! Counts of preempted runs and of the work that was lost with them.

use std::fmt;

use primrosebay_state::Name;
use primrosebay_state::table::Table;

use crate::job::TaskKey;

/// Runs of one queue that were preempted for work of another.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PreemptionCount {
    /// Preempted runs.
    pub runs: u64,
    /// Those of them that were stopped because their account was at its limit.
    pub limited: u64,
    /// Those of them whose task was preempted before.
    pub repeated: u64,
    /// Work since the last known checkpoint of runs that ended without a new one, in
    /// core-milliseconds.
    pub lost_work: u64,
}

/// Counts of preempted runs, by their queue and the queue of the work that preempted them.
#[derive(Debug, Clone, Default)]
pub struct PreemptionCounts {
    by_queues: Table<(Name, Name), PreemptionCount>,
}

impl PreemptionCounts {
    /// Returns each queue of preempted runs and queue of the work that preempted them, with the
    /// counts.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Name, PreemptionCount)> {
        let entries = self.by_queues.iter();
        entries.map(|((victim, preemptor), count)| (victim, preemptor, *count))
    }

    /// Returns the sums over all queues.
    #[must_use]
    pub fn total(&self) -> PreemptionCount {
        let mut total = PreemptionCount::default();
        for (_, _, count) in self.iter() {
            total.runs += count.runs;
            total.limited += count.limited;
            total.repeated += count.repeated;
            total.lost_work = total.lost_work.saturating_add(count.lost_work);
        }
        total
    }

    fn entry(&mut self, queues: &(Name, Name)) -> &mut PreemptionCount {
        self.by_queues
            .or_insert(queues.clone(), PreemptionCount::default())
    }
}

impl fmt::Display for PreemptionCounts {
    /// Writes the number of runs for each pair of queues as `VICTIM<PREEMPTOR:RUNS`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let pairs = self.iter().filter(|(.., count)| count.runs > 0);
        for (index, (victim, preemptor, count)) in pairs.enumerate() {
            let separator = if index > 0 { "," } else { "" };
            write!(f, "{separator}{victim}<{preemptor}:{}", count.runs)?;
        }
        Ok(())
    }
}

/// A preempted run whose end is not known yet.
#[derive(Debug)]
struct Stopping {
    /// Queue of the run and queue of the work that preempted it.
    queues: (Name, Name),
    /// Work that is lost unless the run saves a checkpoint at its end, in core-milliseconds.
    unsaved_work: u64,
}

/// A preemption, as it is counted.
#[derive(Debug)]
pub(super) struct Preemption {
    pub(super) task: TaskKey,
    pub(super) run: u32,
    /// Queue of the run and queue of the work that preempts it.
    pub(super) queues: (Name, Name),
    /// Work since the last known checkpoint, in core-milliseconds.
    pub(super) unsaved_work: u64,
    /// Whether the account of the run is at its limit.
    pub(super) limited: bool,
    /// Whether the task was preempted before.
    pub(super) repeated: bool,
}

/// Accounting of preemptions.
#[derive(Debug, Default)]
pub(super) struct Preemptions {
    counts: PreemptionCounts,
    stopping: Table<(TaskKey, u32), Stopping>,
}

impl Preemptions {
    /// Counts a preemption.
    pub(super) fn add(&mut self, preemption: Preemption) {
        let count = self.counts.entry(&preemption.queues);
        count.runs += 1;
        count.limited += u64::from(preemption.limited);
        count.repeated += u64::from(preemption.repeated);
        let stopping = Stopping {
            queues: preemption.queues,
            unsaved_work: preemption.unsaved_work,
        };
        self.stopping
            .insert((preemption.task, preemption.run), stopping);
    }

    /// Notes that a run has ended with a new checkpoint or is done, so that no work of it is lost.
    pub(super) fn note_saved(&mut self, task: TaskKey, run: u32) {
        self.stopping.remove(&(task, run));
    }

    /// Counts the unsaved work of a run that is over as lost if the run was preempted.
    pub(super) fn note_over(&mut self, task: TaskKey, run: u32) {
        if let Some(stopping) = self.stopping.remove(&(task, run)) {
            let count = self.counts.entry(&stopping.queues);
            count.lost_work = count.lost_work.saturating_add(stopping.unsaved_work);
        }
    }

    /// Returns the counts since the last call.
    pub(super) fn take_counts(&mut self) -> PreemptionCounts {
        std::mem::take(&mut self.counts)
    }
}
