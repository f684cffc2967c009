//! Cell state built from the records of the log.

use primrosebay_state::Name;
use primrosebay_state::table::Table;
use serde::{Deserialize, Serialize};

use crate::config::Queue;
use crate::job::JobKey;
use crate::record::{
    Claim, Member, Outcome, Owner, Placement, Progress, Record, SavedModel, Submission,
    TaskProgress,
};

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
    /// Boxed, as is `progress`, since an insertion moves the entries behind it.
    submitted: Table<JobKey, Box<Submission>>,
    cancelled: Table<JobKey, u64>,
    /// Callers who cancelled jobs that have not been submitted.
    withdrawn: Table<JobKey, Versioned<Owner>>,
    progress: Table<JobKey, Box<Versioned<Progress>>>,
    /// Numbers of jobs in the state [`JobState::Pending`], by queue.
    pending: Table<Name, usize>,
    members: Table<Name, Versioned<Member>>,
    queues: Table<Name, Versioned<Queue>>,
    /// What leaders have learned of the run times of each queue.
    durations: Table<Name, Versioned<SavedModel>>,
    leader: Option<Versioned<Claim>>,
    next_offset: u64,
}

fn is_newer<T>(current: Option<&Versioned<T>>, offset: u64) -> bool {
    current.is_none_or(|current| current.offset < offset)
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
        let job = record.job();
        self.uncount(job);
        let is_changed = self.replace(offset, record);
        self.count(job);
        is_changed
    }

    /// Counts a job among the pending ones of its queue if it is.
    fn count(&mut self, job: Option<JobKey>) {
        if let Some(queue) = self.pending_queue(job) {
            *self.pending.or_insert(queue, 0) += 1;
        }
    }

    /// Reverts [`Self::count`] before a change of the job.
    fn uncount(&mut self, job: Option<JobKey>) {
        let queue = self.pending_queue(job);
        if let Some(count) = queue.and_then(|queue| self.pending.get_mut(&queue)) {
            *count -= 1;
        }
    }

    /// Returns the queue of a job that is pending; none if it is not.
    fn pending_queue(&self, job: Option<JobKey>) -> Option<Name> {
        let job = job.filter(|job| self.state(*job) == Some(JobState::Pending))?;
        Some(self.submission(job)?.queue.clone())
    }

    fn replace(&mut self, offset: u64, record: Record) -> bool {
        match record {
            Record::Submitted(job, value) => {
                // Repeated submissions of a job have the same content. The first one read counts,
                // since its time of acceptance determines the order of jobs.
                if self.submitted.get(&job).is_some() {
                    return false;
                }
                let withdrawn = self.withdrawn.remove(&job);
                if withdrawn.is_some_and(|w| value.is_of(&w.value)) {
                    self.cancelled.insert(job, offset);
                }
                self.submitted.insert(job, Box::new(value));
            }
            Record::Cancelled(job) => {
                if self.cancelled.get(&job).is_some() {
                    return false;
                }
                self.cancelled.insert(job, offset);
            }
            Record::Withdrawn(job, value) => {
                if let Some(submission) = self.submitted.get(&job) {
                    if !submission.is_of(&value) || self.cancelled.get(&job).is_some() {
                        return false;
                    }
                    self.cancelled.insert(job, offset);
                    return true;
                }
                if !is_newer(self.withdrawn.get(&job), offset) {
                    return false;
                }
                self.withdrawn.insert(job, Versioned { offset, value });
            }
            Record::Progress(job, value) => {
                let current = self.progress.get(&job);
                if !is_newer(current.map(|c| &**c), offset) {
                    return false;
                }
                self.progress
                    .insert(job, Box::new(Versioned { offset, value }));
            }
            Record::Leader(value) => {
                let current = self.leader.as_ref();
                if current.is_some_and(|c| c.offset >= offset || c.value.epoch > value.epoch) {
                    return false;
                }
                self.leader = Some(Versioned { offset, value });
            }
            Record::Member(name, value) => {
                if !is_newer(self.members.get(&name), offset) {
                    return false;
                }
                self.members.insert(name, Versioned { offset, value });
            }
            Record::Queue(value) => {
                if !is_newer(self.queues.get(&value.name), offset) {
                    return false;
                }
                let name = value.name.clone();
                self.queues.insert(name, Versioned { offset, value });
            }
            Record::Durations(queue, value) => {
                if !is_newer(self.durations.get(&queue), offset) {
                    return false;
                }
                self.durations.insert(queue, Versioned { offset, value });
            }
        }
        true
    }

    /// Applies the removal of a key from the log. Unknown keys are ignored.
    pub fn remove(&mut self, key: &str) {
        let job = key.get(1..).and_then(|text| text.parse::<JobKey>().ok());
        self.uncount(job);
        match (key.as_bytes().first(), job) {
            (Some(b'j'), Some(job)) => drop(self.submitted.remove(&job)),
            (Some(b'c'), Some(job)) => drop(self.cancelled.remove(&job)),
            (Some(b'p'), Some(job)) => drop(self.progress.remove(&job)),
            (Some(b'w'), Some(job)) => drop(self.withdrawn.remove(&job)),
            (Some(b'm'), _) => drop(self.members.remove(&key[1..])),
            (Some(b'q'), _) => drop(self.queues.remove(&key[1..])),
            (Some(b'd'), _) => drop(self.durations.remove(&key[1..])),
            _ => {}
        }
        self.count(job);
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

    /// Returns the queues on which jobs were accepted, as a leader last recorded them.
    pub fn queues(&self) -> impl Iterator<Item = &Queue> {
        self.queues.iter().map(|(_, q)| &q.value)
    }

    /// Returns what leaders have learned of the run times of each queue.
    pub fn durations(&self) -> impl Iterator<Item = (&Name, &SavedModel)> {
        self.durations.iter().map(|(name, m)| (name, &m.value))
    }

    /// Returns the submission of a job, if known.
    #[must_use]
    pub fn submission(&self, job: JobKey) -> Option<&Submission> {
        self.submitted.get(&job).map(|s| &**s)
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

    /// Returns the jobs that were cancelled and have not been submitted, sorted by key, each with the
    /// log offset of the latest cancellation.
    pub fn withdrawn(&self) -> impl Iterator<Item = (JobKey, u64)> {
        self.withdrawn.iter().map(|(job, w)| (*job, w.offset))
    }

    /// Returns whether `owner` has cancelled the job, which has not been submitted.
    #[must_use]
    pub fn is_withdrawn(&self, job: JobKey, owner: &Owner) -> bool {
        self.withdrawn.get(&job).is_some_and(|w| w.value == *owner)
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

    /// Returns whether the next end of a run may be the end of the job: each of its tasks is done or
    /// placed on a minion.
    #[must_use]
    pub fn may_end_next(&self, job: JobKey) -> bool {
        let progress = self.progress(job);
        let is_pending = |t: &TaskProgress| t.placement == Placement::Pending;
        progress.is_some_and(|p| p.outcome.is_none() && !p.tasks.iter().any(is_pending))
    }

    /// Returns the number of a queue's jobs in the state [`JobState::Pending`].
    #[must_use]
    pub fn pending_jobs(&self, queue: &str) -> usize {
        self.pending.get(queue).copied().unwrap_or(0)
    }

    /// Returns all jobs, sorted by key.
    pub fn jobs(&self) -> impl Iterator<Item = (JobKey, &Submission)> {
        self.submitted.iter().map(|(job, s)| (*job, &**s))
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
