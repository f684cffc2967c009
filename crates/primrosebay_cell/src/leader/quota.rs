//! Quotas: the resource limits of accounts during a scheduling pass.

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_state::table::Table;
use primrosebay_state::time::Time;

use super::Leader;
use super::command::Now;
use super::minion::{Phase, Run};
use super::preempt::{Shortage, preemptible_priority};
use super::schedule::{Request, total_slots};
use crate::job::{StepKey, TaskKey};
use crate::victims::{self, Candidate};

/// Maximum number of steps without room in their account's limit that are remembered in a pass.
const MAX_LIMITED: usize = 64;

/// A run that more urgent work of its account may preempt.
#[derive(Debug)]
struct Victim {
    minion: Name,
    task: TaskKey,
    run: u32,
    /// Priority of the run's queue.
    priority: u32,
    /// Number of preemptions of the task before this run.
    preemptions: u32,
    /// Time since its last known checkpoint, in milliseconds.
    unsaved_ms: u64,
    amount: Resources,
}

/// What the runs of an account release when they end, stop or are preempted.
#[derive(Debug, Default)]
struct Releases {
    /// Expected ends of the runs that have one, the earliest first, each with what has been released
    /// by then.
    ends: Vec<(Time, Resources)>,
    /// Resources of runs that are already stopping.
    stopping: Resources,
    /// Resources of runs that are expected to end before one that they were preempted for could
    /// start.
    ending: Resources,
    /// Preemptible runs, except those that are expected to end soon.
    victims: Vec<Victim>,
}

/// What an account is charged for steps that wait.
#[derive(Debug)]
struct Charge {
    amount: Resources,
    /// Earliest time at which one of the steps is expected to start.
    starts: Time,
}

/// Resource usage of accounts, and what their runs release, during one pass.
#[derive(Debug)]
pub(super) struct QuotaUsage {
    /// Resources of the runs of each account.
    usage: Table<Name, Resources>,
    waiting: Table<Name, Charge>,
    /// Collected on first use for an account. A burst of one account can leave hundreds of steps
    /// blocked by its limit, and scanning all runs for each step took most of the leader's time.
    releases: Table<Name, Releases>,
    /// CPU charged for steps that wait, in thousandths of a core.
    pub(super) charged_milli: u64,
    /// Resources that the limit of an account did not allow a step. The usage of an account does not
    /// fall during a pass.
    limited: Vec<(Name, Resources)>,
}

impl QuotaUsage {
    /// Adds an amount to the usage of an account.
    pub(super) fn charge(&mut self, account: Option<&Name>, amount: &Resources) {
        if let Some(account) = account {
            let sum = self.usage.or_insert(account.clone(), Resources::ZERO);
            *sum = sum.plus(amount);
        }
    }

    /// Returns the resources that runs of an account take or may take.
    fn used(&self, account: &Name) -> Resources {
        self.usage.get(account).copied().unwrap_or_default()
    }

    /// Returns the resources that an account is charged for runs and for steps that wait.
    fn charged(&self, account: &Name) -> Resources {
        let waiting = self.waiting.get(account).map(|c| c.amount);
        self.used(account).plus(&waiting.unwrap_or_default())
    }

    /// Returns the CPU charged to an account, in thousandths of a core.
    pub(super) fn used_milli(&self, account: &Name) -> u64 {
        self.charged(account).cores_milli
    }

    /// Returns whether an account is charged for steps that wait.
    pub(super) fn has_waiting(&self, account: &Name) -> bool {
        self.waiting.get(account).is_some()
    }

    /// Returns whether tasks that start now and take as long as estimated end before any step of the
    /// account that waits is expected to start.
    fn ends_before_waiting(&self, account: &Name, request: &Request, now: Time) -> bool {
        let ends = request.expected_end(now);
        let waiting = self.waiting.get(account);
        waiting.is_none_or(|c| ends.is_some_and(|at| at <= c.starts))
    }

    /// Remembers that the account's limit does not allow the step to start in this pass.
    pub(super) fn note_limited(&mut self, request: &Request) {
        if let Some(account) = &request.account
            && self.limited.len() < MAX_LIMITED
        {
            let entry = (account.clone(), request.min_resources());
            self.limited.push(entry);
        }
    }

    /// Returns whether the account's limit did not allow as much as this to an earlier step of the
    /// pass.
    fn is_limited(&self, account: &Name, amount: &Resources) -> bool {
        let covers = |entry: &(Name, Resources)| entry.1.fits(amount) && entry.0 == *account;
        self.limited.iter().any(covers)
    }

    /// Counts pending tasks as running, so that less urgent work of the account, which comes later
    /// in the pass, does not use up its limit. The tasks are expected to start at `starts`. Returns
    /// what they need.
    pub(super) fn reserve(&mut self, request: &Request, starts: Time) -> (Resources, Time) {
        let amount = request.amount.times(request.pending.len() as u64);
        if let Some(account) = &request.account {
            self.charge_waiting(account, &amount, starts);
        }
        (amount, starts)
    }

    /// Charges an account for a step that waits and is expected to start at `starts`.
    pub(super) fn charge_waiting(&mut self, account: &Name, amount: &Resources, starts: Time) {
        self.charged_milli = self.charged_milli.saturating_add(amount.cores_milli);
        if let Some(charge) = self.waiting.get_mut(account) {
            charge.amount = charge.amount.plus(amount);
            charge.starts = charge.starts.min(starts);
        } else {
            let charge = Charge {
                amount: *amount,
                starts,
            };
            self.waiting.insert(account.clone(), charge);
        }
    }
}

impl Leader {
    /// Returns the resources that runs of each account take or may take.
    pub(super) fn quota_usage(&self) -> QuotaUsage {
        QuotaUsage {
            usage: self.usage.clone(),
            waiting: Table::default(),
            releases: Table::default(),
            charged_milli: 0,
            limited: Vec::new(),
        }
    }

    /// Adds a run that takes or may take resources of a minion.
    pub(super) fn add_run(&mut self, name: &Name, run: Run) {
        let Some(minion) = self.minions.get_mut(name) else {
            return;
        };
        self.room.mark_changed(name);
        if let Some(account) = &run.account {
            let sum = self.usage.or_insert(account.clone(), Resources::ZERO);
            *sum = sum.plus(&run.amount);
        }
        minion.runs.push(run);
    }

    /// Removes a run that is over.
    pub(super) fn remove_run(&mut self, name: &Name, task: TaskKey, number: u32) {
        self.orphans.retain(|t| *t != task);
        self.preemptions.note_over(task, number);
        let Some(minion) = self.minions.get_mut(name) else {
            return;
        };
        let found = |r: &Run| r.task == task && r.number == number;
        if let Some(index) = minion.runs.iter().position(found) {
            let run = minion.runs.remove(index);
            if matches!(run.phase, Phase::Running(_))
                && let Some(job) = self.jobs.get_mut(&task.step.job)
            {
                job.ran_until = job.ran_until.max(minion.last_seen.unwrap_or_default());
            }
            self.room.mark_freed(name);
            if let Some(sum) = run.account.and_then(|a| self.usage.get_mut(&a)) {
                *sum = sum.minus(&run.amount);
            }
        }
    }

    /// Returns whether the runs of an account use more than its limit, which has been lowered then.
    pub(super) fn exceeds_limit(&self, account: &Name) -> bool {
        let Some(limit) = self.accounts.get(account).map(|a| a.limit) else {
            return false;
        };
        let used = self.usage.get(account).copied().unwrap_or_default();
        let exceeds = |used: u64, limit: u64| limit > 0 && used > limit;
        exceeds(used.cores_milli, limit.cores_milli)
            || exceeds(used.memory_mib, limit.memory_mib)
            || exceeds(used.accelerators, limit.accelerators)
    }

    /// Returns how many more tasks the account's limit allows, beside what it is charged for steps
    /// that wait. These give way to tasks that end before, to a step that has waited for very long,
    /// and to any other from time to time.
    pub(super) fn quota_slots(&self, request: &Request, quota: &QuotaUsage, now: Time) -> u32 {
        let Some(account) = &request.account else {
            return u32::MAX;
        };
        let precedes = quota.ends_before_waiting(account, request, now)
            || self.limit_waits.is_open(account, now)
            || self.limit_waits.is_starved(account, request.step, now);
        if precedes {
            self.limit_slots(request, &quota.used(account))
        } else {
            self.limit_slots(request, &quota.charged(account))
        }
    }

    /// Returns whether the runs of its account leave the step too little of the limit, whatever
    /// else waits.
    pub(super) fn is_limited_by_runs(&self, request: &Request, quota: &QuotaUsage) -> bool {
        let used = request.account.as_ref().map(|a| quota.used(a));
        used.is_some_and(|used| self.limit_slots(request, &used) < request.min_tasks())
    }

    /// Returns how many more tasks the account's limit allows if the account uses `used`.
    fn limit_slots(&self, request: &Request, used: &Resources) -> u32 {
        let Some(account) = &request.account else {
            return u32::MAX;
        };
        let Some(limit) = self.accounts.get(account).map(|a| a.limit) else {
            return u32::MAX;
        };
        let slots_by = |limit: u64, used: u64, need: u64| match (limit, need) {
            (0, _) | (_, 0) => u64::MAX,
            _ => limit.saturating_sub(used) / need,
        };
        let amount = &request.amount;
        let count = slots_by(limit.cores_milli, used.cores_milli, amount.cores_milli)
            .min(slots_by(
                limit.memory_mib,
                used.memory_mib,
                amount.memory_mib,
            ))
            .min(slots_by(
                limit.accelerators,
                used.accelerators,
                amount.accelerators,
            ));
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns whether the account's limit allows the step to start when nothing else of the account
    /// is running.
    pub(super) fn is_within_limit(&self, request: &Request) -> bool {
        let account = request.account.as_ref();
        let limit = account.and_then(|a| self.accounts.get(a)).map(|a| a.limit);
        limit.is_none_or(|limit| is_within(&request.min_resources(), &limit))
    }

    /// Returns whether the step is within its account's limit and needs more than half of it.
    pub(super) fn is_wide_within_limit(&self, request: &Request) -> bool {
        let account = request.account.as_ref();
        let limit = account.and_then(|a| self.accounts.get(a)).map(|a| a.limit);
        let need = request.min_resources();
        limit.is_some_and(|l| is_within(&need, &l) && !is_within(&need.times(2), &l))
    }

    /// Returns whether a step is known not to start in this pass because of its account's limit,
    /// without a look at its tasks.
    pub(super) fn is_known_limited(&self, step: StepKey, quota: &QuotaUsage) -> bool {
        if quota.limited.is_empty() {
            return false;
        }
        let Some(job) = self.jobs.get(&step.job) else {
            return false;
        };
        let (Some(account), Some(spec)) = (&job.account, job.step(step)) else {
            return false;
        };
        let tasks = if spec.gang { u64::from(spec.count) } else { 1 };
        quota.is_limited(account, &job.amount(step).times(tasks))
    }

    /// Preempts less urgent runs of the account so that its limit allows the step to start. Stops
    /// none if that does not suffice.
    pub(super) fn preempt_in_account(
        &mut self,
        request: &Request,
        quota: &mut QuotaUsage,
        now: Now,
    ) {
        let Some(account) = &request.account else {
            return;
        };
        let Some(limit) = self.accounts.get(account).map(|a| a.limit) else {
            return;
        };
        let used = quota.charged(account);
        let releases = self.releases(account, quota, now);
        let used = used.minus(&releases.stopping).minus(&releases.ending);
        let need = request.min_resources();
        let suffices = |released: &Resources| is_within(&used.minus(released).plus(&need), &limit);
        if suffices(&Resources::ZERO) {
            return;
        }
        let victims = releases.victims.iter();
        let victims = victims
            .enumerate()
            .filter(|(_, v)| v.priority > request.priority);
        let victims: Vec<(usize, &Victim)> = victims.collect();
        let amounts = victims.iter().map(|(_, v)| &v.amount);
        if !suffices(&amounts.fold(Resources::ZERO, |sum, a| sum.plus(a))) {
            return;
        }
        // A step without room could not start anyway.
        self.update_room(now.time);
        let slots = total_slots(&self.future_slots(request, None, now.time));
        if slots < u64::from(request.min_tasks()) {
            return;
        }
        let candidates = victims.iter().map(|(_, v)| Candidate {
            amount: v.amount,
            preemptions: v.preemptions,
            cost: self.stop_cost(v.task, &v.amount, v.unsaved_ms),
        });
        let candidates: Vec<Candidate> = candidates.collect();
        let chosen = victims::choose(&candidates, suffices).unwrap_or_default();
        let chosen = chosen.victims.iter().map(|index| victims[*index].0);
        let chosen: Vec<usize> = chosen.collect();
        for index in chosen.into_iter().rev() {
            let victim = releases.victims.remove(index);
            releases.stopping = releases.stopping.plus(&victim.amount);
            let (minion, task) = (&victim.minion, victim.task);
            self.preempt(minion, task, victim.run, request, Shortage::Limit, now);
        }
    }

    /// Returns the time at which the account's limit is expected to allow the step to start, by the
    /// estimates of its runs; the end of time if it is not.
    pub(super) fn expected_start(
        &self,
        request: &Request,
        quota: &mut QuotaUsage,
        now: Now,
    ) -> Time {
        let Some(account) = &request.account else {
            return now.time;
        };
        let Some(limit) = self.accounts.get(account).map(|a| a.limit) else {
            return now.time;
        };
        let need = request.min_resources();
        let used = quota.used(account);
        let fits_after =
            |released: &Resources| is_within(&used.minus(released).plus(&need), &limit);
        if fits_after(&Resources::ZERO) {
            return now.time;
        }
        let ends = &self.releases(account, quota, now).ends;
        let first = ends.partition_point(|(_, released)| !fits_after(released));
        ends.get(first).map_or(Time(u64::MAX), |(end, _)| *end)
    }

    /// Returns what the runs of an account release. Collects it on first use.
    fn releases<'a>(
        &self,
        account: &Name,
        quota: &'a mut QuotaUsage,
        now: Now,
    ) -> &'a mut Releases {
        if quota.releases.get(account).is_none() {
            let collected = self.collect_releases(account, now);
            quota.releases.insert(account.clone(), collected);
        }
        quota
            .releases
            .or_insert(account.clone(), Releases::default())
    }

    fn collect_releases(&self, account: &Name, now: Now) -> Releases {
        let mut collected = Releases::default();
        for (minion, state) in self.minions.iter() {
            for run in &state.runs {
                if run.account.as_ref() != Some(account) {
                    continue;
                }
                let end = self.expected_end(run, now.time);
                collected.ends.extend(end.map(|at| (at, run.amount)));
                if matches!(run.phase, Phase::Stopping(..)) {
                    collected.stopping = collected.stopping.plus(&run.amount);
                } else if run.ends_soon(now.time) {
                    collected.ending = collected.ending.plus(&run.amount);
                } else if let Some(priority) = preemptible_priority(run, now.time) {
                    collected.victims.push(Victim {
                        minion: minion.clone(),
                        task: run.task,
                        run: run.number,
                        priority,
                        preemptions: run.preemptions,
                        unsaved_ms: run.unsaved_ms(now.time),
                        amount: run.amount,
                    });
                }
            }
        }
        collected.ends.sort_unstable_by_key(|e| e.0);
        let mut released = Resources::ZERO;
        for (_, amount) in &mut collected.ends {
            released = released.plus(amount);
            *amount = released;
        }
        collected
    }
}

/// Returns whether an account uses less than half of its limit.
pub(super) fn is_half_free(used: &Resources, limit: &Resources) -> bool {
    let is_below = |used: u64, limit: u64| limit == 0 || used < limit.div_ceil(2);
    is_below(used.cores_milli, limit.cores_milli)
        && is_below(used.memory_mib, limit.memory_mib)
        && is_below(used.accelerators, limit.accelerators)
}

/// Returns whether an amount is within a limit. A limit of 0 in a dimension means no limit.
fn is_within(amount: &Resources, limit: &Resources) -> bool {
    let fits = |amount: u64, limit: u64| limit == 0 || amount <= limit;
    fits(amount.cores_milli, limit.cores_milli)
        && fits(amount.memory_mib, limit.memory_mib)
        && fits(amount.accelerators, limit.accelerators)
}
