//! What callers are told of jobs, on a log in memory.

mod memory;

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use primrosebay_cell::job::{JobKey, JobSpec, Step};
use primrosebay_cell::ledger::JobState;
use primrosebay_cell::record::{Outcome, Progress, Record, Submission};
use primrosebay_member::calls::Status;
use primrosebay_member::node::Node;
use primrosebay_member::settings::Settings;
use primrosebay_transport::clock::Clock;

use memory::Memory;

fn submission() -> Submission {
    let step = Step {
        count: 1,
        ..Step::default()
    };
    Submission {
        queue: "queue".into(),
        account: None,
        spec: Arc::new(JobSpec {
            steps: vec![step],
            ..JobSpec::default()
        }),
        accepted_ms: 0,
    }
}

/// Guards against jobs that have ended and are said to run until the instance happens to read the
/// log again: callers count that time as theirs.
#[test]
fn job_that_has_ended_is_shown_so_at_once() {
    task::block_on(async {
        let memory = Memory::default();
        let settings = Settings {
            read_pause: Duration::from_secs(1),
            ..Settings::default()
        };
        let clock = Clock::boot();
        let node = Node::start(memory.clone(), settings, clock)
            .await
            .expect("an instance starts");
        memory.put(&Record::Submitted(JobKey(1), submission()));
        while !node.is_ready() {
            task::sleep(Duration::from_millis(5)).await;
        }
        let access = node
            .access("host.example", "/queue/1", None)
            .expect("the queue is public");
        let status = node.status(&access, JobKey(1)).await;
        assert_eq!(status, Status::Known(JobState::Pending));
        memory.put(&Record::Progress(
            JobKey(1),
            Progress {
                outcome: Some(Outcome::Completed),
                ..Progress::default()
            },
        ));
        let older = Settings::default().state_age * 2;
        task::sleep(older).await;
        let status = node.status(&access, JobKey(1)).await;
        assert_eq!(status, Status::Known(JobState::Ended(Outcome::Completed)));
        node.close().await;
    });
}
