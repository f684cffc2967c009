//! What callers ask of an instance.

use std::sync::Arc;
use std::time::Duration;

use primrosebay_cell::config::Config;
use primrosebay_cell::job::{JobKey, JobSpec};
use primrosebay_cell::ledger::JobState;
use primrosebay_cell::record::{Outcome, Record, Submission};
use primrosebay_state::Name;

use crate::follow;
use crate::node::Node;
use crate::platform::Platform;
use crate::shared::unix_ms;
use crate::submit::{self, PendingRecord};
use crate::waiters::{WriteKind, WriteResult};

/// Why a call is not let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The instance has no configuration yet.
    NoConfig,
    /// What the instance knows of keys is too old to tell whether this one still works.
    Stale,
    /// No queue has this host and path.
    NoQueue,
    /// The key belongs to nobody.
    UnknownKey,
}

/// What a call that was let in may use.
#[derive(Debug, Clone)]
pub struct Access {
    /// The queue.
    pub queue: Name,
    /// The account of the caller; none on a public queue.
    pub account: Option<Name>,
    /// What follows the queue's prefix in the path.
    pub subpath: String,
    /// The version of the configuration that let the call in.
    pub version: u64,
    /// Most bytes of a body.
    pub body_bytes: usize,
}

/// What the instance knew when it answered a call, for its log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalView {
    /// The version of the configuration in force; 0 if there is none.
    pub version: u64,
    /// How old the knowledge of keys and queues was, in milliseconds.
    pub config_age: Option<u64>,
    /// How old the knowledge of jobs was, in milliseconds.
    pub log_age: Option<u64>,
    /// The term of the leader that was known; 0 if none was.
    pub epoch: u64,
}

/// What became of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitResult {
    /// The job is stored.
    Accepted,
    /// The job is not stored and will not run.
    Refused,
    /// It is not known whether the job is stored.
    Indeterminate,
}

/// What became of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelResult {
    /// The cancellation is stored, or the job had ended.
    Done,
    /// There is no such job.
    NotActive,
    /// The cancellation is not stored.
    Refused,
    /// It is not known whether the cancellation is stored.
    Indeterminate,
}

/// What a caller is told about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobStatus {
    /// The state of the job.
    Known(JobState),
    /// There is no such job.
    NotFound,
    /// What the instance knows is too old to say.
    Stale,
}

impl<P: Platform> Node<P> {
    /// Decides whether a call is let in.
    ///
    /// # Errors
    /// Returns why it is not.
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

    /// Returns what the instance knows at the moment.
    #[must_use]
    pub fn local_view(&self) -> LocalView {
        let now = self.shared.clock.now();
        let (version, configured) = {
            let operators = self.shared.operators();
            let config = operators.config.as_ref();
            (config.map_or(0, |c| c.version), operators.caught_up)
        };
        let cell = self.shared.cell();
        LocalView {
            version,
            config_age: configured.map(|at| now.since(at)),
            log_age: cell.caught_up.map(|at| now.since(at)),
            epoch: cell.ledger.leader().map_or(0, |l| l.epoch),
        }
    }

    /// Stores a job. One that is known already is accepted again without effect.
    pub async fn submit(
        &self,
        access: &Access,
        job: JobKey,
        spec: JobSpec,
        within: Duration,
    ) -> SubmitResult {
        let shared = &self.shared;
        if shared.cell().ledger.submission(job).is_some() {
            return SubmitResult::Accepted;
        }
        if !self.is_log_reachable() {
            return SubmitResult::Refused;
        }
        let record = Record::Submitted(
            job,
            Submission {
                queue: access.queue.clone(),
                account: access.account.clone(),
                spec: Arc::new(spec),
                accepted_ms: unix_ms(),
            },
        );
        match self.store(WriteKind::Submission, job, record, within).await {
            Some(WriteResult::Durable) => SubmitResult::Accepted,
            Some(WriteResult::Rejected(_)) => SubmitResult::Refused,
            Some(WriteResult::Unknown) | None => SubmitResult::Indeterminate,
        }
    }

    /// Cancels a job.
    pub async fn cancel(&self, access: &Access, job: JobKey, within: Duration) -> CancelResult {
        match self.status(access, job).await {
            JobStatus::Stale => return CancelResult::Refused,
            JobStatus::Known(JobState::Ended(Outcome::Cancelled)) => return CancelResult::Done,
            JobStatus::NotFound | JobStatus::Known(JobState::Ended(_)) => {
                return CancelResult::NotActive;
            }
            JobStatus::Known(JobState::Pending | JobState::Running) => {}
        }
        let record = Record::Cancelled(job);
        match self
            .store(WriteKind::Cancellation, job, record, within)
            .await
        {
            Some(WriteResult::Durable) => CancelResult::Done,
            Some(WriteResult::Rejected(_)) => CancelResult::Refused,
            Some(WriteResult::Unknown) | None => CancelResult::Indeterminate,
        }
    }

    async fn store(
        &self,
        kind: WriteKind,
        job: JobKey,
        record: Record,
        within: Duration,
    ) -> Option<WriteResult> {
        let receipt = self.shared.waiters.register(kind, job);
        let item = PendingRecord {
            waiter: Some((kind, job)),
            record,
            maybe_stored: false,
        };
        submit::enqueue(&self.shared.submit_queue, item).await;
        let received = async_std::future::timeout(within, receipt.recv()).await;
        received.ok()?.ok()
    }

    /// Returns the state of a job. The log is read to its end before a job counts as unknown, since
    /// another instance may have accepted it a moment ago.
    pub async fn status(&self, access: &Access, job: JobKey) -> JobStatus {
        let status = self.known_status(access, job);
        if status != JobStatus::NotFound {
            return status;
        }
        match follow::catch_up(&self.shared).await {
            Ok(()) => self.known_status(access, job),
            Err(reason) => {
                log::warn!(job:% = job, reason:% = reason; "calls: log cannot be read for an unknown job");
                JobStatus::Stale
            }
        }
    }

    /// Returns the state of a job as far as the instance has read the log.
    fn known_status(&self, access: &Access, job: JobKey) -> JobStatus {
        let shared = &self.shared;
        let cell = shared.cell();
        let ledger = &cell.ledger;
        let own = ledger
            .submission(job)
            .is_some_and(|s| s.queue == access.queue && s.account == access.account);
        match ledger.state(job).filter(|_| own) {
            Some(state) => JobStatus::Known(state),
            None if shared.is_fresh(cell.caught_up, shared.settings.job_age) => JobStatus::NotFound,
            None => JobStatus::Stale,
        }
    }

    /// Returns how many accepted jobs of a queue have not started; none if that is not known.
    #[must_use]
    pub fn backlog(&self, access: &Access) -> Option<usize> {
        let cell = self.shared.cell();
        let is_fresh = self
            .shared
            .is_fresh(cell.caught_up, self.shared.settings.key_age);
        is_fresh.then(|| cell.ledger.waiting(&access.queue))
    }
}
