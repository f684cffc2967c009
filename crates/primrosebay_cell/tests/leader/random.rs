//! Random sequences of submissions, cancellations and faults. The simulation fails a test when a
//! minion exceeds its resources or a task runs twice.

use primrosebay_cell::job::JobKey;
use primrosebay_cell::ledger::JobState;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::simulation::{Simulation, cores, job};

fn inject_fault(sim: &mut Simulation, rng: &mut SmallRng) {
    let index = rng.random_range(0..sim.minions.len());
    match rng.random_range(0..8) {
        0 => sim.minions[index].unreachable = true,
        1 | 2 => sim.minions.iter_mut().for_each(|m| m.unreachable = false),
        3 => sim.minions[index].drops_replies = !sim.minions[index].drops_replies,
        4 => {
            sim.minions[index].running.clear();
            sim.minions[index].started_ms += 1;
        }
        5 => sim.log_down = !sim.log_down,
        6 => sim.take_over(),
        _ => {}
    }
}

/// Guards against simultaneous runs of a task and overloaded minions after a sequence of faults,
/// and against jobs that never end although all faults have ended.
#[rstest]
fn random_sequences_preserve_invariants(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut sim = Simulation::new(6);
    let mut keys: Vec<JobKey> = Vec::new();
    for key in 0..150 {
        let mut spec = job(rng.random_range(1..6), cores(rng.random_range(1..9)));
        spec.steps[0].gang = rng.random_bool(0.3);
        spec.steps[0].checkpoints = rng.random_bool(0.5);
        let queue = if rng.random_bool(0.5) {
            "urgent"
        } else {
            "batch"
        };
        keys.push(sim.submit(key, queue, &spec));
        if rng.random_bool(0.1) {
            let index = rng.random_range(0..keys.len());
            sim.cancel(keys[index]);
        }
        if rng.random_bool(0.3) {
            inject_fault(&mut sim, &mut rng);
        }
        sim.run(rng.random_range(1..30) * 10);
    }
    sim.log_down = false;
    for minion in &mut sim.minions {
        minion.unreachable = false;
        minion.drops_replies = false;
    }
    sim.run(120_000);
    for key in keys {
        let state = sim.state(key);
        assert!(matches!(state, JobState::Ended(_)), "{key} is {state:?}");
    }
}
