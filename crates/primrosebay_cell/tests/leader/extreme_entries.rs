//! Entries, answers, configurations and records with numbers near the limits of their types. A
//! debug build panics on overflow, and a release build wraps; both are failures.

use std::sync::Arc;

use primrosebay_cell::config::{AdviceTiming, Config};
use primrosebay_cell::job::{JobKey, Repeat};
use primrosebay_cell::leader::{
    Command, DirectoryChange, DirectoryEntry, HoldAnswer, HoldReport, Leader, Settings,
};
use primrosebay_cell::ledger::Ledger;
use primrosebay_cell::record::{Placement, Progress, Record, Submission, TaskProgress};
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;
use rstest::rstest;

use crate::simulation::{Simulation, cores, job, now_at, queue};

const MAX: Resources = Resources {
    cores_milli: u64::MAX,
    memory_mib: u64::MAX,
    accelerators: u64::MAX,
};

fn list(sim: &mut Simulation, entry: DirectoryEntry) {
    let now = now_at(sim.now);
    sim.leader.on_directory(DirectoryChange::Listed(entry), now);
}

/// Guards against a leader that ends, or reports a wrong capacity, because of the sum of the
/// capacities of all minions.
#[test]
fn sum_of_capacities_saturates() {
    let mut sim = Simulation::new(3);
    for i in 0..2 {
        sim.minions[i].capacity = MAX;
        let entry = sim.entry(i);
        list(&mut sim, entry);
    }
    sim.run(200);
    let counts = sim.leader.counts(now_at(sim.now));
    assert_eq!((counts.usable, counts.total_milli), (3, u64::MAX));
    let key = sim.submit(1, "urgent", &job(8, cores(16)));
    sim.run_until(5_000, |s| s.is_completed(key));
}

/// Guards against a leader that ends because of a minion that is said to drain for ever.
#[test]
fn endless_drain_does_not_end_the_leader() {
    let mut sim = Simulation::new(2);
    let entry = DirectoryEntry {
        drain_ms: Some(u64::MAX),
        started_ms: u64::MAX,
        ..sim.entry(0)
    };
    list(&mut sim, entry);
    let key = sim.submit(1, "urgent", &job(2, cores(16)));
    sim.run_until(5_000, |s| s.is_completed(key));
    let on_draining = sim
        .starts
        .iter()
        .filter(|s| s.minion == sim.minions[0].name);
    assert_eq!(on_draining.count(), 0);
}

/// Guards against a leader that ends because of a job with huge numbers, which other jobs must not
/// notice.
#[rstest]
#[case(u64::MAX, 0, 1)]
#[case(u64::MAX / 2, u64::MAX, 3)]
#[case(u64::MAX / 3, u64::MAX / 2, 4_000)]
fn job_with_huge_numbers_does_not_disturb_others(
    #[case] estimate_ms: u64,
    #[case] interval_ms: u64,
    #[case] times: u32,
) {
    let mut sim = Simulation::new(2);
    let mut huge = job(1, cores(1));
    huge.steps[0].estimate_ms = estimate_ms;
    let dependent = primrosebay_cell::job::Step {
        after: vec![0],
        ..huge.steps[0].clone()
    };
    let unplaceable = primrosebay_cell::job::Step {
        amount: MAX,
        count: 1,
        estimate_ms: 1,
        ..primrosebay_cell::job::Step::default()
    };
    huge.steps.extend([dependent, unplaceable]);
    let now_ms = now_at(sim.now).wall_ms;
    let first_ms = if times > 1 { now_ms } else { 0 };
    huge.repeat = (times > 1).then_some(Repeat {
        first_ms,
        every_ms: interval_ms,
        times: times / 3,
    });
    sim.submit(1, "urgent", &huge);
    sim.submit(2, "batch", &huge);
    sim.run(3_000);
    let key = sim.submit(3, "batch", &job(2, cores(8)));
    sim.run_until(5_000, |s| s.is_completed(key));
    sim.take_over();
    let key = sim.submit(4, "batch", &job(2, cores(8)));
    sim.run_until(5_000, |s| s.is_completed(key));
}

/// Guards against a leader that ends because of a queue or an account with huge numbers.
#[rstest]
#[case(u64::MAX, u32::MAX, 1.0)]
#[case(u64::MAX, 0, 1e300)]
#[case(0, u32::MAX, -1e300)]
#[case(u64::MAX / 2, 1, f64::MAX)]
fn queue_with_huge_numbers_works(
    #[case] target_ms: u64,
    #[case] priority: u32,
    #[case] stretch: f64,
) {
    let mut sim = Simulation::new(2);
    let mut extreme = queue("extreme", priority);
    extreme.target_ms = target_ms;
    extreme.stretch = stretch;
    extreme.timeout_ms = u64::MAX;
    extreme.attempts = u32::MAX;
    sim.config.queues.push(extreme);
    sim.config.accounts[0].weight = u32::MAX;
    sim.config.accounts[0].limit = MAX;
    sim.leader.set_config(&sim.config);
    let first = sim.submit(1, "extreme", &job(2, cores(8)));
    let second = sim.submit(2, "urgent", &job(2, cores(8)));
    sim.run_until(8_000, |s| s.is_completed(first) && s.is_completed(second));
}

/// Guards against a leader that ends because of the timing of an advice service.
#[rstest]
#[case(1e300, 0.0, u64::MAX)]
#[case(f64::MAX, f64::MAX, 0)]
#[case(-1e300, -1.0, u64::MAX)]
#[case(0.0, 1e300, 1)]
fn advice_with_huge_numbers_does_not_disturb_others(
    #[case] fixed_ms: f64,
    #[case] per_minion_ms: f64,
    #[case] valid_ms: u64,
) {
    let (mut leader, mut ledger) = leader_with_minion(0);
    let mut advised = queue("advised", 0);
    advised.advice = Some(AdviceTiming {
        fixed_ms,
        per_minion_ms,
        valid_ms,
    });
    let queues = vec![advised, queue("urgent", 0)];
    leader.set_config(&Config {
        queues,
        ..Config::default()
    });
    submit(&mut leader, &mut ledger, 1, "advised");
    submit(&mut leader, &mut ledger, 2, "urgent");
    let mut starts = 0;
    for now in (1_000..3_000).step_by(100) {
        for command in leader.tick(now_at(now)) {
            if let Command::Start(_) = command {
                starts += 1;
            }
        }
        if let Some(batch) = leader.take_batch(false) {
            leader.on_committed(batch.id, Time(now), now_at(now));
        }
    }
    assert_eq!(starts, 1, "the task of the other queue");
}

/// Returns a leader with one minion, whose clock is at `clock_ms` at the local time 1,000.
fn leader_with_minion(clock_ms: u64) -> (Leader, Ledger) {
    let ledger = Ledger::default();
    let (name, now) = ("node-0".into(), now_at(1_000));
    let mut leader = Leader::new(1, name, now, &ledger, Settings::default());
    let queues = vec![queue("urgent", 0)];
    leader.set_config(&Config {
        queues,
        ..Config::default()
    });
    let entry = Simulation::new(1).entry(0);
    let minion = entry.name.clone();
    leader.on_directory(DirectoryChange::Listed(entry), now);
    leader.tick(now);
    let report = HoldReport {
        clock_ms,
        started_ms: u64::MAX,
        running: Vec::new(),
        ended: Vec::new(),
    };
    leader.on_hold(&minion, now.time, HoldAnswer::Held(report), now);
    (leader, ledger)
}

fn submit(leader: &mut Leader, ledger: &mut Ledger, key: u64, queue: &str) {
    let submission = Submission {
        queue: queue.into(),
        account: None,
        spec: Arc::new(job(1, cores(1))),
        accepted_ms: u64::MAX,
    };
    ledger.apply(key, Record::Submitted(JobKey(key), submission));
    leader.sync_job(JobKey(key), now_at(1_000), ledger);
}

/// Guards against a leader that ends because of a minion's clock, or sends it a time in the past.
#[test]
fn lease_on_an_extreme_clock_saturates() {
    let (mut leader, mut ledger) = leader_with_minion(u64::MAX - 10);
    submit(&mut leader, &mut ledger, 1, "urgent");
    let now = now_at(1_500);
    let holds = leader.tick(now);
    assert!(
        matches!(
            &holds[..],
            [Command::Hold {
                until_ms: Some(u64::MAX),
                ..
            }]
        ),
        "{holds:?}"
    );
    let batch = leader.take_batch(false).expect("the task is placed");
    leader.on_committed(batch.id, now.time, now);
    let starts = leader.tick(now);
    let Some(Command::Start(start)) = starts.first() else {
        panic!("{starts:?}");
    };
    assert_eq!(start.until_ms, u64::MAX);
}

/// Guards against a leader that ends because of the numbers in a record of the log.
#[test]
fn task_with_the_highest_run_number_does_not_end_the_leader() {
    let mut sim = Simulation::new(2);
    let task = TaskProgress {
        run: u32::MAX,
        placement: Placement::Pending,
        failures: u32::MAX,
        checkpoint: "".into(),
    };
    for (key, gang) in [(1, false), (2, true)] {
        let mut spec = job(2, cores(1));
        spec.steps[0].gang = gang;
        let key = sim.submit(key, "urgent", &spec);
        let progress = Progress {
            epoch: u64::MAX,
            tasks: vec![task.clone(); 2],
            ..Progress::default()
        };
        sim.append(&Record::Progress(key, progress));
    }
    sim.minions[0].failing = true;
    sim.minions[1].failing = true;
    sim.take_over();
    sim.run(3_000);
    sim.minions[0].failing = false;
    sim.minions[1].failing = false;
    sim.run(5_000);
    let key = sim.submit(3, "urgent", &job(1, cores(1)));
    sim.run_until(5_000, |s| s.is_completed(key));
}

/// Guards against an error for the removal of a key that no instance has written.
#[rstest]
fn removal_of_an_odd_key_is_ignored(
    #[values(
        "",
        "m",
        "j",
        "\u{1f600}",
        "m\u{e9}",
        "j\u{e9}0",
        "p\u{1f600}",
        "c ",
        "j\0"
    )]
    key: &str,
) {
    let mut sim = Simulation::new(1);
    let job = sim.submit(1, "urgent", &job(1, cores(1)));
    sim.ledger.remove(key);
    assert!(sim.ledger.submission(job).is_some());
}

/// Guards against starts on a minion whose entry another writer has replaced, and against a minion
/// that is not used any more once its entry is good again.
#[test]
fn minion_with_an_unreadable_entry_gets_no_starts_until_it_is_good_again() {
    let mut sim = Simulation::new(2);
    let running = sim.submit(1, "urgent", &job(2, cores(16)));
    sim.run(200);
    assert_eq!(sim.starts.len(), 2);
    let (odd, now) = (sim.minions[0].name.clone(), now_at(sim.now));
    sim.leader
        .on_directory(DirectoryChange::Unreadable(odd.clone()), now);
    let next = sim.submit(2, "urgent", &job(2, cores(16)));
    sim.run_until(6_000, |s| s.is_completed(running) && s.is_completed(next));
    // The run that was there goes on: four tasks need four starts.
    assert_eq!(sim.starts.len(), 4);
    assert!(sim.starts[2..].iter().all(|s| s.minion != odd));
    let entry = sim.entry(0);
    list(&mut sim, entry);
    let last = sim.submit(3, "urgent", &job(2, cores(16)));
    sim.run(200);
    assert!(sim.starts[4..].iter().any(|s| s.minion == odd));
    sim.run_until(3_000, |s| s.is_completed(last));
}

/// Guards against calls to entries of other writers, up to four a second to each, whose service no
/// queue uses.
#[test]
fn minion_of_an_unknown_service_is_not_called() {
    let (mut leader, _) = leader_with_minion(0);
    let entry = DirectoryEntry {
        name: "odd".into(),
        service: "unknown".into(),
        ..Simulation::new(1).entry(0)
    };
    let now = now_at(1_100);
    leader.on_directory(DirectoryChange::Listed(entry), now);
    let is_odd = |c: &Command| matches!(c, Command::Hold { minion, .. } if &**minion == "odd");
    assert!(!leader.tick(now).iter().any(is_odd));
    let mut other = queue("other", 1);
    other.service = "unknown".into();
    let queues = vec![queue("urgent", 0), other];
    leader.set_config(&Config {
        queues,
        ..Config::default()
    });
    assert!(leader.tick(now_at(1_200)).iter().any(is_odd));
}
