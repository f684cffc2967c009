//! Messages between the processes of primrosebay and towards the platform, and the numbered
//! result codes.

pub mod api;
pub mod code;
pub mod list;
pub mod log;
pub mod minion;
pub mod peer;
pub mod worker;
