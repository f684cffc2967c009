//! Tests of the coordinator of a zone against a cell with faults.

mod random;
mod script;
mod world;
