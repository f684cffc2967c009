//! Injected faults of a minion.

use serde::{Deserialize, Serialize};

/// Injected faults of a minion, set by `PUT /control`.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault is switched on its own and any of them can be combined"
)]
pub struct Faults {
    /// Number of further requests that run but whose connection is closed without an answer.
    pub drop_answers: u32,
    /// Milliseconds added to the run time of each request.
    pub delay_ms: u64,
    /// Whether every request runs and is answered with 500.
    pub fail: bool,
    /// HTTP status with which every request is answered after it has run, with an empty body and
    /// regardless of `fail`; 0 for none.
    pub status: u16,
    /// Whether every request is refused before it runs.
    pub refuse: bool,
    /// Whether requests run but keep their slots and are not answered until this is false.
    pub frozen: bool,
    /// Whether responses say that the minion is about to stop.
    pub leaving: bool,
    /// Whether each response is followed by one that no request asked for.
    pub stray: bool,
}
