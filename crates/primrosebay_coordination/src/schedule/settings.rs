//! Settings of the scheduler.

/// Settings of the scheduler.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Waiting time in milliseconds after which a job counts as if its team used nothing.
    pub ageing_ms: u64,
    /// Part of the cell, in thousandths, that one team may use for urgent work.
    pub urgent_permille: u64,
    /// Most preempted tasks of one team that may be stopping at a time.
    pub victims: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ageing_ms: 3_600_000,
            urgent_permille: 250,
            victims: 64,
        }
    }
}
