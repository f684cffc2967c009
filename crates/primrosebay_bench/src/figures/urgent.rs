//! How soon urgent work starts in a full cell.

use primrosebay_state::Name;
use primrosebay_state::job::{JobSpec, Policy};
use primrosebay_state::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::baseline::{Baseline, Rule, ratio};
use crate::cell::{Cell, batch, empty};
use crate::figure::{Figure, Target};
use crate::placer::Placer;
use crate::simulation::Simulation;

/// Simulated milliseconds before the cell counts as full and mixed.
const WARM_MS: u64 = 1_800_000;
/// Simulated milliseconds of the measurement.
const MEASURED_MS: u64 = 3_600_000;
/// Mean simulated milliseconds between two urgent jobs.
const BETWEEN_MS: u64 = 4_000;

/// Measures the 99th percentile of the time until an urgent task starts, with the time that
/// victims take to stop.
#[must_use]
pub fn urgent(cell: &Cell) -> Figure {
    let (ours, preempted) = waits(cell, empty());
    let (first, _) = waits(cell, Baseline::new(Rule::FirstFit));
    let (full, _) = waits(cell, Baseline::new(Rule::ShapeScan));
    let name = format!(
        "p99 until an urgent task starts, {} ({preempted} preempted)",
        cell.name
    );
    Figure::new(name, ours, "s", Target::AtMost(3.3))
        .against("first fit", first)
        .against("full scan", full)
}

fn waits<P: Placer>(cell: &Cell, mut placer: P) -> (f64, u64) {
    cell.fill(&mut placer);
    let mut simulation = Simulation::new(placer, 5);
    let mut rng = SmallRng::seed_from_u64(31);
    let end = WARM_MS + MEASURED_MS;
    fill(cell, &mut simulation, &mut rng, end);
    let background = simulation.records.len();
    let mut at = WARM_MS;
    while at < end {
        let number = rng.random_range(0..cell.shares.len());
        let spec = JobSpec {
            urgent: true,
            name: Name::from("urgent"),
            run_ms: 60_000,
            ..batch(&mut rng, number, 4)
        };
        simulation.add(Time(at), spec, 60_000);
        at += rng.random_range(1..BETWEEN_MS * 2);
    }
    simulation.run(Time(end + 600_000), |_, _| ());
    let mut waits: Vec<u64> = Vec::new();
    for record in &simulation.records[background..] {
        // A task that has not started by the end counts with the time until then.
        let missing =
            record.spec.tasks as usize - record.starts.len().min(record.spec.tasks as usize);
        let late = std::iter::repeat_n(simulation.now, missing);
        waits.extend(
            record
                .starts
                .iter()
                .copied()
                .chain(late)
                .map(|t| t.since(record.arrived)),
        );
    }
    waits.sort_unstable();
    (
        ratio(waits[waits.len() * 99 / 100], 1000),
        simulation.preempted,
    )
}

/// Fills the cell with services, gangs and batch, a third of which can be checkpointed.
fn fill<P: Placer>(cell: &Cell, simulation: &mut Simulation<P>, rng: &mut SmallRng, end: u64) {
    let mut services = 0;
    while services < cell.total().cores_milli / 5 {
        let number = cell.draw(rng);
        let spec = JobSpec {
            policy: Policy::Service,
            run_ms: 0,
            ..batch(rng, number, 8)
        };
        services += spec.resources.cores_milli * u64::from(spec.tasks);
        simulation.add(Time(0), spec, end * 10);
    }
    let mut queued = 0;
    while queued < cell.total().cores_milli * (end / 60_000) * 2 {
        let number = cell.draw(rng);
        let mut spec = batch(rng, number, 20);
        spec.checkpoint = rng.random_ratio(1, 3);
        if rng.random_ratio(1, 10) {
            spec.policy = Policy::Gang;
        }
        // Declared run times are off by up to a factor of 2 in both directions.
        let takes = spec.run_ms * rng.random_range(50..200) / 100;
        queued += spec.resources.cores_milli * u64::from(spec.tasks) * (takes / 60_000);
        simulation.add(Time(1), spec, takes);
    }
}
