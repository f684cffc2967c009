//! The leader of a cell: what runs where.
//!
//! The leader is a state machine. It is told what minions, the log and the advice service answer,
//! and it returns [`Command`]s. A start is sent only after the record of the run is durable, so a
//! successor knows every minion on which a task may be.

mod account;
mod active;
mod advice;
mod allowance;
mod command;
mod commit;
mod directory;
mod dispatch;
mod holds;
mod minion;
mod orders;
mod pace;
mod place;
mod preempt;
mod settings;

use primrosebay_state::Name;
use primrosebay_state::table::Table;
use primrosebay_state::time::Time;

use account::Rate;
use active::Active;
use advice::Advisers;
pub use command::{
    ActiveRun, Advice, Batch, Command, DirectoryChange, DirectoryEntry, End, EndedRun, HoldAnswer,
    HoldReport, Now, Refusal, Start, StartAnswer,
};
use commit::Gate;
use minion::Minion;
pub use settings::Settings;

use crate::config::{Config, Queue};
use crate::job::{JobKey, StepKey, TaskKey};
use crate::ledger::Ledger;
use crate::record::{Placement, Progress, Submission, TaskProgress};

/// Counts of what the leader knows, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs that have not ended.
    pub jobs: usize,
    /// Tasks that are or may be on a minion.
    pub runs: usize,
    /// Minions on which tasks may be started.
    pub usable: usize,
    /// All minions.
    pub minions: usize,
    /// Orders without an answer.
    pub unconfirmed: usize,
    /// Calls for advice in flight.
    pub advice_calls: usize,
    /// Steps that wait, by what they wait for.
    pub blocked: BlockedSteps,
    /// Thousandths of a core that are taken on usable minions.
    pub used_cores: u64,
    /// Thousandths of a core that usable minions have.
    pub all_cores: u64,
}

/// Steps that could not be started in full in the last pass, by what they wait for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BlockedSteps {
    /// The account's limit.
    pub limit: usize,
    /// An answer of the advice service.
    pub advice: usize,
    /// An instance that can call the advice service.
    pub advice_client: usize,
    /// Room on the minions.
    pub capacity: usize,
}

/// Decides which task runs where during one term.
#[derive(Debug)]
pub struct Leader {
    epoch: u64,
    settings: Settings,
    queues: Table<Name, Queue>,
    accounts: Table<Name, crate::config::Account>,
    evacuated: Vec<Name>,
    minions: Table<Name, Minion>,
    jobs: Table<JobKey, Active>,
    rates: Table<Name, Rate>,
    advisers: Advisers,
    /// Runs that minions list but that the cell has not placed there.
    strays: Vec<TaskKey>,
    gates: Vec<Gate>,
    in_flight: Option<(u64, Vec<Gate>)>,
    batches: u64,
    removed: Vec<JobKey>,
    /// Jobs that ended in this term, which the ledger may still show as active.
    ended: Table<JobKey, ()>,
    /// When the last durable append was sent, which proved that the term goes on.
    confirmed: Time,
    /// When minions that an earlier leader held have surely lapsed.
    inherited: Time,
    deposed: bool,
    blocked: BlockedSteps,
    /// Minions on which tasks may be started in the present pass.
    usable: Vec<Name>,
    commands: Vec<Command>,
}

impl Leader {
    /// Begins a term with what the ledger holds after the record that began it.
    #[must_use]
    pub fn new(epoch: u64, node: Name, now: Now, ledger: &Ledger, settings: Settings) -> Self {
        let bound = settings.renew_ms + settings.upper_ms(settings.lease_ms);
        let mut leader = Self {
            epoch,
            queues: Table::default(),
            accounts: Table::default(),
            evacuated: Vec::new(),
            minions: Table::default(),
            jobs: Table::default(),
            rates: Table::default(),
            advisers: Advisers::new(node),
            strays: Vec::new(),
            gates: Vec::new(),
            in_flight: None,
            batches: 0,
            removed: Vec::new(),
            ended: Table::default(),
            confirmed: now.time,
            inherited: now.time + bound,
            deposed: false,
            blocked: BlockedSteps::default(),
            usable: Vec::new(),
            commands: Vec::new(),
            settings,
        };
        let mut keys: Vec<JobKey> = ledger.jobs().map(|(key, _)| key).collect();
        keys.sort_by_key(|key| ledger.submission(*key).map(|s| s.accepted_ms));
        for key in keys {
            leader.sync_job(key, now, ledger);
        }
        leader
    }

    /// Returns the number of the term.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns whether another leader has been seen, so that this one has to stop.
    #[must_use]
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Notes that another leader has been seen.
    pub fn depose(&mut self) {
        self.deposed = true;
    }

    /// Takes over a new version of the configuration.
    ///
    /// Queues and accounts that the version no longer has are kept, since their accepted jobs
    /// still run.
    pub fn set_config(&mut self, config: &Config) {
        for queue in &config.queues {
            self.queues.insert(queue.name.clone(), queue.clone());
        }
        for account in &config.accounts {
            self.accounts.insert(account.name.clone(), account.clone());
        }
    }

    /// Sets the availability zones in which nothing may be started.
    pub fn set_evacuated(&mut self, zones: Vec<Name>) {
        self.evacuated = zones;
    }

    /// Sets the instances that may be asked for advice.
    pub fn set_members(&mut self, names: Vec<Name>) {
        self.advisers.set_members(names);
    }

    /// Takes over what the ledger now says of a job: that it was submitted or cancelled.
    pub fn sync_job(&mut self, key: JobKey, now: Now, ledger: &Ledger) {
        let Some(submission) = ledger.submission(key) else {
            return;
        };
        if !self.is_known(key) {
            let progress = ledger.progress(key);
            let ended = progress.is_some_and(|p| p.outcome.is_some() && p.tasks.is_empty());
            if ended {
                return;
            }
            self.add(key, now, submission, progress);
        }
        if ledger.is_cancelled(key) {
            self.cancel(key, now);
        }
    }

    /// Returns whether the job is or was active in this term.
    fn is_known(&self, key: JobKey) -> bool {
        self.jobs.get(&key).is_some() || self.ended.get(&key).is_some()
    }

    /// Takes over a job that has just become durable.
    pub fn submit(&mut self, key: JobKey, submission: &Submission, now: Now) {
        if !self.is_known(key) {
            self.add(key, now, submission, None);
        }
    }

    fn add(&mut self, key: JobKey, now: Now, submission: &Submission, progress: Option<&Progress>) {
        let spec = &submission.spec;
        let total = spec.task_count() * spec.occurrences() as usize;
        let mut tasks: Vec<TaskProgress> = progress.map(|p| p.tasks.clone()).unwrap_or_default();
        tasks.resize_with(total, TaskProgress::default);
        let excess = self.is_excess(submission.account.as_ref(), now);
        let active = Active {
            key,
            queue: submission.queue.clone(),
            account: submission.account.clone(),
            spec: spec.clone(),
            chains: spec.critical_paths_ms(),
            accepted_ms: submission.accepted_ms,
            excess,
            cancelled: false,
            begun: progress.is_some_and(|p| p.begun),
            outcome: progress.and_then(|p| p.outcome),
            ended_ms: progress.map_or(0, |p| p.ended_ms),
            tasks,
            counted: Vec::new(),
            failed_on: Vec::new(),
            moved: Vec::new(),
            dirty: false,
        };
        self.inherit(&active, now);
        self.jobs.insert(key, active);
    }

    /// Counts the runs of a job that an earlier leader has placed.
    fn inherit(&mut self, job: &Active, now: Now) {
        for (step, index) in task_keys(job) {
            let task = TaskKey { step, index };
            let Some(at) = job.spec.position(task) else {
                continue;
            };
            let Placement::Minion(name) = &job.tasks[at].placement else {
                continue;
            };
            let run = minion::Run {
                task,
                number: job.tasks[at].run,
                amount: job.amount(step),
                account: job.account.clone(),
                phase: minion::Phase::Inherited,
                since: now.time,
            };
            let lapse = self.inherited;
            let unknown = || Minion::new(directory::unlisted(name.clone()), now.time, lapse);
            let minion = match self.minions.get_mut(name) {
                Some(minion) => minion,
                None => self.minions.or_insert(name.clone(), unknown()),
            };
            minion.lapse = minion.lapse.max(lapse);
            minion.runs.push(run);
        }
    }

    /// Returns whether an account has submitted more than its share promises when all is full.
    fn is_excess(&mut self, account: Option<&Name>, now: Now) -> bool {
        let Some(account) = account else {
            return false;
        };
        let weight = self.accounts.get(account).map_or(0, |a| a.weight);
        let rate = Rate::new(weight, now.time);
        !self
            .rates
            .or_insert(account.clone(), rate)
            .take(weight, now.time)
    }

    /// Stops everything of a job that its caller has cancelled.
    pub fn cancel(&mut self, key: JobKey, now: Now) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        if job.cancelled || job.outcome.is_some() {
            return;
        }
        job.cancelled = true;
        job.settle(now);
        self.stop_job(key, now);
    }

    /// Does what is due and returns what has to be done outside.
    pub fn tick(&mut self, now: Now) -> Vec<Command> {
        self.expire(now);
        self.schedule(now);
        self.hold_minions(now);
        std::mem::take(&mut self.commands)
    }

    /// Notes that the ledger has dropped jobs that ended long ago.
    pub fn prune_ended(&mut self, ledger: &Ledger, now: Now) {
        let before = now.wall_ms.saturating_sub(self.settings.retention_ms);
        let old: Vec<JobKey> = ledger.ended_before(before).take(100).collect();
        for key in &old {
            self.ended.remove(key);
        }
        self.removed.extend(old);
    }

    /// Returns what the leader knows, in numbers.
    #[must_use]
    pub fn counts(&self, now: Now) -> Counts {
        let minions = || self.minions.iter().map(|(_, m)| m);
        let runs = || minions().flat_map(|m| &m.runs);
        let usable = || minions().filter(|m| m.is_usable(now.time, &self.settings));
        Counts {
            jobs: self.jobs.len(),
            runs: runs().count(),
            usable: usable().count(),
            minions: self.minions.len(),
            unconfirmed: runs().filter(|r| r.phase == minion::Phase::Unsure).count(),
            advice_calls: self.advisers.asking(),
            blocked: self.blocked,
            used_cores: usable().map(Minion::used_cores).sum(),
            all_cores: usable().map(|m| m.entry.capacity.cores_milli).sum(),
        }
    }
}

/// Returns the step and the index of each task of a job.
fn task_keys(job: &Active) -> Vec<(StepKey, u32)> {
    let mut keys = Vec::with_capacity(job.tasks.len());
    for occurrence in 0..job.spec.occurrences() {
        for (i, step) in job.spec.steps.iter().enumerate() {
            let key = StepKey {
                job: job.key,
                occurrence,
                step: u32::try_from(i).unwrap_or(u32::MAX),
            };
            keys.extend((0..step.count).map(|index| (key, index)));
        }
    }
    keys
}
