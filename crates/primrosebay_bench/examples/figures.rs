//! Prints all figures, or those whose function is named on the command line.

use primrosebay_bench::cell::{thistlewood, tugtog};
use primrosebay_bench::figure::HEAD;
use primrosebay_bench::figures::{
    Night, all, deadlines, decision_rate, growth, latency, packing, share, urgent,
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
            "decision_rate" => figures.push(decision_rate()),
            "latency" => figures.push(latency()),
            "growth" => figures.extend(growth()),
            "packing" => figures.extend(cells.iter().map(packing)),
            "share" => {
                for due in [false, true] {
                    figures.extend(cells.iter().map(|cell| share(cell, due)));
                }
            }
            "urgent" => figures.extend(cells.iter().map(urgent)),
            "deadlines" => {
                for night in [Night::Overnight, Night::Tight] {
                    figures.extend(cells.iter().map(|cell| deadlines(cell, night)));
                }
            }
            other => eprintln!("there is no figure {other}"),
        }
    }
    println!("{HEAD}");
    for figure in &figures {
        println!("{}", figure.row());
    }
    println!();
    for figure in &figures {
        println!("{}", figure.json());
    }
}
