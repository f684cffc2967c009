//! Bodies of the API towards callers and operators.

use serde::{Deserialize, Serialize};

use primrosebay_state::Name;
use primrosebay_state::id::JobId;
use primrosebay_state::job::{JobSpec, Problem};
use primrosebay_state::record::Outcome;

use crate::code::Code;

/// The body of every answer that is not a success.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Failure {
    /// The result code.
    pub code: Code,
    /// What it means for this call.
    pub message: String,
    /// The fields that are wrong.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<Problem>,
}

impl Failure {
    /// Creates a failure with the documented meaning of `code`.
    #[must_use]
    pub fn new(code: Code) -> Self {
        Self {
            code,
            message: code.entry().map_or("", |entry| entry.meaning).to_owned(),
            problems: Vec::new(),
        }
    }

    /// Creates a failure that names fields.
    #[must_use]
    pub fn with_problems(code: Code, problems: Vec<Problem>) -> Self {
        Self {
            problems,
            ..Self::new(code)
        }
    }
}

/// The answer to an accepted submission.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Submitted {
    /// Tells how the job is kept.
    pub code: Code,
    /// The job.
    pub id: JobId,
    /// The home zone.
    pub zone: Name,
}

/// The state of one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The task waits to be placed.
    Pending,
    /// The task was sent to a worker, which has not reported it yet.
    Starting,
    /// A worker reports that the task runs.
    Running,
    /// The task ended.
    Ended(Outcome),
}

/// One task as the API shows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskView {
    /// The position in the job, from 0.
    pub index: u32,
    /// The state.
    pub state: TaskState,
    /// The number of attempts so far.
    pub attempts: u32,
    /// The worker, while there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<Name>,
}

/// One job as the API shows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobView {
    /// The job.
    pub id: JobId,
    /// The home zone.
    pub zone: Name,
    /// How the whole job ended, once it has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// What was submitted.
    pub spec: JobSpec,
    /// The tasks, by index.
    pub tasks: Vec<TaskView>,
}
