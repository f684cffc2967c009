//! A development cell in one process.

mod cell;
mod load;
mod plan;
mod summary;

use clap::ArgMatches;

use self::cell::Cell;
use self::plan::Plan;
use crate::commands::{read_input, text};
use crate::logging;

/// Starts a cell, runs the workload of a plan on it and prints a summary.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    logging::start(false);
    let plan = Plan::parse(&read_input(text(matches, "plan")?)?)?;
    let cell = Cell::start(&plan).await?;
    println!(
        "cell {} with {} zones, {} workers, {} minions",
        plan.region,
        plan.zones.len(),
        plan.workers.count,
        plan.minions.count
    );
    let result = load::run(&plan, &cell).await?;
    summary::print(&plan, &cell, &result);
    cell.close().await;
    Ok(())
}
