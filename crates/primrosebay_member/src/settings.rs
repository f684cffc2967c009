//! Settings of an instance and their defaults.

use std::net::SocketAddr;
use std::time::Duration;

use primrosebay_cell::{carriers, follower, leader};
use primrosebay_state::Name;
use primrosebay_transport::http_server::Limits;

/// Settings of an instance of a cell.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of the instance, unique in the cell.
    pub name: Name,
    /// The availability zone of the instance.
    pub zone: Name,
    /// The listening address for other instances and for metrics; port 0 chooses a free port.
    pub internal_address: SocketAddr,
    /// The CPU share of the instance, in thousandths of a core. Larger instances are preferred as
    /// leader.
    pub cores_milli: u32,
    /// Memory of the machine, in bytes. A part of it is the budget for unfinished requests.
    pub memory_bytes: u64,
    /// Maximum number of open connections of other instances.
    pub peer_connections: usize,
    /// Maximum age of the configuration for accepting a call with an API key. A revoked key has to
    /// stop working on every instance within seconds, even on one that cannot reach the log.
    /// Also the maximum age of the cell state for reporting the backlog of a queue.
    pub key_age: Duration,
    /// Maximum age of the cell state for answering that a job does not exist.
    pub job_age: Duration,
    /// Maximum age of the cell state for which the log counts as reachable and the instance as
    /// ready.
    pub ready_age: Duration,
    /// Long-poll timeout of reads of the cell's stream.
    pub read_wait: Duration,
    /// Pause between reads on an instance that is not the leader. A longer pause means fewer calls
    /// to the log but older job states in answers.
    pub read_pause: Duration,
    /// Pause between reads instead of [`Self::read_pause`] while callers wait for the end of a job.
    pub awaited_pause: Duration,
    /// Maximum time for which the answer about a running job's state waits for the job's end, if all
    /// of its tasks are placed. Callers then learn of the end without asking again.
    pub end_wait: Duration,
    /// Pause before a failed call to the log is retried.
    pub retry_pause: Duration,
    /// Time without a record of the leader after which another instance claims the leadership,
    /// before the additions for log latency, jitter and rank.
    pub election_timeout: Duration,
    /// Multiple of the log's latency that is added to `election_timeout`.
    pub latency_factor: u32,
    /// Maximum random delay of a claim, which keeps instances from claiming at the same time.
    pub election_jitter: Duration,
    /// Upper bound of the additional delay by which smaller instances let the largest claim first.
    pub rank_delay: Duration,
    /// Minimum duration of a term before the leader hands over to an instance that has at least
    /// twice the CPU share.
    pub handover_delay: Duration,
    /// Interval at which an idle leader appends a heartbeat.
    pub heartbeat_interval: Duration,
    /// Time for which the leader collects further events after the first one of a pass.
    pub batch_delay: Duration,
    /// Interval of the leader's passes while there are no events.
    pub tick_interval: Duration,
    /// Pause between the leader's reads of the directory.
    pub directory_pause: Duration,
    /// Interval at which an instance repeats its announcement in the cell's stream.
    pub announce_interval: Duration,
    /// Timeout of records forwarded to the leader, in addition to a multiple of the log's
    /// latency.
    pub forward_timeout: Duration,
    /// Maximum number of record batches that an instance has in flight, forwarded to the leader or
    /// appended directly.
    pub max_appends: usize,
    /// Retry delay sent to callers while no instance can reach the log, in seconds.
    pub retry_after_s: u64,
    /// Interval at which other instances are asked whether they can reach the log, and the timeout
    /// of each such call.
    pub probe_interval: Duration,
    /// Maximum time subtracted from a caller's deadline, so that the answer arrives before it.
    pub deadline_slack: Duration,
    /// Maximum time for processing a caller's request, also the default if it has no deadline.
    pub request_timeout: Duration,
    /// Time for which a stopping instance keeps serving callers, so that load balancers can
    /// detect that it is not ready.
    pub drain_time: Duration,
    /// Minimum time between two polls of a carrier for commands of the leader, for each carrier of
    /// the cell. So the leader is polled equally often whatever their number is.
    pub poll_gap: Duration,
    /// Time for which the leader delays the answer to a poll until there are commands.
    pub poll_wait: Duration,
    /// Time after a poll was sent during which its commands may be carried out. A carrier that was
    /// paused for longer carries out none of them.
    pub order_age: Duration,
    /// Time within which a carrier answers a command, in addition to the time that the command
    /// waits at the minion.
    pub order_timeout: Duration,
    /// Settings of the choice of instances that follow the log.
    pub follower: follower::Settings,
    /// Settings of the choice of carriers.
    pub carriers: carriers::Settings,
    /// Settings of the scheduling done by the leader.
    pub leader: leader::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: Name::default(),
            zone: Name::default(),
            internal_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            cores_milli: 1_000,
            // The smallest machine.
            memory_bytes: 160 << 20,
            peer_connections: Limits::default().connections,
            key_age: Duration::from_secs(3),
            job_age: Duration::from_millis(1_500),
            ready_age: Duration::from_millis(1_200),
            read_wait: Duration::from_millis(400),
            read_pause: Duration::from_millis(150),
            awaited_pause: Duration::from_millis(30),
            end_wait: Duration::from_millis(200),
            retry_pause: Duration::from_millis(100),
            election_timeout: Duration::from_millis(700),
            latency_factor: 3,
            election_jitter: Duration::from_millis(200),
            rank_delay: Duration::from_millis(600),
            handover_delay: Duration::from_secs(3),
            heartbeat_interval: Duration::from_millis(200),
            batch_delay: Duration::from_millis(8),
            tick_interval: Duration::from_millis(50),
            directory_pause: Duration::from_millis(200),
            announce_interval: Duration::from_secs(20),
            forward_timeout: Duration::from_millis(300),
            max_appends: 4,
            retry_after_s: 1,
            probe_interval: Duration::from_millis(300),
            deadline_slack: Duration::from_millis(150),
            request_timeout: Duration::from_secs(3),
            drain_time: Duration::from_secs(3),
            poll_gap: Duration::from_millis(2),
            poll_wait: Duration::from_millis(15),
            order_age: Duration::from_secs(1),
            order_timeout: Duration::from_millis(1_600),
            follower: follower::Settings::default(),
            carriers: carriers::Settings::default(),
            leader: leader::Settings::default(),
        }
    }
}
