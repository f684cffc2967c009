//! The state that the records of the cell's log build.

use primrosebay_state::Name;
use primrosebay_state::table::Table;

use crate::job::JobKey;
use crate::record::{Claim, Member, Outcome, Progress, Record, Submission};

/// What a caller is told about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// No task has started.
    Pending,
    /// A task has started.
    Running,
    /// The job has ended.
    Ended(Outcome),
}

/// A value with the offset of the record that set it.
#[derive(Debug, Clone)]
struct At<T> {
    offset: u64,
    value: T,
}

/// The state of the cell. Every instance builds the same one from the log.
#[derive(Debug, Default)]
pub struct Ledger {
    submitted: Table<JobKey, At<Submission>>,
    cancelled: Table<JobKey, u64>,
    progress: Table<JobKey, At<Progress>>,
    members: Table<Name, At<Member>>,
    leader: Option<At<Claim>>,
    next_offset: u64,
}

fn newer<K: Ord, T>(table: &Table<K, At<T>>, key: &K, offset: u64) -> bool {
    table.get(key).is_none_or(|known| known.offset < offset)
}

impl Ledger {
    /// Returns the offset from which the log has to be read on.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Notes that all records before `offset` have been read.
    pub fn advance_to(&mut self, offset: u64) {
        self.next_offset = self.next_offset.max(offset);
    }

    /// Applies a record. One that is older than what is known has no effect, so that records may
    /// be read again. Returns whether the record changed the state.
    pub fn apply(&mut self, offset: u64, record: Record) -> bool {
        match record {
            Record::Submitted(job, value) => {
                // A submission that is repeated has the same content. The first one read counts,
                // since its time decides the order of jobs.
                if self.submitted.get(&job).is_some() {
                    return false;
                }
                self.submitted.insert(job, At { offset, value });
            }
            Record::Cancelled(job) => {
                if self.cancelled.get(&job).is_some() {
                    return false;
                }
                self.cancelled.insert(job, offset);
            }
            Record::Progress(job, value) => {
                if !newer(&self.progress, &job, offset) {
                    return false;
                }
                self.progress.insert(job, At { offset, value });
            }
            Record::Leader(value) => {
                let known = self.leader.as_ref();
                if known.is_some_and(|k| k.offset >= offset || k.value.epoch > value.epoch) {
                    return false;
                }
                self.leader = Some(At { offset, value });
            }
            Record::Member(name, value) => {
                if !newer(&self.members, &name, offset) {
                    return false;
                }
                self.members.insert(name, At { offset, value });
            }
        }
        true
    }

    /// Applies the removal of a key.
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

    /// Returns the latest term.
    #[must_use]
    pub fn leader(&self) -> Option<&Claim> {
        self.leader.as_ref().map(|l| &l.value)
    }

    /// Returns the instances that have announced themselves.
    pub fn members(&self) -> impl Iterator<Item = (&Name, &Member)> {
        self.members.iter().map(|(name, m)| (name, &m.value))
    }

    /// Returns a job as it was submitted.
    #[must_use]
    pub fn submission(&self, job: JobKey) -> Option<&Submission> {
        self.submitted.get(&job).map(|s| &s.value)
    }

    /// Returns the durable state of a job's tasks.
    #[must_use]
    pub fn progress(&self, job: JobKey) -> Option<&Progress> {
        self.progress.get(&job).map(|p| &p.value)
    }

    /// Returns whether the caller has cancelled the job.
    #[must_use]
    pub fn is_cancelled(&self, job: JobKey) -> bool {
        self.cancelled.get(&job).is_some()
    }

    /// Returns what a caller is told about a job, or nothing if there is no such job.
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
        // A run that was recorded may have been refused, or never have reached its minion.
        let started = progress.is_some_and(|p| p.begun);
        Some(if started {
            JobState::Running
        } else {
            JobState::Pending
        })
    }

    /// Returns how many accepted jobs of a queue have not started.
    #[must_use]
    pub fn pending_jobs(&self, queue: &str) -> usize {
        let jobs = self
            .submitted
            .iter()
            .filter(|(_, s)| &*s.value.queue == queue);
        jobs.filter(|(job, _)| self.state(**job) == Some(JobState::Pending))
            .count()
    }

    /// Returns all jobs in the order of their keys.
    pub fn jobs(&self) -> impl Iterator<Item = (JobKey, &Submission)> {
        self.submitted.iter().map(|(job, s)| (*job, &s.value))
    }

    /// Returns the jobs that ended before `before_ms` in Unix milliseconds.
    pub fn ended_before(&self, before_ms: u64) -> impl Iterator<Item = JobKey> {
        let ended = move |p: &Progress| p.outcome.is_some() && p.ended_ms < before_ms;
        self.progress
            .iter()
            .filter(move |(_, p)| ended(&p.value) && p.value.tasks.is_empty())
            .map(|(job, _)| *job)
    }
}
