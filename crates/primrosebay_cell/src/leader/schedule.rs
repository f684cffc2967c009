//! Scheduling passes: the order of steps, advice calls and the choice of candidate minions.

use std::cmp::Reverse;

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
#[cfg(debug_assertions)]
use primrosebay_state::table::Table;
use primrosebay_state::time::Time;

use super::Leader;
#[cfg(debug_assertions)]
use super::active::ActiveJob;
use super::active::{START_LATENCY_MS, Wait};
use super::advice::MAX_CALL_MINIONS;
use super::command::Now;
use super::minion::{Minion, count_fitting};
use super::quota::{QuotaUsage, is_half_free};
use super::ready::{Backoff, ReadyStep};
use super::room::Slots;
use crate::config::AdviceTiming;
use crate::job::{StepKey, TaskKey};
use crate::record::Placement;

/// Number of standard deviations by which the allowed minions may fall short of their expected
/// number while a gang still finds enough. At this value one call in twenty names too few minions.
/// Such a call is wasted, since a gang starts only if all its tasks fit.
const GANG_DEVIATIONS: f64 = 1.65;

/// Fraction of the fixed duration of an advice call that named minions may always add: a call names
/// at least as many minions as prolong it by this fraction. More names widen the choice at little
/// cost, since the fixed duration limits how many calls the cell can make.
const NAMING_FRACTION: f64 = 0.25;

/// Multiple of its latency objective after which a job has expired.
const EXPIRY_OBJECTIVES: u64 = 3;

/// Maximum number of steps visited in serving order in one pass, including those that are known not
/// to start in it.
const MAX_VISITED: usize = 5_000;

/// One in this many of the steps that a pass examines is chosen in rotation, from those that the
/// more urgent ones leave over.
const ROTATED_FRACTION: usize = 4;

/// Maximum number of steps visited in rotation in one pass.
const MAX_ROTATED: usize = 1_000;

/// Margin added to the expected time of an advice answer while resources are reserved for it, in
/// milliseconds: the answer travels over two hops and waits for the next pass.
const ANSWER_MARGIN_MS: u64 = 300;

/// Time before its last start from which on a step that waits is examined in each pass, in
/// milliseconds.
const URGENT_MS: u64 = 500;

/// Fraction of the time before that, after which a step that waits is examined again.
const BACKOFF_DIVISOR: u64 = 8;

/// Longest time after which a step that waits is examined again, in milliseconds. Steps that are
/// late already wait this long.
const MAX_BACKOFF_MS: u64 = 50;

/// Longest time after which a step for which resources are reserved is examined again, in
/// milliseconds. Until then nothing else uses them.
const HOLDER_BACKOFF_MS: u64 = 20;

/// Part of the minions needed for a wide gang by which a renewal of tickets names more: some may be
/// lost or fill up before the answers arrive.
const RENEWAL_MARGIN_DIVISOR: usize = 10;

/// Tasks of a step to place.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent properties of the step"
)]
pub(super) struct Request {
    pub(super) step: StepKey,
    pub(super) queue: Name,
    pub(super) label: Option<Name>,
    pub(super) amount: Resources,
    pub(super) gang: bool,
    pub(super) one_rack: bool,
    pub(super) rack: Option<Name>,
    pub(super) priority: u32,
    /// Whether the job can no longer meet its latency objective.
    late: bool,
    /// Whether the tasks run until their job is cancelled.
    lasting: bool,
    /// Expected duration of a task, in milliseconds; 0 if unknown.
    expected_ms: u64,
    pub(super) per_minion: u32,
    pub(super) account: Option<Name>,
    /// Indices of the tasks to start.
    pub(super) pending: Vec<u32>,
    /// Minions on which a task of the step has failed.
    pub(super) failed_on: Vec<Name>,
    /// Duration of advice calls; none if the queue needs no advice.
    advice: Option<AdviceTiming>,
}

impl Request {
    /// Returns how many more tasks the per-minion limit of the step allows on a minion.
    pub(super) fn minion_limit(&self, minion: &Minion) -> u32 {
        if self.per_minion == 0 {
            return u32::MAX;
        }
        self.per_minion.saturating_sub(minion.step_runs(self.step))
    }

    /// Returns the minimum resources for the step to start: those of all tasks of a gang, or of one
    /// task.
    pub(super) fn min_resources(&self) -> Resources {
        self.amount.times(u64::from(self.min_tasks()))
    }

    /// Returns the minimum number of tasks with which the step can start: all tasks of a gang, or
    /// one task.
    pub(super) fn min_tasks(&self) -> u32 {
        if self.gang { self.count() } else { 1 }
    }

    /// Returns whether the account's limit is charged for the tasks while they wait. Tasks that last
    /// may wait for each other without end.
    fn is_charged(&self) -> bool {
        !self.late && !self.lasting
    }

    /// Returns whether less urgent runs may be preempted for the step. A job that can no longer meet
    /// its objective is worth less than what is lost with them, unless it is of the most urgent kind,
    /// which never waits for other work. Gangs need room for all of their tasks at once, which hardly
    /// ever becomes free by itself while others start on it.
    pub(super) fn may_preempt(&self) -> bool {
        !self.late || self.priority == 0 || self.gang
    }

    /// Returns the expected duration of a task, in milliseconds; none if it lasts.
    pub(super) fn duration(&self) -> Option<u64> {
        (!self.lasting).then_some(self.expected_ms)
    }

    /// Returns the time at which tasks that start now are expected to end; none if it is not known.
    pub(super) fn expected_end(&self, now: Time) -> Option<Time> {
        let duration = self.duration().filter(|ms| *ms > 0)?;
        let start = now.0.saturating_add(START_LATENCY_MS);
        Some(Time(start.saturating_add(duration)))
    }

    /// Returns the number of tasks to start.
    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.pending.len()).unwrap_or(u32::MAX)
    }

    /// Returns how many tasks of the step can be placed on a minion now.
    pub(super) fn slots(&self, minion: &Minion) -> u32 {
        count_fitting(&self.amount, &minion.free(self.step)).min(self.minion_limit(minion))
    }
}

impl Leader {
    /// Runs a scheduling pass: starts pending tasks, the most urgent first.
    pub(super) fn schedule(&mut self, now: Now) {
        self.update_ready(now);
        #[cfg(debug_assertions)]
        self.assert_consistent(now);
        self.blocked = super::BlockedSteps::default();
        if self.ready.len() == 0 {
            return;
        }
        if !self.is_configured {
            self.blocked.unexamined = self.ready.len();
            return;
        }
        let mut quota = self.quota_usage();
        self.update_limit_waits(now.time);
        self.begin_room(now.time);
        self.advice.plans.begin();
        self.place_starved(&mut quota, now);
        let rotated = self.settings.max_steps / ROTATED_FRACTION;
        let first = 0..self.ready.len().min(MAX_VISITED);
        let visited = self.visit(first, self.settings.max_steps - rotated, &mut quota, now);
        // Steps that cannot start may fill the front of the queue for as long as they like. So that
        // they do not hide the others, the pass also examines some of the rest, each time others.
        let rest = self
            .ready
            .rotate(self.next_rotated, visited, MAX_ROTATED + 1);
        let next = rest.clone().take(MAX_ROTATED);
        let rest_visited = self.visit(next, rotated, &mut quota, now);
        let next = rest.clone().nth(rest_visited);
        self.next_rotated = next.and_then(|i| self.ready.at(i)).map(|r| r.position);
        self.grant_calls(&mut quota, now);
        self.blocked.unexamined = self.ready.len() - visited - rest_visited;
        self.blocked.charged_milli = quota.charged_milli;
        self.last_quota = Some(quota);
    }

    /// Places the steps at these indices of the serving order, which is the same for the whole pass,
    /// until `max_steps` have been examined. Steps that are known not to start in
    /// this pass do not count. Returns the number of steps up to the last one that was examined.
    fn visit(
        &mut self,
        steps: impl Iterator<Item = usize>,
        max_steps: usize,
        quota: &mut QuotaUsage,
        now: Now,
    ) -> usize {
        let mut examined = 0;
        let mut visited = 0;
        for ready in steps {
            if examined >= max_steps {
                break;
            }
            visited += 1;
            let Some(ready) = self.ready.at(ready) else {
                continue;
            };
            let step = ready.step();
            if self.is_known_full(step, now.time) {
                self.blocked.capacity += 1;
            } else if ready.late && self.is_known_limited(step, quota) {
                self.blocked.limit += 1;
                self.note_late(step, now.time);
            } else if let Some(backoff) = self.ready.backoff(step, now.time) {
                self.blocked.count(backoff.cause);
                if let Some((account, (amount, starts))) = &backoff.charge {
                    quota.charge_waiting(account, amount, *starts);
                }
            } else {
                self.place_step(step, ready.late, quota, now);
                self.blocked.examined += 1;
                examined += 1;
            }
        }
        visited
    }

    /// Notes for each account whether it uses less than half of its limit, and whether its waiting
    /// steps hold others back.
    fn update_limit_waits(&mut self, now: Time) {
        let last = self.last_quota.as_ref();
        for (name, account) in self.accounts.iter() {
            let used = self.usage.get(name).copied().unwrap_or_default();
            let has_waiting = last.is_some_and(|q| q.has_waiting(name));
            let is_half_free = is_half_free(&used, &account.limit);
            self.limit_waits
                .update(name, is_half_free, has_waiting, now);
        }
    }

    /// Places the late steps that have waited very long for the limit of their account before all
    /// others, and charges the limit for those that still wait.
    fn place_starved(&mut self, quota: &mut QuotaUsage, now: Now) {
        let ready = &self.ready;
        self.limit_waits.retain_late(|step| ready.contains(step));
        for step in self.limit_waits.starved(now.time) {
            self.place_step(step, true, quota, now);
            let request = self.request(step, true);
            if let Some(request) = request.filter(|r| self.is_limited_by_runs(r, quota)) {
                let starts = self.expected_start(&request, quota, now);
                quota.reserve(&request, starts);
            }
        }
    }

    /// Asserts that what is kept up to date by changes equals what all jobs and runs show.
    #[cfg(debug_assertions)]
    fn assert_consistent(&self, now: Now) {
        let early_ms = self.settings.early_start_ms;
        let known = |j: &&ActiveJob| self.queues.get(&j.queue).is_some();
        let jobs = self.jobs.iter().map(|(_, job)| &**job).filter(known);
        let ready: Vec<StepKey> = jobs.flat_map(|j| j.ready_steps(now, early_ms)).collect();
        assert_eq!(self.ready.steps(), ready, "ready steps");
        self.ready.assert_consistent();
        let mut usage: Table<Name, Resources> = Table::default();
        for run in self.minions.iter().flat_map(|(_, m)| &m.runs) {
            if let Some(account) = &run.account {
                let sum = usage.or_insert(account.clone(), Resources::ZERO);
                *sum = sum.plus(&run.amount);
            }
        }
        for (account, used) in self.usage.iter() {
            let expected = usage.get(account).copied().unwrap_or_default();
            assert_eq!(*used, expected, "resources of {account}");
        }
    }

    /// Updates the ready steps of the jobs that have changed since the last pass.
    fn update_ready(&mut self, now: Now) {
        let early = now.wall_ms.saturating_add(self.settings.early_start_ms);
        let due = self.ready.advance(now.wall_ms, early);
        self.changes.unsorted.extend(due);
        let uses_durations = self.uses_durations();
        for key in std::mem::take(&mut self.changes.unsorted) {
            let Some(job) = self.jobs.get_mut(&key) else {
                self.ready.remove_job(key);
                continue;
            };
            job.is_changed = false;
            let Some(queue) = self.queues.get(&job.queue) else {
                self.ready.remove_job(key);
                continue;
            };
            job.plan(&self.durations);
            if uses_durations {
                job.update_expected(&self.durations);
            }
            job.objective = job.objective_ms(queue);
            let grace = job.objective.saturating_mul(EXPIRY_OBJECTIVES - 1);
            let steps = job.ready_steps(now, self.settings.early_start_ms);
            let steps = steps.into_iter().map(|step| {
                let deadline = job.deadline_ms(step.occurrence);
                // A task that lasts has no end that could come too late.
                let lasts = job.step(step).is_some_and(|s| s.long_running);
                let (last_start, expiry) = if lasts {
                    (u64::MAX, u64::MAX)
                } else {
                    let last_start = job.last_start_ms(step, deadline);
                    (last_start, deadline.saturating_add(grace))
                };
                ReadyStep {
                    key: step,
                    priority: queue.priority,
                    over_share: job.over_share,
                    deadline,
                    last_start,
                    expiry,
                }
            });
            self.ready
                .set_job(key, steps, job.next_due_ms(early), now.wall_ms);
        }
    }

    /// Returns a request for the pending tasks of a step; none if there are none or, for a gang, if
    /// not all of its tasks are pending.
    pub(super) fn request(&self, step: StepKey, late: bool) -> Option<Request> {
        let job = self.jobs.get(&step.job)?;
        let queue = self.queues.get(&job.queue)?;
        let spec = job.step(step)?;
        let task_range = job.task_range(step);
        let task = |index| TaskKey { step, index };
        let is_pending =
            |i: &u32| job.tasks[task_range.start + *i as usize].placement == Placement::Pending;
        let mut pending = Vec::with_capacity(spec.count as usize);
        pending.extend((0..spec.count).filter(is_pending));
        if !self.orphans.is_empty() {
            pending.retain(|i| !self.orphans.contains(&task(*i)));
        }
        if pending.is_empty() || spec.gang && pending.len() != spec.count as usize {
            return None;
        }
        let in_step = |position: &usize| task_range.contains(position);
        let failed = job
            .failed_on
            .iter()
            .filter(|(position, _)| in_step(position));
        Some(Request {
            step,
            queue: job.queue.clone(),
            label: spec.label.clone(),
            amount: job.amount(step),
            gang: spec.gang,
            one_rack: spec.one_rack,
            rack: spec.rack.clone(),
            priority: queue.priority,
            late,
            lasting: spec.long_running,
            expected_ms: job.duration_ms(step).unwrap_or(0),
            per_minion: spec.per_minion,
            account: job.account.clone(),
            pending,
            failed_on: failed.map(|(_, name)| name.clone()).collect(),
            advice: queue.advice,
        })
    }

    /// Counts a step that cannot be started in full, and notes the cause for its job.
    pub(super) fn block(&mut self, step: StepKey, cause: Wait, now: Time) {
        self.blocked.count(cause);
        self.note_wait(step, Some(cause), now);
    }

    /// Counts a step that waits for room on minions.
    pub(super) fn wait_for_room(&mut self, step: StepKey, now: Time) {
        self.block(step, Wait::Room, now);
    }

    /// Lets the next passes leave out a step that they cannot start in full, if it is late or has
    /// time left. Meanwhile the limit of its account is charged for `charge`.
    pub(super) fn back_off(
        &mut self,
        request: &Request,
        cause: Wait,
        charge: Option<(Resources, Time)>,
        now: Now,
    ) {
        let step = request.step;
        let longest = if self.room.is_holder(step) {
            HOLDER_BACKOFF_MS
        } else {
            MAX_BACKOFF_MS
        };
        let last_start = self.ready.last_start(step).unwrap_or(0);
        let urgent = now.wall_ms.saturating_add(URGENT_MS);
        let wait_ms = if request.late {
            longest
        } else {
            let slack = last_start.saturating_sub(urgent);
            longest.min(slack / BACKOFF_DIVISOR)
        };
        if wait_ms > 0 {
            let backoff = Backoff {
                until: now.time + wait_ms,
                cause,
                charge: request.account.clone().zip(charge),
            };
            self.ready.set_backoff(step, backoff);
        }
    }

    /// Notes for a step's job what it waits for; none if it does not wait any more.
    pub(super) fn note_wait(&mut self, step: StepKey, cause: Option<Wait>, now: Time) {
        if let Some(job) = self.jobs.get_mut(&step.job) {
            job.waits.note(cause, now);
        }
    }

    fn is_asking(&self, step: StepKey, now: Time) -> bool {
        self.advice.get(step).is_some_and(|a| a.is_pending(now))
    }

    /// Returns whether a step is known to lack room, without a look at its tasks. A backlog has many
    /// such steps.
    fn is_known_full(&self, step: StepKey, now: Time) -> bool {
        self.is_full(step) && !self.is_asking(step, now)
    }

    pub(super) fn place_step(
        &mut self,
        step: StepKey,
        late: bool,
        quota: &mut QuotaUsage,
        now: Now,
    ) {
        let Some(mut request) = self.request(step, late) else {
            return;
        };
        let quota_slots = self.quota_slots(&request, quota, now.time);
        if quota_slots == 0 || request.gang && quota_slots < request.count() {
            self.block(step, Wait::Limit, now.time);
            let mut charge = None;
            if late {
                if self.is_limited_by_runs(&request, quota) {
                    quota.note_limited(&request);
                }
                self.note_late(step, now.time);
            } else if self.is_within_limit(&request) && self.could_hold(&request) {
                self.preempt_in_account(&request, quota, now);
                if request.is_charged() {
                    let starts = self.expected_start(&request, quota, now);
                    charge = Some(quota.reserve(&request, starts));
                }
            }
            self.back_off(&request, Wait::Limit, charge, now);
            return;
        }
        request.pending.truncate(quota_slots as usize);
        let timing = request.advice;
        // Most blocked steps wait for advice; checking this first avoids a scan of the minions.
        if timing.is_some() && self.is_asking(step, now.time) {
            if self.advice.take_news(step) {
                self.place_ticketed(&mut request, quota, now);
                if request.pending.is_empty() {
                    return;
                }
            }
            self.block(step, Wait::Advice, now.time);
            let charge = request
                .is_charged()
                .then(|| quota.reserve(&request, now.time));
            self.back_off(&request, Wait::Advice, charge, now);
            return;
        }
        let advice = self.advice.get(step);
        let has_tickets = advice.is_some_and(|a| a.has_tickets(now.time));
        if let Some(timing) = timing.filter(|_| !has_tickets)
            && (self.waits_its_turn(&request, timing)
                || !self
                    .advice
                    .can_call(step, timing.call_ms(1), late, now.time, &self.settings))
        {
            self.wait_for_client(&request, timing, now);
            return;
        }
        let before = request.pending.len();
        let is_called = match timing {
            None => {
                self.place_on(&mut request, None, quota, now);
                self.make_room_for_rest(&request, None, now)
            }
            Some(timing) => self.place_with_advice(&mut request, timing, quota, now),
        };
        if !is_called && request.pending.len() == before {
            self.update_room(now.time);
            self.note_if_full(&request, now.time);
        }
        if request.pending.is_empty() {
            return;
        }
        if self.is_asking(step, now.time) {
            let charge = request
                .is_charged()
                .then(|| quota.reserve(&request, now.time));
            self.back_off(&request, Wait::Advice, charge, now);
        } else {
            self.back_off(&request, Wait::Room, None, now);
            self.rest_until_plan(step, now.time);
        }
    }

    /// Notes that a late step waits for the limit of its account, if it can start at all and needs more
    /// than half of the limit: less is free whenever the waiting steps may not hold others back.
    fn note_late(&mut self, step: StepKey, now: Time) {
        let Some(job) = self.jobs.get(&step.job) else {
            return;
        };
        let (Some(account), accepted_ms) = (&job.account, job.accepted_ms) else {
            return;
        };
        if !self.limit_waits.is_first_late(account, accepted_ms) {
            return;
        }
        let request = self.request(step, true);
        let may_start =
            |r: &Request| !r.lasting && self.is_wide_within_limit(r) && self.could_hold(r);
        if request.is_some_and(|r| may_start(&r)) {
            let account = account.clone();
            self.limit_waits.set_late(&account, step, accepted_ms, now);
        }
    }

    /// Places tasks of a queue that needs advice. Returns whether the step has what it needs or
    /// waits for it, so that it does not lack room.
    fn place_with_advice(
        &mut self,
        request: &mut Request,
        timing: AdviceTiming,
        quota: &mut QuotaUsage,
        now: Now,
    ) -> bool {
        let ticketed = self.place_ticketed(request, quota, now);
        if self.prefers_call(request, timing, &ticketed, now) {
            let allowed = self.allowed_positions(request.step);
            if self.call_unqueried(request, timing, &allowed, now)
                && self.is_asking(request.step, now.time)
            {
                return true;
            }
        }
        if !ticketed.is_empty()
            && (request.pending.is_empty()
                || self.make_room_for_rest(request, Some(&ticketed), now))
        {
            return true;
        }
        if self.waits_its_turn(request, timing) {
            self.wait_for_client(request, timing, now);
            return true;
        }
        let allowed = self.allowed_positions(request.step);
        if self.is_call_costly(request, timing) {
            return self.call_expected(request, timing, &allowed, now);
        }
        self.renew_tickets(request, timing, &allowed, &ticketed, now)
            || self.call_unqueried(request, timing, &allowed, now)
    }

    /// Returns the positions of the minions that are known to be allowed for a step.
    fn allowed_positions(&self, step: StepKey) -> Vec<usize> {
        let advice = self.advice.get(step);
        let allowed = advice.map(|a| self.positions(a.allowed.iter()));
        allowed.unwrap_or_default()
    }

    /// Places tasks on the minions for which there are valid tickets. Returns their positions.
    fn place_ticketed(
        &mut self,
        request: &mut Request,
        quota: &mut QuotaUsage,
        now: Now,
    ) -> Vec<usize> {
        let advice = self.advice.get(request.step);
        let ticketed = advice.map(|a| self.positions(a.ticketed(now.time)));
        let ticketed = self.matching(request, &ticketed.unwrap_or_default());
        if !ticketed.is_empty() {
            self.place_on(request, Some(&ticketed), quota, now);
        }
        ticketed
    }

    /// Requests new tickets for allowed minions on which tasks fit, now or after preemption.
    /// Returns whether these minions suffice and some of them lack a ticket, so that no others have
    /// to be queried.
    fn renew_tickets(
        &mut self,
        request: &Request,
        timing: AdviceTiming,
        allowed: &[usize],
        ticketed: &[usize],
        now: Now,
    ) -> bool {
        let candidates = self.candidates(request, allowed, now.time);
        let min_slots = u64::from(request.min_tasks());
        // If all of these minions still have valid tickets, the step lacks resources, and new
        // tickets would not help.
        let total = total_slots(&candidates);
        let has_ticket = |c: &Slots| ticketed.binary_search(&c.minion).is_ok();
        if total < min_slots || candidates.iter().all(has_ticket) {
            return false;
        }
        let mut names = self.names(&candidates);
        if !request.gang || names.len() <= MAX_CALL_MINIONS {
            names.truncate(MAX_CALL_MINIONS);
            self.call_advice(request, timing, vec![names.clone()], &names, now);
            return true;
        }
        let needed = count_needed(&candidates, min_slots);
        names.truncate(MAX_CALL_MINIONS.max(needed + needed / RENEWAL_MARGIN_DIVISOR));
        let batches = self.renewal_batches(request, timing, &names, now.time);
        self.call_advice(request, timing, batches, &names, now);
        true
    }

    /// Splits the minions whose tickets expire before the answers arrive into calls. The tickets
    /// that are missing or expire first come first, in case not all calls can be made.
    fn renewal_batches(
        &self,
        request: &Request,
        timing: AdviceTiming,
        names: &[Name],
        now: Time,
    ) -> Vec<Vec<Name>> {
        let answered = now + timing.call_ms(MAX_CALL_MINIONS) + ANSWER_MARGIN_MS;
        let advice = self.advice.get(request.step);
        let valid_until = |n: &Name| advice.map_or(Time(0), |a| a.valid_until(n));
        let mut expiring: Vec<Name> = names.to_vec();
        expiring.retain(|n| valid_until(n) < answered);
        expiring.sort_by_key(valid_until);
        let cost_ms = timing.call_ms(MAX_CALL_MINIONS);
        let max_calls = self.advice.max_calls(cost_ms, now, &self.settings);
        split_evenly(&expiring, max_calls)
    }

    /// Calls the advice service about each batch of minions. For a gang, reserves resources on the
    /// minions in `allowed` until the answers arrive.
    pub(super) fn call_advice(
        &mut self,
        request: &Request,
        timing: AdviceTiming,
        batches: Vec<Vec<Name>>,
        allowed: &[Name],
        now: Now,
    ) {
        if request.gang {
            self.claim_for_gang(request, &batches);
        }
        let expected = self.start_calls(request.step, timing, batches, request.late, now);
        let Some(wait_ms) = expected else {
            self.block(request.step, Wait::Client, now.time);
            return;
        };
        let demand = request.amount.times(u64::from(request.count()));
        let account = request.account.as_ref();
        self.advice
            .set_demand(request.step, account, demand.cores_milli);
        self.note_wait(request.step, Some(Wait::Advice), now.time);
        if request.gang {
            let until = now.time + wait_ms + ANSWER_MARGIN_MS;
            self.reserve_slots(request, allowed, request.count(), until, now.time);
        }
    }

    /// Reserves resources for `want` tasks of a gang that waits for its tickets.
    fn reserve_slots(
        &mut self,
        request: &Request,
        names: &[Name],
        want: u32,
        until: Time,
        now: Time,
    ) {
        let mut left = want;
        self.update_room(now);
        let positions = self.positions(names.iter());
        for found in self.future_slots(request, Some(&positions), now) {
            let Some((name, _)) = self.minions.at(found.minion) else {
                continue;
            };
            let name = name.clone();
            let slots = found.free.min(left);
            if slots > 0 {
                left -= slots;
                self.reserve(request, &name, slots, until);
            }
        }
    }

    /// Calls the advice service about minions not yet queried for the step. The calls for a gang
    /// repeat the minions that are known to be allowed, so that all its tickets are valid at the
    /// same time, unless there are too many: what is allowed does not change, so their tickets can
    /// be renewed once enough of them are known. Returns whether there was enough room to ask.
    fn call_unqueried(
        &mut self,
        request: &Request,
        timing: AdviceTiming,
        allowed: &[usize],
        now: Now,
    ) -> bool {
        self.update_room(now.time);
        let allowed_candidates = if request.gang {
            self.candidates(request, allowed, now.time)
        } else {
            Vec::new()
        };
        let candidates = self.unqueried(request, now.time);
        let want = u64::from(request.count());
        let want = want.saturating_sub(total_slots(&allowed_candidates)).max(1);
        let min_slots = if request.gang { want } else { 1 };
        let is_vain =
            request.gang && self.is_gang_call_vain(request, timing, &candidates, want, now);
        if is_vain || total_slots(&candidates) < min_slots {
            self.block(request.step, Wait::Room, now.time);
            return false;
        }
        let allow_rate = self.advice.allow_rate(&request.queue);
        let deviations = if request.gang { GANG_DEVIATIONS } else { 0.0 };
        // A gang needs enough minions in any case. Other tasks start sooner where nothing has to be
        // stopped for them.
        let order = |c: &Slots| {
            let preferred = if request.gang {
                (c.total, c.free)
            } else {
                (c.free.min(request.count()), c.total)
            };
            (Reverse(preferred), minion_order(request.step, c.minion))
        };
        let cost_ms = timing.call_ms(MAX_CALL_MINIONS);
        let max_calls = if request.gang {
            self.advice.max_calls(cost_ms, now.time, &self.settings)
        } else {
            1
        };
        let max_names = max_calls * MAX_CALL_MINIONS;
        let is_last = allowed_candidates.len() + candidates.len() <= MAX_CALL_MINIONS;
        // Each key contains a hash, so it is computed only once.
        let candidates = candidates.into_iter().map(|c| (order(&c), c));
        let mut ordered: Vec<_> = candidates.collect();
        smallest_by_key(&mut ordered, max_names, |c| c.0);
        let mut candidates: Vec<Slots> = ordered.into_iter().map(|c| c.1).collect();
        let count = call_size(&candidates, want, timing, allow_rate, deviations);
        candidates.truncate(count);
        let allowed = self.names(&allowed_candidates);
        let mut names = self.names(&candidates);
        if allowed.len() + names.len() <= max_names {
            names.extend(allowed.iter().cloned());
        }
        let batches = split_evenly(&names, max_calls);
        // While a wide gang looks for minions, others can use those that it knows.
        let reserved = if is_last { &allowed[..] } else { &[] };
        self.call_advice(request, timing, batches, reserved, now);
        true
    }

    /// Returns the minions among those at `positions` on which tasks fit, now or after preemption,
    /// those with the most tasks first. Ties are ordered by a hash that differs between steps, so that calls
    /// for different steps name different minions.
    fn candidates(&self, request: &Request, positions: &[usize], now: Time) -> Vec<Slots> {
        let mut candidates = self.future_slots(request, Some(positions), now);
        let order = |c: &Slots| {
            (
                Reverse((c.total, c.free)),
                minion_order(request.step, c.minion),
            )
        };
        candidates.sort_by_cached_key(order);
        candidates
    }

    /// Returns the minions on which tasks fit, now or after preemption, and that no advice call of
    /// the step has named, in no particular order.
    pub(super) fn unqueried(&self, request: &Request, now: Time) -> Vec<Slots> {
        let mut found = self.future_slots(request, None, now);
        let advice = self.advice.get(request.step);
        let queried = advice.map(|a| &a.queried[..]).unwrap_or_default();
        if !queried.is_empty() {
            // Both are in the order of the names.
            let queried = self.positions(queried.iter());
            found.retain(|c| queried.binary_search(&c.minion).is_err());
        }
        found
    }

    fn names(&self, candidates: &[Slots]) -> Vec<Name> {
        let minions = candidates.iter().filter_map(|c| self.minions.at(c.minion));
        minions.map(|(name, _)| name.clone()).collect()
    }

    /// Reserves or preempts resources for the remaining tasks. Returns whether there will be enough
    /// for all of them, so that the step only has to wait.
    fn make_room_for_rest(
        &mut self,
        request: &Request,
        positions: Option<&[usize]>,
        now: Now,
    ) -> bool {
        let want = request.count();
        if want == 0 {
            return true;
        }
        self.note_wait(request.step, Some(Wait::Room), now.time);
        self.make_room(request, positions, want, now) >= want
    }
}

/// Returns how many tasks fit on these minions in total.
pub(super) fn total_slots(candidates: &[Slots]) -> u64 {
    candidates.iter().map(|c| u64::from(c.total)).sum()
}

/// Returns how many of the first candidates are needed for `want` tasks; all if they do not suffice.
fn count_needed(candidates: &[Slots], want: u64) -> usize {
    let mut slots = 0;
    let is_short = |c: &&Slots| {
        let short = slots < want;
        slots += u64::from(c.total);
        short
    };
    candidates.iter().take_while(is_short).count()
}

/// Splits minions into as few batches for advice calls as possible, of nearly equal sizes. Leaves out
/// the last minions if `max_calls` calls cannot name all.
fn split_evenly(names: &[Name], max_calls: usize) -> Vec<Vec<Name>> {
    let names = &names[..names.len().min(max_calls * MAX_CALL_MINIONS)];
    let calls = names.len().div_ceil(MAX_CALL_MINIONS).max(1);
    let size = names.len().div_ceil(calls).max(1);
    names.chunks(size).map(<[Name]>::to_vec).collect()
}

/// Keeps the `count` items with the lowest keys, sorted.
pub(super) fn smallest_by_key<T, K: Ord>(items: &mut Vec<T>, count: usize, key: impl Fn(&T) -> K) {
    if count < items.len() {
        items.select_nth_unstable_by_key(count, &key);
        items.truncate(count);
    }
    items.sort_unstable_by_key(key);
}

/// Returns a hash by which each step orders minions differently.
pub(super) fn minion_order(step: StepKey, minion: usize) -> u64 {
    let step_key = step.job.0 ^ u64::from(step.occurrence).rotate_left(32) ^ u64::from(step.step);
    // The finalizer of SplitMix64 spreads each bit over all others.
    let mut hash = step_key.wrapping_add((minion as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Returns how many minions an advice call names: enough that those allowed, a fraction
/// `allow_rate` on average, have capacity for all tasks even if they are `deviations` standard
/// deviations fewer than expected. Assumes that each minion is allowed independently of the others.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "there are at most thousands of minions"
)]
fn call_size(
    candidates: &[Slots],
    want: u64,
    timing: AdviceTiming,
    allow_rate: f64,
    deviations: f64,
) -> usize {
    let needed = u32::try_from(count_needed(candidates, want)).unwrap_or(u32::MAX);
    let needed = f64::from(needed);
    // Mean of a binomial distribution that exceeds `needed` by `deviations` standard deviations.
    let refused = 1.0 - allow_rate;
    let half = deviations * deviations * refused / 2.0;
    let mean = needed + half + (2.0 * half * needed + half * half).sqrt();
    let expected = (mean / allow_rate).ceil() as usize;
    let affordable = (timing.fixed_ms * NAMING_FRACTION / timing.per_minion_ms.max(0.001)) as usize;
    expected.max(affordable)
}
