//! The publisher, copies and snapshots against a simulated log with an injected clock.

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use primrosebay_coordination::publisher::{
    Copies, CopyLimits, Limits, Publisher, QueueFull, SeenRecords, SnapshotSchedule, Step,
    Withdrawn, split_snapshot,
};
use primrosebay_coordination::zone::{Coordinator, Event, Settings as ZoneSettings};
use primrosebay_state::Name;
use primrosebay_state::id::{Incarnation, JobId, RecordId, TaskId};
use primrosebay_state::job::{JobSpec, Repeat};
use primrosebay_state::record::{Body, Outcome, Record};
use primrosebay_state::time::Time;

const HOUR_MS: u64 = 3_600_000;
const RECORD_BYTES: usize = 100;

fn record(process: u64, sequence: u64) -> Record {
    let incarnation = Incarnation(process);
    let job = JobId {
        incarnation,
        sequence,
    };
    Record {
        id: RecordId {
            incarnation,
            sequence,
        },
        body: Body::Cancelled { job },
    }
}

fn publisher(limits: Limits) -> Publisher {
    Publisher::new(limits, 1)
}

fn push(publisher: &mut Publisher, now: u64, record: Record) -> Result<(), QueueFull> {
    publisher.push(Time(now), "jobs", record, RECORD_BYTES, true)
}

/// Simulated answer of the log to an append.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Answer {
    /// The append takes effect and is acknowledged.
    Acknowledged,
    /// The append does not take effect.
    Refused,
    /// The append takes effect, but the answer is lost.
    Lost,
    /// The answer is lost and the append takes effect later.
    Delayed,
}

#[derive(Default)]
struct FakeLog {
    records: Vec<Record>,
    /// Appends that take effect later, with their times.
    delayed: Vec<(u64, Vec<Record>)>,
    /// Times of all appends.
    appends: Vec<u64>,
}

impl FakeLog {
    /// Carries out all steps of a publisher that are due at `now`. `next_answer` supplies the
    /// answers to appends; a read-back fails if it returns [`Answer::Refused`].
    fn run_due_steps(
        &mut self,
        now: u64,
        publisher: &mut Publisher,
        mut next_answer: impl FnMut() -> Answer,
    ) {
        let (due, pending) = std::mem::take(&mut self.delayed)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.delayed = pending;
        let due: Vec<(u64, Vec<Record>)> = due;
        self.records
            .extend(due.into_iter().flat_map(|(_, records)| records));
        loop {
            match publisher.poll(Time(now)) {
                Step::Wait(_) => return,
                Step::Append {
                    ticket, records, ..
                } => {
                    self.appends.push(now);
                    let first = self.records.len() as u64;
                    let answer = next_answer();
                    match answer {
                        Answer::Acknowledged | Answer::Lost => self.records.extend(records),
                        Answer::Delayed => self.delayed.push((now + 700, records)),
                        Answer::Refused => {}
                    }
                    match answer {
                        Answer::Acknowledged => drop(publisher.appended(ticket, first)),
                        Answer::Refused => publisher.refused(Time(now), ticket),
                        _ => publisher.answer_lost(Time(now), ticket),
                    }
                }
                Step::ReadBack { ticket, from, .. } => {
                    if next_answer() == Answer::Refused {
                        publisher.read_failed(Time(now), ticket);
                        continue;
                    }
                    for (offset, record) in (0..).zip(&self.records) {
                        if offset >= from {
                            publisher.observed("jobs", offset, record.id);
                        }
                    }
                    publisher.read_back(ticket);
                }
            }
        }
    }

    /// Returns the sequence numbers of the records that a reader applies, in log order.
    fn applied_sequences(&self) -> Vec<u64> {
        let mut seen = SeenRecords::new();
        let placed = (0..).zip(&self.records);
        placed
            .filter(|(offset, record)| seen.insert(*offset, record.id))
            .map(|(_, record)| record.id.sequence)
            .collect()
    }
}

/// Guards against records that are lost, applied twice or reordered when appends are refused or
/// delayed, or when their answers are lost.
#[test]
fn records_are_applied_once_in_order() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let mut runner = TestRunner::new_with_rng(ProptestConfig::with_cases(200), rng);
    let run = |seed: u64| {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut publisher = publisher(Limits::default());
        let mut log = FakeLog::default();
        for now in 0..60_000 {
            if now < 2_000 && now % 20 == 0 {
                push(&mut publisher, now, record(1, now / 20 + 1)).unwrap();
            }
            // Faults end after 10 s, so that the backlog can drain.
            let faulty = now < 10_000;
            log.run_due_steps(now, &mut publisher, || {
                if !faulty {
                    return Answer::Acknowledged;
                }
                let answers = [
                    Answer::Acknowledged,
                    Answer::Refused,
                    Answer::Lost,
                    Answer::Delayed,
                ];
                answers[rng.random_range(0..answers.len())]
            });
        }
        prop_assert_eq!(log.applied_sequences(), (1..=100).collect::<Vec<_>>());
        prop_assert_eq!(publisher.waiting(), (0, 0));
        Ok(())
    };
    runner.run(&any::<u64>(), run).unwrap();
}

/// Guards against a repeated append of records that are in the log although the answer was lost.
#[test]
fn read_back_after_lost_answer_avoids_repeated_append() {
    let mut publisher = publisher(Limits::default());
    let mut log = FakeLog::default();
    push(&mut publisher, 0, record(1, 1)).unwrap();
    let mut answers = [Answer::Lost].into_iter();
    for now in 0..5_000 {
        log.run_due_steps(now, &mut publisher, || {
            answers.next().unwrap_or(Answer::Acknowledged)
        });
    }
    assert_eq!(log.records.len(), 1);
    assert_eq!(publisher.waiting(), (0, 0));
}

/// Guards against one append per record, and against records that wait until a batch is full.
#[test]
fn records_of_five_milliseconds_share_an_append() {
    let mut publisher = publisher(Limits::default());
    let mut log = FakeLog::default();
    for now in 0..1_000 {
        push(&mut publisher, now, record(1, now + 1)).unwrap();
        log.run_due_steps(now, &mut publisher, || Answer::Acknowledged);
    }
    assert_eq!(log.appends[0], 5);
    assert!(log.appends.len() <= 200, "{} appends", log.appends.len());
    assert!(log.records.len() > 990);
}

/// Guards against a backlog that overloads the log after an outage of an hour, also if the live
/// list lacks an instance.
#[rstest]
#[case::all_listed(6, 6)]
#[case::one_missing(6, 5)]
#[case::design_size(27, 27)]
#[case::design_size_one_missing(27, 26)]
fn backlog_drains_within_the_append_rate(#[case] instances: u64, #[case] listed: usize) {
    let mut log = FakeLog::default();
    let limits = Limits {
        // Each record needs an append of its own.
        batch_bytes: RECORD_BYTES,
        ..Limits::default()
    };
    let mut publishers: Vec<_> = (0..instances).map(|_| publisher(limits.clone())).collect();
    let backlog = 3_000 / instances;
    for (process, publisher) in (0..).zip(&mut publishers) {
        publisher.set_instances(Time(0), listed);
        for sequence in 1..=backlog {
            push(publisher, 0, record(process, sequence)).unwrap();
        }
    }
    // The log is down for an hour. Only its last minute is simulated: the retries before it would
    // add nothing to the test.
    for now in (HOUR_MS - 60_000)..(HOUR_MS + 60_000) {
        let answer = if now < HOUR_MS {
            Answer::Refused
        } else {
            Answer::Acknowledged
        };
        for publisher in &mut publishers {
            log.run_due_steps(now, publisher, || answer);
        }
    }
    assert_eq!(log.records.len() as u64, backlog * instances);
    for (i, at) in log.appends.iter().enumerate() {
        let appends = log.appends[i..].partition_point(|other| *other < at + 1_000);
        assert!(
            appends <= 300,
            "{appends} appends in the second after {at} ms"
        );
    }
}

/// Guards against unbounded memory use in a long outage, and against records that are never offered
/// to peers or are offered repeatedly.
#[test]
fn outage_fills_bounded_queue_and_offers_copies() {
    let limits = Limits {
        queue_count: 10,
        ..Limits::default()
    };
    let mut publisher = publisher(limits);
    let mut log = FakeLog::default();
    for sequence in 1..=10 {
        push(&mut publisher, 0, record(1, sequence)).unwrap();
    }
    assert_eq!(push(&mut publisher, 0, record(1, 11)), Err(QueueFull));
    log.run_due_steps(100, &mut publisher, || Answer::Refused);
    assert_eq!(publisher.failing(Time(300)), Some(200));
    assert!(publisher.overdue(Time(499)).is_empty());
    assert_eq!(publisher.overdue(Time(500)).len(), 10);
    assert!(publisher.overdue(Time(501)).is_empty());
    publisher.clear_held(&[record(1, 3).id]);
    assert_eq!(publisher.overdue(Time(502))[0].1, record(1, 3));
}

/// Guards against the answer "not run" for a record that may still be in the log or reach it.
#[rstest]
#[case::refused(Answer::Refused, Withdrawn::Yes)]
#[case::lost(Answer::Lost, Withdrawn::MaybeAppended)]
#[case::delayed(Answer::Delayed, Withdrawn::MaybeAppended)]
#[case::acknowledged(Answer::Acknowledged, Withdrawn::Gone)]
fn only_unlogged_records_are_withdrawn(#[case] answer: Answer, #[case] expected: Withdrawn) {
    let mut publisher = publisher(Limits::default());
    let mut log = FakeLog::default();
    push(&mut publisher, 0, record(1, 1)).unwrap();
    log.run_due_steps(10, &mut publisher, || answer);
    assert_eq!(publisher.withdraw(record(1, 1).id), expected);
}

/// Guards against a configuration change that takes effect long after its caller gave up.
#[test]
fn record_without_copies_is_not_sent_again() {
    let mut publisher = publisher(Limits::default());
    let mut log = FakeLog::default();
    let change = record(1, 1);
    publisher
        .push(Time(0), "jobs", change.clone(), RECORD_BYTES, false)
        .unwrap();
    push(&mut publisher, 0, record(1, 2)).unwrap();
    // The records never reach the log, but the lost answer leaves the outcome open.
    log.run_due_steps(10, &mut publisher, || Answer::Delayed);
    log.delayed.clear();
    assert_eq!(publisher.withdraw(change.id), Withdrawn::MaybeAppended);
    for now in 11..5_000 {
        log.run_due_steps(now, &mut publisher, || Answer::Acknowledged);
    }
    assert_eq!(log.applied_sequences(), [2]);
}

/// Guards against accepted records that are lost with their instance, or that are applied once per
/// holder of a copy.
#[test]
fn copies_of_a_dead_instance_are_applied_once() {
    let mut log = FakeLog::default();
    let jobs = Name::from("jobs");
    let mut holders = [publisher(Limits::default()), publisher(Limits::default())];
    for publisher in &mut holders {
        let mut copies = Copies::new(CopyLimits::default());
        for sequence in [1, 2, 2, 3] {
            copies
                .hold(&jobs, record(9, sequence), RECORD_BYTES)
                .unwrap();
        }
        copies.release(record(9, 1).id);
        assert!(
            copies.due(|_| true).is_empty(),
            "copies of a live instance are due"
        );
        for (stream, record, bytes) in copies.due(|_| false) {
            publisher
                .push(Time(0), &stream, record, bytes, false)
                .unwrap();
        }
        assert!(
            copies.due(|_| false).is_empty(),
            "copies were returned twice"
        );
        assert_eq!(copies.len(), 2);
    }
    for publisher in &mut holders {
        log.run_due_steps(10, publisher, || Answer::Acknowledged);
    }
    assert_eq!(log.records.len(), 4);
    assert_eq!(log.applied_sequences(), [2, 3]);
}

/// Guards against a record that counts as new although it was seen, for any order of the records of
/// its process.
#[test]
fn seen_records_are_not_new_again() {
    let mut seen = SeenRecords::new();
    let sequences = [5, 1, 3, 2, 9, 4];
    for (offset, sequence) in (0..).zip(sequences) {
        assert!(seen.insert(offset, record(1, sequence).id));
    }
    assert!(sequences.iter().all(|s| !seen.insert(9, record(1, *s).id)));
    assert_eq!(seen.ranges(), 2);
    seen.expire(10);
    assert_eq!(seen.ranges(), 0);
}

/// Guards against a coordinator that starts after retention has dropped records and lacks live
/// jobs, or that repeats finished, cancelled or started work. Snapshot parts arrive twice and out
/// of order.
#[test]
fn snapshot_replaces_expired_records() {
    let new_coordinator =
        || Coordinator::new(ZoneSettings::default(), Incarnation(7), "a".into(), 1);
    let feed = |coordinator: &mut Coordinator, offset: u64, body: Body| {
        let id = record(1, offset + 1).id;
        let record = Record { id, body };
        coordinator.handle(Time(offset), Event::Record { offset, record });
    };
    let mut full = new_coordinator();
    let mut offset = 0;
    for sequence in 1..=50 {
        let job = record(1, sequence);
        let Body::Cancelled { job } = job.body else {
            panic!("not a cancellation");
        };
        let spec = JobSpec {
            name: format!("job-{sequence}").into(),
            tasks: 2,
            repeat: Repeat::Once,
            ..JobSpec::default()
        };
        let zone = Name::from("a");
        let task = TaskId { job, index: 1 };
        let outcome = Outcome::Done;
        let mut bodies = vec![Body::Accepted { job, zone, spec }];
        match sequence % 3 {
            0 => bodies.push(Body::Finished { task, outcome }),
            1 => bodies.push(Body::Starting { task }),
            _ => {}
        }
        if sequence % 7 == 0 {
            bodies.push(Body::Cancelled { job });
        }
        for body in bodies {
            feed(&mut full, offset, body);
            offset += 1;
        }
    }
    let items = full.snapshot().into_iter().map(|item| (item, 100));
    let parts = split_snapshot(&"a".into(), items.collect(), 1_000);
    assert!(parts.len() >= 4);
    assert!(parts.iter().all(|part| part.items.len() <= 10));
    let mut restored = new_coordinator();
    for part in parts.iter().rev().chain(&parts) {
        feed(&mut restored, offset, Body::Snapshot(part.clone()));
        offset += 1;
    }
    assert!(full.snapshot().len() > 30);
    assert_eq!(restored.snapshot(), full.snapshot());
}

/// Guards against retention that drops the latest snapshot before the next one is published.
#[rstest]
#[case::nothing_dropped(0, 1_000, None, false)]
#[case::no_snapshot(1, 1_000, None, true)]
#[case::recent(1_000, 2_000, Some(1_500), false)]
#[case::older_half(1_000, 2_000, Some(1_499), true)]
fn snapshot_is_due_before_retention(
    #[case] oldest: u64,
    #[case] end: u64,
    #[case] first: Option<u64>,
    #[case] due: bool,
) {
    let mut schedule = SnapshotSchedule::new(Time(0));
    if let Some(first) = first {
        schedule.published(Time(0), first);
    }
    assert_eq!(schedule.due(Time(1), oldest, end), due);
    assert!(schedule.due(Time(HOUR_MS), oldest, end));
}
