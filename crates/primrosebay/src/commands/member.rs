//! `primrosebay member`.

use std::sync::Arc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use async_std::stream::StreamExt;
use async_std::task;
use clap::ArgMatches;
use eyre::WrapErr;
use primrosebay_member::node::Node;
use primrosebay_platform::{BootConfig, PlatformClient, front_app, ready_app};
use primrosebay_transport::clock::Clock;
use primrosebay_transport::http_server::{Limits, Server};

use crate::logging;

/// Time for requests in flight after the instance has stopped accepting connections.
const CLOSE_GRACE: Duration = Duration::from_secs(1);

/// Runs an instance of a cell until the process is ended.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let boot = BootConfig::load()?;
    if matches.get_flag("check") {
        println!("the settings file is valid");
        return Ok(());
    }
    logging::start_structured();
    let settings = boot.settings();
    log::info!(
        node:% = settings.name, zone:% = settings.zone, version:% = env!("CARGO_PKG_VERSION"),
        lease_ms = settings.leader.lease_ms;
        "member: starts"
    );
    let drain = settings.drain_time;
    let platform = PlatformClient::new(boot.store_address(), boot.advice_address());
    let node = Node::start(platform, settings, Clock::boot())
        .await
        .wrap_err("cannot start")?;
    let node = Arc::new(node);
    let limits = Limits {
        grace: CLOSE_GRACE,
        ..Limits::default()
    };
    let front = Server::start(boot.front_address()?, front_app(Arc::clone(&node)), limits)
        .await
        .wrap_err("cannot serve callers")?;
    let ready = Server::start(boot.ready_address()?, ready_app(Arc::clone(&node)), limits)
        .await
        .wrap_err("cannot serve the load balancer")?;
    log::info!("member: started");
    wait_for_stop().await?;
    log::info!("member: stops");
    node.stop();
    front.drain();
    task::sleep(drain).await;
    front.close().await;
    ready.close().await;
    log::info!("member: stopped");
    log::logger().flush();
    Ok(())
}

/// Waits for a signal that asks the process to stop. A change of the settings file needs no action,
/// since everything that may change while a process runs comes from the platform's store.
async fn wait_for_stop() -> eyre::Result<()> {
    let mut signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).wrap_err("no signals")?;
    while let Some(signal) = signals.next().await {
        if !matches!(signal, Ok(Signal::Hup)) {
            return Ok(());
        }
        match BootConfig::load() {
            Ok(_) => log::info!("member: settings file read again"),
            Err(e) => log::error!(reason:% = e; "member: changed settings file cannot be used"),
        }
    }
    Ok(())
}
