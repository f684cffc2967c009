//! Routing of requests to minions: choice of a minion, admission, retries and attempt ids.
//!
//! Everything here is one entry instance's own view. It is rebuilt by observation after a restart
//! and never shared.

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
