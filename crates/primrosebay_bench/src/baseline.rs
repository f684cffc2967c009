//! Simple schedulers that the figures are compared with.

use std::collections::HashMap;

use primrosebay_coordination::schedule::Decision;
use primrosebay_state::Name;
use primrosebay_state::id::{JobId, TaskId};
use primrosebay_state::job::JobSpec;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use crate::placer::Placer;

/// How a baseline chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// Jobs in their order, each task on the first worker with room.
    FirstFit,
    /// Jobs in their order, each task on the worker with the fewest free cores.
    BestCores,
    /// The team with the lowest weighted dominant share first; every pending job of a team is tried
    /// on every worker, and the one with the least left over in all dimensions is taken.
    FullScan,
    /// As the full scan, but a shape that failed is not tried again in the same call.
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
    pending: Vec<usize>,
}

#[derive(Debug)]
struct Job {
    id: JobId,
    team: usize,
    amount: Resources,
    /// Pending tasks, the lowest last.
    tasks: Vec<u32>,
}

#[derive(Debug)]
struct Running {
    job: usize,
    worker: usize,
}

/// A scheduler without index, classes or caches. It ignores gangs, limits and preemption.
#[derive(Debug)]
pub struct Baseline {
    rule: Rule,
    workers: Vec<Worker>,
    teams: Vec<Team>,
    jobs: Vec<Job>,
    /// Jobs with pending tasks in their order.
    queue: Vec<usize>,
    running: HashMap<TaskId, Running>,
    total: Resources,
}

impl Baseline {
    /// Creates a baseline without workers.
    #[must_use]
    pub fn new(rule: Rule) -> Self {
        Self {
            rule,
            workers: Vec::new(),
            teams: Vec::new(),
            jobs: Vec::new(),
            queue: Vec::new(),
            running: HashMap::new(),
            total: Resources::ZERO,
        }
    }

    fn find(&self, amount: &Resources) -> Option<usize> {
        let fitting = || (0..self.workers.len()).filter(|&w| amount.fits(&self.workers[w].free));
        match self.rule {
            Rule::FirstFit => fitting().next(),
            Rule::BestCores => fitting().min_by_key(|&w| self.workers[w].free.cores_milli),
            Rule::FullScan | Rule::ShapeScan => fitting()
                .map(|w| (left(&self.workers[w], amount), w))
                .min_by(|a, b| a.0.total_cmp(&b.0))
                .map(|(_, w)| w),
        }
    }

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
        let slot = &mut self.workers[worker];
        slot.free = slot.free.minus(&entry.amount);
        self.running.insert(task, Running { job, worker });
        decisions.push(Decision::Place {
            task,
            worker: slot.name.clone(),
        });
    }

    fn allows(&self, job: usize) -> bool {
        let job = &self.jobs[job];
        let team = &self.teams[job.team];
        team.used.plus(&job.amount).fits(&team.allowance)
    }

    fn in_order(&mut self, max: usize) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for at in 0..self.queue.len() {
            let job = self.queue[at];
            while decisions.len() < max && !self.jobs[job].tasks.is_empty() && self.allows(job) {
                let Some(worker) = self.find(&self.jobs[job].amount) else {
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

    fn by_share(&mut self, max: usize) -> Vec<Decision> {
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
            let Some((job, worker)) = self.first_fit(&order, &mut failed) else {
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

    fn first_fit(
        &self,
        order: &[(f64, usize)],
        failed: &mut Vec<Resources>,
    ) -> Option<(usize, usize)> {
        for &(_, team) in order {
            for &job in &self.teams[team].pending {
                let amount = self.jobs[job].amount;
                let known = self.rule == Rule::ShapeScan && failed.contains(&amount);
                if known || !self.allows(job) {
                    continue;
                }
                if let Some(worker) = self.find(&amount) {
                    return Some((job, worker));
                }
                if self.rule == Rule::ShapeScan {
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
        let at = self.jobs.len();
        self.jobs.push(Job {
            id: job,
            team,
            amount: spec.resources,
            tasks: (0..spec.tasks).rev().collect(),
        });
        self.queue.push(at);
        self.teams[team].pending.push(at);
    }

    fn release(&mut self, _now: Time, task: TaskId) {
        if let Some(running) = self.running.remove(&task) {
            let job = &self.jobs[running.job];
            let worker = &mut self.workers[running.worker];
            worker.free = worker.free.plus(&job.amount);
            let team = &mut self.teams[job.team];
            team.used = team.used.minus(&job.amount);
        }
    }

    fn requeue(&mut self, now: Time, task: TaskId) {
        self.release(now, task);
    }

    fn schedule(&mut self, _now: Time, max: usize) -> Vec<Decision> {
        match self.rule {
            Rule::FirstFit | Rule::BestCores => self.in_order(max),
            Rule::FullScan | Rule::ShapeScan => self.by_share(max),
        }
    }
}

fn left(worker: &Worker, amount: &Resources) -> f64 {
    let left = worker.free.minus(amount);
    let part = |free: u64, total: u64| ratio(free, total.max(1));
    part(left.cores_milli, worker.total.cores_milli)
        + part(left.memory_mib, worker.total.memory_mib)
        + part(left.accelerators, worker.total.accelerators)
}

/// Returns `part` of `whole`.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "figures need no more than 52 bits"
)]
pub fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}
