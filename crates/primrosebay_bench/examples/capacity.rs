//! Measures what the coordinator of a zone costs when its services run and nothing changes.
//!
//! The coordinator exchanges messages with worker tables in this process, under a clock that is
//! advanced by hand. Processor time and bytes are given for each simulated second.

use std::time::Instant;

use primrosebay_coordination::worker::WorkerState;
use primrosebay_coordination::zone::{Command, Coordinator, Event, Settings};
use primrosebay_protocol::list::{Instance, Liveness, Role};
use primrosebay_state::Name;
use primrosebay_state::id::{Incarnation, JobId};
use primrosebay_state::job::{JobSpec, Policy};
use primrosebay_state::resources::Resources;
use primrosebay_state::time::{Time, WorkerTime};

/// Tasks of one job.
const JOB_TASKS: u32 = 10;
/// Period of the coordinator's ticks in milliseconds, as in the entry instance.
const TICK_MS: u64 = 20;
/// Simulated milliseconds until all tasks run.
const START_MS: u64 = 20_000;
/// Simulated milliseconds that are measured.
const QUIET_MS: u64 = 30_000;

struct Zone {
    coordinator: Coordinator,
    workers: Vec<WorkerState>,
    list: Vec<Instance>,
    now: u64,
    sent: usize,
    received: usize,
    exchanges: usize,
}

impl Zone {
    fn new(workers: usize) -> Self {
        let total = Resources {
            cores_milli: 64_000,
            memory_mib: 131_072,
            accelerators: 0,
        };
        let list: Vec<_> = (0..workers).map(|i| instance(i, total)).collect();
        let settings = Settings::default();
        Self {
            coordinator: Coordinator::new(settings, Incarnation(1), "a".into(), 1),
            workers: (0..workers).map(|_| WorkerState::new(7, total)).collect(),
            list,
            now: 0,
            sent: 0,
            received: 0,
            exchanges: 0,
        }
    }

    fn handle(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for command in self.coordinator.handle(Time(self.now), event) {
                match command {
                    Command::Send { worker, request } => {
                        let at = self.list.binary_search_by(|i| i.name.cmp(&worker));
                        let reply = self.workers[at.expect("a listed worker")]
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

    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK_MS;
            self.handle(Event::Tick);
        }
    }

    fn start(&mut self, tasks: u32) {
        let team: Name = "team".into();
        let list = self.list.clone();
        self.handle(Event::Workers(list));
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
        self.run(START_MS);
    }

    fn running(&self) -> usize {
        self.workers.iter().map(|w| w.running().count()).sum()
    }
}

fn instance(i: usize, resources: Resources) -> Instance {
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

/// Returns the resident memory of this process in KiB, where the system tells it.
fn resident_kib() -> usize {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS"));
    let words = line.and_then(|line| line.split_whitespace().nth(1));
    words.and_then(|kib| kib.parse().ok()).unwrap_or(0)
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
        zone.run(QUIET_MS);
        let seconds = f64::from(u32::try_from(QUIET_MS / 1000).unwrap_or(u32::MAX));
        let percent = 100.0 * begin.elapsed().as_secs_f64() / seconds;
        let each = |bytes: usize| bytes / workers / usize::try_from(QUIET_MS / 1000).unwrap_or(1);
        println!(
            "| {workers} | {running} | {percent:.2} | {} | {} | {} | {} |",
            each(zone.sent),
            each(zone.received),
            zone.exchanges / usize::try_from(QUIET_MS / 1000).unwrap_or(1),
            resident_kib().saturating_sub(before)
        );
    }
}
