//! Placement of all tasks of a gang together, and reservations for jobs that do not fit yet.

use primrosebay_state::job::JobSpec;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::fit::{capacity, cost, ratio};
use super::fleet::{Fleet, Hold, Need};
use super::job::Job;
use super::running_tasks::RunningTasks;
use super::task_counts::TaskCounts;

/// Workers that are held for a pending job. The job and the workers are given by index.
#[derive(Debug)]
pub(super) struct Reservation {
    pub(super) job: usize,
    pub(super) created: Time,
    /// When the job is expected to start.
    pub(super) until: Time,
    pub(super) workers: Vec<usize>,
    /// [`Fleet::generation`] at the last check whether the job fits.
    pub(super) generation: u64,
}

/// Index of a worker and the number of tasks assigned to it.
type Assignment = (usize, u64);

/// Assigns `tasks` to workers on which they fit now. The error is the number of tasks that fit.
pub(super) fn plan(
    fleet: &Fleet,
    job: &Job,
    need: &Need,
    tasks: u64,
) -> Result<Vec<Assignment>, u64> {
    let fitting = fleet.fitting(&need.amount).into_iter().map(|w| w.0);
    let candidates: Vec<_> = fitting
        .chain(fleet.held.iter().copied())
        .map(|id| (id, &fleet.workers[id]))
        .map(|(id, w)| (id, need.capacity(w), cost(&w.total, &w.free, &need.amount)))
        .filter(|&(_, capacity, _)| capacity > 0)
        .collect();
    assign(fleet, &job.spec, &job.counts, candidates, tasks)
}

/// Checks whether `tasks` of a job would fit if nothing else ran. The error is the number of tasks
/// that would fit.
pub(super) fn plan_empty(fleet: &Fleet, job: &JobSpec, tasks: u64) -> Result<(), u64> {
    let candidates = fleet
        .registered()
        .map(|(id, w)| (id, capacity(&w.total, &job.resources), 0.0))
        .collect();
    assign(fleet, job, &TaskCounts::default(), candidates, tasks).map(|_| ())
}

/// Assigns tasks to candidates (worker, capacity in tasks, cost) in ascending order of cost, within
/// the limits of the job. The error is the number of tasks that fit.
fn assign(
    fleet: &Fleet,
    job: &JobSpec,
    counts: &TaskCounts,
    mut candidates: Vec<(usize, u64, f64)>,
    tasks: u64,
) -> Result<Vec<Assignment>, u64> {
    candidates.sort_unstable_by(|a, b| a.2.total_cmp(&b.2).then(a.0.cmp(&b.0)));
    let mut racks: Vec<(usize, u64)> = Vec::new();
    let (mut assignments, mut unplaced) = (Vec::new(), tasks);
    for (id, capacity, _) in candidates {
        let rack = fleet.workers[id].rack;
        let pos = match racks.binary_search_by_key(&rack, |r| r.0) {
            Ok(pos) => pos,
            Err(pos) => {
                racks.insert(pos, (rack, 0));
                pos
            }
        };
        let on_rack = u64::from(counts.on_rack(rack)) + racks[pos].1;
        let on_worker = u64::from(counts.on_worker(id));
        let count = capacity
            .min(remaining(job.worker_limit, on_worker))
            .min(remaining(job.rack_limit, on_rack))
            .min(unplaced);
        if count > 0 {
            racks[pos].1 += count;
            assignments.push((id, count));
            unplaced -= count;
        }
        if unplaced == 0 {
            return Ok(assignments);
        }
    }
    Err(tasks - unplaced)
}

/// Returns how many more tasks a limit allows; a limit of 0 allows any number.
fn remaining(limit: u32, count: u64) -> u64 {
    if limit == 0 {
        u64::MAX
    } else {
        u64::from(limit).saturating_sub(count)
    }
}

/// Reserves workers without a hold for the earliest time at which `tasks` are expected to fit on
/// them. Returns `None` if they never do.
pub(super) fn reserve(
    fleet: &mut Fleet,
    running_tasks: &mut RunningTasks,
    job: &Job,
    need: &Need,
    tasks: u64,
    now: Time,
) -> Option<Reservation> {
    running_tasks.postpone(now);
    let mut forecast = Forecast::new(fleet, need.amount, tasks);
    let mut until = now;
    let mut assignments = None;
    for &(end, slot) in running_tasks.ends.iter() {
        if forecast.capacity >= tasks && end > until {
            assignments = forecast.assign(fleet, job, tasks);
            if assignments.is_some() {
                break;
            }
        }
        let Some(running) = running_tasks.get(slot) else {
            continue;
        };
        let worker = &fleet.workers[running.worker];
        if worker.registered && worker.usable && worker.hold.is_none() {
            let free = *worker.free_for(&need.amount);
            forecast.release(running.worker, free, &running.amount);
            until = end;
        }
    }
    let assignments = assignments.or_else(|| forecast.assign(fleet, job, tasks))?;
    let mut workers = Vec::new();
    for (id, count) in assignments {
        let spare = forecast.free_on(id).minus(&need.amount.times(count));
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
        created: now,
        until,
        workers,
        generation: fleet.generation,
    })
}

/// Free resources expected at a later time, on the workers where they differ from now or where a
/// task fits now, sorted by worker.
#[derive(Debug)]
struct Forecast {
    /// Resources of one task.
    amount: Resources,
    tasks: u64,
    workers: Vec<(usize, Resources)>,
    /// Number of tasks that fit, regardless of the limits of the job; at most `tasks` per worker.
    capacity: u64,
}

impl Forecast {
    fn new(fleet: &Fleet, amount: Resources, tasks: u64) -> Self {
        let mut workers = fleet.fitting(&amount);
        workers.sort_unstable_by_key(|w| w.0);
        let capacities = workers.iter().map(|w| capacity(&w.1, &amount).min(tasks));
        Self {
            amount,
            tasks,
            capacity: capacities.sum(),
            workers,
        }
    }

    /// Adds the resources that a task releases on a worker, which has `free_now` without them.
    fn release(&mut self, id: usize, free_now: Resources, released: &Resources) {
        let pos = match self.workers.binary_search_by_key(&id, |w| w.0) {
            Ok(pos) => pos,
            Err(pos) => {
                self.workers.insert(pos, (id, free_now));
                pos
            }
        };
        let free = &mut self.workers[pos].1;
        let old = capacity(free, &self.amount).min(self.tasks);
        *free = free.plus(released);
        self.capacity += capacity(free, &self.amount).min(self.tasks) - old;
    }

    /// Returns the resources expected to be free on a worker.
    fn free_on(&self, id: usize) -> Resources {
        self.workers
            .binary_search_by_key(&id, |w| w.0)
            .map_or(Resources::ZERO, |pos| self.workers[pos].1)
    }

    fn assign(&self, fleet: &Fleet, job: &Job, tasks: u64) -> Option<Vec<Assignment>> {
        let candidates = self
            .workers
            .iter()
            .map(|(id, free)| (*id, capacity(free, &self.amount), free))
            .filter(|&(_, capacity, _)| capacity > 0)
            .map(|(id, capacity, free)| {
                // Workers with the most capacity come first, so that the fewest workers are held:
                // one more task outweighs every other cost.
                let total = &fleet.workers[id].total;
                let cost = cost(total, free, &self.amount) - 4.0 * ratio(capacity, 1);
                (id, capacity, cost)
            })
            .collect();
        assign(fleet, &job.spec, &job.counts, candidates, tasks).ok()
    }
}
