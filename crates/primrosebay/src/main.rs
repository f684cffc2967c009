//! Command line of primrosebay.
fn main() {}
