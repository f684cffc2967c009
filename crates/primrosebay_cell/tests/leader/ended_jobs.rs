//! Random sequences of cancellations and failures under faults of messages, minions, the log and
//! the leader. The cell fails a test when a run of an ended job goes on in a calm stretch, or when
//! another of its invariants does not hold.
//!
//! `PRIMROSEBAY_CELL_SEEDS=1000 cargo test --release -p primrosebay_cell --test leader ended_jobs`
//! runs 1,000 seeds from 0 or `PRIMROSEBAY_CELL_FIRST` on; `PRIMROSEBAY_CELL_SEED=7` runs only
//! seed 7.

use primrosebay_cell::job::{JobKey, JobSpec, Step};
use primrosebay_cell::ledger::JobState;
use rand::Rng;
use rstest::rstest;

use crate::network::{Cell, Chances};
use crate::simulation::cores;

/// Maximum time until all jobs have ended after the last fault, in milliseconds.
const COMPLETION_MS: u64 = 180_000;

pub fn random_job(cell: &mut Cell) -> (JobSpec, Option<u32>) {
    let rng = &mut cell.rng;
    let steps = rng.random_range(1..=3);
    let mut spec = JobSpec {
        payload: "run".into(),
        ..JobSpec::default()
    };
    for i in 0..steps {
        let estimate_ms = match rng.random_range(0..4) {
            0 => rng.random_range(100..400),
            1 => rng.random_range(400..2_000),
            2 => rng.random_range(2_000..6_000),
            _ => rng.random_range(6_000..16_000),
        };
        let chained = i > 0 && rng.random_bool(0.5);
        spec.steps.push(Step {
            count: rng.random_range(1..5),
            amount: cores(rng.random_range(1..5)),
            estimate_ms,
            after: if chained { vec![i - 1] } else { Vec::new() },
            gang: rng.random_bool(0.25),
            checkpoints: rng.random_bool(0.4),
            long_running: i + 1 == steps && rng.random_bool(0.2),
            ..Step::default()
        });
    }
    let failing = rng.random_bool(0.15).then(|| rng.random_range(0..steps));
    (spec, failing)
}

pub fn random_chances(cell: &mut Cell) -> Chances {
    let rng = &mut cell.rng;
    let mut chances = Chances::default();
    match rng.random_range(0..6) {
        0 => chances.lost = rng.random_range(0.2..=1.0),
        1 => chances.late = rng.random_range(0.1..0.8),
        2 => chances.unanswered = rng.random_range(0.2..=1.0),
        3 => {
            chances.lost = 0.2;
            chances.late = 0.2;
            chances.unanswered = 0.2;
        }
        _ => {}
    }
    chances
}

fn inject_fault(cell: &mut Cell) {
    let index = cell.rng.random_range(0..cell.minions.len());
    match cell.rng.random_range(0..18) {
        0..3 => {
            let gap = [0, 50, 900, 2_000][cell.rng.random_range(0..4)];
            let overlap = [0, 0, 300, 5_000][cell.rng.random_range(0..4)];
            cell.take_over(gap, overlap);
        }
        3 => {
            cell.faults.start = random_chances(cell);
            cell.faults.refused = cell.rng.random_range(0.0..0.5);
        }
        4..6 => cell.faults.stop = random_chances(cell),
        6 => cell.faults.hold = random_chances(cell),
        7 => {
            let until = cell.now + cell.rng.random_range(100..9_000);
            cell.minions[index].unreachable_until = until;
        }
        8 => {
            let down = cell.rng.random_range(0..2_000);
            cell.restart(index, down);
        }
        9 => cell.unlist(index),
        10 if !cell.minions[index].listed => cell.list(index),
        10 | 11 => cell.change_address(index),
        12 => {
            let drain = cell.rng.random_range(500..5_000);
            cell.drain(index, drain);
        }
        13 => cell.faults.log_down = !cell.faults.log_down,
        14 => cell.faults.commit_ms = cell.rng.random_range(0..1_500),
        15 | 16 => {
            for _ in 0..cell.rng.random_range(2..5) {
                cell.take_over(0, 0);
                let pause = cell.rng.random_range(20..800);
                cell.run(pause);
            }
        }
        _ => cell.faults.read_ms = cell.rng.random_range(0..1_000),
    }
}

fn cancel_some(cell: &mut Cell) {
    let open: Vec<JobKey> = cell.jobs.iter().map(|j| j.key).collect();
    for key in open {
        let ended = matches!(cell.state(key), JobState::Ended(_));
        if !ended && cell.rng.random_bool(0.15) {
            let through_leader = cell.rng.random_bool(0.5);
            cell.cancel(key, through_leader);
        }
    }
}

fn submit_some(cell: &mut Cell, max: usize) {
    for _ in 0..cell.rng.random_range(0..=max) {
        let (spec, failing) = random_job(cell);
        let queue = ["urgent", "batch"][cell.rng.random_range(0..2)];
        let key = cell.jobs.len() as u64;
        if !cell.faults.log_down {
            cell.submit(key, queue, spec, failing);
        }
    }
}

/// Runs a random sequence: phases with faults, with calm stretches between some of them.
fn run(seed: u64) {
    let mut cell = Cell::new([2, 3, 6][(seed % 3) as usize], seed);
    for _ in 0..cell.rng.random_range(3..6) {
        submit_some(&mut cell, 5);
        for _ in 0..cell.rng.random_range(1..10) {
            submit_some(&mut cell, 1);
            inject_fault(&mut cell);
            let pause = [20, 100, 500, 2_500][cell.rng.random_range(0..4)];
            let before = cell.rng.random_range(0..=pause);
            cell.run(before);
            if cell.rng.random_bool(0.5) {
                cancel_some(&mut cell);
                let after = cell.rng.random_range(0..=pause);
                cell.run(after);
            }
        }
        if cell.rng.random_bool(0.7) {
            cell.clear_faults();
            let calm = cell.rng.random_range(500..14_000);
            cell.run(calm);
        }
    }
    finish(&mut cell);
}

/// Ends all faults, cancels the jobs that do not end by themselves and asserts that all jobs end.
pub fn finish(cell: &mut Cell) {
    cell.clear_faults();
    cell.run(14_000);
    cell.clear_faults();
    for i in 0..cell.jobs.len() {
        let job = &cell.jobs[i];
        let lasting = job.spec.steps.iter().any(|s| s.long_running);
        if lasting && !matches!(cell.state(job.key), JobState::Ended(_)) {
            let key = job.key;
            cell.cancel(key, false);
        }
    }
    let ended = |cell: &Cell| {
        let is_ended = |key| matches!(cell.state(key), JobState::Ended(_));
        cell.jobs.iter().all(|j| is_ended(j.key))
            && cell.minions.iter().all(|m| m.running.is_empty())
    };
    assert!(
        cell.run_until(COMPLETION_MS, ended),
        "jobs without an end: {:?}",
        cell.jobs
            .iter()
            .filter(|j| !matches!(cell.state(j.key), JobState::Ended(_)))
            .map(|j| j.key)
            .collect::<Vec<_>>()
    );
}

/// Guards against runs that go on after their job was cancelled or has failed, and against the
/// other faults that [`Cell`] detects.
#[rstest]
fn runs_of_ended_jobs_stop_under_faults(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 18, 19, 20, 22, 29, 37, 47, 57)] seed: u64,
) {
    if std::env::var_os("PRIMROSEBAY_CELL_SEED").is_none() {
        run(seed);
    }
}

/// Runs the seeds that the environment selects; none by default.
#[test]
fn runs_of_ended_jobs_stop_for_chosen_seeds() {
    let number = |name| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    if let Some(seed) = number("PRIMROSEBAY_CELL_SEED") {
        run(seed);
    }
    let mut failed = Vec::new();
    let first = number("PRIMROSEBAY_CELL_FIRST").unwrap_or(0);
    for seed in first..first + number("PRIMROSEBAY_CELL_SEEDS").unwrap_or(0) {
        if std::panic::catch_unwind(|| run(seed)).is_err() {
            println!("seed {seed} failed");
            failed.push(seed);
        }
    }
    assert!(
        failed.is_empty(),
        "{} seeds failed: {failed:?}",
        failed.len()
    );
}
