//! Builders and filters for scheduler tests.
#![allow(dead_code, reason = "each test file uses a part of the builders")]

use primrosebay_coordination::schedule::{Decision, Scheduler, Settings};
use primrosebay_state::Name;
use primrosebay_state::id::{Incarnation, JobId, TaskId};
use primrosebay_state::job::JobSpec;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

/// Returns resources from whole cores, GiB of memory and accelerators.
pub fn amount(cores: u64, gib: u64, accelerators: u64) -> Resources {
    Resources {
        cores_milli: cores * 1000,
        memory_mib: gib * 1024,
        accelerators,
    }
}

pub fn job(sequence: u64) -> JobId {
    JobId {
        incarnation: Incarnation(7),
        sequence,
    }
}

pub fn task(sequence: u64, index: u32) -> TaskId {
    TaskId {
        job: job(sequence),
        index,
    }
}

/// Returns a batch job of `team` whose tasks are expected to run for one minute.
pub fn spec(team: &str, tasks: u32, resources: Resources) -> JobSpec {
    JobSpec {
        name: Name::from("job"),
        team: Name::from(team),
        tasks,
        resources,
        run_ms: 60_000,
        ..JobSpec::default()
    }
}

/// Returns a scheduler with equal workers `w0`, `w1` and so on, `per_rack` workers to a rack.
pub fn zone(workers: usize, per_rack: usize, total: Resources) -> Scheduler {
    let mut scheduler = Scheduler::new(Settings::default(), 1);
    for i in 0..workers {
        scheduler.set_worker(
            Name::from(format!("w{i}")),
            Name::from(format!("r{}", i / per_rack)),
            total,
        );
    }
    scheduler
}

/// Adds a team whose allowance exceeds the resources of every zone in the tests.
pub fn team(scheduler: &mut Scheduler, name: &str, share: u32) {
    scheduler.set_team(Name::from(name), share, amount(100_000, 100_000, 10_000));
}

/// Submits a job with all its tasks.
pub fn submit(scheduler: &mut Scheduler, now: u64, sequence: u64, spec: &JobSpec) {
    let tasks: Vec<u32> = (0..spec.tasks).collect();
    scheduler.submit(Time(now), job(sequence), spec, &tasks);
}

/// Returns the placements as job number, task index and worker.
pub fn placed(decisions: &[Decision]) -> Vec<(u64, u32, String)> {
    decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Place { task, worker } => {
                Some((task.job.sequence, task.index, worker.to_string()))
            }
            Decision::Preempt { .. } => None,
        })
        .collect()
}

/// Returns the preempted tasks.
pub fn preempted(decisions: &[Decision]) -> Vec<TaskId> {
    decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Preempt { task, .. } => Some(*task),
            Decision::Place { .. } => None,
        })
        .collect()
}
