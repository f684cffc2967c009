//! Discrete-event simulation in which jobs arrive, tasks run and end, and a scheduler decides after
//! every event.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use primrosebay_coordination::schedule::Decision;
use primrosebay_state::Name;
use primrosebay_state::id::{JobId, TaskId};
use primrosebay_state::job::JobSpec;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::placer::Placer;

/// Maximum number of placements in one call of the scheduler.
const MAX_PLACEMENTS: usize = 256;
/// Milliseconds that a preempted task takes to stop: up to one heartbeat interval until the worker
/// receives the command, and up to a second for a checkpoint.
const STOP_MS: std::ops::Range<u64> = 50..1_400;

/// An event at a simulated time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// An attempt of a task ends. Ignored unless the task still runs under this attempt number.
    End(TaskId, u64),
    /// A preempted task has stopped.
    Stopped(TaskId),
    /// The job with this index in `Simulation::jobs` arrives.
    Arrive(usize),
}

/// A task that is placed on a worker and occupies its resources.
#[derive(Debug)]
pub struct RunningTask {
    /// Resources of the task.
    pub amount: Resources,
    /// Team of the task.
    pub team: Name,
    /// Number of the attempt. The end of an earlier attempt is ignored.
    attempt: u64,
}

/// A job and its progress.
#[derive(Debug)]
pub struct JobRecord {
    /// Specification of the job.
    pub spec: JobSpec,
    /// Time at which the job arrives.
    pub arrived: Time,
    /// Actual run time of each task in milliseconds, which may differ from the declared one.
    pub actual_ms: u64,
    /// Number of tasks that have not ended.
    pub unfinished: u32,
    /// Time of each start of a task, in ascending order.
    pub starts: Vec<Time>,
    /// Time at which the last task ended; `None` before.
    pub ended: Option<Time>,
}

/// A simulation of one scheduler.
#[derive(Debug)]
pub struct Simulation<P> {
    /// Scheduler whose decisions the simulation carries out.
    pub placer: P,
    /// Current simulated time, from 0.
    pub now: Time,
    /// Every added job, in the order of addition.
    pub jobs: Vec<JobRecord>,
    /// Running tasks, including preempted tasks that have not stopped.
    pub running: BTreeMap<TaskId, RunningTask>,
    /// Number of preemptions that the scheduler has decided.
    pub preempted: u64,
    events: BinaryHeap<Reverse<(Time, Event)>>,
    /// Number of attempts started.
    attempts: u64,
    rng: SmallRng,
}

impl<P: Placer> Simulation<P> {
    /// Creates a simulation without jobs at time 0.
    pub fn new(placer: P, seed: u64) -> Self {
        Self {
            placer,
            now: Time(0),
            jobs: Vec::new(),
            running: BTreeMap::new(),
            preempted: 0,
            events: BinaryHeap::new(),
            attempts: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Adds a job that arrives at the time `at` and whose tasks run for `actual_ms` milliseconds.
    pub fn add(&mut self, at: Time, spec: JobSpec, actual_ms: u64) {
        let index = self.jobs.len();
        self.events.push(Reverse((at, Event::Arrive(index))));
        self.jobs.push(JobRecord {
            unfinished: spec.tasks,
            spec,
            arrived: at,
            actual_ms,
            starts: Vec::new(),
            ended: None,
        });
    }

    /// Runs the simulation until the time `until`. After the events of each time, calls `observe`
    /// with the milliseconds until the next event or until the end, whichever is first.
    pub fn run(&mut self, until: Time, mut observe: impl FnMut(&mut Self, u64)) {
        while let Some(&Reverse((at, _))) = self.events.peek()
            && at <= until
        {
            self.now = at;
            while let Some(&Reverse((next, event))) = self.events.peek()
                && next == at
            {
                self.events.pop();
                self.apply(event);
            }
            self.decide();
            let next = self.events.peek().map_or(until, |e| e.0.0.min(until));
            observe(self, next.since(self.now));
        }
        self.now = until;
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => {
                let spec = &self.jobs[index].spec;
                self.placer.submit(self.now, to_job_id(index), spec);
            }
            Event::End(task, attempt) => {
                if self
                    .running
                    .get(&task)
                    .is_some_and(|run| run.attempt == attempt)
                {
                    self.running.remove(&task);
                    self.placer.release(self.now, task);
                    let record = &mut self.jobs[job_index(task.job)];
                    record.unfinished -= 1;
                    if record.unfinished == 0 {
                        record.ended = Some(self.now);
                    }
                }
            }
            Event::Stopped(task) => {
                if self.running.remove(&task).is_some() {
                    self.placer.requeue(self.now, task);
                }
            }
        }
    }

    /// Calls the scheduler until it returns no more decisions.
    fn decide(&mut self) {
        loop {
            let decisions = self.placer.schedule(self.now, MAX_PLACEMENTS);
            if decisions.is_empty() {
                return;
            }
            for decision in decisions {
                match decision {
                    Decision::Place { task, .. } => self.start(task),
                    Decision::Preempt { task, .. } => {
                        self.preempted += 1;
                        let at = self.now + self.rng.random_range(STOP_MS);
                        self.events.push(Reverse((at, Event::Stopped(task))));
                    }
                }
            }
        }
    }

    fn start(&mut self, task: TaskId) {
        self.attempts += 1;
        let record = &mut self.jobs[job_index(task.job)];
        record.starts.push(self.now);
        let end = self.now + record.actual_ms;
        self.events
            .push(Reverse((end, Event::End(task, self.attempts))));
        self.running.insert(
            task,
            RunningTask {
                amount: record.spec.resources,
                team: record.spec.team.clone(),
                attempt: self.attempts,
            },
        );
    }

    /// Returns the resources of all running tasks, or of those of one team.
    pub fn used(&self, team: Option<&str>) -> Resources {
        self.running
            .values()
            .filter(|run| team.is_none_or(|team| *run.team == *team))
            .fold(Resources::ZERO, |sum, run| sum.plus(&run.amount))
    }
}

fn to_job_id(index: usize) -> JobId {
    crate::cell::job_id(index as u64)
}

/// Returns the index of a job in [`Simulation::jobs`].
fn job_index(job: JobId) -> usize {
    usize::try_from(job.sequence).unwrap_or(usize::MAX)
}
