//! Simulated time: jobs arrive, tasks run and end, and a scheduler decides at every event.

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

/// Most placements of one call.
const MAX: usize = 256;
/// Milliseconds that a preempted task takes to stop: up to a heartbeat until the worker has the
/// command, and up to a second for a checkpoint.
const STOP_MS: std::ops::Range<u64> = 50..1_400;

/// What happens at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    End(TaskId, u64),
    Stopped(TaskId),
    Arrive(usize),
}

/// One running task.
#[derive(Debug)]
pub struct Run {
    /// What it uses.
    pub amount: Resources,
    /// Its team.
    pub team: Name,
    /// The number of the attempt, so that the end of an earlier one is ignored.
    attempt: u64,
}

/// One job and what became of it.
#[derive(Debug)]
pub struct Record {
    /// The job.
    pub spec: JobSpec,
    /// When it arrived.
    pub arrived: Time,
    /// How long each task really runs, in milliseconds.
    pub takes: u64,
    /// Tasks that have not ended.
    pub left: u32,
    /// When each task started, in the order of starts.
    pub starts: Vec<Time>,
    /// When the last task ended.
    pub ended: Option<Time>,
}

/// A simulation around one scheduler.
#[derive(Debug)]
pub struct Simulation<P> {
    /// The scheduler.
    pub placer: P,
    /// The current time.
    pub now: Time,
    /// Every job that was added.
    pub records: Vec<Record>,
    /// What runs.
    pub running: BTreeMap<TaskId, Run>,
    /// The number of preempted tasks.
    pub preempted: u64,
    events: BinaryHeap<Reverse<(Time, Event)>>,
    attempts: u64,
    rng: SmallRng,
}

impl<P: Placer> Simulation<P> {
    /// Creates a simulation at time 0.
    pub fn new(placer: P, seed: u64) -> Self {
        Self {
            placer,
            now: Time(0),
            records: Vec::new(),
            running: BTreeMap::new(),
            preempted: 0,
            events: BinaryHeap::new(),
            attempts: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Adds a job that arrives at a time and whose tasks really take `takes` milliseconds.
    pub fn add(&mut self, at: Time, spec: JobSpec, takes: u64) {
        let number = self.records.len();
        self.events.push(Reverse((at, Event::Arrive(number))));
        self.records.push(Record {
            left: spec.tasks,
            spec,
            arrived: at,
            takes,
            starts: Vec::new(),
            ended: None,
        });
    }

    /// Runs until a time and calls `each` after every event with the milliseconds until the next.
    pub fn run(&mut self, until: Time, mut each: impl FnMut(&mut Self, u64)) {
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
            each(self, next.since(self.now));
        }
        self.now = until;
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrive(number) => {
                let spec = &self.records[number].spec;
                self.placer.submit(self.now, id(number), spec);
            }
            Event::End(task, attempt) => {
                if self
                    .running
                    .get(&task)
                    .is_some_and(|run| run.attempt == attempt)
                {
                    self.running.remove(&task);
                    self.placer.release(self.now, task);
                    let record = &mut self.records[number(task.job)];
                    record.left -= 1;
                    if record.left == 0 {
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

    fn decide(&mut self) {
        loop {
            let decisions = self.placer.schedule(self.now, MAX);
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
        let record = &mut self.records[number(task.job)];
        record.starts.push(self.now);
        let end = self.now + record.takes;
        self.events
            .push(Reverse((end, Event::End(task, self.attempts))));
        self.running.insert(
            task,
            Run {
                amount: record.spec.resources,
                team: record.spec.team.clone(),
                attempt: self.attempts,
            },
        );
    }

    /// Returns what all running tasks use, or those of one team.
    pub fn used(&self, team: Option<&str>) -> Resources {
        self.running
            .values()
            .filter(|run| team.is_none_or(|team| *run.team == *team))
            .fold(Resources::ZERO, |sum, run| sum.plus(&run.amount))
    }
}

fn id(number: usize) -> JobId {
    crate::cell::job(number as u64)
}

fn number(job: JobId) -> usize {
    usize::try_from(job.sequence).unwrap_or(usize::MAX)
}
