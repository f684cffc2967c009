//! How long a task can stay in a state in which nothing of it runs, over several changes of the
//! leader. The bounds are those within which accepted tasks have to run.
//!
//! `PRIMROSEBAY_CELL_SEEDS=1000 cargo test --release -p primrosebay_cell --test leader waits` runs
//! 1,000 random sequences from 0 or `PRIMROSEBAY_CELL_FIRST` on.

use primrosebay_cell::job::{JobKey, JobSpec};
use primrosebay_cell::leader::Settings;
use rand::Rng;
use rstest::rstest;

use crate::ended_jobs::{random_chances, random_job};
use crate::network::{Cell, Chances};
use crate::simulation::{RUN_MS, Simulation, cores, job};

/// Time for which a job may have nothing running although it can run, in milliseconds.
const IDLE_MS: u64 = 3_000;

/// Time after the end of the traffic by which each job that can run has run again, in milliseconds.
const FINISH_MS: u64 = 14_000 + IDLE_MS;

/// Time after its last run by which a task that lasts runs again, in milliseconds.
const LASTING_MS: u64 = 6_000 + IDLE_MS;

const LOST: Chances = Chances {
    lost: 1.0,
    late: 0.0,
    unanswered: 0.0,
};

fn long_job(count: u32, gang: bool) -> JobSpec {
    let mut spec = job(count, cores(1));
    spec.steps[0].estimate_ms = 60 * RUN_MS;
    spec.steps[0].gang = gang;
    spec
}

fn lasting_job() -> JobSpec {
    let mut spec = job(1, cores(1));
    spec.steps[0].long_running = true;
    spec
}

fn running(cell: &Cell) -> usize {
    cell.minions.iter().map(|m| m.running.len()).sum()
}

/// Changes the leader `changes` times at intervals of 1.5 s.
fn change_leader(cell: &mut Cell, changes: u32) {
    for _ in 0..changes {
        cell.take_over(300, 0);
        cell.run(1_500);
    }
}

/// Sends the start of a job with `count` tasks, which no minion receives.
fn lose_start(cell: &mut Cell, count: u32) {
    cell.faults.start = LOST;
    cell.submit(1, "urgent", long_job(count, count > 1), None);
    cell.run(200);
    cell.faults.start = Chances::default();
}

/// Guards against a lost start that keeps its task, or all tasks of its gang, from running for longer
/// than the 3 s for which a job may have nothing running.
#[rstest]
fn task_of_lost_start_runs_in_time(#[values(1, 4)] count: u32, #[values(1, 2, 3, 4)] seed: u64) {
    let mut cell = Cell::new(6, seed);
    let wait = cell.rng.random_range(0..1_000);
    cell.run(wait);
    lose_start(&mut cell, count);
    let from = cell.now - 200;
    let done = cell.run_until(8_000, |c| running(c) == count as usize);
    let waited = cell.now - from;
    assert!(done && waited <= IDLE_MS, "{waited} ms");
}

/// Guards against a lost start whose stop gets no answer either, so that the task waits for as long as
/// answers are lost.
#[rstest]
fn task_of_lost_start_runs_without_an_answer_to_its_stop(
    #[values(0, 1, 2, 3)] changes: u32,
    #[values(1, 4)] count: u32,
    #[values(true, false)] proves_end: bool,
) {
    let mut cell = Cell::new(6, 1);
    cell.answers_terms = proves_end;
    cell.faults.stop = LOST;
    lose_start(&mut cell, count);
    let from = cell.now;
    change_leader(&mut cell, changes);
    let done = cell.run_until(20_000, |c| running(c) == count as usize);
    let waited = cell.now - from;
    assert!(done && waited <= FINISH_MS, "{waited} ms");
}

/// Guards against a second run of a task whose start is given up while its minion would still carry it
/// out. The cell fails the test when a task runs twice.
#[rstest]
fn late_start_is_not_given_up_too_early(#[values(true, false)] stops_are_lost: bool) {
    for seed in 0..200 {
        let mut cell = Cell::new(3, seed);
        if stops_are_lost {
            cell.faults.stop = LOST;
        }
        cell.faults.start.late = 1.0;
        cell.submit(1, "urgent", long_job(4, false), None);
        cell.run(200);
        cell.faults.start = Chances::default();
        cell.run(14_000);
        assert_eq!(running(&cell), 4);
    }
}

/// Guards against a lost start whose changes of the leader add up: the successor finds the run missing.
#[rstest]
fn task_of_lost_start_runs_soon_after_changes_of_the_leader(
    #[values(1, 2, 3)] changes: u32,
    #[values(true, false)] proves_end: bool,
) {
    let mut cell = Cell::new(6, 1);
    cell.answers_terms = proves_end;
    lose_start(&mut cell, 1);
    change_leader(&mut cell, changes);
    assert!(cell.run_until(IDLE_MS, |c| running(c) == 1));
}

/// Guards against waits for leases of a leader that is replaced for good that outlast what a task that
/// lasts may be away, when its minion is lost just before the leader.
#[rstest]
fn lasting_task_runs_again_in_time(
    #[values(1, 2, 3)] changes: u32,
    #[values(true, false)] proves_end: bool,
) {
    let mut cell = Cell::new(6, 1);
    cell.answers_terms = proves_end;
    cell.submit(1, "urgent", lasting_job(), None);
    assert!(cell.run_until(2_000, |c| running(c) == 1));
    cell.run(1_000);
    let index = cell.minions.iter().position(|m| !m.running.is_empty());
    cell.lose(index.expect("the task runs"));
    let lost = cell.now;
    cell.run(200);
    change_leader(&mut cell, changes);
    let done = cell.run_until(20_000, |c| running(c) == 1);
    let waited = cell.now - lost;
    // Calm begins with the last change.
    let bound = LASTING_MS.max(200 + u64::from(changes - 1) * 1_500 + 300 + 4_000 + IDLE_MS);
    assert!(done && waited <= bound, "{waited} ms");
}

/// Guards against the wait for a minion that has restarted, which counts from its start, when the minion
/// and the leader are lost soon after.
#[rstest]
fn lasting_task_of_restarted_minion_runs_again_in_time(#[values(true, false)] proves_end: bool) {
    let mut cell = Cell::new(6, 1);
    cell.answers_terms = proves_end;
    for index in 0..6 {
        cell.restart(index, 0);
    }
    cell.run(2_500);
    cell.submit(1, "urgent", lasting_job(), None);
    assert!(cell.run_until(2_000, |c| running(c) == 1));
    cell.run(500);
    let index = cell.minions.iter().position(|m| !m.running.is_empty());
    let index = index.expect("the task runs");
    let started_ms = cell.minions[index].started_ms;
    cell.lose(index);
    // The entry is there for some time still.
    cell.minions[index].started_ms = started_ms;
    cell.minions[index].listed = true;
    let lost = cell.now;
    cell.run(200);
    change_leader(&mut cell, 1);
    let done = cell.run_until(20_000, |c| running(c) == 1);
    let waited = cell.now - lost;
    assert!(done && waited <= LASTING_MS, "{waited} ms");
}

/// Guards against outages of the log that end running tasks: the longest known one is 6.3 s.
#[rstest]
fn running_tasks_outlast_an_outage_of_the_log(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    assert!(outlasts(&Settings::default(), 6_300, seed));
}

/// Guards against renewals that end too soon before the leader has to stop them, or begin too late
/// after the outage: the leases of 6 s that it may give for `renew_ms` have to be used but for 1.2 s.
#[rstest]
fn outage_of_the_log_is_outlasted_until_the_leases_end(
    #[values(2_000, 3_000, 7_000)] renew_ms: u64,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let settings = Settings {
        renew_ms,
        ..Settings::default()
    };
    assert!(outlasts(&settings, renew_ms + 4_800, seed));
}

/// Returns whether all running tasks outlast an outage of the log.
fn outlasts(settings: &Settings, outage_ms: u64, seed: u64) -> bool {
    let mut cell = Cell::new(6, seed);
    cell.settings = settings.clone();
    cell.take_over(0, 0);
    cell.run(1_000);
    cell.submit(1, "urgent", long_job(12, false), None);
    assert!(cell.run_until(2_000, |c| running(c) == 12));
    let wait = cell.rng.random_range(500..2_000);
    cell.run(wait);
    cell.faults.log_down = true;
    cell.run(outage_ms);
    cell.faults.log_down = false;
    cell.run(4_000);
    cell.starts.len() == 12
}

/// Fills each of four minions with two jobs that take longer than estimated, and leaves three quarters
/// of the resources free.
fn slow_cell() -> Simulation {
    let mut sim = Simulation::new(4);
    let filler = sim.submit(0, "urgent", &job(4, cores(12)));
    sim.run(100);
    let mut spec = job(1, cores(2));
    // Too long to be moved.
    spec.steps[0].estimate_ms = 2_000;
    for key in 1..=8 {
        sim.submit(key, "urgent", &spec);
        sim.run(50);
    }
    for minion in &mut sim.minions {
        minion.stalled = true;
    }
    sim.cancel(filler);
    sim
}

/// Guards against minions that are closed for new tasks for as long as work takes several times as
/// long as estimated, while the cell is mostly free.
#[test]
fn wrong_estimates_do_not_close_the_cell() {
    let mut sim = slow_cell();
    sim.run(8_000);
    for key in 20..30 {
        sim.submit(key, "urgent", &job(1, cores(4)));
        let starts = sim.starts.len();
        sim.run_until(IDLE_MS, |s| s.starts.len() > starts);
        sim.cancel(JobKey(key));
        sim.run(1_000);
    }
}

fn inject_fault(cell: &mut Cell) {
    let index = cell.rng.random_range(0..cell.minions.len());
    let span = cell.rng.random_range(100..12_000);
    match cell.rng.random_range(0..10) {
        0..3 => {
            let gap = [0, 50, 900, 2_000][cell.rng.random_range(0..4)];
            let overlap = [0, 0, 300, 5_000][cell.rng.random_range(0..4)];
            if cell.rng.random_bool(0.5) {
                cell.cut_off_leader(gap, overlap);
            } else {
                cell.take_over(gap, overlap);
            }
        }
        3 => cell.faults.start = random_chances(cell),
        4 => cell.faults.stop = random_chances(cell),
        5 => cell.faults.hold = random_chances(cell),
        6 => cell.minions[index].unreachable_until = cell.now + span,
        7 if cell.minions.iter().filter(|m| m.is_gone).count() < cell.minions.len() / 3 => {
            cell.lose(index);
        }
        8 if !cell.minions[index].is_gone => {
            let down = cell.rng.random_range(0..2_000);
            cell.restart(index, down);
        }
        9 => cell.answers_terms = !cell.answers_terms,
        _ => {}
    }
}

/// Runs a random sequence whose faults go on until the end of the traffic, and which ends with changes
/// of the leader.
fn run(seed: u64) {
    let mut cell = Cell::new([6, 9, 12][(seed % 3) as usize], seed);
    for _ in 0..cell.rng.random_range(4..16) {
        for _ in 0..cell.rng.random_range(0..=2) {
            let (spec, _) = random_job(&mut cell);
            let queue = ["urgent", "batch"][cell.rng.random_range(0..2)];
            let key = cell.jobs.len() as u64;
            cell.submit(key, queue, spec, None);
        }
        inject_fault(&mut cell);
        let pause = [20, 500, 2_500][cell.rng.random_range(0..3)];
        let pause = cell.rng.random_range(0..=pause);
        cell.run(pause);
    }
    for _ in 0..cell.rng.random_range(1..4) {
        let gap = cell.rng.random_range(0..1_000);
        cell.take_over(gap, 0);
        let pause = cell.rng.random_range(20..2_000);
        cell.run(pause);
    }
    cell.clear_faults();
    cell.traffic_end = Some(cell.now);
    cell.run(30_000);
}

/// Guards against jobs that have nothing running 14 s after the end of the traffic, and against tasks
/// that last and do not run again in time, after any sequence of such faults.
#[rstest]
fn tasks_run_in_time_after_faults(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    run(seed);
}

/// Runs the seeds that the environment selects; none by default.
#[test]
fn tasks_run_in_time_for_chosen_seeds() {
    let number = |name| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    let first = number("PRIMROSEBAY_CELL_FIRST").unwrap_or(0);
    let count = number("PRIMROSEBAY_CELL_SEEDS").unwrap_or(0);
    let seeds = first..first + count;
    let failed: Vec<u64> = seeds
        .filter(|seed| std::panic::catch_unwind(|| run(*seed)).is_err())
        .collect();
    assert!(failed.is_empty(), "{} failed: {failed:?}", failed.len());
}
