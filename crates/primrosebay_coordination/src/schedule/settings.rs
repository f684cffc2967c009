//! Settings of the scheduler.

/// Settings of the scheduler.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Milliseconds after which a job without a deadline should have started.
    pub ageing_ms: u64,
    /// Milliseconds before a job should have started during which it becomes more pressing.
    pub boost_ms: u64,
    /// Part of the cell, in thousandths, by which a team with a near deadline may pass others.
    pub deadline_permille: u32,
    /// Part of the cell, in thousandths, by which a team with aged work may pass others.
    pub ageing_permille: u32,
    /// Part of the cell, in thousandths, that urgent work of one team may use ahead of all others.
    pub urgent_permille: u32,
    /// Most tasks of one team that may be stopping for urgent work at a time.
    pub max_victims: usize,
    /// Most jobs that resources are held for at a time.
    pub max_reservations: usize,
    /// Milliseconds after which the first job of the team that is furthest below its share gets
    /// resources held for it.
    pub starvation_ms: u64,
    /// Milliseconds after which a reservation is computed again.
    pub refresh_ms: u64,
    /// Milliseconds after which a gang that did not fit is tried again.
    pub gang_retry_ms: u64,
    /// Milliseconds for which accelerator workers are kept after accelerator jobs have waited.
    pub headroom_ms: u64,
    /// Whether tasks are granted what earlier tasks of their family used instead of what they
    /// declare. The coordinator must then start tasks with [`super::Scheduler::granted`] and pass
    /// what a recovered task was given to [`super::Scheduler::add_running`].
    pub learn_sizes: bool,
    /// Run time in milliseconds that is assumed for a batch or gang task that declares none.
    pub run_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ageing_ms: 86_400_000,
            boost_ms: 600_000,
            // Deadlines and ageing together stay below the 2% that a team may deviate from its share.
            deadline_permille: 3,
            ageing_permille: 2,
            urgent_permille: 250,
            max_victims: 64,
            max_reservations: 4,
            starvation_ms: 60_000,
            refresh_ms: 1_000,
            gang_retry_ms: 200,
            headroom_ms: 600_000,
            learn_sizes: false,
            run_ms: 3_600_000,
        }
    }
}
