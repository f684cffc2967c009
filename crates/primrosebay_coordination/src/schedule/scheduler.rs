//! The scheduler of one zone: its state and the events that change it.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use primrosebay_state::Name;
use primrosebay_state::id::{JobId, TaskId};
use primrosebay_state::job::{JobSpec, Policy, Repeat};
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::Settings;
use super::estimate::Estimates;
use super::fleet::{Fleet, smaller};
use super::gang::Reservation;
use super::job::{Job, Jobs};
use super::running_tasks::{RunningTask, RunningTasks};
use super::task_counts::TaskCounts;
use super::team::Teams;

/// An urgent task that waits for its victims on a worker to stop. Job, team and worker are given by
/// index.
#[derive(Debug, Clone, Copy)]
pub(super) struct Claim {
    pub(super) job: usize,
    /// Identifies the job if its index is reused.
    pub(super) id: JobId,
    pub(super) team: usize,
    pub(super) worker: usize,
    pub(super) amount: Resources,
}

/// Decides which pending task starts on which worker of one zone.
///
/// Equal seeds and calls give equal decisions. A placed task counts as running from the decision
/// on; the coordinator calls [`Scheduler::release`] or [`Scheduler::requeue`] when the task has
/// ended or was not started.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) settings: Settings,
    pub(super) rng: SmallRng,
    pub(super) fleet: Fleet,
    pub(super) teams: Teams,
    pub(super) jobs: Jobs,
    pub(super) running_tasks: RunningTasks,
    pub(super) estimates: Estimates,
    pub(super) claims: Vec<Claim>,
    pub(super) reservations: Vec<Reservation>,
    /// Teams to check for usage above their allowance in the next round.
    pub(super) over_allowance: Vec<usize>,
    /// When pending accelerator jobs last needed the whole headroom, or the headroom last shrank.
    pub(super) headroom_time: Time,
    /// Sequence number of the latest job.
    pub(super) sequence: u64,
    /// Number of the current round.
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
            running_tasks: RunningTasks::default(),
            estimates: Estimates::default(),
            claims: Vec::new(),
            reservations: Vec::new(),
            over_allowance: Vec::new(),
            headroom_time: Time(0),
            sequence: 0,
            round: 0,
        }
    }

    /// Adds a worker or changes its rack and resources.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "names are cheap to clone and the interface takes them by value"
    )]
    pub fn set_worker(&mut self, worker: Name, rack: Name, total: Resources) {
        let id = self.fleet.intern(&worker);
        self.fleet.register(id, &rack, total);
    }

    /// Removes a worker. Its tasks count for their teams until they are released.
    pub fn remove_worker(&mut self, worker: &str) {
        if let Some(id) = self.fleet.find(worker) {
            self.drop_claims(|claim| claim.worker == id);
            self.fleet.deregister(id);
        }
    }

    /// Sets whether new tasks may be placed on a worker; ignores unknown workers.
    pub fn set_usable(&mut self, worker: &str, usable: bool) {
        if let Some(id) = self.fleet.find(worker) {
            self.fleet.update(id, |w| w.usable = usable);
        }
    }

    /// Adds a team or changes its share and its allowance in this zone. If the team exceeds the new
    /// allowance, the next round preempts its tasks.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "names are cheap to clone and the interface takes them by value"
    )]
    pub fn set_team(&mut self, team: Name, share: u32, allowance: Resources) {
        let team_index = self.teams.intern(&team);
        let team = &mut self.teams.items[team_index];
        team.share = share;
        team.allowance = allowance;
        team.configured = true;
        self.mark_over_allowance(team_index);
    }

    /// Removes a team. Its pending tasks stay pending, and its running tasks are not stopped.
    pub fn remove_team(&mut self, team: &str) {
        if let Some(team_index) = self.teams.find(team) {
            self.teams.items[team_index].configured = false;
        }
    }

    /// Adds pending tasks of a job, except those that are already pending or running.
    pub fn submit(&mut self, now: Time, job: JobId, spec: &JobSpec, tasks: &[u32]) {
        let job_index = self.intern(now, job, spec);
        self.dequeue(job_index);
        if let Some(job) = self.jobs.get_mut(job_index) {
            job.cancelled = false;
            for &index in tasks {
                job.add_pending(index);
            }
        }
        self.enqueue(job_index);
        self.remove_unused(job_index);
    }

    /// Records a task that already runs on a worker with the resources of `spec`.
    pub fn add_running(&mut self, now: Time, task: TaskId, worker: &str, spec: &JobSpec) {
        let job_index = self.intern(now, task.job, spec);
        let Some(job) = self.jobs.get(job_index) else {
            return;
        };
        if let Ok(pos) = job.running.binary_search_by_key(&task.index, |r| r.0) {
            let slot = job.running[pos].1;
            self.end_task(slot);
        }
        self.dequeue(job_index);
        if let Some(job) = self.jobs.get_mut(job_index) {
            job.pending.retain(|&index| index != task.index);
        }
        let worker = self.fleet.intern(&Name::from(worker));
        self.start_task(now, job_index, task.index, worker, true);
        self.enqueue(job_index);
        if let Some(job) = self.jobs.get(job_index) {
            self.mark_over_allowance(job.team);
        }
    }

    /// Frees the resources of an ended task. Its run time and usage are learned, unless it was
    /// recovered, preempted, cancelled or part of a service.
    pub fn release(&mut self, now: Time, task: TaskId) {
        let Some((job_index, slot)) = self.find_running(task) else {
            return;
        };
        let Some(running) = self.end_task(slot) else {
            return;
        };
        if let Some(job) = self.jobs.get(job_index)
            && !running.recovered
            && !running.stopping
            && !job.cancelled
            && job.spec.policy != Policy::Service
        {
            let run_ms = now.since(running.start);
            let (team, name) = (&job.spec.team, &job.spec.name);
            self.estimates.record(team, name, run_ms, &running.peak);
        }
        self.remove_unused(job_index);
    }

    /// Frees the resources of a task and makes it pending again, unless its job was cancelled.
    pub fn requeue(&mut self, _now: Time, task: TaskId) {
        let Some((job_index, slot)) = self.find_running(task) else {
            return;
        };
        let Some(running) = self.end_task(slot) else {
            return;
        };
        self.dequeue(job_index);
        if let Some(job) = self.jobs.get_mut(job_index)
            && !job.cancelled
        {
            job.add_pending(task.index);
            if running.stopping {
                job.record_preemption(task.index);
            }
        }
        self.enqueue(job_index);
        self.remove_unused(job_index);
    }

    /// Removes the pending tasks of a job. Running tasks keep their resources until they are
    /// released.
    pub fn cancel(&mut self, _now: Time, job: JobId) {
        let Some(job_index) = self.jobs.find(job) else {
            return;
        };
        self.drop_claims(|claim| claim.job == job_index);
        self.dequeue(job_index);
        if let Some(job) = self.jobs.get_mut(job_index) {
            job.cancelled = true;
            job.pending.clear();
        }
        self.remove_unused(job_index);
    }

    /// Records the resource usage of a running task, from which the sizes of later jobs of its
    /// family are learned.
    pub fn record_usage(&mut self, task: TaskId, usage: &Resources) {
        if let Some((_, slot)) = self.find_running(task) {
            self.running_tasks.record_usage(slot, usage);
        }
    }

    /// Returns the resources granted to a running task; `None` if it does not run.
    #[must_use]
    pub fn granted(&self, task: TaskId) -> Option<Resources> {
        let (_, slot) = self.find_running(task)?;
        Some(self.running_tasks.get(slot)?.amount)
    }

    /// Returns the resources available to new tasks on all usable workers.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.fleet.free
    }

    /// Returns the resources of all workers.
    #[must_use]
    pub fn total(&self) -> Resources {
        self.fleet.total
    }

    /// Returns the largest free amount of each resource on any one usable worker.
    #[must_use]
    pub fn largest_free(&self) -> Resources {
        self.fleet.largest()
    }

    /// Returns the index of the job, which is created if it is unknown.
    fn intern(&mut self, now: Time, id: JobId, spec: &JobSpec) -> usize {
        if let Some(job_index) = self.jobs.find(id) {
            return job_index;
        }
        let team = self.teams.intern(&spec.team);
        let run_ms = self.estimates.run_ms(&spec.team, &spec.name, spec.run_ms);
        let amount = self.initial_amount(team, spec);
        let start_by = match spec.policy {
            // A service should run at all times.
            Policy::Service => now,
            _ if spec.deadline_ms > 0 => {
                let total_ms = run_ms.saturating_mul(self.waves(team, spec.tasks, &amount));
                now + spec.deadline_ms.saturating_sub(total_ms)
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
            counts: TaskCounts::default(),
            preemptions: Vec::new(),
            claims: 0,
            hold_after: now,
            next_rack: self.rng.random_range(0..racks),
            entry: None,
            cancelled: false,
        })
    }

    /// Returns the resources granted to each task of a new job.
    fn initial_amount(&self, team: usize, spec: &JobSpec) -> Resources {
        let declared = &spec.resources;
        if !self.settings.learn_sizes {
            return *declared;
        }
        let learned = self.estimates.size(&spec.team, &spec.name, declared);
        // A learned size above the declared one must not keep an accepted job from running.
        let runnable = spec.policy != Policy::Gang
            && learned.fits(&self.teams.items[team].allowance)
            && self.fleet.registered().any(|(_, w)| learned.fits(&w.total));
        if runnable {
            learned
        } else {
            smaller(&learned, declared)
        }
    }

    /// Returns in how many consecutive waves the tasks of a job run if the job has the whole share
    /// of its team.
    fn waves(&self, team: usize, tasks: u32, amount: &Resources) -> u64 {
        let shares: u64 = self
            .teams
            .items
            .iter()
            .filter(|t| t.configured)
            .map(|t| u64::from(t.share))
            .sum();
        let share = u64::from(self.teams.items[team].share);
        let team_cores = self.fleet.total.cores_milli.saturating_mul(share) / shares.max(1);
        let job_cores = amount.cores_milli.saturating_mul(u64::from(tasks));
        job_cores
            .div_ceil(team_cores.max(1))
            .clamp(1, u64::from(tasks.max(1)))
    }

    /// Returns the index of the job and the slot of a running task.
    fn find_running(&self, task: TaskId) -> Option<(usize, usize)> {
        let job_index = self.jobs.find(task.job)?;
        let running = &self.jobs.get(job_index)?.running;
        let pos = running.binary_search_by_key(&task.index, |r| r.0).ok()?;
        Some((job_index, running[pos].1))
    }

    /// Drops the reservation of a job without pending tasks, and the job if no task runs either.
    fn remove_unused(&mut self, job_index: usize) {
        if self
            .jobs
            .get(job_index)
            .is_some_and(|job| job.pending.is_empty())
        {
            self.drop_reservation(job_index);
        }
        self.jobs.remove_unused(job_index);
    }

    /// Removes a job from the queue of its team.
    pub(super) fn dequeue(&mut self, job_index: usize) {
        if let Some(job) = self.jobs.get_mut(job_index)
            && let Some((key, entry)) = job.entry.take()
        {
            self.teams.items[job.team]
                .queue
                .remove(&key, &entry, &mut self.fleet.shapes);
        }
    }

    /// Queues a job with its team if it has pending tasks without a claim.
    pub(super) fn enqueue(&mut self, job_index: usize) {
        if let Some(job) = self.jobs.get_mut(job_index)
            && job.entry.is_none()
            && job.pending.len() > job.claims
        {
            let entry = (job.start_by, job.sequence, job_index);
            let key = job.class_key();
            job.entry = Some((key, entry));
            self.teams.items[job.team]
                .queue
                .insert(key, entry, &mut self.fleet.shapes);
        }
    }

    /// Adds a running task and counts its resources as used.
    pub(super) fn start_task(
        &mut self,
        now: Time,
        job_index: usize,
        index: u32,
        worker: usize,
        recovered: bool,
    ) {
        let Some(job) = self.jobs.get_mut(job_index) else {
            return;
        };
        let spec = &job.spec;
        let expected_ms = if job.run_ms > 0 {
            job.run_ms
        } else {
            self.settings.run_ms
        };
        let preemptible =
            spec.policy == Policy::Batch && spec.repeat == Repeat::Idempotent && !spec.urgent;
        let running = RunningTask {
            task: TaskId { job: job.id, index },
            job: job_index,
            worker,
            team: job.team,
            amount: if recovered {
                spec.resources
            } else {
                job.amount
            },
            peak: Resources::ZERO,
            start: now,
            preemptions: job.preemptions(index),
            end: (spec.policy != Policy::Service).then(|| now + expected_ms),
            preemptible,
            checkpoint: spec.checkpoint,
            urgent: spec.urgent,
            stopping: false,
            recovered,
        };
        let slot = self.running_tasks.insert(running);
        if let Err(pos) = job.running.binary_search_by_key(&index, |r| r.0) {
            job.running.insert(pos, (index, slot));
        }
        if job.needs_counts() {
            job.counts.add(self.fleet.workers[worker].rack, worker);
        }
        self.fleet.update(worker, |w| {
            w.used = w.used.plus(&running.amount);
            w.tasks.push(slot);
            if preemptible {
                w.reclaimable = w.reclaimable.plus(&running.amount);
            }
        });
        let team = &mut self.teams.items[running.team];
        team.used = team.used.plus(&running.amount);
        if running.urgent {
            team.urgent = team.urgent.plus(&running.amount);
        }
    }

    /// Removes a running task and frees its resources.
    fn end_task(&mut self, slot: usize) -> Option<RunningTask> {
        let running = self.running_tasks.remove(slot)?;
        let amount = running.amount;
        let rack = self.fleet.workers[running.worker].rack;
        if let Some(job) = self.jobs.get_mut(running.job) {
            let index = running.task.index;
            if let Ok(pos) = job.running.binary_search_by_key(&index, |r| r.0) {
                job.running.remove(pos);
            }
            if job.needs_counts() {
                job.counts.remove(rack, running.worker);
            }
        }
        self.fleet.update(running.worker, |w| {
            w.used = w.used.minus(&amount);
            w.tasks.retain(|&other| other != slot);
            if running.stopping {
                w.stopping = w.stopping.minus(&amount);
            } else if running.preemptible {
                w.reclaimable = w.reclaimable.minus(&amount);
            }
        });
        self.fleet.remove_unused(running.worker);
        let team = &mut self.teams.items[running.team];
        team.used = team.used.minus(&amount);
        if running.urgent {
            team.urgent = team.urgent.minus(&amount);
        }
        if running.stopping {
            team.stopping = team.stopping.minus(&amount);
            team.preempting -= 1;
        }
        Some(running)
    }

    /// Marks a running task as being preempted.
    pub(super) fn stop_task(&mut self, slot: usize) {
        let Some(&running) = self.running_tasks.get(slot) else {
            return;
        };
        if running.stopping {
            return;
        }
        self.running_tasks.mark_stopping(slot);
        self.fleet.update(running.worker, |w| {
            w.stopping = w.stopping.plus(&running.amount);
            if running.preemptible {
                w.reclaimable = w.reclaimable.minus(&running.amount);
            }
        });
        let team = &mut self.teams.items[running.team];
        team.stopping = team.stopping.plus(&running.amount);
        team.preempting += 1;
    }

    /// Schedules the check of a team that exceeds its allowance.
    fn mark_over_allowance(&mut self, team: usize) {
        if self.teams.items[team].exceeds_allowance() && !self.over_allowance.contains(&team) {
            self.over_allowance.push(team);
        }
    }

    /// Drops the claims that match; their tasks are queued again.
    pub(super) fn drop_claims(&mut self, matches: impl Fn(&Claim) -> bool) {
        let (dropped, kept) = self.claims.drain(..).partition(|claim| matches(claim));
        self.claims = kept;
        let dropped: Vec<Claim> = dropped;
        for claim in dropped {
            self.release_claim(&claim);
        }
    }

    /// Frees the resources of a claim, which must no longer be in `claims`, and queues its task
    /// again.
    pub(super) fn release_claim(&mut self, claim: &Claim) {
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

    /// Drops the reservation of a job and its holds on workers.
    pub(super) fn drop_reservation(&mut self, job: usize) {
        let Some(pos) = self.reservations.iter().position(|r| r.job == job) else {
            return;
        };
        let reservation = self.reservations.remove(pos);
        for worker in reservation.workers {
            let held = self.fleet.workers[worker].hold;
            if held.is_some_and(|hold| hold.job == job) {
                self.fleet.update(worker, |w| w.hold = None);
            }
        }
    }
}
