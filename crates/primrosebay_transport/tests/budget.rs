//! The budget for the bytes of unfinished requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use primrosebay_transport::budget::{Budget, Cause, Charge};
use proptest::prelude::*;

const LIMIT: usize = 1_000;

/// Bytes a second that a client has to send so that it does not fall behind.
const MIN_RATE: u64 = 26_214;

/// Something that happens to one of the requests.
#[derive(Debug, Clone)]
enum Event {
    Open,
    Add(usize, usize),
    Finish(usize),
    Hold(usize, usize),
    Close(usize),
    /// Time passes, in microseconds.
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let number = 0..20_usize;
    prop_oneof![
        3 => Just(Event::Open),
        6 => (number.clone(), 0..300_usize).prop_map(|(i, bytes)| Event::Add(i, bytes)),
        1 => number.clone().prop_map(Event::Finish),
        1 => (number.clone(), 0..900_usize).prop_map(|(i, bytes)| Event::Hold(i, bytes)),
        2 => number.prop_map(Event::Close),
        4 => (0..20_000_u64).prop_map(Event::Wait),
    ]
}

/// A request as the test sees it.
struct Known {
    charge: Charge,
    bytes: usize,
    finished: bool,
    /// Time up to which the bytes suffice at the minimum rate.
    covered: Instant,
}

impl Known {
    fn is_arriving(&self) -> bool {
        !self.finished && !self.charge.is_given_up()
    }

    /// Returns the order in which requests are given up, the last one first.
    fn cost(&self, now: Instant) -> (u128, usize) {
        let behind = now.saturating_duration_since(self.covered).as_micros();
        (self.bytes as u128 * behind, self.bytes)
    }
}

/// Applies an event and checks that the requests that are given up are those that cost the most, and
/// none that was received completely.
fn apply(budget: &Arc<Budget>, requests: &mut Vec<Known>, event: &Event, now: &mut Instant) {
    if let Event::Wait(micros) = event {
        *now += Duration::from_micros(*micros);
        return;
    }
    let now = *now;
    let (Event::Add(i, _) | Event::Finish(i) | Event::Hold(i, _) | Event::Close(i)) = event else {
        let charge = budget.open(now);
        let (bytes, finished) = (0, false);
        requests.push(Known {
            charge,
            bytes,
            finished,
            covered: now,
        });
        return;
    };
    let Some(request) = requests.get_mut(*i) else {
        return;
    };
    let given_up = request.charge.is_given_up();
    match event {
        Event::Close(_) => {
            requests.remove(*i);
        }
        Event::Finish(_) => {
            assert_eq!(request.charge.finish().is_err(), given_up);
            request.finished |= !given_up;
        }
        // The bytes of a finished request are bounded by `hold` only.
        Event::Add(_, bytes) if !request.finished => {
            let before = arriving(requests);
            let request = &mut requests[*i];
            let result = request.charge.add(*bytes, now);
            assert_eq!(result.is_err(), request.charge.is_given_up());
            if result.is_ok() {
                request.bytes += bytes;
                let micros = *bytes as u64 * 1_000_000 / MIN_RATE;
                request.covered = (request.covered + Duration::from_micros(micros)).min(now);
            }
            assert_dearest_first(requests, &before, *i, now);
        }
        Event::Hold(_, bytes) if request.finished && request.charge.hold(*bytes) => {
            request.bytes += bytes;
        }
        _ => {}
    }
}

/// Returns which requests are arriving.
fn arriving(requests: &[Known]) -> Vec<bool> {
    requests.iter().map(Known::is_arriving).collect()
}

/// Checks that of the requests that were arriving none that is left costs more than one given up, apart
/// from the one whose bytes were added, which fails when too many tasks have not released theirs.
fn assert_dearest_first(requests: &[Known], before: &[bool], added: usize, now: Instant) {
    let left = requests.iter().filter(|r| r.is_arriving());
    let left = left.map(|r| r.cost(now)).max().unwrap_or_default();
    for (i, request) in requests.iter().enumerate() {
        if before[i] && request.charge.is_given_up() && i != added {
            let cost = request.cost(now);
            assert!(cost >= left, "{cost:?} before {left:?}");
        }
    }
}

proptest! {
    /// Guards against a process whose requests hold more bytes than its bound, against bytes that stay
    /// charged after their request has ended, and against requests that are given up out of order.
    #[test]
    fn bounds_hold_for_any_sequence(events in prop::collection::vec(event(), 1..200)) {
        let budget = Arc::new(Budget::new(LIMIT));
        let mut requests = Vec::new();
        let mut now = Instant::now();
        for event in &events {
            apply(&budget, &mut requests, event, &mut now);
            prop_assert!(budget.used() <= LIMIT, "{} bytes used", budget.used());
            prop_assert!(budget.held() <= LIMIT + LIMIT / 2, "{} bytes held", budget.held());
            let bytes: usize = requests.iter().map(|r| r.bytes).sum();
            prop_assert_eq!(budget.held(), bytes);
            let finished = requests.iter().filter(|r| r.finished);
            prop_assert!(finished.into_iter().all(|r| !r.charge.is_given_up()));
        }
        requests.clear();
        prop_assert_eq!(budget.held(), 0);
    }
}

/// Guards against small ordinary requests that are given up for a large one.
#[test]
fn largest_request_is_given_up_first() {
    let budget = Arc::new(Budget::new(LIMIT));
    let now = Instant::now();
    let (small, large) = (budget.open(now), budget.open(now));
    assert_eq!(large.add(900, now), Ok(()));
    assert_eq!(small.add(200, now), Ok(()));
    assert_eq!(large.add(1, now), Err(Cause::Memory));
    assert_eq!(large.finish(), Err(Cause::Memory));
    assert_eq!(small.finish(), Ok(()));
}

/// Guards against callers whose requests arrive in pieces and are given up for a crowd of smaller ones
/// that make no progress, or that send a byte from time to time.
#[test]
fn request_that_makes_progress_stays() {
    let budget = Arc::new(Budget::new(LIMIT));
    let start = Instant::now();
    let after = |ms| start + Duration::from_millis(ms);
    let mut crowd: Vec<Charge> = (0..10).map(|_| budget.open(start)).collect();
    for request in &crowd {
        assert_eq!(request.add(100, start), Ok(()));
    }
    for request in &crowd[1..] {
        // Exceeds the budget, so that the first one goes.
        let _ = request.add(1, after(900));
    }
    crowd.retain(|c| !c.is_given_up());
    assert_eq!(crowd.len(), 9);
    let ordinary = budget.open(after(950));
    for ms in [950, 1_000] {
        assert_eq!(ordinary.add(300, after(ms)), Ok(()));
        crowd.retain(|c| !c.is_given_up());
    }
    assert_eq!(crowd.len(), 3);
    // The crowd exceeds the budget again, a moment after its last byte and longer after that of the
    // ordinary request.
    for request in &crowd {
        let _ = request.add(100, after(1_050));
    }
    assert!(crowd.iter().any(Charge::is_given_up));
    assert_eq!(ordinary.finish(), Ok(()));
}

/// Guards against a request that is dropped after it was received completely, and against jobs that
/// fill the memory once they are parsed.
#[test]
fn complete_requests_stay_and_their_jobs_are_bounded() {
    let budget = Arc::new(Budget::new(LIMIT));
    let now = Instant::now();
    let [first, second, small] = [(); 3].map(|()| budget.open(now));
    assert_eq!(first.add(600, now), Ok(()));
    assert_eq!(first.finish(), Ok(()));
    assert_eq!(second.add(500, now), Err(Cause::Memory));
    assert!(!first.is_given_up());
    assert!(first.hold(100));
    assert!(!first.hold(100));
    assert_eq!(budget.given_up(Cause::Jobs), 1);
    assert_eq!(small.add(200, now), Ok(()));
    assert!(!first.is_given_up());
}

/// Guards against a long request that is passed on while it arrives and is refused once as many bytes
/// have come as fit into the memory, although they are not held.
#[test]
fn bytes_that_are_passed_on_are_not_charged() {
    let budget = Arc::new(Budget::new(LIMIT));
    let now = Instant::now();
    let request = budget.open(now);
    assert_eq!(request.add(300, now), Ok(()));
    request.pass_on();
    for _ in 0..10 {
        assert_eq!(request.add(300, now), Ok(()));
    }
    assert_eq!(budget.used(), 300);
    assert_eq!(request.finish(), Ok(()));
}

/// Guards against a budget that does not follow the memory of the machine.
#[test]
fn budget_is_a_part_of_the_memory() {
    assert_eq!(Budget::for_memory(160 << 20).limit(), 20 << 20);
    assert_eq!(Budget::for_memory(0).limit(), 0);
}

/// Bytes that are charged for a request without a body.
const SMALL: usize = 24 << 10;

/// Guards against a large ordinary request in two pieces that is given up for a crowd of small ones
/// that come back as soon as they are given up, so that each of them is behind only for a moment.
#[test]
fn returning_small_requests_do_not_displace_large_ones() {
    const PLACES: usize = 100;
    let budget = Arc::new(Budget::new(PLACES * SMALL));
    let start = Instant::now();
    let after = |micros| start + Duration::from_micros(micros);
    let mut crowd = Vec::new();
    // Each small request is given up after 40 ms.
    let mut come_back = |from: u64, to: u64| {
        for micros in (from..to).step_by(400) {
            crowd.retain(|c: &Charge| !c.is_given_up());
            let request = budget.open(after(micros));
            if request.add(SMALL, after(micros)).is_ok() {
                crowd.push(request);
            }
        }
    };
    come_back(0, 200_000);
    let ordinary = budget.open(after(200_000));
    assert_eq!(ordinary.add(SMALL, after(200_000)), Ok(()));
    assert_eq!(ordinary.add(50_000, after(200_000)), Ok(()));
    come_back(200_000, 250_000);
    assert_eq!(ordinary.add(50_000, after(250_000)), Ok(()));
    assert_eq!(ordinary.finish(), Ok(()));
}

/// Guards against a small request of a slow client that is given up for large ones that come back as soon
/// as they are given up.
#[test]
fn returning_large_requests_do_not_displace_slow_small_ones() {
    const LARGE: usize = 10 * SMALL;
    let budget = Arc::new(Budget::new(10 * LARGE));
    let start = Instant::now();
    let slow = budget.open(start);
    assert_eq!(slow.add(SMALL, start), Ok(()));
    let mut crowd = Vec::new();
    for ms in (0..5_000).step_by(10) {
        let now = start + Duration::from_millis(ms);
        crowd.retain(|c: &Charge| !c.is_given_up());
        let request = budget.open(now);
        if request.add(LARGE, now).is_ok() {
            crowd.push(request);
        }
    }
    assert!(crowd.iter().any(Charge::is_given_up));
    assert_eq!(slow.finish(), Ok(()));
}
