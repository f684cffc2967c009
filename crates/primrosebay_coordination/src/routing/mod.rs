//! Routing of requests to minions: load balancing, admission, retries and attempt ids.
//!
//! All state is the view of one entry instance. It is not shared with other instances, and is
//! rebuilt from observations after a restart.

pub mod admission;
pub mod attempt;
pub mod backoff;
pub mod budget;
pub mod deadline;
pub mod estimate;
pub mod minion;
pub mod outlier;
pub mod retry;
pub mod router;
pub mod slow_start;
pub mod table;
