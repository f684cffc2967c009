//! Tests of the leader with simulated minions, log and advice service, without a network.

mod durability;
mod extreme_entries;
mod load;
mod minions;
mod random;
mod simulation;
