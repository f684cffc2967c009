//! `primrosebay dev`: a development cell in one process.

mod cell;
mod load;
mod plan;
mod summary;

use clap::ArgMatches;

use self::cell::Cell;
use self::plan::Plan;
use crate::commands::{read_input, required_arg};
use crate::logging;

/// Starts the cell of a plan, runs its workload and prints a summary.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    logging::start(false);
    let plan = Plan::parse(&read_input(required_arg(matches, "plan")?)?)?;
    let cell = Cell::start(&plan).await?;
    println!(
        "cell {} with {} zones, {} workers, {} minions",
        plan.region,
        plan.zones.len(),
        plan.workers.count,
        plan.minions.count
    );
    let results = load::run(&plan, &cell).await?;
    summary::print(&plan, &cell, &results);
    cell.close().await;
    Ok(())
}
