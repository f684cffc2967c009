//! Gangs: placing all tasks together, and holding resources until that is possible.

use primrosebay_state::job::JobSpec;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::counts::Counts;
use super::fit::{ratio, room, score};
use super::fleet::{Fleet, Hold, Need};
use super::job::Job;
use super::ledger::Ledger;

/// Resources that are held for a waiting job.
#[derive(Debug)]
pub(super) struct Reservation {
    pub(super) job: usize,
    pub(super) made: Time,
    pub(super) until: Time,
    pub(super) workers: Vec<usize>,
    /// The state of the fleet at which the job was last tried.
    pub(super) freed: u64,
}

/// One worker of a plan with the tasks that it gets.
type Part = (usize, u64);

/// Returns how many tasks go to which worker so that `tasks` fit now, or how many would fit.
pub(super) fn plan(fleet: &Fleet, job: &Job, need: &Need, tasks: u64) -> Result<Vec<Part>, u64> {
    let fitting = fleet.fitting(&need.amount).into_iter().map(|w| w.0);
    let candidates: Vec<_> = fitting
        .chain(fleet.held.iter().copied())
        .map(|id| (id, &fleet.workers[id]))
        .map(|(id, w)| (id, need.room(w), score(&w.total, &w.free, &need.amount)))
        .filter(|&(_, room, _)| room > 0)
        .collect();
    choose(fleet, &job.spec, &job.counts, candidates, tasks)
}

/// Checks whether `tasks` of a job would fit if nothing ran, and returns how many would if not.
pub(super) fn plan_empty(fleet: &Fleet, job: &JobSpec, tasks: u64) -> Result<(), u64> {
    let candidates = fleet
        .live()
        .map(|(id, w)| (id, room(&w.total, &job.resources), 0.0))
        .collect();
    choose(fleet, job, &Counts::default(), candidates, tasks).map(|_| ())
}

/// Takes workers in the order of their cost within the limits of the job.
fn choose(
    fleet: &Fleet,
    job: &JobSpec,
    counts: &Counts,
    mut candidates: Vec<(usize, u64, f64)>,
    tasks: u64,
) -> Result<Vec<Part>, u64> {
    candidates.sort_unstable_by(|a, b| a.2.total_cmp(&b.2).then(a.0.cmp(&b.0)));
    let mut racks: Vec<(usize, u64)> = Vec::new();
    let (mut parts, mut left) = (Vec::new(), tasks);
    for (id, room, _) in candidates {
        let rack = fleet.workers[id].rack;
        let at = match racks.binary_search_by_key(&rack, |r| r.0) {
            Ok(at) => at,
            Err(at) => {
                racks.insert(at, (rack, 0));
                at
            }
        };
        let on_rack = u64::from(counts.on_rack(rack)) + racks[at].1;
        let on_worker = u64::from(counts.on_worker(id));
        let count = room
            .min(rest(job.worker_limit, on_worker))
            .min(rest(job.rack_limit, on_rack))
            .min(left);
        if count > 0 {
            racks[at].1 += count;
            parts.push((id, count));
            left -= count;
        }
        if left == 0 {
            return Ok(parts);
        }
    }
    Err(tasks - left)
}

fn rest(limit: u32, count: u64) -> u64 {
    if limit == 0 {
        u64::MAX
    } else {
        u64::from(limit).saturating_sub(count)
    }
}

/// Finds the earliest time at which `tasks` are expected to fit on workers that are held for no
/// other job, and holds these workers.
pub(super) fn reserve(
    fleet: &mut Fleet,
    ledger: &mut Ledger,
    job: &Job,
    need: &Need,
    tasks: u64,
    now: Time,
) -> Option<Reservation> {
    ledger.postpone(now);
    let mut outlook = Outlook::new(fleet, need.amount, tasks);
    let mut until = now;
    let mut parts = None;
    for &(end, at) in ledger.ends.iter() {
        if outlook.room >= tasks && end > until {
            parts = outlook.choose(fleet, job, tasks);
            if parts.is_some() {
                break;
            }
        }
        let Some(running) = ledger.get(at) else {
            continue;
        };
        let worker = &fleet.workers[running.worker];
        if worker.live && worker.usable && worker.hold.is_none() {
            let free = *worker.offered(&need.amount);
            outlook.free(running.worker, free, &running.amount);
            until = end;
        }
    }
    let parts = parts.or_else(|| outlook.choose(fleet, job, tasks))?;
    let mut workers = Vec::new();
    for (id, count) in parts {
        let spare = outlook.at(id).minus(&need.amount.times(count));
        let hold = Hold {
            job: need.job,
            until,
            spare,
        };
        fleet.update(id, |w| w.hold = Some(hold));
        workers.push(id);
    }
    Some(Reservation {
        job: need.job,
        made: now,
        until,
        workers,
        freed: fleet.freed,
    })
}

/// What is expected to be free later, for the workers on which that differs from now or on which a
/// task fits now, sorted by worker.
#[derive(Debug)]
struct Outlook {
    amount: Resources,
    tasks: u64,
    workers: Vec<(usize, Resources)>,
    /// Tasks that fit, without regard to the limits of the job.
    room: u64,
}

impl Outlook {
    fn new(fleet: &Fleet, amount: Resources, tasks: u64) -> Self {
        let mut workers = fleet.fitting(&amount);
        workers.sort_unstable_by_key(|w| w.0);
        let rooms = workers.iter().map(|w| room(&w.1, &amount).min(tasks));
        Self {
            amount,
            tasks,
            room: rooms.sum(),
            workers,
        }
    }

    /// Adds what a task frees on a worker where `before` is free now.
    fn free(&mut self, id: usize, before: Resources, freed: &Resources) {
        let at = match self.workers.binary_search_by_key(&id, |w| w.0) {
            Ok(at) => at,
            Err(at) => {
                self.workers.insert(at, (id, before));
                at
            }
        };
        let free = &mut self.workers[at].1;
        let old = room(free, &self.amount).min(self.tasks);
        *free = free.plus(freed);
        self.room += room(free, &self.amount).min(self.tasks) - old;
    }

    fn at(&self, id: usize) -> Resources {
        self.workers
            .binary_search_by_key(&id, |w| w.0)
            .map_or(Resources::ZERO, |at| self.workers[at].1)
    }

    fn choose(&self, fleet: &Fleet, job: &Job, tasks: u64) -> Option<Vec<Part>> {
        let candidates = self
            .workers
            .iter()
            .map(|(id, free)| (*id, room(free, &self.amount), free))
            .filter(|&(_, room, _)| room > 0)
            .map(|(id, room, free)| {
                // The fewest workers are held if those with the most room come first.
                let total = &fleet.workers[id].total;
                let cost = score(total, free, &self.amount) - 4.0 * ratio(room, 1);
                (id, room, cost)
            })
            .collect();
        choose(fleet, &job.spec, &job.counts, candidates, tasks).ok()
    }
}
