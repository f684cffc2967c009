//! Distance of teams from their share of a full cell.

use primrosebay_state::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::baseline::{Baseline, Rule, ratio};
use crate::cell::{Cell, batch, empty, team};
use crate::figure::{Figure, Target};
use crate::placer::Placer;
use crate::simulation::Simulation;

/// Simulated milliseconds before the cell counts as full and mixed.
const WARM_MS: u64 = 3_600_000;
/// Simulated milliseconds of the measurement.
const MEASURED_MS: u64 = 7_200_000;
/// Simulated milliseconds between two samples.
const STEP_MS: u64 = 10_000;

/// Measures the 99th percentile over time of the distance of the worst team from its share, in
/// parts of the cell. With `due`, every second team has jobs with near deadlines.
#[must_use]
pub fn share(cell: &Cell, due: bool) -> Figure {
    let kind = if due {
        ", deadlines in every second team"
    } else {
        ""
    };
    Figure::new(
        format!(
            "distance from share, p99 of the worst team{kind}, {}",
            cell.name
        ),
        distance(cell, due, empty()),
        "of the cell",
        Target::AtMost(0.02),
    )
    .against(
        "first fit",
        distance(cell, due, Baseline::new(Rule::FirstFit)),
    )
    .against(
        "full scan",
        distance(cell, due, Baseline::new(Rule::ShapeScan)),
    )
}

fn distance<P: Placer>(cell: &Cell, due: bool, mut placer: P) -> f64 {
    cell.fill(&mut placer);
    let mut simulation = Simulation::new(placer, 5);
    let mut rng = SmallRng::seed_from_u64(29);
    let end = WARM_MS + MEASURED_MS;
    // Every team alone could fill the cell at all times.
    for number in 0..cell.shares.len() {
        let mut queued = 0;
        while queued < cell.total().cores_milli * (end / 60_000) * 6 / 5 {
            let mut spec = batch(&mut rng, number, 30);
            if due && number % 2 == 0 {
                spec.deadline_ms = rng.random_range(1..end);
            }
            let takes = spec.run_ms;
            queued += spec.resources.cores_milli * u64::from(spec.tasks) * (takes / 60_000);
            simulation.add(Time(0), spec, takes);
        }
    }
    simulation.run(Time(WARM_MS), |_, _| ());
    let total = cell.total();
    let mut samples: Vec<Vec<f64>> = vec![Vec::new(); cell.shares.len()];
    for step in 1..=MEASURED_MS / STEP_MS {
        simulation.run(Time(WARM_MS + step * STEP_MS), |_, _| ());
        let used: Vec<f64> = (0..cell.shares.len())
            .map(|i| simulation.used(Some(&*team(i))).dominant_share(&total))
            .collect();
        let all: f64 = used.iter().sum();
        for (i, part) in used.iter().enumerate() {
            samples[i].push((part - all * cell.weight(i)).abs());
        }
    }
    samples
        .into_iter()
        .map(|mut of_team| {
            of_team.sort_by(f64::total_cmp);
            of_team[of_team.len() * 99 / 100]
        })
        .fold(ratio(0, 1), f64::max)
}
