//! Preemption of runs for work of a more urgent queue.

use primrosebay_state::Name;
use primrosebay_state::time::Time;

use super::Leader;
use super::command::Now;
use super::minion::{Minion, Phase, Reservation, Run, count_fitting};
use super::schedule::Request;
use crate::job::{StepKey, TaskKey};

/// Minimum run time before preemption, in milliseconds. A run that is stopped earlier has spent
/// more time on starting than on work.
const MIN_RUN_MS: u64 = 500;

impl Leader {
    /// Returns whether work of this priority may preempt a run. Only runs that lose no work are
    /// preemptible.
    pub(super) fn is_preemptible(&self, run: &Run, priority: u32, now: Time) -> bool {
        self.preemptible_priority(run, now)
            .is_some_and(|p| p > priority)
    }

    /// Returns the priority of a run's queue if the run can be stopped without loss of work; none
    /// otherwise.
    pub(super) fn preemptible_priority(&self, run: &Run, now: Time) -> Option<u32> {
        let Phase::Running(since) = run.phase else {
            return None;
        };
        if now.since(since) < MIN_RUN_MS {
            return None;
        }
        let job = self.jobs.get(&run.task.step.job)?;
        let step = job.step(run.task.step)?;
        let lossless = step.checkpoints && !step.gang && !step.long_running;
        let queue = self.queues.get(&job.queue).filter(|_| lossless)?;
        Some(queue.priority)
    }

    /// Returns how many tasks fit on a minion once all stopping runs have stopped, and how many fit
    /// if preemptible runs are stopped as well.
    pub(super) fn future_slots(&self, minion: &Minion, request: &Request, now: Time) -> (u32, u32) {
        let limit = request.minion_limit(minion);
        let stopping = minion.free_after(request.step, |_| false);
        let victims = minion.free_after(request.step, |r| {
            self.is_preemptible(r, request.priority, now)
        });
        (
            count_fitting(&request.amount, &stopping).min(limit),
            count_fitting(&request.amount, &victims).min(limit),
        )
    }

    /// Reserves resources for up to `want` tasks on these minions, and preempts runs where free
    /// resources do not suffice. Returns for how many tasks resources are reserved; a gang gets all
    /// or none.
    pub(super) fn make_room(
        &mut self,
        request: &Request,
        names: &[Name],
        want: u32,
        now: Now,
    ) -> u32 {
        let mut candidates = Vec::new();
        for name in names {
            let Some(minion) = self.minions.get(name) else {
                continue;
            };
            let (free_slots, max_slots) = self.future_slots(minion, request, now.time);
            if max_slots > 0 {
                candidates.push((free_slots, max_slots, name.clone()));
            }
        }
        // Prefer minions on which the most tasks fit without preemption.
        candidates.sort_by_key(|candidate| std::cmp::Reverse((candidate.0, candidate.1)));
        let total_slots: u64 = candidates.iter().map(|c| u64::from(c.1)).sum();
        if request.gang && total_slots < u64::from(want) {
            return 0;
        }
        let mut left = want;
        for (free_slots, max_slots, name) in candidates {
            let slots = max_slots.min(left);
            if slots == 0 {
                break;
            }
            left -= slots;
            if slots > free_slots {
                self.preempt_runs(request, &name, slots, now);
            }
            self.reserve(request, &name, slots, now.time + self.settings.reserve_ms);
        }
        want - left
    }

    /// Reserves resources for `slots` tasks of a step on a minion. Replaces an earlier reservation
    /// of the step there.
    pub(super) fn reserve(&mut self, request: &Request, name: &Name, slots: u32, until: Time) {
        if let Some(minion) = self.minions.get_mut(name) {
            minion.reservations.retain(|r| r.step != request.step);
            minion.reservations.push(Reservation {
                step: request.step,
                amount: request.amount.times(u64::from(slots)),
                until,
            });
        }
    }

    /// Cancels all reservations of a step.
    pub(super) fn cancel_reservations(&mut self, step: StepKey) {
        for (_, minion) in self.minions.iter_mut() {
            minion.reservations.retain(|r| r.step != step);
        }
    }

    /// Preempts runs on a minion, the largest first, until `slots` tasks fit.
    fn preempt_runs(&mut self, request: &Request, name: &Name, slots: u32, now: Now) {
        let Some(minion) = self.minions.get(name) else {
            return;
        };
        let need = request.amount.times(u64::from(slots));
        let victim = |r: &&Run| self.is_preemptible(r, request.priority, now.time);
        let mut victims: Vec<&Run> = minion.runs.iter().filter(victim).collect();
        victims.sort_by_key(|r| std::cmp::Reverse(r.amount.cores_milli));
        let mut chosen: Vec<(TaskKey, u32)> = Vec::new();
        for run in victims {
            let is_chosen = |r: &Run| chosen.contains(&(r.task, r.number));
            if need.fits(&minion.free_after(request.step, is_chosen)) {
                break;
            }
            chosen.push((run.task, run.number));
        }
        for (task, run) in chosen {
            log::info!(task:% = task, run, minion:% = name, by:% = request.step; "leader: run preempted");
            self.stop_run(name, task, run, now);
        }
    }
}
