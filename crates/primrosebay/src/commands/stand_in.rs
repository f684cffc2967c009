//! `primrosebay stand-in`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clap::ArgMatches;
use eyre::{WrapErr, eyre};
use primrosebay_protocol::list::Instances;
use primrosebay_standin::list::ListService;
use primrosebay_standin::log::{LogService, Settings};
use primrosebay_standin::minion::{self, Minion};
use primrosebay_standin::worker::WorkerService;
use primrosebay_state::resources::Resources;
use primrosebay_transport::http_server::{Limits, Server};

use super::{read_input, text};
use crate::logging;

/// Runs a stand-in until the process is ended.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    logging::start(false);
    let (name, matches) = matches
        .subcommand()
        .ok_or_else(|| eyre!("no stand-in named"))?;
    let address = text(matches, "listen")?.parse()?;
    let bound = match name {
        "log" => serve(address, LogService::new(Settings::default()).app()).await?,
        "list" => {
            let list = ListService::new(instances(matches)?.instances);
            serve(address, list.app()).await?
        }
        "minion" => Minion::start(address, minion_settings(matches)?)
            .await
            .wrap_err_with(|| format!("cannot listen on {address}"))?
            .address(),
        _ => {
            let run = rand::random::<u64>().max(1);
            serve(
                address,
                Arc::new(WorkerService::new(run, held(matches))).app(),
            )
            .await?
        }
    };
    println!("{name} listening on {bound}");
    std::future::pending().await
}

async fn serve<S: Clone + Send + Sync + 'static>(
    address: SocketAddr,
    app: tide::Server<S>,
) -> eyre::Result<SocketAddr> {
    let server = Server::start(address, app, Limits::default())
        .await
        .wrap_err_with(|| format!("cannot listen on {address}"))?;
    Ok(server.address())
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or(0)
}

fn minion_settings(matches: &ArgMatches) -> eyre::Result<minion::Settings> {
    Ok(minion::Settings {
        slots: u32::try_from(number(matches, "slots"))?,
        connections: usize::try_from(number(matches, "connections"))?,
        service_time: Duration::from_millis(number(matches, "service-ms")),
    })
}

fn instances(matches: &ArgMatches) -> eyre::Result<Instances> {
    match matches.get_one::<String>("instances") {
        Some(path) => serde_norway::from_str(&read_input(path)?).wrap_err("not a list"),
        None => Ok(Instances::default()),
    }
}

fn held(matches: &ArgMatches) -> Resources {
    Resources {
        cores_milli: number(matches, "cores") * 1000,
        memory_mib: number(matches, "memory-mib"),
        accelerators: number(matches, "accelerators"),
    }
}
