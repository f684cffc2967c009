//! Requests of callers: authorization, submission, cancellation, job status and backlog.

use std::sync::Arc;
use std::time::Duration;

use primrosebay_cell::config::Config;
use primrosebay_cell::job::{JobKey, JobSpec};
use primrosebay_cell::ledger::JobState;
use primrosebay_cell::record::{Outcome, Owner, Record, Submission};
use primrosebay_state::Name;
use serde::{Deserialize, Serialize};

use crate::follow;
use crate::lead::millis;
use crate::node::Node;
use crate::platform::Platform;
use crate::relay::{self, Asked, Call, CallKind, Reply};
use crate::shared::{Shared, unix_ms};
use crate::submit::{self, PendingRecord};
use crate::waiters::{WriteKind, WriteResult};

/// Maximum time for reading the cell's stream to its end before a job is reported as not found.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of cancelled jobs in the log that have not been submitted. Each is kept for
/// [`retention_ms`](primrosebay_cell::leader::Settings::retention_ms).
const MAX_WITHDRAWN: usize = 10_000;

/// The reason why a call is rejected before it is processed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The instance has not read a configuration yet.
    NoConfig,
    /// The configuration is too old to tell whether the API key is still valid.
    Stale,
    /// No queue matches the host and the path.
    NoQueue,
    /// The API key is missing or belongs to no account.
    UnknownKey,
}

/// The queue and the account of an authorized call.
#[derive(Debug, Clone)]
pub struct Access {
    /// The queue that the call addresses.
    pub queue: Name,
    /// The account of the API key. `None` only on a public queue, if the call has no known key.
    pub account: Option<Name>,
    /// The part of the path after the queue's prefix.
    pub subpath: String,
    /// The version of the configuration that authorized the call.
    pub version: u64,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
}

/// The version and the age of the instance's state, for logging how a call was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalView {
    /// The version of the current configuration; 0 if there is none.
    pub version: u64,
    /// Milliseconds since the last complete read of the configuration; `None` before the first.
    pub config_age: Option<u64>,
    /// Milliseconds since the last complete read of the cell's stream; `None` before the first.
    pub log_age: Option<u64>,
    /// The epoch of the latest known term; 0 if there has been none.
    pub epoch: u64,
}

/// The result of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitResult {
    /// The job is durable.
    Accepted,
    /// The job is not stored and will not run.
    Refused,
    /// The job may or may not be stored.
    Indeterminate,
}

/// The result of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelResult {
    /// The cancellation is durable, or the job was already cancelled.
    Done,
    /// The job does not exist and will not run if it was submitted before, or it has already completed
    /// or failed.
    NotActive,
    /// The cancellation is not stored, or the state is too old to find the job.
    Refused,
    /// The cancellation may or may not be stored.
    Indeterminate,
}

/// The status of a job, as returned to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// The job exists and has this state.
    Known(JobState),
    /// The caller has no such job in the queue.
    NotFound,
    /// The state is too old to tell whether the job exists.
    Stale,
}

impl<P: Platform> Node<P> {
    /// Finds the queue of a call and checks the API key. Public queues need no key.
    ///
    /// # Errors
    /// Returns the reason why the call is rejected.
    pub fn authorize(&self, host: &str, path: &str, key: Option<&str>) -> Result<Access, Denial> {
        let shared = &self.shared;
        let operators = shared.operators();
        let config: &Arc<Config> = operators.config.as_ref().ok_or(Denial::NoConfig)?;
        let queue = config.route(host, path).ok_or(Denial::NoQueue)?;
        let account = if queue.public {
            key.and_then(|k| config.owner(k)).cloned()
        } else {
            if !shared.is_fresh(operators.caught_up, shared.settings.key_age) {
                return Err(Denial::Stale);
            }
            let owner = key.and_then(|k| config.owner(k));
            Some(owner.ok_or(Denial::UnknownKey)?.clone())
        };
        Ok(Access {
            queue: queue.name.clone(),
            account,
            subpath: path[queue.prefix.len()..].to_string(),
            version: config.version,
            body_bytes: config.body_bytes,
        })
    }

    /// Returns the version and the age of the instance's current state.
    #[must_use]
    pub fn local_view(&self) -> LocalView {
        let now = self.shared.clock.now();
        let (version, config_read) = {
            let operators = self.shared.operators();
            let config = operators.config.as_ref();
            (config.map_or(0, |c| c.version), operators.caught_up)
        };
        let cell = self.shared.cell();
        LocalView {
            version,
            config_age: config_read.map(|at| now.since(at)),
            log_age: self.shared.log_read(&cell).map(|at| now.since(at)),
            epoch: cell.ledger.leader().map_or(0, |l| l.epoch),
        }
    }

    /// Submits a job and waits for up to `within` until it is durable. A repeated submission is
    /// accepted and has no effect.
    pub async fn submit(
        &self,
        access: &Access,
        job: JobKey,
        spec: JobSpec,
        within: Duration,
    ) -> SubmitResult {
        let kind = CallKind::Submit {
            job,
            spec: spec.clone(),
            within_ms: millis(within),
        };
        match self.relay(access, kind, within).await {
            None => submit(&self.shared, &access.owner(), job, spec, within).await,
            Some(Asked::Answered(Reply::Submit(result))) => result,
            Some(Asked::Refused) => SubmitResult::Refused,
            Some(_) => SubmitResult::Indeterminate,
        }
    }

    /// Cancels a job and waits for up to `within` until the cancellation is durable.
    pub async fn cancel(&self, access: &Access, job: JobKey, within: Duration) -> CancelResult {
        let kind = CallKind::Cancel {
            job,
            within_ms: millis(within),
        };
        match self.relay(access, kind, within).await {
            None => cancel(&self.shared, &access.owner(), job, within).await,
            Some(Asked::Answered(Reply::Cancel(result))) => result,
            Some(Asked::Refused) => CancelResult::Refused,
            Some(_) => CancelResult::Indeterminate,
        }
    }

    /// Returns the status of a job within `within`. Reads further records from the log before it
    /// reports a job as not found, since another instance may just have accepted it. Waits for up to
    /// [`end_wait`](crate::settings::Settings::end_wait) for the end of a job whose tasks are all
    /// placed.
    pub async fn status(&self, access: &Access, job: JobKey, within: Duration) -> JobStatus {
        // A caller with a short deadline gets an answer at once.
        let wait = self.shared.settings.end_wait.min(within / 4);
        let wait_ms = millis(wait);
        let kind = CallKind::Status { job, wait_ms };
        match self.relay(access, kind, within).await {
            None => status(&self.shared, &access.owner(), job, wait).await,
            Some(Asked::Answered(Reply::Status(status))) => status,
            Some(_) => JobStatus::Stale,
        }
    }

    /// Returns the number of accepted jobs of a queue that have not started. Returns `None` if the
    /// state is older than [`key_age`](crate::settings::Settings::key_age).
    pub async fn backlog(&self, access: &Access) -> Option<usize> {
        let within = self.shared.settings.request_timeout;
        match self.relay(access, CallKind::Backlog, within).await {
            None => backlog(&self.shared, &access.owner()),
            Some(Asked::Answered(Reply::Backlog(count))) => count,
            Some(_) => None,
        }
    }

    /// Asks other instances to answer. Returns none if this one has to.
    async fn relay(&self, access: &Access, kind: CallKind, within: Duration) -> Option<Asked> {
        if self.shared.follows_log() {
            return None;
        }
        let call = Call {
            queue: access.queue.clone(),
            account: access.account.clone(),
            kind,
        };
        relay::ask(&self.shared, &call, within).await
    }
}

impl Access {
    fn owner(&self) -> Owner {
        Owner {
            queue: self.queue.clone(),
            account: self.account.clone(),
        }
    }
}

/// Submits a job at an instance that follows the log; see [`Node::submit`].
pub(crate) async fn submit<P: Platform>(
    shared: &Shared<P>,
    owner: &Owner,
    job: JobKey,
    spec: JobSpec,
    within: Duration,
) -> SubmitResult {
    if shared.cell().ledger.submission(job).is_some() {
        return SubmitResult::Accepted;
    }
    if !shared.is_log_reachable() {
        return SubmitResult::Refused;
    }
    let record = Record::Submitted(
        job,
        Submission {
            queue: owner.queue.clone(),
            account: owner.account.clone(),
            spec: Arc::new(spec),
            accepted_ms: unix_ms(),
        },
    );
    match store(shared, WriteKind::Submission, job, record, within).await {
        Some(WriteResult::Durable) => SubmitResult::Accepted,
        Some(WriteResult::Rejected(_)) => SubmitResult::Refused,
        Some(WriteResult::Unknown) | None => SubmitResult::Indeterminate,
    }
}

/// Cancels a job at an instance that follows the log; see [`Node::cancel`].
pub(crate) async fn cancel<P: Platform>(
    shared: &Shared<P>,
    owner: &Owner,
    job: JobKey,
    within: Duration,
) -> CancelResult {
    let (record, done) = match status(shared, owner, job, Duration::ZERO).await {
        JobStatus::Stale => return CancelResult::Refused,
        JobStatus::Known(JobState::Ended(Outcome::Cancelled)) => return CancelResult::Done,
        JobStatus::Known(JobState::Ended(_)) => return CancelResult::NotActive,
        JobStatus::Known(JobState::Pending | JobState::Running) => {
            (Record::Cancelled(job), CancelResult::Done)
        }
        JobStatus::NotFound => match withdrawal(shared, owner, job) {
            Ok(record) => (record, CancelResult::NotActive),
            Err(result) => return result,
        },
    };
    match store(shared, WriteKind::Cancellation, job, record, within).await {
        Some(WriteResult::Durable) => done,
        Some(WriteResult::Rejected(_)) => CancelResult::Refused,
        Some(WriteResult::Unknown) | None => CancelResult::Indeterminate,
    }
}

/// Returns the cancellation of a job that is not in the log. Its submission may still be on its way: in
/// a batch of the leader, at another instance, or in an append that the log carries out late.
///
/// # Errors
/// Returns the result of the call if there is nothing to store.
fn withdrawal<P>(shared: &Shared<P>, owner: &Owner, job: JobKey) -> Result<Record, CancelResult> {
    let cell = shared.cell();
    if cell.ledger.submission(job).is_some() {
        // The job belongs to another caller.
        return Err(CancelResult::NotActive);
    }
    let count = cell.ledger.withdrawn().count();
    if count >= MAX_WITHDRAWN {
        log::warn!(job:% = job, count; "calls: too many cancellations of unknown jobs");
        return Err(CancelResult::Refused);
    }
    Ok(Record::Withdrawn(job, owner.clone()))
}

/// Queues a record and waits until it is durable or rejected. Returns `None` on timeout.
async fn store<P: Platform>(
    shared: &Shared<P>,
    kind: WriteKind,
    job: JobKey,
    record: Record,
    within: Duration,
) -> Option<WriteResult> {
    let receiver = shared.waiters.register(kind, job);
    let record = PendingRecord {
        waiter: Some((kind, job)),
        record,
        maybe_stored: false,
    };
    submit::enqueue(&shared.submit_queue, record).await;
    let result = async_std::future::timeout(within, receiver.recv()).await;
    result.ok()?.ok()
}

/// Returns the status of a job at an instance that follows the log; see [`Node::status`]. Waits for
/// up to `wait` for the end of the job.
pub(crate) async fn status<P: Platform>(
    shared: &Shared<P>,
    owner: &Owner,
    job: JobKey,
    wait: Duration,
) -> JobStatus {
    let status = known_status(shared, owner, job);
    if status == JobStatus::Known(JobState::Running) && wait > Duration::ZERO {
        return status_after_end(shared, owner, job, wait).await;
    }
    if status != JobStatus::NotFound {
        return status;
    }
    match read_to_end(shared).await {
        Ok(()) => known_status(shared, owner, job),
        Err(reason) => {
            log::warn!(job:% = job, reason:% = reason; "calls: cannot read log to look up an unknown job");
            JobStatus::Stale
        }
    }
}

/// Reads the cell's stream until a read that was sent after the call of this function has reached the
/// end: one read returns a part of what is new. Returns the reason if that fails.
async fn read_to_end<P: Platform>(shared: &Shared<P>) -> Result<(), String> {
    let called = shared.clock.now();
    while shared.cell().caught_up.is_none_or(|at| at < called) {
        if shared.clock.now().since(called) > millis(CATCH_UP_TIMEOUT) {
            return Err("the end of the stream is too far away".into());
        }
        follow::catch_up(shared).await?;
    }
    Ok(())
}

/// Waits for the end of a running job, unless it has tasks that are not placed, and returns its
/// status then.
async fn status_after_end<P: Platform>(
    shared: &Shared<P>,
    owner: &Owner,
    job: JobKey,
    wait: Duration,
) -> JobStatus {
    let ended = shared.waiters.register(WriteKind::End, job);
    // Read after the registration, so that no end is missed.
    if shared.cell().ledger.may_end_next(job) {
        // The channel has an item already if the reader is about to be woken.
        let _ = shared.end_awaited.0.try_send(());
        let _ = async_std::future::timeout(wait, ended.recv()).await;
    }
    known_status(shared, owner, job)
}

/// Returns the status of a job according to the records read so far.
fn known_status<P>(shared: &Shared<P>, owner: &Owner, job: JobKey) -> JobStatus {
    let cell = shared.cell();
    let ledger = &cell.ledger;
    let is_owned = ledger
        .submission(job)
        .is_some_and(|s| s.queue == owner.queue && s.account == owner.account);
    match ledger.state(job).filter(|_| is_owned) {
        Some(state) => JobStatus::Known(state),
        None if shared.is_fresh(cell.caught_up, shared.settings.job_age) => JobStatus::NotFound,
        None => JobStatus::Stale,
    }
}

/// Returns the backlog of a queue at an instance that follows the log; see [`Node::backlog`].
pub(crate) fn backlog<P>(shared: &Shared<P>, owner: &Owner) -> Option<usize> {
    let cell = shared.cell();
    let is_fresh = shared.is_fresh(cell.caught_up, shared.settings.key_age);
    is_fresh.then(|| cell.ledger.pending_jobs(&owner.queue))
}
