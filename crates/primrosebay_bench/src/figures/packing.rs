//! Core utilization of a cell that is full of batch tasks.

use primrosebay_state::time::Time;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::baseline::{Baseline, Strategy, ratio};
use crate::cell::{Cell, draw_batch, new_scheduler};
use crate::figure::{Figure, Target};
use crate::placer::Placer;
use crate::simulation::Simulation;

/// Simulated milliseconds of the warm-up, which fills the cell with a mix of tasks.
const WARMUP_MS: u64 = 1_800_000;
/// Simulated milliseconds of the measurement.
const MEASURED_MS: u64 = 7_200_000;

/// Measures the mean number of cores in use, divided by an upper bound for the pending jobs.
#[must_use]
pub fn packing(cell: &Cell) -> Figure {
    Figure::new(
        format!("cores packed, {}", cell.name),
        relative_utilization(cell, new_scheduler()),
        "of the bound",
        Target::AtLeast(0.97),
    )
    .with_baseline(
        "first fit",
        relative_utilization(cell, Baseline::new(Strategy::FirstFit)),
    )
    .with_baseline(
        "best fit on cores",
        relative_utilization(cell, Baseline::new(Strategy::BestFitCores)),
    )
    .with_baseline(
        "full scan",
        relative_utilization(cell, Baseline::new(Strategy::ShapeScan)),
    )
}

/// Returns the mean number of cores that a scheduler keeps in use, divided by the upper bound.
fn relative_utilization<P: Placer>(cell: &Cell, mut placer: P) -> f64 {
    cell.add_to(&mut placer);
    let mut simulation = Simulation::new(placer, 5);
    let mut rng = SmallRng::seed_from_u64(23);
    // Twice the work that the cell can do, so that tasks of every shape are pending until the end.
    let end = WARMUP_MS + MEASURED_MS;
    let mut queued = 0;
    while queued < cell.total().cores_milli * (end / 60_000) * 2 {
        let team = cell.draw_team(&mut rng);
        let spec = draw_batch(&mut rng, team, 30);
        let run_ms = spec.run_ms;
        queued += spec.resources.cores_milli * u64::from(spec.tasks) * (run_ms / 60_000);
        simulation.add(Time(0), spec, run_ms);
    }
    let bound = core_bound(cell, &simulation);
    simulation.run(Time(WARMUP_MS), |_, _| ());
    let mut core_ms = 0;
    simulation.run(Time(end), |s, ms| core_ms += s.used(None).cores_milli * ms);
    ratio(core_ms, MEASURED_MS) / bound
}

/// Returns an upper bound of the thousandths of a core that the jobs can keep in use: the number
/// if the cell were a single worker and tasks were divisible. Jobs with the least memory per core
/// come first, until the cores or the memory are used up.
fn core_bound<P>(cell: &Cell, simulation: &Simulation<P>) -> f64 {
    let mut shapes: Vec<(f64, u64)> = simulation
        .jobs
        .iter()
        .map(|job| {
            let need = job.spec.resources;
            let memory_per_core = ratio(need.memory_mib, need.cores_milli);
            (
                memory_per_core,
                need.cores_milli * u64::from(job.spec.tasks),
            )
        })
        .collect();
    shapes.sort_by(|a, b| a.0.total_cmp(&b.0));
    let total = cell.total();
    let (mut cores, mut memory) = (ratio(total.cores_milli, 1), ratio(total.memory_mib, 1));
    for (memory_per_core, wanted) in shapes {
        let used = ratio(wanted, 1).min(cores).min(memory / memory_per_core);
        cores -= used;
        memory -= used * memory_per_core;
    }
    ratio(total.cores_milli, 1) - cores
}
