//! `primrosebay serve`: runs an entry instance.

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

use super::{read_input, required_arg};
use crate::logging;

/// Runs an entry instance until a signal asks the process to stop.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    logging::start(false);
    let input = read_input(required_arg(matches, "settings")?)?;
    let options = Options::parse(&input)?.with_env(settings_environment());
    let settings = Settings::resolve(&options)?;
    let peer_setup = settings
        .tls
        .map(|tls| load_peer_setup(settings.addresses.peers, tls));
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
    let instance = Instance::start_with(setup, peer_setup.transpose()?)
        .await
        .wrap_err("cannot start the entry instance")?;
    println!("entry listening on {}", instance.address());
    match instance.peer_address() {
        Some(address) => println!("peers listening on {address}"),
        None => log::warn!("entry: no TLS files are set; peer communication is disabled"),
    }
    wait_for_shutdown().await?;
    instance.close().await;
    Ok(())
}

/// Loads the TLS identity of the instance for its peer interface at `address`.
fn load_peer_setup(address: SocketAddr, tls: Tls) -> eyre::Result<PeerSetup> {
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

/// Returns the environment variables except those of the client commands, which have the prefix of
/// settings but are not settings.
pub fn settings_environment() -> impl Iterator<Item = (String, String)> {
    std::env::vars_os()
        .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)))
        .filter(|(name, _)| name != "PRIMROSEBAY_SERVER" && name != "PRIMROSEBAY_KEY")
}

/// Waits for `SIGTERM` or `SIGINT`.
async fn wait_for_shutdown() -> eyre::Result<()> {
    let mut signals =
        Signals::new([Signal::Term, Signal::Int]).wrap_err("cannot register signal handlers")?;
    let _ = signals.next().await;
    Ok(())
}
