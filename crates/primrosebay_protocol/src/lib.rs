//! Messages between the processes of primrosebay, messages from and to the platform, and the
//! numbered result codes.

pub mod api;
pub mod code;
pub mod list;
pub mod log;
pub mod minion;
pub mod peer;
pub mod worker;
