//! The scheduler of one zone.

use primrosebay_state::Name;
use primrosebay_state::id::{JobId, TaskId};
use primrosebay_state::job::{JobSpec, Policy};
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::{Decision, Kind, Reason, Settings};

#[derive(Debug)]
struct Worker {
    name: Name,
    rack: Name,
    total: Resources,
    free: Resources,
    usable: bool,
}

#[derive(Debug)]
struct Team {
    name: Name,
    allowance: Resources,
    used: Resources,
}

#[derive(Debug)]
struct Pending {
    job: JobId,
    spec: JobSpec,
    tasks: Vec<u32>,
}

#[derive(Debug)]
struct Running {
    task: TaskId,
    worker: Name,
    spec: JobSpec,
}

/// Decides which pending task starts on which worker of one zone.
#[derive(Debug)]
pub struct Scheduler {
    workers: Vec<Worker>,
    teams: Vec<Team>,
    pending: Vec<Pending>,
    running: Vec<Running>,
}

impl Scheduler {
    /// Creates a scheduler without workers. Equal seeds and calls give equal decisions.
    #[must_use]
    pub fn new(_settings: Settings, _seed: u64) -> Self {
        Self {
            workers: Vec::new(),
            teams: Vec::new(),
            pending: Vec::new(),
            running: Vec::new(),
        }
    }

    /// Adds a worker or changes its rack and size.
    pub fn set_worker(&mut self, worker: Name, rack: Name, total: Resources) {
        let used = self
            .running
            .iter()
            .filter(|r| r.worker == worker)
            .fold(Resources::ZERO, |sum, r| sum.plus(&r.spec.resources));
        let free = total.minus(&used);
        match self.workers.binary_search_by(|w| w.name.cmp(&worker)) {
            Ok(i) => {
                let w = &mut self.workers[i];
                (w.rack, w.total, w.free) = (rack, total, free);
            }
            Err(i) => self.workers.insert(
                i,
                Worker {
                    name: worker,
                    rack,
                    total,
                    free,
                    usable: true,
                },
            ),
        }
    }

    /// Removes a worker. Its tasks count for their teams until they are released.
    pub fn remove_worker(&mut self, worker: &str) {
        self.workers.retain(|w| &*w.name != worker);
    }

    /// Sets whether tasks may be placed on a worker.
    pub fn set_usable(&mut self, worker: &str, usable: bool) {
        if let Some(w) = self.worker(worker) {
            w.usable = usable;
        }
    }

    /// Adds a team or changes its share and its allowance in this zone.
    pub fn set_team(&mut self, team: Name, _share: u32, allowance: Resources) {
        let used = self
            .running
            .iter()
            .filter(|r| r.spec.team == team)
            .fold(Resources::ZERO, |sum, r| sum.plus(&r.spec.resources));
        match self.teams.binary_search_by(|t| t.name.cmp(&team)) {
            Ok(i) => self.teams[i].allowance = allowance,
            Err(i) => self.teams.insert(
                i,
                Team {
                    name: team,
                    allowance,
                    used,
                },
            ),
        }
    }

    /// Removes a team; its pending work no longer starts.
    pub fn remove_team(&mut self, team: &str) {
        self.teams.retain(|t| &*t.name != team);
    }

    /// Adds the pending tasks of a job.
    pub fn submit(&mut self, _now: Time, job: JobId, spec: &JobSpec, tasks: &[u32]) {
        self.pending.push(Pending {
            job,
            spec: spec.clone(),
            tasks: tasks.to_vec(),
        });
    }

    /// Records a task that already runs on a worker.
    pub fn occupy(&mut self, _now: Time, task: TaskId, worker: &str, spec: &JobSpec) {
        self.drop_running(task);
        for p in &mut self.pending {
            if p.job == task.job {
                p.tasks.retain(|&i| i != task.index);
            }
        }
        self.run(task, Name::from(worker), spec.clone());
    }

    /// Frees what an ended task used.
    pub fn release(&mut self, _now: Time, task: TaskId) {
        self.drop_running(task);
    }

    /// Frees what a task used and makes it pending again.
    pub fn requeue(&mut self, now: Time, task: TaskId) {
        if let Some(spec) = self.drop_running(task) {
            self.submit(now, task.job, &spec, &[task.index]);
        }
    }

    /// Removes the pending tasks of a job; running ones count until they are released.
    pub fn cancel(&mut self, _now: Time, job: JobId) {
        self.pending.retain(|p| p.job != job);
    }

    /// Decides up to `max` placements, except that a gang is never split.
    pub fn schedule(&mut self, _now: Time, max: usize) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let mut pending = std::mem::take(&mut self.pending);
        for p in &mut pending {
            let before = decisions.len();
            let mut left = Vec::new();
            for &index in &p.tasks {
                let task = TaskId { job: p.job, index };
                let gang = p.spec.policy == Policy::Gang;
                match (gang || decisions.len() < max).then(|| self.find(&p.spec)) {
                    Some(Some(worker)) => {
                        self.run(task, worker.clone(), p.spec.clone());
                        decisions.push(Decision::Place { task, worker });
                    }
                    _ => left.push(index),
                }
            }
            if p.spec.policy == Policy::Gang && !left.is_empty() {
                for decision in decisions.drain(before..) {
                    if let Decision::Place { task, .. } = decision {
                        self.drop_running(task);
                    }
                }
            } else {
                p.tasks = left;
            }
        }
        pending.retain(|p| !p.tasks.is_empty());
        self.pending = pending;
        decisions
    }

    /// Returns why the tasks of a job wait; nothing if none does.
    #[must_use]
    pub fn explain(&self, job: JobId) -> Vec<Reason> {
        let Some(p) = self.pending.iter().find(|p| p.job == job) else {
            return Vec::new();
        };
        let largest = self.largest_free();
        Kind::ALL
            .into_iter()
            .filter(|k| k.of(&p.spec.resources) > k.of(&largest))
            .map(|kind| Reason::NoneFree {
                kind,
                needed: kind.of(&p.spec.resources),
                largest: kind.of(&largest),
            })
            .collect()
    }

    /// Returns what is free on usable workers.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.workers
            .iter()
            .filter(|w| w.usable)
            .fold(Resources::ZERO, |sum, w| sum.plus(&w.free))
    }

    /// Returns what all workers hold.
    #[must_use]
    pub fn total(&self) -> Resources {
        self.workers
            .iter()
            .fold(Resources::ZERO, |sum, w| sum.plus(&w.total))
    }

    /// Returns the largest free amount of each resource on one usable worker.
    #[must_use]
    pub fn largest_free(&self) -> Resources {
        largest(self.workers.iter().filter(|w| w.usable).map(|w| w.free))
    }

    /// Checks whether the job could run if nothing else did.
    ///
    /// # Errors
    ///
    /// Returns the reason why it never can.
    pub fn can_ever_fit(&self, spec: &JobSpec) -> Result<(), Reason> {
        let largest = largest(self.workers.iter().map(|w| w.total));
        for kind in Kind::ALL {
            if kind.of(&spec.resources) > kind.of(&largest) {
                return Err(Reason::NeverFits {
                    kind,
                    needed: kind.of(&spec.resources),
                    largest: kind.of(&largest),
                });
            }
        }
        if self.workers.iter().any(|w| spec.resources.fits(&w.total)) {
            Ok(())
        } else {
            Err(Reason::NeverTogether)
        }
    }

    fn worker(&mut self, name: &str) -> Option<&mut Worker> {
        let i = self.workers.binary_search_by(|w| (*w.name).cmp(name));
        i.ok().map(|i| &mut self.workers[i])
    }

    fn team(&mut self, name: &str) -> Option<&mut Team> {
        let i = self.teams.binary_search_by(|t| (*t.name).cmp(name));
        i.ok().map(|i| &mut self.teams[i])
    }

    fn find(&mut self, spec: &JobSpec) -> Option<Name> {
        let team = self.team(&spec.team)?;
        if !team.used.plus(&spec.resources).fits(&team.allowance) {
            return None;
        }
        self.workers
            .iter()
            .find(|w| w.usable && spec.resources.fits(&w.free))
            .map(|w| w.name.clone())
    }

    fn run(&mut self, task: TaskId, worker: Name, spec: JobSpec) {
        if let Some(w) = self.worker(&worker) {
            w.free = w.free.minus(&spec.resources);
        }
        if let Some(t) = self.team(&spec.team) {
            t.used = t.used.plus(&spec.resources);
        }
        self.running.push(Running { task, worker, spec });
    }

    fn drop_running(&mut self, task: TaskId) -> Option<JobSpec> {
        let i = self.running.iter().position(|r| r.task == task)?;
        let old = self.running.swap_remove(i);
        if let Some(w) = self.worker(&old.worker) {
            w.free = w.free.plus(&old.spec.resources);
        }
        if let Some(t) = self.team(&old.spec.team) {
            t.used = t.used.minus(&old.spec.resources);
        }
        Some(old.spec)
    }
}

fn largest(amounts: impl Iterator<Item = Resources>) -> Resources {
    amounts.fold(Resources::ZERO, |max, r| Resources {
        cores_milli: max.cores_milli.max(r.cores_milli),
        memory_mib: max.memory_mib.max(r.memory_mib),
        accelerators: max.accelerators.max(r.accelerators),
    })
}
