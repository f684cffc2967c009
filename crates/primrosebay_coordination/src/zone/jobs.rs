//! Jobs and the life cycle of their tasks.

use primrosebay_state::Name;
use primrosebay_state::id::{AttemptId, JobId, TaskId};
use primrosebay_state::job::{JobSpec, Policy, Repeat};
use primrosebay_state::record::Outcome;
use primrosebay_state::time::Time;

use primrosebay_state::table::Table;

/// The life cycle state of a task.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum State {
    /// A previous coordinator may have started the task.
    Inherited,
    /// The task is known not to run and has not been submitted to the scheduler, for example
    /// because its job waits for another job.
    Blocked,
    /// The task waits in the scheduler for resources.
    Queued,
    /// The task waits for its retry delay to pass.
    Backoff,
    /// The task is placed on a worker and its `Starting` record is being appended.
    Recording(Name),
    /// The task is placed on a worker and its start has not been sent.
    Placed(Name),
    /// A start was sent to a worker, or the worker reported the task.
    Active(Active),
    /// The task has ended.
    Ended {
        outcome: Outcome,
        /// Whether the log has a record of the outcome.
        recorded: bool,
    },
}

/// An attempt that may be running.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Active {
    pub worker: Name,
    /// The number of the attempt. Another worker may report a higher number for an ended attempt.
    pub attempt: u32,
    /// Sequence number of the request with the start; 0 if the attempt was taken over from a
    /// worker's report.
    pub request: u64,
    /// Whether the worker reported that the attempt runs.
    pub running: bool,
    /// Set if the attempt is to be stopped; the value says whether with a checkpoint.
    pub stop: Option<bool>,
    pub overuse: Overuse,
}

/// Whether an attempt uses more than its allocation.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) enum Overuse {
    /// The usage is within the allocation.
    #[default]
    None,
    /// The attempt is throttled, and is evicted if its usage is still too high at this time.
    Throttled(Time),
    /// The attempt is being stopped because throttling did not reduce its usage.
    Evicted,
}

/// The state of one task.
#[derive(Debug, Clone)]
pub(super) struct Task {
    pub state: State,
    /// The highest attempt number so far; 0 before the first attempt.
    pub attempts: u32,
    /// Consecutive failures, which determine the retry delay.
    pub failures: u32,
    /// Failures that count towards the job's retry limit, in quarters of a failure.
    pub penalty: u32,
    /// Whether a `Starting` record is in the log.
    pub start_recorded: bool,
}

/// The state of one job.
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub(super) struct Job {
    pub home: Name,
    pub spec: JobSpec,
    /// Whether only this coordinator, in its current tenure, can have started the job.
    pub exclusive: bool,
    /// Whether the `Accepted` record is in the log.
    pub logged: bool,
    /// Set if the job is cancelled; the value says whether the log has a record of it.
    pub cancelled: Option<bool>,
    /// Whether a task has failed permanently.
    pub failed: bool,
    /// The zone to which the job is being moved.
    pub moving_to: Option<Name>,
    /// Whether the job's tasks wait until none of them runs, to start together again.
    pub restarting: bool,
    pub tasks: Vec<Task>,
}

impl Task {
    pub fn is_ended(&self) -> bool {
        matches!(self.state, State::Ended { .. })
    }

    /// Returns the worker on which the task is placed or active.
    pub fn worker(&self) -> Option<&Name> {
        match &self.state {
            State::Recording(worker) | State::Placed(worker) => Some(worker),
            State::Active(active) => Some(&active.worker),
            _ => None,
        }
    }
}

impl Job {
    pub fn new(home: Name, spec: JobSpec, state: &State) -> Self {
        let task = Task {
            state: state.clone(),
            attempts: 0,
            failures: 0,
            penalty: 0,
            start_recorded: false,
        };
        let tasks = vec![task; spec.tasks as usize];
        Self {
            home,
            spec,
            exclusive: false,
            logged: false,
            cancelled: None,
            failed: false,
            moving_to: None,
            restarting: false,
            tasks,
        }
    }

    /// Returns whether the job is cancelled or failed, so that none of its tasks may start any
    /// more.
    pub fn is_closing(&self) -> bool {
        self.cancelled.is_some() || self.failed
    }

    pub fn is_ended(&self) -> bool {
        self.tasks.iter().all(Task::is_ended)
    }

    /// Marks the job as accepted by this coordinator, so that no other one can have started its
    /// tasks.
    pub fn mark_exclusive(&mut self) {
        self.exclusive = true;
        for task in &mut self.tasks {
            if task.state == State::Inherited {
                task.state = State::Blocked;
            }
        }
    }

    /// Returns the index and outcome of each ended task, ordered by index.
    pub fn ended_tasks(&self) -> Vec<(u32, Outcome)> {
        let outcome = |task: &Task| match task.state {
            State::Ended { outcome, .. } => Some(outcome),
            _ => None,
        };
        let tasks = (0..).zip(&self.tasks);
        tasks
            .filter_map(|(index, task)| Some((index, outcome(task)?)))
            .collect()
    }

    pub fn is_once(&self) -> bool {
        self.spec.repeat == Repeat::Once
    }

    pub fn is_gang(&self) -> bool {
        self.spec.policy == Policy::Gang
    }

    /// Returns the outcome of the job, or nothing while a task has not ended.
    pub fn outcome(&self) -> Option<Outcome> {
        if !self.is_ended() {
            return None;
        }
        let has = |wanted| {
            self.tasks
                .iter()
                .any(|task| matches!(task.state, State::Ended { outcome, .. } if outcome == wanted))
        };
        let order = [Outcome::Failed, Outcome::Unknown, Outcome::Cancelled];
        Some(
            order
                .into_iter()
                .find(|outcome| has(*outcome))
                .unwrap_or(Outcome::Done),
        )
    }

    /// Returns whether a successor can derive the end of the task at `index` from the log.
    pub fn is_end_durable(&self, index: u32) -> bool {
        let recorded = |task: &Task| matches!(task.state, State::Ended { recorded: true, .. });
        let closed = self.failed
            && self.tasks.iter().any(|task| {
                recorded(task)
                    && matches!(
                        task.state,
                        State::Ended {
                            outcome: Outcome::Failed,
                            ..
                        }
                    )
            });
        self.cancelled == Some(true)
            || closed
            || self.tasks.get(index as usize).is_none_or(recorded)
    }
}

/// All known jobs of the cell, including those of other zones.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    pub all: Table<JobId, Job>,
    /// The first job in the log for each team and job name.
    names: Table<(Name, Name), JobId>,
}

impl Jobs {
    pub fn task(&self, id: TaskId) -> Option<(&Job, &Task)> {
        let job = self.all.get(&id.job)?;
        Some((job, job.tasks.get(id.index as usize)?))
    }

    pub fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let job = self.all.get_mut(&id.job)?;
        job.tasks.get_mut(id.index as usize)
    }

    /// Returns the id of the active attempt of a task; its number is 0 if there is none.
    pub fn attempt(&self, id: TaskId) -> AttemptId {
        let attempt = match self.task(id).map(|(_, task)| &task.state) {
            Some(State::Active(active)) => active.attempt,
            _ => 0,
        };
        AttemptId { task: id, attempt }
    }

    /// Registers the name of a job that is in the log. Returns whether the job is the first of its
    /// team with that name.
    pub fn register_name(&mut self, id: JobId, spec: &JobSpec) -> bool {
        let key = (spec.team.clone(), spec.name.clone());
        *self.names.or_insert(key, id) == id
    }

    /// Returns the id of the first job of `team` in the log under `name`.
    pub fn id_by_name(&self, team: &Name, name: &Name) -> Option<JobId> {
        self.names.get(&(team.clone(), name.clone())).copied()
    }

    /// Returns the first job of `team` in the log under `name`.
    pub fn by_name(&self, team: &Name, name: &Name) -> Option<&Job> {
        self.all.get(&self.id_by_name(team, name)?)
    }
}
