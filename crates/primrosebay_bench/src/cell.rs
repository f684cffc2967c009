//! Cells and workloads of two users, Thistlewood and Tugtog, and of the design size.

use primrosebay_coordination::schedule::{Scheduler, Settings};
use primrosebay_state::Name;
use primrosebay_state::id::{Incarnation, JobId};
use primrosebay_state::job::JobSpec;
use primrosebay_state::resources::Resources;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::placer::Placer;

/// The workers and teams of a cell.
#[derive(Debug, Clone)]
pub struct Cell {
    /// Name of the cell in figures.
    pub name: &'static str,
    /// Number of workers, those with accelerators included.
    pub workers: usize,
    /// Number of workers in each rack.
    pub rack_size: usize,
    /// Cores and memory of each worker.
    pub worker_size: Resources,
    /// Number of workers that also have 8 accelerators each.
    pub accelerator_workers: usize,
    /// Share of each team.
    pub shares: Vec<u32>,
}

/// Returns Thistlewood's cell, in which a few teams have most of the shares.
#[must_use]
pub fn thistlewood() -> Cell {
    Cell {
        name: "Thistlewood, 48 workers of 64 cores",
        workers: 48,
        rack_size: 8,
        worker_size: amount(64_000, 128, 0),
        accelerator_workers: 0,
        shares: vec![40, 25, 15, 10, 5, 5],
    }
}

/// Returns Tugtog's cell, in which a few teams have most of the shares.
#[must_use]
pub fn tugtog() -> Cell {
    Cell {
        name: "Tugtog, 48 workers of 32 cores",
        workers: 48,
        rack_size: 6,
        worker_size: amount(32_000, 64, 0),
        accelerator_workers: 0,
        shares: vec![35, 30, 15, 10, 6, 4],
    }
}

/// Returns a cell like that of the design size (1,000 workers), but with the given number of
/// workers. It has 140 teams, and 175 of 1,000 workers have 1,400 accelerators in total.
#[must_use]
pub fn design_size(workers: usize) -> Cell {
    Cell {
        name: "design size",
        workers,
        rack_size: 8,
        worker_size: amount(64_000, 128, 0),
        accelerator_workers: workers * 175 / 1000,
        shares: (0..140).map(|i| 1 + i % 7).collect(),
    }
}

/// Returns resources from thousandths of a core, GiB of memory and a number of accelerators.
#[must_use]
pub fn amount(cores_milli: u64, gib: u64, accelerators: u64) -> Resources {
    Resources {
        cores_milli,
        memory_mib: gib * 1024,
        accelerators,
    }
}

/// Returns the ID of the job with the given sequence number.
#[must_use]
pub fn job_id(sequence: u64) -> JobId {
    JobId {
        incarnation: Incarnation(1),
        sequence,
    }
}

/// Returns the name of the team with the index `number` in [`Cell::shares`].
#[must_use]
pub fn team_name(number: usize) -> Name {
    Name::from(format!("team-{number}"))
}

/// Creates the product's scheduler with default settings, without workers and teams.
#[must_use]
pub fn new_scheduler() -> Scheduler {
    Scheduler::new(Settings::default(), 1)
}

impl Cell {
    /// Adds the workers and teams of the cell to a scheduler. Each team's allowance is the whole
    /// cell.
    pub fn add_to(&self, placer: &mut impl Placer) {
        for i in 0..self.workers {
            let mut size = self.worker_size;
            // Spreads the accelerators evenly over the racks.
            if i * self.accelerator_workers / self.workers
                != (i + 1) * self.accelerator_workers / self.workers
            {
                size.accelerators = 8;
            }
            placer.set_worker(
                Name::from(format!("worker-{i}")),
                Name::from(format!("rack-{}", i / self.rack_size)),
                size,
            );
        }
        let total = self.total();
        for (i, &share) in self.shares.iter().enumerate() {
            placer.set_team(team_name(i), share, total);
        }
    }

    /// Returns the resources of all workers.
    #[must_use]
    pub fn total(&self) -> Resources {
        let mut total = self.worker_size.times(self.workers as u64);
        total.accelerators = 8 * self.accelerator_workers as u64;
        total
    }

    /// Returns a team's fraction of all shares.
    #[must_use]
    pub fn weight(&self, team: usize) -> f64 {
        f64::from(self.shares[team]) / f64::from(self.shares.iter().sum::<u32>())
    }

    /// Draws a team with a probability proportional to its share, and returns its index.
    pub fn draw_team(&self, rng: &mut SmallRng) -> usize {
        let mut left = rng.random_range(0..self.shares.iter().sum::<u32>());
        for (i, &share) in self.shares.iter().enumerate() {
            if left < share {
                return i;
            }
            left -= share;
        }
        0
    }
}

/// Thousandths of a core and GiB of memory of batch tasks. Workers have 2 GiB for each core; the
/// shapes lie on both sides of this ratio.
pub const BATCH_SHAPES: [(u64, u64); 12] = [
    (500, 1),
    (1_000, 1),
    (1_000, 3),
    (2_000, 4),
    (2_000, 3),
    (4_000, 4),
    (4_000, 10),
    (4_000, 8),
    (6_000, 10),
    (8_000, 16),
    (8_000, 12),
    (16_000, 32),
];

/// Draws a batch job with 1 to `max_tasks` tasks. `team` is an index in [`Cell::shares`].
pub fn draw_batch(rng: &mut SmallRng, team: usize, max_tasks: u32) -> JobSpec {
    let (cores, gib) = BATCH_SHAPES[rng.random_range(0..BATCH_SHAPES.len())];
    JobSpec {
        name: Name::from(format!("batch-{}", rng.random_range(0..100_u32))),
        team: team_name(team),
        tasks: rng.random_range(1..=max_tasks),
        resources: amount(cores, gib, 0),
        run_ms: draw_run_ms(rng),
        ..JobSpec::default()
    }
}

/// Draws a run time of 1 to 32 minutes in milliseconds. Each doubling is equally likely.
pub fn draw_run_ms(rng: &mut SmallRng) -> u64 {
    let low = 60_000 << rng.random_range(0..5_u32);
    rng.random_range(low..low * 2)
}
