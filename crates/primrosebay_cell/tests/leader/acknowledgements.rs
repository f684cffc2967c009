//! Acknowledgements of ended runs across restarts of their minion.

use primrosebay_cell::config::Config;
use primrosebay_cell::job::JobSpec;
use primrosebay_cell::leader::{
    ActiveRun, Command, DirectoryChange, DirectoryEntry, End, EndedRun, HoldAnswer, HoldReport,
    Leader, Settings, Start, StartAnswer,
};
use primrosebay_cell::ledger::{JobState, Ledger};
use primrosebay_cell::record::{Outcome, Submission};
use primrosebay_state::Name;
use primrosebay_state::time::Time;
use rstest::rstest;

use crate::network::Cell;
use crate::simulation::{cores, job, now_at, queue};

fn short_job(count: u32) -> JobSpec {
    let mut spec = job(count, cores(1));
    spec.steps[0].estimate_ms = 200;
    spec
}

/// Guards against an acknowledgement for ends of the previous incarnation of a minion that reaches
/// the next one: it removed ends that the leader had not seen, so that their tasks ran again.
#[test]
fn restarted_minion_keeps_ends_that_the_leader_has_not_seen() {
    let mut cell = Cell::new(1, 1);
    let first = cell.submit(1, "urgent", short_job(4), None);
    cell.run(2_000);
    assert_eq!(cell.state(first), JobState::Ended(Outcome::Completed));
    // The directory does not show the restart, and the leader still waits for a hold.
    cell.minions[0].listed = false;
    cell.restart(0, 100);
    cell.run(100);
    let second = cell.submit(2, "urgent", short_job(1), None);
    cell.run(400);
    assert_eq!(cell.starts.len(), 5, "the task did not start before a hold");
    cell.run(4_000);
    assert_eq!(cell.state(second), JobState::Ended(Outcome::Completed));
    assert_eq!(cell.starts.len(), 5);
}

/// Guards against a start for a minion that has restarted but has not answered a hold since. The
/// lease of the start was computed for the clock of the previous incarnation, so the minion kept the
/// run after the leader had started its task elsewhere.
#[rstest]
#[case::listed_before_the_hold_fails(true, 100)]
#[case::listed_before_the_hold_fails(true, 500)]
#[case::listed(true, 1_100)]
#[case::unnoticed(false, 100)]
#[case::unnoticed(false, 500)]
#[case::hold_failed(false, 900)]
#[case::hold_failed(false, 1_100)]
fn lease_of_restarted_minion_follows_its_own_clock(#[case] listed: bool, #[case] wait_ms: u64) {
    let mut cell = Cell::new(2, 1);
    cell.run(9_000);
    cell.faults.hold.lost = 1.0;
    cell.minions[0].listed = listed;
    cell.restart(0, 100);
    cell.run(wait_ms);
    let mut spec = job(5, cores(4));
    spec.steps[0].estimate_ms = 15_000;
    let key = cell.submit(1, "urgent", spec, None);
    cell.run(200);
    cell.minions[0].unreachable_until = cell.now + 20_000;
    cell.faults.hold.lost = 0.0;
    cell.run(20_000);
    assert!(cell.run_until(40_000, |c| matches!(c.state(key), JobState::Ended(_))));
}

fn hold(leader: &mut Leader, now: u64, started_ms: u64, running: &[&Start], ended: &[&Start]) {
    let running = running.iter().map(|s| ActiveRun {
        task: s.task,
        run: s.run,
        checkpoint: Name::default(),
    });
    let ended = (1..).zip(ended).map(|(sequence, s)| EndedRun {
        sequence,
        task: s.task,
        run: s.run,
        end: End::Done,
        checkpoint: Name::default(),
    });
    let report = HoldReport {
        clock_ms: now,
        started_ms,
        running: running.collect(),
        ended: ended.collect(),
    };
    let answer = HoldAnswer::Held(report);
    leader.on_hold(&"minion".into(), Time(now), answer, now_at(now));
}

/// Returns the acknowledgement in the hold that the leader sends at `now`.
fn acked(leader: &mut Leader, now: u64) -> Option<u64> {
    let acks = leader.tick(now_at(now)).into_iter().map(|c| match c {
        Command::Hold { acked, .. } => Some(acked),
        _ => None,
    });
    acks.flatten().next()
}

/// Guards against the acknowledgement of an end that is not durable: the record of an end on the
/// previous incarnation of the minion became durable, and its number counted for the next one. A
/// successor would have started the task again.
#[test]
fn ends_before_a_restart_acknowledge_none_after_it() {
    let settings = Settings::default();
    let mut leader = Leader::new(1, "node-0".into(), now_at(0), &Ledger::default(), settings);
    leader.set_config(&Config {
        queues: vec![queue("urgent", 0)],
        ..Config::default()
    });
    let entry = DirectoryEntry {
        name: "minion".into(),
        address: "10.0.0.1:80".into(),
        service: "service".into(),
        zone: "zone".into(),
        labels: Vec::new(),
        capacity: cores(16),
        drain_ms: None,
        started_ms: 1,
    };
    leader.on_directory(DirectoryChange::Listed(entry), now_at(0));
    assert_eq!(acked(&mut leader, 10), Some(0));
    hold(&mut leader, 20, 1, &[], &[]);
    let submission = Submission {
        queue: "urgent".into(),
        account: None,
        spec: short_job(2).into(),
        accepted_ms: now_at(0).wall_ms,
    };
    leader.submit(primrosebay_cell::job::JobKey(1), &submission, now_at(20));
    assert_eq!(acked(&mut leader, 30), Some(0));
    leader.take_batch(false).expect("the tasks were placed");
    leader.on_committed(1, Time(30), now_at(40));
    let commands = leader.tick(now_at(50));
    let starts: Vec<Start> = commands
        .into_iter()
        .filter_map(|c| match c {
            Command::Start(start) => Some(start),
            _ => None,
        })
        .collect();
    let [first, second] = &starts[..] else {
        panic!("{starts:?}");
    };
    let minion = "minion".into();
    leader.on_start(
        &minion,
        first.task,
        1,
        StartAnswer::Started(None),
        now_at(60),
    );
    leader.on_start(&minion, second.task, 1, StartAnswer::Unknown, now_at(60));
    hold(&mut leader, 300, 1, &[], &[first]);
    leader.take_batch(false).expect("a run has ended");
    // The minion restarts and carries out the second start late.
    acked(&mut leader, 600);
    hold(&mut leader, 610, 2, &[second], &[]);
    acked(&mut leader, 620);
    hold(&mut leader, 900, 2, &[], &[second]);
    leader.on_committed(2, Time(300), now_at(910));
    leader.take_batch(false).expect("a run has ended");
    assert_eq!(acked(&mut leader, 1_200), Some(0));
    leader.on_committed(3, Time(910), now_at(1_300));
    hold(&mut leader, 1_310, 2, &[], &[second]);
    assert_eq!(acked(&mut leader, 1_320), Some(1));
}
