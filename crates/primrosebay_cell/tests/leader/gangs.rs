//! Wide gangs that need advice, on a cell of 1,100 minions.
//!
//! 14 s after the end of the traffic all that could run has run or runs, whatever changes of the
//! leader there were.

use primrosebay_cell::job::{JobKey, JobSpec};
use primrosebay_cell::leader::DirectoryChange;
use rstest::rstest;

use crate::simulation::{Simulation, cores, job, now_at};

/// Time after the end of the traffic by which all that could run has run or runs, in milliseconds.
const FINISH_MS: u64 = 14_000;

/// Time between two changes of the leader, in milliseconds.
const CHANGE_MS: u64 = 3_000;

/// Time for which a cell in which nothing changes is observed, in milliseconds. The simulated leader
/// appends nothing meanwhile, so that runs lose their leases after 13 s.
const IDLE_MS: u64 = 5_000;

/// Creates a cell of 1,100 minions with `free` free cores each, `members` instances and an advice
/// service that allows a quarter of the minions. Tasks do not end.
fn large_cell(members: usize, free: u64) -> Simulation {
    let mut sim = Simulation::new(1_100);
    for i in 0..sim.minions.len() {
        sim.minions[i].capacity = cores(free);
        sim.minions[i].stalled = true;
        let entry = sim.entry(i);
        sim.leader
            .on_directory(DirectoryChange::Listed(entry), now_at(sim.now));
    }
    sim.set_members(members);
    sim.set_advice("batch", 410.0, 5.8);
    sim.allow_one_in = 4;
    sim.run(100);
    sim
}

/// Returns a gang of `count` tasks of 18 cores.
fn gang(count: u32) -> JobSpec {
    let mut spec = job(count, cores(18));
    spec.steps[0].gang = true;
    spec
}

/// Returns whether all tasks of a gang run.
fn is_running(sim: &Simulation, key: JobKey, count: u32) -> bool {
    let runs = sim.minions.iter().flat_map(|m| &m.running);
    runs.filter(|r| r.task.step.job == key).count() == count as usize
}

/// A gang needs more allowed minions than one advice call can name. Guards against renewals that
/// name the same minions each time, and against calls that ask about fewer new minions the more
/// allowed ones are known: the gang never starts although there is room for it twice over.
#[rstest]
#[case(137, 32, 147)]
#[case(240, 36, 147)]
#[case(137, 32, 8)]
fn wide_gang_starts(#[case] count: u32, #[case] free: u64, #[case] members: usize) {
    let mut sim = large_cell(members, free);
    let key = sim.submit(1, "batch", &gang(count));
    sim.run_until(FINISH_MS, |s| is_running(s, key, count));
}

/// The leader changes three times, each time while a wide gang waits for advice. Guards against
/// advice that takes longer than a leader lasts.
#[rstest]
#[case(137, 32)]
#[case(240, 36)]
fn wide_gangs_start_after_changes_of_the_leader(#[case] count: u32, #[case] free: u64) {
    let mut sim = large_cell(147, free);
    let mut keys = Vec::new();
    for key in 1..=3 {
        sim.run(CHANGE_MS - 500);
        keys.push(sim.submit(key, "batch", &gang(count)));
        sim.run(500);
        sim.take_over();
    }
    sim.run_until(FINISH_MS, |s| keys.iter().all(|k| is_running(s, *k, count)));
}

/// Wide gangs arrive together. Guards against a few that use all instances for their calls while
/// none gets as many as it needs.
#[test]
fn simultaneous_wide_gangs_start() {
    let mut sim = large_cell(147, 36);
    let keys: Vec<JobKey> = (1..=8)
        .map(|key| sim.submit(key, "batch", &gang(120)))
        .collect();
    sim.run_until(FINISH_MS, |s| keys.iter().all(|k| is_running(s, *k, 120)));
}

/// Many wide gangs arrive together, each of which runs for a second. Guards against gangs that keep
/// the minions found so far for themselves while they look for more: hardly any finds enough, and the
/// cell is mostly idle.
#[test]
fn gangs_that_look_for_minions_do_not_keep_others_from_them() {
    let mut sim = large_cell(147, 36);
    for minion in &mut sim.minions {
        minion.stalled = false;
    }
    let mut waiting: Vec<JobKey> = (1..=60)
        .map(|key| sim.submit(key, "batch", &gang(137)))
        .collect();
    let finish = sim.now + FINISH_MS;
    while sim.now < finish {
        sim.run(100);
        waiting.retain(|key| !is_running(&sim, *key, 137));
    }
    assert!(waiting.is_empty(), "{} of 60 not started", waiting.len());
}

/// A gang needs more minions than the advice allows, and another one of its size arrives after it.
/// Guards against a gang that can never start and keeps minions from others.
#[test]
fn gang_that_never_fits_does_not_keep_others_waiting() {
    let mut sim = large_cell(147, 32);
    let key = sim.submit(1, "batch", &gang(400));
    sim.run(FINISH_MS);
    assert!(!is_running(&sim, key, 400));
    let keys = [2, 3].map(|key| sim.submit(key, "batch", &gang(137)));
    sim.run_until(FINISH_MS, |s| keys.iter().all(|k| is_running(s, *k, 137)));
    let calls = sim.advice_calls.len();
    sim.run(IDLE_MS);
    assert_eq!(sim.advice_calls.len(), calls, "calls in vain");
}

/// A third of the instances does not answer, and the leader has not learned of it. Guards against a
/// wide gang that waits for calls of such instances, round after round.
#[test]
fn wide_gang_starts_while_instances_do_not_answer() {
    let mut sim = large_cell(147, 32);
    sim.gone = (0..147)
        .filter(|i| i % 3 == 0)
        .map(|i| format!("node-{i}").into())
        .collect();
    let key = sim.submit(1, "batch", &gang(137));
    sim.run_until(FINISH_MS, |s| is_running(s, key, 137));
}
