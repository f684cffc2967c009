//! Prints the figures of the request path. Arguments select among `latency`, `goodput` and
//! `choices`; without arguments all are printed.

use async_std::task;
use primrosebay_coordination::routing::table::Choice;
use primrosebay_load::choices::{ChoicePlan, simulate};
use primrosebay_load::goodput::{self, GoodputPlan};
use primrosebay_load::latency::{self, LatencyPlan};

fn main() -> std::io::Result<()> {
    let selected: Vec<String> = std::env::args()
        .skip(1)
        .filter(|arg| !arg.starts_with('-'))
        .collect();
    let is_selected = |name: &str| selected.is_empty() || selected.iter().any(|arg| arg == name);
    if is_selected("latency") {
        let figures = task::block_on(latency::measure(LatencyPlan::default()))?;
        let (direct, routed) = (figures.direct, figures.routed);
        println!(
            "latency direct: p50 {} us, p99 {} us",
            direct.p50, direct.p99
        );
        println!(
            "latency routed: p50 {} us, p99 {} us",
            routed.p50, routed.p99
        );
        println!(
            "latency added: p50 {} us, p99 {} us",
            routed.p50.saturating_sub(direct.p50),
            routed.p99.saturating_sub(direct.p99)
        );
    }
    if is_selected("goodput") {
        let figures = task::block_on(goodput::measure(GoodputPlan::default()))?;
        println!("goodput: {figures:?}");
    }
    if is_selected("choices") {
        print_choices();
    }
    Ok(())
}

fn print_choices() {
    for entries in [1, 6] {
        for load in [70, 90] {
            for choice in [Choice::LeastOfTwo, Choice::Random, Choice::RoundRobin] {
                let figures = simulate(ChoicePlan {
                    choice,
                    entries,
                    load,
                    requests: 200_000,
                    seed: 1,
                });
                println!("choices: {entries} entries, load {load}%, {choice:?}: {figures:?}");
            }
        }
    }
}
