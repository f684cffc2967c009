//! What instances answer from the records of the log.

use std::sync::Arc;

use primrosebay_cell::job::{JobKey, JobSpec, Step};
use primrosebay_cell::ledger::{JobState, Ledger};
use primrosebay_cell::record::{Outcome, Placement, Progress, Record, Submission, TaskProgress};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const QUEUES: [&str; 2] = ["urgent", "batch"];

fn submission(queue: &str) -> Submission {
    let spec = JobSpec {
        steps: vec![Step {
            count: 1,
            ..Step::default()
        }],
        ..JobSpec::default()
    };
    Submission {
        queue: queue.into(),
        account: None,
        spec: Arc::new(spec),
        accepted_ms: 1,
    }
}

fn random_record(rng: &mut SmallRng) -> Record {
    let job = JobKey(rng.random_range(0..40));
    match rng.random_range(0..4) {
        0 => Record::Submitted(job, submission(QUEUES.choose(rng).expect("queues exist"))),
        1 => Record::Cancelled(job),
        _ => {
            let outcomes = [None, None, Some(Outcome::Completed), Some(Outcome::Failed)];
            let progress = Progress {
                begun: rng.random_bool(0.5),
                outcome: *outcomes.choose(rng).expect("outcomes exist"),
                ..Progress::default()
            };
            Record::Progress(job, progress)
        }
    }
}

/// Guards against a number of waiting jobs that drifts from the states of the jobs, whatever the
/// order in which records are read, repeated and removed.
#[test]
fn pending_jobs_are_those_whose_state_is_pending() {
    let mut rng = SmallRng::seed_from_u64(32);
    let mut ledger = Ledger::default();
    for _ in 0..4_000 {
        if rng.random_bool(0.1) {
            let kind = ["j", "c", "p"].choose(&mut rng).expect("kinds exist");
            ledger.remove(&format!("{kind}{}", JobKey(rng.random_range(0..40))));
        } else {
            let record = random_record(&mut rng);
            ledger.apply(rng.random_range(0..4_000), record);
        }
        for queue in QUEUES {
            let jobs = ledger.jobs().filter(|(_, s)| &*s.queue == queue);
            let pending = jobs.filter(|(job, _)| ledger.state(*job) == Some(JobState::Pending));
            assert_eq!(ledger.pending_jobs(queue), pending.count(), "{queue}");
        }
    }
}

/// Guards against answers that wait for the end of a job which cannot be near.
#[rstest]
#[case::placed(&["minion", "minion"], true)]
#[case::done(&["done", "minion"], true)]
#[case::not_placed(&["pending", "minion"], false)]
fn job_may_end_next_if_all_its_tasks_are_placed(#[case] tasks: &[&str], #[case] expected: bool) {
    let task = |placement: &&str| TaskProgress {
        placement: match *placement {
            "pending" => Placement::Pending,
            "done" => Placement::Done,
            minion => Placement::Minion(minion.into()),
        },
        ..TaskProgress::default()
    };
    let progress = Progress {
        begun: true,
        tasks: tasks.iter().map(task).collect(),
        ..Progress::default()
    };
    let job = JobKey(1);
    let mut ledger = Ledger::default();
    ledger.apply(1, Record::Submitted(job, submission("urgent")));
    assert!(!ledger.may_end_next(job), "nothing has been placed");
    ledger.apply(2, Record::Progress(job, progress.clone()));
    assert_eq!(ledger.may_end_next(job), expected);
    let outcome = Some(Outcome::Completed);
    ledger.apply(
        3,
        Record::Progress(
            job,
            Progress {
                outcome,
                ..progress
            },
        ),
    );
    assert!(!ledger.may_end_next(job), "the job has ended");
}
