//! Which task starts next, and on which worker.

mod blocks;
mod counts;
mod decision;
mod estimate;
mod explain;
mod fit;
mod fleet;
mod gang;
mod index;
mod job;
mod ledger;
mod preempt;
mod queue;
mod reason;
mod round;
mod scheduler;
mod settings;
mod shapes;
mod share;
mod usage;

pub use decision::Decision;
pub use reason::{Reason, ResourceKind};
pub use scheduler::Scheduler;
pub use settings::Settings;
pub use usage::TeamUsage;
