//! Decisions that the scheduler returns to the coordinator.

use primrosebay_state::Name;
use primrosebay_state::id::TaskId;

/// A placement or preemption for the coordinator to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Starts a task. Its resources count as used from this decision on.
    Place {
        /// The task to start.
        task: TaskId,
        /// The worker to start the task on.
        worker: Name,
    },
    /// Stops a running task. Its resources count as used until the task is released or requeued.
    Preempt {
        /// The task to stop.
        task: TaskId,
        /// The worker that runs the task.
        worker: Name,
        /// Whether to checkpoint the task before it is stopped.
        checkpoint: bool,
    },
}
