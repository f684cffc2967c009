//! Random sequences of faults and submissions. The invariants are checked after each message.
//!
//! `PRIMROSEBAY_CASES` sets the number of sequences, `PRIMROSEBAY_SEED` the first seed, and
//! `PRIMROSEBAY_SHRINK` the maximum number of iterations that shrink a failing sequence.

use primrosebay_coordination::zone::Event;
use primrosebay_state::config::ZoneState;
use primrosebay_state::job::{JobSpec, Policy, Repeat};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::simulation::{Simulation, cores};

/// Number of sequences if `PRIMROSEBAY_CASES` is not set.
const DEFAULT_CASES: u64 = 200;
const NODES: usize = 4;
const WORKERS: usize = 6;

/// One step of a sequence. Candidates, workers and zones are given by index.
#[derive(Debug, Clone)]
enum Step {
    /// Runs the simulation for some milliseconds.
    Run(u64),
    Submit {
        zone: usize,
        tasks: u32,
        cores: u64,
        /// Run time of each task in milliseconds.
        run: u64,
        /// Selects the team, the policy and the repeat rule, and whether the job always fails.
        kind: u8,
    },
    /// Submits several small jobs at once.
    Burst {
        zone: usize,
        jobs: u32,
    },
    KillNode(usize),
    StartNode(usize),
    PauseNode(usize),
    ResumeNode(usize),
    StopNode(usize),
    KillWorker(usize),
    StartWorker(usize),
    /// Cuts the link between a candidate and a worker.
    CutLink(usize, usize),
    /// Holds back the requests of a candidate to a worker.
    StallLink(usize, usize),
    /// Cuts a candidate off from the log.
    CutFromLog(usize),
    /// Restores all links between candidates, workers and the log.
    Reconnect,
    /// Sets whether all attempts on a worker fail.
    SetFailing(usize, bool),
    SetNetwork {
        max_delay_ms: u64,
        loss_percent: u32,
        duplicate_percent: u32,
    },
    SetLog {
        down: bool,
        reply_loss_percent: u32,
    },
    /// Takes a zone out of service if true, or puts it back.
    SetZoneOut(usize, bool),
    Cancel(prop::sample::Index),
    CancelAll,
    Move(prop::sample::Index),
}

fn step() -> impl Strategy<Value = Step> {
    let zone = 0..2_usize;
    let (node, worker) = (0..NODES, 0..WORKERS);
    let index = any::<prop::sample::Index>();
    prop_oneof![
        10 => prop_oneof![1..500_u64, 500..3_000_u64, 3_000..25_000_u64].prop_map(Step::Run),
        6 => (zone.clone(), 1..5_u32, 1..4_u64, 100..15_000_u64, 0..8_u8).prop_map(
            |(zone, tasks, cores, run, kind)| Step::Submit { zone, tasks, cores, run, kind }),
        1 => (zone.clone(), 3..10_u32).prop_map(|(zone, jobs)| Step::Burst { zone, jobs }),
        2 => node.clone().prop_map(Step::KillNode),
        2 => node.clone().prop_map(Step::StartNode),
        2 => node.clone().prop_map(Step::PauseNode),
        2 => node.clone().prop_map(Step::ResumeNode),
        1 => node.clone().prop_map(Step::StopNode),
        1 => worker.clone().prop_map(Step::KillWorker),
        1 => worker.clone().prop_map(Step::StartWorker),
        2 => (node.clone(), worker.clone()).prop_map(
            |(node, worker)| Step::StallLink(node, worker)),
        1 => node.clone().prop_map(Step::CutFromLog),
        3 => (node, worker.clone()).prop_map(|(node, worker)| Step::CutLink(node, worker)),
        1 => Just(Step::Reconnect),
        1 => (worker, any::<bool>()).prop_map(|(worker, on)| Step::SetFailing(worker, on)),
        2 => (prop_oneof![Just(4_u64), Just(300), Just(3_000)], 0..30_u32, 0..30_u32).prop_map(
            |(max_delay_ms, loss_percent, duplicate_percent)| Step::SetNetwork {
                max_delay_ms, loss_percent, duplicate_percent }),
        2 => (any::<bool>(), prop_oneof![Just(0_u32), Just(60)]).prop_map(
            |(down, reply_loss_percent)| Step::SetLog { down, reply_loss_percent }),
        1 => (zone, any::<bool>()).prop_map(|(zone, out)| Step::SetZoneOut(zone, out)),
        1 => index.clone().prop_map(Step::Cancel),
        1 => Just(Step::CancelAll),
        1 => index.prop_map(Step::Move),
    ]
}

const ZONES: [&str; 2] = ["a", "b"];

fn submit(sim: &mut Simulation, number: usize, step: &Step) {
    let &Step::Submit {
        zone,
        tasks,
        cores: size,
        run,
        kind,
    } = step
    else {
        return;
    };
    let spec = JobSpec {
        name: format!("{}{number}", if kind == 7 { "bad" } else { "job" }).into(),
        team: if kind % 2 == 0 { "t" } else { "u" }.into(),
        tasks: if kind == 6 { tasks.min(2) } else { tasks },
        policy: if kind == 6 {
            Policy::Gang
        } else {
            Policy::Batch
        },
        repeat: if kind < 3 {
            Repeat::Once
        } else {
            Repeat::Idempotent
        },
        resources: cores(size),
        run_ms: run,
        ..JobSpec::default()
    };
    sim.submit(ZONES[zone], spec);
}

fn apply(sim: &mut Simulation, number: usize, step: &Step) {
    match step {
        Step::Run(ms) => sim.run(*ms),
        Step::Submit { .. } => submit(sim, number, step),
        Step::Burst { zone, jobs } => {
            for i in 0..*jobs {
                let (zone, kind) = (*zone, 3 + u8::from(i % 2 == 0));
                let job = Step::Submit {
                    zone,
                    tasks: 2,
                    cores: 1,
                    run: 1_000,
                    kind,
                };
                submit(sim, 1_000 * (number + 1) + i as usize, &job);
            }
        }
        Step::KillNode(node) => sim.kill_node(*node),
        Step::StartNode(node) => sim.start_node(*node),
        Step::PauseNode(node) => sim.pause(*node),
        Step::ResumeNode(node) => sim.resume(*node),
        Step::StopNode(node) => sim.stop_node(*node),
        Step::KillWorker(worker) => sim.kill_worker(*worker),
        Step::StartWorker(worker) => sim.start_worker(*worker),
        Step::CutLink(node, worker) => {
            sim.cut_links.insert((*node, *worker));
        }
        Step::StallLink(node, worker) => sim.stall(*node, *worker),
        Step::Reconnect => {
            sim.cut_links.clear();
            sim.release();
            sim.faults.log_unreachable.clear();
        }
        Step::CutFromLog(node) => {
            sim.faults.log_unreachable.insert(*node);
        }
        Step::SetFailing(worker, on) => sim.workers[*worker].failing = *on,
        Step::SetNetwork {
            max_delay_ms,
            loss_percent,
            duplicate_percent,
        } => {
            (sim.faults.max_delay_ms, sim.faults.loss_percent) = (*max_delay_ms, *loss_percent);
            sim.faults.duplicate_percent = *duplicate_percent;
        }
        Step::SetLog {
            down,
            reply_loss_percent,
        } => {
            (sim.faults.log_down, sim.faults.reply_loss_percent) = (*down, *reply_loss_percent);
        }
        Step::SetZoneOut(zone, out) => {
            let state = if *out { ZoneState::Out } else { ZoneState::In };
            sim.set_zone(ZONES[*zone], state);
        }
        Step::Cancel(_) | Step::Move(_) if sim.jobs.is_empty() => {}
        Step::Cancel(index) => {
            let job = index.get(&sim.jobs).id;
            let zone = sim.home(job);
            sim.broadcast(&zone, &Event::Cancel { job });
        }
        Step::CancelAll => {
            for job in sim.jobs.iter().map(|job| job.id).collect::<Vec<_>>() {
                let zone = sim.home(job);
                sim.broadcast(&zone, &Event::Cancel { job });
            }
        }
        Step::Move(index) => {
            let job = index.get(&sim.jobs).id;
            let home = sim.home(job);
            let zone = if &*home == "a" { "b" } else { "a" }.into();
            sim.broadcast(&home, &Event::Move { job, zone });
        }
    }
}

fn run(seed: u64, steps: &[Step]) -> Result<(), TestCaseError> {
    let mut sim = Simulation::new(seed, &[("a", 3, 4), ("b", 1, 2)], 4, 12);
    sim.run(4_000);
    for (number, step) in steps.iter().enumerate() {
        apply(&mut sim, number, step);
        prop_assert!(sim.violations.is_empty(), "{}", sim.summary());
    }
    sim.heal();
    // Long enough for the maximum retry delay and for all leases to expire.
    for _ in 0..20 {
        sim.run(20_000);
        // An instance that was still stopping when the faults ended is started now.
        (0..NODES).for_each(|node| sim.start_node(node));
        prop_assert!(sim.violations.is_empty(), "{}", sim.summary());
        if sim.jobs.iter().all(|job| sim.outcome(job.id).is_some()) {
            break;
        }
    }
    sim.check_end();
    prop_assert!(sim.violations.is_empty(), "{}", sim.summary());
    Ok(())
}

fn env_number(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).unwrap_or_default();
    text.parse().unwrap_or(default)
}

/// Guards against interleavings of faults that break an invariant or lose an accepted job.
#[test]
fn random_sequences_keep_the_invariants() {
    let first = env_number("PRIMROSEBAY_SEED", 0);
    let max_shrinks = u32::try_from(env_number("PRIMROSEBAY_SHRINK", 500))
        .expect("PRIMROSEBAY_SHRINK fits into u32");
    for seed in first..first + env_number("PRIMROSEBAY_CASES", DEFAULT_CASES) {
        let config = Config {
            cases: 1,
            failure_persistence: None,
            max_shrink_iters: max_shrinks,
            ..Config::default()
        };
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&seed.to_le_bytes());
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
        let mut runner = TestRunner::new_with_rng(config, rng);
        let steps = prop::collection::vec(step(), 5..60);
        let result = runner.run(&steps, |steps| run(seed, &steps));
        if let Err(error) = result {
            panic!("seed {seed}: {error}");
        }
    }
}
