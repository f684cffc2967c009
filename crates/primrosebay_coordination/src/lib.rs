//! Deterministic decision logic of the scheduler. The crate does no I/O and reads no clock: callers
//! pass in events and the time, and carry out the decisions.

pub mod acceptance;
pub mod escrow;
pub mod freshness;
pub mod membership;
pub mod publisher;
pub mod routing;
pub mod schedule;
pub mod worker;
pub mod zone;
