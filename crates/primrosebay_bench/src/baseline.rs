//! Simple schedulers with which the figures are compared.

use std::collections::HashMap;

use primrosebay_coordination::schedule::Decision;
use primrosebay_state::Name;
use primrosebay_state::id::{JobId, TaskId};
use primrosebay_state::job::JobSpec;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use crate::placer::Placer;

/// How a baseline scheduler selects jobs and workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// Jobs in the order of submission, each task on the first worker with enough free resources.
    FirstFit,
    /// Jobs in the order of submission, each task on the worker with the fewest free cores among
    /// those with enough free resources.
    BestFitCores,
    /// The team with the lowest weighted dominant share first. Each of its pending jobs is tried on
    /// every worker, and the worker with the smallest sum of free fractions afterwards is taken.
    FullScan,
    /// Like [`Strategy::FullScan`], but a shape (the resources of a task) for which no worker has
    /// room is not tried again in the same call. The decisions are the same, since no resources
    /// become free during a call.
    ShapeScan,
}

#[derive(Debug)]
struct Worker {
    name: Name,
    total: Resources,
    free: Resources,
}

#[derive(Debug)]
struct Team {
    name: Name,
    share: u32,
    allowance: Resources,
    used: Resources,
    /// Indexes of the team's jobs with pending tasks, in the order of submission. Jobs without
    /// pending tasks are removed only by [`Baseline::place_by_share`].
    pending: Vec<usize>,
}

#[derive(Debug)]
struct Job {
    id: JobId,
    /// Index of the team.
    team: usize,
    /// Resources of each task.
    amount: Resources,
    /// Indexes of the pending tasks, in descending order.
    tasks: Vec<u32>,
}

/// Where a running task was placed.
#[derive(Debug)]
struct Placement {
    /// Index of the job.
    job: usize,
    /// Index of the worker.
    worker: usize,
}

/// A scheduler without an index, job classes or caches. It ignores gangs and the rack and worker
/// limits of jobs, and preempts nothing.
#[derive(Debug)]
pub struct Baseline {
    strategy: Strategy,
    workers: Vec<Worker>,
    teams: Vec<Team>,
    jobs: Vec<Job>,
    /// Indexes of the jobs with pending tasks, in the order of submission. Jobs without pending
    /// tasks are removed only by [`Baseline::place_in_order`].
    queue: Vec<usize>,
    running: HashMap<TaskId, Placement>,
    total: Resources,
}

impl Baseline {
    /// Creates a scheduler without workers and teams.
    #[must_use]
    pub fn new(strategy: Strategy) -> Self {
        Self {
            strategy,
            workers: Vec::new(),
            teams: Vec::new(),
            jobs: Vec::new(),
            queue: Vec::new(),
            running: HashMap::new(),
            total: Resources::ZERO,
        }
    }

    /// Returns the worker on which a task with the resources `amount` is placed.
    fn find_worker(&self, amount: &Resources) -> Option<usize> {
        let fitting = || (0..self.workers.len()).filter(|&w| amount.fits(&self.workers[w].free));
        match self.strategy {
            Strategy::FirstFit => fitting().next(),
            Strategy::BestFitCores => fitting().min_by_key(|&w| self.workers[w].free.cores_milli),
            Strategy::FullScan | Strategy::ShapeScan => fitting()
                .map(|w| (free_fractions(&self.workers[w], amount), w))
                .min_by(|a, b| a.0.total_cmp(&b.0))
                .map(|(_, w)| w),
        }
    }

    /// Places the next pending task of a job on a worker.
    fn place(&mut self, job: usize, worker: usize, decisions: &mut Vec<Decision>) {
        let entry = &mut self.jobs[job];
        let Some(index) = entry.tasks.pop() else {
            return;
        };
        let task = TaskId {
            job: entry.id,
            index,
        };
        let team = &mut self.teams[entry.team];
        team.used = team.used.plus(&entry.amount);
        let target = &mut self.workers[worker];
        target.free = target.free.minus(&entry.amount);
        self.running.insert(task, Placement { job, worker });
        decisions.push(Decision::Place {
            task,
            worker: target.name.clone(),
        });
    }

    /// Returns whether the team's allowance admits another task of a job.
    fn allows(&self, job: usize) -> bool {
        let job = &self.jobs[job];
        let team = &self.teams[job.team];
        team.used.plus(&job.amount).fits(&team.allowance)
    }

    /// Places tasks in the order of their jobs.
    fn place_in_order(&mut self, max: usize) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for i in 0..self.queue.len() {
            let job = self.queue[i];
            while decisions.len() < max && !self.jobs[job].tasks.is_empty() && self.allows(job) {
                let Some(worker) = self.find_worker(&self.jobs[job].amount) else {
                    break;
                };
                self.place(job, worker, &mut decisions);
            }
            if decisions.len() >= max {
                break;
            }
        }
        let jobs = &self.jobs;
        self.queue.retain(|&job| !jobs[job].tasks.is_empty());
        decisions
    }

    /// Places tasks one by one, trying the teams in ascending order of weighted dominant share.
    fn place_by_share(&mut self, max: usize) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let mut failed = Vec::new();
        while decisions.len() < max {
            let mut order: Vec<(f64, usize)> = self
                .teams
                .iter()
                .enumerate()
                .map(|(i, t)| (t.used.dominant_share(&self.total) / f64::from(t.share), i))
                .collect();
            order.sort_by(|a, b| a.0.total_cmp(&b.0));
            let Some((job, worker)) = self.next_placement(&order, &mut failed) else {
                break;
            };
            self.place(job, worker, &mut decisions);
            if self.jobs[job].tasks.is_empty() {
                let team = self.jobs[job].team;
                self.teams[team].pending.retain(|&other| other != job);
            }
        }
        decisions
    }

    /// Returns the first job, in the given order of teams, that a worker has room for, and that
    /// worker. `failed` collects the shapes for which no worker had room.
    fn next_placement(
        &self,
        order: &[(f64, usize)],
        failed: &mut Vec<Resources>,
    ) -> Option<(usize, usize)> {
        for &(_, team) in order {
            for &job in &self.teams[team].pending {
                let amount = self.jobs[job].amount;
                let skip = self.strategy == Strategy::ShapeScan && failed.contains(&amount);
                if skip || !self.allows(job) {
                    continue;
                }
                if let Some(worker) = self.find_worker(&amount) {
                    return Some((job, worker));
                }
                if self.strategy == Strategy::ShapeScan {
                    failed.push(amount);
                }
            }
        }
        None
    }
}

impl Placer for Baseline {
    fn set_worker(&mut self, worker: Name, _rack: Name, total: Resources) {
        self.total = self.total.plus(&total);
        self.workers.push(Worker {
            name: worker,
            total,
            free: total,
        });
    }

    fn set_team(&mut self, team: Name, share: u32, allowance: Resources) {
        self.teams.push(Team {
            name: team,
            share,
            allowance,
            used: Resources::ZERO,
            pending: Vec::new(),
        });
    }

    fn submit(&mut self, _now: Time, job: JobId, spec: &JobSpec) {
        let Some(team) = self.teams.iter().position(|t| t.name == spec.team) else {
            return;
        };
        let index = self.jobs.len();
        self.jobs.push(Job {
            id: job,
            team,
            amount: spec.resources,
            tasks: (0..spec.tasks).rev().collect(),
        });
        self.queue.push(index);
        self.teams[team].pending.push(index);
    }

    fn release(&mut self, _now: Time, task: TaskId) {
        if let Some(placement) = self.running.remove(&task) {
            let job = &self.jobs[placement.job];
            let worker = &mut self.workers[placement.worker];
            worker.free = worker.free.plus(&job.amount);
            let team = &mut self.teams[job.team];
            team.used = team.used.minus(&job.amount);
        }
    }

    fn requeue(&mut self, now: Time, task: TaskId) {
        // Baselines preempt nothing, so no task becomes pending again.
        self.release(now, task);
    }

    fn schedule(&mut self, _now: Time, max: usize) -> Vec<Decision> {
        match self.strategy {
            Strategy::FirstFit | Strategy::BestFitCores => self.place_in_order(max),
            Strategy::FullScan | Strategy::ShapeScan => self.place_by_share(max),
        }
    }
}

/// Returns the sum, over cores, memory and accelerators, of the fraction of `worker` that is free
/// once `amount` is allocated.
fn free_fractions(worker: &Worker, amount: &Resources) -> f64 {
    let remaining = worker.free.minus(amount);
    let fraction = |free: u64, total: u64| ratio(free, total.max(1));
    fraction(remaining.cores_milli, worker.total.cores_milli)
        + fraction(remaining.memory_mib, worker.total.memory_mib)
        + fraction(remaining.accelerators, worker.total.accelerators)
}

/// Returns `part / whole`; not finite if `whole` is 0. A `whole` of 1 only converts `part`.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "figures need no more than 52 bits"
)]
pub fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}
