//! Quarantine of workers that fail everything they start.

use primrosebay_state::Name;
use primrosebay_state::id::JobId;
use primrosebay_state::time::Time;

use super::Coordinator;
use super::member::{Member, Quarantine};
use super::tasks::Over;

impl Coordinator {
    /// Notes how an attempt on `worker` ended. Only failures of different jobs count, because one
    /// job that can never run says nothing about the worker.
    pub(super) fn note_result(&mut self, now: Time, worker: &Name, job: JobId, over: Over) {
        let settings = &self.settings;
        let Some(member) = self.members.get_mut(worker) else {
            return;
        };
        match over {
            Over::Done => {
                member.failed.clear();
                member.quarantine = Quarantine::None;
            }
            Over::Failed => {
                if !member.failed.contains(&job) {
                    member.failed.push(job);
                }
                if member.failed.len() > 1 {
                    member.rest = now + settings.cooldown;
                }
                match member.quarantine {
                    Quarantine::Probing(wait) => {
                        let wait = (2 * wait).min(settings.quarantine_max);
                        member.quarantine = Quarantine::Until(now + wait, wait);
                    }
                    Quarantine::None if member.failed.len() >= settings.quarantine_after => {
                        let wait = settings.quarantine_base;
                        member.quarantine = Quarantine::Until(now + wait, wait);
                    }
                    _ => {}
                }
            }
            Over::Stopped | Over::NotRun | Over::Lost => {}
        }
    }
}

impl Member {
    /// Returns whether the quarantine allows another task at `now`.
    pub(super) fn is_trusted(&mut self, now: Time) -> bool {
        if let Quarantine::Until(at, wait) = self.quarantine
            && now >= at
        {
            self.quarantine = Quarantine::Probing(wait);
        }
        match self.quarantine {
            Quarantine::None => now >= self.rest,
            Quarantine::Until(..) => false,
            Quarantine::Probing(_) => self.tasks.is_empty() && self.placed.is_empty(),
        }
    }
}
