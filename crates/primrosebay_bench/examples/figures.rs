//! Prints figures as a Markdown table and as JSON lines: all, or only those whose names are given
//! as arguments.

use primrosebay_bench::cell::{thistlewood, tugtog};
use primrosebay_bench::figure::TABLE_HEADER;
use primrosebay_bench::figures::{
    DeadlineProfile, all, deadlines, decision_rate, growth, latency, packing, share, urgent,
};

fn main() {
    let names: Vec<String> = std::env::args().skip(1).collect();
    let mut figures = Vec::new();
    if names.is_empty() {
        figures = all();
    }
    for name in &names {
        let cells = [thistlewood(), tugtog()];
        match name.as_str() {
            "decision_rate" => {
                figures.extend(decision_rate(1));
                figures.extend(decision_rate(16));
            }
            "latency" => figures.push(latency()),
            "growth" => figures.extend(growth()),
            "packing" => figures.extend(cells.iter().map(packing)),
            "share" => {
                for with_deadlines in [false, true] {
                    figures.extend(cells.iter().map(|cell| share(cell, with_deadlines)));
                }
            }
            "urgent" => figures.extend(cells.iter().map(urgent)),
            "deadlines" => {
                for profile in [DeadlineProfile::Overnight, DeadlineProfile::Tight] {
                    figures.extend(cells.iter().map(|cell| deadlines(cell, profile)));
                }
            }
            other => eprintln!("unknown figure {other:?}"),
        }
    }
    println!("{TABLE_HEADER}");
    for figure in &figures {
        println!("{}", figure.row());
    }
    println!();
    for figure in &figures {
        println!("{}", figure.json());
    }
}
