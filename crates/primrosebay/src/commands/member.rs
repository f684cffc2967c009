//! `primrosebay member`: runs an instance of a cell.

use std::sync::Arc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use async_std::stream::StreamExt;
use async_std::task;
use clap::ArgMatches;
use eyre::WrapErr;
use primrosebay_member::node::Node;
use primrosebay_member::settings::Settings;
use primrosebay_platform::{BootConfig, PlatformClient, front_app, ready_app};
use primrosebay_transport::clock::Clock;
use primrosebay_transport::http_server::{Limits, Server};
use rustix::process::{Resource, getrlimit};

use crate::logging;

/// Time for completing requests in flight after the instance has stopped accepting connections.
const CLOSE_GRACE: Duration = Duration::from_secs(1);

/// Maximum number of connections of load balancers, which use one or two each for their probes.
const MAX_PROBE_CONNECTIONS: usize = 256;

/// Runs an instance of a cell until a signal asks the process to stop. With `--check`, only checks
/// the settings file.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let boot = BootConfig::load()?;
    if matches.get_flag("check") {
        println!("the settings file is valid");
        return Ok(());
    }
    logging::start_structured();
    let shares = Shares::new(descriptors(&boot));
    let settings = Settings {
        peer_connections: shares.instances,
        ..boot.settings()
    };
    log::info!(
        node:% = settings.name, zone:% = settings.zone, version:% = env!("CARGO_PKG_VERSION"),
        lease_ms = settings.leader.lease_ms;
        "member: starting"
    );
    let drain_time = settings.drain_time;
    let platform = PlatformClient::new(boot.store_address(), boot.advice_address());
    let node = Node::start(platform, settings, Clock::boot())
        .await
        .wrap_err("cannot start the instance")?;
    let node = Arc::new(node);
    let limits = Limits {
        connections: shares.callers,
        grace: CLOSE_GRACE,
        ..Limits::default()
    };
    let (address, app) = (boot.front_address()?, front_app(Arc::clone(&node)));
    let front = Server::start_with_budget(address, app, limits, node.budget())
        .await
        .wrap_err("cannot listen for callers")?;
    let limits = Limits {
        connections: shares.probes,
        ..limits
    };
    let (address, app) = (boot.ready_address()?, ready_app(Arc::clone(&node)));
    let ready = Server::start_with_budget(address, app, limits, node.probe_budget())
        .await
        .wrap_err("cannot listen for readiness probes")?;
    log::info!("member: started");
    wait_for_shutdown().await?;
    log::info!("member: stopping");
    node.stop();
    front.drain();
    task::sleep(drain_time).await;
    front.close().await;
    ready.close().await;
    log::info!("member: stopped");
    log::logger().flush();
    Ok(())
}

/// The numbers of connections that may be open on each address of a member. A quarter of the
/// descriptors is left for the store, the minions, other instances and files.
#[derive(Debug)]
struct Shares {
    callers: usize,
    instances: usize,
    probes: usize,
}

impl Shares {
    /// Divides the descriptors that the process may open.
    fn new(descriptors: usize) -> Self {
        let most = Limits::default().connections;
        Self {
            callers: most.min(descriptors / 2),
            instances: most.min(descriptors / 4),
            probes: MAX_PROBE_CONNECTIONS.min(descriptors / 16),
        }
    }
}

/// Returns the number of descriptors that the process may open: as many as the settings and the
/// operating system allow.
fn descriptors(boot: &BootConfig) -> usize {
    let current = getrlimit(Resource::Nofile).current;
    let allowed = current.map_or(usize::MAX, |d| usize::try_from(d).unwrap_or(usize::MAX));
    boot.max_descriptors().map_or(allowed, |d| d.min(allowed))
}

/// Waits for `SIGTERM` or `SIGINT`. On `SIGHUP`, only checks the settings file, since everything
/// that may change while the process runs comes from the platform's store.
async fn wait_for_shutdown() -> eyre::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .wrap_err("cannot register signal handlers")?;
    while let Some(signal) = signals.next().await {
        if !matches!(signal, Ok(Signal::Hup)) {
            return Ok(());
        }
        match BootConfig::load() {
            Ok(_) => log::info!("member: settings file is valid; changes apply at the next start"),
            Err(e) => log::error!(reason:% = e; "member: cannot load the changed settings file"),
        }
    }
    Ok(())
}
