//! A cell in one thread: workers, the log, the network and candidates, with their faults.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use primrosebay_coordination::worker::WorkerTable;
use primrosebay_coordination::zone::{Command, Coordinator, Event, Phase, Settings};
use primrosebay_protocol::list::{Instance, Liveness, Role};
use primrosebay_protocol::worker::{AttemptState, Command as Order, Request};
use primrosebay_state::Name;
use primrosebay_state::config::ZoneState;
use primrosebay_state::id::{AttemptId, Incarnation, JobId, RecordId, TaskId};
use primrosebay_state::job::{JobSpec, Repeat};
use primrosebay_state::record::{Body, Outcome, Record};
use primrosebay_state::resources::Resources;
use primrosebay_state::time::{Time, WorkerTime};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time between two ticks of a candidate.
const TICK: u64 = 100;
/// After this time a request counts as unanswered.
const TIMEOUT: u64 = 1_000;
/// A zone out of service starts nothing after this time.
const OUT_BOUND: u64 = 5_000;

/// A clock with an offset and a rate that deviates by some millionths.
#[derive(Debug, Clone, Copy)]
struct Clock {
    offset: u64,
    ppm: i64,
}

impl Clock {
    /// Draws a clock; two of them differ by less than 1% in rate.
    fn draw(rng: &mut SmallRng) -> Self {
        Self {
            offset: rng.random_range(1_000..1_000_000),
            ppm: rng.random_range(-4_900..=4_900),
        }
    }

    fn read(&self, now: u64) -> u64 {
        let rate = u64::try_from(1_000_000 + self.ppm).expect("rates are positive");
        self.offset + now * rate / 1_000_000
    }
}

#[derive(Debug)]
enum Message {
    ToWorker(usize, u64, usize, Time, Request),
    ToNode(usize, u64, Box<Event>),
    Unanswered(usize, u64, usize, Time),
    Append(usize, u64, u64, Vec<Record>),
    Appended(usize, u64, u64, usize),
    Retry(usize, u64, u64),
    Read(usize, u64, usize),
    Page(usize, u64, Option<(usize, Vec<Record>)>),
    Tick(usize),
}

/// An entry instance that is a candidate for one zone.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "the flags are independent")]
pub struct Node {
    zone: Name,
    rank: u32,
    pub core: Option<Coordinator>,
    pub paused: bool,
    paused_at: u64,
    run: u64,
    clock: Clock,
    inbox: Vec<Message>,
    queue: VecDeque<(Record, Option<u64>, Option<u64>)>,
    publishing: bool,
    batch: u64,
    reading: bool,
    cursor: usize,
    log_up: bool,
    sequence: u64,
    seen: BTreeSet<RecordId>,
}

#[derive(Debug)]
pub struct Worker {
    pub name: Name,
    zone: Name,
    pub table: WorkerTable,
    clock: Clock,
    started: u64,
    pub up: bool,
    pub failing: bool,
    ends: BTreeMap<AttemptId, (u64, AttemptState)>,
}

impl Worker {
    fn now(&self, now: u64) -> WorkerTime {
        WorkerTime(self.clock.read(now - self.started))
    }
}

/// A job that was accepted.
#[derive(Debug)]
pub struct Submitted {
    pub id: JobId,
    pub spec: JobSpec,
    pub bad: bool,
    /// Instances that hold the record while it is not in the log.
    holders: Vec<(usize, u64)>,
}

/// Faults of the network and the log.
#[derive(Debug, Default)]
pub struct Faults {
    pub delay: u64,
    pub loss: u32,
    pub duplicates: u32,
    pub lost_acks: u32,
    pub log_down: bool,
    /// Candidates that cannot reach the log.
    pub log_cut: BTreeSet<usize>,
}

#[derive(Debug)]
pub struct World {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub workers: Vec<Worker>,
    pub jobs: Vec<Submitted>,
    pub faults: Faults,
    pub cut: BTreeSet<(usize, usize)>,
    /// What has gone wrong, in words.
    pub violations: Vec<String>,
    pub log: Vec<Record>,
    pub trace: bool,
    rng: SmallRng,
    queue: BTreeMap<(u64, u64), Message>,
    messages: u64,
    out: BTreeMap<Name, u64>,
    allowance: Resources,
    ran: BTreeMap<TaskId, u32>,
    running: BTreeSet<(usize, AttemptId)>,
    done: BTreeSet<TaskId>,
    places: BTreeMap<TaskId, usize>,
    /// Requests that wait in a buffer until their link is released.
    stalled: BTreeMap<(usize, usize), Vec<Message>>,
}

pub fn cores(count: u64) -> Resources {
    Resources {
        cores_milli: 1_000 * count,
        memory_mib: 1_024 * count,
        accelerators: 0,
    }
}

impl World {
    /// Creates a cell whose zones have so many candidates and workers of `size` cores each.
    pub fn new(seed: u64, zones: &[(&str, u32, u64)], size: u64, allowance: u64) -> Self {
        let mut world = Self {
            now: 0,
            nodes: Vec::new(),
            workers: Vec::new(),
            jobs: Vec::new(),
            faults: Faults {
                delay: 4,
                ..Faults::default()
            },
            cut: BTreeSet::new(),
            violations: Vec::new(),
            log: Vec::new(),
            trace: false,
            rng: SmallRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            messages: 0,
            out: BTreeMap::new(),
            allowance: cores(allowance),
            ran: BTreeMap::new(),
            running: BTreeSet::new(),
            done: BTreeSet::new(),
            places: BTreeMap::new(),
            stalled: BTreeMap::new(),
        };
        for (zone, candidates, workers) in zones {
            for i in 0..*workers {
                let table = WorkerTable::new(1, cores(size));
                world.workers.push(Worker {
                    name: format!("{zone}{}", i + 1).into(),
                    zone: Name::from(*zone),
                    table,
                    clock: Clock::draw(&mut world.rng),
                    started: 0,
                    up: true,
                    failing: false,
                    ends: BTreeMap::new(),
                });
            }
            for rank in 0..*candidates {
                world.nodes.push(Node {
                    zone: Name::from(*zone),
                    rank,
                    core: None,
                    paused: false,
                    paused_at: 0,
                    run: 0,
                    clock: Clock::draw(&mut world.rng),
                    inbox: Vec::new(),
                    queue: VecDeque::new(),
                    publishing: false,
                    batch: 0,
                    reading: false,
                    cursor: 0,
                    log_up: false,
                    sequence: 0,
                    seen: BTreeSet::new(),
                });
            }
        }
        for node in 0..world.nodes.len() {
            world.start_node(node);
            world.post(node as u64, Message::Tick(node));
        }
        world
    }

    fn post(&mut self, delay: u64, message: Message) {
        self.messages += 1;
        self.queue
            .insert((self.now + delay, self.messages), message);
    }

    /// Sends over the network: with a delay, perhaps twice, perhaps not at all.
    fn transmit(&mut self, make: impl Fn() -> Message) {
        if self.rng.random_range(0..100) < self.faults.loss {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..100) < self.faults.duplicates);
        for _ in 0..copies {
            let delay = self.rng.random_range(1..=self.faults.delay);
            self.post(delay, make());
        }
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), message) = entry.remove_entry();
            self.now = at;
            self.turn_workers();
            self.deliver(message);
            self.check();
            if !self.violations.is_empty() {
                return;
            }
        }
        self.now = end;
    }

    fn turn_workers(&mut self) {
        let now = self.now;
        for worker in self.workers.iter_mut().filter(|worker| worker.up) {
            let clock = worker.now(now);
            worker.table.tick(clock);
            while let Some((attempt, (_, state))) = worker
                .ends
                .iter()
                .find(|(_, (at, _))| *at <= clock.0)
                .map(|(attempt, end)| (*attempt, *end))
            {
                worker.ends.remove(&attempt);
                if worker.table.finish(clock, attempt, state) && state == AttemptState::Done {
                    self.done.insert(attempt.task);
                }
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::ToWorker(node, _, worker, ..)
                if self.stalled.contains_key(&(node, worker)) =>
            {
                let link = self.stalled.entry((node, worker)).or_default();
                link.push(message);
            }
            Message::ToWorker(node, run, worker, sent, request) => {
                self.at_worker(node, run, worker, sent, &request);
            }
            Message::Append(node, run, batch, records) => {
                if self.log_is_down(node) {
                    return;
                }
                let count = records.len();
                self.log.extend(records);
                if self.rng.random_range(0..100) >= self.faults.lost_acks {
                    self.transmit(|| Message::Appended(node, run, batch, count));
                }
            }
            Message::Read(node, run, cursor) => {
                let page = (!self.log_is_down(node))
                    .then(|| (cursor, self.log[cursor.min(self.log.len())..].to_vec()));
                let delay = self.rng.random_range(1..=self.faults.delay);
                self.post(delay, Message::Page(node, run, page));
            }
            Message::Tick(node) => {
                self.post(TICK, Message::Tick(node));
                if !self.nodes[node].paused {
                    self.tick(node);
                }
            }
            Message::ToNode(node, ..)
            | Message::Unanswered(node, ..)
            | Message::Appended(node, ..)
            | Message::Retry(node, ..)
            | Message::Page(node, ..) => {
                if self.nodes[node].paused {
                    self.nodes[node].inbox.push(message);
                } else {
                    self.at_node(message);
                }
            }
        }
    }

    fn at_node(&mut self, message: Message) {
        match message {
            Message::ToNode(node, run, event) if self.nodes[node].run == run => {
                let event = match *event {
                    // Configuration is applied in log order, so an older state never comes last.
                    Event::ZoneState(_) => Event::ZoneState(self.zone_state(node)),
                    event => event,
                };
                self.handle(node, event);
            }
            Message::Unanswered(node, run, worker, sent) if self.nodes[node].run == run => {
                let worker = self.workers[worker].name.clone();
                self.handle(node, Event::Unreachable { worker, sent });
            }
            Message::Appended(node, run, batch, count) if self.nodes[node].run == run => {
                self.appended(node, batch, count);
            }
            Message::Retry(node, run, batch)
                if self.nodes[node].run == run && self.nodes[node].batch == batch =>
            {
                self.nodes[node].publishing = false;
                self.publish(node);
            }
            Message::Page(node, run, page) if self.nodes[node].run == run => {
                self.nodes[node].reading = false;
                self.read_page(node, page);
            }
            _ => {}
        }
    }

    fn read_page(&mut self, node: usize, page: Option<(usize, Vec<Record>)>) {
        let Some((first, records)) = page else {
            self.nodes[node].log_up = false;
            self.handle(node, Event::LogDown);
            return;
        };
        self.nodes[node].log_up = true;
        for (i, record) in records.into_iter().enumerate() {
            let offset = first + i;
            self.nodes[node].cursor = offset + 1;
            if self.nodes[node].seen.insert(record.id) {
                let offset = offset as u64;
                self.handle(node, Event::Record { offset, record });
            }
        }
        let offset = self.nodes[node].cursor as u64;
        self.handle(node, Event::LogEnd { offset });
    }

    fn tick(&mut self, node: usize) {
        self.handle(node, Event::Tick);
        self.publish(node);
        let state = &mut self.nodes[node];
        if !state.reading && state.core.is_some() {
            state.reading = true;
            let (run, cursor) = (state.run, state.cursor);
            let delay = self.rng.random_range(1..=self.faults.delay);
            self.post(delay, Message::Read(node, run, cursor));
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        let now = self.local(node);
        let Some(core) = &mut self.nodes[node].core else {
            return;
        };
        for command in core.handle(now, event) {
            if self.trace {
                eprintln!("{} n{} {command:?}", self.now, node + 1);
            }
            match command {
                Command::Send { worker, request } => self.send(node, now, &worker, &request),
                Command::Append { token, body } => self.enqueue(node, body, Some(token)),
                Command::Stopped => self.nodes[node].core = None,
            }
        }
    }

    pub fn local(&self, node: usize) -> Time {
        Time(self.nodes[node].clock.read(self.now))
    }

    fn send(&mut self, node: usize, sent: Time, worker: &Name, request: &Request) {
        let Some(to) = self.workers.iter().position(|w| w.name == *worker) else {
            return;
        };
        let run = self.nodes[node].run;
        self.transmit(|| Message::ToWorker(node, run, to, sent, request.clone()));
        self.post(TIMEOUT, Message::Unanswered(node, run, to, sent));
    }

    fn at_worker(&mut self, node: usize, run: u64, to: usize, sent: Time, request: &Request) {
        let now = self.now;
        let worker = &mut self.workers[to];
        if !worker.up || self.cut.contains(&(node, to)) {
            return;
        }
        let clock = worker.now(now);
        let reply = worker.table.exchange(clock, request);
        for order in &request.commands {
            let Order::Start(start) = order else { continue };
            let bad = self
                .jobs
                .iter()
                .any(|j| j.bad && j.id == start.attempt.task.job);
            let failed = worker.failing || bad;
            let end = match (failed, start.run_ms) {
                (true, _) => (clock.0 + 50, AttemptState::Failed),
                (false, ms) => (clock.0 + ms, AttemptState::Done),
            };
            worker.ends.entry(start.attempt).or_insert(end);
        }
        let worker = worker.name.clone();
        let event = Event::Reply {
            worker,
            sent,
            reply,
        };
        self.transmit(|| Message::ToNode(node, run, Box::new(event.clone())));
    }

    fn enqueue(&mut self, node: usize, body: Body, token: Option<u64>) {
        let state = &mut self.nodes[node];
        state.sequence += 1;
        let id = RecordId {
            incarnation: Incarnation(state.run),
            sequence: state.sequence,
        };
        state.queue.push_back((Record { id, body }, token, None));
    }

    fn publish(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        if state.publishing || state.queue.is_empty() || state.core.is_none() {
            return;
        }
        state.publishing = true;
        state.batch += 1;
        let (run, batch) = (state.run, state.batch);
        let records: Vec<_> = state.queue.iter().map(|entry| entry.0.clone()).collect();
        self.transmit(|| Message::Append(node, run, batch, records.clone()));
        self.post(TIMEOUT, Message::Retry(node, run, batch));
    }

    fn appended(&mut self, node: usize, batch: u64, count: usize) {
        let current = self.nodes[node].batch == batch;
        if !current || !std::mem::take(&mut self.nodes[node].publishing) {
            return;
        }
        for _ in 0..count {
            let Some((record, token, tenure)) = self.nodes[node].queue.pop_front() else {
                return;
            };
            if let Some(token) = token {
                self.handle(node, Event::Appended { token });
            }
            if let (Some(tenure), Body::Accepted { job, spec, .. }) = (tenure, record.body) {
                self.note_accepted(job, &spec, Vec::new());
                let exclusive = self.tenure(node) == Some(tenure);
                let durable = true;
                self.handle(
                    node,
                    Event::Accepted {
                        job,
                        spec,
                        durable,
                        exclusive,
                    },
                );
            }
        }
    }

    fn tenure(&self, node: usize) -> Option<u64> {
        let authority = self.nodes[node].core.as_ref()?.authority(self.local(node));
        authority.held.then_some(authority.tenure)
    }

    fn note_accepted(&mut self, id: JobId, spec: &JobSpec, holders: Vec<(usize, u64)>) {
        if self.jobs.iter().all(|job| job.id != id) {
            self.jobs.push(Submitted {
                id,
                spec: spec.clone(),
                bad: spec.name.starts_with("bad"),
                holders,
            });
        }
    }

    /// Submits a job to the candidate that has authority, if one has.
    pub fn submit(&mut self, zone: &str, mut spec: JobSpec) -> Option<JobId> {
        spec.team = if spec.team.is_empty() {
            "t".into()
        } else {
            spec.team
        };
        let node = (0..self.nodes.len()).find(|&n| {
            &*self.nodes[n].zone == zone && !self.nodes[n].paused && self.tenure(n).is_some()
        })?;
        let tenure = self.tenure(node);
        self.nodes[node].sequence += 1;
        let state = &self.nodes[node];
        let id = RecordId {
            incarnation: Incarnation(state.run),
            sequence: state.sequence,
        };
        let job = JobId {
            incarnation: id.incarnation,
            sequence: id.sequence,
        };
        let zone = state.zone.clone();
        let body = Body::Accepted {
            job,
            zone,
            spec: spec.clone(),
        };
        let record = Record { id, body };
        if self.nodes[node].log_up {
            self.nodes[node].queue.push_back((record, None, tenure));
            return Some(job);
        }
        // The log is down, so two other instances hold the record.
        // An instance that is about to stop takes no copies.
        let free = |n: &usize| {
            let state = &self.nodes[*n];
            let core = state.core.as_ref().filter(|_| *n != node && !state.paused);
            let phase = core.map(|core| core.authority(self.local(*n)).phase);
            matches!(phase, Some(Phase::Watching | Phase::Claiming))
        };
        let peers: Vec<_> = (0..self.nodes.len()).filter(free).take(2).collect();
        if peers.is_empty() {
            return None;
        }
        let mut holders = vec![(node, self.nodes[node].run)];
        self.nodes[node]
            .queue
            .push_back((record.clone(), None, tenure));
        for peer in peers {
            holders.push((peer, self.nodes[peer].run));
            self.nodes[peer]
                .queue
                .push_back((record.clone(), None, None));
        }
        self.note_accepted(job, &spec, holders);
        let (durable, exclusive) = (false, true);
        self.handle(
            node,
            Event::Accepted {
                job,
                spec,
                durable,
                exclusive,
            },
        );
        Some(job)
    }

    /// Passes an event to every candidate of a zone that runs.
    pub fn tell(&mut self, zone: &str, event: &Event) {
        for node in 0..self.nodes.len() {
            if &*self.nodes[node].zone == zone {
                let run = self.nodes[node].run;
                let delay = self.rng.random_range(1..=2_000);
                self.post(delay, Message::ToNode(node, run, Box::new(event.clone())));
            }
        }
    }

    pub fn start_node(&mut self, node: usize) {
        if self.nodes[node].core.is_some() {
            return;
        }
        let seed = self.rng.random();
        let state = &mut self.nodes[node];
        state.run = 1_000 * (state.run / 1_000 + 1) + node as u64;
        let holder = Incarnation(state.run);
        let zone = state.zone.clone();
        let core = Coordinator::new(Settings::default(), holder, zone.clone(), seed);
        state.core = Some(core);
        (state.paused, state.publishing, state.reading) = (false, false, false);
        (state.cursor, state.sequence, state.log_up) = (0, 0, false);
        state.inbox.clear();
        state.queue.clear();
        state.seen.clear();
        let rank = Some(state.rank);
        let list: Vec<_> = self.workers.iter().map(instance).collect();
        self.handle(node, Event::Workers(list));
        for team in ["t", "u"] {
            let (team, share, allowance) = (Name::from(team), 1, self.allowance);
            self.handle(
                node,
                Event::Team {
                    team,
                    share,
                    allowance,
                },
            );
        }
        self.handle(node, Event::ZoneState(self.zone_state(node)));
        self.handle(node, Event::MayStart(true));
        self.handle(node, Event::Rank(rank));
    }

    fn log_is_down(&self, node: usize) -> bool {
        self.faults.log_down || self.faults.log_cut.contains(&node)
    }

    fn zone_state(&self, node: usize) -> ZoneState {
        if self.out.contains_key(&self.nodes[node].zone) {
            ZoneState::Out
        } else {
            ZoneState::In
        }
    }

    /// Kills a candidate, with the records that only it holds.
    pub fn kill_node(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        state.core = None;
        state.run += 500_000;
        state.queue.clear();
        let nodes = &self.nodes;
        let log = &self.log;
        let lost = |job: &Submitted| {
            let logged = log.iter().any(
                |record| matches!(&record.body, Body::Accepted { job: id, .. } if *id == job.id),
            );
            let alive = |(node, run): &(usize, u64)| nodes[*node].run == *run;
            !logged && !job.holders.is_empty() && !job.holders.iter().any(alive)
        };
        self.jobs.retain(|job| !lost(job));
    }

    pub fn pause(&mut self, node: usize) {
        if !self.nodes[node].paused {
            self.nodes[node].paused = true;
            self.nodes[node].paused_at = self.now;
        }
    }

    /// Wakes a candidate, which finds its messages waiting.
    pub fn wake(&mut self, node: usize) {
        if !std::mem::take(&mut self.nodes[node].paused) {
            return;
        }
        let stale = self.now - self.nodes[node].paused_at > 4_000;
        if stale {
            self.handle(node, Event::MayStart(false));
        }
        for message in std::mem::take(&mut self.nodes[node].inbox) {
            self.at_node(message);
            self.check();
        }
        if stale {
            let run = self.nodes[node].run;
            let fresh = Box::new(Event::MayStart(true));
            self.post(2_000, Message::ToNode(node, run, fresh));
        }
    }

    pub fn stop_node(&mut self, node: usize) {
        if !self.nodes[node].paused && self.nodes[node].queue.is_empty() {
            self.handle(node, Event::Stop);
        }
    }

    pub fn kill_worker(&mut self, worker: usize) {
        self.workers[worker].up = false;
        self.running.retain(|entry| entry.0 != worker);
    }

    pub fn start_worker(&mut self, worker: usize) {
        let (now, run) = (self.now, self.messages + 2);
        let state = &mut self.workers[worker];
        if !state.up {
            state.table = WorkerTable::new(run, state.table.total());
            (state.up, state.started) = (true, now);
            state.ends.clear();
        }
    }

    /// Holds requests of a candidate to a worker back.
    pub fn stall(&mut self, node: usize, worker: usize) {
        self.stalled.entry((node, worker)).or_default();
    }

    /// Delivers all requests that were held back.
    pub fn release(&mut self) {
        for message in std::mem::take(&mut self.stalled).into_values().flatten() {
            self.post(1, message);
        }
    }

    pub fn set_zone(&mut self, zone: &str, state: ZoneState) {
        let since = match state {
            ZoneState::Out => self.out.insert(zone.into(), self.now),
            ZoneState::In => self.out.remove(zone),
        };
        // A zone that was out before stays under the earlier bound.
        if let (ZoneState::Out, Some(since)) = (state, since) {
            self.out.insert(zone.into(), since);
        }
        self.tell(zone, &Event::ZoneState(state));
    }

    /// Ends every fault and lets the cell settle.
    pub fn heal(&mut self) {
        self.faults = Faults {
            delay: 4,
            ..Faults::default()
        };
        self.cut.clear();
        self.release();
        for worker in 0..self.workers.len() {
            self.workers[worker].failing = false;
            self.start_worker(worker);
        }
        for node in 0..self.nodes.len() {
            self.wake(node);
            self.start_node(node);
        }
        for zone in self.out.clone().into_keys() {
            self.set_zone(&zone, ZoneState::In);
        }
    }

    fn check(&mut self) {
        let mut places: BTreeMap<TaskId, usize> = BTreeMap::new();
        let mut teams: BTreeMap<(Name, Name), Resources> = BTreeMap::new();
        let mut running = BTreeSet::new();
        for (i, worker) in self.workers.iter().enumerate().filter(|(_, w)| w.up) {
            if !worker.table.used().fits(&worker.table.total()) {
                self.violations
                    .push(format!("{} is over its capacity", worker.name));
            }
            for report in worker.table.running() {
                let task = report.attempt.task;
                if let Some(other) = places.insert(task, i) {
                    let other = &self.workers[other].name;
                    let line = format!("{task} runs on {other} and {}", worker.name);
                    self.violations.push(line);
                }
                let sum = teams.entry((worker.zone.clone(), report.team.clone()));
                let sum = sum.or_insert(Resources::ZERO);
                *sum = sum.plus(&report.resources);
                running.insert((i, report.attempt));
            }
        }
        for ((zone, team), sum) in &teams {
            if !sum.fits(&self.allowance) {
                self.violations
                    .push(format!("team {team} is over its allowance in zone {zone}"));
            }
        }
        let new: Vec<_> = running.difference(&self.running).copied().collect();
        for (worker, attempt) in new {
            self.check_start(worker, attempt);
        }
        self.running = running;
    }

    fn check_start(&mut self, worker: usize, attempt: AttemptId) {
        self.places.insert(attempt.task, worker);
        let zone = &self.workers[worker].zone;
        if let Some(since) = self.out.get(zone)
            && self.now > since + OUT_BOUND
        {
            let line = format!("{} starts in zone {zone}, which is out", attempt.task);
            self.violations.push(line);
        }
        let runs = self.ran.entry(attempt.task).or_default();
        *runs += 1;
        let job = self.jobs.iter().find(|job| job.id == attempt.task.job);
        if *runs > 1 && job.is_some_and(|job| job.spec.repeat == Repeat::Once) {
            let line = format!("{} runs again although it may run once", attempt.task);
            self.violations.push(line);
        }
    }

    /// Returns a worker by its name, or the one that was given a task last, as in `job/0`.
    pub fn worker(&self, name: &str) -> Option<usize> {
        if let Some((job, index)) = name.split_once('/') {
            let job = self.jobs.iter().find(|other| &*other.spec.name == job)?.id;
            let index = index.parse().ok()?;
            return self.places.get(&TaskId { job, index }).copied();
        }
        self.workers.iter().position(|worker| &*worker.name == name)
    }

    /// Returns the home zone of a job, as the log has it at the end.
    pub fn home(&self, id: JobId) -> Name {
        let mut views = self
            .nodes
            .iter()
            .filter_map(|node| node.core.as_ref()?.job(id));
        views.next_back().map_or(Name::from("a"), |view| view.zone)
    }

    /// Returns how a job ended, as the home zone's candidates know it.
    pub fn outcome(&self, id: JobId) -> Option<Outcome> {
        self.nodes
            .iter()
            .filter_map(|node| Some((node, node.core.as_ref()?.job(id)?)))
            .filter(|(node, view)| node.zone == view.zone)
            .find_map(|(_, view)| view.outcome)
    }

    /// Checks that every accepted job has ended, and that done tasks were run.
    pub fn check_end(&mut self) {
        for job in &self.jobs {
            let line = match self.outcome(job.id) {
                None => format!("job {} has not ended", job.id),
                Some(Outcome::Done) => {
                    let tasks = (0..job.spec.tasks).map(|index| TaskId { job: job.id, index });
                    match tasks.into_iter().find(|task| !self.done.contains(task)) {
                        Some(task) => format!("{task} counts as done and was not run"),
                        None => continue,
                    }
                }
                Some(_) => continue,
            };
            self.violations.push(line);
        }
    }

    /// Returns the coordinators and the tasks that run, one line each.
    pub fn show(&self) -> String {
        let mut lines = Vec::new();
        for (n, node) in self.nodes.iter().enumerate() {
            let Some(core) = &node.core else { continue };
            let now = self.local(n);
            if core.authority(now).held {
                let stage = core.readiness(now).stage;
                lines.push(format!("n{} coordinates {}: {stage:?}", n + 1, node.zone));
            }
        }
        for job in &self.jobs {
            let name = &job.spec.name;
            let running = self.running.iter().filter(|(_, a)| a.task.job == job.id);
            let tries: Vec<_> = running.map(|(_, a)| a.attempt.to_string()).collect();
            match self.outcome(job.id) {
                Some(outcome) => lines.push(format!("{name} ended: {outcome:?}")),
                None if tries.is_empty() => lines.push(format!("{name} waits")),
                None => lines.push(format!("{name} runs, tries {}", tries.join(", "))),
            }
        }
        lines.extend(
            self.violations
                .iter()
                .map(|line| format!("violation: {line}")),
        );
        lines.join("\n") + "\n"
    }
}

fn instance(worker: &Worker) -> Instance {
    Instance {
        name: worker.name.clone(),
        role: Role::Worker,
        zone: worker.zone.clone(),
        rack: Arc::from("r1"),
        service: Arc::from(""),
        address: Arc::from(""),
        state: Liveness::Live,
        resources: worker.table.total(),
    }
}
