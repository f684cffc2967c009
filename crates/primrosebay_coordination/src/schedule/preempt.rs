//! Which running tasks stop for an urgent one.

use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::fit::ratio;
use super::fleet::{Fleet, Worker};
use super::ledger::{Ledger, Running};
use super::share::Teams;

/// Workers that are compared before the cheapest victims so far are taken.
const WORKERS: usize = 64;
/// Milliseconds of work that stopping any task costs, whatever it loses.
const RESTART_MS: u64 = 5_000;

/// Earlier preemptions beyond which the cost of a task grows no further.
const MAX_DOUBLING: u32 = 16;

/// What stops, and what that costs.
#[derive(Debug)]
pub(super) struct Victims {
    pub(super) worker: usize,
    pub(super) tasks: Vec<usize>,
    loss: f64,
}

/// What the search for victims looks at.
#[derive(Debug, Clone, Copy)]
pub(super) struct Search<'a> {
    pub(super) fleet: &'a Fleet,
    pub(super) ledger: &'a Ledger,
    pub(super) teams: &'a Teams,
    /// Most tasks of one team that may be stopping.
    pub(super) limit: usize,
    pub(super) now: Time,
}

impl Search<'_> {
    /// Returns the victims that lose least on a worker that `allowed` accepts.
    pub(super) fn find(
        &self,
        amount: &Resources,
        allowed: impl Fn(usize, &Worker) -> bool,
    ) -> Option<Victims> {
        let fits = |id: usize| {
            let worker = &self.fleet.workers[id];
            worker.live
                && worker.usable
                && amount.fits(&worker.free.plus(&worker.yielding))
                && allowed(id, worker)
        };
        let mut seen = Vec::new();
        let mut best: Option<Victims> = None;
        let cheap = self
            .ledger
            .victims
            .iter()
            .take(WORKERS * 8)
            .filter_map(|&(_, _, at)| self.ledger.get(at).map(|r| r.worker));
        let rest = 0..self.fleet.workers.len();
        for id in cheap.chain(rest) {
            if seen.len() >= WORKERS && best.is_some() {
                break;
            }
            let Err(at) = seen.binary_search(&id) else {
                continue;
            };
            if !fits(id) {
                continue;
            }
            seen.insert(at, id);
            let found = self.on_worker(id, amount);
            if let Some(found) = found
                && best.as_ref().is_none_or(|b| found.loss < b.loss)
            {
                best = Some(found);
            }
        }
        best
    }

    fn on_worker(&self, id: usize, amount: &Resources) -> Option<Victims> {
        let worker = &self.fleet.workers[id];
        let mut tasks: Vec<_> = worker
            .tasks
            .iter()
            .filter_map(|&at| Some((at, self.ledger.get(at)?)))
            .filter(|(_, r)| r.yields && !r.stopping)
            .map(|(at, r)| (self.loss(r), at, r))
            .collect();
        tasks.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut counts: Vec<(usize, usize)> = Vec::new();
        let mut room = worker.free;
        let mut chosen = Vec::new();
        for (loss, at, running) in tasks {
            if amount.fits(&room) {
                break;
            }
            let place = counts.iter().position(|c| c.0 == running.team);
            let place = place.unwrap_or_else(|| {
                counts.push((running.team, self.teams.items[running.team].victims));
                counts.len() - 1
            });
            if counts[place].1 < self.limit && helps(running, amount, &room) {
                counts[place].1 += 1;
                room = room.plus(&running.amount);
                chosen.push((loss, at, running));
            }
        }
        if !amount.fits(&room) {
            return None;
        }
        // A cheap task taken early may have become unnecessary through a larger one.
        for i in (0..chosen.len()).rev() {
            let without = room.minus(&chosen[i].2.amount);
            if amount.fits(&without) {
                room = without;
                chosen.remove(i);
            }
        }
        Some(Victims {
            worker: id,
            loss: chosen.iter().map(|c| c.0).sum(),
            tasks: chosen.iter().map(|c| c.1).collect(),
        })
    }

    /// Returns the work that is lost, in milliseconds times the part of the worker. It counts twice
    /// for each earlier preemption of the task, so that no task is chosen again and again.
    fn loss(&self, running: &Running) -> f64 {
        let total = &self.fleet.workers[running.worker].total;
        let lost = if running.checkpoint {
            RESTART_MS
        } else {
            self.now.since(running.start) + RESTART_MS
        };
        let again = f64::from(running.preempted.min(MAX_DOUBLING)).exp2();
        ratio(lost, 1) * running.amount.dominant(total) * again
    }
}

/// Returns whether stopping the task frees something that is short.
fn helps(running: &Running, amount: &Resources, room: &Resources) -> bool {
    let short = amount.minus(room);
    (short.cores_milli > 0 && running.amount.cores_milli > 0)
        || (short.memory_mib > 0 && running.amount.memory_mib > 0)
        || (short.accelerators > 0 && running.amount.accelerators > 0)
}
