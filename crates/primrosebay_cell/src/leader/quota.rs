//! Quotas: the resource limits of accounts during a scheduling pass.

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_state::table::Table;

use super::Leader;
use super::command::Now;
use super::minion::{Phase, Run};
use super::preempt::preemptible_priority;
use super::schedule::Request;
use crate::job::{StepKey, TaskKey};

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
    amount: Resources,
}

/// Resources of an account that stopping runs release or preemption could release.
#[derive(Debug, Default)]
struct Preemptible {
    /// Resources of runs that are already stopping.
    stopping: Resources,
    /// Preemptible runs, the largest first, so that few runs are stopped.
    victims: Vec<Victim>,
}

/// Resource usage of accounts, and the part of it that preemption could release, during one pass.
#[derive(Debug)]
pub(super) struct QuotaUsage {
    usage: Table<Name, Resources>,
    /// Collected on first use for an account. A burst of one account can leave hundreds of steps
    /// blocked by its limit, and scanning all runs for each step took most of the leader's time.
    preemptible: Table<Name, Preemptible>,
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

    /// Returns the CPU charged to an account, in thousandths of a core.
    pub(super) fn used_milli(&self, account: &Name) -> u64 {
        self.usage.get(account).map_or(0, |used| used.cores_milli)
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
        let covers = |entry: &(Name, Resources)| entry.0 == *account && entry.1.fits(amount);
        self.limited.iter().any(covers)
    }

    /// Counts pending tasks as running, so that less urgent work of the account, which comes later
    /// in the pass, does not use up its limit. Returns what they need.
    pub(super) fn reserve(&mut self, request: &Request) -> Resources {
        let amount = request.amount.times(request.pending.len() as u64);
        if let Some(account) = &request.account {
            self.charge_waiting(account, &amount);
        }
        amount
    }

    /// Charges an account for a step that waits.
    pub(super) fn charge_waiting(&mut self, account: &Name, amount: &Resources) {
        self.charged_milli = self.charged_milli.saturating_add(amount.cores_milli);
        self.charge(Some(account), amount);
    }
}

impl Leader {
    /// Returns the resources that runs of each account take or may take.
    pub(super) fn quota_usage(&self) -> QuotaUsage {
        QuotaUsage {
            usage: self.usage.clone(),
            preemptible: Table::default(),
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

    /// Returns how many more tasks the account's limit allows.
    pub(super) fn quota_slots(&self, request: &Request, quota: &QuotaUsage) -> u32 {
        let Some(account) = &request.account else {
            return u32::MAX;
        };
        let Some(limit) = self.accounts.get(account).map(|a| a.limit) else {
            return u32::MAX;
        };
        let used = quota.usage.get(account).copied().unwrap_or_default();
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
        let used = quota.usage.get(account).copied().unwrap_or_default();
        if quota.preemptible.get(account).is_none() {
            let collected = self.collect_preemptible(account, now);
            quota.preemptible.insert(account.clone(), collected);
        }
        let Some(preemptible) = quota.preemptible.get_mut(account) else {
            return;
        };
        let mut used = used.minus(&preemptible.stopping);
        let mut chosen = Vec::new();
        for (index, victim) in preemptible.victims.iter().enumerate() {
            if is_within(&used.plus(&request.min_resources()), &limit) {
                break;
            }
            if victim.priority > request.priority {
                used = used.minus(&victim.amount);
                chosen.push(index);
            }
        }
        if !is_within(&used.plus(&request.min_resources()), &limit) {
            return;
        }
        for index in chosen.into_iter().rev() {
            let Victim {
                minion,
                task,
                run,
                amount,
                ..
            } = preemptible.victims.remove(index);
            preemptible.stopping = preemptible.stopping.plus(&amount);
            log::info!(task:% = task, run, minion:% = minion, by:% = request.step; "leader: run preempted, account at its limit");
            self.stop_run(&minion, task, run, now);
        }
    }

    /// Collects the preemptible and stopping runs of an account.
    fn collect_preemptible(&self, account: &Name, now: Now) -> Preemptible {
        let mut collected = Preemptible::default();
        for (minion, state) in self.minions.iter() {
            for run in &state.runs {
                if run.account.as_ref() != Some(account) {
                    continue;
                }
                if matches!(run.phase, Phase::Stopping(..)) {
                    collected.stopping = collected.stopping.plus(&run.amount);
                } else if let Some(priority) = preemptible_priority(run, now.time) {
                    collected.victims.push(Victim {
                        minion: minion.clone(),
                        task: run.task,
                        run: run.number,
                        priority,
                        amount: run.amount,
                    });
                }
            }
        }
        let victims = &mut collected.victims;
        victims.sort_by_key(|v| std::cmp::Reverse(v.amount.cores_milli));
        collected
    }
}

/// Returns whether an amount is within a limit. A limit of 0 in a dimension means no limit.
fn is_within(amount: &Resources, limit: &Resources) -> bool {
    let fits = |amount: u64, limit: u64| limit == 0 || amount <= limit;
    fits(amount.cores_milli, limit.cores_milli)
        && fits(amount.memory_mib, limit.memory_mib)
        && fits(amount.accelerators, limit.accelerators)
}
