//! The workers of the zone and what is free on them.

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_state::table::Table;
use primrosebay_state::time::Time;

use super::counts::Counts;
use super::fit::{room, score};
use super::index::{Index, Offer};
use super::shapes::Shapes;

/// Workers looked at in each bucket of the index before the search settles for the best so far.
const FEW: usize = 4;

/// Added to the cost of a worker with accelerators for a task without; more than any other cost.
const WASTED: f64 = 4.0;

/// A part of a worker that a waiting job is to get.
#[derive(Debug, Clone, Copy)]
pub(super) struct Hold {
    /// The job that waits.
    pub(super) job: usize,
    /// When the part is expected to be free.
    pub(super) until: Time,
    /// What others may use beyond that time.
    pub(super) spare: Resources,
}

#[derive(Debug)]
pub(super) struct Worker {
    pub(super) name: Name,
    pub(super) rack: usize,
    pub(super) total: Resources,
    pub(super) used: Resources,
    /// What tasks that are being preempted still use.
    pub(super) stopping: Resources,
    /// What urgent tasks wait for here.
    pub(super) claimed: Resources,
    /// What could be preempted.
    pub(super) yielding: Resources,
    pub(super) live: bool,
    pub(super) usable: bool,
    /// Running tasks, as positions in the ledger.
    pub(super) tasks: Vec<usize>,
    pub(super) hold: Option<Hold>,
    /// What new work may use now; zero while the worker is not usable.
    pub(super) free: Resources,
    /// What new work without accelerators may use of it.
    pub(super) plain: Resources,
}

impl Worker {
    fn open(&self) -> bool {
        self.live && self.usable
    }

    /// Returns what work that asks for `amount` may use.
    pub(super) fn offered(&self, amount: &Resources) -> &Resources {
        if amount.accelerators == 0 {
            &self.plain
        } else {
            &self.free
        }
    }

    fn offer(&self) -> Offer {
        Offer {
            accelerated: self.total.accelerators > 0,
            free: self.free,
            plain: self.plain,
        }
    }

    /// Returns what is left for new work after urgent tasks have got what they wait for.
    fn available(&self) -> Resources {
        if !self.open() {
            return Resources::ZERO;
        }
        let free = self.total.minus(&self.used);
        let later = free.plus(&self.stopping).minus(&self.claimed);
        smaller(&free, &later)
    }
}

#[derive(Debug)]
pub(super) struct Rack {
    name: Name,
    workers: Vec<usize>,
    /// The largest free amount of each resource on one worker.
    largest: Resources,
}

/// What a task asks of a worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct Need {
    pub(super) amount: Resources,
    /// When the task is expected to end; nothing if it runs until it is stopped.
    pub(super) end: Option<Time>,
    /// The job, which may use what is held for it.
    pub(super) job: usize,
    /// Whether the task may use what is held for other jobs.
    pub(super) urgent: bool,
}

impl Need {
    /// Returns whether the task may start on `worker`.
    pub(super) fn fits(&self, worker: &Worker) -> bool {
        self.leaves(worker) && self.respects(worker)
    }

    /// Returns how many such tasks may start on `worker`.
    pub(super) fn room(&self, worker: &Worker) -> u64 {
        if !self.respects(worker) {
            return 0;
        }
        room(worker.offered(&self.amount), &self.amount)
    }

    /// Returns the cost of a place for a task that is spread. Workers with accelerators come last
    /// for tasks that need none.
    fn cost(&self, worker: &Worker) -> f64 {
        let wasted = self.amount.accelerators == 0 && worker.total.accelerators > 0;
        score(&worker.total, &worker.free, &self.amount) + if wasted { WASTED } else { 0.0 }
    }

    /// Returns whether the task fits and leaves what is kept for free accelerators.
    pub(super) fn leaves(&self, worker: &Worker) -> bool {
        self.amount.fits(worker.offered(&self.amount))
    }

    /// Returns whether the task leaves what is held for other jobs.
    pub(super) fn respects(&self, worker: &Worker) -> bool {
        self.urgent
            || worker.hold.is_none_or(|hold| {
                hold.job == self.job
                    || self.end.is_some_and(|end| end <= hold.until)
                    || self.amount.fits(&hold.spare)
            })
    }
}

#[derive(Debug, Default)]
pub(super) struct Fleet {
    names: Table<Name, usize>,
    pub(super) workers: Vec<Worker>,
    unused: Vec<usize>,
    pub(super) racks: Vec<Rack>,
    index: Index,
    /// Workers that are held for a waiting job; they are not in the index.
    pub(super) held: Vec<usize>,
    pub(super) shapes: Shapes,
    /// What work without accelerators leaves for each free accelerator.
    pub(super) keep: Resources,
    pub(super) total: Resources,
    pub(super) free: Resources,
    /// Counts the changes that made room on some worker.
    pub(super) freed: u64,
}

impl Fleet {
    pub(super) fn find(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Returns the position of the worker, which is created without resources if it is unknown.
    pub(super) fn intern(&mut self, name: &Name) -> usize {
        if let Some(id) = self.find(name) {
            return id;
        }
        let rack = self.rack(&Name::from(""));
        let id = self.unused.pop().unwrap_or(self.workers.len());
        let worker = Worker {
            name: name.clone(),
            rack,
            total: Resources::ZERO,
            used: Resources::ZERO,
            stopping: Resources::ZERO,
            claimed: Resources::ZERO,
            yielding: Resources::ZERO,
            live: false,
            usable: true,
            tasks: Vec::new(),
            hold: None,
            free: Resources::ZERO,
            plain: Resources::ZERO,
        };
        if id == self.workers.len() {
            self.workers.push(worker);
        } else {
            self.workers[id] = worker;
        }
        self.names.insert(name.clone(), id);
        id
    }

    pub(super) fn set(&mut self, id: usize, rack: &Name, total: Resources) {
        let old = self.workers[id].rack;
        let rack = self.rack(rack);
        self.racks[old].workers.retain(|&w| w != id);
        self.total = self.total.minus(&self.counted(id));
        self.update(id, |w| {
            w.rack = rack;
            w.total = total;
            w.live = true;
        });
        self.total = self.total.plus(&total);
        if let Err(at) = self.racks[rack].workers.binary_search(&id) {
            self.racks[rack].workers.insert(at, id);
        }
        self.measure(old);
        self.measure(rack);
    }

    pub(super) fn retire(&mut self, id: usize) {
        self.total = self.total.minus(&self.counted(id));
        self.update(id, |w| {
            w.live = false;
            w.hold = None;
        });
        let rack = self.workers[id].rack;
        self.racks[rack].workers.retain(|&w| w != id);
        self.measure(rack);
        self.forget(id);
    }

    /// Drops a worker that was removed and that no task counts for any more.
    pub(super) fn forget(&mut self, id: usize) {
        let worker = &self.workers[id];
        if worker.live || !worker.tasks.is_empty() {
            return;
        }
        if self.names.remove(&worker.name).is_some() {
            self.unused.push(id);
        }
    }

    fn counted(&self, id: usize) -> Resources {
        if self.workers[id].live {
            self.workers[id].total
        } else {
            Resources::ZERO
        }
    }

    fn rack(&mut self, name: &Name) -> usize {
        if let Some(at) = self.racks.iter().position(|r| r.name == *name) {
            return at;
        }
        self.racks.push(Rack {
            name: name.clone(),
            workers: Vec::new(),
            largest: Resources::ZERO,
        });
        self.racks.len() - 1
    }

    /// Changes a worker and brings the index, the sums and the shapes up to date.
    pub(super) fn update(&mut self, id: usize, change: impl FnOnce(&mut Worker)) {
        let worker = &mut self.workers[id];
        let (offer, before, held) = (worker.offer(), worker.free, worker.hold);
        let (open, plain) = (worker.open(), worker.plain);
        change(worker);
        worker.free = worker.available();
        worker.plain = worker
            .free
            .minus(&self.keep.times(worker.free.accelerators));
        let (after, opens) = (worker.free, worker.open());
        let more = !worker.plain.fits(&plain);
        let holds = worker.hold.is_some();
        if open && held.is_none() {
            self.index.remove(&offer, id);
        } else if let Ok(at) = self.held.binary_search(&id) {
            self.held.remove(at);
        }
        if opens && !holds {
            self.index.insert(&self.workers[id].offer(), id);
        } else if opens && let Err(at) = self.held.binary_search(&id) {
            self.held.insert(at, id);
        }
        self.free = self.free.minus(&before).plus(&after);
        if more || !after.fits(&before) || (held.is_some() && !holds) {
            self.freed += 1;
            self.shapes.unblock(&after);
        }
        self.follow(self.workers[id].rack, &before, &after);
    }

    /// Brings the largest free amounts of a rack up to date after one of its workers has changed.
    /// The other workers are read only if this one may have been the largest.
    fn follow(&mut self, rack: usize, before: &Resources, after: &Resources) {
        let largest = &mut self.racks[rack].largest;
        let top = |was: u64, is: u64, most: u64| is < was && was == most;
        if top(before.cores_milli, after.cores_milli, largest.cores_milli)
            || top(before.memory_mib, after.memory_mib, largest.memory_mib)
            || top(
                before.accelerators,
                after.accelerators,
                largest.accelerators,
            )
        {
            self.measure(rack);
        } else {
            *largest = larger(largest, after);
        }
    }

    fn measure(&mut self, rack: usize) {
        let rack = &mut self.racks[rack];
        rack.largest = rack
            .workers
            .iter()
            .map(|&w| self.workers[w].free)
            .fold(Resources::ZERO, |max, free| larger(&max, &free));
    }

    pub(super) fn largest(&self) -> Resources {
        self.racks
            .iter()
            .fold(Resources::ZERO, |max, rack| larger(&max, &rack.largest))
    }

    pub(super) fn live(&self) -> impl Iterator<Item = (usize, &Worker)> {
        self.workers.iter().enumerate().filter(|(_, w)| w.live)
    }

    /// Returns whether `amount` would fit on a worker that is held for some job.
    pub(super) fn has_held(&self, amount: &Resources) -> bool {
        let mut held = self.held.iter().map(|&id| &self.workers[id]);
        held.any(|worker| amount.fits(worker.offered(amount)))
    }

    /// Counts a task that was placed on a held worker and runs longer than the hold against what
    /// others may use there.
    pub(super) fn outlast(&mut self, id: usize, need: &Need) {
        if let Some(hold) = &mut self.workers[id].hold
            && hold.job != need.job
            && need.end.is_none_or(|end| end > hold.until)
        {
            hold.spare = hold.spare.minus(&need.amount);
        }
    }

    /// Sets what work without accelerators leaves for each free accelerator.
    pub(super) fn set_keep(&mut self, keep: Resources) {
        if keep == self.keep {
            return;
        }
        self.keep = keep;
        for id in 0..self.workers.len() {
            if self.workers[id].total.accelerators > 0 {
                self.update(id, |_| ());
            }
        }
    }

    /// Returns the workers on which `amount` fits now and which are held for no job, with what is
    /// free there.
    pub(super) fn fitting(&self, amount: &Resources) -> Vec<(usize, Resources)> {
        let mut found = Vec::new();
        for level in Index::levels(amount) {
            self.index.visit(level, amount, usize::MAX, |id| {
                let free = self.workers[id].offered(amount);
                if amount.fits(free) {
                    found.push((id, *free));
                }
            });
        }
        found
    }

    /// Returns the worker that `need` fits best, among those that `allowed` accepts.
    pub(super) fn best(
        &self,
        need: &Need,
        allowed: impl Fn(usize, &Worker) -> bool,
    ) -> Option<usize> {
        Index::levels(&need.amount)
            .find_map(|level| self.best_of(level, need, &allowed))
            .or_else(|| self.best_held(need, &allowed))
    }

    fn best_of(
        &self,
        level: usize,
        need: &Need,
        allowed: &impl Fn(usize, &Worker) -> bool,
    ) -> Option<usize> {
        let search = |limit| {
            let mut best: Option<(f64, usize)> = None;
            let cut = self.index.visit(level, &need.amount, limit, |id| {
                let worker = &self.workers[id];
                if need.fits(worker) && allowed(id, worker) {
                    let cost = score(&worker.total, &worker.free, &need.amount);
                    if best.is_none_or(|(lowest, _)| cost < lowest) {
                        best = Some((cost, id));
                    }
                }
            });
            (best.map(|(_, id)| id), cut)
        };
        match search(FEW) {
            (None, true) => search(usize::MAX).0,
            (found, _) => found,
        }
    }

    fn best_held(&self, need: &Need, allowed: &impl Fn(usize, &Worker) -> bool) -> Option<usize> {
        self.held
            .iter()
            .map(|&id| (id, &self.workers[id]))
            .filter(|&(id, worker)| need.fits(worker) && allowed(id, worker))
            .map(|(id, worker)| (score(&worker.total, &worker.free, &need.amount), id))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id)
    }

    /// Returns the worker that spreads a service best: on the rack with the fewest tasks of the
    /// job, then on the worker with the fewest, then the best fit. Racks are tried from `start`.
    pub(super) fn spread(
        &self,
        need: &Need,
        start: usize,
        counts: &Counts,
        allowed: impl Fn(usize, &Worker) -> bool,
    ) -> Option<usize> {
        let all = self.racks.len();
        let mut best: Option<(u32, u32, f64, usize)> = None;
        for rack in (0..all).map(|i| (start + i) % all) {
            let tasks = counts.on_rack(rack);
            let behind = best.is_some_and(|b| b.0 <= tasks);
            if behind || !need.amount.fits(&self.racks[rack].largest) {
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

/// Returns the smaller amount of each resource.
pub(super) fn smaller(a: &Resources, b: &Resources) -> Resources {
    Resources {
        cores_milli: a.cores_milli.min(b.cores_milli),
        memory_mib: a.memory_mib.min(b.memory_mib),
        accelerators: a.accelerators.min(b.accelerators),
    }
}

/// Returns the larger amount of each resource.
pub(super) fn larger(a: &Resources, b: &Resources) -> Resources {
    Resources {
        cores_milli: a.cores_milli.max(b.cores_milli),
        memory_mib: a.memory_mib.max(b.memory_mib),
        accelerators: a.accelerators.max(b.accelerators),
    }
}
