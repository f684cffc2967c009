//! `primrosebay serve`.

use std::net::SocketAddr;
use std::time::Duration;

use clap::ArgMatches;
use eyre::WrapErr;
use primrosebay_entry::auth;
use primrosebay_entry::instance::Instance;
use primrosebay_entry::shared::Setup;
use primrosebay_state::Name;
use serde::Deserialize;

use super::{read_input, text};
use crate::logging;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Options {
    name: Name,
    zone: Name,
    address: SocketAddr,
    log: SocketAddr,
    list: SocketAddr,
    operator_key: String,
}

/// Runs an entry instance until the process is ended.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    logging::start(false);
    let input = read_input(text(matches, "settings")?)?;
    let options: Options = serde_norway::from_str(&input).wrap_err("wrong settings")?;
    let instance = Instance::start(Setup {
        name: options.name,
        zone: options.zone,
        address: options.address,
        log: options.log,
        list: options.list,
        operator_hash: auth::hash(&options.operator_key).into(),
        call_timeout: Duration::from_secs(1),
    })
    .await
    .wrap_err("cannot start")?;
    println!("entry listening on {}", instance.address());
    std::future::pending().await
}
