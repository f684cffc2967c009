//! Measures the cost of a zone's coordinator in steady state, while services run and nothing
//! changes.
//!
//! The coordinator exchanges messages with worker states in this process, under a simulated clock.
//! Processor time, bytes and exchanges are given per simulated second.

use std::time::Instant;

use primrosebay_coordination::worker::WorkerState;
use primrosebay_coordination::zone::{Command, Coordinator, Event, Settings};
use primrosebay_protocol::list::{Instance, Liveness, Role};
use primrosebay_state::Name;
use primrosebay_state::id::{Incarnation, JobId};
use primrosebay_state::job::{JobSpec, Policy};
use primrosebay_state::resources::Resources;
use primrosebay_state::time::{Time, WorkerTime};

/// Number of tasks of each job; the last job may have fewer.
const JOB_TASKS: u32 = 10;
/// Interval of the coordinator's ticks in milliseconds, the same as in the entry instance.
const TICK_MS: u64 = 20;
/// Simulated milliseconds after the submission in which all tasks start.
const STARTUP_MS: u64 = 20_000;
/// Simulated milliseconds of the measurement.
const STEADY_MS: u64 = 30_000;

/// The coordinator and the workers of a zone.
struct Zone {
    coordinator: Coordinator,
    /// States of the workers, in the order of `instances`.
    workers: Vec<WorkerState>,
    /// Workers as in the instance list, sorted by name.
    instances: Vec<Instance>,
    /// Simulated time in milliseconds.
    now: u64,
    /// Bytes of the requests to workers.
    sent: usize,
    /// Bytes of the replies of workers.
    received: usize,
    /// Number of requests to workers.
    exchanges: usize,
}

impl Zone {
    fn new(workers: usize) -> Self {
        let total = Resources {
            cores_milli: 64_000,
            memory_mib: 131_072,
            accelerators: 0,
        };
        let instances: Vec<_> = (0..workers).map(|i| worker_instance(i, total)).collect();
        let settings = Settings::default();
        Self {
            coordinator: Coordinator::new(settings, Incarnation(1), "a".into(), 1),
            workers: (0..workers).map(|_| WorkerState::new(7, total)).collect(),
            instances,
            now: 0,
            sent: 0,
            received: 0,
            exchanges: 0,
        }
    }

    /// Handles an event, and at once all replies and appends that follow from it.
    fn handle(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for command in self.coordinator.handle(Time(self.now), event) {
                match command {
                    Command::Send { worker, request } => {
                        let index = self.instances.binary_search_by(|i| i.name.cmp(&worker));
                        let reply = self.workers[index.expect("the worker is listed")]
                            .exchange(WorkerTime(self.now), &request);
                        self.exchanges += 1;
                        self.sent += serde_json::to_vec(&request).map_or(0, |json| json.len());
                        self.received += serde_json::to_vec(&reply).map_or(0, |json| json.len());
                        events.push(Event::Reply {
                            worker,
                            sent: Time(self.now),
                            reply,
                        });
                    }
                    Command::Append { token, .. } => events.push(Event::Appended { token }),
                    Command::Stopped => {}
                }
            }
        }
    }

    /// Advances the clock by `ms` milliseconds, with a tick every [`TICK_MS`].
    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK_MS;
            self.handle(Event::Tick);
        }
    }

    /// Makes the coordinator the leader of the zone, submits services with `tasks` tasks in total
    /// and waits until they run.
    fn start(&mut self, tasks: u32) {
        let team: Name = "team".into();
        let instances = self.instances.clone();
        self.handle(Event::Workers(instances));
        self.handle(Event::Rank(Some(0)));
        self.handle(Event::Team {
            team: team.clone(),
            share: 1,
            allowance: Resources {
                cores_milli: u64::MAX / 4,
                memory_mib: u64::MAX / 4,
                accelerators: 0,
            },
        });
        self.handle(Event::LogEnd { offset: 0 });
        self.handle(Event::MayStart(true));
        self.run(3_000);
        for sequence in 0..tasks.div_ceil(JOB_TASKS) {
            let job = JobId {
                incarnation: Incarnation(1),
                sequence: sequence.into(),
            };
            let spec = JobSpec {
                name: format!("service-{sequence}").into(),
                team: team.clone(),
                policy: Policy::Service,
                tasks: JOB_TASKS.min(tasks - sequence * JOB_TASKS),
                resources: Resources {
                    cores_milli: 100,
                    memory_mib: 64,
                    accelerators: 0,
                },
                ..JobSpec::default()
            };
            self.handle(Event::Accepted {
                job,
                spec,
                durable: true,
                exclusive: true,
            });
        }
        self.run(STARTUP_MS);
    }

    /// Returns the number of running tasks.
    fn running(&self) -> usize {
        self.workers.iter().map(|w| w.running().count()).sum()
    }
}

fn worker_instance(i: usize, resources: Resources) -> Instance {
    Instance {
        name: format!("worker-{i:04}").into(),
        role: Role::Worker,
        zone: "a".into(),
        rack: format!("rack-{}", i / 8).into(),
        service: "".into(),
        address: "".into(),
        state: Liveness::Live,
        resources,
    }
}

/// Returns the resident memory of this process in KiB, or 0 if `/proc` does not provide it.
fn resident_kib() -> usize {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|kib| kib.parse().ok()).unwrap_or(0)
}

fn main() {
    println!(
        "| workers | tasks running | core in percent | bytes/s to a worker | bytes/s from a worker | exchanges/s | memory KiB |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (workers, tasks) in [
        (16, 240),
        (48, 720),
        (111, 1_667),
        (111, 5_000),
        (333, 5_000),
        (1_000, 15_000),
    ] {
        let before = resident_kib();
        let mut zone = Zone::new(workers);
        zone.start(tasks);
        let running = zone.running();
        (zone.sent, zone.received, zone.exchanges) = (0, 0, 0);
        let begin = Instant::now();
        zone.run(STEADY_MS);
        let seconds = f64::from(u32::try_from(STEADY_MS / 1000).unwrap_or(u32::MAX));
        let percent = 100.0 * begin.elapsed().as_secs_f64() / seconds;
        let per_worker =
            |bytes: usize| bytes / workers / usize::try_from(STEADY_MS / 1000).unwrap_or(1);
        println!(
            "| {workers} | {running} | {percent:.2} | {} | {} | {} | {} |",
            per_worker(zone.sent),
            per_worker(zone.received),
            zone.exchanges / usize::try_from(STEADY_MS / 1000).unwrap_or(1),
            resident_kib().saturating_sub(before)
        );
    }
}
