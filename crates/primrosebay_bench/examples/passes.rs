//! Prints the processor time of the scheduling passes of a busy cell of few accounts, with and
//! without a backlog, and a hash of the leader's decisions.
//!
//! Arguments select one cell: `crowd` or `full`, the number of minions and that of jobs in the
//! backlog.

use primrosebay_bench::leader::{LeaderCost, Load, LoadedCell, Size};

/// Simulated time before the measurement, in milliseconds.
const WARM_UP_MS: u64 = 5_000;

/// Simulated time of the measurement, in milliseconds.
const MEASURED_MS: u64 = 5_000;

fn main() {
    println!(
        "| load | minions | backlog | starts | stops | wait for limit | advice | client | room | examined | us a pass | us a hold report | report ms | decisions |"
    );
    println!(
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    let chosen: Vec<String> = std::env::args().skip(1).collect();
    for (name, load) in [("crowd", Load::Crowd), ("full", Load::Full)] {
        for minions in [350, 1_100] {
            for backlog in [0, 400, 4_000] {
                let cell = [name.to_string(), minions.to_string(), backlog.to_string()];
                if chosen.is_empty() || chosen == cell {
                    measure(name, load, minions, backlog);
                }
            }
        }
    }
}

fn measure(name: &str, load: Load, minions: usize, backlog: u64) {
    let mut cell = LoadedCell::new(Size {
        minions,
        load,
        backlog,
        ..Size::default()
    });
    cell.run(WARM_UP_MS);
    let cost = cell.run(MEASURED_MS);
    let blocked = cell.blocked();
    let (report, _) = cell.report_idle();
    let each = LeaderCost::micros_each;
    println!(
        "| {name} | {minions} | {backlog} | {} | {} | {} | {} | {} | {} | {} | {:.0} | {:.1} | {:.1} | {:016x} |",
        cost.starts,
        cost.stops,
        blocked.limit,
        blocked.advice,
        blocked.advice_client,
        blocked.capacity,
        blocked.examined,
        each(cost.passes, cost.ticks),
        each(cost.holds, cost.reports),
        report.as_secs_f64() * 1e3,
        cell.decisions(),
    );
}
