//! A small cell around a leader: minions, a log and an advice service that answer at once unless a
//! test says otherwise.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use primrosebay_cell::config::{Account, AdviceTiming, Config, Queue};
use primrosebay_cell::job::{JobKey, JobSpec, Step, TaskKey};
use primrosebay_cell::leader::{
    ActiveRun, Advice, Batch, Command, DirectoryChange, DirectoryEntry, End, EndedRun, HoldAnswer,
    HoldReport, Leader, Now, Refusal, Settings, Start, StartAnswer,
};
use primrosebay_cell::ledger::{JobState, Ledger};
use primrosebay_cell::record::{Claim, Outcome, Record, Submission};
use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

/// How long tasks run, in milliseconds.
pub const RUN_MS: u64 = 1_000;

/// Unix milliseconds at local time zero.
const EPOCH_MS: u64 = 1_700_000_000_000;

#[derive(Debug, Clone)]
pub struct Running {
    pub task: TaskKey,
    pub run: u32,
    pub until: u64,
    pub ends: u64,
    pub amount: Resources,
}

/// A minion as the platform has them: it does what the highest epoch says.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each is a fault of its own")]
pub struct FakeMinion {
    pub name: Name,
    pub capacity: Resources,
    /// Whether it neither hears nor answers.
    pub silent: bool,
    /// Whether it carries out starts without answering.
    pub mute: bool,
    /// Whether it refuses all starts.
    pub refusing: bool,
    /// Whether its tasks stand still.
    pub stalled: bool,
    /// Whether all its tasks fail.
    pub failing: bool,
    pub born: u64,
    fence: u64,
    lease: u64,
    pub running: Vec<Running>,
    ended: Vec<EndedRun>,
    numbers: u64,
    acked: u64,
}

impl FakeMinion {
    fn end(&mut self, at: usize, end: End) {
        let run = self.running.remove(at);
        self.numbers += 1;
        self.ended.push(EndedRun {
            number: self.numbers,
            task: run.task,
            run: run.run,
            end,
            checkpoint: Name::default(),
        });
    }

    fn advance(&mut self, now: u64) {
        if self.stalled {
            for run in &mut self.running {
                run.ends = now + RUN_MS;
            }
        }
        while let Some(at) = self.running.iter().position(|r| r.ends <= now) {
            let end = if self.failing { End::Failed } else { End::Done };
            self.end(at, end);
        }
        let lease = self.lease;
        while let Some(at) = self.running.iter().position(|r| r.until.max(lease) <= now) {
            self.end(at, End::Lost);
        }
    }

    pub fn used(&self) -> Resources {
        let amounts = self.running.iter().map(|r| r.amount);
        amounts.fold(Resources::ZERO, |sum, a| sum.plus(&a))
    }
}

#[derive(Debug)]
pub struct World {
    pub now: u64,
    pub leader: Leader,
    pub ledger: Ledger,
    pub minions: Vec<FakeMinion>,
    pub config: Config,
    /// The advice service allows one in so many minions, others for each job.
    pub allows_each: usize,
    /// Whether appends stay unanswered.
    pub log_away: bool,
    /// Starts that were sent.
    pub starts: Vec<Start>,
    /// Calls for advice: when they were made, by whom, and how many minions they named.
    pub asked: Vec<(u64, Name, usize)>,
    batches: Vec<Batch>,
    answers: Vec<(u64, Name, primrosebay_cell::job::StepKey, Advice)>,
    offset: u64,
    epoch: u64,
}

pub fn queue(name: &str, priority: u32) -> Queue {
    Queue {
        name: name.into(),
        host: "host.example".into(),
        prefix: format!("/{name}/").into(),
        service: "service".into(),
        timeout_ms: 3_000,
        target_ms: 250,
        priority,
        attempts: 3,
        stretch: 2.0,
        advice: None,
        public: false,
    }
}

pub fn cores(count: u64) -> Resources {
    Resources {
        cores_milli: count * 1_000,
        memory_mib: count * 1_000,
        accelerators: 0,
    }
}

/// Returns a job of one step.
pub fn job(count: u32, amount: Resources) -> JobSpec {
    JobSpec {
        payload: "run".into(),
        steps: vec![Step {
            count,
            amount,
            estimate_ms: RUN_MS,
            ..Step::default()
        }],
        repeat: None,
    }
}

impl World {
    /// Creates a cell of `count` minions with 16 cores each and the queues `urgent` and `batch`.
    pub fn new(count: usize) -> Self {
        let minions = (0..count).map(|i| FakeMinion {
            name: format!("minion-{i:03}").into(),
            capacity: cores(16),
            silent: false,
            mute: false,
            refusing: false,
            stalled: false,
            failing: false,
            born: 1,
            fence: 0,
            lease: 0,
            running: Vec::new(),
            ended: Vec::new(),
            numbers: 0,
            acked: 0,
        });
        let config = Config {
            version: 1,
            queues: vec![queue("urgent", 0), queue("batch", 2)],
            accounts: vec![Account {
                name: "account".into(),
                weight: 100,
                limit: Resources::ZERO,
            }],
            ..Config::default()
        };
        let now = 1_000;
        let ledger = Ledger::default();
        let settings = Settings::default();
        let leader = Leader::new(1, "node-0".into(), at(now), &ledger, settings);
        let mut world = Self {
            now,
            leader,
            ledger,
            minions: minions.collect(),
            config,
            allows_each: 1,
            log_away: false,
            starts: Vec::new(),
            asked: Vec::new(),
            batches: Vec::new(),
            answers: Vec::new(),
            offset: 0,
            epoch: 1,
        };
        world.introduce();
        world.run(200);
        world
    }

    fn introduce(&mut self) {
        self.leader.set_config(&self.config);
        self.set_members(6);
        for i in 0..self.minions.len() {
            let entry = self.entry(i);
            self.leader
                .on_directory(DirectoryChange::Listed(entry), at(self.now));
        }
    }

    /// Sets how many instances can call the advice service.
    pub fn set_members(&mut self, count: usize) {
        let members = (0..count).map(|i| format!("node-{i}").into());
        self.leader.set_members(members.collect());
    }

    pub fn entry(&self, i: usize) -> DirectoryEntry {
        let minion = &self.minions[i];
        DirectoryEntry {
            name: minion.name.clone(),
            address: format!("10.0.0.{i}:80").into(),
            service: "service".into(),
            zone: format!("zone-{}", i % 3).into(),
            labels: vec!["kind".into(), format!("rack-{}", i / 4).into()],
            capacity: minion.capacity,
            drain_ms: None,
            started_ms: minion.born,
        }
    }

    /// Gives every queue an advice service that allows all minions.
    pub fn set_advice(&mut self, name: &str, decide_ms: f64, each_ms: f64) {
        let queues = self.config.queues.iter_mut();
        for queue in queues.filter(|q| &*q.name == name) {
            queue.advice = Some(AdviceTiming {
                decide_ms,
                each_ms,
                valid_ms: 1_500,
            });
        }
        self.leader.set_config(&self.config);
    }

    /// Replaces the leader by one of a later term.
    pub fn take_over(&mut self) {
        self.epoch += 1;
        let claim = Claim {
            epoch: self.epoch,
            node: "node-0".into(),
            batch: 0,
            resigned: false,
        };
        self.append(&Record::Leader(claim));
        self.batches.clear();
        self.answers.clear();
        let settings = Settings::default();
        let name = "node-0".into();
        self.leader = Leader::new(self.epoch, name, at(self.now), &self.ledger, settings);
        self.introduce();
    }

    pub fn append(&mut self, record: &Record) {
        let bytes = record.encode().expect("records can be encoded");
        let decoded = Record::decode(&bytes).expect("records can be decoded");
        self.ledger.apply(self.offset, decoded);
        self.offset += 1;
    }

    pub fn submit(&mut self, key: u64, queue: &str, spec: &JobSpec) -> JobKey {
        let submission = Submission {
            queue: queue.into(),
            account: Some("account".into()),
            spec: Arc::new(spec.clone()),
            accepted_ms: EPOCH_MS + self.now,
        };
        let key = JobKey(key);
        self.append(&Record::Submitted(key, submission));
        self.leader.sync_job(key, at(self.now), &self.ledger);
        key
    }

    pub fn cancel(&mut self, key: JobKey) {
        self.append(&Record::Cancelled(key));
        self.leader.sync_job(key, at(self.now), &self.ledger);
    }

    pub fn state(&self, key: JobKey) -> JobState {
        self.ledger.state(key).expect("the job was submitted")
    }

    pub fn is_completed(&self, key: JobKey) -> bool {
        self.state(key) == JobState::Ended(Outcome::Completed)
    }

    /// Returns how long after `from` a job has ended, in milliseconds.
    pub fn took_ms(&self, key: JobKey, from: u64) -> u64 {
        let progress = self.ledger.progress(key);
        let ended = progress.filter(|p| p.outcome.is_some()).map(|p| p.ended_ms);
        ended.map_or(u64::MAX, |at| at - EPOCH_MS - from)
    }

    /// Makes the minion silent to which the first start was sent.
    pub fn silence_first(&mut self) {
        let first = self.starts[0].minion.clone();
        self.minion(&first).silent = true;
    }

    /// Lets `ms` pass in steps of 10 ms.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 10;
            for minion in &mut self.minions {
                minion.advance(self.now);
            }
            self.answer_advice();
            for command in self.leader.tick(at(self.now)) {
                self.carry_out(command);
            }
            self.commit();
            self.check();
        }
    }

    /// Lets time pass until `done` holds, for at most `ms`. Returns the time that it took.
    pub fn run_until(&mut self, ms: u64, done: impl Fn(&Self) -> bool) -> u64 {
        let begin = self.now;
        while !done(self) {
            assert!(self.now < begin + ms, "not done after {ms} ms");
            self.run(10);
        }
        self.now - begin
    }

    fn answer_advice(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|a| a.0 <= now);
        self.answers = later;
        for (_, node, step, advice) in due {
            self.leader.on_advice(&node, step, Some(advice), at(now));
        }
    }

    fn commit(&mut self) {
        if let Some(batch) = self.leader.take_batch(false) {
            self.batches.push(batch);
        }
        if self.log_away {
            return;
        }
        for batch in std::mem::take(&mut self.batches) {
            for record in batch.records {
                self.append(&record);
            }
            self.leader
                .on_committed(batch.id, Time(self.now), at(self.now));
        }
    }

    /// Fails if a minion holds more than it has, or if a task runs twice.
    fn check(&self) {
        let mut tasks = Vec::new();
        for minion in &self.minions {
            assert!(
                minion.used().fits(&minion.capacity),
                "{} holds {:?}",
                minion.name,
                minion.used()
            );
            tasks.extend(minion.running.iter().map(|r| r.task));
        }
        tasks.sort_unstable();
        let twice = tasks.windows(2).find(|pair| pair[0] == pair[1]);
        assert!(twice.is_none(), "{twice:?} runs twice");
    }

    fn minion(&mut self, name: &Name) -> &mut FakeMinion {
        let found = self.minions.iter_mut().find(|m| m.name == *name);
        found.expect("orders name minions that are listed")
    }

    fn carry_out(&mut self, command: Command) {
        let now = self.now;
        match command {
            Command::Start(start) => {
                self.starts.push(start.clone());
                let answer = self.start(&start);
                self.leader
                    .on_start(&start.minion, start.task, start.run, answer, at(now));
            }
            Command::Stop {
                minion, task, run, ..
            } => {
                let fake = self.minion(&minion);
                let heard = !fake.silent;
                let found = fake
                    .running
                    .iter()
                    .position(|r| r.task == task && r.run == run);
                if let Some(found) = found.filter(|_| heard) {
                    fake.end(found, End::Lost);
                }
                self.leader.on_stop(&minion, task, run, heard, at(now));
            }
            Command::Hold {
                minion,
                until,
                acked,
                ..
            } => {
                let answer = self.hold(&minion, until, acked);
                self.leader.on_hold(&minion, Time(now), answer, at(now));
            }
            Command::AskAdvice {
                node,
                step,
                minions,
                ..
            } => {
                self.asked.push((now, node.clone(), minions.len()));
                let queue = &self.ledger.submission(step.job).expect("job").queue;
                let terms = self.config.queue(queue).and_then(|q| q.advice);
                let cost = terms.expect("the queue has advice").call_ms(minions.len());
                let each = self.allows_each;
                let is_allowed = |m: &Name| {
                    let at = self.minions.iter().position(|f| f.name == *m);
                    at.is_some_and(|at| hash(step.job.0, at).is_multiple_of(each))
                };
                let names = minions.into_iter().filter(is_allowed);
                let allowed = names.map(|m| (m, "ticket".into())).collect();
                let advice = Advice {
                    allowed,
                    valid_ms: 1_500,
                };
                self.answers.push((now + cost, node, step, advice));
            }
        }
    }

    fn start(&mut self, start: &Start) -> StartAnswer {
        let (now, epoch) = (self.now, self.epoch);
        let spec = &self
            .ledger
            .submission(start.task.step.job)
            .expect("job")
            .spec;
        let amount = spec.steps[start.task.step.step as usize].amount;
        let fake = self.minion(&start.minion);
        if fake.silent {
            return StartAnswer::Unknown;
        }
        if epoch < fake.fence {
            return StartAnswer::Refused(Refusal::Fenced);
        }
        fake.fence = epoch;
        if fake.refusing {
            return StartAnswer::Refused(Refusal::Room);
        }
        fake.running.push(Running {
            task: start.task,
            run: start.run,
            until: start.until,
            ends: now + RUN_MS,
            amount,
        });
        if fake.mute {
            return StartAnswer::Unknown;
        }
        StartAnswer::Started
    }

    fn hold(&mut self, name: &Name, until: Option<u64>, acked: u64) -> HoldAnswer {
        let (now, epoch) = (self.now, self.epoch);
        let fake = self.minion(name);
        if fake.silent {
            return HoldAnswer::Failed;
        }
        fake.fence = fake.fence.max(epoch);
        fake.lease = fake.lease.max(until.unwrap_or(0));
        fake.acked = fake.acked.max(acked);
        let acked = fake.acked;
        fake.ended.retain(|e| e.number > acked);
        let running = fake.running.iter().map(|r| ActiveRun {
            task: r.task,
            run: r.run,
            checkpoint: Name::default(),
        });
        HoldAnswer::Held(HoldReport {
            clock_ms: now,
            started_ms: fake.born,
            running: running.collect(),
            ended: fake.ended.clone(),
        })
    }
}

pub fn at(now: u64) -> Now {
    Now {
        time: Time(now),
        wall_ms: EPOCH_MS + now,
    }
}

/// Returns a number that looks random for each job and minion.
fn hash(job: u64, minion: usize) -> usize {
    let mut hasher = DefaultHasher::new();
    (job, minion).hash(&mut hasher);
    usize::try_from(hasher.finish() >> 33).unwrap_or(0)
}
