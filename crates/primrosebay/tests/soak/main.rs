//! A randomized soak of real member processes under faults from outside.
//!
//! Members are killed, stopped, paused and restarted, the store fails or loses answers, connections
//! to it are disturbed by a proxy, and minions fall silent. The soak checks what callers and
//! minions see: an accepted job is completed, nothing runs twice or after its end, no minion holds
//! more than it has, and a refused job never runs.
//!
//! `PRIMROSEBAY_SOAK_SEEDS=50 cargo test --release -p primrosebay --test soak` runs 50 fresh seeds;
//! `PRIMROSEBAY_SOAK_SEED=7` runs one seed.

mod cell;

use std::time::Duration;

use async_std::task;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use cell::{Cell, FAULTS};

/// Steps of the disturbed part of a run.
const STEPS: u32 = 30;

/// Longest pause between two steps.
const STEP_MS: u64 = 300;

/// How long jobs may take to end once nothing is disturbed any more. It covers the time after which
/// a successor gives up a minion, and a lease.
const SETTLE: Duration = Duration::from_secs(40);

async fn run(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut cell = Cell::start().await;
    cell.wait_ready().await;
    for _ in 0..STEPS {
        cell.submit(&mut rng).await;
        if rng.random_bool(0.6) {
            let fault = rng.random_range(0..FAULTS);
            cell.disturb(fault, &mut rng);
        }
        task::sleep(Duration::from_millis(rng.random_range(20..STEP_MS))).await;
        cell.check(seed);
    }
    cell.heal();
    cell.settle(seed, SETTLE).await;
}

/// Seeds that run in CI. Each seed that ever failed stays here with its cause.
#[rstest]
fn faults_from_outside_break_no_promise(#[values(1, 2, 9_589_108_563_042_778_488)] seed: u64) {
    if std::env::var_os("PRIMROSEBAY_SOAK_SEED").is_none() {
        task::block_on(run(seed));
    }
}

/// Guards against "no such job" from a member that has not yet read what another one accepted. The
/// soak found it with seed 9589108563042778488, 260 ms after the job was accepted.
#[test]
fn accepted_job_is_known_at_every_member_at_once() {
    task::block_on(async {
        let mut cell = Cell::start().await;
        cell.wait_ready().await;
        for key in 1..=20 {
            assert_eq!(cell.submit_and_look(key).await, Some(200));
        }
    });
}

/// Guards against log lines that are lost because the process ends before they are written.
#[test]
fn member_that_stops_writes_its_last_line() {
    task::block_on(async {
        let mut cell = Cell::start().await;
        cell.wait_ready().await;
        let log = cell.stop_and_read(0);
        assert!(log.ends_with('\n'));
        assert!(log.lines().last().unwrap().contains("member: stopped"));
    });
}

/// Runs the seeds that the environment asks for.
#[test]
fn seeds_of_the_environment_break_no_promise() {
    let number = |name| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    if let Some(seed) = number("PRIMROSEBAY_SOAK_SEED") {
        task::block_on(run(seed));
    }
    for _ in 0..number("PRIMROSEBAY_SOAK_SEEDS").unwrap_or(0) {
        let seed = rand::random();
        println!("seed {seed}");
        task::block_on(run(seed));
    }
}
