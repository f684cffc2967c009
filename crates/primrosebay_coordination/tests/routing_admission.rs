//! Limits of the admission queue, fairness between accounts, and load shedding.

use primrosebay_coordination::routing::admission::{Queue, QueueRules, SlotRequest};
use primrosebay_coordination::routing::minion::{Endpoint, Feedback, Listed};
use primrosebay_coordination::routing::router::{
    Admission, AdmissionRequest, Router, RouterRules, Shed,
};
use primrosebay_state::Name;
use primrosebay_state::time::Time;
use rstest::rstest;

fn slot_request(ticket: u64, deadline: u64) -> SlotRequest {
    SlotRequest {
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

fn request(account: &str, ticket: u64, deadline: u64) -> AdmissionRequest {
    AdmissionRequest {
        account: account.into(),
        request: slot_request(ticket, deadline),
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

/// Completes requests of `ms` milliseconds, so that the router estimates the service time.
fn record_service_time(router: &mut Router, ms: u64) {
    for ticket in 0..64 {
        let Admission::Start(endpoint) = router.admit(request("x", ticket, 100_000), Time(0))
        else {
            panic!("no free slot");
        };
        router.finish(
            &"x".into(),
            &endpoint.name,
            Feedback::default(),
            Some(ms),
            Time(0),
        );
    }
}

/// Guards against an account with many requests that keeps the requests of others waiting.
#[test]
fn the_account_with_the_fewest_running_is_next() {
    let (mut queue, large, small) = (queue(100), Name::from("large"), Name::from("small"));
    for ticket in 0..10 {
        queue.push(&large, slot_request(ticket, 100), false);
    }
    for ticket in 10..12 {
        queue.push(&small, slot_request(ticket, 100), false);
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

/// Guards against a team that gets a larger share by inventing accounts.
#[test]
fn accounts_of_one_team_share_its_slots() {
    let mut queue = queue(100);
    for (ticket, account) in (0..).zip(["a/1", "a/2", "a/3", "b/1", "b/1", "b/1"]) {
        queue.push(&account.into(), slot_request(ticket, 100), false);
    }
    let order: Vec<Name> = std::iter::from_fn(|| {
        let (account, _) = queue.pop()?;
        queue.started(&account);
        Some(account)
    })
    .collect();
    assert_eq!(order.concat(), "a/1b/1a/2b/1a/3b/1");
}

/// Guards against unbounded queues, and against an account that fills the queue and so locks others
/// out.
#[test]
fn a_full_queue_evicts_the_newest_request_of_the_largest_account() {
    let (mut queue, large, small) = (queue(3), Name::from("large"), Name::from("small"));
    for ticket in 0..3 {
        assert_eq!(queue.push(&large, slot_request(ticket, 100), false), None);
    }
    assert_eq!(queue.push(&large, slot_request(3, 100), false), Some(3));
    assert_eq!(queue.push(&small, slot_request(4, 100), false), Some(2));
    assert_eq!((queue.len(), queue.waiting("small")), (3, 1));
}

/// Guards against request bodies that exhaust the memory, and against one account that reserves all
/// of it.
#[test]
fn reserved_bytes_are_bounded_in_total_and_per_account() {
    let (mut queue, names) = (queue(10), ["a", "b", "c"].map(Name::from));
    assert!(queue.reserve_bytes(&names[0], 500));
    assert!(
        !queue.reserve_bytes(&names[0], 1),
        "one account reserved more than half of the bytes"
    );
    assert!(queue.reserve_bytes(&names[1], 400));
    assert!(
        !queue.reserve_bytes(&names[2], 101),
        "more than all bytes were reserved"
    );
    queue.release_bytes(&names[0], 500);
    assert!(queue.reserve_bytes(&names[2], 101));
    assert_eq!(queue.bytes(), 501);
}

/// Guards against work for clients that will have given up before the answer, and against an
/// estimate that never expires and sheds all requests.
#[rstest]
#[case(40, 0, Admission::Shed(Shed::Late))]
#[case(500, 0, Admission::Wait(None))]
#[case(40, 5_000, Admission::Wait(None))]
fn requests_that_cannot_meet_their_deadline_are_shed(
    #[case] remaining: u64,
    #[case] at: u64,
    #[case] expected: Admission,
) {
    let mut router = router(1);
    record_service_time(&mut router, 50);
    for ticket in 100..108 {
        let admission = router.admit(request("x", ticket, 100_000), Time(0));
        assert!(matches!(admission, Admission::Start(_)));
    }
    assert_eq!(
        router.admit(request("x", 200, at + remaining), Time(at)),
        expected
    );
}

/// Guards against requests that have waited too long to meet their deadline but still take a slot.
#[test]
fn a_waiting_request_that_cannot_meet_its_deadline_is_shed() {
    let mut router = router(1);
    record_service_time(&mut router, 50);
    let mut endpoints = Vec::new();
    for ticket in 100..108 {
        if let Admission::Start(endpoint) = router.admit(request("x", ticket, 100_000), Time(0)) {
            endpoints.push(endpoint);
        }
    }
    router.admit(request("x", 200, 120), Time(0));
    router.admit(request("x", 201, 10_000), Time(0));
    router.finish(
        &"x".into(),
        &endpoints[0].name,
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

/// Guards against clients that wait for a service without minions.
#[test]
fn without_minions_requests_are_shed_at_once() {
    let admission = router(0).admit(request("x", 1, 1_000), Time(0));
    assert_eq!(admission, Admission::Shed(Shed::NoMinion));
}
