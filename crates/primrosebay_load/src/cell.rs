//! A cell of one entry instance and stand-ins for minions, the log service and the list.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;
use primrosebay_entry::auth::hash;
use primrosebay_entry::instance::Instance;
use primrosebay_entry::shared::Setup;
use primrosebay_protocol::list::{self, Liveness, Role};
use primrosebay_protocol::log::{Append, CONFIG_STREAM};
use primrosebay_standin::list::ListService;
use primrosebay_standin::log::{LogService, Settings as LogSettings};
use primrosebay_standin::minion::{Minion, Settings};
use primrosebay_state::config::{Change, Resource};
use primrosebay_state::id::{Incarnation, RecordId};
use primrosebay_state::record::{Body, Record};
use primrosebay_state::resources::Resources;
use primrosebay_transport::http_server::{Limits, Server};
use primrosebay_transport::log::{HttpLog, Log};

use crate::caller::{Target, send_once};

/// Number of minions of the cell.
pub(crate) const MINIONS: usize = 48;
/// Key of the team that sends the requests.
const TEAM_KEY: &str = "load-key";
/// Timeout of calls to the log service and the list.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A running cell. Its entry instance and minions run until the process ends.
pub(crate) struct Cell {
    pub(crate) minions: Vec<Minion>,
    entry: Instance,
    /// Servers of the log service and the list.
    _servers: [Server; 2],
}

impl Cell {
    /// Starts a cell whose minions take `service_time` for each request, and waits until requests
    /// through the entry instance succeed.
    pub(crate) async fn start(service_time: Duration) -> io::Result<Self> {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut minions = Vec::new();
        for _ in 0..MINIONS {
            let settings = Settings {
                service_time,
                ..Settings::default()
            };
            minions.push(Minion::start(loopback, settings).await?);
        }
        let instances = minions.iter().enumerate().map(list_entry).collect();
        let log = LogService::new(LogSettings::default()).app();
        let log = Server::start(loopback, log, Limits::default()).await?;
        let list = ListService::new(instances).app();
        let list = Server::start(loopback, list, Limits::default()).await?;
        HttpLog::new(log.address(), CALL_TIMEOUT)
            .append(CONFIG_STREAM, &team_and_key())
            .await
            .map_err(io::Error::other)?;
        let entry = Instance::start(Setup {
            name: "entry".into(),
            zone: "a".into(),
            address: loopback,
            log: log.address(),
            list: list.address(),
            call_timeout: CALL_TIMEOUT,
            ..Setup::default()
        })
        .await?;
        let cell = Self {
            minions,
            entry,
            _servers: [log, list],
        };
        cell.wait_ready().await?;
        Ok(cell)
    }

    /// Returns the target of requests through the entry instance.
    pub(crate) fn entry_target(&self) -> Target {
        Target {
            address: self.entry.address(),
            path: "/v1/services/load/requests",
            headers: format!("authorization: Bearer {TEAM_KEY}\r\n"),
        }
    }

    /// Returns the target of requests sent directly to a minion. `i` wraps around at [`MINIONS`].
    pub(crate) fn minion_target(&self, i: usize) -> Target {
        Target {
            address: self.minions[i % MINIONS].address(),
            path: "/run",
            headers: String::new(),
        }
    }

    /// Waits until a request is answered with 200, for at most 200 attempts 20 ms apart.
    async fn wait_ready(&self) -> io::Result<()> {
        for _ in 0..200 {
            if send_once(&self.entry_target(), "once", 5_000).await?.status == 200 {
                return Ok(());
            }
            task::sleep(Duration::from_millis(20)).await;
        }
        let last = send_once(&self.entry_target(), "once", 5_000).await?;
        Err(io::Error::other(format!(
            "the entry instance is not ready: {last:?}"
        )))
    }
}

fn list_entry((i, minion): (usize, &Minion)) -> list::Instance {
    list::Instance {
        name: format!("minion-{i:02}").into(),
        role: Role::Minion,
        zone: "a".into(),
        rack: "".into(),
        service: "load".into(),
        address: minion.address().to_string().into(),
        state: Liveness::Live,
        resources: Resources::ZERO,
    }
}

/// Returns the configuration records of the team and its key.
fn team_and_key() -> Append {
    let team = Resource::Team {
        share: 1,
        limit: Resources::ZERO,
    };
    let key = Resource::Key {
        team: "load".into(),
        hash: hash(TEAM_KEY).into(),
    };
    let records = (1..).zip([("team", team), ("key", key)]);
    Append {
        records: records.map(config_record).collect(),
    }
}

fn config_record((sequence, (kind, spec)): (u64, (&str, Resource))) -> Record {
    let change = Change {
        kind: kind.into(),
        name: "load".into(),
        expected: 0,
        spec: Some(spec),
    };
    let incarnation = Incarnation(1);
    Record {
        id: RecordId {
            incarnation,
            sequence,
        },
        body: Body::Config(change),
    }
}
