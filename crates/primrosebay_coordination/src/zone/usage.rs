//! Throttling and eviction of tasks that use more than their allocation.

use primrosebay_protocol::worker::Report;
use primrosebay_state::time::Time;

use super::Coordinator;
use super::jobs::{Active, Overuse, State};

impl Coordinator {
    /// Throttles a task that uses more than its allocation, to protect the allocations of the other
    /// tasks on its worker, and ends the throttling once its usage is within the allocation.
    pub(super) fn check_usage(&mut self, now: Time, report: &Report) {
        let id = report.attempt.task;
        let exceeds = !report.usage.fits(&report.resources);
        let until = now + self.settings.throttle_time;
        let Some(task) = self.jobs.task_mut(id) else {
            return;
        };
        let State::Active(Active {
            worker, overuse, ..
        }) = &mut task.state
        else {
            return;
        };
        match (exceeds, *overuse) {
            (true, Overuse::None) => {
                *overuse = Overuse::Throttled(until);
                self.throttled.push((until, id));
                if let Some(member) = self.members.get_mut(worker) {
                    member.stops_due = true;
                }
            }
            (false, Overuse::Throttled(_)) => *overuse = Overuse::None,
            _ => {}
        }
    }

    /// Stops the tasks whose usage is still too high at the end of their throttling time, except
    /// tasks that may run only once.
    pub(super) fn evict_overusers(&mut self, now: Time) {
        let due: Vec<_> = self
            .throttled
            .extract_if(.., |entry| entry.0 <= now)
            .collect();
        for (until, id) in due {
            let Some((job, _)) = self.jobs.task(id) else {
                continue;
            };
            let (once, checkpoint) = (job.is_once(), job.spec.checkpoint);
            if let Some(task) = self.jobs.task_mut(id)
                && let State::Active(active) = &mut task.state
                && active.overuse == Overuse::Throttled(until)
                && !once
            {
                active.overuse = Overuse::Evicted;
                active.stop = Some(checkpoint);
                if let Some(member) = self.members.get_mut(&active.worker) {
                    member.stops_due = true;
                }
            }
        }
    }
}
