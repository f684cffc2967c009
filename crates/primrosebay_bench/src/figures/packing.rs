//! Cores in use when batch work fills the cell.

use primrosebay_state::time::Time;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::baseline::{Baseline, Rule, ratio};
use crate::cell::{Cell, batch, empty};
use crate::figure::{Figure, Target};
use crate::placer::Placer;
use crate::simulation::Simulation;

/// Simulated milliseconds before the cell counts as full and mixed.
const WARM_MS: u64 = 1_800_000;
/// Simulated milliseconds of the measurement.
const MEASURED_MS: u64 = 7_200_000;

/// Measures the mean of the cores in use over the best bound for the queue.
#[must_use]
pub fn packing(cell: &Cell) -> Figure {
    Figure::new(
        format!("cores packed, {}", cell.name),
        packed(cell, empty()),
        "of the bound",
        Target::AtLeast(0.97),
    )
    .against("first fit", packed(cell, Baseline::new(Rule::FirstFit)))
    .against(
        "best fit on cores",
        packed(cell, Baseline::new(Rule::BestCores)),
    )
    .against("full scan", packed(cell, Baseline::new(Rule::ShapeScan)))
}

fn packed<P: Placer>(cell: &Cell, mut placer: P) -> f64 {
    cell.fill(&mut placer);
    let mut simulation = Simulation::new(placer, 5);
    let mut rng = SmallRng::seed_from_u64(23);
    // Enough work for the whole time, so that every shape waits until the end.
    let end = WARM_MS + MEASURED_MS;
    let mut queued = 0;
    while queued < cell.total().cores_milli * (end / 60_000) * 2 {
        let team = cell.draw(&mut rng);
        let spec = batch(&mut rng, team, 30);
        let takes = spec.run_ms;
        queued += spec.resources.cores_milli * u64::from(spec.tasks) * (takes / 60_000);
        simulation.add(Time(0), spec, takes);
    }
    let bound = bound(cell, &simulation);
    simulation.run(Time(WARM_MS), |_, _| ());
    let mut sum = 0;
    simulation.run(Time(end), |s, ms| sum += s.used(None).cores_milli * ms);
    ratio(sum, MEASURED_MS) / bound
}

/// Returns the most cores that the queue can keep in use if the cell were one worker and tasks
/// could be divided: work with little memory for its cores goes first until cores or memory end.
fn bound<P>(cell: &Cell, simulation: &Simulation<P>) -> f64 {
    let mut shapes: Vec<(f64, u64)> = simulation
        .records
        .iter()
        .map(|r| {
            let need = r.spec.resources;
            let each = ratio(need.memory_mib, need.cores_milli);
            (each, need.cores_milli * u64::from(r.spec.tasks))
        })
        .collect();
    shapes.sort_by(|a, b| a.0.total_cmp(&b.0));
    let total = cell.total();
    let (mut cores, mut memory) = (ratio(total.cores_milli, 1), ratio(total.memory_mib, 1));
    for (each, amount) in shapes {
        let taken = ratio(amount, 1).min(cores).min(memory / each);
        cores -= taken;
        memory -= taken * each;
    }
    ratio(total.cores_milli, 1) - cores
}
