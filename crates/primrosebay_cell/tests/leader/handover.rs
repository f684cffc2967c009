//! Decisions that are in the log and whose effect on minions is completed by another leader or met
//! by another incarnation of a minion.

use crate::simulation::{Simulation, cores, job};

/// Guards against a gang of which a part runs on for ever: the placement of a task that was
/// refused is already pending in the log, and the leader is lost before the others are stopped.
#[test]
fn successor_stops_the_rest_of_a_gang_that_lost_a_task() {
    let mut sim = Simulation::new(2);
    for minion in &mut sim.minions {
        minion.stalled = true;
    }
    sim.minions[0].refusing = true;
    let mut spec = job(2, cores(16));
    spec.steps[0].gang = true;
    let key = sim.submit(1, "urgent", &spec);
    sim.run_until(1_000, |s| s.starts.len() == 2);
    assert_eq!(sim.minions[1].running.len(), 1);
    // The stop does not arrive.
    sim.minions[1].unreachable = true;
    sim.run(50);
    let first = sim.starts.len();
    sim.take_over();
    sim.minions[1].unreachable = false;
    for minion in &mut sim.minions {
        minion.refusing = false;
        minion.stalled = false;
    }
    sim.minions[1].stalled = true;
    sim.run_until(3_000, |s| s.starts.len() == first + 2);
    sim.minions[1].stalled = false;
    sim.run_until(3_000, |s| s.is_completed(key));
}
