//! Checks of keys and accounts of requests, also over HTTP through a complete entry instance.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use http_types::Method;
use primrosebay_entry::auth::hash;
use primrosebay_entry::instance::Instance;
use primrosebay_entry::requests::resolve_account;
use primrosebay_entry::shared::Setup;
use primrosebay_protocol::code::Code;
use primrosebay_protocol::list::{self, Liveness, Role};
use primrosebay_protocol::log::{Append, CONFIG_STREAM};
use primrosebay_settings as settings;
use primrosebay_standin::list::ListService;
use primrosebay_standin::log::{LogService, Settings as LogSettings};
use primrosebay_standin::minion::{Faults, Minion, Settings};
use primrosebay_state::Name;
use primrosebay_state::config::{Change, Config, Resource};
use primrosebay_state::id::{Incarnation, RecordId};
use primrosebay_state::record::{Body, Record};
use primrosebay_state::resources::Resources;
use primrosebay_transport::clock::Clock;
use primrosebay_transport::http_client::Client;
use primrosebay_transport::http_server::{Limits, Server};
use primrosebay_transport::log::{HttpLog, Log};
use rstest::rstest;

const LOOPBACK: &str = "127.0.0.1:0";

fn change(kind: &str, name: &str, spec: Resource) -> Change {
    Change {
        kind: kind.into(),
        name: name.into(),
        expected: 0,
        spec: Some(spec),
    }
}

fn queue(name: &str, open: bool) -> Change {
    let team = "shop".into();
    change("queue", name, Resource::Queue { open, team })
}

/// Guards against requests that count for a team other than the key's, and against requests without
/// a key to a queue that is not open.
#[rstest]
#[case::key("closed", Ok("band"), Some("web"), Ok("band/web"))]
#[case::key_on_open_queue("open", Ok("band"), None, Ok("band"))]
#[case::open_queue("open", Err(Code::NO_KEY), Some("web"), Ok("shop/web"))]
#[case::closed_queue("closed", Err(Code::NO_KEY), None, Err(Code::NO_KEY))]
#[case::unknown_queue("other", Err(Code::NO_KEY), None, Err(Code::NO_KEY))]
#[case::wrong_key("open", Err(Code::WRONG_KEY), None, Err(Code::WRONG_KEY))]
#[case::bad_label("open", Ok("band"), Some("shop/web"), Err(Code::INVALID))]
fn the_key_decides_the_team(
    #[case] service: &str,
    #[case] team: Result<&str, Code>,
    #[case] label: Option<&str>,
    #[case] expected: Result<&str, Code>,
) {
    let mut config = Config::new();
    config.apply(0, &queue("open", true));
    config.apply(1, &queue("closed", false));
    let actual = resolve_account(&config, service, team.map(Name::from), label);
    assert_eq!(actual, expected.map(Name::from));
}

/// Guards against a route that skips the key check or drops the body.
#[async_std::test]
async fn requests_pass_through_a_complete_entry_instance() {
    let address = LOOPBACK.parse().unwrap();
    let minion = Minion::start(address, Settings::default()).await.unwrap();
    let instance = list::Instance {
        name: "m".into(),
        role: Role::Minion,
        zone: "a".into(),
        rack: "".into(),
        service: "price".into(),
        address: minion.address().to_string().into(),
        state: Liveness::Live,
        resources: Resources::ZERO,
    };
    let log = LogService::new(LogSettings::default()).app();
    let log = Server::start(address, log, Limits::default())
        .await
        .unwrap();
    let list = ListService::new(vec![instance]).app();
    let list = Server::start(address, list, Limits::default())
        .await
        .unwrap();
    let key = Resource::Key {
        team: "shop".into(),
        hash: hash("secret").into(),
    };
    // A key works only while its team exists.
    let team = Resource::Team {
        share: 1,
        limit: Resources::ZERO,
    };
    let changes = [change("team", "shop", team), change("key", "k", key)];
    let records = (1..).zip(changes).map(|(sequence, change)| Record {
        id: RecordId {
            incarnation: Incarnation(9),
            sequence,
        },
        body: Body::Config(change),
    });
    let timeout = Duration::from_secs(30);
    let batch = Append {
        records: records.collect(),
    };
    let writer = HttpLog::new(log.address(), timeout);
    writer.append(CONFIG_STREAM, &batch).await.unwrap();
    let setup = Setup {
        name: "e".into(),
        zone: "a".into(),
        address,
        log: log.address(),
        list: list.address(),
        operators: Vec::new(),
        call_timeout: timeout,
        region: "north".into(),
        limits: settings::Limits::default(),
        timeouts: settings::Timeouts::default(),
        clock: Clock::default(),
    };
    let entry = Instance::start(setup).await.unwrap();
    let client = Arc::new(Client::new());
    let call = |key: &'static str| {
        let (client, to) = (Arc::clone(&client), entry.address());
        async move {
            let headers = [("authorization", key), ("x-account", "web")];
            let path = "/v1/services/price/requests";
            let body = Some(b"basket".to_vec());
            let answer = client.bytes(to, Method::Post, path, &headers, body, timeout);
            let (status, bytes) = answer.await.unwrap();
            (u16::from(status), String::from_utf8(bytes).unwrap())
        }
    };
    // The instance reads the configuration and the instance list in the background.
    while call("Bearer secret").await.0 != 200 {
        task::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(call("Bearer secret").await, (200, "basket".to_owned()));
    assert_eq!(call("Bearer other").await.0, 401);
    assert_eq!(minion.runs().of_request("basket"), 2);
    // A minion's 404 must not be replaced by the code of an unknown service, which states that the
    // request did not run.
    minion.set_faults(Faults {
        status: 404,
        ..Faults::default()
    });
    assert_eq!(call("Bearer secret").await, (404, String::new()));
    entry.close().await;
}
