//! Cost of scheduling decisions in a full cell where ended tasks are replaced by pending ones.

use std::time::Instant;

use primrosebay_coordination::schedule::Decision;
use primrosebay_state::id::TaskId;
use primrosebay_state::job::{JobSpec, Policy};
use primrosebay_state::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::baseline::{Baseline, Strategy, ratio};
use crate::cell::{Cell, amount, design_size, draw_batch, job_id, new_scheduler};
use crate::figure::{Figure, Target};
use crate::placer::Placer;

/// Running tasks per worker at the design size: 15,000 on 1,000 workers.
const TASKS_PER_WORKER: usize = 15;
/// Number of pending jobs per team.
const PENDING_JOBS: usize = 12;
/// Number of measurements of which the median is taken.
const REPEATS: usize = 5;

/// A full cell with a constant backlog of pending tasks, in which running batch tasks are ended at
/// random.
#[derive(Debug)]
pub struct Churn<P> {
    placer: P,
    cell: Cell,
    rng: SmallRng,
    now: Time,
    /// Number of submitted jobs.
    jobs: u64,
    /// Number of pending tasks.
    pending: usize,
    /// Running tasks of batch jobs and gangs.
    batch_tasks: Vec<TaskId>,
    /// Number of running service tasks.
    service_tasks: usize,
}

impl<P: Placer> Churn<P> {
    /// Fills the cell: a fifth of the expected tasks are services, the rest batch tasks, some of
    /// which need accelerators or belong to gangs.
    pub fn new(mut placer: P, cell: Cell) -> Self {
        cell.add_to(&mut placer);
        let mut churn = Self {
            placer,
            rng: SmallRng::seed_from_u64(11),
            now: Time(0),
            jobs: 0,
            pending: 0,
            batch_tasks: Vec::new(),
            service_tasks: 0,
            cell,
        };
        let services = churn.cell.workers * TASKS_PER_WORKER / 5;
        while churn.service_tasks < services {
            let team = churn.rng.random_range(0..churn.cell.shares.len());
            let spec = JobSpec {
                policy: Policy::Service,
                tasks: 10,
                run_ms: 0,
                ..draw_batch(&mut churn.rng, team, 1)
            };
            churn.service_tasks += 10;
            churn.submit(&spec);
            churn.decide(usize::MAX);
        }
        churn.batch_tasks.clear();
        churn.refill();
        while churn.decide(1_000) > 0 {
            churn.refill();
        }
        churn
    }

    fn submit(&mut self, spec: &JobSpec) {
        self.jobs += 1;
        self.pending += spec.tasks as usize;
        self.placer.submit(self.now, job_id(self.jobs), spec);
    }

    /// Submits batch jobs until the backlog has its usual size. A job has 1 to 15 tasks, 8 on
    /// average.
    fn refill(&mut self) {
        while self.pending < self.cell.shares.len() * PENDING_JOBS * 8 {
            let team = self.cell.draw_team(&mut self.rng);
            let mut spec = draw_batch(&mut self.rng, team, 15);
            if self.cell.accelerator_workers > 0 && self.rng.random_ratio(1, 12) {
                spec.resources = amount(4_000, 8, 1);
            }
            if self.rng.random_ratio(1, 20) {
                spec.policy = Policy::Gang;
            }
            self.submit(&spec);
        }
    }

    /// Calls the scheduler once and returns the number of placed tasks.
    fn decide(&mut self, max: usize) -> usize {
        let decisions = self.placer.schedule(self.now, max);
        let mut placed = 0;
        for decision in &decisions {
            if let Decision::Place { task, .. } = decision {
                placed += 1;
                self.pending -= 1;
                self.batch_tasks.push(*task);
            }
        }
        placed
    }

    /// Returns the number of running tasks.
    #[must_use]
    pub fn running(&self) -> usize {
        self.batch_tasks.len() + self.service_tasks
    }

    /// Ends `ends` random batch tasks, calls the scheduler once and refills the backlog. Returns
    /// the number of placed tasks.
    pub fn step(&mut self, ends: usize) -> usize {
        self.now = self.now + 10;
        for _ in 0..ends {
            let index = self.rng.random_range(0..self.batch_tasks.len());
            let task = self.batch_tasks.swap_remove(index);
            self.placer.release(self.now, task);
        }
        let placed = self.decide(1_000);
        self.refill();
        placed
    }
}

/// Returns the number of placements per second over `steps` steps with `ends` ended tasks each.
fn placement_rate<P: Placer>(churn: &mut Churn<P>, steps: usize, ends: usize) -> f64 {
    let start = Instant::now();
    let placed: usize = (0..steps).map(|_| churn.step(ends)).sum();
    ratio(placed as u64, 1) / start.elapsed().as_secs_f64()
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Measures the placements per second at the design size when `ends` tasks end before each call of
/// the scheduler. The time of ends, submissions and accounting is included. The full scan ends
/// each call with a search of all pending jobs that finds nothing, so more ends per call favor it.
#[must_use]
pub fn decision_rate(ends: usize) -> Vec<Figure> {
    let mut scheduler = Churn::new(new_scheduler(), design_size(1_000));
    let mut full_scan = Churn::new(Baseline::new(Strategy::FullScan), design_size(1_000));
    let mut shape_scan = Churn::new(Baseline::new(Strategy::ShapeScan), design_size(1_000));
    let (mut a, mut b, mut c) = (Vec::new(), Vec::new(), Vec::new());
    // The three schedulers alternate, so that other load on the machine affects all of them.
    for _ in 0..REPEATS {
        a.push(placement_rate(&mut scheduler, 8_000 / ends, ends));
        b.push(placement_rate(&mut full_scan, 64 / ends, ends));
        c.push(placement_rate(&mut shape_scan, 800 / ends, ends));
    }
    let (scheduler, full_scan, shape_scan) = (median(a), median(b), median(c));
    let name = format!("placements a second, 1,000 workers, 140 teams, {ends} ends a call");
    let rate = Figure::new(&*name, scheduler, "/s", Target::AtLeast(20_000.0))
        .with_baseline("full scan", full_scan)
        .with_baseline("scan by shape", shape_scan);
    let ratio = Figure::new(
        format!("{name}, to a full scan"),
        scheduler / full_scan,
        "times",
        Target::AtLeast(10.0),
    );
    vec![rate, ratio]
}

/// Measures the 99th percentile of the time of one scheduling round after one task has ended.
#[must_use]
pub fn latency() -> Figure {
    let mut scheduler = Churn::new(new_scheduler(), design_size(1_000));
    let mut full_scan = Churn::new(Baseline::new(Strategy::FullScan), design_size(1_000));
    let scheduler = p99_ms(&mut scheduler, 20_000);
    let full_scan = p99_ms(&mut full_scan, 100);
    Figure::new(
        "p99 of a decision, 1,000 workers",
        scheduler,
        "ms",
        Target::AtMost(1.0),
    )
    .with_baseline("full scan", full_scan)
}

/// Returns the 99th percentile of the duration of a step in milliseconds.
fn p99_ms<P: Placer>(churn: &mut Churn<P>, steps: usize) -> f64 {
    let mut times: Vec<f64> = (0..steps)
        .map(|_| {
            let start = Instant::now();
            churn.step(1);
            start.elapsed().as_secs_f64() * 1000.0
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[times.len() * 99 / 100]
}

/// Measures how the cost of a decision grows with the number of workers, for the same teams and the
/// same number of running tasks per worker.
#[must_use]
pub fn growth() -> Vec<Figure> {
    let sizes = [48, 1_000, 10_000];
    let mut cells: Vec<_> = sizes
        .iter()
        .map(|&workers| Churn::new(new_scheduler(), design_size(workers)))
        .collect();
    let mut costs = vec![Vec::new(); sizes.len()];
    for _ in 0..REPEATS {
        for (cell, cost) in cells.iter_mut().zip(&mut costs) {
            cost.push(1e6 / placement_rate(cell, 3_000, 1));
        }
    }
    let cost: Vec<f64> = costs.into_iter().map(median).collect();
    let mut figures = vec![Figure::new(
        "cost of a decision, 48 workers",
        cost[0],
        "µs",
        Target::None,
    )];
    for (i, target) in [(1, 2.0), (2, 4.0)] {
        let name = format!("cost of a decision, {} workers to 48 workers", sizes[i]);
        figures.push(Figure::new(
            name,
            cost[i] / cost[0],
            "times",
            Target::AtMost(target),
        ));
    }
    figures
}
