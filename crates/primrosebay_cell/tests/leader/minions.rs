//! Minions that fall silent, restart, fail or do not answer.

use primrosebay_cell::job::JobSpec;
use primrosebay_cell::ledger::JobState;
use primrosebay_cell::record::Outcome;

use crate::world::{World, cores, job};

fn gang(count: u32, amount: u64) -> JobSpec {
    let mut spec = job(count, cores(amount));
    spec.steps[0].gang = true;
    spec
}

/// Guards against renewals to a minion that does not answer: each put off the time after which its
/// tasks may run elsewhere, so that they never did.
#[test]
fn tasks_of_a_silent_minion_run_elsewhere_after_its_lease() {
    let mut world = World::new(2);
    let key = world.submit(1, "urgent", &job(1, cores(16)));
    world.run(100);
    world.silence_first();
    let took = world.run_until(12_000, |w| w.is_completed(key));
    assert!(took > 6_000, "a second run began within the lease");
}

/// Guards against waiting for a lease on a minion that has restarted and holds nothing.
#[test]
fn tasks_of_a_restarted_minion_run_again_at_once() {
    let mut world = World::new(1);
    let key = world.submit(1, "urgent", &job(1, cores(1)));
    world.run(100);
    world.minions[0].running.clear();
    world.minions[0].born = 2;
    world.run_until(1_500, |w| w.is_completed(key));
    assert_eq!(world.starts.len(), 2);
}

/// Guards against a second run of a start whose answer was lost.
#[test]
fn start_without_an_answer_is_found_by_the_next_hold() {
    let mut world = World::new(2);
    world.minions[0].mute = true;
    world.minions[1].mute = true;
    let key = world.submit(1, "urgent", &job(3, cores(1)));
    world.run_until(1_500, |w| w.is_completed(key));
    assert_eq!(world.starts.len(), 3);
}

/// Guards against a task that is tried more often than its queue allows.
#[test]
fn job_fails_after_as_many_runs_as_its_queue_allows() {
    let mut world = World::new(6);
    for minion in &mut world.minions {
        minion.failing = true;
    }
    let key = world.submit(1, "urgent", &job(1, cores(1)));
    world.run_until(20_000, |w| w.state(key) == JobState::Ended(Outcome::Failed));
    assert_eq!(world.starts.len(), 3);
}

/// Guards against part of a gang that holds resources while the rest waits.
#[test]
fn gang_starts_as_a_whole_or_not_at_all() {
    let mut world = World::new(2);
    world.submit(1, "batch", &job(2, cores(10)));
    world.run(100);
    let key = world.submit(2, "urgent", &gang(3, 10));
    world.run(800);
    assert_eq!(world.starts.len(), 2);
    world.submit(3, "urgent", &gang(2, 10));
    world.run(2_000);
    assert_eq!(world.starts.len(), 4);
    assert_eq!(world.state(key), JobState::Pending);
}

/// Guards against short jobs that wait for a minion on which tasks stand still.
#[test]
fn overdue_tasks_leave_a_minion_that_stands_still() {
    let mut world = World::new(2);
    world.minions[0].stalled = true;
    let keys = [1, 2, 3, 4].map(|key| world.submit(key, "urgent", &job(2, cores(4))));
    world.run_until(6_500, |w| keys.into_iter().all(|key| w.is_completed(key)));
}

/// Guards against a job that is no longer counted as waiting although no minion has begun it.
#[test]
fn job_whose_starts_were_refused_still_waits() {
    let mut world = World::new(1);
    world.minions[0].refusing = true;
    let key = world.submit(1, "urgent", &job(1, cores(1)));
    world.run(300);
    assert!(!world.starts.is_empty());
    world.minions[0].silent = true;
    world.run(5_000);
    assert_eq!(world.state(key), JobState::Pending);
    assert_eq!(world.ledger.pending_jobs("urgent"), 1);
}
