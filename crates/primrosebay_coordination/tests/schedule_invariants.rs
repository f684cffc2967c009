//! Invariants of the scheduler under random events, checked against a simple model.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{amount, job};
use primrosebay_coordination::schedule::{Decision, Scheduler, Settings};
use primrosebay_state::Name;
use primrosebay_state::id::{JobId, TaskId};
use primrosebay_state::job::{JobSpec, Policy, Repeat};
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A call of the scheduler. Workers and teams are given by number, jobs and running tasks by their
/// position in the model.
#[derive(Debug, Clone)]
enum Event {
    Submit(JobSpec),
    Cancel(usize),
    /// Releases a running task, or requeues it if the flag is set.
    End(usize, bool),
    /// Sets the size of a worker, or removes the worker.
    Worker(usize, Option<u64>),
    Usable(usize, bool),
    Allowance(usize, u64),
    /// Advances the clock by milliseconds.
    Wait(u64),
    /// Runs a round with a maximum number of placements.
    Schedule(usize),
}

fn spec() -> impl Strategy<Value = JobSpec> {
    let shape = (0..3usize, 1..5u32, 1..6u64, 1..6u64, 0..2u64);
    let kind = (0..3usize, any::<bool>(), any::<bool>(), any::<bool>());
    (shape, kind, 0..3u32, 0..3u32, 0..3u64).prop_map(
        |(
            (team, tasks, cores, gib, acc),
            (policy, urgent, once, checkpoint),
            rack,
            worker,
            run,
        )| {
            JobSpec {
                name: Name::from(format!("job-{run}")),
                team: Name::from(format!("t{team}")),
                policy: [Policy::Batch, Policy::Service, Policy::Gang][policy],
                repeat: if once {
                    Repeat::Once
                } else {
                    Repeat::Idempotent
                },
                tasks,
                resources: amount(cores, gib, acc),
                urgent,
                checkpoint,
                rack_limit: rack,
                worker_limit: worker,
                run_ms: run * 5_000,
                ..JobSpec::default()
            }
        },
    )
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => spec().prop_map(Event::Submit),
        1 => (0..64usize).prop_map(Event::Cancel),
        8 => (0..64usize, any::<bool>()).prop_map(|(i, requeued)| Event::End(i, requeued)),
        1 => (0..6usize, proptest::option::weighted(0.7, 4..12u64))
            .prop_map(|(i, size)| Event::Worker(i, size)),
        1 => (0..6usize, any::<bool>()).prop_map(|(i, on)| Event::Usable(i, on)),
        1 => (0..3usize, 0..40u64).prop_map(|(i, size)| Event::Allowance(i, size)),
        2 => (1..90_000u64).prop_map(Event::Wait),
        8 => (1..20usize).prop_map(Event::Schedule),
    ]
}

#[derive(Debug)]
struct RunningTask {
    worker: usize,
    spec: JobSpec,
    stopping: bool,
}

/// State that the scheduler should have: its inputs and the effects of its decisions.
struct Model {
    scheduler: Scheduler,
    now: Time,
    workers: BTreeMap<usize, (Resources, bool)>,
    allowance: [Resources; 3],
    pending: BTreeMap<TaskId, JobSpec>,
    running: BTreeMap<TaskId, RunningTask>,
    jobs: Vec<JobId>,
}

impl Model {
    fn new() -> Self {
        let mut model = Self {
            scheduler: Scheduler::new(Settings::default(), 3),
            now: Time(0),
            workers: BTreeMap::new(),
            allowance: [Resources::ZERO; 3],
            pending: BTreeMap::new(),
            running: BTreeMap::new(),
            jobs: Vec::new(),
        };
        for i in 0..6 {
            model.apply(Event::Worker(i, Some(8)));
        }
        for i in 0..3 {
            model.apply(Event::Allowance(i, 30));
        }
        model
    }

    fn used(&self, matches: impl Fn(&RunningTask) -> bool) -> Resources {
        let runs = self.running.values().filter(|run| matches(run));
        runs.fold(Resources::ZERO, |sum, run| sum.plus(&run.spec.resources))
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Submit(spec) => {
                let id = job(self.jobs.len() as u64);
                self.jobs.push(id);
                let tasks: Vec<u32> = (0..spec.tasks).collect();
                self.scheduler.submit(self.now, id, &spec, &tasks);
                for index in tasks {
                    self.pending.insert(TaskId { job: id, index }, spec.clone());
                }
            }
            Event::Cancel(i) if i < self.jobs.len() => {
                let id = self.jobs[i];
                self.scheduler.cancel(self.now, id);
                self.pending.retain(|task, _| task.job != id);
            }
            Event::End(i, requeued) if i < self.running.len() => {
                let task = *self.running.keys().nth(i).expect("within the length");
                let run = self.running.remove(&task).expect("it is running");
                if requeued {
                    self.scheduler.requeue(self.now, task);
                    // Tasks of a cancelled job are not requeued. The scheduler explains only
                    // pending jobs.
                    if !self.scheduler.explain(task.job).is_empty() {
                        self.pending.insert(task, run.spec);
                    }
                } else {
                    self.scheduler.release(self.now, task);
                }
            }
            Event::Worker(i, Some(size)) => {
                let total = amount(size, size, 2);
                let rack = Name::from(format!("r{}", i / 2));
                self.scheduler.set_worker(worker(i), rack, total);
                let usable = self.workers.get(&i).is_none_or(|w| w.1);
                self.workers.insert(i, (total, usable));
            }
            Event::Worker(i, None) => {
                self.scheduler.remove_worker(&worker(i));
                // The scheduler remembers that a removed worker is unusable only while tasks run
                // there.
                if self.workers.remove(&i).is_some_and(|w| !w.1) {
                    self.scheduler.set_usable(&worker(i), true);
                }
            }
            Event::Usable(i, usable) => {
                self.scheduler.set_usable(&worker(i), usable);
                if let Some(w) = self.workers.get_mut(&i) {
                    w.1 = usable;
                } else {
                    self.scheduler.set_usable(&worker(i), true);
                }
            }
            Event::Allowance(i, size) => {
                self.allowance[i] = amount(size, size, size);
                self.scheduler
                    .set_team(team(i), [1, 2, 3][i], self.allowance[i]);
            }
            Event::Wait(ms) => self.now = self.now + ms,
            Event::Schedule(max) => self.schedule(max),
            Event::Cancel(_) | Event::End(..) => {}
        }
    }

    fn schedule(&mut self, max: usize) {
        let mut gangs = BTreeSet::new();
        for decision in self.scheduler.schedule(self.now, max) {
            match decision {
                Decision::Place { task, worker } => {
                    let spec = self
                        .pending
                        .remove(&task)
                        .expect("a placed task was pending");
                    if spec.policy == Policy::Gang {
                        gangs.insert(task.job);
                    }
                    self.place(task, &worker, spec);
                }
                Decision::Preempt { task, .. } => {
                    let run = self.running.get_mut(&task).expect("a victim runs");
                    assert!(!run.stopping, "{task} is stopped twice");
                    assert_ne!(run.spec.policy, Policy::Gang, "{task} is part of a gang");
                    assert_eq!(run.spec.repeat, Repeat::Idempotent, "{task} runs once");
                    run.stopping = true;
                }
            }
        }
        for id in gangs {
            let rest = self.pending.keys().find(|task| task.job == id);
            assert_eq!(rest, None, "a gang started in part");
        }
    }

    fn place(&mut self, task: TaskId, name: &str, spec: JobSpec) {
        let at: usize = name[1..].parse().expect("a worker's number");
        let (total, usable) = self.workers[&at];
        assert!(usable, "{name} is not usable");
        let team = spec.team.clone();
        let limit = self.allowance[team[1..].parse::<usize>().expect("a team's number")];
        let (worker_limit, rack_limit) = (spec.worker_limit, spec.rack_limit);
        self.running.insert(
            task,
            RunningTask {
                worker: at,
                spec,
                stopping: false,
            },
        );
        let used = self.used(|run| run.worker == at);
        assert!(used.fits(&total), "{name} is over its capacity");
        let used = self.used(|run| run.spec.team == team);
        assert!(used.fits(&limit), "{team} is over its allowance");
        let count = |on: &dyn Fn(usize) -> bool| {
            let same =
                |(other, run): &(&TaskId, &RunningTask)| other.job == task.job && on(run.worker);
            u32::try_from(self.running.iter().filter(same).count()).expect("few tasks")
        };
        assert!(worker_limit == 0 || count(&|w| w == at) <= worker_limit);
        assert!(rack_limit == 0 || count(&|w| w / 2 == at / 2) <= rack_limit);
    }
}

fn worker(i: usize) -> Name {
    Name::from(format!("w{i}"))
}

fn team(i: usize) -> Name {
    Name::from(format!("t{i}"))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against decisions that start a task that is not pending, exceed the capacity of a
    /// worker, the allowance of a team or the limits of a job, use an unusable worker, start a gang
    /// in part, or preempt a task that must not be preempted.
    #[test]
    fn decisions_keep_the_invariants(events in prop::collection::vec(event(), 1..120)) {
        let mut model = Model::new();
        for event in events {
            model.apply(event);
        }
    }

    /// Guards against tasks that stay pending in an idle zone, and against resources that stay
    /// counted as used after all tasks have ended.
    #[test]
    fn an_idle_zone_drains(events in prop::collection::vec(event(), 1..80)) {
        let mut model = Model::new();
        for event in events {
            model.apply(event);
        }
        for i in 0..6 {
            model.apply(Event::Worker(i, Some(50)));
            model.apply(Event::Usable(i, true));
        }
        for i in 0..3 {
            model.apply(Event::Allowance(i, 10_000));
        }
        for _ in 0..600 {
            // Preempted tasks are requeued; all other tasks end.
            for at in (0..model.running.len()).rev() {
                let stops = model.running.values().nth(at).is_some_and(|run| run.stopping);
                model.apply(Event::End(at, stops));
            }
            model.apply(Event::Wait(1_000));
            model.apply(Event::Schedule(1_000));
        }
        // A gang whose limits no zone of this size can meet stays pending until it is cancelled.
        let scheduler = &model.scheduler;
        model.pending.retain(|_, spec| scheduler.can_ever_fit(spec).is_ok());
        prop_assert!(model.pending.is_empty(), "left: {:?}", model.pending);
        while !model.running.is_empty() {
            model.apply(Event::End(0, false));
        }
        prop_assert_eq!(model.scheduler.free(), model.scheduler.total());
        prop_assert_eq!(model.scheduler.total(), amount(300, 300, 12));
    }

    /// Guards against decisions that depend on anything but the seed and the events.
    #[test]
    fn equal_events_give_equal_decisions(events in prop::collection::vec(event(), 1..60)) {
        let run = || {
            let mut model = Model::new();
            for event in events.clone() {
                model.apply(event);
            }
            (model.scheduler.schedule(model.now, 100), model.running.keys().copied().collect::<Vec<_>>())
        };
        prop_assert_eq!(run(), run());
    }
}
