//! Bodies of the API towards callers and operators.

use serde::{Deserialize, Serialize};

use primrosebay_state::Name;
use primrosebay_state::config::{Event, Resource, StoredResource};
use primrosebay_state::id::JobId;
use primrosebay_state::job::{JobSpec, Problem};
use primrosebay_state::record::Outcome;
use primrosebay_state::resources::Resources;

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
            message: code.info().map_or("", |entry| entry.meaning).to_owned(),
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
    /// The other parts of a service that runs in several zones.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<Self>,
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

/// The body of a write of a resource.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WriteRequest {
    /// The version that is replaced; 0 if the resource must not exist yet.
    pub version: u64,
    /// The new contents. The field `kind` may be left out, because the path gives it.
    pub spec: Resource,
}

/// The answer to a write or deletion of a resource.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WriteResult {
    /// Tells whether the change is accepted.
    pub code: Code,
    /// What that means.
    pub message: String,
    /// The new version; the present one after a dry run.
    pub version: u64,
    /// The zones that have not applied the change.
    pub missing: Vec<Name>,
}

/// A resource as the API shows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ResourceView {
    /// The resource.
    #[serde(flatten)]
    pub item: StoredResource,
    /// The zones that have not applied its latest change.
    pub missing: Vec<Name>,
}

/// One page of a list, by name.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListPage<T> {
    /// The items.
    pub items: Vec<T>,
    /// What to give as `after` for the next page; nothing on the last one.
    pub next: Option<String>,
    /// What to give as `from` in order to watch the changes after this list.
    pub from: u64,
}

/// One line of a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum WatchLine {
    /// A resource was written or deleted.
    Change(Event),
    /// Nothing else happened before the offset `next`, from which a watch can go on.
    Bookmark {
        /// The offset.
        next: u64,
    },
    /// The watch fell so far behind that changes were lost; it ends here.
    TooOld {
        /// The result code.
        code: Code,
        /// The lowest offset that can be watched from.
        oldest: u64,
    },
}

/// Why the tasks of a job wait.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Explanation {
    /// The job.
    pub id: JobId,
    /// The home zone.
    pub zone: Name,
    /// The reasons, resource by resource and limit by limit; empty if no task waits.
    pub reasons: Vec<String>,
}

/// What a team uses and waits for in one zone.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TeamItem {
    /// The zone.
    pub zone: Name,
    /// The team.
    pub team: Name,
    /// The most that it may use in the zone.
    pub allowance: Resources,
    /// What its running tasks use.
    pub used: Resources,
    /// What its pending tasks ask for.
    pub wanted: Resources,
}

/// One worker as the API shows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkerItem {
    /// The name.
    pub name: Name,
    /// The availability zone.
    pub zone: Name,
    /// The rack.
    pub rack: Name,
    /// What it holds in total.
    pub total: Resources,
    /// Whether this instance holds its control lease.
    pub held: bool,
    /// Whether it gets tasks.
    pub usable: bool,
    /// Whether it is quarantined because it fails what it starts.
    pub quarantined: bool,
    /// Tasks that were sent to it.
    pub tasks: usize,
}

/// One task as the API lists it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskItem {
    /// The task, as the job's identifier and the position.
    pub name: String,
    /// The job.
    pub job: JobId,
    /// The team.
    pub team: Name,
    /// The home zone.
    pub zone: Name,
    /// The state.
    #[serde(flatten)]
    pub task: TaskView,
}

/// The answer of `/readyz`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Ready {
    /// Whether the instance takes work.
    pub ready: bool,
    /// `fresh`, `outage` or `stale`.
    pub status: Name,
    /// Milliseconds since the end of the log was confirmed; nothing if it never was.
    pub age_ms: Option<u64>,
    /// The offset after the last configuration record in force.
    pub next: u64,
    /// The zones that the instance coordinates or may come to coordinate.
    pub zones: Vec<ZoneReady>,
}

/// How far the recovery of a zone has come.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ZoneReady {
    /// The zone.
    pub zone: Name,
    /// `OK` if inherited tasks may start.
    pub code: Code,
    /// Workers of the latest term whose lease is held.
    pub claimed: usize,
    /// Workers of the latest term.
    pub voters: usize,
    /// Workers on which unknown tasks may run.
    pub unlocated: Vec<Name>,
    /// Jobs with inherited tasks that wait.
    pub inherited: usize,
}
