//! In-memory stand-ins for the platform's log service, its instance list, workers and minions.
//!
//! Tests and the `dev` and `stand-in` commands use them. Nothing is written to disk.

pub mod list;
pub mod log;
pub mod minion;
pub mod worker;
