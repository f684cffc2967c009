//! The task scheduler of one zone: queues, fair sharing between teams, placement, reservations and
//! preemption.

mod block_set;
mod decision;
mod estimate;
mod explain;
mod fit;
mod fleet;
mod gang;
mod index;
mod job;
mod preempt;
mod queue;
mod reason;
mod round;
mod running_tasks;
mod scheduler;
mod settings;
mod shapes;
mod task_counts;
mod team;
mod usage;

pub use decision::Decision;
pub use reason::{Reason, ResourceKind};
pub use scheduler::Scheduler;
pub use settings::Settings;
pub use usage::TeamUsage;
