//! Decisions that are in the log, or that a coordinator has taken, and whose effect is completed
//! by another coordinator.

use primrosebay_coordination::zone::Event;
use primrosebay_state::config::ZoneState;
use primrosebay_state::id::{Incarnation, JobId, RecordId};
use primrosebay_state::job::JobSpec;
use primrosebay_state::record::{Body, JobSnapshotPart, Outcome, Record};

use crate::simulation::{Simulation, cores};

const NODES: usize = 4;

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

fn record(sequence: u64, body: Body) -> Record {
    let incarnation = Incarnation(1);
    Record {
        id: RecordId {
            incarnation,
            sequence,
        },
        body,
    }
}

/// Returns the record of a snapshot of zone `a` by candidate 0.
fn snapshot(sim: &Simulation) -> Body {
    let coordinator = sim.nodes[0].coordinator.as_ref();
    Body::Snapshot(JobSnapshotPart {
        zone: "a".into(),
        items: coordinator.expect("candidate 0 is up").snapshot(),
    })
}

/// Replaces all instances by new ones, which find only `records` in the log.
fn restart_with(sim: &mut Simulation, records: impl IntoIterator<Item = Body>) {
    (0..NODES).for_each(|node| sim.kill_node(node));
    sim.log = (1..)
        .zip(records)
        .map(|(sequence, body)| record(sequence, body))
        .collect();
    (0..NODES).for_each(|node| sim.start_node(node));
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

/// Guards against a cancellation that is lost because its record precedes that of its job. Peers
/// that hold copies for a dead instance append them in any order.
#[test]
fn cancellation_recorded_before_its_job_takes_effect() {
    let mut sim = cell();
    let incarnation = Incarnation(1);
    let job = JobId {
        incarnation,
        sequence: 1,
    };
    let accepted = Body::Accepted {
        job,
        zone: "a".into(),
        spec: spec("early", 60_000),
    };
    restart_with(&mut sim, [Body::Cancelled { job }, accepted]);
    sim.run(30_000);
    assert_eq!(sim.outcome(job), Some(Outcome::Cancelled));
    assert_eq!(running(&sim, job), 0);
}

/// Guards against a cancelled job that is started again by an instance that begins with an older
/// snapshot. The snapshot is built before the cancellation and reaches the log after it.
#[test]
fn snapshot_does_not_revive_a_cancelled_job() {
    let mut sim = cell();
    let job = sim
        .submit("a", spec("gone", 60_000))
        .expect("a coordinator");
    sim.run(1_000);
    assert_eq!(running(&sim, job), 1);
    let snapshot = snapshot(&sim);
    cancel(&mut sim, job);
    sim.run(5_000);
    assert_eq!(running(&sim, job), 0);
    restart_with(&mut sim, [Body::Cancelled { job }, snapshot]);
    sim.run(30_000);
    assert_eq!(sim.outcome(job), Some(Outcome::Cancelled));
    assert_eq!(running(&sim, job), 0);
}

/// Guards against the loss of a job whose move to another zone was requested but not recorded when
/// the log dropped the records before a snapshot.
#[test]
fn snapshot_has_jobs_whose_move_is_not_recorded() {
    let mut sim = cell();
    let job = sim
        .submit("a", spec("moving", 10_000))
        .expect("a coordinator");
    sim.run(1_000);
    let worker = sim.worker("moving/0").expect("the task has started");
    sim.stall(0, worker);
    let zone = "b".into();
    sim.broadcast("a", &Event::Move { job, zone });
    sim.run(2_500);
    let snapshot = snapshot(&sim);
    restart_with(&mut sim, [snapshot]);
    sim.run(60_000);
    assert_eq!(sim.outcome(job), Some(Outcome::Done));
}

/// Guards against a job that two zones run because a snapshot of its previous home reached the log
/// after the record of its move.
#[test]
fn snapshot_does_not_undo_a_recorded_move() {
    let mut sim = cell();
    let job = sim
        .submit("a", spec("moved", 10_000))
        .expect("a coordinator");
    sim.run(1_000);
    let snapshot = snapshot(&sim);
    let zone = "b".into();
    sim.broadcast("a", &Event::Move { job, zone });
    sim.run(5_000);
    let moved = sim.log.iter().map(|record| record.body.clone());
    let moved = moved.filter(|body| matches!(body, Body::Moved { .. }));
    let moved: Vec<_> = moved.collect();
    assert_eq!(moved.len(), 1);
    restart_with(&mut sim, moved.into_iter().chain([snapshot]));
    sim.run(60_000);
    assert_eq!(&*sim.home(job), "b");
    assert_eq!(sim.outcome(job), Some(Outcome::Done));
    assert!(sim.violations.is_empty(), "{}", sim.summary());
}

/// Guards against a job that waits for ever for a job that has succeeded, after the log dropped
/// the records of the latter.
#[test]
fn snapshot_has_the_outcome_that_a_job_waits_for() {
    let mut sim = cell();
    let first = sim
        .submit("a", spec("first", 1_000))
        .expect("a coordinator");
    sim.run(4_000);
    assert_eq!(sim.outcome(first), Some(Outcome::Done));
    sim.set_zone("a", ZoneState::Out);
    sim.run(2_500);
    let second = JobSpec {
        after: "first".into(),
        ..spec("second", 1_000)
    };
    let second = sim.submit("a", second).expect("a coordinator");
    sim.run(1_000);
    assert_eq!(sim.outcome(second), None);
    let snapshot = snapshot(&sim);
    restart_with(&mut sim, [snapshot]);
    sim.set_zone("a", ZoneState::In);
    sim.run(60_000);
    assert_eq!(sim.outcome(second), Some(Outcome::Done));
}
