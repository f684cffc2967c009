//! Interface between the measurements and a scheduler.

use primrosebay_coordination::schedule::{Decision, Scheduler};
use primrosebay_state::Name;
use primrosebay_state::id::{JobId, TaskId};
use primrosebay_state::job::JobSpec;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

/// A scheduler that can be measured: the product's [`Scheduler`] or a baseline.
pub trait Placer {
    /// Adds a worker with the resources `total`.
    fn set_worker(&mut self, worker: Name, rack: Name, total: Resources);
    /// Adds a team with its share and its allowance, the maximum resources that it may use.
    fn set_team(&mut self, team: Name, share: u32, allowance: Resources);
    /// Adds a job whose tasks, numbered from 0, are all pending.
    fn submit(&mut self, now: Time, job: JobId, spec: &JobSpec);
    /// Frees the resources of an ended task.
    fn release(&mut self, now: Time, task: TaskId);
    /// Frees the resources of a preempted task and makes it pending again.
    fn requeue(&mut self, now: Time, task: TaskId);
    /// Decides which tasks start and which are preempted, with at most `max` placements, which only
    /// a gang may exceed. If the result is not empty, another call may return more.
    fn schedule(&mut self, now: Time, max: usize) -> Vec<Decision>;
}

impl Placer for Scheduler {
    fn set_worker(&mut self, worker: Name, rack: Name, total: Resources) {
        self.set_worker(worker, rack, total);
    }

    fn set_team(&mut self, team: Name, share: u32, allowance: Resources) {
        self.set_team(team, share, allowance);
    }

    fn submit(&mut self, now: Time, job: JobId, spec: &JobSpec) {
        let tasks: Vec<u32> = (0..spec.tasks).collect();
        self.submit(now, job, spec, &tasks);
    }

    fn release(&mut self, now: Time, task: TaskId) {
        self.release(now, task);
    }

    fn requeue(&mut self, now: Time, task: TaskId) {
        self.requeue(now, task);
    }

    fn schedule(&mut self, now: Time, max: usize) -> Vec<Decision> {
        self.schedule(now, max)
    }
}
