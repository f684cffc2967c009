//! The running tasks.

use std::cmp::Reverse;

use primrosebay_state::id::TaskId;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::blocks::Blocks;
use super::fleet::larger;

#[derive(Debug, Clone, Copy)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the facts about a task are independent of each other"
)]
pub(super) struct Running {
    pub(super) task: TaskId,
    pub(super) job: usize,
    pub(super) worker: usize,
    pub(super) team: usize,
    pub(super) amount: Resources,
    /// The largest use that was reported.
    pub(super) peak: Resources,
    pub(super) start: Time,
    /// How often the task was preempted before.
    pub(super) preempted: u32,
    /// When the task is expected to end; nothing for a service.
    pub(super) end: Option<Time>,
    /// Whether the task may be preempted for urgent work.
    pub(super) yields: bool,
    pub(super) checkpoint: bool,
    pub(super) urgent: bool,
    pub(super) stopping: bool,
    /// Whether the task ran before the scheduler knew of it, so that its start is not known.
    pub(super) recovered: bool,
}

impl Running {
    /// Returns the key that sorts victims: tasks that can be checkpointed, then the newest.
    fn victim(&self, at: usize) -> (bool, Reverse<Time>, usize) {
        (!self.checkpoint, Reverse(self.start), at)
    }
}

/// All running tasks, with those that can be preempted and their expected ends in order.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    pub(super) items: Vec<Option<Running>>,
    unused: Vec<usize>,
    pub(super) ends: Blocks<(Time, usize)>,
    pub(super) victims: Blocks<(bool, Reverse<Time>, usize)>,
}

impl Ledger {
    pub(super) fn get(&self, at: usize) -> Option<&Running> {
        self.items.get(at)?.as_ref()
    }

    pub(super) fn insert(&mut self, running: Running) -> usize {
        let at = self.unused.pop().unwrap_or(self.items.len());
        if let Some(end) = running.end {
            self.ends.insert((end, at));
        }
        if running.yields {
            self.victims.insert(running.victim(at));
        }
        if at == self.items.len() {
            self.items.push(Some(running));
        } else {
            self.items[at] = Some(running);
        }
        at
    }

    pub(super) fn remove(&mut self, at: usize) -> Option<Running> {
        let running = self.items.get_mut(at)?.take()?;
        self.unused.push(at);
        if let Some(end) = running.end {
            self.ends.remove(&(end, at));
        }
        if running.yields && !running.stopping {
            self.victims.remove(&running.victim(at));
        }
        Some(running)
    }

    /// Records a report of what a task uses.
    pub(super) fn observe(&mut self, at: usize, usage: &Resources) {
        if let Some(Some(running)) = self.items.get_mut(at) {
            running.peak = larger(&running.peak, usage);
        }
    }

    /// Moves the expected ends of tasks that run longer than expected: each is expected to take a
    /// quarter of its time so far in addition.
    pub(super) fn postpone(&mut self, now: Time) {
        while let Some(&(end, at)) = self.ends.first().filter(|first| first.0 <= now) {
            self.ends.remove(&(end, at));
            if let Some(Some(running)) = self.items.get_mut(at) {
                let later = now + (now.since(running.start) / 4 + 1);
                running.end = Some(later);
                self.ends.insert((later, at));
            }
        }
    }

    /// Marks a task as being preempted.
    pub(super) fn stop(&mut self, at: usize) {
        if let Some(Some(running)) = self.items.get_mut(at)
            && !running.stopping
        {
            running.stopping = true;
            if running.yields {
                self.victims.remove(&running.victim(at));
            }
        }
    }
}
