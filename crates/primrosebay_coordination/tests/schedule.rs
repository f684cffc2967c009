//! Tests of placement, fair sharing, gangs, preemption and explanations.

mod common;

use common::{amount, job, placed, preempted, spec, submit, task, team, zone};
use primrosebay_coordination::schedule::{Reason, ResourceKind, Scheduler, Settings};
use primrosebay_state::Name;
use primrosebay_state::job::{JobSpec, Policy, Repeat};
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;
use rstest::rstest;

/// Guards against a task that takes a part of the largest free worker although it fits on a smaller
/// one.
#[test]
fn batch_tasks_use_the_best_fit() {
    let mut s = zone(3, 1, amount(16, 32, 0));
    team(&mut s, "a", 1);
    s.add_running(Time(0), task(90, 0), "w1", &spec("a", 1, amount(12, 24, 0)));
    submit(&mut s, 0, 1, &spec("a", 1, amount(4, 8, 0)));
    assert_eq!(placed(&s.schedule(Time(0), 9)), [(1, 0, "w1".into())]);
}

/// Guards against tasks without accelerators that fill accelerator workers while accelerator jobs
/// are pending.
#[test]
fn accelerator_headroom_is_kept_while_accelerator_jobs_wait() {
    let mut s = zone(1, 1, amount(8, 16, 0));
    s.set_worker("acc".into(), "r9".into(), amount(8, 16, 2));
    team(&mut s, "a", 1);
    submit(&mut s, 0, 1, &spec("a", 4, amount(2, 4, 0)));
    submit(&mut s, 0, 2, &spec("a", 4, amount(2, 4, 0)));
    submit(&mut s, 0, 3, &spec("a", 3, amount(4, 8, 1)));
    let on_acc: Vec<_> = placed(&s.schedule(Time(0), 99))
        .into_iter()
        .filter(|p| p.2 == "acc")
        .map(|p| p.0)
        .collect();
    assert_eq!(on_acc, [3, 3]);
    s.cancel(Time(1), job(3));
    s.release(Time(1), task(3, 0));
    assert!(s.schedule(Time(2), 99).is_empty());
    assert_eq!(
        s.explain(job(2)),
        [Reason::AcceleratorHeadroom { workers: 1 }]
    );
    // After `headroom_ms` without pending accelerator jobs, other tasks may use the worker.
    assert_eq!(placed(&s.schedule(Time(700_000), 99)).len(), 2);
}

/// Guards against two tasks of a service on one rack while another rack has none.
#[test]
fn services_spread_over_racks_and_workers() {
    let mut s = zone(8, 2, amount(16, 32, 0));
    team(&mut s, "a", 1);
    let service = JobSpec {
        policy: Policy::Service,
        ..spec("a", 8, amount(1, 1, 0))
    };
    submit(&mut s, 0, 1, &service);
    let workers: Vec<_> = placed(&s.schedule(Time(0), 99))
        .into_iter()
        .map(|p| p.2[1..].parse::<usize>().expect("a number"))
        .collect();
    let mut racks: Vec<_> = workers[..4].iter().map(|w| w / 2).collect();
    racks.sort_unstable();
    assert_eq!(racks, [0, 1, 2, 3]);
    let mut sorted = workers.clone();
    sorted.sort_unstable();
    assert_eq!(sorted, [0, 1, 2, 3, 4, 5, 6, 7]);
}

/// Guards against more tasks of a job on a rack or worker than its limits allow.
#[rstest]
#[case::service(Policy::Service)]
#[case::batch(Policy::Batch)]
fn rack_and_worker_limits_hold(#[case] policy: Policy) {
    let mut s = zone(4, 2, amount(16, 32, 0));
    team(&mut s, "a", 1);
    let limited = JobSpec {
        policy,
        worker_limit: 2,
        rack_limit: 3,
        ..spec("a", 10, amount(1, 1, 0))
    };
    submit(&mut s, 0, 1, &limited);
    assert_eq!(placed(&s.schedule(Time(0), 99)).len(), 6);
    assert_eq!(
        s.explain(job(1)),
        [
            Reason::WorkerLimit { limit: 2 },
            Reason::RackLimit { limit: 3 }
        ]
    );
}

/// Guards against starting only a part of a gang, and against a gang that starves because smaller
/// tasks keep taking the resources that become free.
#[test]
fn gang_gets_a_reservation_and_short_tasks_backfill() {
    let mut s = zone(2, 2, amount(8, 16, 0));
    team(&mut s, "a", 1);
    for (number, worker, run_ms) in [(90, "w0", 60_000), (91, "w1", 30_000)] {
        let running = JobSpec {
            run_ms,
            ..spec("a", 1, amount(6, 6, 0))
        };
        s.add_running(Time(0), task(number, 0), worker, &running);
    }
    let gang = JobSpec {
        policy: Policy::Gang,
        ..spec("a", 2, amount(8, 8, 0))
    };
    submit(&mut s, 0, 1, &gang);
    assert!(s.schedule(Time(0), 99).is_empty());
    assert_eq!(
        s.explain(job(1))[0],
        Reason::NotFree {
            kind: ResourceKind::Cores,
            needed: 8000,
            largest: 2000
        }
    );
    let run_for = |run_ms| JobSpec {
        run_ms,
        ..spec("a", 1, amount(2, 2, 0))
    };
    submit(&mut s, 10, 2, &run_for(100_000));
    submit(&mut s, 10, 3, &run_for(50_000));
    let backfilled: Vec<_> = placed(&s.schedule(Time(10), 99))
        .into_iter()
        .map(|p| p.0)
        .collect();
    assert_eq!(backfilled, [3]);
    s.release(Time(30_000), task(91, 0));
    assert!(s.schedule(Time(30_000), 99).is_empty());
    s.release(Time(50_010), task(3, 0));
    s.release(Time(60_000), task(90, 0));
    let started: Vec<_> = placed(&s.schedule(Time(60_000), 1))
        .into_iter()
        .map(|p| p.0)
        .collect();
    assert_eq!(started, [1, 1]);
}

/// Guards against preempting a task that loses more work than another, a part of a gang or a task
/// that may run only once, and against giving the freed resources to other work before the urgent
/// task starts.
#[test]
fn urgent_task_preempts_the_lowest_loss() {
    let mut s = zone(4, 4, amount(4, 8, 0));
    team(&mut s, "a", 1);
    let whole_worker = spec("a", 1, amount(4, 8, 0));
    let once = JobSpec {
        repeat: Repeat::Once,
        ..whole_worker.clone()
    };
    let gang = JobSpec {
        policy: Policy::Gang,
        ..whole_worker.clone()
    };
    let checkpointed = JobSpec {
        checkpoint: true,
        ..whole_worker.clone()
    };
    s.add_running(Time(0), task(91, 0), "w1", &checkpointed);
    s.add_running(Time(50_000), task(90, 0), "w0", &whole_worker);
    s.add_running(Time(99_000), task(92, 0), "w2", &gang);
    s.add_running(Time(99_000), task(93, 0), "w3", &once);
    let urgent = |tasks| JobSpec {
        urgent: true,
        ..spec("a", tasks, amount(2, 2, 0))
    };
    submit(&mut s, 100_000, 1, &urgent(1));
    submit(&mut s, 100_000, 2, &spec("a", 1, amount(2, 2, 0)));
    assert_eq!(preempted(&s.schedule(Time(100_000), 99)), [task(91, 0)]);
    assert_eq!(
        s.explain(job(1))[0],
        Reason::AwaitingPreemption { tasks: 1 }
    );
    assert!(s.schedule(Time(100_001), 99).is_empty());
    s.requeue(Time(100_500), task(91, 0));
    let started = placed(&s.schedule(Time(100_500), 99));
    assert_eq!(started[0], (1, 0, "w1".into()));
    assert_eq!(started[1], (2, 0, "w1".into()));
}

/// Guards against one team that takes the whole zone with urgent tasks.
#[test]
fn urgent_work_is_bounded_for_each_team() {
    let mut s = zone(4, 4, amount(4, 8, 0));
    team(&mut s, "a", 1);
    team(&mut s, "b", 1);
    submit(&mut s, 0, 1, &spec("b", 16, amount(1, 1, 0)));
    assert_eq!(placed(&s.schedule(Time(0), 99)).len(), 16);
    let urgent = JobSpec {
        urgent: true,
        ..spec("a", 16, amount(1, 1, 0))
    };
    submit(&mut s, 0, 2, &urgent);
    // By default, the urgent tasks of one team may use a quarter of the zone.
    assert_eq!(preempted(&s.schedule(Time(1), 99)).len(), 4);
}

/// Guards against shares that ignore the weights of teams, and against idle resources that no team
/// may borrow.
#[test]
fn weighted_shares_with_borrowing() {
    let mut s = zone(6, 3, amount(10, 10, 0));
    team(&mut s, "a", 1);
    team(&mut s, "b", 2);
    submit(&mut s, 0, 1, &spec("a", 100, amount(1, 1, 0)));
    submit(&mut s, 0, 2, &spec("b", 100, amount(1, 1, 0)));
    let count = |p: &[(u64, u32, String)], n| p.iter().filter(|p| p.0 == n).count();
    let placements = placed(&s.schedule(Time(0), 999));
    assert_eq!((count(&placements, 1), count(&placements, 2)), (20, 40));
    s.cancel(Time(1), job(2));
    for (number, index, _) in placements.iter().filter(|p| p.0 == 2) {
        s.release(Time(1), task(*number, *index));
    }
    assert_eq!(placed(&s.schedule(Time(1), 999)).len(), 40);
}

/// Guards against a job that misses its deadline behind older work of its team.
#[test]
fn near_deadlines_come_first() {
    let mut s = zone(1, 1, amount(1, 1, 0));
    team(&mut s, "a", 1);
    submit(&mut s, 0, 1, &spec("a", 1, amount(1, 1, 0)));
    let with_deadline = JobSpec {
        deadline_ms: 200_000,
        ..spec("a", 1, amount(1, 1, 0))
    };
    submit(&mut s, 5, 2, &with_deadline);
    assert_eq!(placed(&s.schedule(Time(10), 9))[0].0, 2);
}

/// Guards against a team that exceeds its allowance after the allowance was lowered.
#[test]
fn lowered_allowance_preempts_the_newest_task() {
    let mut s = zone(1, 1, amount(8, 8, 0));
    s.set_team("a".into(), 1, amount(3, 8, 0));
    submit(&mut s, 0, 1, &spec("a", 2, amount(1, 1, 0)));
    s.schedule(Time(0), 9);
    submit(&mut s, 5, 2, &spec("a", 2, amount(1, 1, 0)));
    assert_eq!(placed(&s.schedule(Time(5), 9)).len(), 1);
    assert_eq!(
        s.explain(job(2)),
        [Reason::Allowance {
            team: Name::from("a"),
            kind: ResourceKind::Cores,
            needed: 1000,
            used: 3000,
            limit: 3000
        }]
    );
    s.set_team("a".into(), 1, amount(2, 8, 0));
    assert_eq!(preempted(&s.schedule(Time(6), 9)), [task(2, 0)]);
    s.requeue(Time(7), task(2, 0));
    assert!(s.schedule(Time(7), 9).is_empty());
}

/// Guards against trusting a declared run time that is far too low: backfilling and the reservation
/// of a gang use the run times of earlier jobs of the family.
#[test]
fn run_times_are_learned_for_a_family() {
    let mut s = zone(1, 1, amount(4, 4, 0));
    team(&mut s, "a", 1);
    let nightly = |day: u64| JobSpec {
        name: Name::from(format!("nightly-{day}")),
        ..spec("a", 1, amount(1, 1, 0))
    };
    for day in 0..4 {
        submit(&mut s, day * 1_000_000, day, &nightly(day));
        s.schedule(Time(day * 1_000_000), 9);
        s.release(Time(day * 1_000_000 + 900_000), task(day, 0));
    }
    let long = JobSpec {
        run_ms: 300_000,
        ..spec("a", 1, amount(3, 3, 0))
    };
    s.add_running(Time(5_000_000), task(90, 0), "w0", &long);
    let gang = JobSpec {
        policy: Policy::Gang,
        ..spec("a", 1, amount(4, 4, 0))
    };
    submit(&mut s, 5_000_000, 91, &gang);
    assert!(s.schedule(Time(5_000_000), 9).is_empty());
    // The task is declared to end before the gang can start, but its family takes longer.
    submit(&mut s, 5_000_001, 92, &nightly(4));
    assert!(s.schedule(Time(5_000_001), 9).is_empty());
    assert_eq!(s.explain(job(92)), [Reason::Held { workers: 1 }]);
}

/// Guards against declared sizes that are far off: with `learn_sizes`, a family is granted what it
/// used, between a quarter and four times of what it declares.
#[rstest]
#[case::too_large(amount(8, 8, 0), amount(4, 4, 0), amount(5, 5, 0))]
#[case::far_too_large(amount(8, 8, 0), amount(0, 1, 0), amount(2, 2, 0))]
#[case::too_small(amount(2, 2, 0), amount(4, 4, 0), amount(5, 5, 0))]
#[case::larger_than_a_worker(amount(4, 4, 0), amount(8, 8, 0), amount(4, 4, 0))]
fn sizes_are_learned_for_a_family(
    #[case] declared: Resources,
    #[case] used: Resources,
    #[case] granted: Resources,
) {
    let settings = Settings {
        learn_sizes: true,
        ..Settings::default()
    };
    let mut s = Scheduler::new(settings, 1);
    s.set_worker("w0".into(), "r0".into(), amount(8, 8, 0));
    team(&mut s, "a", 1);
    for number in 0..4 {
        submit(&mut s, number, number, &spec("a", 1, declared));
        s.schedule(Time(number), 9);
        assert_eq!(s.granted(task(number, 0)), Some(declared));
        s.record_usage(task(number, 0), &used);
        s.release(Time(number), task(number, 0));
    }
    submit(&mut s, 9, 9, &spec("a", 1, declared));
    s.schedule(Time(9), 9);
    assert_eq!(s.granted(task(9, 0)), Some(granted));
    assert_eq!(s.free(), amount(8, 8, 0).minus(&granted));
}

/// Guards against tasks on quarantined and removed workers.
#[test]
fn unusable_workers_get_no_tasks() {
    let mut s = zone(2, 1, amount(4, 4, 0));
    team(&mut s, "a", 1);
    s.set_usable("w0", false);
    s.remove_worker("w1");
    submit(&mut s, 0, 1, &spec("a", 1, amount(1, 1, 0)));
    assert!(s.schedule(Time(0), 9).is_empty());
    assert!(s.free().is_zero());
    s.set_usable("w0", true);
    assert_eq!(placed(&s.schedule(Time(1), 9)).len(), 1);
    s.remove_worker("w0");
    s.requeue(Time(2), task(1, 0));
    s.set_worker("w0".into(), "r0".into(), amount(4, 4, 0));
    assert_eq!(s.free(), amount(4, 4, 0));
    assert_eq!(placed(&s.schedule(Time(2), 9)).len(), 1);
}

/// Guards against accepting jobs that no worker can ever run.
#[rstest]
#[case(amount(9, 1, 0), 1, Some(Reason::NeverFits { kind: ResourceKind::Cores, needed: 9000, largest: 8000 }))]
#[case(amount(8, 1, 1), 1, Some(Reason::NeverFitsTogether))]
#[case(amount(3, 1, 0), 4, Some(Reason::GangTooLarge { tasks: 4, room: 3 }))]
#[case(amount(3, 1, 0), 3, None)]
fn impossible_jobs_report_the_reason(
    #[case] task_resources: Resources,
    #[case] tasks: u32,
    #[case] expected: Option<Reason>,
) {
    let mut s = zone(1, 1, amount(8, 8, 0));
    s.set_worker("acc".into(), "r9".into(), amount(4, 8, 2));
    let gang = JobSpec {
        policy: Policy::Gang,
        ..spec("a", tasks, task_resources)
    };
    assert_eq!(s.can_ever_fit(&gang).err(), expected);
}
