//! Tasks that use more than they were given.

use primrosebay_protocol::worker::Report;
use primrosebay_state::time::Time;

use super::Coordinator;
use super::jobs::{Active, Excess, State};

impl Coordinator {
    /// Throttles a task that uses more than it was given, before the others on its worker lose
    /// what they were allocated.
    pub(super) fn note_usage(&mut self, now: Time, report: &Report) {
        let id = report.attempt.task;
        let exceeds = !report.usage.fits(&report.resources);
        let until = now + self.settings.throttle_time;
        let Some(task) = self.jobs.task_mut(id) else {
            return;
        };
        let State::Active(Active { worker, excess, .. }) = &mut task.state else {
            return;
        };
        match (exceeds, *excess) {
            (true, Excess::None) => {
                *excess = Excess::Throttled(until);
                self.throttled.push((until, id));
                if let Some(member) = self.members.get_mut(worker) {
                    member.stops = true;
                }
            }
            (false, Excess::Throttled(_)) => *excess = Excess::None,
            _ => {}
        }
    }

    /// Stops the tasks that throttling did not bring down, except those that may run only once.
    pub(super) fn evict(&mut self, now: Time) {
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
                && active.excess == Excess::Throttled(until)
                && !once
            {
                active.excess = Excess::Evicted;
                active.stop = Some(checkpoint);
                if let Some(member) = self.members.get_mut(&active.worker) {
                    member.stops = true;
                }
            }
        }
    }
}
