//! Minions whose service no queue uses any more.

use std::sync::Arc;

use primrosebay_cell::config::Config;
use primrosebay_cell::job::JobKey;
use primrosebay_cell::leader::{
    ActiveRun, Command, DirectoryChange, End, EndedRun, HoldAnswer, HoldReport, Leader, Settings,
    Start, StartAnswer,
};
use primrosebay_cell::ledger::Ledger;
use primrosebay_cell::record::Submission;
use primrosebay_state::Name;
use primrosebay_state::time::Time;

use crate::simulation::{Simulation, cores, job, now_at, queue};

/// Answers the hold that was sent at `sent` 5 ms later.
fn answer(leader: &mut Leader, sent: u64, started_ms: u64, run: Option<&Start>, ended: bool) {
    let running = run.filter(|_| !ended).map(|s| ActiveRun {
        task: s.task,
        run: s.run,
        checkpoint: Name::default(),
    });
    let ended = run.filter(|_| ended).map(|s| EndedRun {
        sequence: 1,
        task: s.task,
        run: s.run,
        end: End::Done,
        checkpoint: Name::default(),
    });
    let report = HoldReport {
        clock_ms: sent,
        started_ms,
        running: running.into_iter().collect(),
        ended: ended.into_iter().collect(),
    };
    let answer = HoldAnswer::Held(report);
    leader.on_hold(&"minion-000".into(), Time(sent), answer, now_at(sent + 5));
}

/// Returns the acknowledgements in the holds that the leader sends at `now`.
fn acks(leader: &mut Leader, now: u64) -> Vec<u64> {
    let acks = leader.tick(now_at(now)).into_iter().map(|c| match c {
        Command::Hold { acked, .. } => Some(acked),
        _ => None,
    });
    acks.flatten().collect()
}

/// Returns a leader with a run on its only minion, whose queue then moves to another service.
fn leader_with_moved_queue() -> (Leader, Start) {
    let settings = Settings::default();
    let mut leader = Leader::new(1, "node-0".into(), now_at(0), &Ledger::default(), settings);
    leader.set_config(&Config {
        queues: vec![queue("urgent", 0)],
        ..Config::default()
    });
    let entry = Simulation::new(1).entry(0);
    leader.on_directory(DirectoryChange::Listed(entry), now_at(0));
    assert_eq!(acks(&mut leader, 10), [0]);
    answer(&mut leader, 10, 1, None, false);
    let submission = Submission {
        queue: "urgent".into(),
        account: None,
        spec: Arc::new(job(1, cores(1))),
        accepted_ms: now_at(0).wall_ms,
    };
    leader.submit(JobKey(1), &submission, now_at(30));
    assert_eq!(acks(&mut leader, 40), [0]);
    let batch = leader.take_batch(false).expect("the task was placed");
    leader.on_committed(batch.id, Time(40), now_at(50));
    let commands = leader.tick(now_at(60)).into_iter();
    let starts = commands.filter_map(|c| match c {
        Command::Start(start) => Some(start),
        _ => None,
    });
    let start = starts.last().expect("the start was sent");
    let name = "minion-000".into();
    leader.on_start(
        &name,
        start.task,
        start.run,
        StartAnswer::Started(None),
        now_at(70),
    );
    let mut moved = queue("urgent", 0);
    moved.service = "other".into();
    leader.set_config(&Config {
        queues: vec![moved],
        ..Config::default()
    });
    (leader, start)
}

/// Guards against an end that is never acknowledged: the last run on a minion ended after its queue
/// had moved to another service, and the leader sent no further hold.
#[test]
fn last_end_is_acknowledged_after_the_queue_has_moved() {
    let (mut leader, start) = leader_with_moved_queue();
    leader.on_start(
        &start.minion,
        start.task,
        start.run,
        StartAnswer::Started(None),
        now_at(70),
    );
    answer(&mut leader, 80, 1, Some(&start), true);
    let batch = leader.take_batch(false).expect("the run has ended");
    leader.on_committed(batch.id, Time(100), now_at(110));
    assert_eq!(acks(&mut leader, 1_000), [1]);
}

/// Guards against a run of a cancelled job that is never found: the minion restarted and carried
/// out the unanswered start late, after its queue had moved to another service, and the leader sent
/// no further hold.
#[test]
fn late_run_is_stopped_after_the_queue_has_moved() {
    let (mut leader, start) = leader_with_moved_queue();
    leader.on_start(
        &start.minion,
        start.task,
        start.run,
        StartAnswer::Unknown,
        now_at(70),
    );
    leader.cancel(JobKey(1), now_at(80));
    answer(&mut leader, 80, 1, None, false);
    assert_eq!(acks(&mut leader, 90), [0]);
    leader.on_stop(&start.minion, start.task, start.run, true, now_at(95));
    answer(&mut leader, 90, 1, None, false);
    assert_eq!(acks(&mut leader, 100), [0]);
    answer(&mut leader, 100, 1, None, false);
    assert_eq!(leader.counts(now_at(110)).runs, 0, "the stop took effect");
    assert_eq!(acks(&mut leader, 1_000), [0]);
    answer(&mut leader, 1_000, 2, Some(&start), false);
    let stops = leader.tick(now_at(1_010)).into_iter();
    let runs = stops.filter_map(|c| match c {
        Command::Stop { task, run, .. } => Some((task, run)),
        _ => None,
    });
    assert_eq!(runs.collect::<Vec<_>>(), [(start.task, start.run)]);
}
