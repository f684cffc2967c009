//! Batch that ends before its deadline at 95% load.

use primrosebay_state::job::JobSpec;
use primrosebay_state::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::baseline::{Baseline, Rule, ratio};
use crate::cell::{Cell, batch, empty};
use crate::figure::{Figure, Target};
use crate::placer::Placer;
use crate::simulation::{Record, Simulation};

const HOUR_MS: u64 = 3_600_000;
/// Simulated milliseconds of the night, whose capacity the load is a part of.
const NIGHT_MS: u64 = 8 * HOUR_MS;

/// When jobs arrive and are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Night {
    /// Half of the jobs arrive in the first hour, the rest until two hours before the shops open.
    /// Most must have finished by then, a quarter earlier, and a quarter has no deadline.
    Overnight,
    /// Jobs arrive all the time and are due 2 to 8 run times later; a third has no deadline.
    Tight,
}

/// Measures the part of the jobs that end before their deadline among those for which a bound says
/// that it is possible.
#[must_use]
pub fn deadlines(cell: &Cell, night: Night) -> Figure {
    let kind = match night {
        Night::Overnight => "overnight",
        Night::Tight => "due 2 to 8 run times after arrival",
    };
    Figure::new(
        format!(
            "batch before its deadline at 95% load, {kind}, {}",
            cell.name
        ),
        met(cell, night, empty()),
        "of the possible",
        Target::AtLeast(0.999),
    )
    .against("first fit", met(cell, night, Baseline::new(Rule::FirstFit)))
    .against(
        "full scan",
        met(cell, night, Baseline::new(Rule::ShapeScan)),
    )
}

/// Draws when a job arrives and sets its deadline.
fn draw(rng: &mut SmallRng, night: Night, spec: &mut JobSpec) -> u64 {
    match night {
        Night::Overnight => {
            let last = if rng.random_bool(0.5) {
                HOUR_MS
            } else {
                NIGHT_MS - 2 * HOUR_MS
            };
            let at = rng.random_range(0..last);
            let due = match rng.random_range(0..4_u32) {
                0 => at,
                1 => rng.random_range(at + HOUR_MS..NIGHT_MS),
                _ => NIGHT_MS,
            };
            spec.deadline_ms = due - at;
            at
        }
        Night::Tight => {
            if rng.random_ratio(2, 3) {
                spec.deadline_ms = spec.run_ms * rng.random_range(20..80) / 10;
            }
            rng.random_range(0..NIGHT_MS)
        }
    }
}

fn met<P: Placer>(cell: &Cell, night: Night, mut placer: P) -> f64 {
    cell.fill(&mut placer);
    let mut simulation = Simulation::new(placer, 5);
    let mut rng = SmallRng::seed_from_u64(37);
    let load = cell.total().cores_milli * 95 / 100 * NIGHT_MS;
    let mut work = 0;
    while work < load {
        let number = cell.draw(&mut rng);
        let mut spec = batch(&mut rng, number, 30);
        let at = draw(&mut rng, night, &mut spec);
        let takes = spec.run_ms * rng.random_range(80..110) / 100;
        work += spec.resources.cores_milli * u64::from(spec.tasks) * takes;
        simulation.add(Time(at), spec, takes);
    }
    simulation.run(Time(NIGHT_MS * 2), |_, _| ());
    let possible = possible(cell, &simulation.records);
    let (mut all, mut good) = (0, 0);
    for (record, possible) in simulation.records.iter().zip(possible) {
        if possible {
            all += 1;
            let limit = record.arrived + record.spec.deadline_ms;
            good += u64::from(record.ended.is_some_and(|ended| ended <= limit));
        }
    }
    ratio(good, all)
}

/// Returns which jobs with a deadline end in time if the cell were one worker whose cores go to
/// the nearest deadline first and move between jobs at any moment.
fn possible(cell: &Cell, records: &[Record]) -> Vec<bool> {
    let mut order: Vec<usize> = (0..records.len()).collect();
    order.sort_by_key(|&i| records[i].arrived);
    let mut left: Vec<f64> = records
        .iter()
        .map(|r| width(r) * ratio(r.takes, 1))
        .collect();
    let mut ends = vec![f64::INFINITY; records.len()];
    let mut active: Vec<usize> = Vec::new();
    let mut now = 0.0;
    let mut next = 0;
    while next < order.len() || !active.is_empty() {
        // Cores to the active jobs in the order of their deadlines, up to the width of each.
        let mut free = ratio(cell.total().cores_milli, 1);
        let mut step = order
            .get(next)
            .map_or(f64::INFINITY, |&i| ratio(records[i].arrived.0, 1) - now);
        let mut given = Vec::new();
        for &i in &active {
            let cores = width(&records[i]).min(free);
            if cores <= 0.0 {
                break;
            }
            free -= cores;
            step = step.min(left[i] / cores);
            given.push((i, cores));
        }
        now += step;
        for (i, cores) in given {
            left[i] -= cores * step;
            if left[i] <= 1e-3 {
                ends[i] = now;
            }
        }
        active.retain(|&i| ends[i].is_infinite());
        while let Some(&i) = order.get(next)
            && ratio(records[i].arrived.0, 1) <= now + 1e-6
        {
            next += 1;
            let at = active.partition_point(|&j| limit(&records[j]) <= limit(&records[i]));
            active.insert(at, i);
        }
    }
    records
        .iter()
        .zip(ends)
        .map(|(r, end)| r.spec.deadline_ms > 0 && end <= ratio(limit(r), 1))
        .collect()
}

fn width(record: &Record) -> f64 {
    ratio(
        record.spec.resources.cores_milli * u64::from(record.spec.tasks),
        1,
    )
}

fn limit(record: &Record) -> u64 {
    if record.spec.deadline_ms > 0 {
        record.arrived.0 + record.spec.deadline_ms
    } else {
        u64::MAX
    }
}
