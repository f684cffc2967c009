//! Benchmark figures of the scheduler, each with its target and with the values of baseline
//! schedulers from the same run.

pub mod baseline;
pub mod cell;
pub mod figure;
pub mod figures;
pub mod leader;
pub mod placer;
pub mod simulation;
