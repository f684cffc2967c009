//! Measures the request path: the latency that an entry instance adds, the goodput under overload
//! and the policies for choosing a minion.
//!
//! Everything runs in one process, over loopback where a network is needed, with bounded numbers of
//! requests and bounded times.

mod caller;
mod cell;
pub mod choices;
pub mod goodput;
pub mod latency;
