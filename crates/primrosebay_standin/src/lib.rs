//! Small stand-ins for the platform: log, live list, workers and minions.
//!
//! They serve tests and the `dev` and `stand-in` commands, and keep nothing on disk.

pub mod list;
pub mod log;
pub mod minion;
pub mod worker;
