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
