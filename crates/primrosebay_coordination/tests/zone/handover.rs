//! Decisions that are in the log, or that a coordinator has taken, and whose effect is completed
//! by another coordinator.

use primrosebay_coordination::zone::Event;
use primrosebay_state::id::JobId;
use primrosebay_state::job::JobSpec;
use primrosebay_state::record::Outcome;

use crate::simulation::{Simulation, cores};

/// Returns a cell in which candidate 0 coordinates zone `a` and candidate 3 zone `b`.
fn cell() -> Simulation {
    let mut sim = Simulation::new(7, &[("a", 3, 4), ("b", 1, 2)], 4, 12);
    sim.run(4_000);
    sim
}

fn spec(name: &str, run_ms: u64) -> JobSpec {
    JobSpec {
        name: name.into(),
        resources: cores(1),
        run_ms,
        ..JobSpec::default()
    }
}

fn cancel(sim: &mut Simulation, job: JobId) {
    sim.broadcast("a", &Event::Cancel { job });
}

fn running(sim: &Simulation, job: JobId) -> usize {
    let workers = sim.workers.iter().filter(|worker| worker.up);
    workers
        .flat_map(|worker| worker.state.running())
        .filter(|report| report.attempt.task.job == job)
        .count()
}

/// Guards against a cancelled job that its coordinator shows as done, while every other reader of
/// the log shows it as cancelled: the last attempt can succeed before the stop reaches it.
#[test]
fn cancelled_job_whose_last_attempt_succeeds_is_cancelled_for_all_readers() {
    let mut sim = cell();
    let job = sim.submit("a", spec("late", 4_000)).expect("a coordinator");
    sim.run(1_000);
    let worker = sim.worker("late/0").expect("the task has started");
    sim.stall(0, worker);
    cancel(&mut sim, job);
    sim.run(4_000);
    assert_eq!(running(&sim, job), 0);
    sim.release();
    sim.run(5_000);
    for (number, node) in sim.nodes.iter().enumerate() {
        let coordinator = node.coordinator.as_ref().expect("all instances are up");
        let view = coordinator.job(job).expect("the job is in the log");
        assert_eq!(view.outcome, Some(Outcome::Cancelled), "candidate {number}");
    }
}
