//! Decisions of a leader about the runs that it stops for more urgent work.

use std::cmp::{Ordering, Reverse};

use primrosebay_state::resources::Resources;

/// Minimum run time before the first preemption, in milliseconds. A run that is stopped earlier has
/// spent more time on starting than on work.
const MIN_RUN_MS: u64 = 500;

/// Minimum run time of a task that was preempted once, in milliseconds. It is more than an advice
/// call and a restart take, so that such a task makes progress.
const PROTECTION_MS: u64 = 2_000;

/// Longest minimum run time, in milliseconds. Urgent tasks of 0.8 s that use a fifth of a full cell
/// stop each of its runs about once in this time, so they still find some to stop.
const MAX_PROTECTION_MS: u64 = 4_000;

/// Returns the run time before which a run is not preempted, in milliseconds, if its task was
/// preempted this often before. It doubles with each preemption up to a bound.
#[must_use]
pub fn min_run_ms(preemptions: u32) -> u64 {
    let Some(doublings) = preemptions.checked_sub(1) else {
        return MIN_RUN_MS;
    };
    let factor = 1_u64.checked_shl(doublings).unwrap_or(u64::MAX);
    PROTECTION_MS.saturating_mul(factor).min(MAX_PROTECTION_MS)
}

/// Time that a preempted run needs to resume at its checkpoint, in milliseconds: append and start,
/// and loading the checkpoint.
const RESTORE_MS: u64 = 500;

/// Cost of a stop whatever it stops, in core-milliseconds: records and commands of another start.
/// With it, one run is preferred to two of half its cores up to 0.1 s of work on two cores.
const STOP_COST: u64 = 200;

/// Cores that one instance keeps busy with its advice calls. In a cell of 350 minions with 16 cores,
/// where calls are the bottleneck, 25 instances make the slow ones.
const CALL_CORES: u64 = 200;

/// Time after the decision to preempt a run at which its resources can be used, in milliseconds: two
/// messages and the next pass, as long as a start takes. Longer values have urgent work wait for
/// runs that do not end when they are expected to.
const PREEMPTION_MS: u64 = 50;

/// Thousandths of a core.
const CORE_MILLI: u64 = 1_000;

/// What is lost if a run is stopped.
#[derive(Debug, Clone, Copy, Default)]
pub struct Loss {
    /// Cores of the run, in thousandths.
    pub cores_milli: u64,
    /// Time since the last checkpoint or the start of the run, in milliseconds.
    pub unsaved_ms: u64,
    /// Duration of the advice call that the run's step needs for its next start, in milliseconds; 0
    /// if it needs none.
    pub call_ms: u64,
    /// Tasks of the step that wait to be started and share the call.
    pub waiting: u64,
}

impl Loss {
    /// Returns the cost of the stop, in core-milliseconds.
    #[must_use]
    pub fn cost(&self) -> u64 {
        let again_ms = self.unsaved_ms.saturating_add(RESTORE_MS);
        let work = self.cores_milli.saturating_mul(again_ms) / CORE_MILLI;
        let share = call_cost(self.call_ms) / self.waiting.saturating_add(1);
        work.saturating_add(share).saturating_add(STOP_COST)
    }
}

/// Returns the cost of an advice call of this duration, in core-milliseconds.
#[must_use]
pub fn call_cost(call_ms: u64) -> u64 {
    call_ms.saturating_mul(CALL_CORES)
}

/// Returns whether a run is expected to end before work for which it were stopped could start. A run
/// that has exceeded its expected duration may take much longer, so it is not expected to end soon.
/// A wrong expectation thus delays the preemption by [`PREEMPTION_MS`] at most.
#[must_use]
pub fn ends_soon(expected_ms: Option<u64>, elapsed_ms: u64) -> bool {
    let left_ms = expected_ms.and_then(|expected| expected.checked_sub(elapsed_ms));
    left_ms.is_some_and(|left| (1..=PREEMPTION_MS).contains(&left))
}

/// A run that can be stopped.
#[derive(Debug, Clone, Copy, Default)]
pub struct Candidate {
    /// Resources of the run.
    pub amount: Resources,
    /// Number of preemptions of its task before the run.
    pub preemptions: u32,
    /// Cost of the stop, in core-milliseconds.
    pub cost: u64,
}

/// Runs to stop.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Choice {
    /// Positions among the candidates, sorted.
    pub victims: Vec<usize>,
    /// Highest number of earlier preemptions of a chosen task.
    pub preemptions: u32,
    /// Sum of the costs, in core-milliseconds.
    pub cost: u64,
}

impl Choice {
    fn new(mut victims: Vec<usize>, candidates: &[Candidate]) -> Self {
        victims.sort_unstable();
        let chosen = || victims.iter().map(|index| &candidates[*index]);
        let preemptions = chosen().map(|c| c.preemptions).max().unwrap_or(0);
        let cost = chosen().fold(0, |sum: u64, c| sum.saturating_add(c.cost));
        Self {
            victims,
            preemptions,
            cost,
        }
    }
}

/// Chooses runs to stop so that `suffices` holds for the sum of their resources, none of which can
/// be left out; none if all candidates together do not suffice. `suffices` must hold for any sum
/// above one for which it holds.
///
/// Tasks that were preempted more often than others are chosen only if the others do not suffice.
/// Among the rest, the choice has the lowest cost of those tried: the best single run, and runs
/// added by cost for each core or by size.
#[must_use]
pub fn choose(candidates: &[Candidate], suffices: impl Fn(&Resources) -> bool) -> Option<Choice> {
    if suffices(&Resources::ZERO) {
        return Some(Choice::default());
    }
    let mut by_cost: Vec<usize> = (0..candidates.len()).collect();
    by_cost.sort_by(|a, b| compare_by_cost(&candidates[*a], &candidates[*b]));
    // The candidates are in the order of their preemptions, so the last one that is needed bounds
    // those of all.
    let needed = count_until(&by_cost, candidates, &suffices)?;
    let most = candidates[by_cost[needed - 1]].preemptions;
    by_cost.retain(|index| candidates[*index].preemptions <= most);
    let mut by_size = by_cost.clone();
    by_size.sort_by_key(|index| {
        let candidate = &candidates[*index];
        (candidate.preemptions, Reverse(candidate.amount.cores_milli))
    });
    let alone = by_cost.iter().filter(|i| suffices(&candidates[**i].amount));
    let alone = alone.map(|index| vec![*index]);
    let several = [&by_cost, &by_size].map(|order| {
        let count = count_until(order, candidates, &suffices).unwrap_or(order.len());
        leave_out(&order[..count], candidates, &suffices)
    });
    let choices = alone.chain(several).map(|v| Choice::new(v, candidates));
    choices.min_by_key(|c| (c.preemptions, c.cost, c.victims.len()))
}

/// Orders candidates by their preemptions and their cost for each core.
fn compare_by_cost(a: &Candidate, b: &Candidate) -> Ordering {
    let product = |cost: u64, cores: u64| u128::from(cost) * u128::from(cores.max(1));
    let a_cost = product(a.cost, b.amount.cores_milli);
    let b_cost = product(b.cost, a.amount.cores_milli);
    (a.preemptions, a_cost).cmp(&(b.preemptions, b_cost))
}

/// Returns how many of the first victims suffice; none if all together do not.
fn count_until(
    victims: &[usize],
    candidates: &[Candidate],
    suffices: &impl Fn(&Resources) -> bool,
) -> Option<usize> {
    let mut released = Resources::ZERO;
    let enough = victims.iter().position(|index| {
        released = released.plus(&candidates[*index].amount);
        suffices(&released)
    });
    enough.map(|last| last + 1)
}

/// Returns the victims without those that are not needed, the last ones first.
fn leave_out(
    victims: &[usize],
    candidates: &[Candidate],
    suffices: &impl Fn(&Resources) -> bool,
) -> Vec<usize> {
    let sum = |victims: &[usize]| {
        let amounts = victims.iter().map(|index| &candidates[*index].amount);
        amounts.fold(Resources::ZERO, |sum, amount| sum.plus(amount))
    };
    let mut kept = victims.to_vec();
    for position in (0..victims.len()).rev() {
        let left_out = kept.remove(position);
        if !suffices(&sum(&kept)) {
            kept.insert(position, left_out);
        }
    }
    kept
}
