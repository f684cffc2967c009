//! Which task starts next, and on which worker.

mod decision;
mod reason;
mod scheduler;
mod settings;

pub use decision::Decision;
pub use reason::{Kind, Reason};
pub use scheduler::Scheduler;
pub use settings::Settings;
