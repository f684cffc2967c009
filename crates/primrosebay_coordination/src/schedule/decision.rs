//! What the scheduler decides.

use primrosebay_state::Name;
use primrosebay_state::id::TaskId;

/// A decision that the coordinator carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Starts a task; its resources count as used from now on.
    Place {
        /// The task.
        task: TaskId,
        /// The worker to start it on.
        worker: Name,
    },
    /// Stops a running task; its resources count as used until it is released or queued again.
    Preempt {
        /// The task.
        task: TaskId,
        /// The worker that runs it.
        worker: Name,
        /// Whether to save its progress first.
        checkpoint: bool,
    },
}
