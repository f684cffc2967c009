//! Minions that become unreachable, restart, fail or do not answer.

use primrosebay_cell::job::JobSpec;
use primrosebay_cell::ledger::JobState;
use primrosebay_cell::record::Outcome;

use crate::simulation::{Simulation, cores, job};

fn gang(count: u32, amount: u64) -> JobSpec {
    let mut spec = job(count, cores(amount));
    spec.steps[0].gang = true;
    spec
}

/// Guards against lease renewals to a minion that does not answer: each postponed the time after
/// which its tasks may be restarted, so that the tasks were never restarted.
#[test]
fn tasks_of_unreachable_minion_restart_after_lease_expiry() {
    let mut sim = Simulation::new(2);
    let key = sim.submit(1, "urgent", &job(1, cores(16)));
    sim.run(100);
    sim.make_first_unreachable();
    let elapsed = sim.run_until(12_000, |s| s.is_completed(key));
    assert!(
        elapsed > 6_000,
        "the second run started before the lease expired"
    );
}

/// Guards against waiting for the lease of a minion that has restarted and has no runs.
#[test]
fn tasks_of_restarted_minion_restart_at_once() {
    let mut sim = Simulation::new(1);
    let key = sim.submit(1, "urgent", &job(1, cores(1)));
    sim.run(100);
    sim.minions[0].running.clear();
    sim.minions[0].started_ms = 2;
    sim.run_until(1_500, |s| s.is_completed(key));
    assert_eq!(sim.starts.len(), 2);
}

/// Guards against a second run of a task whose start was carried out but whose reply was lost.
#[test]
fn unanswered_start_is_confirmed_by_next_hold() {
    let mut sim = Simulation::new(2);
    sim.minions[0].drops_replies = true;
    sim.minions[1].drops_replies = true;
    let key = sim.submit(1, "urgent", &job(3, cores(1)));
    sim.run_until(1_500, |s| s.is_completed(key));
    assert_eq!(sim.starts.len(), 3);
}

/// Guards against more runs of a task than its queue allows.
#[test]
fn job_fails_after_allowed_number_of_failed_runs() {
    let mut sim = Simulation::new(6);
    for minion in &mut sim.minions {
        minion.failing = true;
    }
    let key = sim.submit(1, "urgent", &job(1, cores(1)));
    sim.run_until(20_000, |s| s.state(key) == JobState::Ended(Outcome::Failed));
    assert_eq!(sim.starts.len(), 3);
}

/// Guards against a gang that starts in part and holds resources while its other tasks are pending.
#[test]
fn gang_starts_completely_or_not_at_all() {
    let mut sim = Simulation::new(2);
    sim.submit(1, "batch", &job(2, cores(10)));
    sim.run(100);
    let key = sim.submit(2, "urgent", &gang(3, 10));
    sim.run(800);
    assert_eq!(sim.starts.len(), 2);
    sim.submit(3, "urgent", &gang(2, 10));
    sim.run(2_000);
    assert_eq!(sim.starts.len(), 4);
    assert_eq!(sim.state(key), JobState::Pending);
}

/// Guards against short jobs that wait for a minion on which tasks make no progress.
#[test]
fn overdue_tasks_move_off_stalled_minion() {
    let mut sim = Simulation::new(2);
    sim.minions[0].stalled = true;
    let keys = [1, 2, 3, 4].map(|key| sim.submit(key, "urgent", &job(2, cores(4))));
    sim.run_until(6_500, |s| keys.into_iter().all(|key| s.is_completed(key)));
}

/// Guards against a job that no longer counts as pending although no minion has started it.
#[test]
fn job_with_refused_starts_stays_pending() {
    let mut sim = Simulation::new(1);
    sim.minions[0].refusing = true;
    let key = sim.submit(1, "urgent", &job(1, cores(1)));
    sim.run(300);
    assert!(!sim.starts.is_empty());
    sim.minions[0].unreachable = true;
    sim.run(5_000);
    assert_eq!(sim.state(key), JobState::Pending);
    assert_eq!(sim.ledger.pending_jobs("urgent"), 1);
}
