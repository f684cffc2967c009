//! The request path over loopback to minion stand-ins with injected faults.

mod support;

use std::sync::atomic::Ordering;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use primrosebay_coordination::routing::admission::QueueRules;
use primrosebay_coordination::routing::router::RouterRules;
use primrosebay_entry::requests::RequestSettings;
use primrosebay_protocol::list::Liveness;
use primrosebay_standin::minion::Faults;
use rstest::rstest;
use support::Fleet;

/// Deadline in milliseconds that no request of a passing test reaches.
const LONG_MS: u64 = 30_000;

fn faults(change: impl FnOnce(&mut Faults)) -> Faults {
    let mut faults = Faults::default();
    change(&mut faults);
    faults
}

async fn fleet(count: usize) -> Fleet {
    Fleet::start(count, RequestSettings::default()).await
}

/// Guards against a second run of a `once` request after its answer was lost, and against failing
/// an idempotent request instead of retrying it.
#[rstest]
#[case::once("once", (504, "P6001"), 1)]
#[case::idempotent("idempotent", (200, "book"), 2)]
fn a_lost_answer_is_retried_only_if_idempotent(
    #[case] repeat: &str,
    #[case] expected: (u16, &str),
    #[case] runs: u32,
) {
    task::block_on(async {
        let fleet = fleet(1).await;
        fleet.set_faults(faults(|f| f.drop_answers = 1));
        let (status, text) = fleet.send("book", repeat, LONG_MS).await;
        assert_eq!((status, &*text), expected);
        assert_eq!(fleet.runs_of("book"), runs);
    });
}

/// Guards against a `once` request that runs twice or not at all when a minion refuses it.
#[async_std::test]
async fn refused_once_requests_run_exactly_once_elsewhere() {
    let fleet = fleet(3).await;
    fleet.minions[0].set_faults(faults(|f| f.refuse = true));
    for i in 0..20 {
        let body = format!("once-{i:02}");
        assert_eq!(
            fleet.send(&body, "once", LONG_MS).await,
            (200, body.clone())
        );
        assert_eq!(fleet.runs_of(&body), 1);
    }
}

/// Guards against a code that states "not run" for a request that ran, and against the opposite.
#[rstest]
#[case::refused(|f: &mut Faults| f.refuse = true, 1, "P5002", 0)]
#[case::failed(|f: &mut Faults| f.fail = true, 1, "P6003", 1)]
#[case::no_minion(|_: &mut Faults| {}, 0, "P4001", 0)]
fn the_code_tells_whether_the_request_ran(
    #[case] fault: fn(&mut Faults),
    #[case] minions: usize,
    #[case] code: &str,
    #[case] runs: u32,
) {
    task::block_on(async {
        let fleet = fleet(minions).await;
        fleet.set_faults(faults(fault));
        assert_eq!(fleet.send("work", "once", LONG_MS).await.1, code);
        assert_eq!(fleet.runs_of("work"), runs);
    });
}

/// Guards against a code that states "not run" although the answer of the first attempt was lost.
#[async_std::test]
async fn a_later_refusal_does_not_hide_a_lost_answer() {
    let fleet = fleet(1).await;
    fleet.set_faults(faults(|f| f.frozen = true));
    let (first, ()) = futures_lite::future::zip(fleet.send("work", "idempotent", 2_000), async {
        fleet.wait_arrived(1).await;
        fleet.set_faults(faults(|f| {
            f.frozen = true;
            f.refuse = true;
        }));
    })
    .await;
    assert_eq!(first, (504, "P6001".into()));
    assert!(fleet.arrived() > 1, "the request was retried");
}

/// Guards against reporting a request as possibly run although it was never sent.
#[async_std::test]
async fn a_stopped_minion_did_not_run_the_request() {
    let mut fleet = fleet(1).await;
    let list = fleet.list();
    fleet.minions.pop().unwrap().close().await;
    fleet.requests.update(&list);
    assert_eq!(
        fleet.send("work", "once", LONG_MS).await,
        (503, "P5002".into())
    );
}

/// Guards against delivering a late answer to another caller.
#[async_std::test]
async fn late_answers_reach_no_other_caller() {
    let fleet = fleet(2).await;
    fleet.set_faults(faults(|f| f.frozen = true));
    for i in 0..4 {
        let late = fleet.send(&format!("late-{i}"), "once", 300).await;
        assert_eq!(late, (504, "P6001".into()));
    }
    fleet.set_faults(Faults::default());
    for i in 0..20 {
        let body = format!("own-{i}");
        assert_eq!(fleet.send(&body, "once", LONG_MS).await, (200, body));
    }
}

/// Guards against mixing up answers that arrive in a different order than their requests were sent.
#[async_std::test]
async fn answers_out_of_order_reach_their_own_callers() {
    let fleet = fleet(3).await;
    fleet.minions[0].set_faults(faults(|f| f.frozen = true));
    fleet.minions[1].set_faults(faults(|f| f.delay_ms = 20));
    let send = |i| {
        let fleet = &fleet;
        async move {
            let body = format!("caller-{i:02}");
            let answer = fleet.send(&body, "once", LONG_MS).await;
            (answer, (200, body))
        }
    };
    let unfreeze = async {
        fleet.wait_arrived(20).await;
        fleet.minions[0].set_faults(Faults::default());
    };
    let all = futures_lite::future::zip(support::join((0..20).map(send)), unfreeze);
    for (answer, expected) in all.await.0 {
        assert_eq!(answer, expected);
    }
}

/// Guards against new requests to a minion that is about to stop, whether the instance list or the
/// minion itself announces it.
#[rstest]
#[case::instance_list(true)]
#[case::own_response(false)]
fn a_leaving_minion_gets_no_new_requests(#[case] from_list: bool) {
    task::block_on(async {
        let fleet = fleet(2).await;
        if from_list {
            let mut list = fleet.list();
            list[0].state = Liveness::Leaving;
            fleet.requests.update(&list);
        } else {
            fleet.minions[0].set_faults(faults(|f| f.leaving = true));
            while fleet.minions[0].arrived() == 0 {
                fleet.send("first", "once", LONG_MS).await;
            }
            // The instance list does not show yet that the minion is leaving.
            fleet.requests.update(&fleet.list());
        }
        let before = fleet.minions[0].arrived();
        for i in 0..40 {
            assert_eq!(fleet.send(&format!("{i}"), "once", LONG_MS).await.0, 200);
        }
        assert_eq!(fleet.minions[0].arrived(), before);
    });
}

/// Guards against a minion that attracts most requests because it fails them all immediately.
#[async_std::test]
async fn a_minion_that_fails_all_requests_is_ejected() {
    let fleet = fleet(4).await;
    fleet.minions[0].set_faults(faults(|f| f.fail = true));
    let mut failed = 0;
    for i in 0..100 {
        // Advances the clock, so that the floor of the retry budget is refilled.
        fleet.clock.fetch_add(20, Ordering::SeqCst);
        let (status, _) = fleet.send(&format!("{i:03}"), "idempotent", LONG_MS).await;
        failed += u32::from(status != 200);
    }
    assert_eq!(failed, 0);
    assert_eq!(fleet.minions[0].arrived(), 5, "ejected after five failures");
}

/// Guards against an unbounded queue, and against running a request that was refused.
#[async_std::test]
async fn overload_is_refused_before_any_run() {
    let queue = QueueRules {
        count: 2,
        ..QueueRules::default()
    };
    let rules = RouterRules {
        queue,
        ..RouterRules::default()
    };
    let settings = RequestSettings {
        rules,
        ..RequestSettings::default()
    };
    let fleet = Fleet::start(1, settings).await;
    fleet.set_faults(faults(|f| f.frozen = true));
    let sends = (0..13).map(|i| {
        let fleet = &fleet;
        async move { (i, fleet.send(&format!("{i:02}"), "once", LONG_MS).await) }
    });
    let unfreeze = async {
        fleet.wait_arrived(8).await;
        fleet.set_faults(Faults::default());
    };
    let (answers, ()) = futures_lite::future::zip(support::join(sends), unfreeze).await;
    for (i, answer) in answers {
        let (expected, runs) = if i < 10 {
            ((200, format!("{i:02}")), 1)
        } else {
            ((503, "P5001".into()), 0)
        };
        assert_eq!(
            (answer, fleet.runs_of(&format!("{i:02}"))),
            (expected, runs)
        );
    }
}

/// Guards against running a waiting request after its caller was told that it did not run.
#[async_std::test]
async fn a_request_that_waited_too_long_never_runs() {
    let fleet = fleet(1).await;
    fleet.set_faults(faults(|f| f.frozen = true));
    let occupying = support::join((0..8).map(|i| {
        let fleet = &fleet;
        async move { fleet.send(&format!("held-{i}"), "once", LONG_MS).await }
    }));
    let late = async {
        fleet.wait_arrived(8).await;
        let late = fleet.send("waited", "once", 50).await;
        fleet.set_faults(Faults::default());
        late
    };
    let (_, late) = futures_lite::future::zip(occupying, late).await;
    assert_eq!(late, (504, "P5007".into()));
    assert_eq!(fleet.runs_of("waited"), 0);
    // The expired request occupies no slot: all eight can be used again.
    fleet.set_faults(faults(|f| f.frozen = true));
    let second_batch = support::join((0..8).map(|i| {
        let fleet = &fleet;
        async move { fleet.send(&format!("again-{i}"), "once", LONG_MS).await.0 }
    }));
    let unfreeze = async {
        fleet.wait_arrived(16).await;
        fleet.set_faults(Faults::default());
    };
    let (second_batch, ()) = futures_lite::future::zip(second_batch, unfreeze).await;
    assert_eq!(second_batch, [200; 8]);
}

/// Guards against a hedged request that waits for a frozen minion.
#[async_std::test]
async fn a_hedged_request_is_answered_by_the_other_minion() {
    let settings = RequestSettings {
        hedge: true,
        ..RequestSettings::default()
    };
    let fleet = Fleet::start(2, settings).await;
    // The tail latency must be known before a request can be hedged.
    fleet.set_faults(faults(|f| f.frozen = true));
    let warm_up = support::join((0..16).map(|i| {
        let fleet = &fleet;
        async move {
            fleet
                .send(&format!("warm-{i}"), "idempotent", LONG_MS)
                .await
        }
    }));
    let advance = async {
        fleet.wait_arrived(16).await;
        fleet.clock.fetch_add(5, Ordering::SeqCst);
        fleet.set_faults(Faults::default());
    };
    futures_lite::future::zip(warm_up, advance).await;
    // The load reports of the first requests must be stale, or one minion would be preferred.
    fleet.clock.fetch_add(500, Ordering::SeqCst);
    fleet.minions[0].set_faults(faults(|f| f.frozen = true));
    let before = fleet.minions[0].arrived();
    for i in 0..20 {
        // Advances the clock, so that the floor of the retry budget is refilled.
        fleet.clock.fetch_add(400, Ordering::SeqCst);
        let body = format!("hedged-{i}");
        assert_eq!(fleet.send(&body, "idempotent", LONG_MS).await, (200, body));
    }
    assert!(
        fleet.minions[0].arrived() > before,
        "the frozen minion was tried"
    );
}

/// Guards against a slow caller that occupies a slot while it sends its body, and against
/// running a partial body after the caller has disconnected.
#[async_std::test]
async fn a_slow_caller_occupies_no_slot_and_a_partial_body_never_runs() {
    let fleet = fleet(1).await;
    let address = fleet.serve().await;
    for length in [1_000, 1_000_000] {
        let mut slow = TcpStream::connect(address).await.unwrap();
        let head = format!("POST / HTTP/1.1\r\nhost: e\r\ncontent-length: {length}\r\n\r\npart");
        slow.write_all(head.as_bytes()).await.unwrap();
        for i in 0..20 {
            let body = format!("quick-{length}-{i}");
            assert_eq!(fleet.send(&body, "once", LONG_MS).await, (200, body));
        }
        drop(slow);
        assert_eq!(fleet.send("after", "once", LONG_MS).await.0, 200);
    }
    assert_eq!(fleet.runs_of("part"), 0);
}

/// Guards against oversized bodies that exhaust the memory or are truncated.
#[rstest]
#[case::declared("content-length: 4000000\r\n\r\n", "413")]
#[case::chunked("transfer-encoding: chunked\r\n\r\n", "413")]
fn an_oversized_body_is_refused_before_sending(#[case] head: &str, #[case] status: &str) {
    task::block_on(async {
        let settings = RequestSettings {
            max_body: 2_000_000,
            ..RequestSettings::default()
        };
        let fleet = Fleet::start(1, settings).await;
        let mut stream = TcpStream::connect(fleet.serve().await).await.unwrap();
        let chunk = format!("10000\r\n{}\r\n", "x".repeat(1 << 16));
        let text = format!("POST / HTTP/1.1\r\nhost: e\r\n{head}{}", chunk.repeat(2));
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await.unwrap();
        assert_eq!(&answer[9..], status.as_bytes());
        assert_eq!(fleet.arrived(), 0);
    });
}

/// Guards against truncating or corrupting a body that is larger than any buffer.
#[async_std::test]
async fn a_body_larger_than_any_buffer_comes_back_whole() {
    let fleet = fleet(1).await;
    let address = fleet.serve().await;
    let body: Vec<u8> = (0..8_u32 << 18).flat_map(u32::to_le_bytes).collect();
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST / HTTP/1.1\r\nhost: e\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&body).await.unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    assert!(answer.starts_with(b"HTTP/1.1 200"));
    assert!(answer.ends_with(&body), "{} bytes", answer.len());
}
