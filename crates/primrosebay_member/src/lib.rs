//! An instance of a cell whose durable state is kept in a shared log.
//!
//! Every instance follows the log, answers callers and can lead. What it needs from its
//! surroundings is behind [`platform::Platform`].

pub mod backpressure;
pub mod calls;
mod commands;
mod election;
pub mod election_timeout;
mod follow;
mod lead;
pub mod metrics;
pub mod node;
mod operators;
mod outage;
mod peer;
pub mod platform;
pub mod settings;
mod shared;
mod submit;
mod waiters;
