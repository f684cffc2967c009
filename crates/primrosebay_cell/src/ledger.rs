//! Cell state built from the records of the log.

use primrosebay_state::Name;
use primrosebay_state::table::Table;
use serde::{Deserialize, Serialize};

use crate::job::JobKey;
use crate::record::{Claim, Member, Outcome, Progress, Record, Submission};

/// State of a job as reported to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No minion has started a task.
    Pending,
    /// A minion has started a task.
    Running,
    /// The job has ended with this result.
    Ended(Outcome),
}

/// A value and the log offset of the record that set it.
#[derive(Debug, Clone)]
struct Versioned<T> {
    offset: u64,
    value: T,
}

/// State of the cell. Every instance builds the same state from the log.
#[derive(Debug, Default)]
pub struct Ledger {
    submitted: Table<JobKey, Versioned<Submission>>,
    cancelled: Table<JobKey, u64>,
    progress: Table<JobKey, Versioned<Progress>>,
    members: Table<Name, Versioned<Member>>,
    leader: Option<Versioned<Claim>>,
    next_offset: u64,
}

fn is_newer<K: Ord, T>(table: &Table<K, Versioned<T>>, key: &K, offset: u64) -> bool {
    table.get(key).is_none_or(|current| current.offset < offset)
}

impl Ledger {
    /// Returns the log offset of the next record to read.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Records that the log has been read up to `offset`, exclusive.
    pub fn advance_to(&mut self, offset: u64) {
        self.next_offset = self.next_offset.max(offset);
    }

    /// Applies a record and returns whether it changed the state. A record that is older than the
    /// known state has no effect, so records may be read again.
    pub fn apply(&mut self, offset: u64, record: Record) -> bool {
        match record {
            Record::Submitted(job, value) => {
                // Repeated submissions of a job have the same content. The first one read counts,
                // since its time of acceptance determines the order of jobs.
                if self.submitted.get(&job).is_some() {
                    return false;
                }
                self.submitted.insert(job, Versioned { offset, value });
            }
            Record::Cancelled(job) => {
                if self.cancelled.get(&job).is_some() {
                    return false;
                }
                self.cancelled.insert(job, offset);
            }
            Record::Progress(job, value) => {
                if !is_newer(&self.progress, &job, offset) {
                    return false;
                }
                self.progress.insert(job, Versioned { offset, value });
            }
            Record::Leader(value) => {
                let current = self.leader.as_ref();
                if current.is_some_and(|c| c.offset >= offset || c.value.epoch > value.epoch) {
                    return false;
                }
                self.leader = Some(Versioned { offset, value });
            }
            Record::Member(name, value) => {
                if !is_newer(&self.members, &name, offset) {
                    return false;
                }
                self.members.insert(name, Versioned { offset, value });
            }
        }
        true
    }

    /// Applies the removal of a key from the log. Unknown keys are ignored.
    pub fn remove(&mut self, key: &str) {
        let job = key.get(1..).and_then(|text| text.parse::<JobKey>().ok());
        match (key.as_bytes().first(), job) {
            (Some(b'j'), Some(job)) => drop(self.submitted.remove(&job)),
            (Some(b'c'), Some(job)) => drop(self.cancelled.remove(&job)),
            (Some(b'p'), Some(job)) => drop(self.progress.remove(&job)),
            (Some(b'm'), _) => drop(self.members.remove(&key[1..])),
            _ => {}
        }
    }

    /// Returns the claim of the latest leader; none if the log has no claim.
    #[must_use]
    pub fn leader(&self) -> Option<&Claim> {
        self.leader.as_ref().map(|l| &l.value)
    }

    /// Returns the instances that have announced themselves.
    pub fn members(&self) -> impl Iterator<Item = (&Name, &Member)> {
        self.members.iter().map(|(name, m)| (name, &m.value))
    }

    /// Returns the submission of a job, if known.
    #[must_use]
    pub fn submission(&self, job: JobKey) -> Option<&Submission> {
        self.submitted.get(&job).map(|s| &s.value)
    }

    /// Returns the durable state of a job's tasks; none before the leader's first record of the
    /// job.
    #[must_use]
    pub fn progress(&self, job: JobKey) -> Option<&Progress> {
        self.progress.get(&job).map(|p| &p.value)
    }

    /// Returns whether the job was cancelled by its caller.
    #[must_use]
    pub fn is_cancelled(&self, job: JobKey) -> bool {
        self.cancelled.get(&job).is_some()
    }

    /// Returns the state of a job as reported to callers; none if the job is unknown.
    #[must_use]
    pub fn state(&self, job: JobKey) -> Option<JobState> {
        self.submitted.get(&job)?;
        let progress = self.progress(job);
        if let Some(outcome) = progress.and_then(|p| p.outcome) {
            return Some(JobState::Ended(outcome));
        }
        if self.is_cancelled(job) {
            return Some(JobState::Ended(Outcome::Cancelled));
        }
        // A recorded run does not mean that a task has started: the minion may have refused the run
        // or may never have received it.
        let started = progress.is_some_and(|p| p.begun);
        Some(if started {
            JobState::Running
        } else {
            JobState::Pending
        })
    }

    /// Returns the number of a queue's jobs in the state [`JobState::Pending`].
    #[must_use]
    pub fn pending_jobs(&self, queue: &str) -> usize {
        let jobs = self
            .submitted
            .iter()
            .filter(|(_, s)| &*s.value.queue == queue);
        jobs.filter(|(job, _)| self.state(**job) == Some(JobState::Pending))
            .count()
    }

    /// Returns all jobs, sorted by key.
    pub fn jobs(&self) -> impl Iterator<Item = (JobKey, &Submission)> {
        self.submitted.iter().map(|(job, s)| (*job, &s.value))
    }

    /// Returns the jobs that ended before `before_ms`, in Unix milliseconds, and have no task on a
    /// minion.
    pub fn ended_before(&self, before_ms: u64) -> impl Iterator<Item = JobKey> {
        let ended = move |p: &Progress| p.outcome.is_some() && p.ended_ms < before_ms;
        self.progress
            .iter()
            .filter(move |(_, p)| ended(&p.value) && p.value.tasks.is_empty())
            .map(|(job, _)| *job)
    }
}
