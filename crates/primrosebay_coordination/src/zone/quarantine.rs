//! Quarantine of workers on which the tasks of several jobs fail in a row.

use primrosebay_state::Name;
use primrosebay_state::id::JobId;
use primrosebay_state::time::Time;

use super::Coordinator;
use super::member::{Member, Quarantine};
use super::tasks::AttemptEnd;

impl Coordinator {
    /// Updates the quarantine of `worker` after the end of an attempt. Only failures of different
    /// jobs count, because a single job that can never run does not indicate a faulty worker.
    pub(super) fn record_result(&mut self, now: Time, worker: &Name, job: JobId, end: AttemptEnd) {
        let settings = &self.settings;
        let Some(member) = self.members.get_mut(worker) else {
            return;
        };
        match end {
            AttemptEnd::Done => {
                member.failed_jobs.clear();
                member.quarantine = Quarantine::None;
            }
            AttemptEnd::Failed => {
                if !member.failed_jobs.contains(&job) {
                    member.failed_jobs.push(job);
                }
                if member.failed_jobs.len() > 1 {
                    member.cooldown_until = now + settings.cooldown;
                }
                match member.quarantine {
                    Quarantine::Probation(wait) => {
                        let wait = (2 * wait).min(settings.quarantine_max);
                        member.quarantine = Quarantine::Until(now + wait, wait);
                    }
                    Quarantine::None if member.failed_jobs.len() >= settings.quarantine_after => {
                        let wait = settings.quarantine_base;
                        member.quarantine = Quarantine::Until(now + wait, wait);
                    }
                    _ => {}
                }
            }
            AttemptEnd::Stopped | AttemptEnd::NotRun | AttemptEnd::Lost => {}
        }
    }
}

impl Member {
    /// Returns whether quarantine and cooldown allow another task at `now`. Moves an expired
    /// quarantine to probation.
    pub(super) fn accepts_task(&mut self, now: Time) -> bool {
        if let Quarantine::Until(at, wait) = self.quarantine
            && now >= at
        {
            self.quarantine = Quarantine::Probation(wait);
        }
        match self.quarantine {
            Quarantine::None => now >= self.cooldown_until,
            Quarantine::Until(..) => false,
            Quarantine::Probation(_) => self.tasks.is_empty() && self.placed.is_empty(),
        }
    }
}
