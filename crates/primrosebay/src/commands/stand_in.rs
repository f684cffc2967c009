//! `primrosebay stand-in`.

use clap::ArgMatches;
use eyre::{WrapErr, eyre};
use primrosebay_protocol::list::Instances;
use primrosebay_standin::list::ListService;
use primrosebay_standin::log::{LogService, Settings};
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
    let limits = Limits::default();
    let server = match name {
        "log" => {
            let log = LogService::new(Settings::default());
            Server::start(address, log.app(), limits).await
        }
        "list" => {
            let list = ListService::new(instances(matches)?.instances);
            Server::start(address, list.app(), limits).await
        }
        _ => {
            let worker = WorkerService::new(rand::random::<u64>().max(1), held(matches));
            Server::start(address, worker.app(), limits).await
        }
    }
    .wrap_err_with(|| format!("cannot listen on {address}"))?;
    println!("{name} listening on {}", server.address());
    std::future::pending().await
}

fn instances(matches: &ArgMatches) -> eyre::Result<Instances> {
    match matches.get_one::<String>("instances") {
        Some(path) => serde_norway::from_str(&read_input(path)?).wrap_err("not a list"),
        None => Ok(Instances::default()),
    }
}

fn held(matches: &ArgMatches) -> Resources {
    let amount = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(0);
    Resources {
        cores_milli: amount("cores") * 1000,
        memory_mib: amount("memory-mib"),
        accelerators: amount("accelerators"),
    }
}
