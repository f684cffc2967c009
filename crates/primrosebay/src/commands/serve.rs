//! `primrosebay serve`.

use std::net::SocketAddr;
use std::time::Duration;

use async_signal::{Signal, Signals};
use async_std::stream::StreamExt;
use clap::ArgMatches;
use eyre::WrapErr;
use primrosebay_entry::instance::Instance;
use primrosebay_entry::peers::PeerSetup;
use primrosebay_entry::shared::Setup;
use primrosebay_settings::{Options, Settings, Tls};
use primrosebay_transport::clock::Clock;
use primrosebay_transport::peer::{Identity, IdentityFiles};

use super::{read_input, text};
use crate::logging;

/// Runs an entry instance until the process is ended.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    logging::start(false);
    let input = read_input(text(matches, "settings")?)?;
    let options = Options::parse(&input)?.with_env(environment());
    let settings = Settings::resolve(&options)?;
    let peers = settings.tls.map(|tls| peers(settings.addresses.peers, tls));
    let call_timeout = Duration::from_millis(settings.timeouts.append_ms);
    let setup = Setup {
        name: settings.instance.name,
        zone: settings.instance.zone,
        region: settings.instance.region,
        address: settings.addresses.http,
        log: settings.addresses.log,
        list: settings.addresses.list,
        operators: settings.operators,
        call_timeout,
        limits: settings.limits,
        timeouts: settings.timeouts,
        clock: Clock::default(),
    };
    let instance = Instance::start_with(setup, peers.transpose()?)
        .await
        .wrap_err("cannot start")?;
    println!("entry listening on {}", instance.address());
    match instance.peer_address() {
        Some(address) => println!("peers listening on {address}"),
        None => log::warn!("entry: No TLS files are set, so this instance talks to no others."),
    }
    wait_for_stop().await?;
    instance.close().await;
    Ok(())
}

/// Reads the files of the instance's identity.
fn peers(address: SocketAddr, tls: Tls) -> eyre::Result<PeerSetup> {
    let files = IdentityFiles {
        certificate: tls.certificate,
        key: tls.key,
        roots: tls.authorities,
    };
    Ok(PeerSetup {
        address,
        identity: Identity::load(&files)?,
        files: Some(files),
    })
}

/// Returns the environment without the variables of the client commands, which are no settings.
pub fn environment() -> impl Iterator<Item = (String, String)> {
    std::env::vars_os()
        .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)))
        .filter(|(name, _)| name != "PRIMROSEBAY_SERVER" && name != "PRIMROSEBAY_KEY")
}

/// Waits for a signal that asks the process to stop.
async fn wait_for_stop() -> eyre::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int]).wrap_err("no signals")?;
    let _ = signals.next().await;
    Ok(())
}
