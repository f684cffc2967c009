//! Settings of a coordinator.

/// Times, in milliseconds, and bounds of a coordinator.
#[derive(Debug, Clone)]
pub struct Settings {
    /// How long a control lease lasts.
    pub control_ttl: u64,
    /// How long tasks run on without a renewal.
    pub task_ttl: u64,
    /// Time between two renewals of a lease.
    pub heartbeat: u64,
    /// Wait of a candidate for each rank before it.
    pub rank_delay: u64,
    /// Workers that a candidate reads the state of in each heartbeat.
    pub max_probes: usize,
    /// Most decisions of the scheduler in one step.
    pub max_decisions: usize,
    /// Wait before the second attempt of a task; doubles with each further failure.
    pub retry_base: u64,
    /// Longest wait before another attempt.
    pub retry_max: u64,
    /// Time for which a task that uses more than it was given is throttled before it is stopped.
    pub throttle_time: u64,
    /// Time without new tasks after a worker failed different jobs in a row. Their retries, which
    /// come within this time at first, go to other workers.
    pub cooldown: u64,
    /// Consecutive failures of different jobs after which a worker is quarantined.
    pub quarantine_after: usize,
    /// First time in quarantine; doubles with each failed probe.
    pub quarantine_base: u64,
    /// Longest time in quarantine.
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
