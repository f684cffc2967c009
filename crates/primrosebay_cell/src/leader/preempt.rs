//! Runs that give way to work of a more urgent queue.

use primrosebay_state::Name;
use primrosebay_state::time::Time;

use super::Leader;
use super::command::Now;
use super::minion::{Minion, Phase, Reserved, Run, fitting};
use super::place::Request;
use crate::job::{StepKey, TaskKey};

/// How long a run is left alone after its start, in milliseconds. A run that is stopped earlier
/// has spent more on starting than it has done.
const MIN_RUN_MS: u64 = 500;

impl Leader {
    /// Returns whether a run can be stopped for work of this priority without losing what it has
    /// done.
    pub(super) fn is_victim(&self, run: &Run, priority: u32, now: Time) -> bool {
        self.yield_priority(run, now).is_some_and(|p| p > priority)
    }

    /// Returns the priority of a run's queue if the run can be stopped without losing what it has
    /// done.
    pub(super) fn yield_priority(&self, run: &Run, now: Time) -> Option<u32> {
        let Phase::Running(since) = run.phase else {
            return None;
        };
        if now.since(since) < MIN_RUN_MS {
            return None;
        }
        let job = self.jobs.get(&run.task.step.job)?;
        let step = job.step(run.task.step)?;
        let cheap = step.checkpoints && !step.gang && !step.long_running;
        let queue = self.queues.get(&job.queue).filter(|_| cheap)?;
        Some(queue.priority)
    }

    /// Returns how many tasks fit on a minion once everything that stops has stopped, and how
    /// many if victims are stopped too.
    pub(super) fn slots_later(&self, minion: &Minion, request: &Request, now: Time) -> (u32, u32) {
        let limit = request.limit_on(minion);
        let stopping = minion.free_without(request.step, |_| false);
        let victims =
            minion.free_without(request.step, |r| self.is_victim(r, request.priority, now));
        (
            fitting(&request.amount, &stopping).min(limit),
            fitting(&request.amount, &victims).min(limit),
        )
    }

    /// Makes room for `want` tasks on these minions: reserves what is or becomes free, and stops
    /// victims for the rest. Returns for how many tasks there will be room.
    pub(super) fn make_room(
        &mut self,
        request: &Request,
        names: &[Name],
        want: u32,
        now: Now,
    ) -> u32 {
        let mut rooms = Vec::new();
        for name in names {
            let Some(minion) = self.minions.get(name) else {
                continue;
            };
            let (later, most) = self.slots_later(minion, request, now.time);
            if most > 0 {
                rooms.push((later, most, name.clone()));
            }
        }
        // Minions on which most tasks fit without victims come first.
        rooms.sort_by_key(|room| std::cmp::Reverse((room.0, room.1)));
        let most: u64 = rooms.iter().map(|r| u64::from(r.1)).sum();
        if request.gang && most < u64::from(want) {
            return 0;
        }
        let mut left = want;
        for (later, most, name) in rooms {
            let slots = most.min(left);
            if slots == 0 {
                break;
            }
            left -= slots;
            if slots > later {
                self.stop_victims(request, &name, slots, now);
            }
            self.reserve(request, &name, slots, now.time + self.settings.reserve_ms);
        }
        want - left
    }

    /// Keeps room for tasks of a step on a minion, in place of what was kept for it there before.
    pub(super) fn reserve(&mut self, request: &Request, name: &Name, slots: u32, until: Time) {
        if let Some(minion) = self.minions.get_mut(name) {
            minion.reserved.retain(|r| r.step != request.step);
            minion.reserved.push(Reserved {
                step: request.step,
                amount: request.amount.times(u64::from(slots)),
                until,
            });
        }
    }

    /// Gives up the room that is kept for a step.
    pub(super) fn unreserve(&mut self, step: StepKey) {
        for (_, minion) in self.minions.iter_mut() {
            minion.reserved.retain(|r| r.step != step);
        }
    }

    /// Stops as few victims as give room for `slots` tasks.
    fn stop_victims(&mut self, request: &Request, name: &Name, slots: u32, now: Now) {
        let Some(minion) = self.minions.get(name) else {
            return;
        };
        let need = request.amount.times(u64::from(slots));
        let victim = |r: &&Run| self.is_victim(r, request.priority, now.time);
        let mut victims: Vec<&Run> = minion.runs.iter().filter(victim).collect();
        victims.sort_by_key(|r| std::cmp::Reverse(r.amount.cores_milli));
        let mut chosen: Vec<(TaskKey, u32)> = Vec::new();
        for run in victims {
            let is_chosen = |r: &Run| chosen.contains(&(r.task, r.number));
            if need.fits(&minion.free_without(request.step, is_chosen)) {
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
