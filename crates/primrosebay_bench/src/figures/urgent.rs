//! Time until urgent tasks start in a full cell.

use primrosebay_state::Name;
use primrosebay_state::job::{JobSpec, Policy};
use primrosebay_state::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::baseline::{Baseline, Strategy, ratio};
use crate::cell::{Cell, draw_batch, new_scheduler};
use crate::figure::{Figure, Target};
use crate::placer::Placer;
use crate::simulation::Simulation;

/// Simulated milliseconds of the warm-up, which fills the cell with a mix of tasks.
const WARMUP_MS: u64 = 1_800_000;
/// Simulated milliseconds of the measurement.
const MEASURED_MS: u64 = 3_600_000;
/// Mean simulated milliseconds between two urgent jobs.
const INTERARRIVAL_MS: u64 = 4_000;

/// Measures the 99th percentile of the time from the arrival of an urgent task to its start,
/// including the time that preempted tasks take to stop.
#[must_use]
pub fn urgent(cell: &Cell) -> Figure {
    let (wait, preempted) = p99_wait(cell, new_scheduler());
    let (first_fit, _) = p99_wait(cell, Baseline::new(Strategy::FirstFit));
    let (full_scan, _) = p99_wait(cell, Baseline::new(Strategy::ShapeScan));
    let name = format!(
        "p99 until an urgent task starts, {} ({preempted} preempted)",
        cell.name
    );
    Figure::new(name, wait, "s", Target::AtMost(3.3))
        .with_baseline("first fit", first_fit)
        .with_baseline("full scan", full_scan)
}

/// Returns the 99th percentile of the wait of urgent tasks in seconds, and the number of
/// preemptions.
fn p99_wait<P: Placer>(cell: &Cell, mut placer: P) -> (f64, u64) {
    cell.add_to(&mut placer);
    let mut simulation = Simulation::new(placer, 5);
    let mut rng = SmallRng::seed_from_u64(31);
    let end = WARMUP_MS + MEASURED_MS;
    add_background(cell, &mut simulation, &mut rng, end);
    let background = simulation.jobs.len();
    let mut at = WARMUP_MS;
    while at < end {
        let team = rng.random_range(0..cell.shares.len());
        let spec = JobSpec {
            urgent: true,
            name: Name::from("urgent"),
            run_ms: 60_000,
            ..draw_batch(&mut rng, team, 4)
        };
        simulation.add(Time(at), spec, 60_000);
        at += rng.random_range(1..INTERARRIVAL_MS * 2);
    }
    simulation.run(Time(end + 600_000), |_, _| ());
    let mut waits: Vec<u64> = Vec::new();
    for job in &simulation.jobs[background..] {
        // The wait of a task that has not started lasts until the end of the simulation.
        let missing = job.spec.tasks as usize - job.starts.len().min(job.spec.tasks as usize);
        let unstarted = std::iter::repeat_n(simulation.now, missing);
        waits.extend(
            job.starts
                .iter()
                .copied()
                .chain(unstarted)
                .map(|t| t.since(job.arrived)),
        );
    }
    waits.sort_unstable();
    (
        ratio(waits[waits.len() * 99 / 100], 1000),
        simulation.preempted,
    )
}

/// Adds jobs that fill the cell: services, then batch jobs and gangs. A third of the latter two can
/// be checkpointed.
fn add_background<P: Placer>(
    cell: &Cell,
    simulation: &mut Simulation<P>,
    rng: &mut SmallRng,
    end: u64,
) {
    let mut services = 0;
    while services < cell.total().cores_milli / 5 {
        let team = cell.draw_team(rng);
        let spec = JobSpec {
            policy: Policy::Service,
            run_ms: 0,
            ..draw_batch(rng, team, 8)
        };
        services += spec.resources.cores_milli * u64::from(spec.tasks);
        simulation.add(Time(0), spec, end * 10);
    }
    let mut queued = 0;
    while queued < cell.total().cores_milli * (end / 60_000) * 2 {
        let team = cell.draw_team(rng);
        let mut spec = draw_batch(rng, team, 20);
        spec.checkpoint = rng.random_ratio(1, 3);
        if rng.random_ratio(1, 10) {
            spec.policy = Policy::Gang;
        }
        // The actual run time is 0.5 to 2 times the declared one.
        let actual_ms = spec.run_ms * rng.random_range(50..200) / 100;
        queued += spec.resources.cores_milli * u64::from(spec.tasks) * (actual_ms / 60_000);
        simulation.add(Time(1), spec, actual_ms);
    }
}
