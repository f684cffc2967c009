//! Domain types of primrosebay and the state built from log records.
//!
//! This crate does no I/O, starts no threads and reads no clock.

pub mod allowance;
pub mod config;
pub mod escrow;
pub mod id;
pub mod job;
pub mod record;
pub mod resources;
pub mod table;
pub mod time;

/// A shared immutable name of a team, key, zone, queue, instance or job.
pub type Name = std::sync::Arc<str>;
