//! Small stand-ins for the log, the live list, workers and minions.

pub mod minion;
