//! The scheduler of one zone: its state and the events that change it.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use primrosebay_state::Name;
use primrosebay_state::id::{JobId, TaskId};
use primrosebay_state::job::{JobSpec, Policy, Repeat};
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::Settings;
use super::counts::Counts;
use super::estimate::Estimates;
use super::fleet::{Fleet, smaller};
use super::gang::Reservation;
use super::job::{Job, Jobs};
use super::ledger::{Ledger, Running};
use super::share::Teams;

/// An urgent task for which victims are being stopped on a worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct Claim {
    pub(super) job: usize,
    pub(super) id: JobId,
    pub(super) team: usize,
    pub(super) worker: usize,
    pub(super) amount: Resources,
}

/// Decides which pending task starts on which worker of one zone.
///
/// Equal seeds and calls give equal decisions. A placed task counts as running from the decision
/// on; the coordinator reports with [`Scheduler::release`] or [`Scheduler::requeue`] when it ended
/// or was not started after all.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) settings: Settings,
    pub(super) rng: SmallRng,
    pub(super) fleet: Fleet,
    pub(super) teams: Teams,
    pub(super) jobs: Jobs,
    pub(super) ledger: Ledger,
    pub(super) estimates: Estimates,
    pub(super) claims: Vec<Claim>,
    pub(super) reservations: Vec<Reservation>,
    /// Teams that may use more than their allowance.
    pub(super) over: Vec<usize>,
    /// When an accelerator job last waited.
    pub(super) kept: Time,
    pub(super) sequence: u64,
    pub(super) round: u64,
}

impl Scheduler {
    /// Creates a scheduler without workers.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            rng: SmallRng::seed_from_u64(seed),
            fleet: Fleet::default(),
            teams: Teams::default(),
            jobs: Jobs::default(),
            ledger: Ledger::default(),
            estimates: Estimates::default(),
            claims: Vec::new(),
            reservations: Vec::new(),
            over: Vec::new(),
            kept: Time(0),
            sequence: 0,
            round: 0,
        }
    }

    /// Adds a worker or changes its rack and size.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "names are cheap to clone and the interface takes them by value"
    )]
    pub fn set_worker(&mut self, worker: Name, rack: Name, total: Resources) {
        let id = self.fleet.intern(&worker);
        self.fleet.set(id, &rack, total);
    }

    /// Removes a worker. Its tasks count for their teams until they are released.
    pub fn remove_worker(&mut self, worker: &str) {
        if let Some(id) = self.fleet.find(worker) {
            self.drop_claims(|claim| claim.worker == id);
            self.fleet.retire(id);
        }
    }

    /// Sets whether tasks may be placed on a worker.
    pub fn set_usable(&mut self, worker: &str, usable: bool) {
        if let Some(id) = self.fleet.find(worker) {
            self.fleet.update(id, |w| w.usable = usable);
        }
    }

    /// Adds a team or changes its share and its allowance in this zone.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "names are cheap to clone and the interface takes them by value"
    )]
    pub fn set_team(&mut self, team: Name, share: u32, allowance: Resources) {
        let at = self.teams.intern(&team);
        let team = &mut self.teams.items[at];
        team.share = share;
        team.allowance = allowance;
        team.known = true;
        self.note_over(at);
    }

    /// Removes a team. Its pending work waits and its running work goes on until it is cancelled.
    pub fn remove_team(&mut self, team: &str) {
        if let Some(at) = self.teams.find(team) {
            self.teams.items[at].known = false;
        }
    }

    /// Adds pending tasks of a job. Tasks that already wait or run are not added again.
    pub fn submit(&mut self, now: Time, job: JobId, spec: &JobSpec, tasks: &[u32]) {
        let at = self.intern(now, job, spec);
        self.dequeue(at);
        if let Some(job) = self.jobs.get_mut(at) {
            job.cancelled = false;
            for &index in tasks {
                job.add_pending(index);
            }
        }
        self.enqueue(at);
        self.forget(at);
    }

    /// Records a task that already runs on a worker.
    pub fn add_running(&mut self, now: Time, task: TaskId, worker: &str, spec: &JobSpec) {
        let at = self.intern(now, task.job, spec);
        let Some(job) = self.jobs.get(at) else { return };
        if let Ok(place) = job.running.binary_search_by_key(&task.index, |r| r.0) {
            let slot = job.running[place].1;
            self.end(slot);
        }
        self.dequeue(at);
        if let Some(job) = self.jobs.get_mut(at) {
            job.pending.retain(|&index| index != task.index);
        }
        let worker = self.fleet.intern(&Name::from(worker));
        self.start(now, at, task.index, worker, true);
        self.enqueue(at);
        if let Some(job) = self.jobs.get(at) {
            self.note_over(job.team);
        }
    }

    /// Frees what an ended task used.
    pub fn release(&mut self, now: Time, task: TaskId) {
        let Some((at, slot)) = self.slot(task) else {
            return;
        };
        let Some(running) = self.end(slot) else {
            return;
        };
        if let Some(job) = self.jobs.get(at)
            && !running.recovered
            && !running.stopping
            && !job.cancelled
            && job.spec.policy != Policy::Service
        {
            let took = now.since(running.start);
            let (team, name) = (&job.spec.team, &job.spec.name);
            self.estimates.learn(team, name, took, &running.peak);
        }
        self.forget(at);
    }

    /// Frees what a task used and makes it pending again, unless its job was cancelled.
    pub fn requeue(&mut self, _now: Time, task: TaskId) {
        let Some((at, slot)) = self.slot(task) else {
            return;
        };
        let Some(running) = self.end(slot) else {
            return;
        };
        self.dequeue(at);
        if let Some(job) = self.jobs.get_mut(at)
            && !job.cancelled
        {
            job.add_pending(task.index);
            if running.stopping {
                job.add_preempted(task.index);
            }
        }
        self.enqueue(at);
        self.forget(at);
    }

    /// Removes the pending tasks of a job; running ones count until they are released.
    pub fn cancel(&mut self, _now: Time, job: JobId) {
        let Some(at) = self.jobs.find(job) else {
            return;
        };
        self.drop_claims(|claim| claim.job == at);
        self.dequeue(at);
        if let Some(job) = self.jobs.get_mut(at) {
            job.cancelled = true;
            job.pending.clear();
        }
        self.forget(at);
    }

    /// Records what a running task uses, from which the sizes of later jobs of its family are
    /// learned.
    pub fn record_usage(&mut self, task: TaskId, usage: &Resources) {
        if let Some((_, slot)) = self.slot(task) {
            self.ledger.observe(slot, usage);
        }
    }

    /// Returns what a running task is given; nothing if it does not run.
    #[must_use]
    pub fn granted(&self, task: TaskId) -> Option<Resources> {
        let (_, slot) = self.slot(task)?;
        Some(self.ledger.get(slot)?.amount)
    }

    /// Returns what new work may use on usable workers.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.fleet.free
    }

    /// Returns what all workers hold.
    #[must_use]
    pub fn total(&self) -> Resources {
        self.fleet.total
    }

    /// Returns the largest free amount of each resource on one usable worker.
    #[must_use]
    pub fn largest_free(&self) -> Resources {
        self.fleet.largest()
    }

    /// Returns the position of the job, which is created if it is unknown.
    fn intern(&mut self, now: Time, id: JobId, spec: &JobSpec) -> usize {
        if let Some(at) = self.jobs.find(id) {
            return at;
        }
        let team = self.teams.intern(&spec.team);
        let run_ms = self.estimates.run_ms(&spec.team, &spec.name, spec.run_ms);
        let amount = self.amount(team, spec);
        let start_by = match spec.policy {
            // A service should run at all times.
            Policy::Service => now,
            _ if spec.deadline_ms > 0 => {
                let length = run_ms.saturating_mul(self.waves(team, spec.tasks, &amount));
                now + spec.deadline_ms.saturating_sub(length)
            }
            _ => now + self.settings.ageing_ms,
        };
        self.sequence += 1;
        let racks = self.fleet.racks.len().max(1);
        self.jobs.insert(Job {
            id,
            spec: spec.clone(),
            team,
            amount,
            run_ms,
            start_by,
            sequence: self.sequence,
            pending: Vec::new(),
            running: Vec::new(),
            counts: Counts::default(),
            preempted: Vec::new(),
            claims: 0,
            hold_after: now,
            rack: self.rng.random_range(0..racks),
            entry: None,
            cancelled: false,
        })
    }

    /// Returns what each task of a new job is given.
    fn amount(&self, team: usize, spec: &JobSpec) -> Resources {
        let declared = &spec.resources;
        if !self.settings.learn_sizes {
            return *declared;
        }
        let learned = self.estimates.size(&spec.team, &spec.name, declared);
        // A job that was accepted with its declared size must not be kept from running by a larger
        // one.
        let possible = spec.policy != Policy::Gang
            && learned.fits(&self.teams.items[team].allowance)
            && self.fleet.live().any(|(_, w)| learned.fits(&w.total));
        if possible {
            learned
        } else {
            smaller(&learned, declared)
        }
    }

    /// Returns how many times in a row a job fills the share of its team, if it uses nothing else.
    fn waves(&self, team: usize, tasks: u32, amount: &Resources) -> u64 {
        let shares: u64 = self
            .teams
            .items
            .iter()
            .filter(|t| t.known)
            .map(|t| u64::from(t.share))
            .sum();
        let own = u64::from(self.teams.items[team].share);
        let part = self.fleet.total.cores_milli.saturating_mul(own) / shares.max(1);
        let wanted = amount.cores_milli.saturating_mul(u64::from(tasks));
        wanted
            .div_ceil(part.max(1))
            .clamp(1, u64::from(tasks.max(1)))
    }

    fn slot(&self, task: TaskId) -> Option<(usize, usize)> {
        let at = self.jobs.find(task.job)?;
        let running = &self.jobs.get(at)?.running;
        let place = running.binary_search_by_key(&task.index, |r| r.0).ok()?;
        Some((at, running[place].1))
    }

    /// Drops a job that has no tasks left, and what is held for a job that waits no longer.
    fn forget(&mut self, at: usize) {
        if self.jobs.get(at).is_some_and(|job| job.pending.is_empty()) {
            self.drop_reservation(at);
        }
        self.jobs.forget(at);
    }

    /// Takes a job out of the queue of its team.
    pub(super) fn dequeue(&mut self, at: usize) {
        if let Some(job) = self.jobs.get_mut(at)
            && let Some((key, entry)) = job.entry.take()
        {
            self.teams.items[job.team]
                .queue
                .remove(&key, &entry, &mut self.fleet.shapes);
        }
    }

    /// Puts a job into the queue of its team if it has tasks that wait for a place.
    pub(super) fn enqueue(&mut self, at: usize) {
        if let Some(job) = self.jobs.get_mut(at)
            && job.entry.is_none()
            && job.pending.len() > job.claims
        {
            let entry = (job.start_by, job.sequence, at);
            let key = job.class();
            job.entry = Some((key, entry));
            self.teams.items[job.team]
                .queue
                .insert(key, entry, &mut self.fleet.shapes);
        }
    }

    /// Counts a task as running on a worker.
    pub(super) fn start(
        &mut self,
        now: Time,
        at: usize,
        index: u32,
        worker: usize,
        recovered: bool,
    ) {
        let Some(job) = self.jobs.get_mut(at) else {
            return;
        };
        let spec = &job.spec;
        let assumed = if job.run_ms > 0 {
            job.run_ms
        } else {
            self.settings.run_ms
        };
        let yields =
            spec.policy == Policy::Batch && spec.repeat == Repeat::Idempotent && !spec.urgent;
        let running = Running {
            task: TaskId { job: job.id, index },
            job: at,
            worker,
            team: job.team,
            amount: if recovered {
                spec.resources
            } else {
                job.amount
            },
            peak: Resources::ZERO,
            start: now,
            preempted: job.preempted(index),
            end: (spec.policy != Policy::Service).then(|| now + assumed),
            yields,
            checkpoint: spec.checkpoint,
            urgent: spec.urgent,
            stopping: false,
            recovered,
        };
        let slot = self.ledger.insert(running);
        if let Err(place) = job.running.binary_search_by_key(&index, |r| r.0) {
            job.running.insert(place, (index, slot));
        }
        if job.is_counted() {
            job.counts.add(self.fleet.workers[worker].rack, worker);
        }
        self.fleet.update(worker, |w| {
            w.used = w.used.plus(&running.amount);
            w.tasks.push(slot);
            if yields {
                w.yielding = w.yielding.plus(&running.amount);
            }
        });
        let team = &mut self.teams.items[running.team];
        team.used = team.used.plus(&running.amount);
        if running.urgent {
            team.urgent = team.urgent.plus(&running.amount);
        }
    }

    /// Stops counting a task as running.
    fn end(&mut self, slot: usize) -> Option<Running> {
        let running = self.ledger.remove(slot)?;
        let amount = running.amount;
        let rack = self.fleet.workers[running.worker].rack;
        if let Some(job) = self.jobs.get_mut(running.job) {
            let index = running.task.index;
            if let Ok(place) = job.running.binary_search_by_key(&index, |r| r.0) {
                job.running.remove(place);
            }
            if job.is_counted() {
                job.counts.remove(rack, running.worker);
            }
        }
        self.fleet.update(running.worker, |w| {
            w.used = w.used.minus(&amount);
            w.tasks.retain(|&other| other != slot);
            if running.stopping {
                w.stopping = w.stopping.minus(&amount);
            } else if running.yields {
                w.yielding = w.yielding.minus(&amount);
            }
        });
        self.fleet.forget(running.worker);
        let team = &mut self.teams.items[running.team];
        team.used = team.used.minus(&amount);
        if running.urgent {
            team.urgent = team.urgent.minus(&amount);
        }
        if running.stopping {
            team.stopping = team.stopping.minus(&amount);
            team.victims -= 1;
        }
        Some(running)
    }

    /// Marks a running task as being preempted.
    pub(super) fn stop(&mut self, slot: usize) {
        let Some(&running) = self.ledger.get(slot) else {
            return;
        };
        if running.stopping {
            return;
        }
        self.ledger.stop(slot);
        self.fleet.update(running.worker, |w| {
            w.stopping = w.stopping.plus(&running.amount);
            if running.yields {
                w.yielding = w.yielding.minus(&running.amount);
            }
        });
        let team = &mut self.teams.items[running.team];
        team.stopping = team.stopping.plus(&running.amount);
        team.victims += 1;
    }

    fn note_over(&mut self, team: usize) {
        if self.teams.items[team].is_over() && !self.over.contains(&team) {
            self.over.push(team);
        }
    }

    /// Drops the claims that `gone` selects; their tasks look for a place again.
    pub(super) fn drop_claims(&mut self, gone: impl Fn(&Claim) -> bool) {
        let (dropped, kept) = self.claims.drain(..).partition(|claim| gone(claim));
        self.claims = kept;
        let dropped: Vec<Claim> = dropped;
        for claim in dropped {
            self.unclaim(&claim);
        }
    }

    /// Gives back what was claimed; the claim is no longer in the list.
    pub(super) fn unclaim(&mut self, claim: &Claim) {
        self.fleet.update(claim.worker, |w| {
            w.claimed = w.claimed.minus(&claim.amount);
        });
        let team = &mut self.teams.items[claim.team];
        team.claimed = team.claimed.minus(&claim.amount);
        self.dequeue(claim.job);
        if let Some(job) = self.jobs.get_mut(claim.job)
            && job.id == claim.id
        {
            job.claims -= 1;
        }
        self.enqueue(claim.job);
    }

    /// Drops what is held for a job.
    pub(super) fn drop_reservation(&mut self, job: usize) {
        let Some(at) = self.reservations.iter().position(|r| r.job == job) else {
            return;
        };
        let reservation = self.reservations.remove(at);
        for worker in reservation.workers {
            let held = self.fleet.workers[worker].hold;
            if held.is_some_and(|hold| hold.job == job) {
                self.fleet.update(worker, |w| w.hold = None);
            }
        }
    }
}
