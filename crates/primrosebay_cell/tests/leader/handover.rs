//! Decisions that are in the log and whose effect on minions is completed by another leader or met
//! by another incarnation of a minion.

use primrosebay_cell::job::{JobKey, StepKey, TaskKey};
use primrosebay_cell::leader::{
    ActiveRun, Command, DirectoryChange, DirectoryEntry, End, EndedRun, HoldAnswer, HoldReport,
    Leader, Settings, StartAnswer,
};
use primrosebay_cell::ledger::Ledger;
use primrosebay_cell::record::Record;
use primrosebay_state::Name;
use primrosebay_state::time::Time;

use crate::simulation::{Simulation, cores, job, now_at};

/// Guards against a gang of which a part runs on for ever: the placement of a task that was
/// refused is already pending in the log, and the leader is lost before the others are stopped.
#[test]
fn successor_stops_the_rest_of_a_gang_that_lost_a_task() {
    let mut sim = Simulation::new(2);
    for minion in &mut sim.minions {
        minion.stalled = true;
    }
    sim.minions[0].refusing = true;
    let mut spec = job(2, cores(16));
    spec.steps[0].gang = true;
    let key = sim.submit(1, "urgent", &spec);
    sim.run_until(1_000, |s| s.starts.len() == 2);
    assert_eq!(sim.minions[1].running.len(), 1);
    // The stop does not arrive.
    sim.minions[1].unreachable = true;
    sim.run(50);
    let first = sim.starts.len();
    sim.take_over();
    sim.minions[1].unreachable = false;
    for minion in &mut sim.minions {
        minion.refusing = false;
        minion.stalled = false;
    }
    sim.minions[1].stalled = true;
    sim.run_until(3_000, |s| s.starts.len() == first + 2);
    sim.minions[1].stalled = false;
    sim.run_until(3_000, |s| s.is_completed(key));
}

const MINION: &str = "minion-000";

fn entry() -> DirectoryEntry {
    DirectoryEntry {
        name: MINION.into(),
        address: "10.0.0.1:80".into(),
        service: "service".into(),
        zone: "zone-0".into(),
        labels: Vec::new(),
        capacity: cores(16),
        drain_ms: None,
        started_ms: 1,
    }
}

/// Returns the task of the job `job`.
fn task(job: u64) -> TaskKey {
    let step = StepKey {
        job: JobKey(job),
        occurrence: 0,
        step: 0,
    };
    TaskKey { step, index: 0 }
}

/// Answers a hold of incarnation `started_ms`, on which the first run of the job `running` is in
/// progress and that of the job `ended` succeeded as the end with this number.
fn hold(
    leader: &mut Leader,
    now: u64,
    started_ms: u64,
    running: Option<u64>,
    ended: Option<(u64, u64)>,
) {
    let running = running.map(|job| ActiveRun {
        task: task(job),
        run: 1,
        checkpoint: Name::default(),
    });
    let ended = ended.map(|(job, sequence)| EndedRun {
        sequence,
        task: task(job),
        run: 1,
        end: End::Done,
        checkpoint: Name::default(),
    });
    let report = HoldReport {
        clock_ms: now,
        started_ms,
        running: running.into_iter().collect(),
        ended: ended.into_iter().collect(),
    };
    let answer = HoldAnswer::Held(report);
    leader.on_hold(&MINION.into(), Time(now), answer, now_at(now));
}

/// Returns the highest end that holds acknowledge after the time `now`.
fn acknowledged(leader: &mut Leader, now: u64) -> u64 {
    let commands = leader.tick(now_at(now)).into_iter();
    let acked = commands.filter_map(|command| match command {
        Command::Hold { acked, .. } => Some(acked),
        _ => None,
    });
    acked.max().expect("a hold is due")
}

/// Guards against the loss of an end that a restarted minion reports while the end of its previous
/// incarnation, with a higher number, is being made durable: the minion forgets an acknowledged
/// end, so a successor would run the task again.
#[test]
fn ends_of_a_new_incarnation_are_acknowledged_when_they_are_durable() {
    let mut jobs = Simulation::new(1);
    let (settings, ledger) = (Settings::default(), Ledger::default());
    let mut leader = Leader::new(1, "node-0".into(), now_at(1_000), &ledger, settings);
    leader.set_config(&jobs.config);
    leader.on_directory(DirectoryChange::Listed(entry()), now_at(1_000));
    leader.tick(now_at(1_000));
    hold(&mut leader, 1_010, 1, None, None);
    for key in [1, 2] {
        jobs.submit(key, "urgent", &job(1, cores(1)));
        let submission = jobs.ledger.submission(JobKey(key)).expect("submitted");
        leader.submit(JobKey(key), submission, now_at(1_010));
    }
    leader.tick(now_at(1_020));
    let batch = leader.take_batch(true).expect("the placements").id;
    leader.on_committed(batch, Time(1_030), now_at(1_040));
    for command in leader.tick(now_at(1_050)) {
        if let Command::Start(start) = command {
            let answer = StartAnswer::Started(None);
            leader.on_start(&start.minion, start.task, start.run, answer, now_at(1_060));
        }
    }
    // The first incarnation reports its end 57, the second one its end 1.
    hold(&mut leader, 1_100, 1, Some(2), Some((1, 57)));
    let batch = leader.take_batch(true).expect("the end of the first job");
    hold(&mut leader, 1_500, 2, None, Some((2, 1)));
    leader.on_committed(batch.id, Time(1_110), now_at(1_900));
    assert_eq!(acknowledged(&mut leader, 2_500), 0);
    let batch = leader.take_batch(true).expect("the end of the second job");
    let ends_second =
        |r: &Record| matches!(r, Record::Progress(key, p) if key.0 == 2 && p.outcome.is_some());
    assert!(batch.records.iter().any(ends_second));
    leader.on_committed(batch.id, Time(2_500), now_at(2_600));
    hold(&mut leader, 2_700, 2, None, Some((2, 1)));
    assert_eq!(acknowledged(&mut leader, 3_500), 1);
}

/// Guards against an accepted job that never starts after a change of the leader, because its
/// queue was removed from the configuration after the job was accepted. The successor has read the
/// version that had the queue.
#[test]
fn successor_starts_jobs_of_a_removed_queue() {
    let mut sim = Simulation::new(1);
    sim.minions[0].unreachable = true;
    sim.run(3_000);
    let key = sim.submit(1, "batch", &job(1, cores(1)));
    let mut newer = sim.config.clone();
    newer.version += 1;
    newer.queues.retain(|queue| &*queue.name != "batch");
    sim.config = newer.with_removed(&sim.config);
    sim.take_over();
    sim.minions[0].unreachable = false;
    sim.run_until(5_000, |s| s.is_completed(key));
}

/// Guards against an accepted job that never starts because its queue was removed from the
/// configuration, and the process that leads has started after the removal.
#[test]
fn successor_that_never_knew_a_queue_starts_its_jobs() {
    let mut sim = Simulation::new(1);
    sim.minions[0].unreachable = true;
    sim.run(3_000);
    let key = sim.submit(1, "batch", &job(1, cores(1)));
    sim.run(200);
    sim.config.version += 1;
    sim.config.queues.retain(|queue| &*queue.name != "batch");
    for _ in 0..3 {
        sim.take_over();
    }
    sim.minions[0].unreachable = false;
    sim.run_until(5_000, |s| s.is_completed(key));
}

/// Guards against a successor that schedules the jobs of a removed queue by an outdated version of
/// its rules.
#[test]
fn log_holds_the_latest_rules_of_a_queue_with_jobs() {
    let mut sim = Simulation::new(1);
    sim.minions[0].unreachable = true;
    sim.submit(1, "batch", &job(1, cores(1)));
    sim.run(200);
    let attempts = |s: &Simulation| {
        let mut queues = s.ledger.queues();
        queues.find(|q| &*q.name == "batch").map(|q| q.attempts)
    };
    let before = attempts(&sim).expect("the queue is in the log");
    for queue in &mut sim.config.queues {
        queue.attempts += 1;
    }
    sim.leader.set_config(&sim.config);
    sim.run(200);
    assert_eq!(attempts(&sim), Some(before + 1));
}

/// Guards against ends that a minion forgets although the leader has not read them: it restarted
/// between two holds, and the second one acknowledged the ends of the former incarnation again.
#[test]
fn ends_are_acknowledged_until_the_minion_has_answered() {
    let jobs = Simulation::new(1);
    let (settings, ledger) = (Settings::default(), Ledger::default());
    let mut leader = Leader::new(1, "node-0".into(), now_at(1_000), &ledger, settings);
    leader.set_config(&jobs.config);
    leader.on_directory(DirectoryChange::Listed(entry()), now_at(1_000));
    leader.tick(now_at(1_000));
    hold(&mut leader, 1_010, 1, None, Some((9, 57)));
    let batch = leader.take_batch(true).expect("the end");
    leader.on_committed(batch.id, Time(1_020), now_at(1_030));
    assert_eq!(acknowledged(&mut leader, 1_040), 57);
    leader.on_hold(
        &MINION.into(),
        Time(1_040),
        HoldAnswer::Failed,
        now_at(1_740),
    );
    assert_eq!(acknowledged(&mut leader, 2_000), 0);
    hold(&mut leader, 2_010, 1, None, Some((9, 57)));
    assert_eq!(acknowledged(&mut leader, 2_300), 57);
    hold(&mut leader, 2_310, 1, None, None);
    assert_eq!(acknowledged(&mut leader, 2_320), 0);
}
