//! Steps that wait for an instance that can make a slow advice call.
//!
//! As long as an instance is free whenever a step needs one, nothing waits and calls are made in serving
//! order. Otherwise the steps wait here, and at the end of each pass the free instances are given to
//! those that are next by the shares of their queues.

use primrosebay_state::time::Time;

use super::Leader;
use super::active::Wait;
use super::advice_calls::expected_names;
use super::advice_share::{CallShares, Urgency, Waiter};
use super::command::Now;
use super::quota::QuotaUsage;
use super::ready::{Backoff, ReadyStep};
use super::schedule::Request;
use crate::config::AdviceTiming;
use crate::job::StepKey;

/// Longest time for which a step waits without being examined, in milliseconds: its urgency and the
/// limit of its account may change.
const WAIT_MS: u64 = 300;

/// Maximum number of steps that are given an instance or found not to need one in a pass. Each costs as
/// much as an examined step.
const MAX_GRANTS: usize = 32;

/// Time before its last start from which on a step is pressing, in milliseconds, in addition to its call.
const PRESSING_MS: u64 = 500;

/// The steps that wait for an instance, and the call time of their queues.
#[derive(Debug, Default)]
pub(super) struct WaitingCalls {
    pub(super) shares: CallShares,
    /// In no particular order.
    waiting: Vec<Waiter>,
    /// The step that may make its call now.
    granted: Option<StepKey>,
}

impl WaitingCalls {
    /// Returns whether other steps wait and precede this one.
    fn precede(&self, step: StepKey) -> bool {
        !self.waiting.is_empty() && self.granted != Some(step)
    }

    /// Adds a step, or updates what is known about it.
    fn set(&mut self, mut waiter: Waiter) {
        match self.waiting.iter_mut().find(|w| w.step == waiter.step) {
            Some(known) => {
                waiter.since = known.since;
                *known = waiter;
            }
            None => self.waiting.push(waiter),
        }
    }
}

/// Returns the urgency of a step whose call takes `call_ms`.
fn urgency(step: &ReadyStep, call_ms: u64, wall_ms: u64) -> Urgency {
    let pressing = wall_ms.saturating_add(PRESSING_MS + call_ms);
    if wall_ms > step.expiry {
        Urgency::Expired
    } else if wall_ms > step.last_start {
        Urgency::Late
    } else if step.last_start <= pressing || step.last_start == u64::MAX {
        Urgency::Pressing
    } else {
        Urgency::InTime
    }
}

impl Leader {
    /// Returns whether the step has to wait until an instance is given to it.
    pub(super) fn waits_its_turn(&self, request: &Request, timing: AdviceTiming) -> bool {
        self.has_share(request, timing) && self.advice.waiting.precede(request.step)
    }

    /// Returns whether calls for the step count toward the share of its queue.
    fn has_share(&self, request: &Request, timing: AdviceTiming) -> bool {
        let is_slow = timing.call_ms(1) > self.settings.slow_call_ms;
        self.settings.plan_calls && is_slow && request.priority > 0
    }

    /// Lets a step wait for an instance.
    pub(super) fn wait_for_client(&mut self, request: &Request, timing: AdviceTiming, now: Now) {
        if self.is_call_costly(request, timing) && self.rests(request, now.time) {
            self.block(request.step, Wait::Room, now.time);
            self.back_off(request, Wait::Room, None, now);
            self.rest_until_plan(request.step, now.time);
            return;
        }
        self.block(request.step, Wait::Client, now.time);
        if !self.has_share(request, timing) {
            return;
        }
        if let Some(waiter) = self.waiter(request, timing, now) {
            self.advice.waiting.set(waiter);
            // A step with tickets starts as soon as there is room for it.
            let advice = self.advice.get(request.step);
            if advice.is_some_and(|a| a.has_tickets(now.time)) {
                return;
            }
            let backoff = Backoff {
                until: now.time + WAIT_MS,
                cause: Wait::Client,
                charge: None,
            };
            self.ready.set_backoff(request.step, backoff);
        }
    }

    /// Lets the next passes leave out a step without tickets until its next call is planned.
    pub(super) fn rest_until_plan(&mut self, step: StepKey, now: Time) {
        let advice = self.advice.get(step).filter(|a| !a.has_tickets(now));
        if let Some(until) = advice.map(|a| a.next_plan).filter(|at| now < *at) {
            let backoff = Backoff {
                until,
                cause: Wait::Room,
                charge: None,
            };
            self.ready.set_backoff(step, backoff);
        }
    }

    fn waiter(&self, request: &Request, timing: AdviceTiming, now: Now) -> Option<Waiter> {
        let ready = self.ready.get(request.step)?;
        let allow_rate = self.advice.allow_rate(&request.queue);
        let call_ms = timing.call_ms(expected_names(request.count(), allow_rate));
        Some(Waiter {
            step: request.step,
            queue: request.queue.clone(),
            priority: request.priority,
            urgency: urgency(ready, call_ms, now.wall_ms),
            over_share: ready.over_share,
            // Tasks that last have no last start, and have to run again soon.
            last_start: request.duration().map_or(0, |_| ready.last_start),
            since: now.time,
        })
    }

    /// Gives the free instances to waiting steps.
    pub(super) fn grant_calls(&mut self, quota: &mut QuotaUsage, now: Now) {
        let mut grants = 0;
        while grants < MAX_GRANTS
            && self.advice.plans.has_left()
            && self.advice.has_free_client(now.time, &self.settings)
        {
            let waiting = &mut self.advice.waiting;
            let Some(index) = waiting.shares.next(&waiting.waiting, now.time) else {
                return;
            };
            let step = waiting.waiting.swap_remove(index).step;
            let Some(late) = self.ready.is_late(step) else {
                continue;
            };
            grants += 1;
            self.advice.waiting.granted = Some(step);
            self.ready.wake(step);
            self.place_step(step, late, quota, now);
            self.advice.waiting.granted = None;
        }
    }
}
