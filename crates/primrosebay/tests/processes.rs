//! Whole sessions with every part as a process of its own, under kills and freezes.

mod support;

use std::time::Duration;

use async_std::task::{block_on, sleep};
use primrosebay_protocol::api::TaskState;
use primrosebay_state::config::Resource;
use primrosebay_state::job::Policy;
use primrosebay_state::record::Outcome;
use primrosebay_state::resources::Resources;

use support::{Cell, batch};

/// Longer than the control lease and the wait for commands of the old term.
const TAKEOVER: Duration = Duration::from_secs(4);

/// Guards against a break anywhere on the way from a caller to a worker and back.
#[test]
fn job_runs_to_its_end() {
    block_on(async {
        let cell = Cell::start(2, 1).await;
        let job = cell.submit(0, &batch("rebuild", 20, 50)).await.unwrap();
        cell.wait(0, job.id, |j| j.outcome == Some(Outcome::Done))
            .await;
        cell.check_single().await;
    });
}

/// Guards against losing an accepted job, or running its tasks twice, when the coordinator dies.
#[test]
fn killed_coordinator_loses_nothing() {
    block_on(async {
        let mut cell = Cell::start(2, 2).await;
        let running = cell.submit(0, &batch("running", 4, 6000)).await.unwrap();
        let waiting = cell.submit(1, &batch("waiting", 60, 300)).await.unwrap();
        for entry in [0, 1] {
            cell.wait(entry, running.id, |_| true).await;
        }
        cell.entries.remove(0).kill();
        cell.wait(0, waiting.id, |j| j.outcome == Some(Outcome::Done))
            .await;
        cell.wait(0, running.id, |j| j.outcome == Some(Outcome::Done))
            .await;
        cell.check_single().await;
    });
}

/// Guards against starts by a coordinator that was paused past its leases and wakes up.
#[test]
fn frozen_coordinator_starts_nothing_when_it_wakes() {
    block_on(async {
        let cell = Cell::start(2, 2).await;
        let before = cell.submit(0, &batch("before", 40, 500)).await.unwrap();
        for entry in [0, 1] {
            cell.wait(entry, before.id, |_| true).await;
        }
        for frozen in [0, 1] {
            cell.entries[frozen].freeze();
            let other = 1 - frozen;
            let name = format!("during-{frozen}");
            let during = cell.submit(other, &batch(&name, 10, 100)).await.unwrap();
            cell.wait(other, during.id, |j| j.outcome == Some(Outcome::Done))
                .await;
            cell.entries[frozen].thaw();
            sleep(TAKEOVER).await;
        }
        cell.wait(0, before.id, |j| j.outcome == Some(Outcome::Done))
            .await;
        cell.check_single().await;
    });
}

/// Guards against losing the tasks of a worker that dies.
#[test]
fn tasks_of_a_killed_worker_run_elsewhere() {
    block_on(async {
        let mut cell = Cell::start(3, 1).await;
        let job = cell.submit(0, &batch("rebuild", 24, 1500)).await.unwrap();
        cell.wait(0, job.id, |j| {
            j.tasks.iter().any(|t| t.state == TaskState::Running)
        })
        .await;
        cell.workers.remove(0).kill();
        cell.wait(0, job.id, |j| j.outcome == Some(Outcome::Done))
            .await;
        cell.check_single().await;
    });
}

/// Guards against stopping running services when the log is down.
#[test]
fn services_run_on_without_the_log() {
    block_on(async {
        let cell = Cell::start(2, 1).await;
        let mut spec = batch("storefront", 4, 0);
        spec.policy = Policy::Service;
        let service = cell.submit(0, &spec).await.unwrap();
        let all_run = |j: &primrosebay_protocol::api::JobView| {
            j.tasks.iter().all(|t| t.state == TaskState::Running)
        };
        cell.wait(0, service.id, all_run).await;
        cell.log.freeze();
        // Longer than the task lease of these tests, so that renewals must go on.
        sleep(Duration::from_secs(6)).await;
        let mut starts = 0;
        for worker in 0..2 {
            let status = cell.status(worker).await;
            starts += status.history.len();
            assert!(status.history.iter().all(|s| s.ended.is_none()));
        }
        assert_eq!(starts, 4);
        cell.log.thaw();
        cell.wait(0, service.id, all_run).await;
    });
}

/// Guards against a planned stop that leaves the leases to run out or ends with an error.
#[test]
fn planned_stop_hands_over() {
    block_on(async {
        let mut cell = Cell::start(2, 2).await;
        let job = cell.submit(0, &batch("rebuild", 30, 300)).await.unwrap();
        cell.wait(1, job.id, |_| true).await;
        assert!(cell.entries.remove(0).terminate());
        cell.wait(0, job.id, |j| j.outcome == Some(Outcome::Done))
            .await;
        cell.check_single().await;
    });
}

/// Guards against a request that gets no answer because a minion died or a new one is not used.
#[test]
fn requests_survive_a_killed_minion() {
    block_on(async {
        let mut cell = Cell::start(1, 1).await;
        cell.add_minion().await;
        cell.add_minion().await;
        cell.wait_for_minions(0).await;
        cell.minions.remove(0).kill();
        for i in 0..50 {
            let answer = cell.call(0, &format!("basket {i}")).await;
            assert!(answer.is_ok(), "{answer:?}");
        }
    });
}

/// Guards against a limit that only its even part can be used of in one zone, and against transfers
/// that together exceed it.
#[test]
fn zone_uses_the_allowance_of_an_idle_one() {
    block_on(async {
        let cell = Cell::start_in(&["a", "b"], 2, 1).await;
        let limit = Resources {
            cores_milli: 16_000,
            memory_mib: 1_000_000,
            accelerators: 0,
        };
        cell.put("shops", &Resource::Team { share: 1, limit }).await;
        let mut spec = batch("rebuild", 16, 0);
        spec.policy = Policy::Service;
        spec.zones = vec!["a".into()];
        let job = cell.submit(1, &spec).await.unwrap();
        // The even part is 8 tasks, and zone b keeps half of its own as its floor.
        cell.wait(0, job.id, |j| {
            let running = j.tasks.iter().filter(|t| t.state == TaskState::Running);
            running.count() == 12
        })
        .await;
        let mut other = batch("other", 30, 100);
        other.zones = vec!["b".into()];
        let other = cell.submit(0, &other).await.unwrap();
        cell.wait(1, other.id, |j| j.outcome == Some(Outcome::Done))
            .await;
        assert!(cell.most_at_once().await <= 16);
        cell.check_single().await;
    });
}

/// Guards against a zone without a coordinator after its only entry instance died.
#[test]
fn instance_of_another_zone_takes_over() {
    block_on(async {
        let mut cell = Cell::start_in(&["a", "b"], 1, 1).await;
        let mut spec = batch("rebuild", 12, 1000);
        spec.zones = vec!["a".into()];
        let job = cell.submit(1, &spec).await.unwrap();
        cell.wait(1, job.id, |j| {
            j.tasks.iter().any(|t| t.state == TaskState::Running)
        })
        .await;
        cell.entries.remove(0).kill();
        cell.wait(0, job.id, |j| j.outcome == Some(Outcome::Done))
            .await;
        cell.check_single().await;
    });
}
