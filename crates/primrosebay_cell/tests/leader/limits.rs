//! Steps that cannot start now, and what they may keep from others.

use primrosebay_cell::config::Account;
use primrosebay_cell::job::JobKey;
use primrosebay_state::resources::Resources;
use rstest::rstest;

use crate::simulation::{Simulation, cores, job};

/// Time after which the jobs of these tests have expired, in milliseconds: three times their
/// longest objective of 4,000 ms.
const EXPIRED_MS: u64 = 13_000;

/// Why the steps of a backlog cannot start.
#[derive(Debug, Clone, Copy)]
enum Cause {
    /// The limit of their account is used up.
    Limit,
    /// A task needs more than the limit of their account.
    TaskAboveLimit,
    /// The advice service does not answer.
    Advice,
    /// No minion has the label that they require.
    Label,
}

/// Creates a cell with the second account `other`, which has no limit.
fn cell(minions: usize, limit: Resources) -> Simulation {
    let mut sim = Simulation::new(minions);
    sim.config.accounts[0].limit = limit;
    sim.config.accounts[0].weight = 10_000;
    sim.config.accounts.push(Account {
        name: "other".into(),
        weight: 10_000,
        limit: Resources::ZERO,
    });
    sim.leader.set_config(&sim.config);
    sim
}

fn has_started(sim: &Simulation, key: JobKey) -> bool {
    sim.starts.iter().any(|s| s.task.step.job == key)
}

/// Guards against a task of a lost minion that is never started again, because expired steps that
/// cannot start precede it and use up each pass.
#[rstest]
fn backlog_that_cannot_start_does_not_hide_other_jobs(
    #[values(Cause::Limit, Cause::TaskAboveLimit, Cause::Advice, Cause::Label)] cause: Cause,
    #[values(500, 6_000)] backlog: u64,
) {
    let limit = match cause {
        Cause::Limit | Cause::TaskAboveLimit => cores(1),
        Cause::Advice | Cause::Label => Resources::ZERO,
    };
    let mut sim = cell(4, limit);
    for minion in &mut sim.minions {
        minion.unreachable = true;
    }
    sim.run(3_000);
    let mut spec = job(1, cores(1));
    match cause {
        Cause::Limit => {}
        Cause::TaskAboveLimit => spec.steps[0].amount = cores(2),
        Cause::Advice => {
            sim.set_advice("batch", 9.0, 0.1);
            sim.advice_down = true;
        }
        Cause::Label => spec.steps[0].label = Some("absent".into()),
    }
    for key in 0..backlog {
        sim.submit(key, "batch", &spec);
    }
    // The older jobs come first once all have expired.
    sim.config.queues[0].priority = 2;
    sim.config.queues[0].target_ms = 2_000;
    sim.leader.set_config(&sim.config);
    let key = sim.submit_for("other", 100_000, "urgent", &job(1, cores(1)));
    sim.now += EXPIRED_MS;
    for minion in &mut sim.minions {
        minion.unreachable = false;
    }
    sim.run_until(3_000, |s| has_started(s, key));
}

/// Guards against a gang or task above the limit of its account that keeps the account's other jobs
/// from running although it can never start itself.
#[rstest]
#[case::gang(20, 1, true)]
#[case::task(1, 16, false)]
fn step_above_its_limit_does_not_block_the_account(
    #[case] count: u32,
    #[case] size: u64,
    #[case] gang: bool,
) {
    let mut sim = cell(4, cores(12));
    let mut wide = job(count, cores(size));
    wide.steps[0].gang = gang;
    wide.steps[0].estimate_ms = 16_000;
    let wide = sim.submit(1, "urgent", &wide);
    let small = sim.submit(2, "batch", &job(2, cores(1)));
    sim.run_until(100, |s| has_started(s, small));
    assert!(!has_started(&sim, wide), "the limit is exceeded");
    // The wide step starts as soon as a higher limit allows it.
    sim.config.accounts[0].limit = cores(32);
    sim.leader.set_config(&sim.config);
    sim.run_until(2_000, |s| has_started(s, wide));
}

/// Guards against a step that no minion can ever hold and that keeps its account's other jobs from
/// running while the account uses a part of its limit.
#[rstest]
#[case::absent_label(1, 8, Some("absent"))]
#[case::task_larger_than_each_minion(1, 20, None)]
#[case::gang_larger_than_the_cell(5, 14, None)]
fn step_without_a_minion_does_not_block_the_account(
    #[case] count: u32,
    #[case] size: u64,
    #[case] label: Option<&str>,
) {
    let mut sim = cell(4, cores(u64::from(count) * size));
    for minion in &mut sim.minions {
        minion.stalled = true;
    }
    let running = sim.submit(1, "batch", &job(1, cores(1)));
    sim.run_until(100, |s| has_started(s, running));
    let mut hopeless = job(count, cores(size));
    hopeless.steps[0].gang = count > 1;
    hopeless.steps[0].label = label.map(Into::into);
    hopeless.steps[0].estimate_ms = 16_000;
    sim.submit(2, "urgent", &hopeless);
    let small = sim.submit(3, "batch", &job(1, cores(1)));
    sim.run_until(100, |s| has_started(s, small));
}

/// Guards against the opposite fault: less urgent jobs of the account that use up its limit, so that
/// a gang within it never starts.
#[test]
fn gang_within_its_limit_precedes_less_urgent_jobs_of_the_account() {
    let mut sim = cell(4, cores(16));
    for key in 0..8 {
        sim.submit(key, "batch", &job(1, cores(2)));
    }
    sim.run(100);
    let mut gang = job(16, cores(1));
    gang.steps[0].gang = true;
    gang.steps[0].estimate_ms = 16_000;
    let gang = sim.submit(100, "urgent", &gang);
    for key in 0..40 {
        sim.submit(200 + key, "batch", &job(1, cores(2)));
        sim.run(50);
    }
    assert!(has_started(&sim, gang));
}

/// Half of an account's limit is free, and a gang that needs more than that waits with time left.
/// Guards against a small job of the account that waits behind the gang with nothing running: 14 s
/// after the end of the traffic it has to run.
#[test]
fn gang_at_the_limit_of_its_account_does_not_keep_jobs_idle() {
    let mut sim = cell(20, cores(100));
    for minion in &mut sim.minions {
        minion.stalled = true;
    }
    let mut long = job(4, cores(10));
    long.steps[0].estimate_ms = 30_000;
    let running = sim.submit(1, "batch", &long);
    sim.run_until(1_000, |s| has_started(s, running));
    let mut gang = job(7, cores(10));
    gang.steps[0].gang = true;
    gang.steps[0].estimate_ms = 30_000;
    sim.submit(2, "batch", &gang);
    let mut small = job(1, cores(10));
    small.steps[0].estimate_ms = 60_000;
    let small = sim.submit(3, "batch", &small);
    long.steps[0].amount = cores(1);
    for second in 0..14 {
        // Appends keep the leases of the runs in force.
        sim.submit_for("other", 10 + second, "batch", &long);
        sim.run(1_000);
        assert_eq!(sim.starts.iter().filter(|s| s.run > 1).count(), 0);
    }
    assert!(has_started(&sim, small), "the small job waits");
}
