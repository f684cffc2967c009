//! Tests of whole cells whose parts run as separate processes that are killed and paused.

#[expect(dead_code, reason = "shared with tests that use other parts")]
mod support;

use std::time::Duration;

use async_std::task::{block_on, sleep};
use primrosebay_protocol::api::TaskState;
use primrosebay_state::config::Resource;
use primrosebay_state::job::Policy;
use primrosebay_state::record::Outcome;
use primrosebay_state::resources::Resources;

use support::{Cell, batch};

/// Time for a takeover: longer than the control lease and the wait for commands of the former term.
const TAKEOVER_TIME: Duration = Duration::from_secs(4);

/// Guards against a failure anywhere on the path of a job from its submission to its outcome.
#[test]
fn job_completes() {
    block_on(async {
        let cell = Cell::start(2, 1).await;
        let job = cell.submit(0, &batch("rebuild", 20, 50)).await.unwrap();
        cell.wait_for_job(0, job.id, |j| j.outcome == Some(Outcome::Done))
            .await;
        cell.check_runs().await;
    });
}

/// Guards against the loss of an accepted job, and against overlapping runs of its tasks, after the
/// coordinator is killed.
#[test]
fn jobs_complete_after_coordinator_is_killed() {
    block_on(async {
        let mut cell = Cell::start(2, 2).await;
        let running = cell.submit(0, &batch("running", 4, 6000)).await.unwrap();
        let waiting = cell.submit(1, &batch("waiting", 60, 300)).await.unwrap();
        for entry in [0, 1] {
            cell.wait_for_job(entry, running.id, |_| true).await;
        }
        cell.entries.remove(0).kill();
        cell.wait_for_job(0, waiting.id, |j| j.outcome == Some(Outcome::Done))
            .await;
        cell.wait_for_job(0, running.id, |j| j.outcome == Some(Outcome::Done))
            .await;
        cell.check_runs().await;
    });
}

/// Guards against starts by a coordinator that is resumed after its leases have expired.
#[test]
fn stale_coordinator_starts_no_tasks() {
    block_on(async {
        let cell = Cell::start(2, 2).await;
        let before = cell.submit(0, &batch("before", 40, 500)).await.unwrap();
        for entry in [0, 1] {
            cell.wait_for_job(entry, before.id, |_| true).await;
        }
        for paused in [0, 1] {
            cell.entries[paused].pause();
            let other = 1 - paused;
            let name = format!("during-{paused}");
            let during = cell.submit(other, &batch(&name, 10, 100)).await.unwrap();
            cell.wait_for_job(other, during.id, |j| j.outcome == Some(Outcome::Done))
                .await;
            cell.entries[paused].resume();
            sleep(TAKEOVER_TIME).await;
        }
        cell.wait_for_job(0, before.id, |j| j.outcome == Some(Outcome::Done))
            .await;
        cell.check_runs().await;
    });
}

/// Guards against tasks that are not restarted after their worker is killed.
#[test]
fn tasks_of_killed_worker_are_restarted() {
    block_on(async {
        let mut cell = Cell::start(3, 1).await;
        let job = cell.submit(0, &batch("rebuild", 24, 1500)).await.unwrap();
        cell.wait_for_job(0, job.id, |j| {
            j.tasks.iter().any(|t| t.state == TaskState::Running)
        })
        .await;
        cell.workers.remove(0).kill();
        cell.wait_for_job(0, job.id, |j| j.outcome == Some(Outcome::Done))
            .await;
        cell.check_runs().await;
    });
}

/// Guards against services that are stopped or restarted while the log is unavailable.
#[test]
fn services_keep_running_without_log() {
    block_on(async {
        let cell = Cell::start(2, 1).await;
        let mut spec = batch("storefront", 4, 0);
        spec.policy = Policy::Service;
        let service = cell.submit(0, &spec).await.unwrap();
        let all_running = |j: &primrosebay_protocol::api::JobView| {
            j.tasks.iter().all(|t| t.state == TaskState::Running)
        };
        cell.wait_for_job(0, service.id, all_running).await;
        cell.log.pause();
        // Longer than the task lease of these tests (3 s), so the coordinator must renew it.
        sleep(Duration::from_secs(6)).await;
        let mut starts = 0;
        for worker in 0..2 {
            let status = cell.worker_status(worker).await;
            starts += status.history.len();
            assert!(status.history.iter().all(|s| s.ended.is_none()));
        }
        assert_eq!(starts, 4);
        cell.log.resume();
        cell.wait_for_job(0, service.id, all_running).await;
    });
}

/// Guards against a planned stop (`SIGTERM`) that exits with an error, or that lets the leases
/// expire instead of handing over.
#[test]
fn terminated_coordinator_hands_over() {
    block_on(async {
        let mut cell = Cell::start(2, 2).await;
        let job = cell.submit(0, &batch("rebuild", 30, 300)).await.unwrap();
        cell.wait_for_job(1, job.id, |_| true).await;
        assert!(cell.entries.remove(0).terminate());
        cell.wait_for_job(0, job.id, |j| j.outcome == Some(Outcome::Done))
            .await;
        cell.check_runs().await;
    });
}

/// Guards against requests that fail because a minion was killed, and against added minions that
/// are not used.
#[test]
fn requests_succeed_after_minion_is_killed() {
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

/// Guards against a zone that cannot use more than its even part of a team limit, and against
/// transfers of allowance that make the zones exceed the limit together.
#[test]
fn zone_borrows_allowance_of_idle_zone() {
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
        // The limit is divided evenly, 8 tasks per zone. Zone b keeps half of its
        // part as its floor.
        cell.wait_for_job(0, job.id, |j| {
            let running = j.tasks.iter().filter(|t| t.state == TaskState::Running);
            running.count() == 12
        })
        .await;
        let mut other = batch("other", 30, 100);
        other.zones = vec!["b".into()];
        let other = cell.submit(0, &other).await.unwrap();
        cell.wait_for_job(1, other.id, |j| j.outcome == Some(Outcome::Done))
            .await;
        assert!(cell.max_running().await <= 16);
        cell.check_runs().await;
    });
}

/// Guards against a zone without a coordinator after its only entry instance is killed.
#[test]
fn instance_of_other_zone_takes_over() {
    block_on(async {
        let mut cell = Cell::start_in(&["a", "b"], 1, 1).await;
        let mut spec = batch("rebuild", 12, 1000);
        spec.zones = vec!["a".into()];
        let job = cell.submit(1, &spec).await.unwrap();
        cell.wait_for_job(1, job.id, |j| {
            j.tasks.iter().any(|t| t.state == TaskState::Running)
        })
        .await;
        cell.entries.remove(0).kill();
        cell.wait_for_job(0, job.id, |j| j.outcome == Some(Outcome::Done))
            .await;
        cell.check_runs().await;
    });
}
