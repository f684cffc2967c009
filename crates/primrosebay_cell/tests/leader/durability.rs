//! Starts wait for durable records, and successors know all runs.

use primrosebay_cell::ledger::JobState;
use primrosebay_cell::record::{Outcome, Placement};

use crate::network::Cell;
use crate::simulation::{Simulation, cores, job};

/// Guards against a start that is sent before its record is durable, so that a successor does not
/// know of the run.
#[test]
fn start_waits_until_its_record_is_durable() {
    let mut sim = Simulation::new(2);
    sim.log_down = true;
    sim.submit(1, "urgent", &job(2, cores(1)));
    sim.run(500);
    assert!(sim.starts.is_empty());
    sim.log_down = false;
    sim.run(50);
    assert_eq!(sim.starts.len(), 2);
}

/// Guards against a start for a job that is cancelled while the record of its placement is in
/// flight.
#[test]
fn job_cancelled_before_commit_is_not_started() {
    let mut sim = Simulation::new(2);
    sim.log_down = true;
    let key = sim.submit(1, "urgent", &job(2, cores(1)));
    sim.run(100);
    sim.cancel(key);
    sim.log_down = false;
    sim.run(500);
    assert!(sim.starts.is_empty());
    assert_eq!(sim.state(key), JobState::Ended(Outcome::Cancelled));
}

/// Guards against a second run of tasks that the previous leader has started.
#[test]
fn successor_keeps_running_tasks() {
    let mut sim = Simulation::new(2);
    let key = sim.submit(1, "urgent", &job(4, cores(1)));
    sim.run(300);
    assert_eq!(sim.starts.len(), 4);
    sim.take_over();
    sim.run_until(2_000, |s| s.is_completed(key));
    assert_eq!(sim.starts.len(), 4);
}

/// Guards against a second run while an unreachable minion may still be running the first one.
#[test]
fn successor_waits_for_lease_of_unreachable_minion() {
    let mut sim = Simulation::new(2);
    let key = sim.submit(1, "urgent", &job(1, cores(16)));
    sim.run(100);
    sim.make_first_unreachable();
    sim.take_over();
    sim.run(8_400);
    assert_eq!(sim.starts.len(), 1);
    sim.run_until(20_000, |s| s.is_completed(key));
    assert_eq!(sim.starts.len(), 2);
}

/// Guards against records of wide jobs that carry what nobody needs any more: each end of a task
/// appends the record again, and its bytes go to every reader of the log.
#[test]
fn record_of_a_done_task_holds_no_checkpoint() {
    let mut cell = Cell::new(4, 1);
    let mut spec = job(12, cores(2));
    spec.steps[0].estimate_ms = 1_000;
    spec.steps[0].checkpoints = true;
    spec.steps.push(spec.steps[0].clone());
    spec.steps[1].after = vec![0];
    let key = cell.submit(1, "batch", spec, None);
    let is_half_done = |c: &Cell| {
        let progress = c.ledger.progress(key);
        let tasks = progress.map(|p| &p.tasks[..]).unwrap_or_default();
        tasks
            .iter()
            .filter(|t| t.placement == Placement::Done)
            .count()
            >= 12
    };
    assert!(cell.run_until(20_000, is_half_done));
    let progress = cell.ledger.progress(key).expect("half of it is done");
    let done = progress
        .tasks
        .iter()
        .filter(|t| t.placement == Placement::Done);
    assert!(
        done.clone()
            .all(|t| t.checkpoint.is_empty() && t.failures == 0)
    );
}
