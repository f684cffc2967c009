//! Why a job waits or can never run.

use primrosebay_state::Name;

/// One kind of resource.
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
    /// Every kind.
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

/// One reason why a job waits or can never run.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// No worker is large enough.
    #[error("a task needs {needed} {kind} and the largest worker has {largest}")]
    NeverFits {
        /// The resource that is too small everywhere.
        kind: ResourceKind,
        /// What a task needs.
        needed: u64,
        /// The most that one worker has.
        largest: u64,
    },
    /// Each resource is large enough on some worker, but no worker has all of them.
    #[error("no worker has all the resources of a task together")]
    NeverFitsTogether,
    /// The tasks of a gang do not fit into the zone together.
    #[error("the gang has {tasks} tasks and the empty zone has room for {room}")]
    GangTooLarge {
        /// The tasks of the gang.
        tasks: u64,
        /// The tasks that would fit if nothing ran.
        room: u64,
    },
    /// No worker has enough of a resource free.
    #[error("a task needs {needed} {kind}; the largest free amount on one worker is {largest}")]
    NotFree {
        /// The resource.
        kind: ResourceKind,
        /// What a task needs.
        needed: u64,
        /// The most that one worker has free.
        largest: u64,
    },
    /// Each resource is free on some worker, but no worker has all of them free.
    #[error("no worker has all the resources of a task free together")]
    NotFreeTogether,
    /// The team would exceed its allowance in this zone.
    #[error("team {team} uses {used} {kind} of {limit}, and the next start needs {needed}")]
    Allowance {
        /// The team.
        team: Name,
        /// The resource.
        kind: ResourceKind,
        /// What the next start needs.
        needed: u64,
        /// What the team uses.
        used: u64,
        /// The team's allowance in this zone.
        limit: u64,
    },
    /// The team is not configured.
    #[error("team {team} is unknown")]
    UnknownTeam {
        /// The team.
        team: Name,
    },
    /// Every worker with room already has as many tasks of the job as allowed.
    #[error("every worker with room has {limit} tasks of the job, which is its limit")]
    WorkerLimit {
        /// The limit of the job.
        limit: u32,
    },
    /// Every rack with room already has as many tasks of the job as allowed.
    #[error("every rack with room has {limit} tasks of the job, which is its limit")]
    RackLimit {
        /// The limit of the job.
        limit: u32,
    },
    /// Only a part of a gang fits now.
    #[error("{room} of the {tasks} tasks of the gang fit now")]
    GangPartlyFits {
        /// The tasks of the gang.
        tasks: u64,
        /// The tasks that fit now.
        room: u64,
    },
    /// Workers with room are kept for jobs that need their accelerators.
    #[error("the free cores and memory of {workers} workers are kept for accelerator jobs")]
    AcceleratorHeadroom {
        /// The workers that would otherwise have room.
        workers: usize,
    },
    /// Workers with room are held for jobs that wait longer.
    #[error("{workers} workers with room are held for jobs that wait longer")]
    Held {
        /// The workers that would otherwise have room.
        workers: usize,
    },
    /// Other tasks are being stopped to make room.
    #[error("{tasks} tasks wait for others to be stopped")]
    AwaitingPreemption {
        /// The tasks that will start then.
        tasks: usize,
    },
    /// Other work comes first.
    #[error("{jobs} jobs of the team and {teams} teams come first")]
    QueuedBehind {
        /// Jobs of the same team that come first.
        jobs: usize,
        /// Teams with pending work that are further below their share.
        teams: usize,
    },
}
