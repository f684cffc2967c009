//! Whether a gang is expected to find room on the answer to an advice call.
//!
//! A gang can use an answer only if all of its tasks fit on the allowed minions. In a full cell,
//! several gangs used to ask about the same room at the same time: one of them got it, and the calls of
//! the others were in vain. While instances for calls are scarce, such calls keep the steps waiting
//! that could start.

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::Leader;
use super::command::Now;
use super::room::Slots;
use super::schedule::Request;
use crate::config::AdviceTiming;
use crate::gang_room::expected_slots;

/// Longest time for which a gang makes no call because too little room is expected, in milliseconds.
/// Then it calls in any case, so that it does not wait for others without end.
const PATIENCE_MS: u64 = 3_000;

/// Interval at which all claims are computed, in milliseconds. Calls that start in between are added. It
/// takes a search for each minion that a call in flight names, thousands in a large cell.
const CLAIMS_INTERVAL_MS: u64 = 50;

/// Cores that gangs with calls in flight are expected to use.
#[derive(Debug, Default)]
pub(super) struct GangClaims {
    /// In thousandths, by the position of the minion.
    cores: Vec<u64>,
    /// Time at which all were computed; none if they never were.
    measured: Option<Time>,
}

#[expect(
    clippy::cast_precision_loss,
    reason = "cores and tasks are far below 2^52"
)]
fn as_f64(count: u64) -> f64 {
    count as f64
}

/// Returns how many tasks fit on a minion without the cores that are claimed there. `claims` holds the
/// claimed cores, in thousandths, by the position of the minion.
fn open_slots(candidate: &Slots, amount: &Resources, claims: &[u64]) -> f64 {
    let claimed = claims.get(candidate.minion).copied().unwrap_or(0);
    let claimed = as_f64(claimed) / as_f64(amount.cores_milli.max(1));
    (f64::from(candidate.total) - claimed).max(0.0)
}

impl Leader {
    /// Returns whether a call for a gang is likely to be in vain: instances for calls are scarce, and
    /// less room than for `want` tasks is expected on allowed ones among the candidates, besides what
    /// other gangs with calls in flight are expected to use.
    pub(super) fn is_gang_call_vain(
        &mut self,
        request: &Request,
        timing: AdviceTiming,
        candidates: &[Slots],
        want: u64,
        now: Now,
    ) -> bool {
        let cost_ms = timing.call_ms(1);
        if !self.advice.is_scarce(cost_ms, now.time, &self.settings) {
            return false;
        }
        let waited_ms = self.advice.waited_ms(request.step, now.time);
        if waited_ms >= PATIENCE_MS {
            return false;
        }
        self.update_gang_claims(now);
        let claims = &self.advice.gang_claims.cores;
        let allow_rate = self.advice.allow_rate(&request.queue);
        let open = candidates
            .iter()
            .map(|c| open_slots(c, &request.amount, claims));
        let is_vain = expected_slots(open, allow_rate) < as_f64(want);
        if is_vain {
            self.advice.note_denied(request.step, now.time, now.time);
        }
        is_vain
    }

    /// Brings the cores that gangs with calls in flight are expected to use up to date. Each gang uses the
    /// minions that its calls name evenly.
    fn update_gang_claims(&mut self, now: Now) {
        let measured = self.advice.gang_claims.measured;
        let count = self.minions.len();
        let is_recent = measured.is_some_and(|at| now.time.since(at) < CLAIMS_INTERVAL_MS);
        if is_recent && self.advice.gang_claims.cores.len() == count {
            return;
        }
        let mut cores = vec![0; count];
        for (step, names) in self.advice.named_in_flight() {
            let other = self.jobs.get(&step.job);
            let Some((job, spec)) = other.and_then(|job| Some((job, job.step(step)?))) else {
                continue;
            };
            if !spec.gang || names.is_empty() {
                continue;
            }
            let demand = job.amount(step).times(u64::from(spec.count));
            let share = demand.cores_milli / (names.len() as u64);
            for index in names.iter().filter_map(|n| self.minions.index_of(*n)) {
                cores[index] += share;
            }
        }
        self.advice.gang_claims = GangClaims {
            cores,
            measured: Some(now.time),
        };
    }

    /// Adds what a gang is expected to use that has just called about the minions with these names.
    pub(super) fn claim_for_gang(&mut self, request: &Request, batches: &[Vec<Name>]) {
        let named: usize = batches.iter().map(Vec::len).sum();
        let demand = request.amount.times(u64::from(request.count()));
        let share = demand.cores_milli / (named as u64).max(1);
        for index in batches
            .iter()
            .flatten()
            .filter_map(|n| self.minions.index_of(n))
        {
            if let Some(claimed) = self.advice.gang_claims.cores.get_mut(index) {
                *claimed += share;
            }
        }
    }
}
