//! Acknowledgements of ended runs across restarts of their minion.

use primrosebay_cell::job::JobSpec;
use primrosebay_cell::ledger::JobState;
use primrosebay_cell::record::Outcome;

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
    cell.restart(0, 100);
    cell.run(100);
    let second = cell.submit(2, "urgent", short_job(1), None);
    cell.run(400);
    assert_eq!(cell.starts.len(), 5, "the task did not start before a hold");
    cell.run(4_000);
    assert_eq!(cell.state(second), JobState::Ended(Outcome::Completed));
    assert_eq!(cell.starts.len(), 5);
}
