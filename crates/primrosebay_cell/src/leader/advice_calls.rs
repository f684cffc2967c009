//! Which advice calls are worth their time while instances are scarce, and which minions they name.
//!
//! The fixed time of a slow call is a large part of it, so a call for few tasks, or one whose answer
//! finds no room, delays the calls of all other steps. A slow call is made only if its step is expected
//! to start on the answer. It names those minions on which room is expected then.

use std::cmp::Reverse;

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::Leader;
use super::advice::{MAX_CALL_MINIONS, StepAdvice};
use super::command::Now;
use super::minion::{Minion, Run, count_fitting};
use super::preempt::preemptible_priority;
use super::schedule::{Request, minion_order};
use crate::config::AdviceTiming;
use crate::job::StepKey;

/// Part of the tasks that could start in an empty cell and have to be expected to start on the answer
/// of a call: one in this many. With a quarter of them, the load test `advice_load` needed a fifth more call time.
const START_DIVISOR: f64 = 1.2;

/// Time for which a step waits until its call is worth more, in milliseconds. After that one expected
/// start suffices, and what other steps claim does not count, so that no step waits without end.
const PATIENCE_MS: u64 = 3_000;

/// Interval at which a call that was not worth its time is planned again, in milliseconds. A plan looks
/// at all runs of the service. The interval grows with the time for which the step has waited.
const PLAN_INTERVAL_MS: u64 = 150;

/// Longest such interval, in milliseconds.
const MAX_PLAN_INTERVAL_MS: u64 = 600;

/// Part of the time that a step has waited by which the interval grows: one in this many.
const PLAN_GROWTH_DIVISOR: u64 = 4;

/// Maximum number of plans in a pass that are not worth their time, so that a backlog without room does
/// not prolong the pass.
const MAX_DENIED: usize = 4;

/// Number of tasks that have to be expected to start in any case. The usual step with one task and an
/// allowed minion with room reaches it.
const MIN_STARTS: f64 = 0.5;

/// Fraction of the time that a run has exceeded its expected duration for which it is expected to go
/// on: one in this many. The longer a run has taken, the less is known about its end.
const OVERRUN_DIVISOR: u64 = 2;

/// Time by which a step waits for its next call after the first one in vain, in milliseconds. The
/// time doubles with each further one.
const VAIN_BACKOFF_MS: u64 = 250;

/// Longest such time, in milliseconds.
const MAX_VAIN_BACKOFF_MS: u64 = 4_000;

/// Room that is expected on a minion when the answer to a call arrives.
#[derive(Debug, Clone, Copy)]
pub(super) struct Offer {
    /// Position of the minion among all minions.
    minion: usize,
    /// Number of tasks that are expected to fit.
    slots: u32,
    /// Number of tasks that fit if nothing else runs there.
    most: u32,
    /// Whether the minion is known to be allowed.
    allowed: bool,
}

impl Offer {
    /// Returns the probability that the minion is allowed.
    fn chance(&self, allow_rate: f64) -> f64 {
        if self.allowed { 1.0 } else { allow_rate }
    }
}

/// Returns how many of the first offers a call for `want` tasks names: as many as bring the most starts
/// for its time. Returns none if too few starts are expected.
#[expect(
    clippy::cast_precision_loss,
    reason = "a call names at most 100 minions, and waits last seconds"
)]
fn count_named(
    offers: &[Offer],
    want: u32,
    allow_rate: f64,
    timing: AdviceTiming,
    waited_ms: u64,
) -> Option<usize> {
    // Which minions are allowed and which room is still free varies, so that the first names bring more
    // than the last ones, also beyond the room that is needed on average.
    let want_tasks = f64::from(want);
    let starts_in = |room: f64| want_tasks * (1.0 - (-room / want_tasks).exp());
    let mut room = 0.0;
    let mut most = 0.0;
    let mut best = (0.0, 0.0, 0);
    for (index, offer) in offers.iter().take(MAX_CALL_MINIONS).enumerate() {
        room += offer.chance(allow_rate) * f64::from(offer.slots.min(want));
        most += offer.chance(allow_rate) * f64::from(offer.most.min(want));
        let starts = starts_in(room);
        let cost_ms = timing.fixed_ms + timing.per_minion_ms * (index + 1) as f64;
        let rate = starts / cost_ms.max(1.0);
        if rate > best.0 {
            best = (rate, starts, index + 1);
        }
    }
    let (_, starts, count) = best;
    let patience = PATIENCE_MS.saturating_sub(waited_ms) as f64 / PATIENCE_MS as f64;
    let needed = (starts_in(most) / START_DIVISOR * patience).max(MIN_STARTS);
    (starts >= needed).then_some(count)
}

/// Returns the time by which a step waits for its next call after `vain` calls in vain, in
/// milliseconds.
pub(super) fn vain_backoff_ms(vain: u32) -> u64 {
    let Some(doublings) = vain.checked_sub(1) else {
        return 0;
    };
    let factor = 1_u64.checked_shl(doublings).unwrap_or(u64::MAX);
    VAIN_BACKOFF_MS
        .saturating_mul(factor)
        .min(MAX_VAIN_BACKOFF_MS)
}

/// Returns the time until a call of a step is planned again that has waited for `waited_ms`, in
/// milliseconds.
fn plan_interval_ms(waited_ms: u64) -> u64 {
    (PLAN_INTERVAL_MS + waited_ms / PLAN_GROWTH_DIVISOR).min(MAX_PLAN_INTERVAL_MS)
}

/// The plans of a pass.
#[derive(Debug, Default)]
pub(super) struct Plans {
    /// Number of plans that may still turn out not to be worth their time.
    left: usize,
    /// Cores that steps claim on each minion, in thousandths; none if they are not known.
    claims: Option<Vec<u64>>,
}

impl Plans {
    /// Begins a pass.
    pub(super) fn begin(&mut self) {
        self.left = MAX_DENIED;
        self.claims = None;
    }

    /// Returns whether a call may still be planned.
    pub(super) fn has_left(&self) -> bool {
        self.left > 0
    }
}

/// Returns whether a run is expected to end by `until`.
fn ends_by(run: &Run, until: Time, now: Time) -> bool {
    let Some(duration) = run.duration else {
        return false;
    };
    let elapsed = now.since(run.updated_at);
    let left = duration.saturating_sub(elapsed);
    let overrun = elapsed.saturating_sub(duration) / OVERRUN_DIVISOR;
    now + left.max(overrun) <= until
}

impl Leader {
    /// Returns whether calls for the step have to be worth their time. Those for gangs name minions
    /// until enough are known, and the most urgent queues do not wait.
    pub(super) fn is_call_costly(&self, request: &Request, timing: AdviceTiming) -> bool {
        let is_slow = timing.call_ms(1) > self.settings.slow_call_ms;
        self.settings.plan_calls && is_slow && !request.gang && request.priority > 0
    }

    /// Calls the advice service about the minions on which room for the step is expected, if it can
    /// start there. Returns whether the step waits for an answer or an instance.
    pub(super) fn call_expected(
        &mut self,
        request: &Request,
        timing: AdviceTiming,
        allowed: &[usize],
        now: Now,
    ) -> bool {
        let cost_ms = timing.call_ms(1);
        let is_scarce = self.advice.is_scarce(cost_ms, now.time, &self.settings);
        if self.rests(request, now.time) {
            self.wait_for_room(request.step, now.time);
            return false;
        }
        if !self.advice.plans.has_left() {
            self.deny_call(request.step, now.time);
            return false;
        }
        let claims = self.advice.plans.claims.take();
        let claims = claims.unwrap_or_else(|| self.claims(now.time));
        let names = self.plan_call(request, timing, allowed, &claims, is_scarce, now.time);
        let Some(names) = names else {
            self.advice.plans.claims = Some(claims);
            self.advice.plans.left -= 1;
            self.deny_call(request.step, now.time);
            return false;
        };
        self.call_advice(request, timing, vec![names], &[], now);
        true
    }

    /// Lets a step wait until its call is planned again.
    fn deny_call(&mut self, step: StepKey, now: Time) {
        let waited_ms = self.advice.waited_ms(step, now);
        let next_plan = now + plan_interval_ms(waited_ms);
        self.advice.note_denied(step, next_plan, now);
        self.wait_for_room(step, now);
    }

    /// Returns whether no call is planned for the step now.
    pub(super) fn rests(&self, request: &Request, now: Time) -> bool {
        let rests = |a: &StepAdvice| a.rests(request.pending.len(), now);
        self.advice.get(request.step).is_some_and(rests)
    }

    /// Returns the minions that a call for the step names now; none if it is not worth its time.
    fn plan_call(
        &self,
        request: &Request,
        timing: AdviceTiming,
        allowed: &[usize],
        claims: &[u64],
        is_scarce: bool,
        now: Time,
    ) -> Option<Vec<Name>> {
        let allow_rate = self.advice.allow_rate(&request.queue);
        let answered = now + timing.call_ms(expected_names(request.count(), allow_rate));
        // The step can use room that becomes free while its tickets are valid.
        let usable = answered + timing.valid_ms / 2;
        let offers = self.offers(request, allowed, claims, usable, is_scarce, now);
        let advice = self.advice.get(request.step);
        let advice = advice.filter(|a| a.has_tickets(answered));
        let is_covered = |o: &Offer| {
            let name = self.minions.at(o.minion).map(|(name, _)| name);
            let valid_until = advice.zip(name).map(|(a, n)| a.valid_until(n));
            valid_until.is_some_and(|until| until > answered)
        };
        let (covered, mut offers): (Vec<Offer>, Vec<Offer>) =
            offers.into_iter().partition(is_covered);
        let covered_slots = covered.iter().fold(0, |sum, o| o.slots.saturating_add(sum));
        let permitted = request.count().min(self.permitted_tasks(request, now));
        let want = permitted.saturating_sub(covered_slots);
        if want == 0 {
            return None;
        }
        let order = |o: &Offer| {
            let slots = o.slots.min(want);
            let hash = minion_order(request.step, o.minion);
            (Reverse((o.allowed, slots)), hash)
        };
        offers.sort_unstable_by_key(order);
        let waited_ms = self.advice.waited_ms(request.step, now);
        let count = count_named(&offers, want, allow_rate, timing, waited_ms)?;
        let chosen = offers[..count].iter();
        let chosen = chosen.filter_map(|o| self.minions.at(o.minion));
        Some(chosen.map(|(name, _)| name.clone()).collect())
    }

    /// Returns how many tasks the account's limit permits beside its runs and what its other steps are
    /// expected to start on their calls and tickets. Not all of these are charged to the limit.
    fn permitted_tasks(&self, request: &Request, now: Time) -> u32 {
        let account = request.account.as_ref();
        let Some((name, account)) = account.and_then(|a| Some((a, self.accounts.get(a)?))) else {
            return u32::MAX;
        };
        let limit_milli = account.limit.cores_milli;
        let need_milli = request.amount.cores_milli;
        let is_patient = self.advice.waited_ms(request.step, now) < PATIENCE_MS;
        if limit_milli == 0 || need_milli == 0 || !is_patient {
            return u32::MAX;
        }
        let used_milli = self.usage.get(name).map_or(0, |u| u.cores_milli);
        let promised_milli = self.advice.promised_milli(name, request.step, now);
        let left_milli = limit_milli.saturating_sub(used_milli.saturating_add(promised_milli));
        u32::try_from(left_milli / need_milli).unwrap_or(u32::MAX)
    }

    /// Returns the room that is expected at `usable` on the minions that are allowed or have not been
    /// named yet, without what other steps are expected to use by then. Unless instances are scarce,
    /// the room of runs that the step may preempt counts as well.
    fn offers(
        &self,
        request: &Request,
        allowed: &[usize],
        claims: &[u64],
        usable: Time,
        is_scarce: bool,
        now: Time,
    ) -> Vec<Offer> {
        let is_patient = self.advice.waited_ms(request.step, now) < PATIENCE_MS;
        let (own_minions, own_milli) = self.own_claim(request.step, now);
        let advice = self.advice.get(request.step);
        let mut offers = Vec::new();
        for index in self.usable_minions(request) {
            let Some((name, minion)) = self.minions.at(index) else {
                continue;
            };
            let is_allowed = allowed.binary_search(&index).is_ok();
            let is_refused =
                advice.is_some_and(|a| !is_allowed && a.queried.binary_search(name).is_ok());
            if is_refused {
                continue;
            }
            let releases = |r: &Run| {
                let victim = preemptible_priority(r, now).filter(|_| !is_scarce);
                ends_by(r, usable, now) || victim.is_some_and(|p| p > request.priority)
            };
            let is_own = own_minions.binary_search(&index).is_ok();
            let own = if is_own { own_milli } else { 0 };
            let claimed = claims.get(index).copied().unwrap_or(0);
            let claimed = if is_patient {
                claimed.saturating_sub(own)
            } else {
                0
            };
            let free = minion.free_after(request.step, releases);
            let slots = unclaimed_slots(request, minion, free, claimed);
            offers.push(Offer {
                minion: index,
                slots,
                most: count_fitting(&request.amount, &minion.entry.capacity),
                allowed: is_allowed,
            });
        }
        offers
    }

    /// Returns the cores that steps with calls in flight or valid tickets are expected to use, in
    /// thousandths, for each minion.
    fn claims(&self, now: Time) -> Vec<u64> {
        let mut claims = vec![0; self.minions.len()];
        for (names, share_milli) in self.advice.claims(now) {
            for index in names.iter().filter_map(|n| self.minions.index_of(*n)) {
                claims[index] += share_milli;
            }
        }
        claims
    }

    /// Returns the minions on which a step claims cores itself, sorted, and how many on each, in
    /// thousandths.
    fn own_claim(&self, step: StepKey, now: Time) -> (Vec<usize>, u64) {
        let claim = self.advice.get(step).and_then(|a| a.claim(now));
        let Some((names, share_milli)) = claim else {
            return (Vec::new(), 0);
        };
        let indices = names.iter().filter_map(|n| self.minions.index_of(*n));
        let mut indices: Vec<usize> = indices.collect();
        indices.sort_unstable();
        (indices, share_milli)
    }
}

/// Returns the number of minions that a call for `want` tasks is expected to name.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a call names at most 100 minions"
)]
pub(super) fn expected_names(want: u32, allow_rate: f64) -> usize {
    ((f64::from(want) / allow_rate) as usize).min(MAX_CALL_MINIONS)
}

/// Returns how many tasks of the step fit on a minion with these free resources, of which other steps
/// claim some cores.
fn unclaimed_slots(request: &Request, minion: &Minion, free: Resources, claimed_milli: u64) -> u32 {
    let unclaimed = Resources {
        cores_milli: free.cores_milli.saturating_sub(claimed_milli),
        ..free
    };
    count_fitting(&request.amount, &unclaimed).min(request.minion_limit(minion))
}
