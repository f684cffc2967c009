//! Scripted scenarios: each file in `scripts` runs commands on a simulated cell and compares the
//! printed results.

use primrosebay_coordination::zone::Event;
use primrosebay_state::config::ZoneState;
use primrosebay_state::id::JobId;
use primrosebay_state::job::{JobSpec, Policy, Repeat};

use crate::simulation::{Simulation, cores};

/// Returns the number at the end of a word such as `n1` or `12`.
fn number(word: &str) -> usize {
    let digits = word.trim_start_matches(|c: char| !c.is_ascii_digit());
    digits
        .parse()
        .unwrap_or_else(|_| panic!("{word:?} contains no number"))
}

/// Returns the index of a candidate: `n1` is 0.
fn node(word: &str) -> usize {
    number(word) - 1
}

fn worker(sim: &Simulation, name: &str) -> usize {
    let found = sim.worker(name);
    found.unwrap_or_else(|| panic!("unknown worker or task {name:?}"))
}

/// Runs one command and returns its printed result.
fn run_command(sim: &mut Simulation, line: &str) -> Option<String> {
    let words: Vec<&str> = line.split_whitespace().collect();
    match words.as_slice() {
        ["run", "for", time, "s"] => sim.run(1_000 * number(time) as u64),
        ["run", "for", time, "ms"] => sim.run(number(time) as u64),
        [
            "submit",
            name,
            "to",
            zone,
            "with",
            tasks,
            kind,
            "tasks",
            "of",
            size,
            "cores",
            "for",
            time,
            "s",
        ] => {
            let spec = JobSpec {
                name: (*name).into(),
                tasks: u32::try_from(number(tasks)).expect("the number of tasks fits into u32"),
                policy: if *kind == "gang" {
                    Policy::Gang
                } else {
                    Policy::Batch
                },
                repeat: if *kind == "once" {
                    Repeat::Once
                } else {
                    Repeat::Idempotent
                },
                resources: cores(number(size) as u64),
                run_ms: 1_000 * number(time) as u64,
                ..JobSpec::default()
            };
            if sim.submit(zone, spec).is_none() {
                return Some(format!("{name} is rejected\n"));
            }
        }
        ["cancel", name] => {
            let job = job(sim, name);
            let zone = sim.home(job);
            sim.broadcast(&zone, &Event::Cancel { job });
        }
        ["move", name, "to", zone] => {
            let job = job(sim, name);
            let home = sim.home(job);
            let zone = (*zone).into();
            sim.broadcast(&home, &Event::Move { job, zone });
        }
        ["show"] => return Some(sim.summary()),
        words => run_fault_command(sim, words),
    }
    None
}

/// Runs a command that starts or ends a fault.
fn run_fault_command(sim: &mut Simulation, words: &[&str]) {
    match words {
        ["kill", name] if name.starts_with('n') => sim.kill_node(node(name)),
        ["start", name] if name.starts_with('n') => sim.start_node(node(name)),
        ["pause", name] => sim.pause(node(name)),
        ["resume", name] => sim.resume(node(name)),
        ["stop", name] => sim.stop_node(node(name)),
        ["kill", "the", "worker", "of", task] => sim.kill_worker(worker(sim, task)),
        ["declare", "the", "worker", "of", task, "lost"] => {
            let name = sim.workers[worker(sim, task)].name.clone();
            sim.broadcast("a", &Event::WorkerLost(name));
        }
        ["cut", name, "off", "from", "the", "worker", "of", task] => {
            let pair = (node(name), worker(sim, task));
            sim.cut_links.insert(pair);
        }
        ["cut", name, "off", "from", other] => {
            let pair = (node(name), worker(sim, other));
            sim.cut_links.insert(pair);
        }
        ["stall", name, "towards", other] => sim.stall(node(name), worker(sim, other)),
        ["release", "everything"] => sim.release(),
        ["kill", name] => sim.kill_worker(worker(sim, name)),
        ["start", name] => sim.start_worker(worker(sim, name)),
        ["reconnect", name, "to", other] => {
            let pair = (node(name), worker(sim, other));
            sim.cut_links.remove(&pair);
        }
        ["reconnect", "everything"] => {
            sim.cut_links.clear();
            sim.faults.log_unreachable.clear();
        }
        ["let", task, "use", size, "cores"] => {
            let index = worker(sim, task);
            let state = &mut sim.workers[index].state;
            let attempt = state
                .running()
                .next()
                .expect("the worker runs a task")
                .attempt;
            state.record_usage(attempt, cores(number(size) as u64));
        }
        ["make", name, "fail", "everything"] => {
            let worker = worker(sim, name);
            sim.workers[worker].failing = true;
        }
        ["cut", name, "off", "from", "the", "log"] => {
            sim.faults.log_unreachable.insert(node(name));
        }
        ["the", "log", "goes", "down"] => sim.faults.log_down = true,
        ["the", "log", "comes", "back"] => sim.faults.log_down = false,
        ["the", "network", "delays", "by", time, "ms"] => {
            sim.faults.max_delay_ms = number(time) as u64;
        }
        [
            "the",
            "network",
            "drops",
            share,
            "and",
            "duplicates",
            other,
            "percent",
        ] => {
            sim.faults.loss_percent =
                u32::try_from(number(share)).expect("a percentage fits into u32");
            sim.faults.duplicate_percent =
                u32::try_from(number(other)).expect("a percentage fits into u32");
        }
        ["the", "network", "is", "healthy"] => {
            (
                sim.faults.max_delay_ms,
                sim.faults.loss_percent,
                sim.faults.duplicate_percent,
            ) = (4, 0, 0);
        }
        ["drop", "log", "replies"] => sim.faults.reply_loss_percent = 100,
        ["deliver", "log", "replies"] => sim.faults.reply_loss_percent = 0,
        ["take", zone, "out"] => sim.set_zone(zone, ZoneState::Out),
        ["take", zone, "in"] => sim.set_zone(zone, ZoneState::In),
        _ => panic!("unknown command: {words:?}"),
    }
}

fn job(sim: &Simulation, name: &str) -> JobId {
    let mut jobs = sim.jobs.iter();
    let found = jobs.find(|job| &*job.spec.name == name);
    found.unwrap_or_else(|| panic!("unknown job {name:?}")).id
}

/// Guards against a lost, duplicate or forbidden start in each failure scenario of section 7 of the
/// design.
#[test]
fn scripted_scenarios() {
    datadriven::walk("tests/zone/scripts", |file| {
        let mut sim = Simulation::new(7, &[("a", 3, 4), ("b", 1, 2)], 4, 12);
        file.run(|case| {
            let mut shown = String::new();
            for line in case.input.lines() {
                shown += &run_command(&mut sim, line).unwrap_or_default();
            }
            if shown.is_empty() {
                "ok\n".to_owned()
            } else {
                shown
            }
        });
        assert!(sim.violations.is_empty(), "{}", sim.summary());
    });
}
