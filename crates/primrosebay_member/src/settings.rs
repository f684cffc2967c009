//! Settings of an instance.

use std::net::SocketAddr;
use std::time::Duration;

use primrosebay_cell::leader;
use primrosebay_state::Name;

/// Settings of an instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The instance's name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where other instances reach it and metrics are served.
    pub internal_address: SocketAddr,
    /// Its share of a processor, in thousandths of a core. The largest instances lead.
    pub cores_milli: u32,
    /// How old the knowledge of keys may be when a keyed call is accepted. A withdrawn key is to
    /// stop working on every instance within seconds, also on one that cannot reach the log.
    pub key_age: Duration,
    /// How old the knowledge of jobs may be when a caller is told that there is no such job.
    pub job_age: Duration,
    /// How old the last contact with the log may be for the instance to report itself ready.
    pub ready_age: Duration,
    /// How long a read of the cell's stream waits for a record.
    pub read_wait: Duration,
    /// Pause between reads of an instance that does not lead. It bounds the calls to the log, at
    /// the price of how old the states are that it reports.
    pub read_pause: Duration,
    /// Pause before a dependency that failed is tried again.
    pub retry_pause: Duration,
    /// How long the log may show no sign of the leader before another instance takes over, if the
    /// log answers at once.
    pub election_timeout: Duration,
    /// How many answers of the log a sign of the leader may take in addition.
    pub latency_factor: u32,
    /// Longest random delay of a takeover, so that instances do not claim at the same time.
    pub election_jitter: Duration,
    /// How much longer than the largest instance the smallest one waits before it takes over.
    pub rank_delay: Duration,
    /// How long an instance leads before it hands over to one that is at least twice as large.
    pub handover_delay: Duration,
    /// How often the leader appends something, so that others see that it lives.
    pub heartbeat_interval: Duration,
    /// Shortest time between two passes of the leader.
    pub batch_delay: Duration,
    /// Longest time between two passes of the leader.
    pub tick_interval: Duration,
    /// Pause between two reads of the directory by the leader.
    pub directory_pause: Duration,
    /// How often an instance announces itself again.
    pub announce_interval: Duration,
    /// How long the leader may take to append records of another instance, if the log answers at
    /// once.
    pub forward_timeout: Duration,
    /// Appends of submissions that an instance may have in flight.
    pub max_appends: usize,
    /// Time that callers are told to stay away when no instance can reach the log, in seconds.
    pub retry_after_s: u64,
    /// Pause between questions to other instances whether they can reach the log.
    pub probe_interval: Duration,
    /// Most that is taken off a caller's deadline, so that an answer reaches it in time.
    pub deadline_slack: Duration,
    /// Longest time for a caller's request if it names no deadline.
    pub request_timeout: Duration,
    /// How long an instance that stops goes on answering, so that load balancers notice.
    pub drain_time: Duration,
    /// Settings of the leader.
    pub leader: leader::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: Name::default(),
            zone: Name::default(),
            internal_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            cores_milli: 1_000,
            key_age: Duration::from_secs(3),
            job_age: Duration::from_millis(1_500),
            ready_age: Duration::from_millis(1_200),
            read_wait: Duration::from_millis(400),
            read_pause: Duration::from_millis(150),
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
            leader: leader::Settings::default(),
        }
    }
}
