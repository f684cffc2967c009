//! The leader of a cell, which schedules tasks onto minions.
//!
//! The leader is a state machine. It receives the answers of minions, the log and the advice
//! service, and returns [`Command`]s. A start is sent only after the record of the run is durable,
//! so a successor knows every minion on which a task may be running.

mod active;
mod advice;
mod advice_calls;
mod advice_queue;
mod advice_share;
mod advice_usage;
mod command;
mod commit;
mod directory;
mod dispatch;
pub mod durations;
mod gang_calls;
mod idle;
mod inheritance;
mod learning;
mod leases;
mod limit_waits;
mod minion;
mod preempt;
mod preemptions;
mod quota;
mod rate;
mod ready;
mod room;
mod runs;
mod schedule;
mod settings;
mod stragglers;
mod withdrawals;

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_state::table::Table;
use primrosebay_state::time::Time;

use active::{ActiveJob, Changes, Wait, Waits};
use advice::AdviceState;
pub use advice_share::{CallShares, SHARE_WINDOW_MS, Urgency, Waiter};
pub use advice_usage::{CallCounts, CallUsage};
pub use command::{
    ActiveRun, Advice, Batch, Command, DirectoryChange, DirectoryEntry, End, EndedRun, HoldAnswer,
    HoldReport, Now, Refusal, Start, StartAnswer,
};
use commit::Deferred;
use durations::Durations;
pub use idle::{
    IdleCause, IdleCounts, IdleDetail, IdleJob, IdleReport, PendingDetail, RunDetail, TaskStates,
};
use inheritance::Inheritance;
use limit_waits::LimitWaits;
use minion::Minion;
use preemptions::Preemptions;
pub use preemptions::{PreemptionCount, PreemptionCounts};
use quota::QuotaUsage;
use rate::TokenBucket;
use ready::{ReadyQueue, SortKey};
use room::Room;
pub use settings::Settings;
use withdrawals::Withdrawals;

use crate::config::{Config, Queue};
use crate::job::{JobKey, StepKey, TaskKey};
use crate::ledger::Ledger;
use crate::record::{Placement, Progress, Submission, TaskProgress};

/// Interval of the sweep that looks for what has expired on any minion, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 30;

/// Counts of the leader's jobs, runs and minions, for metrics and the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs that have not ended, or have runs that may still be on a minion.
    pub jobs: usize,
    /// Runs that are or may be on a minion.
    pub runs: usize,
    /// Minions that accept new tasks, including those in evacuated zones.
    pub usable: usize,
    /// All known minions, including those that accept no new tasks.
    pub minions: usize,
    /// Runs whose start, or the answer to it, was lost.
    pub unconfirmed: usize,
    /// Runs that were ordered to stop in this term and whose end is not known yet.
    pub stopping: usize,
    /// Runs of ended jobs and broken gangs that were not ordered to stop in this term.
    pub unstopped: usize,
    /// Advice calls in flight.
    pub advice_calls: usize,
    /// Runs on silent minions, whose tasks can be restarted only once all leases there have expired.
    pub silent_runs: usize,
    /// Longest time until the tasks of these runs can be restarted, in milliseconds.
    pub lease_wait_ms: u64,
    /// Steps that could not be started in full in the last pass.
    pub blocked: BlockedSteps,
    /// CPU that runs take or may take on usable minions, in thousandths of a core.
    pub used_milli: u64,
    /// CPU capacity of usable minions, in thousandths of a core.
    pub total_milli: u64,
}

/// Numbers of steps that could not be started in full in the last scheduling pass, by the cause
/// that blocks them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BlockedSteps {
    /// Steps blocked by the account's limit.
    pub limit: usize,
    /// Steps that wait for an answer of the advice service.
    pub advice: usize,
    /// Steps that wait for an instance that can call the advice service.
    pub advice_client: usize,
    /// Steps that wait for free resources on minions.
    pub capacity: usize,
    /// Steps that the pass did not examine.
    pub unexamined: usize,
    /// Steps that the pass examined.
    pub examined: usize,
    /// CPU charged to the limits of accounts for steps that wait, in thousandths of a core.
    pub charged_milli: u64,
}

impl BlockedSteps {
    /// Counts a step that this cause blocks.
    fn count(&mut self, cause: Wait) {
        let count = match cause {
            Wait::Limit => &mut self.limit,
            Wait::Advice => &mut self.advice,
            Wait::Client => &mut self.advice_client,
            Wait::Room => &mut self.capacity,
        };
        *count += 1;
    }
}

/// Schedules the tasks of a cell during one leadership term.
#[derive(Debug)]
pub struct Leader {
    epoch: u64,
    settings: Settings,
    queues: Table<Name, Queue>,
    /// Queues as the log has them.
    saved_queues: Table<Name, Queue>,
    /// Names of queues with jobs, whose records may be out of date. Sorted.
    unsaved_queues: Vec<Name>,
    accounts: Table<Name, crate::config::Account>,
    evacuated: Vec<Name>,
    /// Whether the configuration is known, and with it the limits of the accounts.
    is_configured: bool,
    minions: Table<Name, Minion>,
    /// Generation with which the commands to a new minion begin: above those of minions that were
    /// removed.
    first_generation: u32,
    /// Boxed, since an insertion moves the entries behind it.
    jobs: Table<JobKey, Box<ActiveJob>>,
    buckets: Table<Name, TokenBucket>,
    advice: AdviceState,
    /// Tasks with runs that minions report but the leader has not placed there.
    orphans: Vec<TaskKey>,
    deferred: Vec<Deferred>,
    in_flight: Option<(u64, Vec<Deferred>)>,
    last_batch: u64,
    /// Ended jobs that the next batch removes from the log.
    purged: Vec<JobKey>,
    withdrawals: Withdrawals,
    /// Jobs that ended in this term. The ledger may still show them as active.
    ended_jobs: Table<JobKey, ()>,
    /// Time at which the latest durable append was sent. Its success proved that this instance
    /// still led.
    confirmed_at: Time,
    inheritance: Inheritance,
    /// Time of the last pass.
    last_tick: Time,
    /// Whether the next claim has to be appended at once because of the lease waits that it holds.
    waits_due: bool,
    deposed: bool,
    blocked: BlockedSteps,
    /// Usage of the accounts at the end of the last pass, for the report of idle jobs.
    last_quota: Option<QuotaUsage>,
    limit_waits: LimitWaits,
    preemptions: Preemptions,
    /// Steps with tasks that can be started.
    ready: ReadyQueue,
    /// Position of the step with which the rotation of the next pass begins; none for the first one
    /// that is left over.
    next_rotated: Option<(SortKey, StepKey)>,
    /// Jobs with changes that have not been processed yet.
    changes: Changes,
    /// Free resources of the usable minions.
    room: Room,
    /// Resources that runs of each account take or may take.
    usage: Table<Name, Resources>,
    /// Expected run times.
    durations: Durations,
    /// Minions that may be due for a hold before the next sweep.
    hold_next: Vec<Name>,
    /// Time of the next sweep over all minions.
    next_sweep: Time,
    commands: Vec<Command>,
}

impl Leader {
    /// Starts a leadership term from the state of the ledger after the claim that began it.
    #[must_use]
    pub fn new(epoch: u64, node: Name, now: Now, ledger: &Ledger, settings: Settings) -> Self {
        let inheritance = Inheritance::new(now.time, &settings);
        let mut leader = Self {
            epoch,
            queues: Table::default(),
            saved_queues: Table::default(),
            unsaved_queues: Vec::new(),
            accounts: Table::default(),
            evacuated: Vec::new(),
            is_configured: false,
            minions: Table::default(),
            first_generation: 0,
            jobs: Table::default(),
            buckets: Table::default(),
            advice: AdviceState::new(node),
            orphans: Vec::new(),
            deferred: Vec::new(),
            in_flight: None,
            last_batch: 0,
            purged: Vec::new(),
            withdrawals: Withdrawals::default(),
            ended_jobs: Table::default(),
            confirmed_at: now.time,
            inheritance,
            last_tick: now.time,
            waits_due: false,
            deposed: false,
            blocked: BlockedSteps::default(),
            last_quota: None,
            limit_waits: LimitWaits::default(),
            preemptions: Preemptions::default(),
            ready: ReadyQueue::default(),
            next_rotated: None,
            changes: Changes::default(),
            room: Room::default(),
            usage: Table::default(),
            durations: Durations::default(),
            hold_next: Vec::new(),
            next_sweep: now.time,
            commands: Vec::new(),
            settings,
        };
        for queue in ledger.queues() {
            leader.queues.insert(queue.name.clone(), queue.clone());
            leader
                .saved_queues
                .insert(queue.name.clone(), queue.clone());
        }
        leader.restore_durations(ledger, now.time);
        let mut keys: Vec<JobKey> = ledger.jobs().map(|(key, _)| key).collect();
        keys.sort_by_key(|key| ledger.submission(*key).map(|s| s.accepted_ms));
        for key in keys {
            leader.sync_job(key, now, ledger);
        }
        leader
    }

    /// Returns the epoch of the term.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns whether a leader with a higher epoch has been seen, so that this one has to stop.
    #[must_use]
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Returns whether the leader knows this minion, listed or not.
    #[must_use]
    pub fn has_minion(&self, name: &Name) -> bool {
        self.minions.get(name).is_some()
    }

    /// Marks the leader as superseded by another one.
    pub fn depose(&mut self) {
        self.deposed = true;
    }

    /// Applies a new version of the configuration. Before the first one the leader starts no tasks,
    /// since it knows no limits of accounts; it renews leases, applies ends and stops runs.
    ///
    /// Queues and accounts that are missing from it are kept, since their accepted jobs still run.
    pub fn set_config(&mut self, config: &Config) {
        if !std::mem::replace(&mut self.is_configured, true) {
            log::info!(epoch = self.epoch, version = config.version; "leader: configuration known, tasks may start");
        }
        for queue in &config.queues {
            self.queues.insert(queue.name.clone(), queue.clone());
        }
        for account in &config.accounts {
            self.accounts.insert(account.name.clone(), account.clone());
        }
        self.update_lossless();
        self.room.mark_stale();
        for (key, job) in self.jobs.iter_mut() {
            if !std::mem::replace(&mut job.is_changed, true) {
                self.changes.unsorted.push(*key);
            }
            insert_sorted(&mut self.unsaved_queues, &job.queue);
        }
    }

    /// Sets the evacuated availability zones, in which no tasks may be started. `zones` must be
    /// sorted.
    pub fn set_evacuated(&mut self, zones: Vec<Name>) {
        self.evacuated = zones;
        self.room.mark_stale();
    }

    /// Sets the instances that can call the advice service.
    pub fn set_members(&mut self, names: Vec<Name>) {
        self.advice.set_members(names);
    }

    /// Returns what the advice calls of each queue have cost and brought since the last call of this
    /// function.
    pub fn take_call_usage(&mut self) -> CallUsage {
        self.advice.take_usage()
    }

    /// Applies the submission or cancellation of a job from the ledger.
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

    /// Returns whether the current runs of a step have to stop.
    fn must_stop(&self, step: StepKey) -> bool {
        self.jobs.get(&step.job).is_some_and(|j| j.must_stop(step))
    }

    /// Returns whether the job is or was active in this term.
    fn is_known(&self, key: JobKey) -> bool {
        self.jobs.get(&key).is_some() || self.ended_jobs.get(&key).is_some()
    }

    /// Adds a job whose submission has just become durable.
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
        let over_share = self.exceeds_share(submission.account.as_ref(), now);
        let mut active = ActiveJob {
            key,
            queue: submission.queue.clone(),
            account: submission.account.clone(),
            spec: spec.clone(),
            remaining_paths: spec.remaining_paths_ms(&spec.estimates_ms()),
            expected: spec.estimates_ms(),
            accepted_ms: submission.accepted_ms,
            known_ms: now.wall_ms.saturating_sub(submission.accepted_ms),
            ran_until: now.time,
            objective: 0,
            runs: Vec::new(),
            planned: None,
            over_share,
            cancelled: false,
            begun: progress.is_some_and(|p| p.begun),
            outcome: progress.and_then(|p| p.outcome),
            ended_ms: progress.map_or(0, |p| p.ended_ms),
            tasks,
            counted_runs: Vec::new(),
            failed_on: Vec::new(),
            moved: Vec::new(),
            preempted: Vec::new(),
            searched: Vec::new(),
            is_dirty: false,
            is_changed: true,
            waits: Waits::default(),
        };
        if let Some(outcome) = active.outcome {
            log::info!(
                job:% = key, outcome:? = outcome, placed = active.placed_tasks(),
                epoch = self.epoch;
                "leader: ended job adopted with tasks on minions"
            );
        }
        if self.uses_durations() {
            active.update_expected(&self.durations);
        }
        self.adopt_runs(&active, now);
        insert_sorted(&mut self.unsaved_queues, &active.queue);
        self.changes.unsorted.push(key);
        self.jobs.insert(key, Box::new(active));
    }

    /// Adds the runs of a job that earlier leaders have placed.
    fn adopt_runs(&mut self, job: &ActiveJob, now: Now) {
        for (step, index) in task_keys(job) {
            let task = TaskKey { step, index };
            let Some(position) = job.spec.position(task) else {
                continue;
            };
            let Placement::Minion(name) = &job.tasks[position].placement else {
                continue;
            };
            let run = minion::Run {
                task,
                number: job.tasks[position].run,
                amount: job.amount(step),
                account: job.account.clone(),
                duration: job.duration_ms(step),
                phase: minion::Phase::Inherited,
                saved_at: None,
                preemptions: 0,
                // Set once the queues are known.
                lossless: None,
                updated_at: now.time,
                until_ms: 0,
                generation: 0,
                ticket: None,
                attempts: minion::Attempts::default(),
                resumed: false,
                expiry: Time(0),
            };
            let expiry = self.inherited_expiry(name);
            let generation = self.first_generation;
            let new_minion =
                || Minion::new(directory::placeholder(name.clone()), generation, now.time);
            let minion = match self.minions.get_mut(name) {
                Some(minion) => minion,
                None => self.minions.or_insert(name.clone(), new_minion()),
            };
            minion.inherited = if minion.fenced {
                expiry.min(now.time + self.settings.upper_ms(self.settings.lease_ms))
            } else {
                expiry
            };
            self.room.mark_stale();
            let name = name.clone();
            self.add_run(&name, run);
        }
    }

    /// Counts a job against the account's submission rate and returns whether it exceeds the rate
    /// promised by the account's share.
    fn exceeds_share(&mut self, account: Option<&Name>, now: Now) -> bool {
        let Some(account) = account else {
            return false;
        };
        let weight = self.accounts.get(account).map_or(0, |a| a.weight);
        let bucket = TokenBucket::new(weight, now.time);
        !self
            .buckets
            .or_insert(account.clone(), bucket)
            .take(weight, now.time)
    }

    /// Cancels a job and stops its runs.
    pub fn cancel(&mut self, key: JobKey, now: Now) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        if job.cancelled || job.outcome.is_some() {
            return;
        }
        job.cancelled = true;
        job.update_outcome(&mut self.changes, now);
        self.stop_job(key, now);
    }

    /// Advances the state to `now` and returns the commands to carry out.
    pub fn tick(&mut self, now: Now) -> Vec<Command> {
        self.last_tick = now.time;
        let is_sweep = now.time >= self.next_sweep;
        if is_sweep {
            self.next_sweep = now.time + SWEEP_INTERVAL_MS;
            self.expire(now);
        }
        self.schedule(now);
        self.hold_minions(is_sweep, now);
        std::mem::take(&mut self.commands)
    }

    /// Schedules ended jobs whose retention time has passed for removal from the log, at most 100
    /// per call.
    pub fn prune_ended(&mut self, ledger: &Ledger, now: Now) {
        let before = now.wall_ms.saturating_sub(self.settings.retention_ms);
        let old: Vec<JobKey> = ledger.ended_before(before).take(100).collect();
        for key in &old {
            self.ended_jobs.remove(key);
        }
        self.purged.extend(old);
    }

    /// Schedules cancellations of jobs that were never submitted for removal from the log once their
    /// retention time has passed.
    pub fn prune_withdrawn(&mut self, ledger: &Ledger, now: Now) {
        let retention_ms = self.settings.retention_ms;
        self.withdrawals.update(ledger, retention_ms, now.time);
    }

    /// Returns the counts of preempted runs since the last call.
    pub fn take_preemptions(&mut self) -> PreemptionCounts {
        self.preemptions.take_counts()
    }

    /// Returns counts for metrics.
    #[must_use]
    pub fn counts(&self, now: Now) -> Counts {
        let minions = || self.minions.iter().map(|(_, m)| m);
        let runs = || minions().flat_map(|m| &m.runs);
        let usable = || minions().filter(|m| m.is_usable(now.time, &self.settings));
        let stopping = |r: &&minion::Run| matches!(r.phase, minion::Phase::Stopping(..));
        let must_stop = |name: &Name, r: &minion::Run| {
            self.placed_run(name, r.task, r.number).is_some() && self.must_stop(r.task.step)
        };
        let unstopped = |(name, m): (&Name, &Minion)| {
            let unstopped = m.runs.iter().filter(|r| !stopping(r));
            unstopped.filter(|r| must_stop(name, r)).count()
        };
        let silent = || minions().filter(|m| m.is_silent(now.time, &self.settings));
        let lease_waits = silent().filter_map(|m| m.runs.iter().map(|r| m.restart_at(r)).max());
        Counts {
            jobs: self.jobs.len(),
            runs: runs().count(),
            usable: usable().count(),
            minions: self.minions.len(),
            unconfirmed: runs()
                .filter(|r| r.phase == minion::Phase::Unconfirmed)
                .count(),
            stopping: runs().filter(stopping).count(),
            unstopped: self.minions.iter().map(unstopped).sum(),
            advice_calls: self.advice.pending_calls(),
            silent_runs: silent().map(|m| m.runs.len()).sum(),
            lease_wait_ms: lease_waits.map(|at| at.since(now.time)).max().unwrap_or(0),
            blocked: self.blocked,
            used_milli: usable()
                .map(Minion::used_milli)
                .fold(0, u64::saturating_add),
            total_milli: usable()
                .map(|m| m.entry.capacity.cores_milli)
                .fold(0, u64::saturating_add),
        }
    }
}

/// Inserts a name into a sorted list unless it is there already.
fn insert_sorted(names: &mut Vec<Name>, name: &Name) {
    if let Err(index) = names.binary_search(name) {
        names.insert(index, name.clone());
    }
}

/// Returns the step and index of each task of a job.
fn task_keys(job: &ActiveJob) -> Vec<(StepKey, u32)> {
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
