//! Cost of decisions in a full cell where tasks end and others take their place.

use std::time::Instant;

use primrosebay_coordination::schedule::Decision;
use primrosebay_state::id::TaskId;
use primrosebay_state::job::{JobSpec, Policy};
use primrosebay_state::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::baseline::{Baseline, Rule, ratio};
use crate::cell::{Cell, amount, batch, design, empty, job};
use crate::figure::{Figure, Target};
use crate::placer::Placer;

/// Running tasks for each worker at the design size: 15,000 on 1,000.
const TASKS_PER_WORKER: usize = 15;
/// Pending jobs that are kept waiting for each team.
const WAITING: usize = 12;
/// Measurements of which the median is taken.
const REPEATS: usize = 5;

/// A full cell with waiting work, in which tasks are ended one after the other.
#[derive(Debug)]
pub struct Churn<P> {
    placer: P,
    cell: Cell,
    rng: SmallRng,
    now: Time,
    jobs: u64,
    waiting: usize,
    batch: Vec<TaskId>,
    services: usize,
}

impl<P: Placer> Churn<P> {
    /// Fills the cell: a fifth of the tasks are services, the rest batch, with accelerator jobs
    /// and gangs among them.
    pub fn new(mut placer: P, cell: Cell) -> Self {
        cell.fill(&mut placer);
        let mut churn = Self {
            placer,
            rng: SmallRng::seed_from_u64(11),
            now: Time(0),
            jobs: 0,
            waiting: 0,
            batch: Vec::new(),
            services: 0,
            cell,
        };
        let services = churn.cell.workers * TASKS_PER_WORKER / 5;
        while churn.services < services {
            let team = churn.rng.random_range(0..churn.cell.shares.len());
            let spec = JobSpec {
                policy: Policy::Service,
                tasks: 10,
                run_ms: 0,
                ..batch(&mut churn.rng, team, 1)
            };
            churn.services += 10;
            churn.submit(&spec);
            churn.decide(usize::MAX);
        }
        churn.batch.clear();
        churn.refill();
        while churn.decide(1_000) > 0 {
            churn.refill();
        }
        churn
    }

    fn submit(&mut self, spec: &JobSpec) {
        self.jobs += 1;
        self.waiting += spec.tasks as usize;
        self.placer.submit(self.now, job(self.jobs), spec);
    }

    /// Adds jobs until the usual amount of work waits.
    fn refill(&mut self) {
        while self.waiting < self.cell.shares.len() * WAITING * 8 {
            let team = self.cell.draw(&mut self.rng);
            let mut spec = batch(&mut self.rng, team, 15);
            if self.cell.accelerated > 0 && self.rng.random_ratio(1, 12) {
                spec.resources = amount(4_000, 8, 1);
            }
            if self.rng.random_ratio(1, 20) {
                spec.policy = Policy::Gang;
            }
            self.submit(&spec);
        }
    }

    fn decide(&mut self, max: usize) -> usize {
        let decisions = self.placer.schedule(self.now, max);
        let mut placed = 0;
        for decision in &decisions {
            if let Decision::Place { task, .. } = decision {
                placed += 1;
                self.waiting -= 1;
                self.batch.push(*task);
            }
        }
        placed
    }

    /// Returns the number of running tasks.
    #[must_use]
    pub fn running(&self) -> usize {
        self.batch.len() + self.services
    }

    /// Ends `ends` tasks, decides what takes their place, and returns the placements.
    pub fn step(&mut self, ends: usize) -> usize {
        self.now = self.now + 10;
        for _ in 0..ends {
            let at = self.rng.random_range(0..self.batch.len());
            let task = self.batch.swap_remove(at);
            self.placer.release(self.now, task);
        }
        let placed = self.decide(1_000);
        self.refill();
        placed
    }
}

/// Returns placements a second over `steps` steps of `ends` ended tasks.
fn rate<P: Placer>(churn: &mut Churn<P>, steps: usize, ends: usize) -> f64 {
    let start = Instant::now();
    let placed: usize = (0..steps).map(|_| churn.step(ends)).sum();
    ratio(placed as u64, 1) / start.elapsed().as_secs_f64()
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Measures placements a second at the design size, with ends, submissions and accounting
/// included.
#[must_use]
pub fn decision_rate() -> Figure {
    let mut ours = Churn::new(empty(), design(1_000));
    let mut full = Churn::new(Baseline::new(Rule::FullScan), design(1_000));
    let mut shapes = Churn::new(Baseline::new(Rule::ShapeScan), design(1_000));
    let (mut a, mut b, mut c) = (Vec::new(), Vec::new(), Vec::new());
    // The three alternate, so that noise of the machine meets all of them.
    for _ in 0..REPEATS {
        a.push(rate(&mut ours, 500, 16));
        b.push(rate(&mut full, 4, 16));
        c.push(rate(&mut shapes, 50, 16));
    }
    let name = format!(
        "placements a second, 1,000 workers, {} running, 140 teams",
        ours.running()
    );
    Figure::new(name, median(a), "/s", Target::AtLeast(20_000.0))
        .against("full scan", median(b))
        .against("scan by shape", median(c))
}

/// Measures the 99th percentile of the time of one decision round after one task has ended.
#[must_use]
pub fn latency() -> Figure {
    let mut ours = Churn::new(empty(), design(1_000));
    let mut full = Churn::new(Baseline::new(Rule::FullScan), design(1_000));
    let ours = percentile(&mut ours, 20_000);
    let full = percentile(&mut full, 100);
    Figure::new(
        "p99 of a decision, 1,000 workers",
        ours,
        "ms",
        Target::AtMost(1.0),
    )
    .against("full scan", full)
}

fn percentile<P: Placer>(churn: &mut Churn<P>, steps: usize) -> f64 {
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

/// Measures how the cost of a decision grows with the number of workers, with the same teams and
/// the same number of running tasks on each worker.
#[must_use]
pub fn growth() -> Vec<Figure> {
    let sizes = [48, 1_000, 10_000];
    let mut cells: Vec<_> = sizes
        .iter()
        .map(|&workers| Churn::new(empty(), design(workers)))
        .collect();
    let mut costs = vec![Vec::new(); sizes.len()];
    for _ in 0..REPEATS {
        for (cell, cost) in cells.iter_mut().zip(&mut costs) {
            cost.push(1e6 / rate(cell, 3_000, 1));
        }
    }
    let cost: Vec<f64> = costs.into_iter().map(median).collect();
    let mut figures = vec![Figure::new(
        "cost of a decision, 48 workers",
        cost[0],
        "µs",
        Target::None,
    )];
    for (at, target) in [(1, 2.0), (2, 4.0)] {
        let name = format!("cost of a decision, {} workers to 48 workers", sizes[at]);
        figures.push(Figure::new(
            name,
            cost[at] / cost[0],
            "times",
            Target::AtMost(target),
        ));
    }
    figures
}
