//! Settings of the scheduler.

/// Limits, intervals and weights of the scheduler.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Milliseconds after its submission by which a job without a deadline should start.
    pub ageing_ms: u64,
    /// Milliseconds before a job should start over which the rank bonus of its team grows from zero
    /// to its maximum.
    pub boost_ms: u64,
    /// Maximum rank bonus for a near deadline, in thousandths of the zone's resources.
    pub deadline_permille: u32,
    /// Maximum rank bonus for the age of a job without a deadline, in thousandths of the zone's
    /// resources.
    pub ageing_permille: u32,
    /// Thousandths of the zone's resources that the urgent tasks of one team may use ahead of all
    /// other work.
    pub urgent_permille: u32,
    /// Maximum number of tasks of one team that may be stopping for urgent work at a time.
    pub max_victims: usize,
    /// Maximum number of jobs with a reservation at a time.
    pub max_reservations: usize,
    /// Milliseconds after which the first job of the team that is furthest below its share gets a
    /// reservation.
    pub starvation_ms: u64,
    /// Milliseconds after which a reservation is recomputed, or a failed attempt to make one is
    /// retried.
    pub refresh_ms: u64,
    /// Milliseconds after which a gang that did not fit is retried.
    pub gang_retry_ms: u64,
    /// Milliseconds for which the accelerator headroom is kept after pending accelerator jobs last
    /// needed all of it.
    pub headroom_ms: u64,
    /// Whether a task is granted what earlier tasks of its family used instead of what it declares.
    /// The coordinator must then start tasks with the resources from [`super::Scheduler::granted`]
    /// and pass those of a recovered task to [`super::Scheduler::add_running`].
    pub learn_sizes: bool,
    /// Run time in milliseconds assumed for a batch or gang task with neither a declared nor a
    /// learned run time.
    pub run_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ageing_ms: 86_400_000,
            boost_ms: 600_000,
            // Both bonuses together stay below the 2% by which a team may deviate from its share.
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
