//! Faults of a minion.

use serde::{Deserialize, Serialize};

/// What goes wrong at a minion.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault is switched on its own and any of them can be combined"
)]
pub struct Faults {
    /// Answers that are dropped, with their connections, after the request has run.
    pub drop_answers: u32,
    /// Time added to each request, in milliseconds.
    pub delay_ms: u64,
    /// Every request runs and fails.
    pub fail: bool,
    /// Every request runs and gets this status with an empty body; 0 for none.
    pub status: u16,
    /// Every request is refused before it runs.
    pub refuse: bool,
    /// Requests run, and their answers wait until this is switched off.
    pub frozen: bool,
    /// The minion says that it is about to stop.
    pub leaving: bool,
    /// Each answer is followed by an answer to nobody.
    pub stray: bool,
}
