//! Report of the jobs that have nothing running although a step could run, and what they wait for.
//!
//! The report is for the log and the metrics. Nothing in it influences scheduling.

use std::fmt;

use primrosebay_state::Name;
use primrosebay_state::table::Table;
use primrosebay_state::time::Time;

use super::Leader;
use super::active::{ActiveJob, Wait};
use super::command::Now;
use super::minion::{Minion, Phase};
use super::schedule::total_slots;
use crate::job::{JobKey, StepKey, TaskKey};
use crate::record::{Placement, TaskProgress};

/// Time for which a job has to be idle to be reported, in milliseconds. Shorter waits occur with
/// each start.
const MIN_IDLE_MS: u64 = 1_000;

/// Time for which a step counts as examined after a pass has noted what its job waits for, in
/// milliseconds. Steps that are examined again only later than that are hidden by others.
const EXAMINED_MS: u64 = 300;

/// What the task of an idle job waits for. Later causes usually take longer until the task runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum IdleCause {
    /// The record of the run is not durable yet.
    Commit,
    /// The start was sent and has no answer yet.
    StartSent,
    /// The start, or the answer to it, was lost. The next answer to a hold tells which.
    StartUnconfirmed,
    /// An earlier leader placed the run, and the minion has not confirmed it in this term.
    Inherited,
    /// An advice call is in flight.
    AdviceCall,
    /// No instance is free to call the advice service.
    AdviceClient,
    /// The limit of the account is used up.
    Limit,
    /// No minion that may run the task has enough free resources.
    Room,
    /// No recent pass has examined the step.
    Unexamined,
    /// Other tasks of the gang have to end before it can be started again.
    Gang,
    /// The minion has acknowledged a stop and has not reported the end of the run yet.
    StopAnswered,
    /// The minion has not acknowledged a stop.
    StopUnanswered,
    /// A minion reports a run of the task that the leader has not placed there.
    UnexpectedRun,
    /// The minion does not answer, so the leases there have to expire.
    SilentMinion,
    /// The task counts as placed, and the leader knows no run of it.
    MissingRun,
    /// The leader does not know the queue.
    UnknownQueue,
    /// The leader has not read the configuration since its process started.
    Configuration,
}

impl IdleCause {
    /// All causes, in their order.
    pub const ALL: [Self; 17] = [
        Self::Commit,
        Self::StartSent,
        Self::StartUnconfirmed,
        Self::Inherited,
        Self::AdviceCall,
        Self::AdviceClient,
        Self::Limit,
        Self::Room,
        Self::Unexamined,
        Self::Gang,
        Self::StopAnswered,
        Self::StopUnanswered,
        Self::UnexpectedRun,
        Self::SilentMinion,
        Self::MissingRun,
        Self::UnknownQueue,
        Self::Configuration,
    ];

    /// Returns the name of the cause in the log and the metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Commit => "commit",
            Self::StartSent => "start_sent",
            Self::StartUnconfirmed => "start_unconfirmed",
            Self::Inherited => "inherited",
            Self::AdviceCall => "advice_call",
            Self::AdviceClient => "advice_client",
            Self::Limit => "limit",
            Self::Room => "room",
            Self::Unexamined => "unexamined",
            Self::Gang => "gang",
            Self::StopAnswered => "stop_answered",
            Self::StopUnanswered => "stop_unanswered",
            Self::UnexpectedRun => "unexpected_run",
            Self::SilentMinion => "silent_minion",
            Self::MissingRun => "missing_run",
            Self::UnknownQueue => "unknown_queue",
            Self::Configuration => "configuration",
        }
    }
}

impl From<Wait> for IdleCause {
    fn from(wait: Wait) -> Self {
        match wait {
            Wait::Limit => Self::Limit,
            Wait::Advice => Self::AdviceCall,
            Wait::Client => Self::AdviceClient,
            Wait::Room => Self::Room,
        }
    }
}

/// Numbers of the tasks of a step by state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TaskStates {
    /// Tasks that are not placed.
    pub pending: usize,
    /// Tasks whose run is being recorded.
    pub committing: usize,
    /// Tasks whose start has no answer yet.
    pub sent: usize,
    /// Tasks whose start, or the answer to it, was lost.
    pub unconfirmed: usize,
    /// Tasks with a run of an earlier leader that is not confirmed.
    pub inherited: usize,
    /// Tasks with a run that was confirmed, on a minion that does not answer any more.
    pub running: usize,
    /// Tasks with a run that was ordered to stop.
    pub stopping: usize,
    /// Tasks that count as placed without a run that the leader knows.
    pub missing: usize,
    /// Tasks that are done.
    pub done: usize,
}

impl TaskStates {
    fn count(&mut self, phase: Phase) {
        let count = match phase {
            Phase::Committing => &mut self.committing,
            Phase::Sent => &mut self.sent,
            Phase::Unconfirmed => &mut self.unconfirmed,
            Phase::Inherited => &mut self.inherited,
            Phase::Running(_) => &mut self.running,
            Phase::Stopping(..) => &mut self.stopping,
        };
        *count += 1;
    }
}

impl fmt::Display for TaskStates {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let states = [
            ("pending", self.pending),
            ("committing", self.committing),
            ("sent", self.sent),
            ("unconfirmed", self.unconfirmed),
            ("inherited", self.inherited),
            ("running", self.running),
            ("stopping", self.stopping),
            ("missing", self.missing),
            ("done", self.done),
        ];
        write_nonzero(f, states)
    }
}

/// Writes the numbers above 0 as `name=number`, separated by spaces.
fn write_nonzero<const N: usize>(
    f: &mut fmt::Formatter<'_>,
    numbers: [(&str, usize); N],
) -> fmt::Result {
    let mut separator = "";
    for (name, number) in numbers.into_iter().filter(|n| n.1 > 0) {
        write!(f, "{separator}{name}={number}")?;
        separator = " ";
    }
    Ok(())
}

/// What is known of a pending task.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PendingDetail {
    /// Time since a pass noted what the job waits for, in milliseconds; none if the last pass that
    /// examined it placed a task, or none has examined it.
    pub examined_ms: Option<u64>,
    /// Whether the step is among those that can be started.
    pub ready: bool,
    /// Instance that makes the advice call in flight, and the time since it was asked, in
    /// milliseconds.
    pub call: Option<(Name, u64)>,
    /// Minimum number of tasks with which the step can start.
    pub needed: u32,
    /// Number of tasks that fit now on minions that the advice allows; on any if the queue needs no
    /// advice.
    pub fitting: u64,
    /// Number of tasks that fit on any minion after all stops and preemption.
    pub fitting_later: u64,
    /// Minions that the advice allows.
    pub allowed: usize,
    /// Minions named in an answered advice call.
    pub queried: usize,
    /// Minions with a valid ticket.
    pub ticketed: usize,
    /// Calls of the step in a row on whose tickets no task was placed.
    pub vain: u32,
    /// Time for which no call of the step has been worth its time, in milliseconds.
    pub denied_ms: u64,
    /// Call time of the queue within the window of the shares, in milliseconds.
    pub share_ms: u64,
    /// CPU that runs of the account take or may take, in thousandths of a core.
    pub used_milli: u64,
    /// CPU charged to the account at the end of the last pass, including that for steps that wait,
    /// in thousandths of a core.
    pub charged_milli: u64,
    /// CPU limit of the account, in thousandths of a core; 0 for no limit.
    pub limit_milli: u64,
}

impl fmt::Display for PendingDetail {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "needed={} fitting={} fitting_later={} allowed={} queried={} ticketed={} ready={}",
            self.needed,
            self.fitting,
            self.fitting_later,
            self.allowed,
            self.queried,
            self.ticketed,
            self.ready
        )?;
        if let Some(ms) = self.examined_ms {
            write!(f, " examined_ms={ms}")?;
        }
        if let Some((node, ms)) = &self.call {
            write!(f, " node={node} asked_ms={ms}")?;
        }
        let calls = [
            ("vain", u64::from(self.vain)),
            ("denied_ms", self.denied_ms),
            ("share_ms", self.share_ms),
        ];
        for (name, number) in calls.into_iter().filter(|n| n.1 > 0) {
            write!(f, " {name}={number}")?;
        }
        if self.limit_milli > 0 {
            write!(
                f,
                " used_milli={} charged_milli={} limit_milli={}",
                self.used_milli, self.charged_milli, self.limit_milli
            )?;
        }
        Ok(())
    }
}

/// What is known of a run that is or may be on a minion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunDetail {
    /// Name of the minion.
    pub minion: Name,
    /// Number of the run.
    pub run: u32,
    /// Time since the last change of the run's state, in milliseconds: since its stop was sent or
    /// acknowledged; for other runs the same as `run_ms`.
    pub state_ms: u64,
    /// Time since this leader placed the run, sent its start or added it, in milliseconds.
    pub run_ms: u64,
    /// Time since the minion answered a hold, in milliseconds; none if it has not in this term.
    pub seen_ms: Option<u64>,
    /// Time until the task can be restarted if the minion stays silent, in milliseconds; none if
    /// the minion is not silent.
    pub restart_ms: Option<u64>,
    /// Whether the directory lists the minion.
    pub listed: bool,
    /// Time since the latest durable append was sent, in milliseconds.
    pub durable_ms: u64,
}

impl fmt::Display for RunDetail {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "minion={} minion_run={} state_ms={} run_ms={} listed={} durable_ms={}",
            self.minion, self.run, self.state_ms, self.run_ms, self.listed, self.durable_ms
        )?;
        if let Some(ms) = self.seen_ms {
            write!(f, " seen_ms={ms}")?;
        }
        if let Some(ms) = self.restart_ms {
            write!(f, " restart_ms={ms}")?;
        }
        Ok(())
    }
}

/// What is known of the task of an idle job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IdleDetail {
    /// The task is pending.
    Pending(PendingDetail),
    /// A run of the task is or may be on a minion.
    Run(RunDetail),
    /// The leader knows neither the queue nor a run of the task.
    Unknown,
}

impl fmt::Display for IdleDetail {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Pending(detail) => detail.fmt(f),
            Self::Run(detail) => detail.fmt(f),
            Self::Unknown => Ok(()),
        }
    }
}

/// A job that has nothing running although a step could run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdleJob {
    /// The task that is expected to run last, among those of the steps that could run.
    pub task: TaskKey,
    /// Number of the last run of the task.
    pub run: u32,
    /// Queue of the job.
    pub queue: Name,
    /// Account of the job.
    pub account: Option<Name>,
    /// Time for which nothing has been running in this term, in milliseconds.
    pub idle_ms: u64,
    /// Time since the job was accepted, in milliseconds.
    pub age_ms: u64,
    /// Tasks of the step by state.
    pub states: TaskStates,
    /// What the task waits for.
    pub cause: IdleCause,
    /// What is known of the task.
    pub detail: IdleDetail,
}

impl IdleJob {
    fn log(&self, epoch: u64) {
        let step = self.task.step;
        log::info!(
            job:% = step.job, step:% = step, task:% = self.task, run = self.run,
            queue:% = self.queue, account:% = self.account.as_deref().unwrap_or_default(),
            idle_ms = self.idle_ms, age_ms = self.age_ms, states:% = self.states,
            cause = self.cause.name(), detail:% = self.detail, epoch;
            "leader: job idle"
        );
    }
}

/// Numbers of idle jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct IdleCounts {
    /// Idle jobs.
    pub jobs: usize,
    /// Longest time for which one of them has been idle, in milliseconds.
    pub longest_ms: u64,
    /// Idle jobs by cause, in the order of [`IdleCause::ALL`].
    by_cause: [usize; IdleCause::ALL.len()],
}

impl IdleCounts {
    /// Returns each cause with its number of idle jobs.
    pub fn causes(&self) -> impl Iterator<Item = (IdleCause, usize)> {
        IdleCause::ALL.into_iter().zip(self.by_cause)
    }
}

impl fmt::Display for IdleCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let causes = IdleCause::ALL.map(|c| (c.name(), self.by_cause[c as usize]));
        write_nonzero(f, causes)
    }
}

/// The idle jobs at some time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct IdleReport {
    /// Numbers of all idle jobs.
    pub counts: IdleCounts,
    /// The jobs that have been idle longest, among them one for each cause. The first one has been
    /// idle longest.
    pub jobs: Vec<IdleJob>,
}

impl IdleReport {
    /// Logs the jobs of the report, and how many others are idle.
    pub fn log(&self, epoch: u64) {
        for job in &self.jobs {
            job.log(epoch);
        }
        let others = self.counts.jobs - self.jobs.len();
        if others > 0 {
            log::info!(jobs = others, epoch; "leader: further jobs idle");
        }
    }
}

/// A run in the order of the tasks.
#[derive(Debug, Clone, Copy)]
struct KnownRun {
    task: TaskKey,
    number: u32,
    phase: Phase,
    updated_at: Time,
    /// Position of the minion.
    minion: usize,
    /// Time of the last answer of the minion.
    last_seen: Option<Time>,
    /// Time at which the task can be restarted; none if the minion is not silent.
    restart_at: Option<Time>,
}

/// What a task of an idle job waits for.
#[derive(Debug, Clone, Copy)]
struct TaskWait {
    cause: IdleCause,
    task: TaskKey,
    run: Option<KnownRun>,
}

impl TaskWait {
    /// Orders tasks by the time until they are expected to run.
    fn rank(&self) -> (IdleCause, Option<Time>) {
        (self.cause, self.run.and_then(|r| r.restart_at))
    }
}

/// An idle job before its details are collected.
#[derive(Debug)]
struct Found {
    job: JobKey,
    since: Time,
    wait: TaskWait,
    states: TaskStates,
}

impl Leader {
    /// Returns the jobs that have nothing running although the turn of a step has come, and what
    /// they wait for. Lists at most `limit` of them: for each cause the job that has been idle
    /// longest, then those that have been idle longest whatever the cause.
    ///
    /// Runs that were confirmed count as running unless their minion is silent. The end of a run by
    /// a stop or by the silence of its minion is noticed only by the next report, so `idle_ms` may
    /// then be too large by the time between two reports.
    pub fn report_idle(&mut self, limit: usize, now: Now) -> IdleReport {
        let runs = self.runs_by_task(now.time);
        self.note_running(&runs, now.time);
        let mut found: Vec<Found> = Vec::new();
        let mut counts = IdleCounts::default();
        for (key, job) in self.jobs.iter() {
            if job.ran_until >= now.time {
                continue;
            }
            let idle = self.find_idle(job, runs_of(&runs, *key), false, now);
            if let Some(idle) = idle.filter(|f| now.time.since(f.since) >= MIN_IDLE_MS) {
                counts.jobs += 1;
                counts.longest_ms = counts.longest_ms.max(now.time.since(idle.since));
                counts.by_cause[idle.wait.cause as usize] += 1;
                found.push(idle);
            }
        }
        let found = longest(found, limit);
        let jobs = found.iter().filter_map(|f| {
            let job = self.jobs.get(&f.job)?;
            let idle = self.find_idle(job, runs_of(&runs, f.job), true, now)?;
            self.describe(job, &idle, now)
        });
        let jobs = jobs.collect();
        IdleReport { counts, jobs }
    }

    /// Returns the runs on all minions, sorted by task.
    fn runs_by_task(&self, now: Time) -> Vec<KnownRun> {
        let mut found = Vec::new();
        for (index, (_, minion)) in self.minions.iter().enumerate() {
            let is_silent = minion.is_silent(now, &self.settings);
            found.extend(minion.runs.iter().map(|run| KnownRun {
                task: run.task,
                number: run.number,
                phase: run.phase,
                updated_at: run.updated_at,
                minion: index,
                last_seen: minion.last_seen,
                restart_at: is_silent.then(|| minion.restart_at(run)),
            }));
        }
        found.sort_unstable_by_key(|r| (r.task, r.number, r.minion));
        found
    }

    /// Notes for each job until when a task of it has been running.
    fn note_running(&mut self, runs: &[KnownRun], now: Time) {
        for run in runs {
            if !matches!(run.phase, Phase::Running(_)) {
                continue;
            }
            let until = if run.restart_at.is_none() {
                Some(now)
            } else {
                run.last_seen
            };
            let minions = &self.minions;
            let is_current = |job: &ActiveJob| placed_run(job, run.task, minions, &[*run]);
            if let Some(job) = self.jobs.get_mut(&run.task.step.job)
                && is_current(job).is_some()
            {
                job.ran_until = job.ran_until.max(until.unwrap_or_default());
            }
        }
    }

    /// Returns what a job without a running task waits for; none if no step can run now. Unless
    /// `all_tasks`, looks only at the first task of a step that is not done if the leader knows no
    /// run of the job: a backlog has many wide jobs, whose tasks all wait for the same.
    fn find_idle(
        &self,
        job: &ActiveJob,
        runs: &[KnownRun],
        all_tasks: bool,
        now: Now,
    ) -> Option<Found> {
        let mut latest: Option<(TaskWait, TaskStates)> = None;
        let mut since = None;
        for step in job.open_steps(now) {
            let due_ms = job.spec.due_ms(step.occurrence);
            let due_for = now.wall_ms.saturating_sub(due_ms);
            let due = Time(now.time.0.saturating_sub(due_for));
            since = since.or(Some(job.ran_until.max(due)));
            let found = if all_tasks || !runs.is_empty() {
                self.find_wait(job, step, runs, now)
            } else {
                self.first_wait(job, step, now)
            };
            let is_later = |f: &(TaskWait, TaskStates)| {
                latest.is_none_or(|(wait, _)| f.0.rank() > wait.rank())
            };
            latest = found.filter(is_later).or(latest);
        }
        let (wait, states) = latest?;
        Some(Found {
            job: job.key,
            since: since?,
            wait,
            states,
        })
    }

    /// Returns what the first task of a step waits for that is not done, if the leader knows no run
    /// of the job.
    fn first_wait(
        &self,
        job: &ActiveJob,
        step: StepKey,
        now: Now,
    ) -> Option<(TaskWait, TaskStates)> {
        let mut tasks = (0..).zip(&job.tasks[job.task_range(step)]);
        let (index, state) = tasks.find(|(_, t)| t.placement != Placement::Done)?;
        let cause = match state.placement {
            Placement::Pending => self.pending_cause(job, step, now),
            Placement::Minion(_) | Placement::Done => IdleCause::MissingRun,
        };
        let wait = TaskWait {
            cause,
            task: TaskKey { step, index },
            run: None,
        };
        Some((wait, TaskStates::default()))
    }

    /// Returns the task of a step that is expected to run last and what it waits for, and the states
    /// of all tasks.
    fn find_wait(
        &self,
        job: &ActiveJob,
        step: StepKey,
        runs: &[KnownRun],
        now: Now,
    ) -> Option<(TaskWait, TaskStates)> {
        let is_pending = |t: &TaskProgress| t.placement == Placement::Pending;
        let tasks = &job.tasks[job.task_range(step)];
        let gang = job.step(step).is_some_and(|s| s.gang);
        // The pending tasks of a gang wait for the others.
        let is_broken = gang && tasks.iter().any(is_pending) && !tasks.iter().all(is_pending);
        let mut states = TaskStates::default();
        let mut latest: Option<TaskWait> = None;
        let mut pending_cause = None;
        for (index, position) in (0..).zip(job.task_range(step)) {
            let task = TaskKey { step, index };
            let state = &job.tasks[position];
            let (cause, run) = match &state.placement {
                Placement::Done => {
                    states.done += 1;
                    continue;
                }
                Placement::Pending => {
                    states.pending += 1;
                    if let Some(run) = self.orphan(task, runs) {
                        (IdleCause::UnexpectedRun, Some(run))
                    } else if is_broken {
                        continue;
                    } else {
                        let cause = || self.pending_cause(job, step, now);
                        (*pending_cause.get_or_insert_with(cause), None)
                    }
                }
                Placement::Minion(_) => {
                    let run = placed_run(job, task, &self.minions, runs);
                    let cause = if let Some(run) = &run {
                        states.count(run.phase);
                        self.run_cause(run, now.time)
                    } else {
                        states.missing += 1;
                        IdleCause::MissingRun
                    };
                    (cause, run)
                }
            };
            let wait = TaskWait { cause, task, run };
            if latest.is_none_or(|l| wait.rank() > l.rank()) {
                latest = Some(wait);
            }
        }
        let mut latest = latest?;
        if is_broken && latest.cause < IdleCause::Gang {
            latest.cause = IdleCause::Gang;
        }
        Some((latest, states))
    }

    /// Returns a run of a pending task that the leader has not placed.
    fn orphan(&self, task: TaskKey, runs: &[KnownRun]) -> Option<KnownRun> {
        if !self.orphans.contains(&task) {
            return None;
        }
        runs.iter().find(|r| r.task == task).copied()
    }

    /// Returns what the pending tasks of a step wait for.
    fn pending_cause(&self, job: &ActiveJob, step: StepKey, now: Now) -> IdleCause {
        if !self.is_configured {
            return IdleCause::Configuration;
        }
        if self.queues.get(&job.queue).is_none() {
            return IdleCause::UnknownQueue;
        }
        if self
            .advice
            .get(step)
            .is_some_and(|a| a.is_pending(now.time))
        {
            return IdleCause::AdviceCall;
        }
        if let Some(backoff) = self.ready.backoff(step, now.time) {
            return backoff.cause.into();
        }
        if self.is_full(step) {
            return IdleCause::Room;
        }
        let is_recent =
            |noted: Time| noted >= self.last_tick || now.time.since(noted) <= EXAMINED_MS;
        if let Some((wait, _)) = job.waits.current().filter(|c| is_recent(c.1)) {
            return wait.into();
        }
        let quota = self.last_quota.as_ref();
        if quota.is_some_and(|q| self.is_known_limited(step, q)) {
            return IdleCause::Limit;
        }
        IdleCause::Unexamined
    }

    fn run_cause(&self, run: &KnownRun, now: Time) -> IdleCause {
        // At the beginning of a term all minions are silent.
        let is_new =
            run.last_seen.is_none() && now.since(run.updated_at) <= self.settings.silence_ms;
        match run.phase {
            Phase::Committing => IdleCause::Commit,
            Phase::Inherited if is_new => IdleCause::Inherited,
            _ if run.restart_at.is_some() => IdleCause::SilentMinion,
            Phase::Sent => IdleCause::StartSent,
            // A job with a confirmed run on a minion that answers is not idle.
            Phase::Unconfirmed | Phase::Running(_) => IdleCause::StartUnconfirmed,
            Phase::Inherited => IdleCause::Inherited,
            Phase::Stopping(_, Some(_)) => IdleCause::StopAnswered,
            Phase::Stopping(_, None) => IdleCause::StopUnanswered,
        }
    }

    /// Collects the details of an idle job.
    fn describe(&self, job: &ActiveJob, found: &Found, now: Now) -> Option<IdleJob> {
        let TaskWait { cause, task, run } = found.wait;
        let position = job.spec.position(task)?;
        let detail = match run {
            Some(run) => self.describe_run(&run, now.time)?,
            None if cause == IdleCause::MissingRun => IdleDetail::Unknown,
            None => self.describe_pending(job, task.step, now),
        };
        Some(IdleJob {
            task,
            run: job.tasks[position].run,
            queue: job.queue.clone(),
            account: job.account.clone(),
            idle_ms: now.time.since(found.since),
            age_ms: now.wall_ms.saturating_sub(job.accepted_ms),
            states: found.states,
            cause,
            detail,
        })
    }

    fn describe_run(&self, run: &KnownRun, now: Time) -> Option<IdleDetail> {
        let (name, minion) = self.minions.at(run.minion)?;
        let state_since = match run.phase {
            Phase::Stopping(at, answered) => answered.unwrap_or(at),
            _ => run.updated_at,
        };
        Some(IdleDetail::Run(RunDetail {
            minion: name.clone(),
            run: run.number,
            state_ms: now.since(state_since),
            run_ms: now.since(run.updated_at),
            seen_ms: run.last_seen.map(|at| now.since(at)),
            restart_ms: run.restart_at.map(|at| at.since(now)),
            listed: is_listed(minion),
            durable_ms: now.since(self.confirmed_at),
        }))
    }

    fn describe_pending(&self, job: &ActiveJob, step: StepKey, now: Now) -> IdleDetail {
        let Some(queue) = self.queues.get(&job.queue) else {
            return IdleDetail::Unknown;
        };
        let mut detail = PendingDetail {
            examined_ms: job.waits.current().map(|(_, at)| now.time.since(at)),
            ready: self.ready.contains(step),
            ..PendingDetail::default()
        };
        if let Some(account) = &job.account {
            let used = self.usage.get(account);
            let charged = self.last_quota.as_ref().map(|q| q.used_milli(account));
            let limit = self.accounts.get(account);
            detail.used_milli = used.map_or(0, |u| u.cores_milli);
            detail.charged_milli = charged.unwrap_or(0);
            detail.limit_milli = limit.map_or(0, |a| a.limit.cores_milli);
        }
        let advice = self.advice.get(step);
        detail.denied_ms = self.advice.waited_ms(step, now.time);
        detail.share_ms = self.advice.waiting.shares.spent_ms(&job.queue, now.time);
        if let Some(advice) = advice {
            let is_ticketed = |n: &&Name| advice.ticket(n, now.time).is_some();
            detail.call = advice
                .caller()
                .map(|(node, sent)| (node.clone(), now.time.since(sent)));
            detail.allowed = advice.allowed.len();
            detail.queried = advice.queried.len();
            detail.ticketed = advice.allowed.iter().filter(is_ticketed).count();
            detail.vain = advice.vain();
        }
        if let Some(request) = self.request(step, false) {
            let slots = if queue.advice.is_some() {
                let allowed = advice.map(|a| &a.allowed[..]).unwrap_or_default();
                self.free_slots_on(&request, &self.positions(allowed.iter()))
            } else {
                self.free_slots(&request)
            };
            detail.needed = request.min_tasks();
            detail.fitting = slots.iter().map(|s| u64::from(s.1)).sum();
            detail.fitting_later = total_slots(&self.future_slots(&request, None, now.time));
        }
        IdleDetail::Pending(detail)
    }
}

/// Returns the `limit` jobs that have been idle longest, in that order. The one that has been idle
/// longest for each cause is among them, so that a backlog of one cause does not hide the others.
fn longest(mut found: Vec<Found>, limit: usize) -> Vec<Found> {
    let order = |f: &Found| (f.since, f.job);
    found.sort_unstable_by_key(order);
    let mut has_cause = [false; IdleCause::ALL.len()];
    let is_first = |f: &Found| !std::mem::replace(&mut has_cause[f.wait.cause as usize], true);
    let (mut chosen, others): (Vec<Found>, Vec<Found>) = found.into_iter().partition(is_first);
    chosen.extend(others);
    chosen.truncate(limit);
    chosen.sort_unstable_by_key(order);
    chosen
}

fn is_listed(minion: &Minion) -> bool {
    minion.listing.absent_since().is_none() && !minion.entry.address.is_empty()
}

/// Returns the runs of a job, from all runs in the order of their tasks.
fn runs_of(runs: &[KnownRun], job: JobKey) -> &[KnownRun] {
    let from = runs.partition_point(|r| r.task.step.job < job);
    let to = runs.partition_point(|r| r.task.step.job <= job);
    &runs[from..to]
}

/// Returns the current run of a placed task.
fn placed_run(
    job: &ActiveJob,
    task: TaskKey,
    minions: &Table<Name, Minion>,
    runs: &[KnownRun],
) -> Option<KnownRun> {
    let state = job.tasks.get(job.spec.position(task)?)?;
    let Placement::Minion(name) = &state.placement else {
        return None;
    };
    let key = (task, state.run);
    let from = runs.partition_point(|r| (r.task, r.number) < key);
    let mut candidates = runs[from..]
        .iter()
        .take_while(|r| (r.task, r.number) == key);
    let is_on = |r: &&KnownRun| minions.at(r.minion).is_some_and(|(n, _)| n == name);
    candidates.find(is_on).copied()
}
