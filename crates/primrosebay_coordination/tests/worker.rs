//! Tests of the worker-side state of leases and attempts.

use primrosebay_coordination::worker::WorkerState;
use primrosebay_protocol::worker::{AttemptState, Command, Reply, Request, Start, Term};
use primrosebay_state::id::{AttemptId, Incarnation, JobId, TaskId};
use primrosebay_state::job::Repeat;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::WorkerTime;
use rstest::rstest;

const CURRENT_RUN: u64 = 7;
const LEASE_MS: u64 = 1_200;

fn cores(count: u64) -> Resources {
    Resources {
        cores_milli: 1_000 * count,
        ..Resources::ZERO
    }
}

fn attempt(index: u32) -> AttemptId {
    let incarnation = Incarnation(1);
    let job = JobId {
        incarnation,
        sequence: 1,
    };
    let task = TaskId { job, index };
    AttemptId { task, attempt: 1 }
}

fn request(holder: u64, epoch: u64, sequence: u64) -> Request {
    Request {
        term: Term {
            epoch,
            holder: Incarnation(holder),
            voters: Vec::new(),
        },
        run: CURRENT_RUN,
        sequence,
        deadline: Some(WorkerTime(1_000)),
        lease_ms: LEASE_MS,
        tasks_until: WorkerTime(20_000),
        acknowledged: 0,
        commands: Vec::new(),
        release: false,
    }
}

fn start(index: u32, size: u64) -> Command {
    Command::Start(Start {
        attempt: attempt(index),
        resources: cores(size),
        repeat: Repeat::Idempotent,
        run_ms: 0,
        team: "t".into(),
        trace: "".into(),
    })
}

/// Returns a worker with 4 cores that runs one attempt of 2 cores. Instance 1 holds its lease with
/// epoch 5 since clock time 100.
fn held_worker() -> WorkerState {
    let mut worker = WorkerState::new(CURRENT_RUN, cores(4));
    let mut first = request(1, 5, 10);
    first.commands.push(start(0, 2));
    assert!(worker.exchange(WorkerTime(100), &first).granted);
    worker
}

fn states(reply: &Reply) -> Vec<AttemptState> {
    reply.reports.iter().map(|report| report.state).collect()
}

/// Guards against two coordinators that both start tasks on one worker.
#[rstest]
#[case::renewal(100, 1, 5, true)]
#[case::next_term_of_the_holder(100, 1, 6, true)]
#[case::earlier_term_of_the_holder(100, 1, 4, false)]
#[case::other_instance_while_held(1_299, 2, 6, false)]
#[case::other_instance_after_expiry(1_300, 2, 6, true)]
#[case::other_instance_with_equal_epoch(1_300, 2, 5, false)]
#[case::other_instance_with_lower_epoch(1_300, 2, 4, false)]
fn lease_goes_to_one_holder(
    #[case] clock: u64,
    #[case] holder: u64,
    #[case] epoch: u64,
    #[case] granted: bool,
) {
    let mut request = request(holder, epoch, 11);
    request.deadline = Some(WorkerTime(2_000));
    request.commands.push(start(1, 1));
    let mut worker = held_worker();
    assert_eq!(
        worker.exchange(WorkerTime(clock), &request).granted,
        granted
    );
    assert_eq!(worker.running().count(), 1 + usize::from(granted));
}

/// Guards against commands that arrive late, out of order, or after a restart of the worker.
#[rstest]
#[case::in_time(1_000, 11, CURRENT_RUN, true)]
#[case::after_the_deadline(1_001, 11, CURRENT_RUN, false)]
#[case::duplicate(900, 10, CURRENT_RUN, false)]
#[case::out_of_order(900, 9, CURRENT_RUN, false)]
#[case::before_a_restart(900, 11, CURRENT_RUN - 1, false)]
fn outdated_commands_are_void(
    #[case] clock: u64,
    #[case] sequence: u64,
    #[case] run: u64,
    #[case] granted: bool,
) {
    let mut request = request(1, 5, sequence);
    request.run = run;
    request.commands.push(start(1, 1));
    let mut worker = held_worker();
    assert_eq!(
        worker.exchange(WorkerTime(clock), &request).granted,
        granted
    );
    assert_eq!(worker.running().count(), 1 + usize::from(granted));
}

/// Guards against an arbitrarily delayed claim that renews or starts tasks.
#[test]
fn claim_without_deadline_changes_only_the_lease() {
    let mut worker = held_worker();
    let mut claim = request(2, 6, 1);
    claim.deadline = None;
    claim.tasks_until = WorkerTime(90_000);
    claim.commands.push(start(1, 1));
    assert!(worker.exchange(WorkerTime(1_300), &claim).granted);
    assert_eq!(worker.running().count(), 1);
    worker.tick(WorkerTime(20_000));
    assert_eq!(worker.running().count(), 0);
}

/// Guards against a worker that exceeds its capacity because the coordinator's resource accounting
/// is wrong.
#[test]
fn start_that_does_not_fit_is_refused() {
    let mut worker = held_worker();
    let mut starts = request(1, 5, 11);
    starts.commands.extend([start(1, 3), start(2, 2)]);
    let reply = worker.exchange(WorkerTime(200), &starts);
    let expected = [
        AttemptState::Running,
        AttemptState::Refused,
        AttemptState::Running,
    ];
    assert_eq!(states(&reply), expected);
    assert_eq!(worker.used(), cores(4));
}

/// Guards against a lost result and a second run of an ended attempt when its start is repeated.
#[test]
fn ended_attempt_is_kept_until_it_is_acknowledged() {
    let mut worker = held_worker();
    assert!(worker.finish(WorkerTime(200), attempt(0), AttemptState::Done));
    let mut again = request(1, 5, 11);
    again.commands.push(start(0, 2));
    let reply = worker.exchange(WorkerTime(300), &again);
    assert_eq!(states(&reply), [AttemptState::Done]);
    let mut acknowledge = request(1, 5, 12);
    acknowledge.acknowledged = reply.reports[0].sequence;
    worker.exchange(WorkerTime(300), &acknowledge);
    let reply = worker.exchange(WorkerTime(300), &request(1, 5, 13));
    assert_eq!(states(&reply), []);
}

/// Guards against tasks that keep running after their coordinator counts them as stopped.
#[test]
fn attempts_stop_without_renewal() {
    let mut worker = held_worker();
    worker.tick(WorkerTime(19_999));
    assert_eq!(worker.running().count(), 1);
    worker.tick(WorkerTime(20_000));
    assert_eq!(worker.running().count(), 0);
    assert!(!worker.finish(WorkerTime(20_001), attempt(0), AttemptState::Done));
}

/// Guards against a delayed renewal that shortens a later one.
#[test]
fn renewal_never_shortens_task_lease() {
    let mut worker = held_worker();
    let mut renewal = request(1, 5, 11);
    renewal.tasks_until = WorkerTime(500);
    worker.exchange(WorkerTime(200), &renewal);
    worker.tick(WorkerTime(600));
    assert_eq!(worker.running().count(), 1);
}

/// Guards against a successor that has to wait for leases to expire after a planned stop.
#[test]
fn released_lease_is_free_at_once() {
    let mut worker = held_worker();
    let mut release = request(1, 5, 11);
    release.release = true;
    assert!(worker.exchange(WorkerTime(200), &release).granted);
    assert!(worker.exchange(WorkerTime(201), &request(2, 6, 1)).granted);
}
