//! Batch jobs that end before their deadlines at 95% load.

use primrosebay_state::job::JobSpec;
use primrosebay_state::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::baseline::{Baseline, Strategy, ratio};
use crate::cell::{Cell, draw_batch, new_scheduler};
use crate::figure::{Figure, Target};
use crate::placer::Placer;
use crate::simulation::{JobRecord, Simulation};

const HOUR_MS: u64 = 3_600_000;
/// Simulated milliseconds in which jobs arrive. The load is 95% of the cell's capacity in this
/// time.
const WINDOW_MS: u64 = 8 * HOUR_MS;

/// Distribution of the arrivals and deadlines of jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeadlineProfile {
    /// Half of the jobs arrive in the first hour of an 8-hour window, the rest at any time until
    /// two hours before its end. Half are due at the end, when the shops open, a quarter at an
    /// earlier time, and a quarter have no deadline.
    Overnight,
    /// Jobs arrive throughout the window and are due 2 to 8 run times later; a third have no
    /// deadline.
    Tight,
}

/// Measures the fraction of jobs that end before their deadlines, among the jobs that can do so
/// according to an upper bound.
#[must_use]
pub fn deadlines(cell: &Cell, profile: DeadlineProfile) -> Figure {
    let kind = match profile {
        DeadlineProfile::Overnight => "overnight",
        DeadlineProfile::Tight => "due 2 to 8 run times after arrival",
    };
    Figure::new(
        format!(
            "batch before its deadline at 95% load, {kind}, {}",
            cell.name
        ),
        met_fraction(cell, profile, new_scheduler()),
        "of the possible",
        Target::AtLeast(0.999),
    )
    .with_baseline(
        "first fit",
        met_fraction(cell, profile, Baseline::new(Strategy::FirstFit)),
    )
    .with_baseline(
        "full scan",
        met_fraction(cell, profile, Baseline::new(Strategy::ShapeScan)),
    )
}

/// Draws the arrival time and the deadline of a job. Sets the deadline in `spec` and returns the
/// arrival time.
fn draw_arrival(rng: &mut SmallRng, profile: DeadlineProfile, spec: &mut JobSpec) -> u64 {
    match profile {
        DeadlineProfile::Overnight => {
            let last = if rng.random_bool(0.5) {
                HOUR_MS
            } else {
                WINDOW_MS - 2 * HOUR_MS
            };
            let at = rng.random_range(0..last);
            let due = match rng.random_range(0..4_u32) {
                0 => at,
                1 => rng.random_range(at + HOUR_MS..WINDOW_MS),
                _ => WINDOW_MS,
            };
            spec.deadline_ms = due - at;
            at
        }
        DeadlineProfile::Tight => {
            if rng.random_ratio(2, 3) {
                spec.deadline_ms = spec.run_ms * rng.random_range(20..80) / 10;
            }
            rng.random_range(0..WINDOW_MS)
        }
    }
}

/// Returns the fraction of the feasible deadlines that a scheduler meets.
fn met_fraction<P: Placer>(cell: &Cell, profile: DeadlineProfile, mut placer: P) -> f64 {
    cell.add_to(&mut placer);
    let mut simulation = Simulation::new(placer, 5);
    let mut rng = SmallRng::seed_from_u64(37);
    let load = cell.total().cores_milli * 95 / 100 * WINDOW_MS;
    let mut work = 0;
    while work < load {
        let team = cell.draw_team(&mut rng);
        let mut spec = draw_batch(&mut rng, team, 30);
        let at = draw_arrival(&mut rng, profile, &mut spec);
        let actual_ms = spec.run_ms * rng.random_range(80..110) / 100;
        work += spec.resources.cores_milli * u64::from(spec.tasks) * actual_ms;
        simulation.add(Time(at), spec, actual_ms);
    }
    simulation.run(Time(WINDOW_MS * 2), |_, _| ());
    let feasible = feasible_deadlines(cell, &simulation.jobs);
    let (mut total, mut met) = (0, 0);
    for (job, feasible) in simulation.jobs.iter().zip(feasible) {
        if feasible {
            total += 1;
            let due = job.arrived + job.spec.deadline_ms;
            met += u64::from(job.ended.is_some_and(|ended| ended <= due));
        }
    }
    ratio(met, total)
}

/// Returns for each job whether it has a deadline and would meet it if the cell were a single
/// worker that gives its cores to the earliest deadline first and can move them between jobs at any
/// time.
fn feasible_deadlines(cell: &Cell, jobs: &[JobRecord]) -> Vec<bool> {
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by_key(|&i| jobs[i].arrived);
    // Remaining work of each job, in thousandths of a core times milliseconds.
    let mut remaining: Vec<f64> = jobs
        .iter()
        .map(|job| max_cores(job) * ratio(job.actual_ms, 1))
        .collect();
    let mut ends = vec![f64::INFINITY; jobs.len()];
    let mut active: Vec<usize> = Vec::new();
    let mut now = 0.0;
    let mut next = 0;
    while next < order.len() || !active.is_empty() {
        // Gives cores to the active jobs in the order of their deadlines, to each as many as all
        // its tasks can use.
        let mut free = ratio(cell.total().cores_milli, 1);
        let mut step = order
            .get(next)
            .map_or(f64::INFINITY, |&i| ratio(jobs[i].arrived.0, 1) - now);
        let mut allocated = Vec::new();
        for &i in &active {
            let cores = max_cores(&jobs[i]).min(free);
            if cores <= 0.0 {
                break;
            }
            free -= cores;
            step = step.min(remaining[i] / cores);
            allocated.push((i, cores));
        }
        now += step;
        for (i, cores) in allocated {
            remaining[i] -= cores * step;
            if remaining[i] <= 1e-3 {
                ends[i] = now;
            }
        }
        active.retain(|&i| ends[i].is_infinite());
        while let Some(&i) = order.get(next)
            && ratio(jobs[i].arrived.0, 1) <= now + 1e-6
        {
            next += 1;
            let index = active.partition_point(|&j| due_time(&jobs[j]) <= due_time(&jobs[i]));
            active.insert(index, i);
        }
    }
    jobs.iter()
        .zip(ends)
        .map(|(job, end)| job.spec.deadline_ms > 0 && end <= ratio(due_time(job), 1))
        .collect()
}

/// Returns the thousandths of a core that all tasks of a job use together.
fn max_cores(job: &JobRecord) -> f64 {
    ratio(
        job.spec.resources.cores_milli * u64::from(job.spec.tasks),
        1,
    )
}

/// Returns the simulated time by which a job must end, or `u64::MAX` if it has no deadline.
fn due_time(job: &JobRecord) -> u64 {
    if job.spec.deadline_ms > 0 {
        job.arrived.0 + job.spec.deadline_ms
    } else {
        u64::MAX
    }
}
