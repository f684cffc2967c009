//! `primrosebay stand-in`: runs a stand-in for the log, the instance list, a worker or a minion.

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

use super::{read_input, required_arg};
use crate::logging;

/// Runs a stand-in until the process is killed.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    logging::start(false);
    let (name, matches) = matches
        .subcommand()
        .ok_or_else(|| eyre!("no stand-in given"))?;
    let address = required_arg(matches, "listen")?.parse()?;
    let listen_address = match name {
        "log" => serve(address, LogService::new(Settings::default()).app()).await?,
        "list" => {
            let list = ListService::new(load_instances(matches)?.instances);
            serve(address, list.app()).await?
        }
        "minion" => Minion::start(address, minion_settings(matches)?)
            .await
            .wrap_err_with(|| format!("cannot listen on {address}"))?
            .address(),
        _ => {
            let run_id = rand::random::<u64>().max(1);
            serve(
                address,
                Arc::new(WorkerService::new(run_id, worker_resources(matches))).app(),
            )
            .await?
        }
    };
    println!("{name} listening on {listen_address}");
    std::future::pending().await
}

/// Starts a server for `app` and returns the address on which it listens. Port 0 in `address`
/// selects a free port.
async fn serve<S: Clone + Send + Sync + 'static>(
    address: SocketAddr,
    app: tide::Server<S>,
) -> eyre::Result<SocketAddr> {
    let server = Server::start(address, app, Limits::default())
        .await
        .wrap_err_with(|| format!("cannot listen on {address}"))?;
    Ok(server.address())
}

/// Returns the value of a number argument, or 0 if it is not set.
fn number_arg(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or(0)
}

fn minion_settings(matches: &ArgMatches) -> eyre::Result<minion::Settings> {
    Ok(minion::Settings {
        slots: u32::try_from(number_arg(matches, "slots"))?,
        connections: usize::try_from(number_arg(matches, "connections"))?,
        service_time: Duration::from_millis(number_arg(matches, "service-ms")),
    })
}

/// Reads the file of `--instances`. The list is empty if the argument is not set.
fn load_instances(matches: &ArgMatches) -> eyre::Result<Instances> {
    match matches.get_one::<String>("instances") {
        Some(path) => serde_norway::from_str(&read_input(path)?).wrap_err("invalid instance list"),
        None => Ok(Instances::default()),
    }
}

/// Returns the total resources of the worker.
fn worker_resources(matches: &ArgMatches) -> Resources {
    Resources {
        cores_milli: number_arg(matches, "cores") * 1000,
        memory_mib: number_arg(matches, "memory-mib"),
        accelerators: number_arg(matches, "accelerators"),
    }
}
