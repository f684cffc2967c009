//! Scheduling logic of a cell, whose durable state is kept in a shared log.
//!
//! One instance at a time leads the cell: the leader places all tasks and is the only writer of
//! their progress. Every instance builds the same [`ledger::Ledger`] from the log, so any instance
//! can answer callers and take over. The crate does no I/O, spawns no threads and reads no clock.

pub mod carriers;
pub mod config;
pub mod fencing;
pub mod follower;
pub mod gang_room;
pub mod job;
pub mod leader;
pub mod ledger;
pub mod record;
pub mod terms;
pub mod victims;
