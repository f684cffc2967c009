//! Starts and stops an entry instance.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use primrosebay_protocol::list::Role;
use primrosebay_state::Name;
use primrosebay_state::id::Incarnation;
use primrosebay_transport::http_server::{Limits, Server};
use primrosebay_transport::list::{HttpInstanceList, InstanceList};
use primrosebay_transport::log::HttpLog;

use crate::api;
use crate::configuration;
use crate::peers::{PeerSetup, Peers};
use crate::shared::{Setup, Shared};
use crate::snapshots;
use crate::zones::Zone;

/// Interval between fetches of the platform's instance list.
const LIST_PERIOD: Duration = Duration::from_secs(1);
/// Entry instances per zone that follow its log streams and can take it over. An instance of a
/// later rank becomes a candidate only after the instance list has dropped an earlier one.
const CANDIDATES_PER_ZONE: usize = 2;
/// Interval between ticks of the request router, and so its longest delay in noticing the end of an
/// ejection or a slow start.
const REQUEST_TICK: Duration = Duration::from_millis(20);
/// Longest wait at a planned stop for the release of each zone's leases, and then for queued
/// records to reach the log.
const STOP_GRACE: Duration = Duration::from_secs(5);

/// A running entry instance; [`Self::close`] stops it.
#[derive(Debug)]
pub struct Instance {
    shared: Arc<Shared>,
    server: Server,
}

impl Instance {
    /// Starts the API and the coordinator of the instance's zone, without a peer interface.
    ///
    /// # Errors
    /// Returns the error of binding the API's address.
    pub async fn start(setup: Setup) -> io::Result<Self> {
        Self::start_with(setup, None).await
    }

    /// Starts the API, the coordinator of the instance's zone and, with `peers`, the peer
    /// interface.
    ///
    /// # Errors
    /// Returns the error of binding the API's address or the peer address.
    pub async fn start_with(setup: Setup, peers: Option<PeerSetup>) -> io::Result<Self> {
        let incarnation = Incarnation(rand::random());
        let log = Arc::new(HttpLog::new(setup.log, setup.call_timeout));
        let shared = Arc::new(Shared::new(setup, incarnation, log));
        if let Some(peers) = peers {
            Peers::join(&shared, peers).map_err(io::Error::other)?;
        }
        let app = api::app(Arc::clone(&shared));
        let (address, limits) = (shared.setup.address, http_limits(&shared));
        let budget = Arc::clone(&shared.budget);
        let server = Server::start_with_budget(address, app, limits, budget).await?;
        Zone::start(&shared, &shared.setup.zone);
        task::spawn(configuration::follow(Arc::downgrade(&shared)));
        task::spawn(configuration::watch_status(Arc::downgrade(&shared)));
        task::spawn(snapshots::publish_config(Arc::downgrade(&shared)));
        task::spawn(follow_list(Arc::clone(&shared)));
        task::spawn(tick_requests(Arc::clone(&shared)));
        log::info!("entry: serving on {}", server.address());
        Ok(Self { shared, server })
    }

    /// Returns the address of the API.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the state that the parts of the instance share.
    #[must_use]
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns the address of the peer interface, if there is one.
    #[must_use]
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.shared.peers()?.net().address().ok()
    }

    /// Waits for requests in flight, releases the leases of the zones, flushes queued records to
    /// the log and closes the links to peers.
    pub async fn close(self) {
        log::info!("entry: stopping");
        self.shared.stop();
        self.server.close().await;
        for zone in self.shared.zones() {
            zone.stop(STOP_GRACE).await;
        }
        if !self.shared.publisher.clone().close(STOP_GRACE).await {
            log::warn!("log: records were still queued at shutdown");
        }
        if let Some(peers) = self.shared.peers() {
            Arc::clone(peers).close().await;
        }
    }
}

fn http_limits(shared: &Shared) -> Limits {
    let (limits, timeouts) = (&shared.setup.limits, &shared.setup.timeouts);
    Limits {
        connections: usize::try_from(limits.connections).unwrap_or(usize::MAX),
        head_bytes: usize::try_from(limits.header_bytes).unwrap_or(usize::MAX),
        grace: Duration::from_millis(timeouts.stop_ms),
        head_timeout: Duration::from_millis(timeouts.header_ms),
        body_timeout: Duration::from_millis(timeouts.body_ms),
        idle_timeout: Duration::from_millis(timeouts.idle_ms),
        ..Limits::default()
    }
}

async fn follow_list(shared: Arc<Shared>) {
    let list = HttpInstanceList::new(shared.setup.list, shared.setup.call_timeout);
    loop {
        match list.fetch().await {
            Ok(fetched) => {
                shared.update_peers(&fetched.instances);
                shared.requests.update(&fetched.instances);
                shared.set_directory(fetched.instances);
                add_candidate_zones(&shared);
                for zone in shared.zones() {
                    zone.update_directory(&shared);
                }
            }
            Err(e) => log::warn!("list: cannot fetch the instance list: {e}"),
        }
        task::sleep(LIST_PERIOD).await;
    }
}

/// Becomes a candidate for each zone with workers in which this instance ranks among the first
/// [`CANDIDATES_PER_ZONE`], for example because the zone has few entry instances of its own.
fn add_candidate_zones(shared: &Arc<Shared>) {
    let Some(peers) = shared.peers() else {
        return;
    };
    let directory = shared.directory();
    let workers = directory.iter().filter(|i| i.role == Role::Worker);
    let mut zones: Vec<Name> = workers.map(|i| i.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    for name in zones {
        if shared.zone(&name).is_none() && peers.rank(&name) < CANDIDATES_PER_ZONE {
            let zone = Zone::start(shared, &name);
            zone.update_config(shared);
        }
    }
}

async fn tick_requests(shared: Arc<Shared>) {
    loop {
        shared.requests.tick();
        task::sleep(REQUEST_TICK).await;
    }
}
