//! Running tasks, their expected ends and the order of preemption.

use std::cmp::Reverse;

use primrosebay_state::id::TaskId;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::block_set::BlockSet;
use super::fleet::larger;

/// A task that uses resources of a worker. Job, worker and team are given by index.
#[derive(Debug, Clone, Copy)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the facts about a task are independent of each other"
)]
pub(super) struct RunningTask {
    pub(super) task: TaskId,
    pub(super) job: usize,
    pub(super) worker: usize,
    pub(super) team: usize,
    /// Resources granted to the task.
    pub(super) amount: Resources,
    /// The largest usage that was reported.
    pub(super) peak: Resources,
    pub(super) start: Time,
    /// Number of earlier preemptions of the task.
    pub(super) preemptions: u32,
    /// When the task is expected to end; `None` for a service.
    pub(super) end: Option<Time>,
    /// Whether the task may be preempted for urgent work.
    pub(super) preemptible: bool,
    pub(super) checkpoint: bool,
    pub(super) urgent: bool,
    /// Whether the task is being preempted.
    pub(super) stopping: bool,
    /// Whether the task ran before the scheduler knew of it, so that its start time is unknown.
    pub(super) recovered: bool,
}

impl RunningTask {
    /// Returns the sort key of preemption victims: tasks that can be checkpointed first, then the
    /// newest.
    fn victim_key(&self, slot: usize) -> (bool, Reverse<Time>, usize) {
        (!self.checkpoint, Reverse(self.start), slot)
    }
}

/// All running tasks by slot, with their expected ends and the possible victims in order.
#[derive(Debug, Default)]
pub(super) struct RunningTasks {
    /// Tasks by slot; `None` for a slot that can be reused.
    pub(super) items: Vec<Option<RunningTask>>,
    free_slots: Vec<usize>,
    /// Expected ends and slots, in order.
    pub(super) ends: BlockSet<(Time, usize)>,
    /// Keys of the preemptible tasks that are not stopping, in order.
    pub(super) victims: BlockSet<(bool, Reverse<Time>, usize)>,
}

impl RunningTasks {
    pub(super) fn get(&self, slot: usize) -> Option<&RunningTask> {
        self.items.get(slot)?.as_ref()
    }

    pub(super) fn insert(&mut self, running: RunningTask) -> usize {
        let slot = self.free_slots.pop().unwrap_or(self.items.len());
        if let Some(end) = running.end {
            self.ends.insert((end, slot));
        }
        if running.preemptible {
            self.victims.insert(running.victim_key(slot));
        }
        if slot == self.items.len() {
            self.items.push(Some(running));
        } else {
            self.items[slot] = Some(running);
        }
        slot
    }

    pub(super) fn remove(&mut self, slot: usize) -> Option<RunningTask> {
        let running = self.items.get_mut(slot)?.take()?;
        self.free_slots.push(slot);
        if let Some(end) = running.end {
            self.ends.remove(&(end, slot));
        }
        if running.preemptible && !running.stopping {
            self.victims.remove(&running.victim_key(slot));
        }
        Some(running)
    }

    /// Raises the peak usage of a task to a reported usage.
    pub(super) fn record_usage(&mut self, slot: usize, usage: &Resources) {
        if let Some(Some(running)) = self.items.get_mut(slot) {
            running.peak = larger(&running.peak, usage);
        }
    }

    /// Postpones the expected ends that have passed. A task that runs longer than expected is
    /// expected to take another quarter of its run time so far.
    pub(super) fn postpone(&mut self, now: Time) {
        while let Some(&(end, slot)) = self.ends.first().filter(|first| first.0 <= now) {
            self.ends.remove(&(end, slot));
            if let Some(Some(running)) = self.items.get_mut(slot) {
                let new_end = now + (now.since(running.start) / 4 + 1);
                running.end = Some(new_end);
                self.ends.insert((new_end, slot));
            }
        }
    }

    /// Marks a task as being preempted, so that it is no longer a possible victim.
    pub(super) fn mark_stopping(&mut self, slot: usize) {
        if let Some(Some(running)) = self.items.get_mut(slot)
            && !running.stopping
        {
            running.stopping = true;
            if running.preemptible {
                self.victims.remove(&running.victim_key(slot));
            }
        }
    }
}
