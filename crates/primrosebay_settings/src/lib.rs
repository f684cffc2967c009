//! Settings of an entry instance: reads options from YAML and the environment and validates them.

mod options;
mod page;
mod problem;
mod reader;
mod settings;

pub use options::{Options, PREFIX};
pub use page::page;
pub use problem::{Problem, SettingsError};
pub use reader::Field;
pub use settings::{Addresses, Identity, Limits, Settings, Timeouts, Tls};
