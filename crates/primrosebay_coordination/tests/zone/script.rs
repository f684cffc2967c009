//! Scripted scenarios: each file in `scripts` is a cell whose commands read as sentences.

use primrosebay_coordination::zone::Event;
use primrosebay_state::config::ZoneState;
use primrosebay_state::id::JobId;
use primrosebay_state::job::{JobSpec, Policy, Repeat};

use crate::world::{World, cores};

fn number(word: &str) -> usize {
    let digits = word.trim_start_matches(|c: char| !c.is_ascii_digit());
    digits
        .parse()
        .unwrap_or_else(|_| panic!("no number: {word}"))
}

fn node(word: &str) -> usize {
    number(word) - 1
}

fn worker(world: &World, name: &str) -> usize {
    let found = world.worker(name);
    found.unwrap_or_else(|| panic!("no such worker: {name}"))
}

/// Runs one sentence and returns what it shows.
fn play(world: &mut World, line: &str) -> Option<String> {
    let words: Vec<&str> = line.split_whitespace().collect();
    match words.as_slice() {
        ["run", "for", time, "s"] => world.run(1_000 * number(time) as u64),
        ["run", "for", time, "ms"] => world.run(number(time) as u64),
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
                tasks: u32::try_from(number(tasks)).expect("a small number"),
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
            if world.submit(zone, spec).is_none() {
                return Some(format!("{name} is rejected\n"));
            }
        }
        ["cancel", name] => {
            let job = job(world, name);
            let zone = world.home(job);
            world.tell(&zone, &Event::Cancel { job });
        }
        ["move", name, "to", zone] => {
            let job = job(world, name);
            let home = world.home(job);
            let zone = (*zone).into();
            world.tell(&home, &Event::Move { job, zone });
        }
        ["show"] => return Some(world.show()),
        words => fault(world, words),
    }
    None
}

/// Starts or ends a fault.
fn fault(world: &mut World, words: &[&str]) {
    match words {
        ["kill", name] if name.starts_with('n') => world.kill_node(node(name)),
        ["start", name] if name.starts_with('n') => world.start_node(node(name)),
        ["pause", name] => world.pause(node(name)),
        ["wake", name] => world.wake(node(name)),
        ["stop", name] => world.stop_node(node(name)),
        ["kill", "the", "worker", "of", task] => world.kill_worker(worker(world, task)),
        ["declare", "the", "worker", "of", task, "lost"] => {
            let name = world.workers[worker(world, task)].name.clone();
            world.tell("a", &Event::WorkerLost(name));
        }
        ["cut", name, "off", "from", "the", "worker", "of", task] => {
            let pair = (node(name), worker(world, task));
            world.cut.insert(pair);
        }
        ["cut", name, "off", "from", other] => {
            let pair = (node(name), worker(world, other));
            world.cut.insert(pair);
        }
        ["stall", name, "towards", other] => world.stall(node(name), worker(world, other)),
        ["release", "everything"] => world.release(),
        ["kill", name] => world.kill_worker(worker(world, name)),
        ["start", name] => world.start_worker(worker(world, name)),
        ["join", name, "to", other] => {
            let pair = (node(name), worker(world, other));
            world.cut.remove(&pair);
        }
        ["join", "everything"] => {
            world.cut.clear();
            world.faults.log_cut.clear();
        }
        ["let", task, "use", size, "cores"] => {
            let place = worker(world, task);
            let table = &mut world.workers[place].table;
            let attempt = table.running().next().expect("a running task").attempt;
            table.record_usage(attempt, cores(number(size) as u64));
        }
        ["make", name, "fail", "everything"] => {
            let worker = worker(world, name);
            world.workers[worker].failing = true;
        }
        ["cut", name, "off", "from", "the", "log"] => {
            world.faults.log_cut.insert(node(name));
        }
        ["the", "log", "goes", "down"] => world.faults.log_down = true,
        ["the", "log", "comes", "back"] => world.faults.log_down = false,
        ["the", "network", "delays", "by", time, "ms"] => world.faults.delay = number(time) as u64,
        [
            "the",
            "network",
            "loses",
            share,
            "and",
            "doubles",
            other,
            "percent",
        ] => {
            world.faults.loss = u32::try_from(number(share)).expect("a share");
            world.faults.duplicates = u32::try_from(number(other)).expect("a share");
        }
        ["the", "network", "is", "well"] => {
            (
                world.faults.delay,
                world.faults.loss,
                world.faults.duplicates,
            ) = (4, 0, 0);
        }
        ["lose", "log", "answers"] => world.faults.lost_acks = 100,
        ["keep", "log", "answers"] => world.faults.lost_acks = 0,
        ["take", zone, "out"] => world.set_zone(zone, ZoneState::Out),
        ["take", zone, "in"] => world.set_zone(zone, ZoneState::In),
        _ => panic!("unknown sentence: {words:?}"),
    }
}

fn job(world: &World, name: &str) -> JobId {
    let mut jobs = world.jobs.iter();
    let found = jobs.find(|job| &*job.spec.name == name);
    found.unwrap_or_else(|| panic!("no job {name}")).id
}

/// Guards against a lost, doubled or forbidden start in each scenario of section 7 of the design.
#[test]
fn scripted_scenarios() {
    datadriven::walk("tests/zone/scripts", |file| {
        let mut world = World::new(7, &[("a", 3, 4), ("b", 1, 2)], 4, 12);
        file.run(|case| {
            let mut shown = String::new();
            for line in case.input.lines() {
                shown += &play(&mut world, line).unwrap_or_default();
            }
            if shown.is_empty() {
                "ok\n".to_owned()
            } else {
                shown
            }
        });
        assert!(world.violations.is_empty(), "{}", world.show());
    });
}
