//! Simulation of entry instances that route requests to the same minions, with simulated time and
//! without a network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use primrosebay_coordination::routing::admission::SlotRequest;
use primrosebay_coordination::routing::minion::{Endpoint, Feedback, Listed, SLOTS};
use primrosebay_coordination::routing::retry::{AttemptFailure, Attempts, RetryCandidate};
use primrosebay_coordination::routing::router::{Admission, AdmissionRequest, Router, RouterRules};
use primrosebay_coordination::routing::table::{Choice, TableRules};
use primrosebay_state::Name;
use primrosebay_state::job::Repeat;
use primrosebay_state::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Number of minions, each with [`SLOTS`] slots.
const MINIONS: usize = 48;
/// Mean service time in milliseconds; service times are distributed exponentially.
const SERVICE_MS: f64 = 40.0;
/// Milliseconds from the arrival of a request to its deadline.
const DEADLINE_MS: u64 = 1_000;

/// Parameters of a simulation.
#[derive(Debug, Clone, Copy)]
pub struct ChoicePlan {
    /// Policy by which an entry instance chooses a minion.
    pub choice: Choice,
    /// Number of entry instances, each with its own view of the minions' load.
    pub entries: usize,
    /// Offered load in percent of the minions' capacity.
    pub load: u32,
    /// Total number of requests.
    pub requests: u64,
    /// Seed of arrivals, service times and random choices.
    pub seed: u64,
}

/// Results of a simulation.
#[derive(Debug, Clone, Copy, Default)]
pub struct ChoiceFigures {
    /// Number of refusals by minions whose slots were all occupied, in tenths of a percent of all
    /// requests. One request can be refused several times.
    pub refused: u64,
    /// Requests that were not completed, in tenths of a percent of all requests.
    pub failed: u64,
    /// Median over completed requests of the latency beyond the service time, in milliseconds.
    pub p50: u64,
    /// 99th percentile of the latency beyond the service time, in milliseconds.
    pub p99: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives at an entry instance.
    Arrive { entry: usize, id: u64 },
    /// An entry instance retries a request.
    Retry { entry: usize, id: u64 },
    /// A minion completes a request.
    Complete {
        entry: usize,
        id: u64,
        minion: usize,
    },
}

#[derive(Debug)]
struct Request {
    arrived: Time,
    /// Service time in milliseconds.
    service_ms: u64,
    attempts: Attempts,
    completed: bool,
}

struct Simulation {
    routers: Vec<Router>,
    /// Occupied slots of each minion.
    busy: [u32; MINIONS],
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Time, Event)>>,
    /// Latencies of completed requests beyond the service time, in milliseconds.
    waits: Vec<u64>,
    refusals: u64,
}

/// Runs a simulation until no event is left. Requests that are not completed then have failed.
#[must_use]
pub fn simulate(plan: ChoicePlan) -> ChoiceFigures {
    let mut simulation = Simulation::new(plan);
    while let Some(Reverse((now, event))) = simulation.events.pop() {
        simulation.handle(now, event);
    }
    simulation.figures()
}

impl Simulation {
    fn new(plan: ChoicePlan) -> Self {
        let rules = RouterRules {
            table: TableRules {
                choice: plan.choice,
                ..TableRules::default()
            },
            ..RouterRules::default()
        };
        let listed: Vec<_> = (0..MINIONS).map(list_entry).collect();
        let routers = (0..plan.entries as u64)
            .map(|i| {
                let mut router = Router::new("a".into(), rules, plan.seed ^ (i << 32), Time(0));
                router.update(&listed, Time(0));
                router
            })
            .collect();
        let mut simulation = Self {
            routers,
            busy: [0; MINIONS],
            requests: Vec::new(),
            events: BinaryHeap::new(),
            waits: Vec::new(),
            refusals: 0,
        };
        simulation.schedule_arrivals(plan);
        simulation
    }

    /// Draws the arrivals and service times of all requests, which go to the entry instances in
    /// turn.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "drawn times are positive and far below the limits of the types"
    )]
    fn schedule_arrivals(&mut self, plan: ChoicePlan) {
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let slots = MINIONS as f64 * f64::from(SLOTS);
        let mean_gap = SERVICE_MS / (slots * f64::from(plan.load) / 100.0);
        let mut draw = |mean: f64| -mean * (1.0 - rng.random::<f64>()).ln();
        let mut at = 0.0;
        for id in 0..plan.requests {
            at += draw(mean_gap);
            self.requests.push(Request {
                arrived: Time(at as u64),
                service_ms: draw(SERVICE_MS).ceil() as u64,
                attempts: Attempts::default(),
                completed: false,
            });
            let entry = id as usize % plan.entries;
            let event = Event::Arrive { entry, id };
            self.events.push(Reverse((Time(at as u64), event)));
        }
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrive { entry, id } => self.admit(entry, id, false, now),
            Event::Retry { entry, id } => self.admit(entry, id, true, now),
            Event::Complete { entry, id, minion } => {
                self.busy[minion] -= 1;
                let request = &mut self.requests[index(id)];
                request.completed = true;
                let (service_ms, wait) = (
                    request.service_ms,
                    now.since(request.arrived) - request.service_ms,
                );
                self.waits.push(wait);
                let feedback = Feedback {
                    failed: Some(false),
                    busy: Some(self.busy[minion]),
                    ..Feedback::default()
                };
                self.finish(entry, minion, feedback, Some(service_ms), now);
            }
        }
    }

    /// Submits a request to the admission of an entry instance.
    fn admit(&mut self, entry: usize, id: u64, retried: bool, now: Time) {
        let request = SlotRequest {
            ticket: id,
            deadline: self.requests[index(id)].arrived + DEADLINE_MS,
            avoid: None,
        };
        let admission = AdmissionRequest {
            account: account(),
            request,
            retried,
        };
        if let Admission::Start(endpoint) = self.routers[entry].admit(admission, now) {
            self.start(entry, id, &endpoint, now);
        }
        // Checks the queue on each admission too, so that queued requests start even if no request of
        // this entry instance ends.
        self.start_queued(entry, now);
    }

    /// Starts a request on a minion. If the minion has no free slot, it refuses the request, and
    /// the entry instance may schedule a retry.
    fn start(&mut self, entry: usize, id: u64, endpoint: &Endpoint, now: Time) {
        let minion: usize = endpoint
            .name
            .parse()
            .expect("the names of minions are numbers");
        if self.busy[minion] < SLOTS {
            self.busy[minion] += 1;
            let end = now + self.requests[index(id)].service_ms;
            let event = Event::Complete { entry, id, minion };
            self.events.push(Reverse((end, event)));
            return;
        }
        self.refusals += 1;
        let feedback = Feedback {
            refused: true,
            ..Feedback::default()
        };
        self.finish(entry, minion, feedback, None, now);
        let request = &mut self.requests[index(id)];
        request.attempts.record(AttemptFailure::Refused);
        let candidate = RetryCandidate {
            repeat: Repeat::Once,
            deadline: request.arrived + DEADLINE_MS,
            replayable: true,
            attempts: request.attempts,
            failure: AttemptFailure::Refused,
        };
        if let Some(delay) = self.routers[entry].retry(&candidate, now) {
            let event = Event::Retry { entry, id };
            self.events.push(Reverse((now + delay, event)));
        }
    }

    /// Reports the end of an attempt to the entry instance and starts queued requests.
    fn finish(
        &mut self,
        entry: usize,
        minion: usize,
        feedback: Feedback,
        took_ms: Option<u64>,
        now: Time,
    ) {
        let name = minion_name(minion);
        self.routers[entry].finish(&account(), &name, feedback, took_ms, now);
        self.start_queued(entry, now);
    }

    /// Starts the queued requests that the entry instance releases.
    fn start_queued(&mut self, entry: usize, now: Time) {
        while let Some(next) = self.routers[entry].dequeue(now) {
            if let Ok(endpoint) = next.result {
                self.start(entry, next.ticket, &endpoint, now);
            }
        }
    }

    fn figures(mut self) -> ChoiceFigures {
        self.waits.sort_unstable();
        let total = self.requests.len().max(1) as u64;
        let failed = self.requests.iter().filter(|r| !r.completed).count() as u64;
        let percentile = |percent: usize| {
            let i = self.waits.len() * percent / 100;
            self.waits.get(i).copied().unwrap_or(0)
        };
        ChoiceFigures {
            refused: self.refusals * 1_000 / total,
            failed: failed * 1_000 / total,
            p50: percentile(50),
            p99: percentile(99),
        }
    }
}

fn index(id: u64) -> usize {
    usize::try_from(id).unwrap_or(usize::MAX)
}

fn account() -> Name {
    "load".into()
}

fn minion_name(i: usize) -> String {
    format!("{i:02}")
}

fn list_entry(i: usize) -> Listed {
    Listed {
        endpoint: Endpoint {
            name: minion_name(i).into(),
            zone: "a".into(),
            address: "".into(),
        },
        leaving: false,
    }
}
