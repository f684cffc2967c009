//! A cell of stand-ins and entry instances in one process.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use eyre::{WrapErr, eyre};
use http_types::Method;
use primrosebay_entry::auth;
use primrosebay_entry::instance::Instance;
use primrosebay_entry::peers::PeerSetup;
use primrosebay_entry::shared::Setup;
use primrosebay_protocol::list::{self, Liveness, Role};
use primrosebay_standin::list::ListService;
use primrosebay_standin::log::{LogService, Settings};
use primrosebay_standin::minion::{self, Minion};
use primrosebay_standin::worker::{Status, WorkerService};
use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_transport::http_client::Client;
use primrosebay_transport::http_server::{Limits, Server};
use primrosebay_transport::peer::DevAuthority;

use super::plan::Plan;

/// Key of the operators of a development cell.
pub const OPERATOR_KEY: &str = "operator-key";

/// Timeout of a request to the instance list.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A development cell whose instances and platform stand-ins run in this process.
#[derive(Debug)]
pub struct Cell {
    /// Servers of the log and the instance list.
    platform_servers: Vec<Server>,
    workers: Vec<(Arc<WorkerService>, Server)>,
    minions: Vec<Minion>,
    entries: Vec<Instance>,
}

impl Cell {
    /// Starts the workers, the minions, the stand-ins of the log and the instance list, and one
    /// entry instance in each zone.
    pub async fn start(plan: &Plan) -> eyre::Result<Self> {
        let mut instances = Vec::new();
        let mut workers = Vec::new();
        for i in 0..plan.workers.count {
            let run_id = rand::random::<u64>().max(1);
            let service = Arc::new(WorkerService::new(run_id, plan.workers.resources));
            let server = listen(service.app()).await?;
            instances.push(worker_instance(plan, i, server.address()));
            workers.push((service, server));
        }
        let mut minions = Vec::new();
        for i in 0..plan.minions.count {
            let settings = minion::Settings {
                slots: plan.minions.slots,
                connections: plan.minions.connections,
                service_time: Duration::from_millis(plan.minions.service_ms),
            };
            let minion = Minion::start(loopback(), settings)
                .await
                .wrap_err("cannot listen on loopback")?;
            instances.push(minion_instance(plan, i, minion.address()));
            minions.push(minion);
        }
        let log = listen(LogService::new(Settings::default()).app()).await?;
        let list = listen(ListService::new(instances).app()).await?;
        let authority = DevAuthority::new()?;
        let mut entries = Vec::new();
        for zone in &plan.zones {
            let setup = entry_setup(zone, &plan.region, log.address(), list.address());
            let peers = PeerSetup {
                address: loopback(),
                identity: authority.issue(&setup.name)?,
                files: None,
            };
            let entry = Instance::start_with(setup, Some(peers))
                .await
                .wrap_err("cannot start an entry instance")?;
            register(list.address(), zone, &entry).await?;
            entries.push(entry);
        }
        Ok(Self {
            platform_servers: vec![log, list],
            workers,
            minions,
            entries,
        })
    }

    /// Returns the address of the API of each entry instance, in the order of the plan's zones.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(Instance::address).collect()
    }

    /// Returns the resources and the run history of each worker.
    pub fn worker_statuses(&self) -> Vec<Status> {
        self.workers
            .iter()
            .map(|(worker, _)| worker.status())
            .collect()
    }

    /// Stops the entry instances, then the stand-ins on which they depend.
    pub async fn close(self) {
        for entry in self.entries {
            entry.close().await;
        }
        for minion in self.minions {
            minion.close().await;
        }
        let workers = self.workers.into_iter().map(|(_, server)| server);
        for server in workers.chain(self.platform_servers) {
            server.close().await;
        }
    }
}

/// Returns a loopback address with port 0, which selects a free port.
fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

async fn listen<S: Clone + Send + Sync + 'static>(app: tide::Server<S>) -> eyre::Result<Server> {
    Server::start(loopback(), app, Limits::default())
        .await
        .wrap_err("cannot listen on loopback")
}

/// Returns worker number `i` as it stands in the instance list.
fn worker_instance(plan: &Plan, i: usize, address: SocketAddr) -> list::Instance {
    let zone = &plan.zones[i % plan.zones.len()];
    let rack = i / plan.zones.len() / plan.workers.per_rack;
    list::Instance {
        name: format!("worker-{i:03}").into(),
        role: Role::Worker,
        zone: zone.clone(),
        rack: format!("{zone}-rack-{rack}").into(),
        service: Name::from(""),
        address: address.to_string().into(),
        state: Liveness::Live,
        resources: plan.workers.resources,
    }
}

/// Returns minion number `i` as it stands in the instance list.
fn minion_instance(plan: &Plan, i: usize, address: SocketAddr) -> list::Instance {
    let services = &plan.minions.services;
    list::Instance {
        name: format!("minion-{i:03}").into(),
        role: Role::Minion,
        zone: plan.zones[i % plan.zones.len()].clone(),
        rack: Name::from(""),
        service: services[i % services.len()].clone(),
        address: address.to_string().into(),
        state: Liveness::Live,
        resources: Resources::ZERO,
    }
}

/// Adds an entry instance with its peer address to the instance list.
async fn register(list: SocketAddr, zone: &Name, entry: &Instance) -> eyre::Result<()> {
    let address = entry
        .peer_address()
        .ok_or_else(|| eyre!("the entry instance has no peer address"))?;
    let name: Name = format!("entry-{zone}").into();
    let path = format!("/instances/{name}");
    let instance = list::Instance {
        name,
        role: Role::Entry,
        zone: zone.clone(),
        rack: Name::from(""),
        service: Name::from(""),
        address: address.to_string().into(),
        state: Liveness::Live,
        resources: Resources::ZERO,
    };
    let body = serde_json::to_vec(&instance)?;
    Client::new()
        .bytes(list, Method::Put, &path, &[], Some(body), TIMEOUT)
        .await?;
    Ok(())
}

fn entry_setup(zone: &Name, region: &Name, log: SocketAddr, list: SocketAddr) -> Setup {
    Setup {
        name: format!("entry-{zone}").into(),
        zone: zone.clone(),
        region: region.clone(),
        log,
        list,
        operators: vec![auth::hash(OPERATOR_KEY).into()],
        ..Setup::default()
    }
}
