//! Bounded queues, fairness between accounts and shedding.

use primrosebay_coordination::routing::admission::{Queue, QueueRules, Waiting};
use primrosebay_coordination::routing::minion::{Endpoint, Feedback, Listed};
use primrosebay_coordination::routing::router::{
    Admission, AdmissionRequest, Router, RouterRules, Shed,
};
use primrosebay_state::Name;
use primrosebay_state::time::Time;
use rstest::rstest;

fn waiting(ticket: u64, deadline: u64) -> Waiting {
    Waiting {
        ticket,
        deadline: Time(deadline),
        avoid: None,
    }
}

fn queue(count: usize) -> Queue {
    Queue::new(QueueRules {
        count,
        bytes: 1_000,
        ..QueueRules::default()
    })
}

fn offer(account: &str, ticket: u64, deadline: u64) -> AdmissionRequest {
    AdmissionRequest {
        account: account.into(),
        request: waiting(ticket, deadline),
        retried: false,
    }
}

fn router(minions: usize) -> Router {
    let mut router = Router::new("a".into(), RouterRules::default(), 5, Time(0));
    let list: Vec<_> = (0..minions)
        .map(|i| Listed {
            endpoint: Endpoint {
                name: format!("m{i}").into(),
                zone: "a".into(),
                address: "127.0.0.1:1".into(),
            },
            leaving: false,
        })
        .collect();
    router.update(&list, Time(0));
    router
}

/// Runs one request of `ms` so that the router knows the service time.
fn learn(router: &mut Router, ms: u64) {
    for ticket in 0..64 {
        let Admission::Start(site) = router.admit(offer("x", ticket, 100_000), Time(0)) else {
            panic!("a free slot");
        };
        router.finish(
            &"x".into(),
            &site.name,
            Feedback::default(),
            Some(ms),
            Time(0),
        );
    }
}

/// Guards against a large account that keeps the others' requests waiting.
#[test]
fn the_account_with_the_fewest_running_is_next() {
    let (mut queue, large, small) = (queue(100), Name::from("large"), Name::from("small"));
    for ticket in 0..10 {
        queue.push(&large, waiting(ticket, 100), false);
    }
    for ticket in 10..12 {
        queue.push(&small, waiting(ticket, 100), false);
    }
    let order: Vec<u64> = std::iter::from_fn(|| {
        let (account, request) = queue.pop()?;
        queue.started(&account);
        Some(request.ticket)
    })
    .take(5)
    .collect();
    assert_eq!(order, [0, 10, 1, 11, 2]);
}

/// Guards against a team that gets a larger part by inventing accounts.
#[test]
fn accounts_of_one_team_share_its_part() {
    let mut queue = queue(100);
    for (ticket, account) in (0..).zip(["a/1", "a/2", "a/3", "b/1", "b/1", "b/1"]) {
        queue.push(&account.into(), waiting(ticket, 100), false);
    }
    let order: Vec<Name> = std::iter::from_fn(|| {
        let (account, _) = queue.pop()?;
        queue.started(&account);
        Some(account)
    })
    .collect();
    assert_eq!(order.concat(), "a/1b/1a/2b/1a/3b/1");
}

/// Guards against queues without a bound, and against an account that fills the queue and so
/// locks the others out.
#[test]
fn a_full_queue_drops_the_newest_of_the_largest_account() {
    let (mut queue, large, small) = (queue(3), Name::from("large"), Name::from("small"));
    for ticket in 0..3 {
        assert_eq!(queue.push(&large, waiting(ticket, 100), false), None);
    }
    assert_eq!(queue.push(&large, waiting(3, 100), false), Some(3));
    assert_eq!(queue.push(&small, waiting(4, 100), false), Some(2));
    assert_eq!((queue.len(), queue.waiting("small")), (3, 1));
}

/// Guards against bodies that exhaust the memory, and against one account that holds all of it.
#[test]
fn held_bytes_are_bounded_in_total_and_per_account() {
    let (mut queue, names) = (queue(10), ["a", "b", "c"].map(Name::from));
    assert!(queue.reserve_bytes(&names[0], 500));
    assert!(
        !queue.reserve_bytes(&names[0], 1),
        "half of the bytes for one account"
    );
    assert!(queue.reserve_bytes(&names[1], 400));
    assert!(!queue.reserve_bytes(&names[2], 101), "all bytes are held");
    queue.release_bytes(&names[0], 500);
    assert!(queue.reserve_bytes(&names[2], 101));
    assert_eq!(queue.bytes(), 501);
}

/// Guards against work for callers that have given up by the time of the answer, and against an
/// estimate that sheds everything for ever.
#[rstest]
#[case(40, 0, Admission::Shed(Shed::Late))]
#[case(500, 0, Admission::Wait(None))]
#[case(40, 5_000, Admission::Wait(None))]
fn requests_that_cannot_meet_their_deadline_are_shed(
    #[case] left: u64,
    #[case] at: u64,
    #[case] expected: Admission,
) {
    let mut router = router(1);
    learn(&mut router, 50);
    for ticket in 100..108 {
        let started = router.admit(offer("x", ticket, 100_000), Time(0));
        assert!(matches!(started, Admission::Start(_)));
    }
    assert_eq!(router.admit(offer("x", 200, at + left), Time(at)), expected);
}

/// Guards against requests that waited too long and still take a slot from those in time.
#[test]
fn a_waiting_request_is_shed_when_its_time_has_run_out() {
    let mut router = router(1);
    learn(&mut router, 50);
    let mut sites = Vec::new();
    for ticket in 100..108 {
        if let Admission::Start(site) = router.admit(offer("x", ticket, 100_000), Time(0)) {
            sites.push(site);
        }
    }
    router.admit(offer("x", 200, 120), Time(0));
    router.admit(offer("x", 201, 10_000), Time(0));
    router.finish(
        &"x".into(),
        &sites[0].name,
        Feedback::default(),
        Some(50),
        Time(90),
    );
    let first = router.dequeue(Time(90)).unwrap();
    assert_eq!((first.ticket, first.result), (200, Err(Shed::Late)));
    let second = router.dequeue(Time(90)).unwrap();
    assert_eq!((second.ticket, second.result.is_ok()), (201, true));
    assert_eq!(router.dequeue(Time(90)), None);
}

/// Guards against callers that wait for a service that nobody serves.
#[test]
fn without_minions_requests_are_refused_at_once() {
    let refused = router(0).admit(offer("x", 1, 1_000), Time(0));
    assert_eq!(refused, Admission::Shed(Shed::NoMinion));
}
