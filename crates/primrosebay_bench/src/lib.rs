//! Measured figures of the scheduler, each with its target and its baselines in the same run.

pub mod baseline;
pub mod cell;
pub mod figure;
pub mod figures;
pub mod placer;
pub mod simulation;
