//! Settings of a zone coordinator.

/// Durations, in milliseconds, and limits of a coordinator.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Duration of a control lease.
    pub control_ttl: u64,
    /// Time after its last renewal at which a worker stops its tasks.
    pub task_ttl: u64,
    /// Interval between two renewals of a lease.
    pub heartbeat: u64,
    /// Time that a candidate waits for each candidate of a better rank before it claims the zone.
    pub rank_delay: u64,
    /// Maximum number of workers whose lease state a candidate reads per heartbeat, until it sees a
    /// free lease.
    pub max_probes: usize,
    /// Maximum number of decisions in one run of the scheduler.
    pub max_decisions: usize,
    /// Retry delay after the first failure of a task; doubles with each further failure.
    pub retry_base: u64,
    /// Maximum retry delay, at which the doubling ends.
    pub retry_max: u64,
    /// Time for which a task that uses more than its allocation is throttled before it is stopped.
    pub throttle_time: u64,
    /// Time without new tasks for a worker on which different jobs failed in a row. The first
    /// retries of these jobs are due within this time, so they go to other workers.
    pub cooldown: u64,
    /// Consecutive failures of different jobs after which a worker is quarantined.
    pub quarantine_after: usize,
    /// Duration of the first quarantine; doubles with each failure on probation.
    pub quarantine_base: u64,
    /// Maximum duration of a quarantine.
    pub quarantine_max: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            control_ttl: 1_200,
            task_ttl: 20_000,
            heartbeat: 400,
            rank_delay: 300,
            max_probes: 3,
            max_decisions: 1_000,
            retry_base: 500,
            retry_max: 30_000,
            throttle_time: 5_000,
            cooldown: 2_000,
            quarantine_after: 5,
            quarantine_base: 10_000,
            quarantine_max: 600_000,
        }
    }
}
