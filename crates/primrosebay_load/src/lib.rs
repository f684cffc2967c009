//! Measures the request path: latency added at the entry instance, goodput at overload, and ways to
//! choose a minion.
//!
//! Everything runs in one process over loopback, with bounded counts and times.

mod caller;
mod cell;
pub mod choices;
pub mod goodput;
pub mod latency;
