//! What accounts may still start within their limits during one pass.

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_state::table::Table;

use super::Leader;
use super::command::Now;
use super::minion::Phase;
use super::place::Request;
use crate::job::TaskKey;

/// A run that can give way to more urgent work of its account.
#[derive(Debug)]
struct Victim {
    minion: Name,
    task: TaskKey,
    run: u32,
    /// The priority of its queue.
    priority: u32,
    amount: Resources,
}

/// Runs of an account that can be stopped for others of it.
#[derive(Debug, Default)]
struct Yielding {
    /// What runs that are being stopped still take.
    stopping: Resources,
    /// The largest first, so that few runs are stopped.
    victims: Vec<Victim>,
}

/// What accounts use, and what of it can give way, as seen by one pass.
#[derive(Debug)]
pub(super) struct Allowances {
    usage: Table<Name, Resources>,
    /// Collected when an account first needs it. A burst of one account can leave hundreds of steps
    /// waiting for its limit, and looking at all runs for each took most of the leader's time.
    yielding: Option<Table<Name, Yielding>>,
}

impl Allowances {
    /// Counts an amount as used by the account.
    pub(super) fn take(&mut self, account: Option<&Name>, amount: &Resources) {
        if let Some(account) = account {
            let sum = self.usage.or_insert(account.clone(), Resources::ZERO);
            *sum = sum.plus(amount);
        }
    }

    /// Counts the step's tasks as running, so that less urgent work of the account, which is
    /// looked at later in the pass, leaves its limit to them.
    pub(super) fn reserve(&mut self, request: &Request) {
        let amount = request.amount.times(request.pending.len() as u64);
        self.take(request.account.as_ref(), &amount);
    }
}

impl Leader {
    /// Returns what each account has or may have running.
    pub(super) fn allowances(&self) -> Allowances {
        let mut allowances = Allowances {
            usage: Table::default(),
            yielding: None,
        };
        for run in self.minions.iter().flat_map(|(_, m)| &m.runs) {
            allowances.take(run.account.as_ref(), &run.amount);
        }
        allowances
    }

    /// Returns how many more tasks the account's limit allows.
    pub(super) fn allowed(&self, request: &Request, allowances: &Allowances) -> u32 {
        let Some(account) = &request.account else {
            return u32::MAX;
        };
        let Some(limit) = self.accounts.get(account).map(|a| a.limit) else {
            return u32::MAX;
        };
        let used = allowances.usage.get(account).copied().unwrap_or_default();
        let part = |limit: u64, used: u64, need: u64| match (limit, need) {
            (0, _) | (_, 0) => u64::MAX,
            _ => limit.saturating_sub(used) / need,
        };
        let amount = &request.amount;
        let count = part(limit.cores_milli, used.cores_milli, amount.cores_milli)
            .min(part(limit.memory_mib, used.memory_mib, amount.memory_mib))
            .min(part(
                limit.accelerators,
                used.accelerators,
                amount.accelerators,
            ));
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Stops less urgent runs of the account until its limit allows the step to start.
    pub(super) fn make_allowance(
        &mut self,
        request: &Request,
        allowances: &mut Allowances,
        now: Now,
    ) {
        let Some(account) = &request.account else {
            return;
        };
        let Some(limit) = self.accounts.get(account).map(|a| a.limit) else {
            return;
        };
        let used = allowances.usage.get(account).copied().unwrap_or_default();
        let yielding = allowances
            .yielding
            .get_or_insert_with(|| self.yielding(now));
        let Some(yielding) = yielding.get_mut(account) else {
            return;
        };
        let mut used = used.minus(&yielding.stopping);
        let mut chosen = Vec::new();
        for (at, victim) in yielding.victims.iter().enumerate() {
            if is_within(&used.plus(&request.least()), &limit) {
                break;
            }
            if victim.priority > request.priority {
                used = used.minus(&victim.amount);
                chosen.push(at);
            }
        }
        if !is_within(&used.plus(&request.least()), &limit) {
            return;
        }
        for at in chosen.into_iter().rev() {
            let Victim {
                minion,
                task,
                run,
                amount,
                ..
            } = yielding.victims.remove(at);
            yielding.stopping = yielding.stopping.plus(&amount);
            log::info!(task:% = task, run, minion:% = minion, by:% = request.step; "leader: run gives way to the account's limit");
            self.stop_run(&minion, task, run, now);
        }
    }

    /// Collects the runs of each account that can give way.
    fn yielding(&self, now: Now) -> Table<Name, Yielding> {
        let mut yielding = Table::default();
        for (minion, run) in self
            .minions
            .iter()
            .flat_map(|(n, m)| m.runs.iter().map(move |r| (n, r)))
        {
            let Some(account) = &run.account else {
                continue;
            };
            let of_account: &mut Yielding =
                yielding.or_insert(account.clone(), Yielding::default());
            if matches!(run.phase, Phase::Stopping(..)) {
                of_account.stopping = of_account.stopping.plus(&run.amount);
            } else if let Some(priority) = self.yield_priority(run, now.time) {
                of_account.victims.push(Victim {
                    minion: minion.clone(),
                    task: run.task,
                    run: run.number,
                    priority,
                    amount: run.amount,
                });
            }
        }
        for (_, of_account) in yielding.iter_mut() {
            let victims = &mut of_account.victims;
            victims.sort_by_key(|v| std::cmp::Reverse(v.amount.cores_milli));
        }
        yielding
    }
}

/// Returns whether an amount is within a limit, of which a part that is 0 does not count.
fn is_within(amount: &Resources, limit: &Resources) -> bool {
    let part = |amount: u64, limit: u64| limit == 0 || amount <= limit;
    part(amount.cores_milli, limit.cores_milli)
        && part(amount.memory_mib, limit.memory_mib)
        && part(amount.accelerators, limit.accelerators)
}
