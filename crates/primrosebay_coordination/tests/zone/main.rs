//! Tests of the zone coordinator in a simulated cell with faults.

mod handover;
mod random;
mod script;
mod simulation;
