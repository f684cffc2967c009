//! A cell's leader under load, with minions, log and advice service that answer at once or after a
//! simulated time. Only the time in the leader's own calls is measured.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

use primrosebay_cell::config::{Account, AdviceTiming, Config, Queue};
use primrosebay_cell::job::{JobKey, JobSpec, Step, StepKey, TaskKey};
use primrosebay_cell::leader::{
    ActiveRun, Advice, BlockedSteps, Command, DirectoryChange, DirectoryEntry, End, EndedRun,
    HoldAnswer, HoldReport, Leader, Now, Settings, Start, StartAnswer,
};
use primrosebay_cell::ledger::Ledger;
use primrosebay_cell::record::{Claim, Record, Submission};
use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

/// Step of the simulation, in milliseconds.
const STEP_MS: u64 = 10;

/// Wall clock at the start, in Unix milliseconds.
const WALL_START_MS: u64 = 1_700_000_000_000;

/// Number of minions for which the submission rates of [`KINDS`] are meant.
const MINIONS: f64 = 1_100.0;

/// A kind of job that is submitted at a fixed rate.
#[derive(Debug)]
struct Kind {
    queue: &'static str,
    priority: u32,
    /// Jobs a second on [`MINIONS`] minions.
    rate: f64,
    tasks: u32,
    cores: u64,
    run_ms: u64,
    gang: bool,
    /// Fixed time of an advice call and time for each minion, in milliseconds.
    advice: (f64, f64),
    /// The advice service allows this many percent of the minions.
    allowed: u64,
}

impl Kind {
    fn step(&self) -> Step {
        Step {
            count: self.tasks,
            amount: cores(self.cores),
            estimate_ms: self.run_ms,
            gang: self.gang,
            checkpoints: self.priority > 0,
            ..Step::default()
        }
    }
}

/// Kinds of jobs, as on a site of many shops.
const KINDS: [Kind; 3] = [
    Kind {
        queue: "urgent",
        priority: 0,
        rate: 177.0,
        tasks: 4,
        cores: 15,
        run_ms: 640,
        gang: false,
        advice: (8.9, 0.13),
        allowed: 70,
    },
    Kind {
        queue: "gangs",
        priority: 1,
        rate: 8.0,
        tasks: 40,
        cores: 18,
        run_ms: 4_000,
        gang: true,
        advice: (410.0, 5.8),
        allowed: 25,
    },
    Kind {
        queue: "batch",
        priority: 2,
        rate: 16.0,
        tasks: 40,
        cores: 10,
        run_ms: 2_700,
        gang: false,
        advice: (140.0, 2.0),
        allowed: 45,
    },
];

/// Kinds of jobs of a busy cell of few accounts. The queues do not permit as much advice at the same
/// time as the backlog asks for, and urgent jobs preempt the others.
const CROWD: [Kind; 4] = [
    Kind {
        queue: "urgent",
        priority: 0,
        rate: 222.0,
        tasks: 3,
        cores: 10,
        run_ms: 850,
        gang: false,
        advice: (11.7, 0.17),
        allowed: 70,
    },
    Kind {
        queue: "gangs",
        priority: 1,
        rate: 2.4,
        tasks: 20,
        cores: 18,
        run_ms: 5_300,
        gang: true,
        advice: (455.0, 6.5),
        allowed: 25,
    },
    Kind {
        queue: "expensive",
        priority: 1,
        rate: 9.1,
        tasks: 20,
        cores: 18,
        run_ms: 5_300,
        gang: false,
        advice: (455.0, 6.5),
        allowed: 25,
    },
    Kind {
        queue: "medium",
        priority: 2,
        rate: 37.0,
        tasks: 25,
        cores: 7,
        run_ms: 2_300,
        gang: false,
        advice: (156.0, 2.34),
        allowed: 45,
    },
];

/// Number of accounts with most of the jobs of [`CROWD`].
const LARGE_ACCOUNTS: u64 = 3;

/// Number of the other accounts of [`CROWD`].
const SMALL_ACCOUNTS: u64 = 17;

/// Percentage of the jobs of [`CROWD`] that belong to the large accounts.
const LARGE_PERCENT: u64 = 80;

/// Account with a low limit.
const LIMITED: &str = "limited";

/// Label of one minion in a hundred, which the waiting jobs need.
const RARE_LABEL: &str = "rare";

/// Number of jobs that a report of idle jobs lists.
const REPORTED_JOBS: usize = 20;

/// Mix of jobs that are submitted while a cell runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Load {
    /// Jobs of 60 accounts without limits, for which there is room and advice.
    #[default]
    Shops,
    /// Jobs of 20 accounts with limits, three of which have most of the jobs. Run times differ from
    /// the estimates.
    Crowd,
    /// As [`Load::Crowd`] with quick advice, so that jobs wait for room and for the limits of their
    /// accounts, and urgent ones preempt others.
    Full,
}

impl Load {
    fn kinds(self) -> &'static [Kind] {
        match self {
            Self::Shops => &KINDS,
            Self::Crowd | Self::Full => &CROWD,
        }
    }

    fn advice(self, kind: &Kind) -> AdviceTiming {
        let factor = match self {
            Self::Shops | Self::Crowd => 1.0,
            Self::Full => 0.1,
        };
        AdviceTiming {
            fixed_ms: kind.advice.0 * factor,
            per_minion_ms: kind.advice.1 * factor,
            valid_ms: 1_500,
        }
    }
}

/// Size of a measured cell.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of minions of 64 cores.
    pub minions: usize,
    /// Number of jobs of 200 tasks that wait for room on a few minions.
    pub waiting: u64,
    /// Number of jobs of 40 tasks that wait for the limit of their account.
    pub limited: u64,
    /// Mix of jobs that are submitted while the cell runs.
    pub load: Load,
    /// Number of jobs of the mix, without its most urgent queue, that wait from the start on for
    /// advice, for an instance to call for it and for the limits of their accounts.
    pub backlog: u64,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            load: Load::default(),
            backlog: 0,
            minions: 48,
            waiting: 0,
            limited: 0,
        }
    }
}

/// Processor time of a leader.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeaderCost {
    /// Number of starts.
    pub starts: u64,
    /// Number of hold reports.
    pub reports: u64,
    /// Number of submissions.
    pub submissions: u64,
    /// Time of the scheduling passes and batches.
    pub passes: Duration,
    /// Time of the hold reports.
    pub holds: Duration,
    /// Time of the submissions.
    pub submits: Duration,
    /// Time in which a successor builds its state.
    pub takeover: Duration,
    /// Number of scheduling passes.
    pub ticks: u64,
    /// Number of stops, most of them by preemption.
    pub stops: u64,
}

impl LeaderCost {
    /// Returns a duration in microseconds for each of `count` events.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    pub fn micros_each(time: Duration, count: u64) -> f64 {
        time.as_secs_f64() * 1e6 / count.max(1) as f64
    }
}

#[derive(Debug)]
struct LiveRun {
    task: TaskKey,
    number: u32,
    ends: u64,
}

#[derive(Debug, Default)]
struct Minion {
    running: Vec<LiveRun>,
    ended: Vec<EndedRun>,
    last_end: u64,
    /// Time by which the waiting hold has to be answered, if there is one.
    hold_due: Option<u64>,
}

/// A leader with everything that it talks to.
#[derive(Debug)]
pub struct LoadedCell {
    leader: Leader,
    ledger: Ledger,
    config: Config,
    minions: Vec<Minion>,
    entries: Vec<DirectoryEntry>,
    advice: Vec<(u64, Name, StepKey, Advice)>,
    now: u64,
    next_job: u64,
    next_offset: u64,
    /// Jobs due of each kind, in thousandths.
    due_milli: Vec<f64>,
    load: Load,
    /// Hash of all commands of the leader so far.
    decisions: DefaultHasher,
    cost: LeaderCost,
}

fn now_at(now: u64) -> Now {
    Now {
        time: Time(now),
        wall_ms: WALL_START_MS + now,
    }
}

fn cores(count: u64) -> Resources {
    Resources {
        cores_milli: count * 1_000,
        memory_mib: count * 1_000,
        accelerators: 0,
    }
}

fn minion_name(index: usize) -> Name {
    format!("minion-{index:05}").into()
}

fn queue(name: &str, priority: u32, advice: Option<AdviceTiming>) -> Queue {
    Queue {
        name: name.into(),
        host: "host.example".into(),
        prefix: format!("/{name}/").into(),
        service: "service".into(),
        timeout_ms: 3_000,
        target_ms: 1_000,
        priority,
        attempts: 3,
        stretch: 2.2,
        advice,
        public: false,
    }
}

/// Returns a number that is spread evenly over all values.
fn mix(value: u64) -> u64 {
    let hash = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Returns the accounts of [`CROWD`]. The large ones may use 20% of the cell each.
fn crowd_accounts(minions: usize) -> impl Iterator<Item = Account> {
    let capacity = minions as u64 * 64;
    let account = move |kind: &str, i: u64, percent: u64| Account {
        name: format!("{kind}-{i:02}").into(),
        weight: 100,
        limit: cores(capacity * percent / 100),
    };
    let large = (0..LARGE_ACCOUNTS).map(move |i| account("large", i, 20));
    large.chain((0..SMALL_ACCOUNTS).map(move |i| account("small", i, 10)))
}

fn config(load: Load, minions: usize) -> Config {
    let kinds = load
        .kinds()
        .iter()
        .map(|k| queue(k.queue, k.priority, Some(load.advice(k))));
    Config {
        version: 1,
        queues: kinds.chain([queue("waiting", 3, None)]).collect(),
        accounts: (0..60)
            .map(|i| Account {
                name: format!("account-{i:02}").into(),
                weight: 100,
                limit: Resources::ZERO,
            })
            .chain([Account {
                name: LIMITED.into(),
                weight: 100,
                limit: cores(500),
            }])
            .chain(crowd_accounts(minions))
            .collect(),
        ..Config::default()
    }
}

impl LoadedCell {
    /// Creates a cell whose minions have answered a hold, and submits the waiting jobs.
    #[must_use]
    pub fn new(size: Size) -> Self {
        let entries = (0..size.minions).map(|i| {
            let rare = i % 100 == 0;
            let kind = if rare { RARE_LABEL } else { "kind" };
            DirectoryEntry {
                name: minion_name(i),
                address: format!("10.0.{}.{}:80", i / 250, i % 250).into(),
                service: "service".into(),
                zone: format!("zone-{}", i % 5).into(),
                labels: vec![kind.into(), format!("rack-{}", i / 8).into()],
                capacity: cores(64),
                drain_ms: None,
                started_ms: 1,
            }
        });
        let ledger = Ledger::default();
        let leader = Leader::new(
            1,
            "node-000".into(),
            now_at(0),
            &ledger,
            Settings::default(),
        );
        let mut cell = Self {
            leader,
            ledger,
            config: config(size.load, size.minions),
            minions: (0..size.minions).map(|_| Minion::default()).collect(),
            entries: entries.collect(),
            advice: Vec::new(),
            now: 0,
            next_job: 0,
            next_offset: 0,
            due_milli: vec![0.0; size.load.kinds().len()],
            load: size.load,
            decisions: DefaultHasher::new(),
            cost: LeaderCost::default(),
        };
        cell.init_leader();
        let step = Step {
            count: 200,
            amount: cores(30),
            estimate_ms: 100_000_000,
            label: Some(RARE_LABEL.into()),
            ..Step::default()
        };
        for _ in 0..size.waiting {
            cell.submit("waiting", step.clone());
        }
        let step = Step {
            count: 40,
            amount: cores(10),
            estimate_ms: 100_000_000,
            checkpoints: true,
            ..Step::default()
        };
        for _ in 0..size.limited {
            cell.submit_for(LIMITED, "batch", step.clone());
        }
        let kinds = size.load.kinds().iter().filter(|k| k.priority > 0);
        for (kind, _) in kinds.cycle().zip(0..size.backlog) {
            cell.submit(kind.queue, kind.step());
        }
        cell
    }

    fn init_leader(&mut self) {
        self.leader.set_config(&self.config);
        // The busy cell has 33 instances for 350 minions.
        let members = match self.load {
            Load::Shops => 147 * self.entries.len() / 1_100,
            Load::Crowd | Load::Full => 33 * self.entries.len() / 350,
        };
        let members = (0..members.max(6)).map(|i| format!("node-{i:03}").into());
        self.leader.set_members(members.collect());
        for entry in &self.entries {
            let change = DirectoryChange::Listed(entry.clone());
            self.leader.on_directory(change, now_at(self.now));
        }
    }

    /// Runs for `ms` simulated milliseconds and returns the cost of the leader in that time.
    pub fn run(&mut self, ms: u64) -> LeaderCost {
        self.cost = LeaderCost::default();
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            self.submit_due();
            self.answer_holds();
            self.answer_advice();
            self.pass();
        }
        self.cost
    }

    /// Returns a hash of all commands of the leader so far. Builds that make the same decisions have
    /// the same hash.
    #[must_use]
    pub fn decisions(&self) -> u64 {
        self.decisions.finish()
    }

    /// Returns the numbers of steps that the last pass could not start in full.
    #[must_use]
    pub fn blocked(&self) -> BlockedSteps {
        self.leader.counts(now_at(self.now)).blocked
    }

    /// Returns the time of a report of idle jobs, and their number.
    pub fn report_idle(&mut self) -> (Duration, usize) {
        let begin = Instant::now();
        let report = self.leader.report_idle(REPORTED_JOBS, now_at(self.now));
        (begin.elapsed(), report.counts.jobs)
    }

    /// Returns the time in which a successor builds its state from the ledger, up to its first
    /// pass.
    pub fn take_over(&mut self) -> Duration {
        let claim = Claim {
            epoch: self.leader.epoch() + 1,
            node: "node-000".into(),
            batch: 0,
            resigned: false,
            ..Claim::default()
        };
        let (epoch, now) = (claim.epoch, now_at(self.now));
        self.append(Record::Leader(claim));
        let name = "node-000".into();
        let begin = Instant::now();
        self.leader = Leader::new(epoch, name, now, &self.ledger, Settings::default());
        self.init_leader();
        let commands = self.leader.tick(now);
        let elapsed = begin.elapsed();
        self.advice.clear();
        for minion in &mut self.minions {
            minion.hold_due = None;
        }
        self.execute(commands);
        elapsed
    }

    fn append(&mut self, record: Record) {
        self.ledger.apply(self.next_offset, record);
        self.next_offset += 1;
    }

    #[expect(clippy::cast_precision_loss, reason = "there are thousands of minions")]
    fn submit_due(&mut self) {
        for (i, kind) in self.load.kinds().iter().enumerate() {
            let minions = self.entries.len() as f64;
            self.due_milli[i] += kind.rate * minions / MINIONS * STEP_MS as f64;
            while self.due_milli[i] >= 1_000.0 {
                self.due_milli[i] -= 1_000.0;
                self.submit(kind.queue, kind.step());
            }
        }
    }

    fn submit(&mut self, queue: &str, step: Step) {
        let account = self.account();
        self.submit_for(&account, queue, step);
    }

    /// Returns the account of the next job.
    fn account(&self) -> String {
        let next = self.next_job + 1;
        let hash = mix(next);
        match self.load {
            Load::Shops => format!("account-{:02}", next % 60),
            Load::Crowd | Load::Full if hash % 100 < LARGE_PERCENT => {
                format!("large-{:02}", hash / 100 % LARGE_ACCOUNTS)
            }
            Load::Crowd | Load::Full => format!("small-{:02}", hash / 100 % SMALL_ACCOUNTS),
        }
    }

    fn submit_for(&mut self, account: &str, queue: &str, step: Step) {
        self.next_job += 1;
        // Callers choose random keys.
        let key = JobKey(self.next_job.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let submission = Submission {
            queue: queue.into(),
            account: Some(account.into()),
            spec: Arc::new(JobSpec {
                payload: "run".into(),
                steps: vec![step],
                repeat: None,
            }),
            accepted_ms: WALL_START_MS + self.now,
        };
        let begin = Instant::now();
        self.leader.submit(key, &submission, now_at(self.now));
        self.cost.submits += begin.elapsed();
        self.cost.submissions += 1;
        self.append(Record::Submitted(key, submission));
    }

    fn pass(&mut self) {
        let now = now_at(self.now);
        let begin = Instant::now();
        let commands = self.leader.tick(now);
        let batch = self.leader.take_batch(false);
        self.cost.passes += begin.elapsed();
        self.cost.ticks += 1;
        self.execute(commands);
        if let Some(batch) = batch {
            let begin = Instant::now();
            self.leader.on_committed(batch.id, Time(self.now), now);
            self.cost.passes += begin.elapsed();
            for record in batch.records {
                self.append(record);
            }
        }
    }

    fn execute(&mut self, commands: Vec<Command>) {
        for command in commands {
            format!("{command:?}").hash(&mut self.decisions);
            match command {
                Command::Start(start) => self.start(&start),
                Command::Stop {
                    minion, task, run, ..
                } => self.stop(&minion, task, run),
                Command::Hold {
                    minion, wait_ms, ..
                } => {
                    if let Some(index) = self.index(&minion) {
                        self.minions[index].hold_due = Some(self.now + wait_ms);
                    }
                }
                Command::AskAdvice {
                    node,
                    step,
                    minions,
                    ..
                } => self.ask(node, step, minions),
            }
        }
    }

    fn index(&self, minion: &Name) -> Option<usize> {
        let found = self.entries.binary_search_by(|e| e.name.cmp(minion));
        found.ok()
    }

    fn start(&mut self, start: &Start) {
        let Some(index) = self.index(&start.minion) else {
            return;
        };
        let job = self.ledger.submission(start.task.step.job);
        let step = job.map(|j| j.spec.steps[start.task.step.step as usize].clone());
        let run_ms = step.map_or(0, |s| s.estimate_ms);
        let run_ms = match self.load {
            Load::Shops => run_ms,
            // Between 60% and 160% of the estimate.
            Load::Crowd | Load::Full => {
                let task = mix(start.task.step.job.0 ^ u64::from(start.task.index));
                run_ms * (60 + task % 100) / 100
            }
        };
        self.minions[index].running.push(LiveRun {
            task: start.task,
            number: start.run,
            ends: self.now + run_ms,
        });
        let answer = StartAnswer::Started(Some(self.now));
        let begin = Instant::now();
        let now = now_at(self.now);
        self.leader
            .on_start(&start.minion, start.task, start.run, answer, now);
        self.cost.passes += begin.elapsed();
        self.cost.starts += 1;
    }

    fn stop(&mut self, minion: &Name, task: TaskKey, run: u32) {
        let now = now_at(self.now);
        self.cost.stops += 1;
        if let Some(index) = self.index(minion) {
            let minion = &mut self.minions[index];
            if let Some(at) = minion.running.iter().position(|r| r.task == task) {
                minion.running.remove(at);
                minion.last_end += 1;
                minion.ended.push(EndedRun {
                    sequence: minion.last_end,
                    task,
                    run,
                    end: End::Lost,
                    checkpoint: Name::default(),
                });
            }
        }
        self.leader.on_stop(minion, task, run, true, now);
    }

    fn ask(&mut self, node: Name, step: StepKey, minions: Vec<Name>) {
        let queue = self.ledger.submission(step.job).map(|s| s.queue.clone());
        let kinds = self.load.kinds();
        let Some(kind) = kinds.iter().find(|k| queue.as_deref() == Some(k.queue)) else {
            return;
        };
        let due = self.now + self.load.advice(kind).call_ms(minions.len());
        let is_allowed = |name: &Name| {
            let index = self.index(name).unwrap_or(0) as u64;
            let hash = (step.job.0 ^ index).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 40;
            hash % 100 < kind.allowed
        };
        let allowed = minions.into_iter().filter(is_allowed);
        let advice = Advice {
            allowed: allowed.map(|m| (m, "ticket".into())).collect(),
            valid_ms: 1_500,
        };
        self.advice.push((due, node, step, advice));
    }

    fn answer_advice(&mut self) {
        let now = self.now;
        for (_, node, step, advice) in self.advice.extract_if(.., |a| a.0 <= now) {
            let begin = Instant::now();
            self.leader
                .on_advice(&node, step, Some(advice), now_at(now));
            self.cost.passes += begin.elapsed();
        }
    }

    /// Answers the holds that are due or have an end to report.
    fn answer_holds(&mut self) {
        let now = self.now;
        for (index, minion) in self.minions.iter_mut().enumerate() {
            while let Some(at) = minion.running.iter().position(|r| r.ends <= now) {
                let run = minion.running.swap_remove(at);
                minion.last_end += 1;
                minion.ended.push(EndedRun {
                    sequence: minion.last_end,
                    task: run.task,
                    run: run.number,
                    end: End::Done,
                    checkpoint: Name::default(),
                });
            }
            let is_due = minion.hold_due.is_some_and(|due| due <= now);
            if !is_due && (minion.hold_due.is_none() || minion.ended.is_empty()) {
                continue;
            }
            minion.hold_due = None;
            let running = minion.running.iter().map(|r| ActiveRun {
                task: r.task,
                run: r.number,
                checkpoint: Name::default(),
            });
            let report = HoldReport {
                clock_ms: now,
                started_ms: 1,
                running: running.collect(),
                ended: std::mem::take(&mut minion.ended),
            };
            let name = self.entries[index].name.clone();
            let begin = Instant::now();
            let answer = HoldAnswer::Held(report);
            self.leader.on_hold(&name, Time(now), answer, now_at(now));
            self.cost.holds += begin.elapsed();
            self.cost.reports += 1;
        }
    }
}
