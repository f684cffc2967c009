//! Request and response bodies of the API for callers and operators.

use serde::{Deserialize, Serialize};

use primrosebay_state::Name;
use primrosebay_state::config::{Event, Resource, StoredResource};
use primrosebay_state::id::JobId;
use primrosebay_state::job::{JobSpec, Problem};
use primrosebay_state::record::Outcome;
use primrosebay_state::resources::Resources;

use crate::code::Code;

/// The body of every response that reports a failure.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Failure {
    /// Tells why the call failed, and determines the HTTP status.
    pub code: Code,
    /// The meaning of the code for this call.
    pub message: String,
    /// The invalid fields; empty if the failure concerns no field.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<Problem>,
}

impl Failure {
    /// Creates a failure with the documented meaning of `code`.
    #[must_use]
    pub fn new(code: Code) -> Self {
        Self {
            code,
            message: code.info().map_or("", |info| info.meaning).to_owned(),
            problems: Vec::new(),
        }
    }

    /// Creates a failure that lists invalid fields.
    #[must_use]
    pub fn with_problems(code: Code, problems: Vec<Problem>) -> Self {
        Self {
            problems,
            ..Self::new(code)
        }
    }
}

/// The response to an accepted submission.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Submitted {
    /// [`Code::ACCEPTED`] if the job is in the log, [`Code::ACCEPTED_BY_PEERS`] if only other entry
    /// instances hold it.
    pub code: Code,
    /// The identifier of the job, or of the first part of a divided service.
    pub id: JobId,
    /// The home zone of this job, whose coordinator schedules it.
    pub zone: Name,
    /// The jobs of the other zones, if a service was divided among several zones.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<Self>,
}

/// The state of one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The task waits for its placement on a worker.
    Pending,
    /// The task was sent to a worker, which has not reported it yet.
    Starting,
    /// A worker reports that the task runs.
    Running,
    /// The task ended with this outcome.
    Ended(Outcome),
}

/// A task in responses of the API.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskView {
    /// The index of the task in the job, from 0.
    pub index: u32,
    /// The state as known to the coordinator, which may lag behind that on the worker.
    pub state: TaskState,
    /// The number of attempts so far.
    pub attempts: u32,
    /// The worker that runs the task; `None` if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<Name>,
}

/// A job in responses of the API.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobView {
    /// The identifier of the job, as returned for its submission.
    pub id: JobId,
    /// The home zone, whose coordinator schedules the job.
    pub zone: Name,
    /// How the job ended; `None` until it has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// The job as it was submitted.
    pub spec: JobSpec,
    /// The tasks, by index.
    pub tasks: Vec<TaskView>,
}

/// The body of a request that writes a resource.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WriteRequest {
    /// The version that the write replaces; 0 if the resource must not exist yet.
    pub version: u64,
    /// The new contents. The field `kind` may be omitted, because the path contains it.
    pub spec: Resource,
}

/// The response to a write or deletion of a resource.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WriteResult {
    /// Tells whether the change was accepted.
    pub code: Code,
    /// The meaning of the code.
    pub message: String,
    /// The new version; the present version after a dry run.
    pub version: u64,
    /// The zones that have not applied the change.
    pub missing: Vec<Name>,
}

/// A resource in responses of the API.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ResourceView {
    /// The resource with its kind, name and version.
    #[serde(flatten)]
    pub item: StoredResource,
    /// The zones that have not applied the latest change of the resource.
    pub missing: Vec<Name>,
}

/// One page of a list, sorted by name.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListPage<T> {
    /// The items of this page; empty if there are none after the requested name.
    pub items: Vec<T>,
    /// The query parameter `after` for the next page; `None` on the last page.
    pub next: Option<String>,
    /// The query parameter `from` of a watch of the changes after this list.
    pub from: u64,
}

/// One line of the response to a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum WatchLine {
    /// A resource was written or deleted.
    Change(Event),
    /// All changes before the offset `next` were sent; a watch can continue from `next`.
    Bookmark {
        /// The query parameter `from` of a watch that continues after this line.
        next: u64,
    },
    /// The watch fell so far behind that changes it had not sent were dropped. It is the last line.
    TooOld {
        /// Always [`Code::TOO_OLD`].
        code: Code,
        /// The lowest offset to watch from.
        oldest: u64,
    },
}

/// The reasons why tasks of a job are pending.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Explanation {
    /// The identifier of the job.
    pub id: JobId,
    /// The home zone, whose coordinator gave the reasons.
    pub zone: Name,
    /// One text for each resource or limit that keeps tasks pending; empty if no task is pending.
    pub reasons: Vec<String>,
}

/// The usage and the pending demand of a team in one zone.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TeamItem {
    /// The zone in which the usage and the demand are counted.
    pub zone: Name,
    /// The team whose tasks are counted.
    pub team: Name,
    /// The most resources that the team may use in the zone.
    pub allowance: Resources,
    /// The resources of the running tasks of the team.
    pub used: Resources,
    /// The resources that the pending tasks of the team request.
    pub wanted: Resources,
}

/// A worker in responses of the API.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkerItem {
    /// The unique name of the worker.
    pub name: Name,
    /// The availability zone of the worker, whose coordinator places tasks on it.
    pub zone: Name,
    /// The rack; empty if unknown.
    pub rack: Name,
    /// The total resources of the worker.
    pub total: Resources,
    /// Whether this entry instance holds the control lease of the worker.
    pub held: bool,
    /// Whether new tasks may be placed on the worker.
    pub usable: bool,
    /// Whether the worker is in quarantine or on probation after repeated failures.
    pub quarantined: bool,
    /// The number of tasks that were sent to the worker and may run there.
    pub tasks: usize,
}

/// A task in a list of tasks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskItem {
    /// The identifier of the job, a slash, and the index of the task in at least 5 digits, so that
    /// names sort by index.
    pub name: String,
    /// The job that the task belongs to.
    pub job: JobId,
    /// The team whose usage includes the task.
    pub team: Name,
    /// The home zone of the job.
    pub zone: Name,
    /// The index, state, attempts and worker of the task.
    #[serde(flatten)]
    pub task: TaskView,
}

/// The response of `/readyz`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Ready {
    /// Whether the instance accepts work.
    pub ready: bool,
    /// The freshness of the configuration: `fresh`, `outage` or `stale`.
    pub status: Name,
    /// Milliseconds since the end of the log was last confirmed; `None` if it was never confirmed.
    pub age_ms: Option<u64>,
    /// The offset after the last applied configuration record.
    pub next: u64,
    /// The zones that the instance coordinates or is a candidate for.
    pub zones: Vec<ZoneReady>,
}

/// The progress of the recovery of a zone after its coordinator changed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ZoneReady {
    /// The zone that the instance coordinates or is a candidate for.
    pub zone: Name,
    /// `OK` if tasks inherited from the previous coordinator may start.
    pub code: Code,
    /// Number of voters of the latest term whose lease this instance holds.
    pub claimed: usize,
    /// Number of voters of the latest term, which are the workers that its coordinator held.
    pub voters: usize,
    /// Workers on which tasks may run that the coordinator does not know.
    pub unlocated: Vec<Name>,
    /// Number of jobs whose inherited tasks wait for the recovery.
    pub inherited: usize,
}
