//! Preemption of runs for work of a more urgent queue.

use std::cmp::Reverse;

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::Leader;
use super::active::OBJECTIVE_MINIONS;
use super::command::{End, EndedRun, Now};
use super::minion::{Minion, Phase, Reservation, Run};
use super::preemptions::Preemption;
use super::room::Slots;
use super::schedule::{Request, smallest_by_key, total_slots};
use crate::config::AdviceTiming;
use crate::job::{StepKey, TaskKey};
use crate::record::Placement;
use crate::victims::{self, Candidate, Choice, Loss, min_run_ms};

/// Thousandths in a unit.
const MILLI: u64 = 1_000;

/// Minimum number of minions that are compared by the cost of preemption there. More of them take
/// the leader more time in each pass.
const MIN_EXAMINED: u32 = 16;

/// Multiple of the tasks of a step for which other minions need free room for a call to be preferred
/// to preemption. Other steps use a part of it before the answer arrives.
const FREE_MARGIN: f64 = 2.0;

/// Number of tasks of a step among which those are counted that share its next advice call. Steps have
/// up to 4,000 tasks, and the cost is computed for each run of a minion.
const MAX_COUNTED: usize = 256;

/// Tasks of a step for which resources are reserved on a minion.
#[derive(Debug)]
struct Place {
    slots: Slots,
    /// Number of tasks.
    taken: u32,
}

/// Minions chosen for tasks of a step.
#[derive(Debug, Default)]
struct Places {
    minions: Vec<Place>,
    /// Number of tasks for which there is room.
    count: u32,
    /// Cost of the preemption that this takes, in core-milliseconds.
    cost: u64,
}

/// Runs to preempt on a minion.
#[derive(Debug)]
struct Plan {
    choice: Choice,
    runs: Vec<(TaskKey, u32)>,
    /// Whether the resources suffice only with those of runs that are expected to end. Expectations
    /// are often wrong, so other minions are preferred.
    awaits: bool,
}

/// What work lacks for which a run is preempted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Shortage {
    /// Room on a minion.
    Room,
    /// A part of the account's limit.
    Limit,
}

/// Returns the priority of a run's queue if the run can be stopped now without loss of work and has
/// run for its minimum time; none otherwise.
pub(super) fn preemptible_priority(run: &Run, now: Time) -> Option<u32> {
    let Phase::Running(since) = run.phase else {
        return None;
    };
    let priority = run.lossless?;
    (now.since(since) >= min_run_ms(run.preemptions)).then_some(priority)
}

impl Leader {
    /// Returns the priority of a task's queue if its runs can be stopped without loss of work.
    pub(super) fn lossless_priority(&self, task: TaskKey) -> Option<u32> {
        let job = self.jobs.get(&task.step.job)?;
        let step = job.step(task.step)?;
        let lossless = step.checkpoints && !step.gang && !step.long_running;
        let queue = self.queues.get(&job.queue).filter(|_| lossless)?;
        Some(queue.priority)
    }

    /// Determines again which runs can be stopped without loss of work, after a change of the
    /// queues.
    pub(super) fn update_lossless(&mut self) {
        let runs = self.minions.iter().flat_map(|(_, m)| &m.runs);
        let priorities: Vec<Option<u32>> = runs.map(|r| self.lossless_priority(r.task)).collect();
        let runs = self.minions.iter_mut().flat_map(|(_, m)| &mut m.runs);
        for (run, priority) in runs.zip(priorities) {
            run.lossless = priority;
        }
    }

    /// Reserves resources for up to `want` tasks, on the usable minions at `positions` or on any
    /// of the service, and preempts runs where free resources do not suffice. Returns for how many
    /// tasks resources are reserved; a gang gets all or none.
    pub(super) fn make_room(
        &mut self,
        request: &Request,
        positions: Option<&[usize]>,
        want: u32,
        now: Now,
    ) -> u32 {
        self.update_room(now.time);
        let found = self.choose_places(request, positions, want, now.time);
        if request.gang && found.count < want {
            return 0;
        }
        let until = now.time + self.settings.reserve_ms;
        for place in found.minions.iter().filter(|p| p.taken > 0) {
            let Some((name, _)) = self.minions.at(place.slots.minion) else {
                continue;
            };
            let name = name.clone();
            if place.taken > place.slots.free {
                self.preempt_runs(request, &name, place.taken, now);
            }
            self.reserve(request, &name, place.taken, until);
        }
        found.count
    }

    /// Chooses minions for up to `want` tasks: first what is free there or will be once stopping runs
    /// have stopped, then those where preemption for a task costs the least.
    fn choose_places(
        &self,
        request: &Request,
        positions: Option<&[usize]>,
        want: u32,
        now: Time,
    ) -> Places {
        let mut candidates = self.future_slots(request, positions, now);
        let mut found = Places::default();
        if request.gang && total_slots(&candidates) < u64::from(want) {
            return found;
        }
        // Prefer minions on which the most tasks fit without preemption.
        let order = |c: &Slots| (Reverse((c.free, c.total)), c.minion);
        let examined = want.max(MIN_EXAMINED) as usize;
        smallest_by_key(&mut candidates, examined, order);
        for slots in candidates {
            let taken = slots.free.min(want - found.count);
            found.count += taken;
            found.minions.push(Place { slots, taken });
        }
        if found.count < want {
            self.add_preempted(request, &mut found, want, now);
        }
        found
    }

    /// Adds tasks that fit after preemption, up to `want` in total, first on the minions where a task
    /// costs the least.
    fn add_preempted(&self, request: &Request, found: &mut Places, want: u32, now: Time) {
        let missing = want - found.count;
        let mut plans = Vec::new();
        for (index, place) in found.minions.iter().enumerate() {
            let added = (place.slots.total - place.taken).min(missing);
            let minion = self.minions.at(place.slots.minion).filter(|_| added > 0);
            let plan = minion.and_then(|(_, m)| self.plan(request, m, place.taken + added, now));
            if let Some(plan) = plan {
                let cost = plan.choice.cost / u64::from(added);
                let choice = &plan.choice;
                plans.push((choice.preemptions, plan.awaits, cost, index, added));
            }
        }
        plans.sort_unstable();
        for (_, _, cost, index, added) in plans {
            let added = added.min(want - found.count);
            found.minions[index].taken += added;
            found.count += added;
            let cost = cost.saturating_mul(u64::from(added));
            found.cost = found.cost.saturating_add(cost);
        }
    }

    /// Returns whether a step that has tickets should call the advice service about other minions
    /// instead of preempting runs: the call costs less than the stops, and other minions have free
    /// room for all of the tasks. Looks for such minions once for each step, so that the step is
    /// delayed by one call at most. Only for quick calls, which take no longer than the stop of a run;
    /// slow ones are planned by their own rules.
    pub(super) fn prefers_call(
        &mut self,
        request: &Request,
        timing: AdviceTiming,
        ticketed: &[usize],
        now: Now,
    ) -> bool {
        let step = request.step;
        let want = request.count();
        let call_ms = timing.call_ms(OBJECTIVE_MINIONS);
        let is_quick = call_ms <= self.settings.slow_call_ms;
        let job = self.jobs.get(&step.job);
        let is_first = job.is_some_and(|j| !j.searched.contains(&step));
        if !is_quick || !is_first || request.gang || want == 0 || ticketed.is_empty() {
            return false;
        }
        self.update_room(now.time);
        let stops = self.choose_places(request, Some(ticketed), want, now.time);
        if stops.cost == 0 {
            return false;
        }
        if let Some(job) = self.jobs.get_mut(&step.job) {
            job.searched.push(step);
        }
        if stops.cost <= victims::call_cost(call_ms) {
            return false;
        }
        let others = self.unqueried(request, now.time);
        let free: u32 = others.iter().fold(0, |sum, s| sum.saturating_add(s.free));
        let allowed = f64::from(free) * self.advice.allow_rate(&request.queue);
        allowed >= f64::from(want) * FREE_MARGIN
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
            self.room.mark_changed(name);
            self.room.add_holder(request.step);
        }
    }

    /// Cancels all reservations of a step.
    pub(super) fn cancel_reservations(&mut self, step: StepKey) {
        for (name, minion) in self.minions.iter_mut() {
            if minion.reservations.iter().any(|r| r.step == step) {
                minion.reservations.retain(|r| r.step != step);
                self.room.mark_freed(name);
            }
        }
    }

    /// Preempts the runs on a minion whose stop costs least, so that `slots` tasks fit.
    fn preempt_runs(&mut self, request: &Request, name: &Name, slots: u32, now: Now) {
        let minion = self.minions.get(name);
        let plan = minion.and_then(|m| self.plan(request, m, slots, now.time));
        for (task, run) in plan.map(|p| p.runs).unwrap_or_default() {
            self.preempt(name, task, run, request, Shortage::Room, now);
        }
    }

    /// Returns the runs on a minion whose stop costs least so that `slots` tasks fit; none if they
    /// do not fit. Runs that are expected to end before the tasks could start are not stopped, and
    /// their resources count as free.
    fn plan(&self, request: &Request, minion: &Minion, slots: u32, now: Time) -> Option<Plan> {
        let need = request.amount.times(u64::from(slots));
        let kept = minion.used_after(request.step, |r| r.ends_soon(now));
        let capacity = minion.entry.capacity;
        let suffices = |released: &Resources| need.fits(&capacity.minus(&kept.minus(released)));
        let is_victim = |r: &&Run| {
            let priority = preemptible_priority(r, now).filter(|_| !r.ends_soon(now));
            priority.is_some_and(|p| request.may_preempt() && p > request.priority)
        };
        let victims: Vec<&Run> = minion.runs.iter().filter(is_victim).collect();
        let candidates = victims.iter().map(|run| Candidate {
            amount: run.amount,
            preemptions: run.preemptions,
            cost: self.stop_cost(run.task, &run.amount, run.unsaved_ms(now)),
        });
        let candidates: Vec<Candidate> = candidates.collect();
        let choice = victims::choose(&candidates, suffices)?;
        let is_chosen = |r: &Run| {
            choice
                .victims
                .iter()
                .any(|index| std::ptr::eq(victims[*index], r))
        };
        let awaits = !need.fits(&minion.free_after(request.step, is_chosen));
        let runs = choice.victims.iter().map(|index| victims[*index]);
        let runs = runs.map(|r| (r.task, r.number)).collect();
        Some(Plan {
            choice,
            runs,
            awaits,
        })
    }

    /// Returns the cost of stopping a run, in core-milliseconds.
    pub(super) fn stop_cost(&self, task: TaskKey, amount: &Resources, unsaved_ms: u64) -> u64 {
        let mut loss = Loss {
            cores_milli: amount.cores_milli,
            unsaved_ms,
            ..Loss::default()
        };
        let job = self.jobs.get(&task.step.job);
        let queue = job.and_then(|j| self.queues.get(&j.queue));
        if let (Some(job), Some(timing)) = (job, queue.and_then(|q| q.advice)) {
            loss.call_ms = timing.call_ms(OBJECTIVE_MINIONS);
            let tasks = job.tasks[job.task_range(task.step)].iter();
            let tasks = tasks.take(MAX_COUNTED);
            let waiting = tasks.filter(|t| t.placement == Placement::Pending);
            loss.waiting = waiting.count() as u64;
        }
        loss.cost()
    }

    /// Preempts a run for a request, and counts the preemption.
    pub(super) fn preempt(
        &mut self,
        name: &Name,
        task: TaskKey,
        run: u32,
        request: &Request,
        shortage: Shortage,
        now: Now,
    ) {
        let runs = self.minions.get(name).map_or(&[][..], |m| &m.runs);
        let found = runs.iter().find(|r| r.task == task && r.number == run);
        let job = self.jobs.get_mut(&task.step.job);
        let (Some(found), Some(job)) = (found, job) else {
            return;
        };
        let Some(position) = job.spec.position(task) else {
            return;
        };
        let unsaved_ms = found.unsaved_ms(now.time);
        let limited = shortage == Shortage::Limit;
        let repeated = job.preemptions(position) > 0;
        job.add_preemption(position);
        log::info!(
            task:% = task, run, minion:% = name, by:% = request.step, queue:% = job.queue,
            by_queue:% = request.queue, unsaved_ms, repeated;
            "leader: run preempted{}", if limited { ", account at its limit" } else { "" }
        );
        self.preemptions.add(Preemption {
            task,
            run,
            queues: (job.queue.clone(), request.queue.clone()),
            unsaved_work: unsaved_ms.saturating_mul(found.amount.cores_milli) / MILLI,
            limited,
            repeated,
        });
        self.stop_run(name, task, run, now);
    }

    /// Notes for the accounting of preemptions whether a run that has ended has saved its work.
    pub(super) fn note_saved_end(&mut self, end: &EndedRun) {
        let job = self.jobs.get(&end.task.step.job);
        let known = job.and_then(|j| Some(&j.tasks.get(j.spec.position(end.task)?)?.checkpoint));
        let has_new = !end.checkpoint.is_empty() && known != Some(&end.checkpoint);
        if has_new || end.end == End::Done {
            self.preemptions.note_saved(end.task, end.run);
        }
    }
}
