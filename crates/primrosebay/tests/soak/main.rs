//! A randomized soak test of member processes under injected faults.
//!
//! Members are killed, stopped, paused and restarted; the store is unavailable or loses answers; a
//! proxy disturbs the connections to the store; minions do not answer. The test checks invariants
//! that callers and minions can observe: an accepted job completes, a task has at most one run at a
//! time and none after its end, no minion exceeds its capacity, and a refused job never runs.
//!
//! `PRIMROSEBAY_SOAK_SEEDS=50 cargo test --release -p primrosebay --test soak` runs 50 random
//! seeds; `PRIMROSEBAY_SOAK_SEED=7` runs only seed 7.

mod cell;

use std::time::Duration;

use async_std::task;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use cell::{Cell, FAULT_CODES, wait_until};
use primrosebay_platform_standin::MinionFault;

/// Number of steps in a run. Each step submits a job and may inject a fault.
const STEPS: u32 = 30;

/// Maximum pause between two steps, in milliseconds.
const MAX_PAUSE_MS: u64 = 300;

/// Maximum time until all jobs complete after the last fault has ended. Covers the lease and the
/// additional time that a new leader waits before it restarts the tasks of an unreachable minion.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(40);

/// Maximum time from the acknowledgement of a cancellation until the runs of the job are stopped,
/// without the time that a stop takes. One of the platform's rules.
const CANCEL_TIME: Duration = Duration::from_secs(3);

/// Maximum time that a minion takes to stop a run.
const STOP_TIME: Duration = Duration::from_millis(200);

/// Runs the soak test with one seed.
async fn run(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut cell = Cell::start().await;
    cell.wait_ready().await;
    for _ in 0..STEPS {
        cell.submit(&mut rng).await;
        if rng.random_bool(0.6) {
            let fault = rng.random_range(0..FAULT_CODES);
            cell.inject_fault(fault, &mut rng);
        }
        task::sleep(Duration::from_millis(rng.random_range(20..MAX_PAUSE_MS))).await;
        cell.check_invariants(seed);
    }
    cell.clear_faults();
    cell.wait_for_completion(seed, COMPLETION_TIMEOUT).await;
}

/// Runs the fixed seeds of CI. Every seed that has failed is kept here with its cause:
/// 9589108563042778488 got "no such job" for an accepted job, see
/// `accepted_job_is_known_to_all_members`.
#[rstest]
fn invariants_hold_under_faults(#[values(1, 2, 9_589_108_563_042_778_488)] seed: u64) {
    if std::env::var_os("PRIMROSEBAY_SOAK_SEED").is_none() {
        task::block_on(run(seed));
    }
}

/// Guards against "no such job" from a member that has not yet read the records of a job that
/// another member accepted. Found by soak seed 9589108563042778488, 260 ms after the job was
/// accepted.
#[test]
fn accepted_job_is_known_to_all_members() {
    task::block_on(async {
        let mut cell = Cell::start().await;
        cell.wait_ready().await;
        for key in 1..=20 {
            assert_eq!(cell.submit_and_read(key).await, Some(200));
        }
    });
}

/// Guards against log lines that are lost because the process exits before they are written.
#[test]
fn stopped_member_writes_last_log_line() {
    task::block_on(async {
        let mut cell = Cell::start().await;
        cell.wait_ready().await;
        let log = cell.stop_and_read(0);
        assert!(log.ends_with('\n'));
        assert!(log.lines().last().unwrap().contains("member: stopped"));
    });
}

/// Guards against runs of a cancelled job that continue under a new leader. The former leader has
/// recorded the outcome of the job, its stops were lost, and it was killed before it repeated them
/// with success.
#[test]
fn successor_stops_runs_of_cancelled_job() {
    task::block_on(async {
        let mut cell = Cell::start().await;
        cell.wait_ready().await;
        let job = "000000000000000a";
        cell.start_long_job(job, 6).await;
        cell.set_minion_faults(MinionFault::StopsLost);
        cell.cancel_with_runs(job).await;
        assert_eq!(cell.running_count(job), 6, "the stops have no effect");
        cell.replace_leader().await;
        let is_stopped = wait_until(CANCEL_TIME + STOP_TIME, || cell.running_count(job) == 0);
        assert!(
            is_stopped.await,
            "{} runs of the cancelled job continue",
            cell.running_count(job)
        );
    });
}

/// Runs the seeds that are selected by environment variables, if any.
#[test]
fn invariants_hold_for_selected_seeds() {
    let read_number = |name| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    if let Some(seed) = read_number("PRIMROSEBAY_SOAK_SEED") {
        task::block_on(run(seed));
    }
    for _ in 0..read_number("PRIMROSEBAY_SOAK_SEEDS").unwrap_or(0) {
        let seed = rand::random();
        println!("seed {seed}");
        task::block_on(run(seed));
    }
}
