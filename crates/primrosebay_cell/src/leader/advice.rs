//! Calls to the advice service: who makes them, and what their answers still allow.
//!
//! The service takes one call at a time from each calling instance. Slow calls are therefore made
//! by instances of their own, so that the quick ones of urgent queues do not wait behind them.

use primrosebay_state::Name;
use primrosebay_state::table::Table;
use primrosebay_state::time::Time;

use super::Leader;
use super::command::{Advice, Command, Now};
use super::settings::Settings;
use crate::config::AdviceTiming;
use crate::job::{JobKey, StepKey};

/// Most minions that one call may name.
pub(super) const MINIONS_PER_CALL: usize = 100;

/// The part of named minions that is expected to be allowed before a queue's service has answered.
/// It is the lowest of both users' queues, since a call that names too few was in vain.
const EXPECTED_SHARE: f64 = 0.25;

/// The lowest part that is counted on, so that a few poor answers do not make calls endless.
const LEAST_SHARE: f64 = 0.1;

/// How much an answer counts against what was known.
const SHARE_WEIGHT: f64 = 0.1;

/// Quick calls that one instance may have waiting at the service.
const QUICK_CALLS: usize = 3;

/// One in this many instances makes quick calls only. In the heaviest bursts of both users quick
/// calls take up to an eighth of the time of all instances, so a quarter keeps their queues short.
const QUICK_PART: usize = 4;

/// What is known of a step's advice.
#[derive(Debug, Default)]
pub(super) struct Known {
    /// Minions that may run the step. The answer of the service does not change.
    pub(super) good: Vec<Name>,
    /// Minions that were named in a call, sorted.
    pub(super) named: Vec<Name>,
    /// Tickets and until when they are valid.
    tickets: Vec<(Name, Name, Time)>,
    /// The call in flight: who makes it and until when it is waited for.
    call: Option<(Name, Time, Vec<Name>)>,
}

impl Known {
    /// Returns whether any ticket is valid.
    pub(super) fn has_tickets(&self, now: Time) -> bool {
        self.tickets.iter().any(|t| now < t.2)
    }

    /// Returns the ticket for a minion.
    pub(super) fn ticket(&self, minion: &Name, now: Time) -> Option<&Name> {
        let valid = |t: &&(Name, Name, Time)| t.0 == *minion && now < t.2;
        self.tickets.iter().find(valid).map(|t| &t.1)
    }

    pub(super) fn is_asking(&self) -> bool {
        self.call.is_some()
    }
}

/// A call in flight.
#[derive(Debug)]
struct Call {
    step: StepKey,
    /// When it is expected to end.
    until: Time,
    /// Whether quick calls should not wait for it.
    slow: bool,
}

#[derive(Debug)]
struct Adviser {
    name: Name,
    calls: Vec<Call>,
    /// Until when it is not asked because it has failed.
    down: Time,
}

#[derive(Debug)]
pub(super) struct Advisers {
    own: Name,
    members: Vec<Adviser>,
    steps: Table<StepKey, Known>,
    /// The part of named minions that was allowed, by queue; newer answers count more.
    shares: Table<Name, f64>,
}

impl Advisers {
    pub(super) fn new(own: Name) -> Self {
        let mut advisers = Self {
            own,
            members: Vec::new(),
            steps: Table::default(),
            shares: Table::default(),
        };
        advisers.set_members(Vec::new());
        advisers
    }

    pub(super) fn set_members(&mut self, mut names: Vec<Name>) {
        if !names.contains(&self.own) {
            names.push(self.own.clone());
        }
        names.sort_unstable();
        self.members.retain(|m| names.contains(&m.name));
        for name in names {
            if self.members.iter().any(|m| m.name == name) {
                continue;
            }
            self.members.push(Adviser {
                name,
                calls: Vec::new(),
                down: Time(0),
            });
        }
        // The leader comes first: it makes quick calls, which it can do without another hop.
        let own = self.own.clone();
        self.members
            .sort_by(|a, b| (a.name != own, &a.name).cmp(&(b.name != own, &b.name)));
    }

    pub(super) fn get(&self, step: StepKey) -> Option<&Known> {
        self.steps.get(&step)
    }

    pub(super) fn asking(&self) -> usize {
        self.steps.iter().filter(|(_, k)| k.is_asking()).count()
    }

    /// Returns the part of named minions that a queue's service usually allows.
    pub(super) fn share(&self, queue: &Name) -> f64 {
        let share = self.shares.get(queue).copied();
        share.unwrap_or(EXPECTED_SHARE).max(LEAST_SHARE)
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "a call names at most 100 minions"
    )]
    fn note_share(&mut self, queue: Name, named: usize, good: usize) {
        let share = good as f64 / named.max(1) as f64;
        let known = self.shares.or_insert(queue, EXPECTED_SHARE);
        *known += (share - *known) * SHARE_WEIGHT;
    }

    /// Returns whether this ticket may still be used.
    pub(super) fn is_valid(&self, step: StepKey, minion: &Name, ticket: &Name, now: Time) -> bool {
        let known = self.steps.get(&step);
        known.and_then(|k| k.ticket(minion, now)) == Some(ticket)
    }

    /// Forgets the ticket of a minion that refused it.
    pub(super) fn expire(&mut self, step: StepKey, minion: &Name) {
        if let Some(known) = self.steps.get_mut(&step) {
            known.tickets.retain(|t| t.0 != *minion);
        }
    }

    pub(super) fn forget(&mut self, job: JobKey) {
        self.steps.retain(|step, _| step.job != job);
    }

    /// Gives up calls whose answer is overdue.
    pub(super) fn expire_calls(&mut self, now: Time) {
        for (step, known) in self.steps.iter_mut() {
            let Some((node, _, _)) = known.call.take_if(|c| now >= c.1) else {
                continue;
            };
            log::warn!(step:% = step, node:% = node; "leader: advice is overdue");
        }
        for member in &mut self.members {
            member.calls.retain(|c| now < c.until + 5_000);
        }
    }

    /// Returns whether an instance can make a call that takes at least `cost_ms`.
    pub(super) fn has_free(
        &self,
        cost_ms: u64,
        late: bool,
        now: Time,
        settings: &Settings,
    ) -> bool {
        self.pick(cost_ms, late, now, settings).is_some()
    }

    /// Returns the instance that can make a call of `cost_ms`, the least busy one. Slow calls leave
    /// some instances to the quick ones, which go to all that have no slow call to wait for. Calls
    /// for jobs that are `late` go only to instances that are idle, so that the calls of jobs which
    /// can still meet their objective do not queue behind them.
    fn pick(&self, cost_ms: u64, late: bool, now: Time, settings: &Settings) -> Option<usize> {
        let healthy: Vec<usize> = (0..self.members.len())
            .filter(|i| now >= self.members[*i].down)
            .collect();
        let slow = cost_ms > settings.slow_call_ms;
        let pool = match (slow, healthy.len()) {
            (true, 2..) => &healthy[healthy.len().div_ceil(QUICK_PART)..],
            _ => &healthy[..],
        };
        let free = |i: &&usize| {
            let calls = &self.members[**i].calls;
            let most = if late || slow { 1 } else { QUICK_CALLS };
            !calls.iter().any(|c| c.slow) && calls.len() < most
        };
        let busy = |i: &&usize| {
            let calls = self.members[**i].calls.iter();
            calls.map(|c| c.until).max().unwrap_or(now).since(now)
        };
        pool.iter().filter(free).min_by_key(busy).copied()
    }
}

impl Leader {
    /// Asks for advice on a step if an instance is free to do so. Returns after how many
    /// milliseconds the answer is expected.
    pub(super) fn ask(
        &mut self,
        step: StepKey,
        terms: AdviceTiming,
        mut minions: Vec<Name>,
        late: bool,
        now: Now,
    ) -> Option<u64> {
        minions.truncate(MINIONS_PER_CALL);
        if minions.is_empty() {
            return None;
        }
        let cost = terms.call_ms(minions.len());
        let advisers = &mut self.advisers;
        let at = advisers.pick(cost, late, now.time, &self.settings)?;
        let queued = advisers.members[at].calls.iter().map(|c| c.until).max();
        let begin = queued.unwrap_or(now.time).max(now.time);
        let expected_ms = begin.since(now.time) + cost;
        let timeout_ms = expected_ms + self.settings.advice_grace_ms;
        advisers.members[at].calls.push(Call {
            step,
            until: begin + cost,
            slow: cost > self.settings.slow_call_ms,
        });
        let node = advisers.members[at].name.clone();
        let known = advisers.steps.or_insert(step, Known::default());
        known.call = Some((node.clone(), now.time + timeout_ms + 500, minions.clone()));
        log::info!(step:% = step, node:% = node, minions = minions.len(), cost_ms = cost; "leader: advice asked");
        self.commands.push(Command::AskAdvice {
            node,
            step,
            minions,
            timeout_ms,
        });
        Some(expected_ms)
    }

    /// Takes over what came of a call for advice; none if it failed.
    pub fn on_advice(&mut self, node: &Name, step: StepKey, advice: Option<Advice>, now: Now) {
        let advisers = &mut self.advisers;
        let failed = advice.is_none();
        if let Some(member) = advisers.members.iter_mut().find(|m| m.name == *node) {
            member.calls.retain(|c| c.step != step);
            if failed && member.name != advisers.own {
                member.down = now.time + self.settings.advice_retry_ms;
            }
        }
        let Some(known) = advisers.steps.get_mut(&step) else {
            return;
        };
        let Some((_, _, named)) = known.call.take_if(|c| c.0 == *node) else {
            return;
        };
        let Some(advice) = advice else {
            log::warn!(step:% = step, node:% = node; "leader: advice failed");
            return;
        };
        log::info!(step:% = step, node:% = node, named = named.len(), good = advice.allowed.len(); "leader: advice answered");
        // Minions that were named before say nothing new about the queue.
        let new = |n: &Name| known.named.binary_search(n).is_err();
        let count = named.iter().filter(|n| new(n)).count();
        let good = advice.allowed.iter().filter(|(n, _)| new(n)).count();
        let queue = self.jobs.get(&step.job).map(|j| j.queue.clone());
        let valid = advice
            .valid_ms
            .saturating_sub(self.settings.advice_slack_ms);
        let until = now.time + valid;
        for name in named {
            if let Err(at) = known.named.binary_search(&name) {
                known.named.insert(at, name);
            }
        }
        for (name, ticket) in advice.allowed {
            known.tickets.retain(|t| t.0 != name);
            if !known.good.contains(&name) {
                known.good.push(name.clone());
            }
            known.tickets.push((name, ticket, until));
        }
        if let Some(queue) = queue.filter(|_| count > 0) {
            advisers.note_share(queue, count, good);
        }
    }
}
