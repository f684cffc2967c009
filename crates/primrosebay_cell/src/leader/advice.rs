//! Calls to the advice service: which instance makes them, and which tickets are valid.
//!
//! The service handles one call at a time per calling instance. Slow calls are therefore made by
//! separate instances, so that the quick calls of urgent queues do not queue behind them.

use primrosebay_state::Name;
use primrosebay_state::table::Table;
use primrosebay_state::time::Time;

use super::Leader;
use super::advice_calls::{Plans, vain_backoff_ms};
use super::advice_queue::WaitingCalls;
use super::advice_usage::{Answers, CallUsage};
use super::command::{Advice, Command, Now};
use super::gang_calls::GangClaims;
use super::settings::Settings;
use crate::config::AdviceTiming;
use crate::job::{JobKey, StepKey};

/// Maximum number of minions that one call may name.
pub(super) const MAX_CALL_MINIONS: usize = 100;

/// Fraction of named minions that is expected to be allowed before the first answer for a queue. It
/// is the lowest fraction of all known queues, since a call that names too few minions is wasted.
const INITIAL_ALLOW_RATE: f64 = 0.25;

/// Lower bound of the expected fraction, so that a few poor answers do not make calls arbitrarily
/// large.
const MIN_ALLOW_RATE: f64 = 0.1;

/// Weight of a new answer in the moving average of the allowed fraction.
const ALLOW_RATE_WEIGHT: f64 = 0.1;

/// Maximum number of quick calls in flight per instance.
const QUICK_CALLS: usize = 3;

/// One instance in this many makes quick calls only. In the heaviest known bursts, quick calls take
/// up to an eighth of the time of all instances, so a quarter keeps their queues short.
const QUICK_ONLY_DIVISOR: usize = 4;

/// A step may use one in this many of the instances for its calls at the same time. The widest gangs
/// of the largest known cell need half of that.
const STEP_DIVISOR: usize = 8;

/// Of the instances for a call, one in this many has to remain idle after a call that is not the
/// only one of its step, so that a few wide gangs do not keep others from calling.
const IDLE_DIVISOR: usize = 4;

/// A step does not call for further tickets while it has a valid one for this many of its pending
/// tasks. Room appears on these minions while the tickets last, and a call for the few tasks left over
/// costs nearly as much as one for all.
const TASKS_PER_TICKET: usize = 4;

/// Time after the expected end of a call, in milliseconds, after which a step no longer waits for it
/// if another call of the same round was answered. The tickets of the answer expire soon.
const OVERDUE_MS: u64 = 300;

/// Advice for the tasks of a step.
#[derive(Debug, Default)]
pub(super) struct StepAdvice {
    /// Queue of the step; none before its first call.
    queue: Option<Name>,
    /// Minions that may run the step, sorted. The service never changes its answer for a step and
    /// minion.
    pub(super) allowed: Vec<Name>,
    /// Minions named in an answered call, sorted.
    pub(super) queried: Vec<Name>,
    /// Minions with their tickets and the expiry of each ticket, sorted by minion.
    tickets: Vec<(Name, Name, Time)>,
    /// Minions with a ticket that was used, sorted.
    used: Vec<Name>,
    answers: Answers,
    /// Time before which no call is made, since earlier ones were in vain.
    next_call: Time,
    /// Time before which no call is planned.
    pub(super) next_plan: Time,
    /// Time since which no call of the step has been worth its time; none if the last one was made.
    denied_since: Option<Time>,
    /// Cores of the tasks that are expected to start on the answers, in thousandths.
    demand_milli: u64,
    /// Account of the step; none before its first call.
    account: Option<Name>,
    /// Calls in flight.
    calls: Vec<StepCall>,
    /// Whether a call was answered while others were in flight, and no pass has used the answer.
    has_news: bool,
}

/// A call in flight for a step.
#[derive(Debug)]
struct StepCall {
    /// The calling instance.
    node: Name,
    sent: Time,
    /// Time from which on the step does not wait for the call; the deadline unless another call of
    /// the round was answered.
    awaited: Time,
    /// Expected end of the call.
    ends: Time,
    deadline: Time,
    minions: Vec<Name>,
}

impl StepAdvice {
    /// Returns whether any ticket is valid.
    pub(super) fn has_tickets(&self, now: Time) -> bool {
        self.tickets.iter().any(|t| now < t.2)
    }

    /// Returns the number of calls in a row on whose tickets no task was placed.
    pub(super) fn vain(&self) -> u32 {
        self.answers.vain
    }

    /// Returns whether no call is planned now for a step with `pending` tasks: the last plan was not
    /// worth its time, or the step uses the tickets that it has.
    pub(super) fn rests(&self, pending: usize, now: Time) -> bool {
        let tickets = self.tickets.iter().filter(|t| now < t.2).count();
        now < self.next_plan || now < self.next_call || tickets * TASKS_PER_TICKET >= pending
    }

    /// Returns the valid ticket for a minion, if any.
    pub(super) fn ticket(&self, minion: &Name, now: Time) -> Option<&Name> {
        let found = self.tickets.binary_search_by(|t| t.0.cmp(minion));
        let (_, ticket, until) = &self.tickets[found.ok()?];
        (now < *until).then_some(ticket)
    }

    /// Returns the minions with a valid ticket, sorted.
    pub(super) fn ticketed(&self, now: Time) -> impl Iterator<Item = &Name> {
        let valid = self.tickets.iter().filter(move |t| now < t.2);
        valid.map(|t| &t.0)
    }

    /// Adds a minion that may run the step, with its ticket.
    fn allow(&mut self, minion: Name, ticket: Name, until: Time) {
        if let Ok(index) = self.used.binary_search(&minion) {
            self.used.remove(index);
        }
        if let Err(index) = self.allowed.binary_search(&minion) {
            self.allowed.insert(index, minion.clone());
        }
        let entry = (minion, ticket, until);
        match self.tickets.binary_search_by(|t| t.0.cmp(&entry.0)) {
            Ok(index) => self.tickets[index] = entry,
            Err(index) => self.tickets.insert(index, entry),
        }
    }

    /// Returns the instance that makes the oldest call in flight, and when the call was sent.
    pub(super) fn caller(&self) -> Option<(&Name, Time)> {
        self.calls.first().map(|call| (&call.node, call.sent))
    }

    /// Returns the time until which the ticket for a minion is valid; zero if there is none.
    pub(super) fn valid_until(&self, minion: &Name) -> Time {
        let found = self.tickets.binary_search_by(|t| t.0.cmp(minion));
        found.map_or(Time(0), |index| self.tickets[index].2)
    }

    /// Returns the minions in question while calls are in flight or tickets are valid, and the cores that
    /// the step is expected to use on each, in thousandths.
    pub(super) fn claim(&self, now: Time) -> Option<(Vec<&Name>, u64)> {
        if self.demand_milli == 0 {
            return None;
        }
        let names = self.prospects(now);
        let share_milli = self.demand_milli.checked_div(names.len() as u64)?;
        Some((names, share_milli))
    }

    /// Returns the minions named in calls in flight; those with a valid ticket if there are none.
    fn prospects(&self, now: Time) -> Vec<&Name> {
        if self.is_pending(now) {
            return self.calls.iter().flat_map(|c| &c.minions).collect();
        }
        let valid = self.tickets.iter().filter(|t| now < t.2);
        valid.map(|t| &t.0).collect()
    }

    /// Returns whether the step waits for an answer.
    pub(super) fn is_pending(&self, now: Time) -> bool {
        self.calls.iter().any(|c| now < c.awaited)
    }
}

/// An advice call in flight.
#[derive(Debug)]
struct Call {
    step: StepKey,
    queue: Name,
    /// Number of the charge to the share of the queue; none for a quick call.
    charge: Option<u64>,
    /// Expected beginning of the call.
    starts: Time,
    /// Expected end of the call.
    ends: Time,
    /// Whether the call is slow, so that quick calls go to other instances.
    slow: bool,
}

/// An instance that can call the advice service, with its calls in flight.
#[derive(Debug)]
struct AdviceClient {
    name: Name,
    calls: Vec<Call>,
    /// Time before which the instance gets no calls because one has failed.
    retry_at: Time,
}

#[derive(Debug)]
pub(super) struct AdviceState {
    own_name: Name,
    clients: Vec<AdviceClient>,
    steps: Table<StepKey, StepAdvice>,
    /// Fraction of named minions that was allowed, by queue, as an exponential moving average.
    allow_rates: Table<Name, f64>,
    pub(super) gang_claims: GangClaims,
    /// Time at which no instance was idle for quick and for slow calls. During a pass, which is at one
    /// time, instances only become busier.
    busy_at: [Option<Time>; 2],
    /// Counts of calls since they were last taken.
    usage: CallUsage,
    pub(super) waiting: WaitingCalls,
    pub(super) plans: Plans,
}

impl AdviceState {
    pub(super) fn new(own_name: Name) -> Self {
        let mut state = Self {
            own_name,
            clients: Vec::new(),
            steps: Table::default(),
            allow_rates: Table::default(),
            gang_claims: GangClaims::default(),
            busy_at: [None; 2],
            usage: CallUsage::default(),
            waiting: WaitingCalls::default(),
            plans: Plans::default(),
        };
        state.set_members(Vec::new());
        state
    }

    pub(super) fn set_members(&mut self, mut names: Vec<Name>) {
        self.busy_at = [None; 2];
        if !names.contains(&self.own_name) {
            names.push(self.own_name.clone());
        }
        names.sort_unstable();
        self.clients.retain(|c| names.contains(&c.name));
        for name in names {
            if self.clients.iter().any(|c| c.name == name) {
                continue;
            }
            self.clients.push(AdviceClient {
                name,
                calls: Vec::new(),
                retry_at: Time(0),
            });
        }
        // The leader comes first: it makes quick calls, which need no extra hop from there.
        let own_name = self.own_name.clone();
        self.clients
            .sort_by(|a, b| (a.name != own_name, &a.name).cmp(&(b.name != own_name, &b.name)));
    }

    pub(super) fn get(&self, step: StepKey) -> Option<&StepAdvice> {
        self.steps.get(&step)
    }

    /// Returns the steps with calls in flight, each with the minions that these name.
    pub(super) fn named_in_flight(&self) -> impl Iterator<Item = (StepKey, Vec<&Name>)> {
        let calling = self.steps.iter().filter(|(_, a)| !a.calls.is_empty());
        calling.map(|(step, a)| (*step, a.calls.iter().flat_map(|c| &c.minions).collect()))
    }

    pub(super) fn pending_calls(&self) -> usize {
        self.steps.iter().map(|(_, a)| a.calls.len()).sum()
    }

    /// Returns the expected fraction of named minions that a queue's service allows.
    pub(super) fn allow_rate(&self, queue: &Name) -> f64 {
        let allow_rate = self.allow_rates.get(queue).copied();
        allow_rate.unwrap_or(INITIAL_ALLOW_RATE).max(MIN_ALLOW_RATE)
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "a call names at most 100 minions"
    )]
    fn update_allow_rate(&mut self, queue: Name, named: usize, allowed: usize) {
        let allow_rate = allowed as f64 / named.max(1) as f64;
        let average = self.allow_rates.or_insert(queue, INITIAL_ALLOW_RATE);
        *average += (allow_rate - *average) * ALLOW_RATE_WEIGHT;
    }

    /// Returns whether this ticket is still valid.
    pub(super) fn is_valid(&self, step: StepKey, minion: &Name, ticket: &Name, now: Time) -> bool {
        let entry = self.steps.get(&step);
        entry.and_then(|a| a.ticket(minion, now)) == Some(ticket)
    }

    /// Drops the ticket of a minion that refused it.
    pub(super) fn drop_ticket(&mut self, step: StepKey, minion: &Name) {
        if let Some(entry) = self.steps.get_mut(&step) {
            entry.tickets.retain(|t| t.0 != *minion);
        }
    }

    /// Notes that a task of `cores_milli` thousandths of a core was placed on a minion, and returns the ticket for it, if any.
    pub(super) fn use_ticket(
        &mut self,
        step: StepKey,
        queue: &Name,
        minion: &Name,
        cores_milli: u64,
        now: Time,
    ) -> Option<Name> {
        let entry = self.steps.get_mut(&step)?;
        let ticket = entry.ticket(minion, now)?.clone();
        let until = entry.valid_until(minion);
        entry.answers.mark_used(until);
        entry.demand_milli = entry.demand_milli.saturating_sub(cores_milli);
        let counts = self.usage.of(queue);
        counts.starts += 1;
        if let Err(index) = entry.used.binary_search(minion) {
            entry.used.insert(index, minion.clone());
            counts.used += 1;
        }
        Some(ticket)
    }

    /// Notes that a call for the step is not worth its time before `next_plan`.
    pub(super) fn note_denied(&mut self, step: StepKey, next_plan: Time, now: Time) {
        let entry = self.steps.or_insert(step, StepAdvice::default());
        entry.next_plan = next_plan;
        entry.denied_since.get_or_insert(now);
    }

    /// Returns the time for which no call of the step has been worth its time, in milliseconds.
    pub(super) fn waited_ms(&self, step: StepKey, now: Time) -> u64 {
        let since = self.steps.get(&step).and_then(|entry| entry.denied_since);
        since.map_or(0, |since| now.since(since))
    }

    /// Sets the cores that the step is expected to use on the answers to its calls, in thousandths.
    pub(super) fn set_demand(&mut self, step: StepKey, account: Option<&Name>, cores_milli: u64) {
        if let Some(entry) = self.steps.get_mut(&step) {
            entry.demand_milli = cores_milli;
            entry.account = account.cloned();
        }
    }

    /// Returns the cores that other steps of an account with calls in flight or valid tickets are
    /// expected to use, in thousandths.
    pub(super) fn promised_milli(&self, account: &Name, step: StepKey, now: Time) -> u64 {
        let is_other = |(key, entry): &(&StepKey, &StepAdvice)| {
            **key != step && entry.account.as_ref() == Some(account)
        };
        let others = self.steps.iter().filter(is_other);
        let promising = others.filter(|(_, a)| a.is_pending(now) || a.has_tickets(now));
        let demands = promising.map(|(_, entry)| entry.demand_milli);
        demands.fold(0, u64::saturating_add)
    }

    /// Returns the claim of each step, see [`StepAdvice::claim`].
    pub(super) fn claims(&self, now: Time) -> impl Iterator<Item = (Vec<&Name>, u64)> {
        self.steps
            .iter()
            .filter_map(move |(_, entry)| entry.claim(now))
    }

    /// Returns whether so many instances are busy that a call of `cost_ms` delays those of others.
    pub(super) fn is_scarce(&self, cost_ms: u64, now: Time, settings: &Settings) -> bool {
        cost_ms > settings.slow_call_ms && !self.can_add_call(cost_ms, now, settings)
    }

    /// Returns what the calls of each queue have cost and brought since the last call.
    pub(super) fn take_usage(&mut self) -> CallUsage {
        std::mem::take(&mut self.usage)
    }

    /// Forgets the advice for a job that has ended.
    pub(super) fn remove_job(&mut self, job: JobKey) {
        let steps = self.steps.iter_mut();
        let usage = &mut self.usage;
        for (_, entry) in steps.filter(|(step, _)| step.job == job) {
            let unanswered = entry.calls.len() as u64;
            let vain = entry.answers.settle(Time(u64::MAX)) + unanswered;
            if let Some(queue) = entry.queue.as_ref().filter(|_| vain > 0) {
                usage.of(queue).vain += vain;
            }
        }
        self.steps
            .remove_range(|step| step.job < job, |step| step.job <= job);
    }

    /// Abandons calls whose answer is overdue.
    pub(super) fn expire_calls(&mut self, now: Time) {
        self.busy_at = [None; 2];
        let usage = &mut self.usage;
        for (step, entry) in self.steps.iter_mut() {
            let mut vain = entry.answers.settle(now);
            if vain > 0 {
                entry.next_call = now + vain_backoff_ms(entry.answers.vain);
            }
            for call in entry.calls.extract_if(.., |c| now >= c.deadline) {
                log::warn!(step:% = step, node:% = call.node; "leader: advice call timed out");
                entry.answers.note_vain();
                vain += 1;
            }
            if let Some(queue) = entry.queue.as_ref().filter(|_| vain > 0) {
                usage.of(queue).vain += vain;
            }
        }
        // A call without an answer occupies its instance until 5,000 ms after its expected end.
        for client in &mut self.clients {
            for call in client.calls.extract_if(.., |c| now >= c.ends + 5_000) {
                usage.of(&call.queue).call_ms += call.ends.since(call.starts);
                if let Some(charge) = call.charge {
                    self.waiting.shares.correct(&call.queue, charge, 0);
                }
            }
        }
    }

    /// Returns whether a call of a step was answered while others were in flight, and no pass has
    /// used the answer.
    pub(super) fn take_news(&mut self, step: StepKey) -> bool {
        let entry = self.steps.get_mut(&step);
        entry.is_some_and(|entry| std::mem::take(&mut entry.has_news))
    }

    /// Returns whether an instance is available for a call of `cost_ms`.
    pub(super) fn can_call(
        &mut self,
        step: StepKey,
        cost_ms: u64,
        late: bool,
        now: Time,
        settings: &Settings,
    ) -> bool {
        let slow = cost_ms > settings.slow_call_ms;
        // Such a call needs an idle instance, whatever its step.
        let needs_idle = late || slow;
        let busy_at = self.busy_at[usize::from(slow)];
        if needs_idle && busy_at == Some(now) {
            debug_assert_eq!(self.pick_client(step, cost_ms, late, now, settings), None);
            return false;
        }
        let found = self.pick_client(step, cost_ms, late, now, settings);
        if needs_idle && found.is_none() {
            self.busy_at[usize::from(slow)] = Some(now);
        }
        found.is_some()
    }

    /// Returns whether an instance is free for a slow call.
    pub(super) fn has_free_client(&self, now: Time, settings: &Settings) -> bool {
        let pool = self.pool(settings.slow_call_ms + 1, now, settings);
        pool.iter().any(|i| self.clients[*i].calls.is_empty())
    }

    /// Returns the indices of the instances that may make a call of `cost_ms` when they are free.
    /// Slow calls leave some instances to quick calls.
    fn pool(&self, cost_ms: u64, now: Time, settings: &Settings) -> Vec<usize> {
        let mut healthy: Vec<usize> = (0..self.clients.len())
            .filter(|i| now >= self.clients[*i].retry_at)
            .collect();
        if cost_ms > settings.slow_call_ms && healthy.len() > 1 {
            healthy.drain(..healthy.len().div_ceil(QUICK_ONLY_DIVISOR));
        }
        healthy
    }

    /// Returns how many calls of `cost_ms` a step may have in flight at the same time.
    pub(super) fn max_calls(&self, cost_ms: u64, now: Time, settings: &Settings) -> usize {
        let pool = self.pool(cost_ms, now, settings);
        pool.len().div_ceil(STEP_DIVISOR).max(1)
    }

    /// Returns whether enough instances are idle for a call of a step that has others in flight.
    fn can_add_call(&self, cost_ms: u64, now: Time, settings: &Settings) -> bool {
        let pool = self.pool(cost_ms, now, settings);
        let idle = pool.iter().filter(|i| self.clients[**i].calls.is_empty());
        idle.count() > pool.len() / IDLE_DIVISOR
    }

    /// Returns the index of the least busy instance that is available for a call of `cost_ms`. Quick
    /// calls go to any instance without a slow call, and no instance has two calls for a step. Calls
    /// for jobs that are `late` go only to idle instances, so that calls for jobs which can still
    /// meet their latency objective do not queue behind them.
    fn pick_client(
        &self,
        step: StepKey,
        cost_ms: u64,
        late: bool,
        now: Time,
        settings: &Settings,
    ) -> Option<usize> {
        let pool = self.pool(cost_ms, now, settings);
        let slow = cost_ms > settings.slow_call_ms;
        let free = |i: &&usize| {
            let calls = &self.clients[**i].calls;
            let most = if late || slow { 1 } else { QUICK_CALLS };
            !calls.iter().any(|c| c.slow || c.step == step) && calls.len() < most
        };
        let busy = |i: &&usize| {
            let calls = self.clients[**i].calls.iter();
            calls.map(|c| c.ends).max().unwrap_or(now).since(now)
        };
        pool.iter().filter(free).min_by_key(busy).copied()
    }
}

impl Leader {
    /// Makes a round of advice calls for a step, one for each batch of minions, as far as instances
    /// are available. Returns the expected time until the last answer, in milliseconds; none if no
    /// call was made.
    pub(super) fn start_calls(
        &mut self,
        step: StepKey,
        timing: AdviceTiming,
        batches: Vec<Vec<Name>>,
        late: bool,
        now: Now,
    ) -> Option<u64> {
        let mut longest = None;
        for batch in batches {
            let cost_ms = timing.call_ms(batch.len());
            let is_only = longest.is_none();
            if !is_only && !self.advice.can_add_call(cost_ms, now.time, &self.settings) {
                break;
            }
            let Some(expected) = self.start_call(step, timing, batch, late, now) else {
                break;
            };
            longest = longest.max(Some(expected));
        }
        longest
    }

    /// Asks for advice on a step if an instance is available. Returns the expected time until the
    /// answer, in milliseconds; none if no call was made.
    fn start_call(
        &mut self,
        step: StepKey,
        timing: AdviceTiming,
        mut minions: Vec<Name>,
        late: bool,
        now: Now,
    ) -> Option<u64> {
        minions.truncate(MAX_CALL_MINIONS);
        if minions.is_empty() {
            return None;
        }
        let cost_ms = timing.call_ms(minions.len());
        let state = &mut self.advice;
        let index = state.pick_client(step, cost_ms, late, now.time, &self.settings)?;
        let queued = state.clients[index].calls.iter().map(|c| c.ends).max();
        let starts_at = queued.unwrap_or(now.time).max(now.time);
        let expected_ms = starts_at.since(now.time).saturating_add(cost_ms);
        let timeout_ms = expected_ms.saturating_add(self.settings.advice_grace_ms);
        let queue = self.jobs.get(&step.job)?.queue.clone();
        state.usage.of(&queue).calls += 1;
        let slow = cost_ms > self.settings.slow_call_ms;
        let shares = &mut state.waiting.shares;
        let charge = slow.then(|| shares.charge(&queue, cost_ms, now.time));
        state.clients[index].calls.push(Call {
            step,
            queue: queue.clone(),
            charge,
            starts: starts_at,
            ends: starts_at + cost_ms,
            slow,
        });
        let node = state.clients[index].name.clone();
        let entry = state.steps.or_insert(step, StepAdvice::default());
        entry.queue = Some(queue);
        entry.denied_since = None;
        // The answer of the instance may arrive up to 500 ms after the timeout of its call.
        let deadline = now.time + timeout_ms + 500;
        entry.calls.push(StepCall {
            node: node.clone(),
            sent: now.time,
            awaited: deadline,
            ends: starts_at + cost_ms,
            deadline,
            minions: minions.clone(),
        });
        log::info!(step:% = step, node:% = node, minions = minions.len(), cost_ms = cost_ms; "leader: advice call sent");
        self.commands.push(Command::AskAdvice {
            node,
            step,
            minions,
            timeout_ms,
        });
        Some(expected_ms)
    }

    /// Applies the answer to an advice call; `advice` is none if the call failed.
    pub fn on_advice(&mut self, node: &Name, step: StepKey, advice: Option<Advice>, now: Now) {
        self.ready.wake(step);
        let state = &mut self.advice;
        state.busy_at = [None; 2];
        let failed = advice.is_none();
        if let Some(client) = state.clients.iter_mut().find(|c| c.name == *node) {
            for call in client.calls.extract_if(.., |c| c.step == step) {
                let actual_ms = now.time.since(call.starts);
                state.usage.of(&call.queue).call_ms += actual_ms;
                if let Some(charge) = call.charge {
                    state.waiting.shares.correct(&call.queue, charge, actual_ms);
                }
            }
            if failed && client.name != state.own_name {
                client.retry_at = now.time + self.settings.advice_retry_ms;
            }
        }
        let Some(entry) = state.steps.get_mut(&step) else {
            return;
        };
        let Some(index) = entry.calls.iter().position(|c| c.node == *node) else {
            return;
        };
        let named = entry.calls.remove(index).minions;
        let tickets = advice.as_ref().map_or(0, |a| a.allowed.len());
        if tickets == 0 {
            entry.answers.note_vain();
        }
        if let Some(queue) = &entry.queue {
            let counts = state.usage.of(queue);
            counts.tickets += tickets as u64;
            counts.vain += u64::from(tickets == 0);
        }
        let Some(advice) = advice else {
            log::warn!(step:% = step, node:% = node; "leader: advice call failed");
            return;
        };
        log::info!(step:% = step, node:% = node, named = named.len(), good = advice.allowed.len(); "leader: advice received");
        // Minions that were named in an earlier call add no information about the allowed fraction.
        let is_new = |n: &Name| entry.queried.binary_search(n).is_err();
        let new_count = named.iter().filter(|n| is_new(n)).count();
        let allowed = advice.allowed.iter().filter(|(n, _)| is_new(n)).count();
        let queue = self.jobs.get(&step.job).map(|j| j.queue.clone());
        let valid = advice
            .valid_ms
            .saturating_sub(self.settings.advice_slack_ms);
        let until = now.time + valid;
        if tickets > 0 {
            entry.answers.add(until);
        }
        entry.has_news = !entry.calls.is_empty();
        for call in &mut entry.calls {
            call.awaited = call.awaited.min(call.ends + OVERDUE_MS);
        }
        for name in named {
            if let Err(index) = entry.queried.binary_search(&name) {
                entry.queried.insert(index, name);
            }
        }
        for (name, ticket) in advice.allowed {
            entry.allow(name, ticket, until);
        }
        if let Some(queue) = queue.filter(|_| new_count > 0) {
            state.update_allow_rate(queue, new_count, allowed);
        }
    }
}
