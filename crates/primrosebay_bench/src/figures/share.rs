//! Deviation of the teams' usage of a full cell from their shares.

use primrosebay_state::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::baseline::{Baseline, Strategy, ratio};
use crate::cell::{Cell, draw_batch, new_scheduler, team_name};
use crate::figure::{Figure, Target};
use crate::placer::Placer;
use crate::simulation::Simulation;

/// Simulated milliseconds of the warm-up, which fills the cell with a mix of tasks.
const WARMUP_MS: u64 = 3_600_000;
/// Simulated milliseconds of the measurement.
const MEASURED_MS: u64 = 7_200_000;
/// Simulated milliseconds between two samples.
const SAMPLE_MS: u64 = 10_000;

/// Measures how far the dominant shares of the teams are from what their configured shares entitle
/// them to, as a fraction of the cell: the 99th percentile over time, for the team where it is
/// largest. With `with_deadlines`, the jobs of every second team have deadlines in the simulated
/// time.
#[must_use]
pub fn share(cell: &Cell, with_deadlines: bool) -> Figure {
    let kind = if with_deadlines {
        ", deadlines in every second team"
    } else {
        ""
    };
    Figure::new(
        format!(
            "distance from share, p99 of the worst team{kind}, {}",
            cell.name
        ),
        max_distance(cell, with_deadlines, new_scheduler()),
        "of the cell",
        Target::AtMost(0.02),
    )
    .with_baseline(
        "first fit",
        max_distance(cell, with_deadlines, Baseline::new(Strategy::FirstFit)),
    )
    .with_baseline(
        "full scan",
        max_distance(cell, with_deadlines, Baseline::new(Strategy::ShapeScan)),
    )
}

/// Returns the largest among the teams' 99th percentiles of the distance from their shares.
fn max_distance<P: Placer>(cell: &Cell, with_deadlines: bool, mut placer: P) -> f64 {
    cell.add_to(&mut placer);
    let mut simulation = Simulation::new(placer, 5);
    let mut rng = SmallRng::seed_from_u64(29);
    let end = WARMUP_MS + MEASURED_MS;
    // Each team has enough work to fill the cell alone for the whole time.
    for team in 0..cell.shares.len() {
        let mut queued = 0;
        while queued < cell.total().cores_milli * (end / 60_000) * 6 / 5 {
            let mut spec = draw_batch(&mut rng, team, 30);
            if with_deadlines && team % 2 == 0 {
                spec.deadline_ms = rng.random_range(1..end);
            }
            let run_ms = spec.run_ms;
            queued += spec.resources.cores_milli * u64::from(spec.tasks) * (run_ms / 60_000);
            simulation.add(Time(0), spec, run_ms);
        }
    }
    simulation.run(Time(WARMUP_MS), |_, _| ());
    let total = cell.total();
    let mut samples: Vec<Vec<f64>> = vec![Vec::new(); cell.shares.len()];
    for step in 1..=MEASURED_MS / SAMPLE_MS {
        simulation.run(Time(WARMUP_MS + step * SAMPLE_MS), |_, _| ());
        let used: Vec<f64> = (0..cell.shares.len())
            .map(|i| simulation.used(Some(&*team_name(i))).dominant_share(&total))
            .collect();
        let total_used: f64 = used.iter().sum();
        for (i, team_used) in used.iter().enumerate() {
            samples[i].push((team_used - total_used * cell.weight(i)).abs());
        }
    }
    samples
        .into_iter()
        .map(|mut distances| {
            distances.sort_by(f64::total_cmp);
            distances[distances.len() * 99 / 100]
        })
        .fold(ratio(0, 1), f64::max)
}
