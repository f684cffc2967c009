//! Cells and workloads of the two users and of the design size.

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
    /// The name in figures.
    pub name: &'static str,
    /// Number of workers.
    pub workers: usize,
    /// Workers on one rack.
    pub rack: usize,
    /// What each worker holds.
    pub size: Resources,
    /// Number of workers that hold accelerators besides, 8 each.
    pub accelerated: usize,
    /// Shares of the teams.
    pub shares: Vec<u32>,
}

/// Thistlewood's workers; a few accounts are large.
#[must_use]
pub fn thistlewood() -> Cell {
    Cell {
        name: "Thistlewood, 48 workers of 64 cores",
        workers: 48,
        rack: 8,
        size: amount(64_000, 128, 0),
        accelerated: 0,
        shares: vec![40, 25, 15, 10, 5, 5],
    }
}

/// Tugtog's workers; a few accounts are large.
#[must_use]
pub fn tugtog() -> Cell {
    Cell {
        name: "Tugtog, 48 workers of 32 cores",
        workers: 48,
        rack: 6,
        size: amount(32_000, 64, 0),
        accelerated: 0,
        shares: vec![35, 30, 15, 10, 6, 4],
    }
}

/// A cell of the design size, or of the same make with another number of workers: 140 teams, and
/// 1,400 accelerators on 175 of 1,000 workers.
#[must_use]
pub fn design(workers: usize) -> Cell {
    Cell {
        name: "design size",
        workers,
        rack: 8,
        size: amount(64_000, 128, 0),
        accelerated: workers * 175 / 1000,
        shares: (0..140).map(|i| 1 + i % 7).collect(),
    }
}

/// Returns an amount with memory in GiB.
#[must_use]
pub fn amount(cores_milli: u64, gib: u64, accelerators: u64) -> Resources {
    Resources {
        cores_milli,
        memory_mib: gib * 1024,
        accelerators,
    }
}

/// Returns the identifier of a numbered job.
#[must_use]
pub fn job(sequence: u64) -> JobId {
    JobId {
        incarnation: Incarnation(1),
        sequence,
    }
}

/// Returns the name of a team.
#[must_use]
pub fn team(number: usize) -> Name {
    Name::from(format!("team-{number}"))
}

/// Creates the scheduler with default settings and without workers.
#[must_use]
pub fn empty() -> Scheduler {
    Scheduler::new(Settings::default(), 1)
}

impl Cell {
    /// Adds the workers and teams.
    pub fn fill(&self, placer: &mut impl Placer) {
        for i in 0..self.workers {
            let mut size = self.size;
            // Spread evenly over the racks.
            if i * self.accelerated / self.workers != (i + 1) * self.accelerated / self.workers {
                size.accelerators = 8;
            }
            placer.set_worker(
                Name::from(format!("worker-{i}")),
                Name::from(format!("rack-{}", i / self.rack)),
                size,
            );
        }
        let total = self.total();
        for (i, &share) in self.shares.iter().enumerate() {
            placer.set_team(team(i), share, total);
        }
    }

    /// Returns what all workers hold.
    #[must_use]
    pub fn total(&self) -> Resources {
        let mut total = self.size.times(self.workers as u64);
        total.accelerators = 8 * self.accelerated as u64;
        total
    }

    /// Returns the part of the shares that a team has.
    #[must_use]
    pub fn weight(&self, team: usize) -> f64 {
        f64::from(self.shares[team]) / f64::from(self.shares.iter().sum::<u32>())
    }

    /// Draws a team, the more often the larger its share.
    pub fn draw(&self, rng: &mut SmallRng) -> usize {
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

/// Batch tasks as thousandths of a core and GiB. The workers have 2 GiB for each core; the shapes
/// lie on both sides of that.
pub const SHAPES: [(u64, u64); 12] = [
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

/// Draws a batch job with up to `tasks` tasks.
pub fn batch(rng: &mut SmallRng, team_number: usize, tasks: u32) -> JobSpec {
    let (cores, gib) = SHAPES[rng.random_range(0..SHAPES.len())];
    JobSpec {
        name: Name::from(format!("batch-{}", rng.random_range(0..100_u32))),
        team: team(team_number),
        tasks: rng.random_range(1..=tasks),
        resources: amount(cores, gib, 0),
        run_ms: draw_run(rng),
        ..JobSpec::default()
    }
}

/// Draws a run time from 1 to 32 minutes, each doubling equally likely.
pub fn draw_run(rng: &mut SmallRng) -> u64 {
    let low = 60_000 << rng.random_range(0..5_u32);
    rng.random_range(low..low * 2)
}
