//! Random sequences of faults and submissions, with the invariants checked after each message.
//!
//! `PRIMROSEBAY_CASES` sets the number of sequences and `PRIMROSEBAY_SEED` the first seed; `PRIMROSEBAY_SHRINK` sets the
//! number of tries to find a shorter sequence that fails.

use primrosebay_coordination::zone::Event;
use primrosebay_state::config::ZoneState;
use primrosebay_state::job::{JobSpec, Policy, Repeat};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::world::{World, cores};

/// Sequences in the normal run.
const CASES: u64 = 200;
const NODES: usize = 4;
const WORKERS: usize = 6;

/// One step of a sequence.
#[derive(Debug, Clone)]
enum Step {
    Run(u64),
    Submit {
        zone: usize,
        tasks: u32,
        cores: u64,
        run: u64,
        kind: u8,
    },
    Burst {
        zone: usize,
        jobs: u32,
    },
    Kill(usize),
    Start(usize),
    Pause(usize),
    Wake(usize),
    Stop(usize),
    KillWorker(usize),
    StartWorker(usize),
    Cut(usize, usize),
    Stall(usize, usize),
    CutLog(usize),
    Join,
    Failing(usize, bool),
    Network {
        delay: u64,
        loss: u32,
        duplicates: u32,
    },
    Log {
        down: bool,
        lost_acks: u32,
    },
    Zone(usize, bool),
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
        2 => node.clone().prop_map(Step::Kill),
        2 => node.clone().prop_map(Step::Start),
        2 => node.clone().prop_map(Step::Pause),
        2 => node.clone().prop_map(Step::Wake),
        1 => node.clone().prop_map(Step::Stop),
        1 => worker.clone().prop_map(Step::KillWorker),
        1 => worker.clone().prop_map(Step::StartWorker),
        2 => (node.clone(), worker.clone()).prop_map(|(node, worker)| Step::Stall(node, worker)),
        1 => node.clone().prop_map(Step::CutLog),
        3 => (node, worker.clone()).prop_map(|(node, worker)| Step::Cut(node, worker)),
        1 => Just(Step::Join),
        1 => (worker, any::<bool>()).prop_map(|(worker, on)| Step::Failing(worker, on)),
        2 => (prop_oneof![Just(4_u64), Just(300), Just(3_000)], 0..30_u32, 0..30_u32).prop_map(
            |(delay, loss, duplicates)| Step::Network { delay, loss, duplicates }),
        2 => (any::<bool>(), prop_oneof![Just(0_u32), Just(60)]).prop_map(
            |(down, lost_acks)| Step::Log { down, lost_acks }),
        1 => (zone, any::<bool>()).prop_map(|(zone, out)| Step::Zone(zone, out)),
        1 => index.clone().prop_map(Step::Cancel),
        1 => Just(Step::CancelAll),
        1 => index.prop_map(Step::Move),
    ]
}

const ZONES: [&str; 2] = ["a", "b"];

fn submit(world: &mut World, number: usize, step: &Step) {
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
    world.submit(ZONES[zone], spec);
}

fn apply(world: &mut World, number: usize, step: &Step) {
    match step {
        Step::Run(ms) => world.run(*ms),
        Step::Submit { .. } => submit(world, number, step),
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
                submit(world, 1_000 * (number + 1) + i as usize, &job);
            }
        }
        Step::Kill(node) => world.kill_node(*node),
        Step::Start(node) => world.start_node(*node),
        Step::Pause(node) => world.pause(*node),
        Step::Wake(node) => world.wake(*node),
        Step::Stop(node) => world.stop_node(*node),
        Step::KillWorker(worker) => world.kill_worker(*worker),
        Step::StartWorker(worker) => world.start_worker(*worker),
        Step::Cut(node, worker) => {
            world.cut.insert((*node, *worker));
        }
        Step::Stall(node, worker) => world.stall(*node, *worker),
        Step::Join => {
            world.cut.clear();
            world.release();
            world.faults.log_cut.clear();
        }
        Step::CutLog(node) => {
            world.faults.log_cut.insert(*node);
        }
        Step::Failing(worker, on) => world.workers[*worker].failing = *on,
        Step::Network {
            delay,
            loss,
            duplicates,
        } => {
            (world.faults.delay, world.faults.loss) = (*delay, *loss);
            world.faults.duplicates = *duplicates;
        }
        Step::Log { down, lost_acks } => {
            (world.faults.log_down, world.faults.lost_acks) = (*down, *lost_acks);
        }
        Step::Zone(zone, out) => {
            let state = if *out { ZoneState::Out } else { ZoneState::In };
            world.set_zone(ZONES[*zone], state);
        }
        Step::Cancel(_) | Step::Move(_) if world.jobs.is_empty() => {}
        Step::Cancel(index) => {
            let job = index.get(&world.jobs).id;
            let zone = world.home(job);
            world.tell(&zone, &Event::Cancel { job });
        }
        Step::CancelAll => {
            for job in world.jobs.iter().map(|job| job.id).collect::<Vec<_>>() {
                let zone = world.home(job);
                world.tell(&zone, &Event::Cancel { job });
            }
        }
        Step::Move(index) => {
            let job = index.get(&world.jobs).id;
            let home = world.home(job);
            let zone = if &*home == "a" { "b" } else { "a" }.into();
            world.tell(&home, &Event::Move { job, zone });
        }
    }
}

fn run(seed: u64, steps: &[Step]) -> Result<(), TestCaseError> {
    let mut world = World::new(seed, &[("a", 3, 4), ("b", 1, 2)], 4, 12);
    world.run(4_000);
    for (number, step) in steps.iter().enumerate() {
        apply(&mut world, number, step);
        prop_assert!(world.violations.is_empty(), "{}", world.show());
    }
    world.heal();
    // Long enough for the longest backoff and the expiry of every lease.
    for _ in 0..20 {
        world.run(20_000);
        // An instance that was stopping before is started now.
        (0..NODES).for_each(|node| world.start_node(node));
        prop_assert!(world.violations.is_empty(), "{}", world.show());
        if world.jobs.iter().all(|job| world.outcome(job.id).is_some()) {
            break;
        }
    }
    world.check_end();
    prop_assert!(world.violations.is_empty(), "{}", world.show());
    Ok(())
}

fn variable(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).unwrap_or_default();
    text.parse().unwrap_or(default)
}

/// Guards against any interleaving of faults that breaks an invariant or loses accepted work.
#[test]
fn random_sequences_keep_the_invariants() {
    let first = variable("PRIMROSEBAY_SEED", 0);
    let shrinks = u32::try_from(variable("PRIMROSEBAY_SHRINK", 500)).expect("a small number");
    for seed in first..first + variable("PRIMROSEBAY_CASES", CASES) {
        let config = Config {
            cases: 1,
            failure_persistence: None,
            max_shrink_iters: shrinks,
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
