//! Simulation of entry instances that choose among the same minions, without network or clock.

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

const MINIONS: usize = 48;
/// Mean service time in milliseconds; times are distributed exponentially.
const SERVICE_MS: f64 = 40.0;
const DEADLINE_MS: u64 = 1_000;

/// Size of a simulation.
#[derive(Debug, Clone, Copy)]
pub struct ChoicePlan {
    /// How a minion is chosen.
    pub choice: Choice,
    /// Entry instances, each with a view of its own.
    pub entries: usize,
    /// Offered load in percent of the capacity.
    pub load: u32,
    /// Requests in total.
    pub requests: u64,
    /// Seed of arrivals, service times and choices.
    pub seed: u64,
}

/// Figures of a simulation.
#[derive(Debug, Clone, Copy, Default)]
pub struct ChoiceFigures {
    /// Requests that a minion refused because its slots were occupied, in tenths of a percent of
    /// all requests; one request can be refused several times.
    pub refused: u64,
    /// Requests without an answer, in tenths of a percent.
    pub failed: u64,
    /// Median time beyond the service time, in milliseconds.
    pub p50: u64,
    /// Time beyond the service time that 99 of 100 answered requests did not exceed.
    pub p99: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive {
        entry: usize,
        id: u64,
    },
    Again {
        entry: usize,
        id: u64,
    },
    Complete {
        entry: usize,
        id: u64,
        minion: usize,
    },
}

#[derive(Debug)]
struct Request {
    at: Time,
    service: u64,
    attempts: Attempts,
    ended: bool,
}

struct Simulation {
    routers: Vec<Router>,
    busy: [u32; MINIONS],
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Time, Event)>>,
    waits: Vec<u64>,
    refusals: u64,
}

/// Runs a simulation.
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
        let listed: Vec<_> = (0..MINIONS).map(listed).collect();
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
        simulation.fill(plan);
        simulation
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "drawn times are positive and far below the limits of the types"
    )]
    fn fill(&mut self, plan: ChoicePlan) {
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let slots = MINIONS as f64 * f64::from(SLOTS);
        let gap = SERVICE_MS / (slots * f64::from(plan.load) / 100.0);
        let mut draw = |mean: f64| -mean * (1.0 - rng.random::<f64>()).ln();
        let mut at = 0.0;
        for id in 0..plan.requests {
            at += draw(gap);
            self.requests.push(Request {
                at: Time(at as u64),
                service: draw(SERVICE_MS).ceil() as u64,
                attempts: Attempts::default(),
                ended: false,
            });
            let entry = id as usize % plan.entries;
            let event = Event::Arrive { entry, id };
            self.events.push(Reverse((Time(at as u64), event)));
        }
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrive { entry, id } => self.offer(entry, id, false, now),
            Event::Again { entry, id } => self.offer(entry, id, true, now),
            Event::Complete { entry, id, minion } => {
                self.busy[minion] -= 1;
                let request = &mut self.requests[index(id)];
                request.ended = true;
                let (service, wait) = (request.service, now.since(request.at) - request.service);
                self.waits.push(wait);
                let feedback = Feedback {
                    failed: Some(false),
                    busy: Some(self.busy[minion]),
                    ..Feedback::default()
                };
                self.finish(entry, minion, feedback, Some(service), now);
            }
        }
    }

    fn offer(&mut self, entry: usize, id: u64, again: bool, now: Time) {
        let request = SlotRequest {
            ticket: id,
            deadline: self.requests[index(id)].at + DEADLINE_MS,
            avoid: None,
        };
        let offer = AdmissionRequest {
            account: account(),
            request,
            retried: again,
        };
        if let Admission::Start(site) = self.routers[entry].admit(offer, now) {
            self.start(entry, id, &site, now);
        }
        // A queue is looked at even if none of the instance's own requests ends.
        self.pump(entry, now);
    }

    fn start(&mut self, entry: usize, id: u64, site: &Endpoint, now: Time) {
        let minion: usize = site.name.parse().expect("names are numbers");
        if self.busy[minion] < SLOTS {
            self.busy[minion] += 1;
            let end = now + self.requests[index(id)].service;
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
            deadline: request.at + DEADLINE_MS,
            replayable: true,
            attempts: request.attempts,
            failure: AttemptFailure::Refused,
        };
        if let Some(wait) = self.routers[entry].retry(&candidate, now) {
            let event = Event::Again { entry, id };
            self.events.push(Reverse((now + wait, event)));
        }
    }

    fn finish(
        &mut self,
        entry: usize,
        minion: usize,
        feedback: Feedback,
        took: Option<u64>,
        now: Time,
    ) {
        let name = minion_name(minion);
        self.routers[entry].finish(&account(), &name, feedback, took, now);
        self.pump(entry, now);
    }

    fn pump(&mut self, entry: usize, now: Time) {
        while let Some(next) = self.routers[entry].dequeue(now) {
            if let Ok(site) = next.result {
                self.start(entry, next.ticket, &site, now);
            }
        }
    }

    fn figures(mut self) -> ChoiceFigures {
        self.waits.sort_unstable();
        let total = self.requests.len().max(1) as u64;
        let left = self.requests.iter().filter(|r| !r.ended).count() as u64;
        let at = |percent: usize| {
            let i = self.waits.len() * percent / 100;
            self.waits.get(i).copied().unwrap_or(0)
        };
        ChoiceFigures {
            refused: self.refusals * 1_000 / total,
            failed: left * 1_000 / total,
            p50: at(50),
            p99: at(99),
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

fn listed(i: usize) -> Listed {
    Listed {
        endpoint: Endpoint {
            name: minion_name(i).into(),
            zone: "a".into(),
            address: "".into(),
        },
        leaving: false,
    }
}
