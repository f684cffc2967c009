//! Selection of the tasks that are preempted for an urgent task.

use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::fit::ratio;
use super::fleet::{Fleet, Worker};
use super::running_tasks::{RunningTask, RunningTasks};
use super::team::Teams;

/// Number of workers compared before the cheapest victims found so far are taken.
const MAX_WORKERS: usize = 64;
/// Milliseconds added to the lost work of each preempted task for its restart.
const RESTART_COST_MS: u64 = 5_000;
/// Number of earlier preemptions beyond which the loss of a task no longer doubles.
const MAX_DOUBLINGS: u32 = 16;

/// Tasks to preempt on one worker.
#[derive(Debug)]
pub(super) struct Victims {
    pub(super) worker: usize,
    /// Slots of the tasks in `RunningTasks`.
    pub(super) tasks: Vec<usize>,
    /// Sum of [`VictimSearch::loss`] over the tasks.
    loss: f64,
}

/// State that the search for victims reads.
#[derive(Debug, Clone, Copy)]
pub(super) struct VictimSearch<'a> {
    pub(super) fleet: &'a Fleet,
    pub(super) running_tasks: &'a RunningTasks,
    pub(super) teams: &'a Teams,
    /// Maximum number of tasks of one team that may be stopping.
    pub(super) max_victims: usize,
    pub(super) now: Time,
}

impl VictimSearch<'_> {
    /// Returns the victims with the lowest loss on a worker that `allowed` accepts, or no tasks if
    /// `amount` is free there.
    pub(super) fn find(
        &self,
        amount: &Resources,
        allowed: impl Fn(usize, &Worker) -> bool,
    ) -> Option<Victims> {
        let fits = |id: usize| {
            let worker = &self.fleet.workers[id];
            worker.registered
                && worker.usable
                && amount.fits(&worker.free.plus(&worker.reclaimable))
                && allowed(id, worker)
        };
        let mut compared = Vec::new();
        let mut best: Option<Victims> = None;
        // Several victims may run on one worker, so more of them are read than workers compared.
        let cheapest_first = self
            .running_tasks
            .victims
            .iter()
            .take(MAX_WORKERS * 8)
            .filter_map(|&(_, _, slot)| self.running_tasks.get(slot).map(|r| r.worker));
        let rest = 0..self.fleet.workers.len();
        for id in cheapest_first.chain(rest) {
            if compared.len() >= MAX_WORKERS && best.is_some() {
                break;
            }
            let Err(pos) = compared.binary_search(&id) else {
                continue;
            };
            if !fits(id) {
                continue;
            }
            compared.insert(pos, id);
            let found = self.find_on_worker(id, amount);
            if let Some(found) = found
                && best.as_ref().is_none_or(|b| found.loss < b.loss)
            {
                best = Some(found);
            }
        }
        best
    }

    /// Returns tasks whose preemption makes room for `amount` on the worker, those with the lowest
    /// loss first.
    fn find_on_worker(&self, id: usize, amount: &Resources) -> Option<Victims> {
        let worker = &self.fleet.workers[id];
        let mut tasks: Vec<_> = worker
            .tasks
            .iter()
            .filter_map(|&slot| Some((slot, self.running_tasks.get(slot)?)))
            .filter(|(_, r)| r.preemptible && !r.stopping)
            .map(|(slot, r)| (self.loss(r), slot, r))
            .collect();
        tasks.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut counts: Vec<(usize, usize)> = Vec::new();
        let mut available = worker.free;
        let mut chosen = Vec::new();
        for (loss, slot, running) in tasks {
            if amount.fits(&available) {
                break;
            }
            let pos = counts.iter().position(|c| c.0 == running.team);
            let pos = pos.unwrap_or_else(|| {
                counts.push((running.team, self.teams.items[running.team].preempting));
                counts.len() - 1
            });
            if counts[pos].1 < self.max_victims && frees_shortage(running, amount, &available) {
                counts[pos].1 += 1;
                available = available.plus(&running.amount);
                chosen.push((loss, slot, running));
            }
        }
        if !amount.fits(&available) {
            return None;
        }
        // A task taken early may have become unnecessary through a larger one.
        for i in (0..chosen.len()).rev() {
            let without = available.minus(&chosen[i].2.amount);
            if amount.fits(&without) {
                available = without;
                chosen.remove(i);
            }
        }
        Some(Victims {
            worker: id,
            loss: chosen.iter().map(|c| c.0).sum(),
            tasks: chosen.iter().map(|c| c.1).collect(),
        })
    }

    /// Returns the lost work in milliseconds, weighted by the dominant share of the task on its
    /// worker. The loss doubles with each earlier preemption, so that the same task is not
    /// preempted repeatedly.
    fn loss(&self, running: &RunningTask) -> f64 {
        let total = &self.fleet.workers[running.worker].total;
        let lost_ms = if running.checkpoint {
            RESTART_COST_MS
        } else {
            self.now.since(running.start) + RESTART_COST_MS
        };
        let repeat_factor = f64::from(running.preemptions.min(MAX_DOUBLINGS)).exp2();
        ratio(lost_ms, 1) * running.amount.dominant_share(total) * repeat_factor
    }
}

/// Returns whether stopping the task frees a resource that is short.
fn frees_shortage(running: &RunningTask, amount: &Resources, available: &Resources) -> bool {
    let shortage = amount.minus(available);
    (shortage.cores_milli > 0 && running.amount.cores_milli > 0)
        || (shortage.memory_mib > 0 && running.amount.memory_mib > 0)
        || (shortage.accelerators > 0 && running.amount.accelerators > 0)
}
