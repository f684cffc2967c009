//! Acknowledgements of ended runs across restarts of their minion.

use primrosebay_cell::job::JobSpec;
use primrosebay_cell::ledger::JobState;
use primrosebay_cell::record::Outcome;
use rstest::rstest;

use crate::network::Cell;
use crate::simulation::{cores, job};

fn short_job(count: u32) -> JobSpec {
    let mut spec = job(count, cores(1));
    spec.steps[0].estimate_ms = 200;
    spec
}

/// Guards against an acknowledgement for ends of the previous incarnation of a minion that reaches
/// the next one: it removed ends that the leader had not seen, so that their tasks ran again.
#[test]
fn restarted_minion_keeps_ends_that_the_leader_has_not_seen() {
    let mut cell = Cell::new(1, 1);
    let first = cell.submit(1, "urgent", short_job(4), None);
    cell.run(2_000);
    assert_eq!(cell.state(first), JobState::Ended(Outcome::Completed));
    // The directory does not show the restart, and the leader still waits for a hold.
    cell.minions[0].listed = false;
    cell.restart(0, 100);
    cell.run(100);
    let second = cell.submit(2, "urgent", short_job(1), None);
    cell.run(400);
    assert_eq!(cell.starts.len(), 5, "the task did not start before a hold");
    cell.run(4_000);
    assert_eq!(cell.state(second), JobState::Ended(Outcome::Completed));
    assert_eq!(cell.starts.len(), 5);
}

/// Guards against a start for a minion that has restarted but has not answered a hold since. The
/// lease of the start was computed for the clock of the previous incarnation, so the minion kept the
/// run after the leader had started its task elsewhere.
#[rstest]
#[case::listed_before_the_hold_fails(true, 100)]
#[case::listed_before_the_hold_fails(true, 500)]
#[case::listed(true, 1_100)]
#[case::hold_failed(false, 900)]
#[case::hold_failed(false, 1_100)]
fn lease_of_restarted_minion_follows_its_own_clock(#[case] listed: bool, #[case] wait_ms: u64) {
    let mut cell = Cell::new(2, 1);
    cell.run(9_000);
    cell.faults.hold.lost = 1.0;
    cell.minions[0].listed = listed;
    cell.restart(0, 100);
    cell.run(wait_ms);
    let mut spec = job(5, cores(4));
    spec.steps[0].estimate_ms = 15_000;
    let key = cell.submit(1, "urgent", spec, None);
    cell.run(200);
    cell.minions[0].unreachable_until = cell.now + 20_000;
    cell.faults.hold.lost = 0.0;
    cell.run(20_000);
    assert!(cell.run_until(40_000, |c| matches!(c.state(key), JobState::Ended(_))));
}
