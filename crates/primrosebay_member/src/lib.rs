//! A scheduler instance that keeps the state of its cell in a shared log.
//!
//! Every instance follows the log, serves callers and can be elected leader. The log, the minions
//! and the advice service are reached through [`platform::Platform`]. In the records of the log, an
//! instance is called a member.

pub mod backpressure;
pub mod calls;
mod carry;
mod commands;
mod election;
pub mod election_timeout;
mod follow;
mod lead;
mod links;
mod load;
pub mod metrics;
pub mod node;
mod operators;
mod outage;
mod peer;
pub mod platform;
mod relay;
pub mod settings;
mod shared;
mod submit;
pub mod waiters;

pub use primrosebay_transport::log_limit;
