//! Reasons why a job is pending or can never run.

use primrosebay_state::Name;

/// A kind of resource, displayed as its field name, such as `cores_milli`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResourceKind {
    /// Processor time in thousandths of a core.
    Cores,
    /// Memory in MiB.
    Memory,
    /// Whole accelerators.
    Accelerators,
}

impl ResourceKind {
    /// All kinds, in the order in which reasons are reported.
    pub const ALL: [Self; 3] = [Self::Cores, Self::Memory, Self::Accelerators];

    /// Returns the amount of this kind in `amount`.
    #[must_use]
    pub fn of(self, amount: &primrosebay_state::resources::Resources) -> u64 {
        match self {
            Self::Cores => amount.cores_milli,
            Self::Memory => amount.memory_mib,
            Self::Accelerators => amount.accelerators,
        }
    }
}

impl std::fmt::Display for ResourceKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Cores => "cores_milli",
            Self::Memory => "memory_mib",
            Self::Accelerators => "accelerators",
        })
    }
}

/// A reason why a job is pending or can never run.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// No worker has enough of one resource.
    #[error("a task needs {needed} {kind} and the largest worker has {largest}")]
    NeverFits {
        /// The resource that every worker has too little of.
        kind: ResourceKind,
        /// What a task needs, in the unit of `kind`.
        needed: u64,
        /// The largest amount on any one worker.
        largest: u64,
    },
    /// Each resource of a task fits on some worker, but no worker has enough of all of them.
    #[error("no worker has all the resources of a task together")]
    NeverFitsTogether,
    /// The tasks of a gang do not fit into the zone together, even if nothing else runs.
    #[error("the gang has {tasks} tasks and the empty zone has room for {room}")]
    GangTooLarge {
        /// The number of tasks of the gang.
        tasks: u64,
        /// The number of tasks that would fit if nothing else ran.
        room: u64,
    },
    /// No worker has enough of one resource free.
    #[error("a task needs {needed} {kind}; the largest free amount on one worker is {largest}")]
    NotFree {
        /// The resource that is short.
        kind: ResourceKind,
        /// What a task needs, in the unit of `kind`.
        needed: u64,
        /// The largest free amount on any one worker.
        largest: u64,
    },
    /// Each resource of a task is free on some worker, but no worker has enough of all of them
    /// free.
    #[error("no worker has all the resources of a task free together")]
    NotFreeTogether,
    /// The next start would exceed the allowance of the team in this zone.
    #[error("team {team} uses {used} {kind} of {limit}, and the next start needs {needed}")]
    Allowance {
        /// The team of the job.
        team: Name,
        /// The resource that is short.
        kind: ResourceKind,
        /// What the next start needs: one task, or all pending tasks of a gang.
        needed: u64,
        /// What the team uses, including the claims of its urgent tasks.
        used: u64,
        /// The allowance of the team in this zone.
        limit: u64,
    },
    /// The team is not configured.
    #[error("team {team} is unknown")]
    UnknownTeam {
        /// The team of the job.
        team: Name,
    },
    /// Workers with enough free resources already run as many tasks of the job as its worker limit
    /// allows.
    #[error("every worker with room has {limit} tasks of the job, which is its limit")]
    WorkerLimit {
        /// The limit, in tasks of the job.
        limit: u32,
    },
    /// Racks of workers with enough free resources already run as many tasks of the job as its rack
    /// limit allows.
    #[error("every rack with room has {limit} tasks of the job, which is its limit")]
    RackLimit {
        /// The limit, in tasks of the job.
        limit: u32,
    },
    /// Only some tasks of a gang fit now.
    #[error("{room} of the {tasks} tasks of the gang fit now")]
    GangPartlyFits {
        /// The number of pending tasks of the gang.
        tasks: u64,
        /// The number of tasks that fit now.
        room: u64,
    },
    /// Workers have enough free resources, but tasks without accelerators must leave them for
    /// accelerator jobs.
    #[error("the free cores and memory of {workers} workers are kept for accelerator jobs")]
    AcceleratorHeadroom {
        /// The number of these workers.
        workers: usize,
    },
    /// Workers have enough free resources, but hold them for other jobs.
    #[error("{workers} workers with room are held for jobs that wait longer")]
    Held {
        /// The number of these workers.
        workers: usize,
    },
    /// Urgent tasks of the job wait for preempted tasks to stop.
    #[error("{tasks} tasks wait for others to be stopped")]
    AwaitingPreemption {
        /// The number of tasks that wait.
        tasks: usize,
    },
    /// Jobs of the same team or other teams come first.
    #[error("{jobs} jobs of the team and {teams} teams come first")]
    QueuedBehind {
        /// The number of jobs of the same team that come first.
        jobs: usize,
        /// The number of teams with pending work that are further below their share.
        teams: usize,
    },
}
