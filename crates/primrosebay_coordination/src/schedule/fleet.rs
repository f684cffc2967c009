//! The workers of the zone and their free resources.

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_state::table::Table;
use primrosebay_state::time::Time;

use super::fit::{capacity, cost};
use super::index::{Index, Offer};
use super::shapes::Shapes;
use super::task_counts::TaskCounts;

/// Workers examined per index bucket before the search takes the best one found so far.
const BUCKET_PROBES: usize = 4;

/// Added to the cost of a worker with accelerators for a task that needs none; exceeds every other
/// cost.
const ACCELERATOR_PENALTY: f64 = 4.0;

/// Resources of one worker that are reserved for a pending job.
#[derive(Debug, Clone, Copy)]
pub(super) struct Hold {
    /// Index of the job.
    pub(super) job: usize,
    /// When the job is expected to start, so that tasks that end earlier may use the worker.
    pub(super) until: Time,
    /// Resources that tasks which end later may use.
    pub(super) spare: Resources,
}

/// A worker and the use of its resources.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) name: Name,
    /// Index into [`Fleet::racks`].
    pub(super) rack: usize,
    pub(super) total: Resources,
    pub(super) used: Resources,
    /// Resources used by tasks that are being preempted.
    pub(super) stopping: Resources,
    /// Resources claimed by urgent tasks that wait for victims to stop here.
    pub(super) claimed: Resources,
    /// Resources used by preemptible tasks that are not stopping.
    pub(super) reclaimable: Resources,
    /// False for a removed worker and for one known only from a running task.
    pub(super) registered: bool,
    /// Whether the coordinator permits new tasks on the worker.
    pub(super) usable: bool,
    /// Slots of the tasks on the worker in `RunningTasks`.
    pub(super) tasks: Vec<usize>,
    pub(super) hold: Option<Hold>,
    /// Resources available to new tasks; zero while the worker takes none.
    pub(super) free: Resources,
    /// Part of `free` that is available to tasks without accelerators.
    pub(super) cpu_only: Resources,
}

impl Worker {
    fn is_schedulable(&self) -> bool {
        self.registered && self.usable
    }

    /// Returns the free resources available to a task that requests `amount`.
    pub(super) fn free_for(&self, amount: &Resources) -> &Resources {
        if amount.accelerators == 0 {
            &self.cpu_only
        } else {
            &self.free
        }
    }

    fn offer(&self) -> Offer {
        Offer {
            has_accelerators: self.total.accelerators > 0,
            free: self.free,
            cpu_only: self.cpu_only,
        }
    }

    /// Returns the resources available to new tasks: those that are free now, less the claims that
    /// exceed the resources of stopping tasks.
    fn available(&self) -> Resources {
        if !self.is_schedulable() {
            return Resources::ZERO;
        }
        let free = self.total.minus(&self.used);
        let later = free.plus(&self.stopping).minus(&self.claimed);
        smaller(&free, &later)
    }
}

/// A rack and its registered workers.
#[derive(Debug)]
pub(super) struct Rack {
    name: Name,
    workers: Vec<usize>,
    /// The largest free amount of each resource on any one worker.
    largest: Resources,
}

/// What a task needs from a worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct Need {
    pub(super) amount: Resources,
    /// When the task is expected to end; `None` if that is unknown or it runs until it is stopped.
    pub(super) end: Option<Time>,
    /// Index of the job, which may use the resources held for it.
    pub(super) job: usize,
    /// Whether the task may use resources held for other jobs.
    pub(super) urgent: bool,
}

impl Need {
    /// Returns whether the task may start on `worker`.
    pub(super) fn fits(&self, worker: &Worker) -> bool {
        self.respects_headroom(worker) && self.respects_hold(worker)
    }

    /// Returns how many such tasks may start on `worker`.
    pub(super) fn capacity(&self, worker: &Worker) -> u64 {
        if !self.respects_hold(worker) {
            return 0;
        }
        capacity(worker.free_for(&self.amount), &self.amount)
    }

    /// Returns the cost of a worker for a task of a service. Workers with accelerators come last
    /// for tasks that need none.
    fn cost(&self, worker: &Worker) -> f64 {
        let idles_accelerators = self.amount.accelerators == 0 && worker.total.accelerators > 0;
        cost(&worker.total, &worker.free, &self.amount)
            + if idles_accelerators {
                ACCELERATOR_PENALTY
            } else {
                0.0
            }
    }

    /// Returns whether the task fits and leaves the headroom of free accelerators.
    pub(super) fn respects_headroom(&self, worker: &Worker) -> bool {
        self.amount.fits(worker.free_for(&self.amount))
    }

    /// Returns whether the task leaves the resources that `worker` holds for another job.
    pub(super) fn respects_hold(&self, worker: &Worker) -> bool {
        self.urgent
            || worker.hold.is_none_or(|hold| {
                hold.job == self.job
                    || self.end.is_some_and(|end| end <= hold.until)
                    || self.amount.fits(&hold.spare)
            })
    }
}

/// The workers and racks of the zone, by name and by index.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    names: Table<Name, usize>,
    pub(super) workers: Vec<Worker>,
    free_ids: Vec<usize>,
    pub(super) racks: Vec<Rack>,
    index: Index,
    /// Indices of schedulable workers with a hold, sorted. These workers are not in `index`.
    pub(super) held: Vec<usize>,
    /// Shapes of pending tasks, which are unblocked when resources become free.
    pub(super) shapes: Shapes,
    /// Cores and memory that tasks without accelerators leave for each free accelerator.
    pub(super) headroom: Resources,
    pub(super) total: Resources,
    pub(super) free: Resources,
    /// Number of changes that made resources available on some worker.
    pub(super) generation: u64,
}

impl Fleet {
    pub(super) fn find(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Returns the index of the worker, which is created without resources if it is unknown.
    pub(super) fn intern(&mut self, name: &Name) -> usize {
        if let Some(id) = self.find(name) {
            return id;
        }
        let rack = self.intern_rack(&Name::from(""));
        let id = self.free_ids.pop().unwrap_or(self.workers.len());
        let worker = Worker {
            name: name.clone(),
            rack,
            total: Resources::ZERO,
            used: Resources::ZERO,
            stopping: Resources::ZERO,
            claimed: Resources::ZERO,
            reclaimable: Resources::ZERO,
            registered: false,
            usable: true,
            tasks: Vec::new(),
            hold: None,
            free: Resources::ZERO,
            cpu_only: Resources::ZERO,
        };
        if id == self.workers.len() {
            self.workers.push(worker);
        } else {
            self.workers[id] = worker;
        }
        self.names.insert(name.clone(), id);
        id
    }

    /// Sets the rack and the resources of a worker of the zone.
    pub(super) fn register(&mut self, id: usize, rack: &Name, total: Resources) {
        let old = self.workers[id].rack;
        let rack = self.intern_rack(rack);
        self.racks[old].workers.retain(|&w| w != id);
        self.total = self.total.minus(&self.registered_total(id));
        self.update(id, |w| {
            w.rack = rack;
            w.total = total;
            w.registered = true;
        });
        self.total = self.total.plus(&total);
        if let Err(at) = self.racks[rack].workers.binary_search(&id) {
            self.racks[rack].workers.insert(at, id);
        }
        self.recompute_largest(old);
        self.recompute_largest(rack);
    }

    /// Removes a worker from the zone. Its entry stays until its last task is removed.
    pub(super) fn deregister(&mut self, id: usize) {
        self.total = self.total.minus(&self.registered_total(id));
        self.update(id, |w| {
            w.registered = false;
            w.hold = None;
        });
        let rack = self.workers[id].rack;
        self.racks[rack].workers.retain(|&w| w != id);
        self.recompute_largest(rack);
        self.remove_unused(id);
    }

    /// Drops the entry of a worker that is not registered and has no tasks.
    pub(super) fn remove_unused(&mut self, id: usize) {
        let worker = &self.workers[id];
        if worker.registered || !worker.tasks.is_empty() {
            return;
        }
        if self.names.remove(&worker.name).is_some() {
            self.free_ids.push(id);
        }
    }

    /// Returns what the worker contributes to `total`.
    fn registered_total(&self, id: usize) -> Resources {
        if self.workers[id].registered {
            self.workers[id].total
        } else {
            Resources::ZERO
        }
    }

    /// Returns the index of the rack, which is created if it is unknown.
    fn intern_rack(&mut self, name: &Name) -> usize {
        if let Some(pos) = self.racks.iter().position(|r| r.name == *name) {
            return pos;
        }
        self.racks.push(Rack {
            name: name.clone(),
            workers: Vec::new(),
            largest: Resources::ZERO,
        });
        self.racks.len() - 1
    }

    /// Changes a worker, and updates the index, the sums and the blocked shapes.
    pub(super) fn update(&mut self, id: usize, change: impl FnOnce(&mut Worker)) {
        let worker = &mut self.workers[id];
        let (offer, before, old_hold) = (worker.offer(), worker.free, worker.hold);
        let (was_schedulable, cpu_only) = (worker.is_schedulable(), worker.cpu_only);
        change(worker);
        worker.free = worker.available();
        worker.cpu_only = worker
            .free
            .minus(&self.headroom.times(worker.free.accelerators));
        let (after, schedulable) = (worker.free, worker.is_schedulable());
        let more_cpu_only = !worker.cpu_only.fits(&cpu_only);
        let is_held = worker.hold.is_some();
        if was_schedulable && old_hold.is_none() {
            self.index.remove(&offer, id);
        } else if let Ok(at) = self.held.binary_search(&id) {
            self.held.remove(at);
        }
        if schedulable && !is_held {
            self.index.insert(&self.workers[id].offer(), id);
        } else if schedulable && let Err(at) = self.held.binary_search(&id) {
            self.held.insert(at, id);
        }
        self.free = self.free.minus(&before).plus(&after);
        if more_cpu_only || !after.fits(&before) || (old_hold.is_some() && !is_held) {
            self.generation += 1;
            self.shapes.unblock(&after);
        }
        self.update_largest(self.workers[id].rack, &before, &after);
    }

    /// Updates the largest free amounts of a rack after one of its workers has changed. The other
    /// workers are read only if this one may have had the largest amount.
    fn update_largest(&mut self, rack: usize, before: &Resources, after: &Resources) {
        let largest = &mut self.racks[rack].largest;
        let was_largest = |old: u64, new: u64, max: u64| new < old && old == max;
        if was_largest(before.cores_milli, after.cores_milli, largest.cores_milli)
            || was_largest(before.memory_mib, after.memory_mib, largest.memory_mib)
            || was_largest(
                before.accelerators,
                after.accelerators,
                largest.accelerators,
            )
        {
            self.recompute_largest(rack);
        } else {
            *largest = larger(largest, after);
        }
    }

    /// Computes the largest free amounts of a rack from all its workers.
    fn recompute_largest(&mut self, rack: usize) {
        let rack = &mut self.racks[rack];
        rack.largest = rack
            .workers
            .iter()
            .map(|&w| self.workers[w].free)
            .fold(Resources::ZERO, |max, free| larger(&max, &free));
    }

    /// Returns the largest free amount of each resource on any one worker.
    pub(super) fn largest(&self) -> Resources {
        self.racks
            .iter()
            .fold(Resources::ZERO, |max, rack| larger(&max, &rack.largest))
    }

    /// Returns the workers of the zone with their indices.
    pub(super) fn registered(&self) -> impl Iterator<Item = (usize, &Worker)> {
        self.workers
            .iter()
            .enumerate()
            .filter(|(_, w)| w.registered)
    }

    /// Returns whether `amount` is free on a worker with a hold.
    pub(super) fn fits_held(&self, amount: &Resources) -> bool {
        let mut held = self.held.iter().map(|&id| &self.workers[id]);
        held.any(|worker| amount.fits(worker.free_for(amount)))
    }

    /// Deducts a task from the spare resources of a hold if the task belongs to another job and
    /// runs longer than the hold.
    pub(super) fn charge_hold(&mut self, id: usize, need: &Need) {
        if let Some(hold) = &mut self.workers[id].hold
            && hold.job != need.job
            && need.end.is_none_or(|end| end > hold.until)
        {
            hold.spare = hold.spare.minus(&need.amount);
        }
    }

    /// Sets the headroom, and updates the workers that have accelerators.
    pub(super) fn set_headroom(&mut self, headroom: Resources) {
        if headroom == self.headroom {
            return;
        }
        self.headroom = headroom;
        for id in 0..self.workers.len() {
            if self.workers[id].total.accelerators > 0 {
                self.update(id, |_| ());
            }
        }
    }

    /// Returns the workers without a hold on which `amount` fits now, with their free resources.
    pub(super) fn fitting(&self, amount: &Resources) -> Vec<(usize, Resources)> {
        let mut found = Vec::new();
        for level in Index::levels(amount) {
            self.index.visit(level, amount, usize::MAX, |id| {
                let free = self.workers[id].free_for(amount);
                if amount.fits(free) {
                    found.push((id, *free));
                }
            });
        }
        found
    }

    /// Returns the worker with the best fit among those that `allowed` accepts; workers with a hold
    /// come last.
    pub(super) fn best(
        &self,
        need: &Need,
        allowed: impl Fn(usize, &Worker) -> bool,
    ) -> Option<usize> {
        Index::levels(&need.amount)
            .find_map(|level| self.best_at_level(level, need, &allowed))
            .or_else(|| self.best_held(need, &allowed))
    }

    /// Returns the best fit of one index level. All workers are examined if none of the first ones
    /// of each bucket is suitable.
    fn best_at_level(
        &self,
        level: usize,
        need: &Need,
        allowed: &impl Fn(usize, &Worker) -> bool,
    ) -> Option<usize> {
        let search = |limit| {
            let mut best: Option<(f64, usize)> = None;
            let truncated = self.index.visit(level, &need.amount, limit, |id| {
                let worker = &self.workers[id];
                if need.fits(worker) && allowed(id, worker) {
                    let cost = cost(&worker.total, &worker.free, &need.amount);
                    if best.is_none_or(|(lowest, _)| cost < lowest) {
                        best = Some((cost, id));
                    }
                }
            });
            (best.map(|(_, id)| id), truncated)
        };
        match search(BUCKET_PROBES) {
            (None, true) => search(usize::MAX).0,
            (found, _) => found,
        }
    }

    fn best_held(&self, need: &Need, allowed: &impl Fn(usize, &Worker) -> bool) -> Option<usize> {
        self.held
            .iter()
            .map(|&id| (id, &self.workers[id]))
            .filter(|&(id, worker)| need.fits(worker) && allowed(id, worker))
            .map(|(id, worker)| (cost(&worker.total, &worker.free, &need.amount), id))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id)
    }

    /// Returns the worker that spreads a service best: on the rack with the fewest tasks of the
    /// job, then the worker with the fewest, then the best fit. Racks are tried from index `start`
    /// on.
    pub(super) fn spread(
        &self,
        need: &Need,
        start: usize,
        counts: &TaskCounts,
        allowed: impl Fn(usize, &Worker) -> bool,
    ) -> Option<usize> {
        let rack_count = self.racks.len();
        let mut best: Option<(u32, u32, f64, usize)> = None;
        for rack in (0..rack_count).map(|i| (start + i) % rack_count) {
            let tasks = counts.on_rack(rack);
            let no_better = best.is_some_and(|b| b.0 <= tasks);
            if no_better || !need.amount.fits(&self.racks[rack].largest) {
                continue;
            }
            let found = self.racks[rack]
                .workers
                .iter()
                .map(|&id| (id, &self.workers[id]))
                .filter(|&(id, worker)| need.fits(worker) && allowed(id, worker))
                .map(|(id, worker)| (tasks, counts.on_worker(id), need.cost(worker), id))
                .min_by(|a, b| a.1.cmp(&b.1).then(a.2.total_cmp(&b.2)));
            best = found.or(best);
            if best.is_some_and(|b| b.0 == 0) {
                break;
            }
        }
        best.map(|b| b.3)
    }
}

/// Returns the smaller of both amounts of each resource.
pub(super) fn smaller(a: &Resources, b: &Resources) -> Resources {
    Resources {
        cores_milli: a.cores_milli.min(b.cores_milli),
        memory_mib: a.memory_mib.min(b.memory_mib),
        accelerators: a.accelerators.min(b.accelerators),
    }
}

/// Returns the larger of both amounts of each resource.
pub(super) fn larger(a: &Resources, b: &Resources) -> Resources {
    Resources {
        cores_milli: a.cores_milli.max(b.cores_milli),
        memory_mib: a.memory_mib.max(b.memory_mib),
        accelerators: a.accelerators.max(b.accelerators),
    }
}
