//! Scheduling passes: the order of steps, advice calls and the choice of candidate minions.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::Leader;
use super::command::Now;
use super::minion::{Minion, count_fitting};
use super::quota::QuotaUsage;
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

/// Added to the priority of jobs that can no longer meet their latency objective, so that jobs
/// which still can are served first.
const LATE_CLASS: u32 = 1_000;

/// Added to the priority of expired jobs, whose results are no longer of use.
const EXPIRED_CLASS: u32 = 2_000;

/// Multiple of its latency objective after which a job has expired.
const EXPIRY_OBJECTIVES: u64 = 3;

/// Margin added to the expected time of an advice answer while resources are reserved for it, in
/// milliseconds: the answer travels over two hops and waits for the next pass.
const ANSWER_MARGIN_MS: u64 = 300;

/// Sort key of a ready step: class plus priority, whether the account exceeds its share, and
/// deadline. The lowest key is served first.
type SortKey = (u32, bool, u64);

/// A minion on which tasks of a step may fit.
#[derive(Debug)]
struct Candidate {
    /// Number of tasks that fit after preemption of less urgent runs.
    slots: u32,
    /// Number of tasks that fit once stopping runs have stopped, without preemption.
    free_slots: u32,
    name: Name,
}

/// Tasks of a step to place.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) step: StepKey,
    pub(super) amount: Resources,
    pub(super) gang: bool,
    pub(super) one_rack: bool,
    pub(super) rack: Option<Name>,
    pub(super) priority: u32,
    /// Whether the job can no longer meet its latency objective.
    late: bool,
    per_minion: u32,
    pub(super) account: Option<Name>,
    /// Indices of the tasks to start.
    pub(super) pending: Vec<u32>,
    /// Minions on which a task of the step has failed.
    pub(super) failed_on: Vec<Name>,
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
        let tasks = if self.gang { self.pending.len() } else { 1 };
        self.amount.times(tasks as u64)
    }

    /// Returns how many tasks of the step can be placed on a minion now.
    pub(super) fn slots(&self, minion: &Minion) -> u32 {
        count_fitting(&self.amount, &minion.free(self.step)).min(self.minion_limit(minion))
    }
}

impl Leader {
    /// Runs a scheduling pass: starts pending tasks, the most urgent first.
    pub(super) fn schedule(&mut self, now: Now) {
        let mut ready = self.ready_steps(now);
        ready.sort_unstable();
        ready.truncate(self.settings.max_steps);
        let mut quota = self.quota_usage();
        self.blocked = super::BlockedSteps::default();
        self.usable = self.usable_minions(now.time);
        for ((class, ..), step) in ready {
            self.place_step(step, class >= LATE_CLASS, &mut quota, now);
        }
    }

    fn ready_steps(&self, now: Now) -> Vec<(SortKey, StepKey)> {
        let mut ready = Vec::new();
        for (_, job) in self.jobs.iter() {
            let Some(queue) = self.queues.get(&job.queue) else {
                continue;
            };
            let objective = job.objective_ms(queue);
            for step in job.ready_steps(now, self.settings.early_start_ms) {
                let deadline = job.deadline_ms(queue, step.occurrence);
                let grace = objective.saturating_mul(EXPIRY_OBJECTIVES - 1);
                let last = deadline.saturating_add(grace);
                let class = if now.wall_ms > last {
                    EXPIRED_CLASS
                } else if job.expected_end_ms(step, now) > deadline {
                    LATE_CLASS
                } else {
                    0
                };
                let class = queue.priority.saturating_add(class);
                ready.push(((class, job.over_share, deadline), step));
            }
        }
        ready
    }

    /// Returns a request for the pending tasks of a step; none if there are none or, for a gang, if
    /// not all of its tasks are pending.
    fn request(&self, step: StepKey, late: bool) -> Option<Request> {
        let job = self.jobs.get(&step.job)?;
        let queue = self.queues.get(&job.queue)?;
        let spec = job.step(step)?;
        let task_range = job.task_range(step);
        let task = |index| TaskKey { step, index };
        let pending: Vec<u32> = (0..spec.count)
            .filter(|i| job.tasks[task_range.start + *i as usize].placement == Placement::Pending)
            .filter(|i| !self.orphans.contains(&task(*i)))
            .collect();
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
            amount: job.amount(step),
            gang: spec.gang,
            one_rack: spec.one_rack,
            rack: spec.rack.clone(),
            priority: queue.priority,
            late,
            per_minion: spec.per_minion,
            account: job.account.clone(),
            pending,
            failed_on: failed.map(|(_, name)| name.clone()).collect(),
        })
    }

    /// Returns the usable minions that match the step's service, label and resources. The advice
    /// service may still disallow them.
    fn eligible(&self, request: &Request) -> Vec<Name> {
        let Some(job) = self.jobs.get(&request.step.job) else {
            return Vec::new();
        };
        let Some(queue) = self.queues.get(&job.queue) else {
            return Vec::new();
        };
        let label = job.step(request.step).and_then(|s| s.label.clone());
        let matches = |m: &&Minion| {
            m.entry.service == queue.service
                && label.as_ref().is_none_or(|l| m.has_label(l))
                && request.amount.fits(&m.entry.capacity)
        };
        let usable = self.usable.iter().filter_map(|name| self.minions.get(name));
        usable
            .filter(matches)
            .map(|m| m.entry.name.clone())
            .collect()
    }

    /// Returns the minions that accept new tasks, without those in evacuated zones.
    fn usable_minions(&self, now: Time) -> Vec<Name> {
        let usable = |m: &Minion| {
            m.is_usable(now, &self.settings) && self.evacuated.binary_search(&m.entry.zone).is_err()
        };
        let minions = self.minions.iter().filter(|(_, m)| usable(m));
        minions.map(|(name, _)| name.clone()).collect()
    }

    fn place_step(&mut self, step: StepKey, late: bool, quota: &mut QuotaUsage, now: Now) {
        let Some(mut request) = self.request(step, late) else {
            return;
        };
        let quota_slots = self.quota_slots(&request, quota);
        let count = u32::try_from(request.pending.len()).unwrap_or(u32::MAX);
        if quota_slots == 0 || request.gang && quota_slots < count {
            self.blocked.limit += 1;
            if !late {
                self.preempt_in_account(&request, quota, now);
                quota.reserve(&request);
            }
            return;
        }
        request.pending.truncate(quota_slots as usize);
        let timing = self
            .jobs
            .get(&step.job)
            .and_then(|j| self.queues.get(&j.queue))
            .and_then(|q| q.advice);
        // Most blocked steps wait for advice; checking this first avoids a scan of the minions.
        let advice = self.advice.get(step);
        if timing.is_some() && advice.is_some_and(super::advice::StepAdvice::is_pending) {
            self.blocked.advice += 1;
            if !late {
                quota.reserve(&request);
            }
            return;
        }
        let has_tickets = advice.is_some_and(|a| a.has_tickets(now.time));
        if let Some(timing) = timing.filter(|_| !has_tickets)
            && !self
                .advice
                .can_call(timing.call_ms(1), late, now.time, &self.settings)
        {
            self.blocked.advice_client += 1;
            return;
        }
        let eligible = self.eligible(&request);
        if eligible.is_empty() {
            return;
        }
        match timing {
            None => {
                self.place_on(&mut request, &eligible, quota, now);
                self.make_room_for_rest(&request, &eligible, now);
            }
            Some(timing) => self.place_with_advice(&mut request, timing, eligible, quota, now),
        }
    }

    /// Places tasks of a queue that needs advice.
    fn place_with_advice(
        &mut self,
        request: &mut Request,
        timing: AdviceTiming,
        eligible: Vec<Name>,
        quota: &mut QuotaUsage,
        now: Now,
    ) {
        let advice = self.advice.get(request.step);
        let allowed_names = advice.map(|a| a.allowed.clone()).unwrap_or_default();
        let queried = advice.map(|a| a.queried.clone()).unwrap_or_default();
        let allowed_names: Vec<Name> = eligible
            .iter()
            .filter(|n| allowed_names.contains(n))
            .cloned()
            .collect();
        let has_ticket = |n: &&Name| advice.is_some_and(|a| a.ticket(n, now.time).is_some());
        let ticketed: Vec<Name> = allowed_names.iter().filter(has_ticket).cloned().collect();
        self.place_on(request, &ticketed, quota, now);
        if request.pending.is_empty() || self.make_room_for_rest(request, &ticketed, now) {
            return;
        }
        if self.renew_tickets(request, timing, &allowed_names, &ticketed, now) {
            return;
        }
        let unqueried: Vec<Name> = eligible
            .into_iter()
            .filter(|n| queried.binary_search(n).is_err())
            .collect();
        self.call_unqueried(request, timing, &allowed_names, &unqueried, now);
    }

    /// Requests new tickets for allowed minions on which tasks fit, now or after preemption.
    /// Returns whether these minions suffice and some of them lack a ticket, so that no others have
    /// to be queried.
    fn renew_tickets(
        &mut self,
        request: &Request,
        timing: AdviceTiming,
        allowed_names: &[Name],
        ticketed: &[Name],
        now: Now,
    ) -> bool {
        let want = u32::try_from(request.pending.len()).unwrap_or(u32::MAX);
        let candidates = self.candidates(request, allowed_names, now.time);
        let min_slots = if request.gang { u64::from(want) } else { 1 };
        // If all of these minions still have valid tickets, the step lacks resources, and new
        // tickets would not help.
        let has_unticketed = candidates
            .iter()
            .any(|candidate| !ticketed.contains(&candidate.name));
        if total_slots(&candidates) < min_slots || !has_unticketed {
            return false;
        }
        let names: Vec<Name> = candidates
            .into_iter()
            .map(|candidate| candidate.name)
            .collect();
        self.call_advice(request, timing, &names, &names, now);
        true
    }

    /// Calls the advice service about `names`. For a gang, reserves resources on the minions in
    /// `allowed` until the answer arrives.
    fn call_advice(
        &mut self,
        request: &Request,
        timing: AdviceTiming,
        names: &[Name],
        allowed: &[Name],
        now: Now,
    ) {
        let expected = self.start_call(request.step, timing, names.to_vec(), request.late, now);
        let Some(wait_ms) = expected else {
            self.blocked.advice_client += 1;
            return;
        };
        if request.gang {
            let want = u32::try_from(request.pending.len()).unwrap_or(u32::MAX);
            let until = now.time + wait_ms + ANSWER_MARGIN_MS;
            self.reserve_slots(request, allowed, want, until, now.time);
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
        for name in names {
            let Some(minion) = self.minions.get(name) else {
                continue;
            };
            let slots = self.future_slots(minion, request, now).0.min(left);
            if slots > 0 {
                left -= slots;
                self.reserve(request, name, slots, until);
            }
        }
    }

    /// Calls the advice service about minions not yet queried for the step. A call for a gang
    /// repeats the minions that are known to be allowed, so that all its tickets are valid at the
    /// same time.
    fn call_unqueried(
        &mut self,
        request: &Request,
        timing: AdviceTiming,
        allowed_names: &[Name],
        unqueried: &[Name],
        now: Now,
    ) {
        let allowed_candidates = if request.gang {
            self.candidates(request, allowed_names, now.time)
        } else {
            Vec::new()
        };
        let candidates = self.candidates(request, unqueried, now.time);
        let want = request.pending.len() as u64;
        let want = want.saturating_sub(total_slots(&allowed_candidates)).max(1);
        let min_slots = if request.gang { want } else { 1 };
        if total_slots(&candidates) < min_slots {
            self.blocked.capacity += 1;
            return;
        }
        let queue = self.jobs.get(&request.step.job).map(|j| j.queue.clone());
        let allow_rate = self.advice.allow_rate(&queue.unwrap_or_default());
        let deviations = if request.gang { GANG_DEVIATIONS } else { 0.0 };
        let count = call_size(&candidates, want, timing, allow_rate, deviations);
        let allowed: Vec<Name> = allowed_candidates
            .into_iter()
            .map(|candidate| candidate.name)
            .collect();
        let new_names = candidates
            .into_iter()
            .take(count)
            .map(|candidate| candidate.name);
        let names: Vec<Name> = allowed.iter().cloned().chain(new_names).collect();
        self.call_advice(request, timing, &names, &allowed, now);
    }

    /// Returns the minions on which tasks fit, now or after preemption, those with the most tasks
    /// first. Ties are ordered by a hash that differs between steps, so that calls for different
    /// steps name different minions.
    fn candidates(&self, request: &Request, names: &[Name], now: Time) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for name in names {
            let Some(minion) = self.minions.get(name) else {
                continue;
            };
            let (free_slots, slots) = self.future_slots(minion, request, now);
            if slots > 0 {
                candidates.push(Candidate {
                    slots,
                    free_slots,
                    name: name.clone(),
                });
            }
        }
        let step = request.step;
        candidates.sort_by_cached_key(|c| {
            (
                Reverse((c.slots, c.free_slots)),
                minion_order(step, &c.name),
            )
        });
        candidates
    }

    /// Reserves or preempts resources for the remaining tasks. Returns whether there will be enough
    /// for all of them, so that the step only has to wait.
    fn make_room_for_rest(&mut self, request: &Request, names: &[Name], now: Now) -> bool {
        let want = u32::try_from(request.pending.len()).unwrap_or(u32::MAX);
        want == 0 || !names.is_empty() && self.make_room(request, names, want, now) >= want
    }
}

/// Returns how many tasks fit on these minions in total.
fn total_slots(candidates: &[Candidate]) -> u64 {
    candidates
        .iter()
        .map(|candidate| u64::from(candidate.slots))
        .sum()
}

/// Returns a hash by which each step orders minions differently.
fn minion_order(step: StepKey, name: &Name) -> u64 {
    let mut hasher = DefaultHasher::new();
    (step.job.0, step.occurrence, step.step, name).hash(&mut hasher);
    hasher.finish()
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
    candidates: &[Candidate],
    want: u64,
    timing: AdviceTiming,
    allow_rate: f64,
    deviations: f64,
) -> usize {
    let mut slots = 0;
    let mut needed = 0;
    for candidate in candidates {
        if slots >= want {
            break;
        }
        slots += u64::from(candidate.slots);
        needed += 1;
    }
    let needed = f64::from(needed);
    // Mean of a binomial distribution that exceeds `needed` by `deviations` standard deviations.
    let refused = 1.0 - allow_rate;
    let half = deviations * deviations * refused / 2.0;
    let mean = needed + half + (2.0 * half * needed + half * half).sqrt();
    let expected = (mean / allow_rate).ceil() as usize;
    let affordable = (timing.fixed_ms * NAMING_FRACTION / timing.per_minion_ms.max(0.001)) as usize;
    expected.max(affordable)
}
