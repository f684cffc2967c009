//! A single-threaded simulation of a cell: candidates, workers, the log and the network, with
//! injected faults.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use primrosebay_coordination::worker::WorkerState;
use primrosebay_coordination::zone::{Command, Coordinator, Event, Phase, Settings};
use primrosebay_protocol::list::{Instance, Liveness, Role};
use primrosebay_protocol::worker::{AttemptState, Command as WorkerCommand, Request};
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
const TICK_MS: u64 = 100;
/// Time after which a request or an append counts as unanswered.
const TIMEOUT_MS: u64 = 1_000;
/// Time after which a zone that was taken out of service must not start any task.
const OUT_OF_SERVICE_BOUND_MS: u64 = 5_000;

/// A clock with an offset in milliseconds and a rate that deviates by `ppm` parts per million.
#[derive(Debug, Clone, Copy)]
struct Clock {
    offset: u64,
    ppm: i64,
}

impl Clock {
    /// Returns a random clock. The rates of two such clocks differ by less than 1%.
    fn random(rng: &mut SmallRng) -> Self {
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

/// A message or timer. Its first fields are the index of the candidate, its run except for a tick,
/// and the index of the worker if there is one.
#[derive(Debug)]
enum Message {
    /// A request reaches a worker, with its send time.
    ToWorker(usize, u64, usize, Time, Request),
    /// An event reaches a candidate.
    ToCandidate(usize, u64, Box<Event>),
    /// A request that was sent at the given time has timed out.
    RequestTimeout(usize, u64, usize, Time),
    /// A batch of records reaches the log, with the number of the batch.
    Append(usize, u64, u64, Vec<Record>),
    /// The acknowledgement of a batch reaches the candidate, with the number of the batch and its
    /// record count.
    Appended(usize, u64, u64, usize),
    /// The append of a batch has timed out and is retried.
    AppendTimeout(usize, u64, u64),
    /// A read from the given offset reaches the log.
    ReadLog(usize, u64, usize),
    /// The reply to a read reaches the candidate, with the first offset; `None` if the log is down.
    LogPage(usize, u64, Option<(usize, Vec<Record>)>),
    /// A candidate's timer ticks.
    Tick(usize),
}

/// An entry instance that is a candidate for one zone.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "the flags are independent")]
pub struct Node {
    zone: Name,
    rank: u32,
    /// The state machine under test; `None` while the instance is down.
    pub coordinator: Option<Coordinator>,
    pub paused: bool,
    paused_at: u64,
    /// The current incarnation, which changes whenever the instance is killed or started.
    run: u64,
    clock: Clock,
    /// Messages that arrived during a pause.
    inbox: Vec<Message>,
    /// Records to append, with the token of the command, or the tenure in which a job was
    /// submitted.
    append_queue: VecDeque<(Record, Option<u64>, Option<u64>)>,
    append_in_flight: bool,
    /// The number of the latest batch of records.
    batch: u64,
    read_in_flight: bool,
    /// The log offset of the next read.
    log_position: usize,
    log_up: bool,
    sequence: u64,
    /// Records that were read, to skip duplicates of retried appends.
    read_records: BTreeSet<RecordId>,
}

/// A worker with its attempts and its clock.
#[derive(Debug)]
pub struct Worker {
    pub name: Name,
    zone: Name,
    pub state: WorkerState,
    clock: Clock,
    started_at: u64,
    pub up: bool,
    /// Whether every attempt on the worker fails.
    pub failing: bool,
    /// Time on the worker's clock and state with which each attempt will end by itself.
    scheduled_ends: BTreeMap<AttemptId, (u64, AttemptState)>,
}

impl Worker {
    fn now(&self, now: u64) -> WorkerTime {
        WorkerTime(self.clock.read(now - self.started_at))
    }
}

/// An accepted job, which must end unless its record is lost with all its holders.
#[derive(Debug)]
pub struct AcceptedJob {
    pub id: JobId,
    pub spec: JobSpec,
    /// Whether every attempt of the job fails: its name starts with `bad`.
    pub always_fails: bool,
    /// Index and run of the instances that hold the record while it is not in the log.
    record_holders: Vec<(usize, u64)>,
}

/// Faults of the network and the log.
#[derive(Debug, Default)]
pub struct Faults {
    /// Maximum delay of a message; at least 1.
    pub max_delay_ms: u64,
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    /// Share of the log's acknowledgements that are lost.
    pub reply_loss_percent: u32,
    pub log_down: bool,
    /// Candidates that cannot reach the log.
    pub log_unreachable: BTreeSet<usize>,
}

/// A simulated cell. Times are in milliseconds.
#[derive(Debug)]
pub struct Simulation {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub workers: Vec<Worker>,
    pub jobs: Vec<AcceptedJob>,
    pub faults: Faults,
    /// Pairs of candidate and worker that cannot communicate.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Descriptions of violated invariants.
    pub violations: Vec<String>,
    pub log: Vec<Record>,
    /// Whether commands are printed to stderr.
    pub trace: bool,
    rng: SmallRng,
    /// Pending messages, by time and order of scheduling.
    events: BTreeMap<(u64, u64), Message>,
    event_count: u64,
    /// The zones that are out of service, with the time since when they are.
    out_since: BTreeMap<Name, u64>,
    allowance: Resources,
    /// Number of starts of each task.
    run_counts: BTreeMap<TaskId, u32>,
    running: BTreeSet<(usize, AttemptId)>,
    /// Tasks of which an attempt succeeded.
    done: BTreeSet<TaskId>,
    /// The worker on which each task was started last.
    last_workers: BTreeMap<TaskId, usize>,
    /// Requests held back on each stalled link, a pair of candidate and worker.
    stalled_requests: BTreeMap<(usize, usize), Vec<Message>>,
}

pub fn cores(count: u64) -> Resources {
    Resources {
        cores_milli: 1_000 * count,
        memory_mib: 1_024 * count,
        accelerators: 0,
    }
}

impl Simulation {
    /// Creates a cell. Each zone is given as its name, its number of candidates and its number of
    /// workers. Workers have `size` cores, and each team may use `allowance` cores per zone.
    pub fn new(seed: u64, zones: &[(&str, u32, u64)], size: u64, allowance: u64) -> Self {
        let mut sim = Self {
            now: 0,
            nodes: Vec::new(),
            workers: Vec::new(),
            jobs: Vec::new(),
            faults: Faults {
                max_delay_ms: 4,
                ..Faults::default()
            },
            cut_links: BTreeSet::new(),
            violations: Vec::new(),
            log: Vec::new(),
            trace: false,
            rng: SmallRng::seed_from_u64(seed),
            events: BTreeMap::new(),
            event_count: 0,
            out_since: BTreeMap::new(),
            allowance: cores(allowance),
            run_counts: BTreeMap::new(),
            running: BTreeSet::new(),
            done: BTreeSet::new(),
            last_workers: BTreeMap::new(),
            stalled_requests: BTreeMap::new(),
        };
        for (zone, candidates, workers) in zones {
            for i in 0..*workers {
                let state = WorkerState::new(1, cores(size));
                sim.workers.push(Worker {
                    name: format!("{zone}{}", i + 1).into(),
                    zone: Name::from(*zone),
                    state,
                    clock: Clock::random(&mut sim.rng),
                    started_at: 0,
                    up: true,
                    failing: false,
                    scheduled_ends: BTreeMap::new(),
                });
            }
            for rank in 0..*candidates {
                sim.nodes.push(Node {
                    zone: Name::from(*zone),
                    rank,
                    coordinator: None,
                    paused: false,
                    paused_at: 0,
                    run: 0,
                    clock: Clock::random(&mut sim.rng),
                    inbox: Vec::new(),
                    append_queue: VecDeque::new(),
                    append_in_flight: false,
                    batch: 0,
                    read_in_flight: false,
                    log_position: 0,
                    log_up: false,
                    sequence: 0,
                    read_records: BTreeSet::new(),
                });
            }
        }
        for node in 0..sim.nodes.len() {
            sim.start_node(node);
            sim.schedule(node as u64, Message::Tick(node));
        }
        sim
    }

    fn schedule(&mut self, delay: u64, message: Message) {
        self.event_count += 1;
        self.events
            .insert((self.now + delay, self.event_count), message);
    }

    /// Sends a message over the network, which delays it and may drop or duplicate it.
    fn send_message(&mut self, make: impl Fn() -> Message) {
        if self.rng.random_range(0..100) < self.faults.loss_percent {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..100) < self.faults.duplicate_percent);
        for _ in 0..copies {
            let delay = self.rng.random_range(1..=self.faults.max_delay_ms);
            self.schedule(delay, make());
        }
    }

    /// Runs the simulation for `ms` milliseconds, or until an invariant is violated.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), message) = entry.remove_entry();
            self.now = at;
            self.advance_workers();
            self.deliver(message);
            self.check_invariants();
            if !self.violations.is_empty() {
                return;
            }
        }
        self.now = end;
    }

    /// Expires tasks and ends attempts on all workers up to the current time.
    fn advance_workers(&mut self) {
        let now = self.now;
        for worker in self.workers.iter_mut().filter(|worker| worker.up) {
            let clock = worker.now(now);
            worker.state.tick(clock);
            while let Some((attempt, (_, state))) = worker
                .scheduled_ends
                .iter()
                .find(|(_, (at, _))| *at <= clock.0)
                .map(|(attempt, end)| (*attempt, *end))
            {
                worker.scheduled_ends.remove(&attempt);
                if worker.state.finish(clock, attempt, state) && state == AttemptState::Done {
                    self.done.insert(attempt.task);
                }
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::ToWorker(node, _, worker, ..)
                if self.stalled_requests.contains_key(&(node, worker)) =>
            {
                let link = self.stalled_requests.entry((node, worker)).or_default();
                link.push(message);
            }
            Message::ToWorker(node, run, worker, sent, request) => {
                self.deliver_to_worker(node, run, worker, sent, &request);
            }
            Message::Append(node, run, batch, records) => {
                if self.log_is_down(node) {
                    return;
                }
                let count = records.len();
                self.log.extend(records);
                if self.rng.random_range(0..100) >= self.faults.reply_loss_percent {
                    self.send_message(|| Message::Appended(node, run, batch, count));
                }
            }
            Message::ReadLog(node, run, log_position) => {
                let page = (!self.log_is_down(node)).then(|| {
                    (
                        log_position,
                        self.log[log_position.min(self.log.len())..].to_vec(),
                    )
                });
                let delay = self.rng.random_range(1..=self.faults.max_delay_ms);
                self.schedule(delay, Message::LogPage(node, run, page));
            }
            Message::Tick(node) => {
                self.schedule(TICK_MS, Message::Tick(node));
                if !self.nodes[node].paused {
                    self.tick(node);
                }
            }
            Message::ToCandidate(node, ..)
            | Message::RequestTimeout(node, ..)
            | Message::Appended(node, ..)
            | Message::AppendTimeout(node, ..)
            | Message::LogPage(node, ..) => {
                if self.nodes[node].paused {
                    self.nodes[node].inbox.push(message);
                } else {
                    self.deliver_to_candidate(message);
                }
            }
        }
    }

    fn deliver_to_candidate(&mut self, message: Message) {
        match message {
            Message::ToCandidate(node, run, event) if self.nodes[node].run == run => {
                let event = match *event {
                    // Configuration is applied in log order, so a delayed event never sets an older
                    // state.
                    Event::ZoneState(_) => Event::ZoneState(self.zone_state(node)),
                    event => event,
                };
                self.handle(node, event);
            }
            Message::RequestTimeout(node, run, worker, sent) if self.nodes[node].run == run => {
                let worker = self.workers[worker].name.clone();
                self.handle(node, Event::Unreachable { worker, sent });
            }
            Message::Appended(node, run, batch, count) if self.nodes[node].run == run => {
                self.on_appended(node, batch, count);
            }
            Message::AppendTimeout(node, run, batch)
                if self.nodes[node].run == run && self.nodes[node].batch == batch =>
            {
                self.nodes[node].append_in_flight = false;
                self.send_append(node);
            }
            Message::LogPage(node, run, page) if self.nodes[node].run == run => {
                self.nodes[node].read_in_flight = false;
                self.on_log_page(node, page);
            }
            _ => {}
        }
    }

    fn on_log_page(&mut self, node: usize, page: Option<(usize, Vec<Record>)>) {
        let Some((first, records)) = page else {
            self.nodes[node].log_up = false;
            self.handle(node, Event::LogDown);
            return;
        };
        self.nodes[node].log_up = true;
        for (i, record) in records.into_iter().enumerate() {
            let offset = first + i;
            self.nodes[node].log_position = offset + 1;
            if self.nodes[node].read_records.insert(record.id) {
                let offset = offset as u64;
                self.handle(node, Event::Record { offset, record });
            }
        }
        let offset = self.nodes[node].log_position as u64;
        self.handle(node, Event::LogEnd { offset });
    }

    fn tick(&mut self, node: usize) {
        self.handle(node, Event::Tick);
        self.send_append(node);
        let state = &mut self.nodes[node];
        if !state.read_in_flight && state.coordinator.is_some() {
            state.read_in_flight = true;
            let (run, log_position) = (state.run, state.log_position);
            let delay = self.rng.random_range(1..=self.faults.max_delay_ms);
            self.schedule(delay, Message::ReadLog(node, run, log_position));
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        let now = self.local_time(node);
        let Some(coordinator) = &mut self.nodes[node].coordinator else {
            return;
        };
        for command in coordinator.handle(now, event) {
            if self.trace {
                eprintln!("{} n{} {command:?}", self.now, node + 1);
            }
            match command {
                Command::Send { worker, request } => self.send(node, now, &worker, &request),
                Command::Append { token, body } => self.queue_append(node, body, Some(token)),
                Command::Stopped => self.nodes[node].coordinator = None,
            }
        }
    }

    pub fn local_time(&self, node: usize) -> Time {
        Time(self.nodes[node].clock.read(self.now))
    }

    fn send(&mut self, node: usize, sent: Time, worker: &Name, request: &Request) {
        let Some(to) = self.workers.iter().position(|w| w.name == *worker) else {
            return;
        };
        let run = self.nodes[node].run;
        self.send_message(|| Message::ToWorker(node, run, to, sent, request.clone()));
        self.schedule(TIMEOUT_MS, Message::RequestTimeout(node, run, to, sent));
    }

    fn deliver_to_worker(
        &mut self,
        node: usize,
        run: u64,
        to: usize,
        sent: Time,
        request: &Request,
    ) {
        let now = self.now;
        let worker = &mut self.workers[to];
        if !worker.up || self.cut_links.contains(&(node, to)) {
            return;
        }
        let clock = worker.now(now);
        let reply = worker.state.exchange(clock, request);
        for command in &request.commands {
            let WorkerCommand::Start(start) = command else {
                continue;
            };
            let always_fails = self
                .jobs
                .iter()
                .any(|j| j.always_fails && j.id == start.attempt.task.job);
            let failed = worker.failing || always_fails;
            let end = match (failed, start.run_ms) {
                (true, _) => (clock.0 + 50, AttemptState::Failed),
                (false, ms) => (clock.0 + ms, AttemptState::Done),
            };
            worker.scheduled_ends.entry(start.attempt).or_insert(end);
        }
        let worker = worker.name.clone();
        let event = Event::Reply {
            worker,
            sent,
            reply,
        };
        self.send_message(|| Message::ToCandidate(node, run, Box::new(event.clone())));
    }

    fn queue_append(&mut self, node: usize, body: Body, token: Option<u64>) {
        let state = &mut self.nodes[node];
        state.sequence += 1;
        let id = RecordId {
            incarnation: Incarnation(state.run),
            sequence: state.sequence,
        };
        state
            .append_queue
            .push_back((Record { id, body }, token, None));
    }

    fn send_append(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        if state.append_in_flight || state.append_queue.is_empty() || state.coordinator.is_none() {
            return;
        }
        state.append_in_flight = true;
        state.batch += 1;
        let (run, batch) = (state.run, state.batch);
        let records: Vec<_> = state
            .append_queue
            .iter()
            .map(|entry| entry.0.clone())
            .collect();
        self.send_message(|| Message::Append(node, run, batch, records.clone()));
        self.schedule(TIMEOUT_MS, Message::AppendTimeout(node, run, batch));
    }

    fn on_appended(&mut self, node: usize, batch: u64, count: usize) {
        let current = self.nodes[node].batch == batch;
        if !current || !std::mem::take(&mut self.nodes[node].append_in_flight) {
            return;
        }
        for _ in 0..count {
            let Some((record, token, tenure)) = self.nodes[node].append_queue.pop_front() else {
                return;
            };
            if let Some(token) = token {
                self.handle(node, Event::Appended { token });
            }
            if let (Some(tenure), Body::Accepted { job, spec, .. }) = (tenure, record.body) {
                self.add_accepted(job, &spec, Vec::new());
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
        let authority = self.nodes[node]
            .coordinator
            .as_ref()?
            .authority(self.local_time(node));
        authority.held.then_some(authority.tenure)
    }

    fn add_accepted(&mut self, id: JobId, spec: &JobSpec, record_holders: Vec<(usize, u64)>) {
        if self.jobs.iter().all(|job| job.id != id) {
            self.jobs.push(AcceptedJob {
                id,
                spec: spec.clone(),
                always_fails: spec.name.starts_with("bad"),
                record_holders,
            });
        }
    }

    /// Submits a job to the candidate that has authority over the zone. Returns `None` if there is
    /// none, or if the log is down and no peer can hold the record.
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
            self.nodes[node]
                .append_queue
                .push_back((record, None, tenure));
            return Some(job);
        }
        // The log is down, so up to two other instances hold the record. An instance that is about
        // to stop takes no copies.
        let can_hold = |n: &usize| {
            let state = &self.nodes[*n];
            let coordinator = state
                .coordinator
                .as_ref()
                .filter(|_| *n != node && !state.paused);
            let phase =
                coordinator.map(|coordinator| coordinator.authority(self.local_time(*n)).phase);
            matches!(phase, Some(Phase::Watching | Phase::Claiming))
        };
        let peers: Vec<_> = (0..self.nodes.len()).filter(can_hold).take(2).collect();
        if peers.is_empty() {
            return None;
        }
        let mut record_holders = vec![(node, self.nodes[node].run)];
        self.nodes[node]
            .append_queue
            .push_back((record.clone(), None, tenure));
        for peer in peers {
            record_holders.push((peer, self.nodes[peer].run));
            self.nodes[peer]
                .append_queue
                .push_back((record.clone(), None, None));
        }
        self.add_accepted(job, &spec, record_holders);
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

    /// Sends an event to every candidate of a zone, with a random delay of up to 2 s.
    pub fn broadcast(&mut self, zone: &str, event: &Event) {
        for node in 0..self.nodes.len() {
            if &*self.nodes[node].zone == zone {
                let run = self.nodes[node].run;
                let delay = self.rng.random_range(1..=2_000);
                self.schedule(
                    delay,
                    Message::ToCandidate(node, run, Box::new(event.clone())),
                );
            }
        }
    }

    pub fn start_node(&mut self, node: usize) {
        if self.nodes[node].coordinator.is_some() {
            return;
        }
        let seed = self.rng.random();
        let state = &mut self.nodes[node];
        state.run = 1_000 * (state.run / 1_000 + 1) + node as u64;
        let holder = Incarnation(state.run);
        let zone = state.zone.clone();
        let coordinator = Coordinator::new(Settings::default(), holder, zone.clone(), seed);
        state.coordinator = Some(coordinator);
        (state.paused, state.append_in_flight, state.read_in_flight) = (false, false, false);
        (state.log_position, state.sequence, state.log_up) = (0, 0, false);
        state.inbox.clear();
        state.append_queue.clear();
        state.read_records.clear();
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
        self.faults.log_down || self.faults.log_unreachable.contains(&node)
    }

    fn zone_state(&self, node: usize) -> ZoneState {
        if self.out_since.contains_key(&self.nodes[node].zone) {
            ZoneState::Out
        } else {
            ZoneState::In
        }
    }

    /// Kills a candidate with the records in its memory. Jobs that are not in the log and that no
    /// live instance holds any more are lost, so they are no longer checked.
    pub fn kill_node(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        state.coordinator = None;
        state.run += 500_000;
        state.append_queue.clear();
        let nodes = &self.nodes;
        let log = &self.log;
        let lost = |job: &AcceptedJob| {
            let logged = log.iter().any(
                |record| matches!(&record.body, Body::Accepted { job: id, .. } if *id == job.id),
            );
            let alive = |(node, run): &(usize, u64)| nodes[*node].run == *run;
            !logged && !job.record_holders.is_empty() && !job.record_holders.iter().any(alive)
        };
        self.jobs.retain(|job| !lost(job));
    }

    pub fn pause(&mut self, node: usize) {
        if !self.nodes[node].paused {
            self.nodes[node].paused = true;
            self.nodes[node].paused_at = self.now;
        }
    }

    /// Resumes a paused candidate, which then handles the messages that arrived during the pause.
    pub fn resume(&mut self, node: usize) {
        if !std::mem::take(&mut self.nodes[node].paused) {
            return;
        }
        // After a long pause the configuration counts as stale until it is read again.
        let outdated = self.now - self.nodes[node].paused_at > 4_000;
        if outdated {
            self.handle(node, Event::MayStart(false));
        }
        for message in std::mem::take(&mut self.nodes[node].inbox) {
            self.deliver_to_candidate(message);
            self.check_invariants();
        }
        if outdated {
            let run = self.nodes[node].run;
            let event = Box::new(Event::MayStart(true));
            self.schedule(2_000, Message::ToCandidate(node, run, event));
        }
    }

    /// Starts a planned stop of a candidate that is not paused and has no records to append.
    pub fn stop_node(&mut self, node: usize) {
        if !self.nodes[node].paused && self.nodes[node].append_queue.is_empty() {
            self.handle(node, Event::Stop);
        }
    }

    pub fn kill_worker(&mut self, worker: usize) {
        self.workers[worker].up = false;
        self.running.retain(|entry| entry.0 != worker);
    }

    pub fn start_worker(&mut self, worker: usize) {
        let (now, run) = (self.now, self.event_count + 2);
        let worker = &mut self.workers[worker];
        if !worker.up {
            worker.state = WorkerState::new(run, worker.state.total());
            (worker.up, worker.started_at) = (true, now);
            worker.scheduled_ends.clear();
        }
    }

    /// Holds back the requests of a candidate to a worker until `release`.
    pub fn stall(&mut self, node: usize, worker: usize) {
        self.stalled_requests.entry((node, worker)).or_default();
    }

    /// Delivers all requests that were held back.
    pub fn release(&mut self) {
        for message in std::mem::take(&mut self.stalled_requests)
            .into_values()
            .flatten()
        {
            self.schedule(1, message);
        }
    }

    pub fn set_zone(&mut self, zone: &str, state: ZoneState) {
        let since = match state {
            ZoneState::Out => self.out_since.insert(zone.into(), self.now),
            ZoneState::In => self.out_since.remove(zone),
        };
        // For a zone that was out of service already, the earlier time still applies.
        if let (ZoneState::Out, Some(since)) = (state, since) {
            self.out_since.insert(zone.into(), since);
        }
        self.broadcast(zone, &Event::ZoneState(state));
    }

    /// Removes all faults and starts everything that is down.
    pub fn heal(&mut self) {
        self.faults = Faults {
            max_delay_ms: 4,
            ..Faults::default()
        };
        self.cut_links.clear();
        self.release();
        for worker in 0..self.workers.len() {
            self.workers[worker].failing = false;
            self.start_worker(worker);
        }
        for node in 0..self.nodes.len() {
            self.resume(node);
            self.start_node(node);
        }
        for zone in self.out_since.clone().into_keys() {
            self.set_zone(&zone, ZoneState::In);
        }
    }

    /// Checks worker capacity, team allowances and that no task runs twice at the same time.
    fn check_invariants(&mut self) {
        let mut last_workers: BTreeMap<TaskId, usize> = BTreeMap::new();
        let mut teams: BTreeMap<(Name, Name), Resources> = BTreeMap::new();
        let mut running = BTreeSet::new();
        for (i, worker) in self.workers.iter().enumerate().filter(|(_, w)| w.up) {
            if !worker.state.used().fits(&worker.state.total()) {
                self.violations
                    .push(format!("worker {} exceeds its capacity", worker.name));
            }
            for report in worker.state.running() {
                let task = report.attempt.task;
                if let Some(other) = last_workers.insert(task, i) {
                    let other = &self.workers[other].name;
                    let line = format!("task {task} runs on both {other} and {}", worker.name);
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
                    .push(format!("team {team} exceeds its allowance in zone {zone}"));
            }
        }
        let new: Vec<_> = running.difference(&self.running).copied().collect();
        for (worker, attempt) in new {
            self.check_start(worker, attempt);
        }
        self.running = running;
    }

    /// Checks that an attempt that has just started was allowed to start.
    fn check_start(&mut self, worker: usize, attempt: AttemptId) {
        self.last_workers.insert(attempt.task, worker);
        let zone = &self.workers[worker].zone;
        if let Some(since) = self.out_since.get(zone)
            && self.now > since + OUT_OF_SERVICE_BOUND_MS
        {
            let line = format!(
                "task {} starts in zone {zone}, which is out of service",
                attempt.task
            );
            self.violations.push(line);
        }
        let runs = self.run_counts.entry(attempt.task).or_default();
        *runs += 1;
        let job = self.jobs.iter().find(|job| job.id == attempt.task.job);
        if *runs > 1 && job.is_some_and(|job| job.spec.repeat == Repeat::Once) {
            let line = format!(
                "task {} runs again although it may run only once",
                attempt.task
            );
            self.violations.push(line);
        }
    }

    /// Returns the worker with a name or, for a task such as `job/0`, the worker on which it was
    /// started last.
    pub fn worker(&self, name: &str) -> Option<usize> {
        if let Some((job, index)) = name.split_once('/') {
            let job = self.jobs.iter().find(|other| &*other.spec.name == job)?.id;
            let index = index.parse().ok()?;
            return self.last_workers.get(&TaskId { job, index }).copied();
        }
        self.workers.iter().position(|worker| &*worker.name == name)
    }

    /// Returns the home zone of a job in the view of the last candidate that knows it, or zone `a`.
    pub fn home(&self, id: JobId) -> Name {
        let mut views = self
            .nodes
            .iter()
            .filter_map(|node| node.coordinator.as_ref()?.job(id));
        views.next_back().map_or(Name::from("a"), |view| view.zone)
    }

    /// Returns the outcome of a job in the view of its home zone's candidates, once one knows it.
    pub fn outcome(&self, id: JobId) -> Option<Outcome> {
        self.nodes
            .iter()
            .filter_map(|node| Some((node, node.coordinator.as_ref()?.job(id)?)))
            .filter(|(node, view)| node.zone == view.zone)
            .find_map(|(_, view)| view.outcome)
    }

    /// Checks that every accepted job has ended, and that each task of a job that is done has
    /// succeeded once.
    pub fn check_end(&mut self) {
        for job in &self.jobs {
            let line = match self.outcome(job.id) {
                None => format!("job {} has not ended", job.id),
                Some(Outcome::Done) => {
                    let tasks = (0..job.spec.tasks).map(|index| TaskId { job: job.id, index });
                    match tasks.into_iter().find(|task| !self.done.contains(task)) {
                        Some(task) => format!(
                            "task {task} is reported as done but no attempt of it succeeded"
                        ),
                        None => continue,
                    }
                }
                Some(_) => continue,
            };
            self.violations.push(line);
        }
    }

    /// Returns one line for each coordinator, job and violation.
    pub fn summary(&self) -> String {
        let mut lines = Vec::new();
        for (n, node) in self.nodes.iter().enumerate() {
            let Some(coordinator) = &node.coordinator else {
                continue;
            };
            let now = self.local_time(n);
            if coordinator.authority(now).held {
                let stage = coordinator.readiness(now).stage;
                lines.push(format!("n{} coordinates {}: {stage:?}", n + 1, node.zone));
            }
        }
        for job in &self.jobs {
            let name = &job.spec.name;
            let running = self.running.iter().filter(|(_, a)| a.task.job == job.id);
            let attempts: Vec<_> = running.map(|(_, a)| a.attempt.to_string()).collect();
            match self.outcome(job.id) {
                Some(outcome) => lines.push(format!("{name} ended: {outcome:?}")),
                None if attempts.is_empty() => lines.push(format!("{name} is pending")),
                None => lines.push(format!("{name} runs, attempts {}", attempts.join(", "))),
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
        resources: worker.state.total(),
    }
}
