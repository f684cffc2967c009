//! Tests of the leader with simulated minions, log and advice service, without a network.

mod cancellation;
mod durability;
mod handover;
mod load;
mod minions;
mod random;
mod simulation;
