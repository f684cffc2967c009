//! The API for operators, tested over HTTP: resources, keys, readiness, watches and metrics.

mod cell;

use async_std::io::prelude::BufReadExt;
use async_std::io::{BufReader, WriteExt};
use async_std::net::TcpStream;
use async_std::task::block_on;
use cell::{Cell, Fault, OPERATOR};
use std::time::Duration;

use async_std::task;
use primrosebay_coordination::freshness::{Freshness, Status};
use primrosebay_coordination::zone::{Coordinator, Event};
use primrosebay_entry::configuration::Configuration;
use primrosebay_protocol::api::{Failure, Submitted, WatchLine};
use primrosebay_protocol::code::Code;
use primrosebay_protocol::log::CONFIG_STREAM;
use primrosebay_settings::{Limits, Timeouts};
use primrosebay_standin::log::Settings;
use primrosebay_state::config::Config;
use primrosebay_state::id::JobId;
use primrosebay_state::record::{Body, Outcome};
use primrosebay_state::time::Time;
use rstest::rstest;
use tide::http::Method::{Delete, Get, Post, Put};

const TEAM_SPEC: &str = r#"{"share":1,"limit":{"cores_milli":9000}}"#;

/// Returns the result code of an answer, and checks that it matches the HTTP status.
fn failure_code(answer: &(u16, String)) -> Code {
    let failure: Failure = serde_json::from_str(&answer.1).expect(&answer.1);
    assert_eq!(failure.code.status(), answer.0, "{}", answer.1);
    failure.code
}

/// Guards against accidental changes of the routes, codes and bodies that operators' tools rely on.
#[test]
fn operator_session_matches_the_snapshot() {
    block_on(async {
        let cell = Cell::start(&["a"]).await;
        let hash = "5e".repeat(32);
        let key = format!(r#"{{"version":0,"spec":{{"team":"shops","hash":"{hash}"}}}}"#);
        let steps = [
            (
                Put,
                "/v1/zones/a",
                r#"{"version":0,"spec":{"state":"in","region":"north"}}"#,
            ),
            (
                Put,
                "/v1/teams/shops",
                r#"{"version":0,"spec":{"share":2,"limit":{"cores_milli":8000}}}"#,
            ),
            (
                Put,
                "/v1/teams/shops?dry_run=true",
                r#"{"version":2,"spec":{"share":3,"limit":{}}}"#,
            ),
            (
                Put,
                "/v1/teams/stock",
                r#"{"version":0,"spec":{"share":1,"limit":{}}}"#,
            ),
            (Put, "/v1/keys/shops-1", &key),
            (Put, "/v1/keys/shops-2", &key),
            (
                Put,
                "/v1/queues/baskets",
                r#"{"version":0,"spec":{"open":true,"team":"shops"}}"#,
            ),
            (
                Put,
                "/v1/teams/shops",
                r#"{"version":1,"spec":{"share":3,"limit":{}}}"#,
            ),
            (
                Put,
                "/v1/teams/Shops",
                r#"{"version":0,"spec":{"share":0,"limit":{}}}"#,
            ),
            (
                Put,
                "/v1/teams/shops",
                r#"{"version":2,"spec":{"share":3,"limit":{},"quota":1}}"#,
            ),
            (
                Put,
                "/v1/teams/shops",
                r#"{"version":2,"spec":{"kind":"zone","state":"in","region":"north"}}"#,
            ),
            (Put, "/v1/teams/shops", "{"),
            (Get, "/v1/teams/shops", ""),
            (Get, "/v1/teams?limit=1", ""),
            (Get, "/v1/teams?limit=1&after=shops", ""),
            (Get, "/v1/queues?open=true", ""),
            (Get, "/v1/queues?open=false", ""),
            (Get, "/v1/queues?opened=false&limit=0", ""),
            (Get, "/v1/zones?state=in&region=north", ""),
            (Delete, "/v1/zones/a?version=1", ""),
            (
                Put,
                "/v1/zones/a",
                r#"{"version":1,"spec":{"state":"out","region":"north"}}"#,
            ),
            (Delete, "/v1/teams/stock", ""),
            (Delete, "/v1/teams/stock?version=3&dry_run=true", ""),
            (Delete, "/v1/teams/stock?version=3", ""),
            (Delete, "/v1/teams/stock?version=3", ""),
            (Get, "/v1/teams/%FF", ""),
            (Get, "/v1/trams", ""),
            (Post, "/v1/teams/shops", ""),
            (Get, "/v1/workers", ""),
            (Get, "/v1/jobs", ""),
            (Get, "/v1/tasks?state=running", ""),
            (Get, "/healthz", ""),
        ];
        let mut session = String::new();
        for (method, path, body) in steps {
            let (status, answer) = cell.call(0, OPERATOR, method, path, body).await;
            session += &[method.as_ref(), " ", path, " ", body, "\n"].concat();
            session += &[&status.to_string(), " ", answer.trim_end(), "\n\n"].concat();
        }
        insta::assert_snapshot!("session", session);
    });
}

/// Guards against routes for operators that work without a key, or with a team's key.
#[rstest]
#[case::no_key("", Code::NO_KEY)]
#[case::team_key("a-key", Code::NOT_OPERATOR)]
fn operator_routes_require_an_operator_key(#[case] key: &str, #[case] expected: Code) {
    block_on(async {
        let cell = Cell::start(&["a"]).await;
        cell.seed().await;
        for (method, path) in [
            (Get, "/v1/teams"),
            (Get, "/v1/keys/a"),
            (Put, "/v1/teams/c"),
            (Delete, "/v1/keys/a?version=3"),
            (Get, "/v1/workers"),
            (Get, "/v1/watch"),
        ] {
            let answer = cell.call(0, key, method, path, "").await;
            assert_eq!(failure_code(&answer), expected, "{method} {path}");
        }
    });
}

/// Guards against bodies that exhaust the memory or crash the instance.
#[rstest]
#[case::too_large(" ".repeat(5000).into_bytes(), Code::BODY_TOO_LARGE)]
#[case::not_utf8(b"{\"version\":0,\"spec\":{\"share\":1,\"limit\":{},\"\xff\":1}}".to_vec(), Code::MALFORMED)]
#[case::deeply_nested(b"[".repeat(4000), Code::MALFORMED)]
fn bad_bodies_are_refused(#[case] body: Vec<u8>, #[case] expected: Code) {
    block_on(async {
        let cell = Cell::start(&["a"]).await;
        let answer = cell
            .call(0, OPERATOR, Put, "/v1/teams/a", body.clone())
            .await;
        assert_eq!(failure_code(&answer), expected);
        cell.seed().await;
        let answer = cell.call(0, "a-key", Post, "/v1/jobs", body).await;
        assert_eq!(failure_code(&answer), expected);
    });
}

/// Guards against reading a body without a declared length beyond the limit.
#[test]
fn chunked_body_is_bounded() {
    block_on(async {
        let cell = Cell::start(&["a"]).await;
        let address = cell.nodes[0].instance.address();
        let mut stream = TcpStream::connect(address).await.expect("loopback");
        let head =
            format!("PUT /v1/teams/a HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {OPERATOR}\r\n");
        let chunk = format!(
            "transfer-encoding: chunked\r\n\r\n1388\r\n{}\r\n0\r\n\r\n",
            " ".repeat(5000)
        );
        stream
            .write_all((head + &chunk).as_bytes())
            .await
            .expect("sent");
        let mut line = String::new();
        let mut lines = BufReader::new(stream);
        lines.read_line(&mut line).await.expect("answered");
        assert!(line.contains(" 413 "), "{line}");
    });
}

/// Guards against connections that stay open although the caller never completes the head or the
/// body of its request, against more connections than the limit, and against callers that are kept
/// out by connections without a request.
#[test]
fn slow_and_surplus_connections_are_closed() {
    block_on(async {
        let limits = Limits {
            connections: 2,
            ..Limits::default()
        };
        let timeouts = Timeouts {
            header_ms: 100,
            body_ms: 100,
            ..Timeouts::default()
        };
        let cell = Cell::with(&["a"], limits, timeouts, Settings::default()).await;
        let address = cell.nodes[0].instance.address();
        let open = async |text: String| {
            let mut stream = TcpStream::connect(address).await.expect("loopback");
            stream.write_all(text.as_bytes()).await.expect("sent");
            BufReader::new(stream)
        };
        let first_line = async |stream: &mut BufReader<TcpStream>| {
            let mut line = String::new();
            // The HTTP library closes a connection after 60 s by itself, so the timeout is
            // shorter. A reset connection also counts as closed.
            let read = stream.read_line(&mut line);
            let read = async_std::future::timeout(Duration::from_secs(30), read).await;
            assert!(read.is_ok(), "the connection was not closed in time");
            line
        };
        let head =
            format!("PUT /v1/teams/a HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {OPERATOR}\r\n");
        let mut slow_head = open("GET /healthz HTTP/1.1\r\nhost".to_owned()).await;
        let mut slow_body = open(head + "content-length: 9\r\n\r\n{").await;
        assert_eq!(first_line(&mut slow_head).await, "");
        assert!(first_line(&mut slow_body).await.contains(" 400 "));
        let mut idle = Vec::new();
        for _ in 0..4 {
            idle.push(open(String::new()).await);
        }
        let mut kept = idle.split_off(2);
        for surplus in &mut idle {
            assert_eq!(first_line(surplus).await, "");
        }
        for stream in &mut kept {
            let request = b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";
            stream.get_mut().write_all(request).await.expect("sent");
            assert!(first_line(stream).await.contains(" 200 "));
        }
    });
}

/// Guards against concurrent changes at two instances that are both reported as successful.
#[test]
fn exactly_one_of_two_concurrent_changes_succeeds() {
    block_on(async {
        let cell = Cell::start(&["a", "b", "c"]).await;
        cell.seed().await;
        for round in 0..10 {
            let path = format!("/v1/teams/race-{round}");
            let first = Box::pin(cell.put(0, &path, 0, TEAM_SPEC));
            let second = Box::pin(cell.put(1, &path, 0, r#"{"share":7,"limit":{}}"#));
            let (first, second) = futures_lite::future::zip(first, second).await;
            let mut statuses = [first.0, second.0];
            statuses.sort_unstable();
            assert_eq!(statuses, [200, 409], "{first:?} {second:?}");
            // An accepted change may not have reached the third zone yet.
            let name = format!("race-{round}");
            let applied =
                |cell: &Cell| cell.nodes[2].shared().config().get("team", &name).is_some();
            cell.wait(applied).await;
            let (_, winner) = cell.call(2, OPERATOR, Get, &path, "").await;
            let share = if first.0 == 200 {
                "\"share\":1"
            } else {
                "\"share\":7"
            };
            assert!(winner.contains(share), "{winner}");
        }
    });
}

/// Guards against a lagging instance that reports its change as successful because other zones
/// accepted the offset, although a concurrent change took precedence.
#[test]
fn lagging_instance_reports_a_conflict() {
    block_on(async {
        let cell = Cell::start(&["a", "b", "c"]).await;
        cell.seed().await;
        cell.wait(|cell| cell.nodes[0].shared().acceptance(6).missing.is_empty())
            .await;
        cell.block_config_reads(0, Fault::ConfigUnreadable).await;
        let next = |at: usize| cell.nodes[at].shared().config().next;
        assert_eq!(cell.put(1, "/v1/teams/x", 0, TEAM_SPEC).await.0, 200);
        let end = next(1);
        let write = Box::pin(cell.put(0, "/v1/teams/x", 0, r#"{"share":7,"limit":{}}"#));
        let heal = Box::pin(async {
            cell.wait(|_| next(1) > end && next(2) > end).await;
            cell.nodes[0].set_fault(Fault::None);
        });
        let (answer, ()) = futures_lite::future::zip(write, heal).await;
        assert_eq!(failure_code(&answer), Code::CONFLICT);
    });
}

/// Guards against replacing the configuration by an older one, for example from a late answer of a
/// peer.
#[test]
fn older_configuration_is_not_put_in_force() {
    let freshness = Freshness::new(&"a".into(), &"a".into(), &"north".into());
    let configuration = Configuration::new(16, freshness);
    let (mut newer, older) = (Config::new(), Config::new());
    newer.next = 3;
    configuration.set(Time(0), newer);
    configuration.set(Time(1), older);
    assert_eq!(configuration.get().next, 3);
}

/// Guards against a withdrawn key that still works after its withdrawal was accepted, and against
/// a key that reads or submits jobs of another team.
#[test]
fn withdrawn_keys_and_other_teams_keys_are_rejected() {
    block_on(async {
        let cell = Cell::start(&["a", "b", "c"]).await;
        cell.seed().await;
        for at in 0..3 {
            cell.wait(|cell| cell.nodes[at].shared().config().get("key", "b").is_some())
                .await;
            assert_eq!(cell.call(at, "a-key", Get, "/v1/jobs", "").await.0, 200);
        }
        let job = r#"{"name":"j","team":"b","resources":{"cores_milli":1}}"#;
        let answer = cell.call(0, "a-key", Post, "/v1/jobs", job).await;
        assert_eq!(failure_code(&answer), Code::OTHER_TEAM);
        let job = r#"{"name":"j","resources":{"cores_milli":1}}"#;
        let (status, body) = cell.call(0, "a-key", Post, "/v1/jobs", job).await;
        assert_eq!(status, 201, "{body}");
        let submitted: primrosebay_protocol::api::Submitted =
            serde_json::from_str(&body).expect("an id");
        let path = format!("/v1/jobs/{}", submitted.id);
        let job_known = |cell: &Cell| {
            let zone = cell.nodes[0].shared().zone("a").expect("its own zone");
            zone.read(|coordinator| coordinator.job(submitted.id).is_some())
        };
        cell.wait(job_known).await;
        let other_team = cell.call(0, "b-key", Get, &path, "").await;
        assert_eq!(failure_code(&other_team), Code::NOT_FOUND);
        let version = cell.nodes[0].shared().config().version("key", "a");
        let path = format!("/v1/keys/a?version={version}");
        let (status, body) = cell.call(0, OPERATOR, Delete, &path, "").await;
        assert_eq!(status, 200, "{body}");
        let mut refused = 0;
        for at in 0..3 {
            let answer = cell.call(at, "a-key", Get, "/v1/jobs", "").await;
            refused += usize::from(answer.0 == 401);
        }
        assert!(
            refused >= 2,
            "an accepted change is in force in more than half of the zones"
        );
        cell.advance(4400).await;
        for at in 0..3 {
            let answer = cell.call(at, "a-key", Get, "/v1/jobs", "").await;
            assert_eq!(failure_code(&answer), Code::WRONG_KEY, "instance {at}");
        }
    });
}

/// Guards against jobs that no page shows because the identifiers are not in the order of their texts,
/// and against a name that is not an identifier after which a page starts nowhere.
#[test]
fn pages_of_jobs_show_each_job_once() {
    block_on(async {
        let cell = Cell::start(&["a"]).await;
        cell.seed().await;
        let mut submitted = Vec::new();
        for i in 0..18 {
            let job = format!(r#"{{"name":"j{i}","resources":{{"cores_milli":1}}}}"#);
            let (status, body) = cell.call(0, "a-key", Post, "/v1/jobs", &*job).await;
            assert_eq!(status, 201, "{body}");
            let answer: primrosebay_protocol::api::Submitted =
                serde_json::from_str(&body).expect("an id");
            submitted.push(answer.id);
        }
        let all_known = |cell: &Cell| {
            let zone = cell.nodes[0].shared().zone("a").expect("its own zone");
            submitted
                .iter()
                .all(|id| zone.read(|c| c.job(*id).is_some()))
        };
        cell.wait(all_known).await;
        let (mut shown, mut after) = (Vec::new(), String::new());
        loop {
            let path = format!("/v1/jobs?limit=5{after}");
            let (status, body) = cell.call(0, "a-key", Get, &path, "").await;
            assert_eq!(status, 200, "{body}");
            let page: primrosebay_protocol::api::ListPage<primrosebay_protocol::api::JobView> =
                serde_json::from_str(&body).expect("a page");
            shown.extend(page.items.iter().map(|job| job.id));
            let Some(next) = page.next else { break };
            after = format!("&after={next}");
        }
        submitted.sort_unstable();
        assert_eq!(shown, submitted);
        let answer = cell.call(0, "a-key", Get, "/v1/jobs?after=j1", "").await;
        assert_eq!(failure_code(&answer), Code::INVALID);
    });
}

/// Guards against an isolated instance that accepts requests with keys, and against instances that
/// reject them while the log is down for all.
#[test]
fn isolated_instance_rejects_keys_and_a_log_outage_does_not() {
    block_on(async {
        let mut cell = Cell::start(&["a", "b", "c"]).await;
        cell.seed().await;
        cell.nodes[2].set_fault(Fault::Down);
        cell.nodes[2].linked = false;
        cell.advance(4400).await;
        let answer = cell.call(2, "a-key", Get, "/v1/jobs", "").await;
        assert_eq!(failure_code(&answer), Code::NOT_FRESH);
        assert_eq!(cell.call(0, "a-key", Get, "/v1/jobs", "").await.0, 200);
        let (_, ready) = cell.call(2, "", Get, "/readyz", "").await;
        assert!(ready.contains(r#""status":"stale""#), "{ready}");
        // The change is accepted without the isolated zone. Its stale configuration does no harm,
        // because the zone rejects requests with keys.
        let (status, body) = cell.put(0, "/v1/teams/c", 0, TEAM_SPEC).await;
        assert_eq!(status, 200, "{body}");
        assert!(body.contains(r#""missing":["c"]"#), "{body}");
        // The log is down for all; the isolated instance has missed a change and stays stale.
        cell.nodes[0].set_fault(Fault::Down);
        cell.nodes[1].set_fault(Fault::Down);
        cell.nodes[2].linked = true;
        cell.advance(8000).await;
        assert_eq!(cell.call(0, "a-key", Get, "/v1/jobs", "").await.0, 200);
        assert_eq!(cell.call(1, "a-key", Get, "/v1/jobs", "").await.0, 200);
        let answer = cell.call(2, "a-key", Get, "/v1/jobs", "").await;
        assert_eq!(failure_code(&answer), Code::NOT_FRESH);
        // The outcome of an append that failed may be unknown, but the change does not take effect.
        let (status, _) = cell.put(0, "/v1/teams/d", 0, TEAM_SPEC).await;
        assert_eq!(status, 504);
        cell.nodes[2].set_fault(Fault::None);
        cell.wait(|cell| cell.nodes[2].shared().config().get("team", "c").is_some())
            .await;
        cell.advance(400).await;
        assert_eq!(cell.call(2, "a-key", Get, "/v1/jobs", "").await.0, 200);
    });
}

/// Starts a cell in which no instance reaches the log and the permission of zone `a` to start tasks
/// has been updated for the last time.
async fn cell_without_log() -> Cell {
    let cell = Cell::with_worker(&["a", "b", "c"]).await;
    cell.seed().await;
    let zone = cell.nodes[0].shared().zone("a").expect("its own zone");
    cell.wait(|_| zone.read(Coordinator::may_start)).await;
    for node in &cell.nodes {
        node.set_fault(Fault::Down);
    }
    cell.wait(|cell| cell.nodes[0].shared().status() == Status::Outage)
        .await;
    // The change of the status leads to one more update.
    for _ in 0..500 {
        cell.exchange_heartbeats();
        task::sleep(Duration::from_millis(1)).await;
    }
    cell
}

/// Guards against a zone that starts nothing until the log is back. While its coordinator lacked
/// authority for a moment, an update of the configuration took the permission to start tasks away.
#[test]
fn permission_to_start_returns_without_the_log() {
    block_on(async {
        let cell = cell_without_log().await;
        let zone = cell.nodes[0].shared().zone("a").expect("its own zone");
        cell.wait(|_| zone.epoch().is_some()).await;
        zone.handle(Event::MayStart(false));
        cell.wait(|_| zone.read(Coordinator::may_start)).await;
    });
}

/// Guards against a coordinator that keeps the permission to start tasks from an earlier tenure and
/// so starts tasks before the fence of its new tenure was read back.
#[test]
fn permission_to_start_ends_with_the_authority() {
    block_on(async {
        let mut cell = cell_without_log().await;
        let zone = cell.nodes[0].shared().zone("a").expect("its own zone");
        assert!(zone.read(Coordinator::may_start));
        cell.stop_worker().await;
        cell.wait(|_| zone.epoch().is_none()).await;
        cell.wait(|_| !zone.read(Coordinator::may_start)).await;
    });
}

/// Guards against tasks that start in a zone that operators took out of service, or at an instance
/// whose configuration is too stale to tell.
#[test]
fn zone_that_is_out_or_stale_starts_no_task() {
    block_on(async {
        let mut cell = Cell::with_worker(&["a", "b", "c"]).await;
        cell.seed().await;
        let submit = async |cell: &Cell, at: usize, name: &str| {
            let head = format!(r#"{{"name":"{name}","zones":["a"],"run_ms":1,"#);
            let job = head + r#""resources":{"cores_milli":1}}"#;
            let (status, body) = cell.call(at, "a-key", Post, "/v1/jobs", job).await;
            assert_eq!(status, 201, "{body}");
            serde_json::from_str::<Submitted>(&body).expect("an id").id
        };
        let attempts = |cell: &Cell, id: JobId| {
            let zone = cell.nodes[0].shared().zone("a").expect("its own zone");
            zone.read(|coordinator| coordinator.job(id))
                .map_or(0, |job| job.tasks[0].attempts)
        };
        let first = submit(&cell, 0, "first").await;
        cell.wait(|cell| attempts(cell, first) == 1).await;
        let (status, body) = cell
            .put(0, "/v1/zones/a", 1, r#"{"state":"out","region":"north"}"#)
            .await;
        assert_eq!(status, 200, "{body}");
        let out_version = cell.nodes[0].shared().config().version("zone", "a");
        let second = submit(&cell, 0, "second").await;
        for _ in 0..300 {
            cell.exchange_heartbeats();
            task::sleep(Duration::from_millis(1)).await;
            assert_eq!(attempts(&cell, second), 0, "the zone is out");
        }
        cell.put(
            0,
            "/v1/zones/a",
            out_version,
            r#"{"state":"in","region":"north"}"#,
        )
        .await;
        cell.wait(|cell| attempts(cell, second) == 1).await;
        cell.nodes[0].set_fault(Fault::ConfigUnreadable);
        cell.nodes[0].linked = false;
        cell.wait(|cell| cell.nodes[0].shared().status() == Status::Stale)
            .await;
        let zone = cell.nodes[0].shared().zone("a").expect("its own zone");
        cell.wait(|_| !zone.read(Coordinator::may_start)).await;
        let third = submit(&cell, 1, "third").await;
        let job_known = |cell: &Cell, id| {
            let zone = cell.nodes[0].shared().zone("a").expect("its own zone");
            zone.read(|coordinator| coordinator.job(id).is_some())
        };
        cell.wait(|cell| job_known(cell, third)).await;
        for _ in 0..300 {
            task::sleep(Duration::from_millis(1)).await;
            assert_eq!(attempts(&cell, third), 0, "the instance is cut off");
        }
        cell.nodes[0].set_fault(Fault::None);
        cell.wait(|cell| attempts(cell, third) == 1).await;
    });
}

/// Guards against a job that waits for ever for a job of another zone that has succeeded.
#[test]
fn job_starts_after_a_job_of_another_zone() {
    block_on(async {
        let mut cell = Cell::with_worker(&["a", "b"]).await;
        cell.add_worker("b").await;
        cell.seed().await;
        for node in &cell.nodes {
            let zone = node.shared().zone(&node.shared().setup.zone);
            let zone = zone.expect("its own zone");
            cell.wait(|_| zone.read(Coordinator::may_start)).await;
        }
        let submit = async |at: usize, zone: &str, name: &str, after: &str| {
            let head = format!(r#"{{"name":"{name}","zones":["{zone}"],"after":"{after}","#);
            let job = head + r#""run_ms":1,"resources":{"cores_milli":1}}"#;
            let (status, body) = cell.call(at, "a-key", Post, "/v1/jobs", job).await;
            assert_eq!(status, 201, "{body}");
            serde_json::from_str::<Submitted>(&body).expect("an id").id
        };
        let outcome = |at: usize, id: JobId| {
            let shared = cell.nodes[at].shared();
            let zone = shared.zone(&shared.setup.zone).expect("its own zone");
            zone.read(|coordinator| coordinator.job(id)?.outcome)
        };
        let first = submit(0, "a", "first", "").await;
        cell.wait(|_| outcome(0, first) == Some(Outcome::Done))
            .await;
        let second = submit(1, "b", "second", "first").await;
        cell.wait(|_| outcome(1, second) == Some(Outcome::Done))
            .await;
    });
}

/// Guards against a change that is reported as accepted although no quorum of zones has applied it.
#[test]
fn change_without_a_quorum_is_pending() {
    block_on(async {
        let timeouts = Timeouts {
            accept_ms: 200,
            poll_ms: 50,
            ..Timeouts::default()
        };
        let zones = ["a", "b", "c"];
        let mut cell = Cell::with(&zones, Limits::default(), timeouts, Settings::default()).await;
        cell.seed().await;
        for node in &mut cell.nodes[1..] {
            node.linked = false;
        }
        cell.advance(4400).await;
        let (status, body) = cell.put(0, "/v1/teams/c", 0, TEAM_SPEC).await;
        assert_eq!(status, 202, "{body}");
        assert!(body.contains(r#""missing":["b","c"]"#), "{body}");
        for node in &mut cell.nodes {
            node.linked = true;
        }
        cell.wait(|cell| cell.nodes[0].shared().acceptance(7).missing.is_empty())
            .await;
        let (_, body) = cell.call(0, OPERATOR, Get, "/v1/teams/c", "").await;
        assert!(body.contains(r#""missing":[]"#), "{body}");
    });
}

/// Guards against a change that is reported as failed although it is in the log. The publisher
/// reads the log back; only if that fails too, the outcome is reported as unknown.
#[rstest]
#[case::read_back(Fault::AnswersLost, Code::OK)]
#[case::unreadable(Fault::LostUnreadable, Code::RECORD_UNKNOWN)]
fn lost_acknowledgement_is_not_reported_as_a_failure(#[case] fault: Fault, #[case] expected: Code) {
    block_on(async {
        let cell = Cell::start(&["a"]).await;
        cell.seed().await;
        match fault {
            // A read that is already in flight would return the record.
            Fault::LostUnreadable => cell.block_config_reads(0, fault).await,
            _ => cell.nodes[0].set_fault(fault),
        }
        let answer = cell.put(0, "/v1/teams/c", 0, TEAM_SPEC).await;
        assert_eq!(failure_code(&answer), expected);
        cell.nodes[0].set_fault(Fault::None);
        cell.wait(|cell| cell.nodes[0].shared().config().get("team", "c").is_some())
            .await;
        let answer = cell.put(0, "/v1/teams/c", 0, TEAM_SPEC).await;
        assert_eq!(failure_code(&answer), Code::CONFLICT);
    });
}

/// Guards against an instance that starts without the part of the configuration whose records the
/// log no longer retains.
#[test]
fn instance_starts_from_a_snapshot() {
    block_on(async {
        let log = Settings { retention: 4 };
        let timeouts = Timeouts {
            poll_ms: 50,
            ..Timeouts::default()
        };
        let mut cell = Cell::with(&["a"], Limits::default(), timeouts, log).await;
        cell.seed().await;
        let shared = cell.nodes[0].shared();
        for part in shared.config().snapshot_parts() {
            let body = Body::ConfigSnapshot(part);
            shared
                .publisher
                .append(CONFIG_STREAM, body)
                .await
                .expect("appended");
        }
        cell.put(0, "/v1/teams/c", 0, TEAM_SPEC).await;
        cell.add("b").await;
        let (first, second) = (cell.nodes[0].shared(), cell.nodes[1].shared());
        let (first, second) = (first.config(), second.config());
        assert_eq!(first.list("team").count(), 3);
        assert!(first.list("team").eq(second.list("team")));
        assert_eq!(first.allowances(), second.allowances());
        assert_eq!(cell.call(1, "a-key", Get, "/v1/jobs", "").await.0, 200);
    });
}

/// Guards against a watch that loses changes without an error, ends without an error or is not
/// flushed.
#[test]
fn watch_streams_changes_and_rejects_an_offset_that_is_too_old() {
    block_on(async {
        let cell = Cell::start(&["a"]).await;
        cell.seed().await;
        let address = cell.nodes[0].instance.address();
        let mut stream = TcpStream::connect(address).await.expect("loopback");
        let head = format!(
            "GET /v1/watch?from=4 HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {OPERATOR}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("sent");
        let mut lines = BufReader::new(stream);
        let mut seen = Vec::new();
        let mut read = async |until: &WatchLine| {
            while seen.last() != Some(until) {
                let mut line = String::new();
                assert!(
                    lines.read_line(&mut line).await.expect("open") > 0,
                    "{seen:?}"
                );
                seen.extend(serde_json::from_str::<WatchLine>(&line));
            }
            seen.clone()
        };
        let before = read(&WatchLine::Bookmark { next: 5 }).await;
        assert!(matches!(&before[0], WatchLine::Change(event) if &*event.name == "b"));
        cell.put(0, "/v1/teams/c", 0, TEAM_SPEC).await;
        let after = read(&WatchLine::Bookmark { next: 6 }).await;
        let change = &after[after.len() - 2];
        assert!(matches!(change, WatchLine::Change(event) if &*event.name == "c"));
        for version in 6..22 {
            let answer = cell.put(0, "/v1/teams/c", version, TEAM_SPEC).await;
            assert_eq!(answer.0, 200, "{}", answer.1);
        }
        let answer = cell.call(0, OPERATOR, Get, "/v1/watch?from=5", "").await;
        assert_eq!(failure_code(&answer), Code::TOO_OLD);
    });
}

/// Guards against an unlimited number of open watches.
#[test]
fn watches_are_bounded() {
    block_on(async {
        let limits = Limits {
            watchers: 1,
            ..Limits::default()
        };
        let cell = Cell::with(&["a"], limits, Timeouts::default(), Settings::default()).await;
        let address = cell.nodes[0].instance.address();
        let mut stream = TcpStream::connect(address).await.expect("loopback");
        let head = format!(
            "GET /v1/watch HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {OPERATOR}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("sent");
        cell.wait(|cell| cell.nodes[0].shared().watchers.count() == 1)
            .await;
        let answer = cell.call(0, OPERATOR, Get, "/v1/watch", "").await;
        assert_eq!(failure_code(&answer), Code::OVERLOADED);
        assert_eq!(cell.nodes[0].shared().watchers.count(), 1);
    });
}

/// Guards against metrics that are missing, or that are not described in docs/operators.md.
#[test]
fn metrics_report_the_state_of_the_configuration() {
    block_on(async {
        let cell = Cell::start(&["m"]).await;
        cell.seed().await;
        let (status, text) = cell.call(0, "", Get, "/metrics", "").await;
        assert_eq!(status, 200);
        for parts in [
            ["config_next{", "} 5"],
            [r#"status="fresh""#, "} 1"],
            [r#"status="stale""#, "} 0"],
            [r#"result="done""#, "} 5"],
            ["api_answers_total{", r#"method="PUT""#],
        ] {
            let has = |line: &&str| parts.iter().all(|part| line.contains(part));
            assert!(
                text.lines().any(|line| has(&line)),
                "{parts:?} is not in\n{text}"
            );
        }
        let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operators.md");
        let page = std::fs::read_to_string(path).expect("the page exists");
        let kinds = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
        for name in kinds.filter_map(|line| line.split(' ').next()) {
            assert!(
                page.contains(&format!("`{name}`")),
                "{name} is not in {path}"
            );
        }
    });
}
