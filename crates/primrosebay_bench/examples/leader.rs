//! Prints the processor time of a cell's leader, for cells of several sizes with and without
//! waiting jobs.

use std::time::Duration;

use primrosebay_bench::leader::{LeaderCost, LoadedCell, Size};

/// Simulated time before the measurement, in milliseconds.
const WARM_UP_MS: u64 = 10_000;

/// Simulated time of the measurement, in milliseconds.
const MEASURED_MS: u64 = 10_000;

fn main() {
    println!(
        "| minions | waiting jobs | limited jobs | starts a second | us a start | us a hold report | us a submission | percent of a core | idle jobs | report ms | takeover ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for minions in [48, 350, 1_100, 3_000] {
        for (waiting, limited) in [(0, 0), (400, 0), (4_000, 0), (0, 100), (0, 400)] {
            let mut cell = LoadedCell::new(Size {
                minions,
                waiting,
                limited,
                ..Size::default()
            });
            cell.run(WARM_UP_MS);
            let cost = cell.run(MEASURED_MS);
            let (report, idle) = cell.report_idle();
            let takeover = cell.take_over();
            let total = cost.passes + cost.holds + cost.submits;
            let each = LeaderCost::micros_each;
            println!(
                "| {minions} | {waiting} | {limited} | {} | {:.1} | {:.1} | {:.1} | {:.1} | {idle} | {:.1} | {:.1} |",
                cost.starts * 1_000 / MEASURED_MS,
                each(cost.passes, cost.starts),
                each(cost.holds, cost.reports),
                each(cost.submits, cost.submissions),
                100.0 * total.as_secs_f64() / Duration::from_millis(MEASURED_MS).as_secs_f64(),
                report.as_secs_f64() * 1e3,
                takeover.as_secs_f64() * 1e3,
            );
        }
    }
}
