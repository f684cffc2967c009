//! Settings of the leader.

/// Settings of the leader, in milliseconds unless said otherwise.
#[derive(Debug, Clone)]
pub struct Settings {
    /// How long a minion goes on without hearing from the leader. It has to cover a takeover, so
    /// that running tasks survive it; a crashed minion's tasks start elsewhere only after it.
    pub lease_ms: u64,
    /// How long after it was sent a start may still be carried out. It is short, so that a start
    /// without an answer is settled soon.
    pub start_ttl_ms: u64,
    /// How far the clocks of a minion and of the leader may drift apart, in percent.
    pub drift_percent: u64,
    /// Added to each bound on a minion's clock for the time that a message travels.
    pub slack_ms: u64,
    /// How long a leader that cannot reach the log goes on renewing leases. A successor waits this
    /// long in addition to the lease before it gives up a minion that it cannot reach.
    pub renew_ms: u64,
    /// How long a minion may have been silent when a task is started on it.
    pub silence_ms: u64,
    /// How long a minion may wait for an end before it answers.
    pub long_poll_ms: u64,
    /// How long a minion that does not answer is left alone.
    pub retry_ms: u64,
    /// How long a stop without an answer or an effect stands before it is sent again.
    pub stop_retry_ms: u64,
    /// How long an entry of the directory may be missing before its minion gets no more starts.
    /// Entries that lapsed while the directory was away return within two seconds.
    pub unlisted_ms: u64,
    /// How long a minion that fails tasks of different jobs in a row gets no starts.
    pub quarantine_ms: u64,
    /// How many tasks of different jobs have to fail in a row for that.
    pub quarantine_failures: u32,
    /// How long resources stay reserved for tasks whose victims are stopping.
    pub reserve_ms: u64,
    /// Calls for advice that take longer go to instances of their own, so that short ones do not
    /// wait behind them.
    pub slow_call_ms: u64,
    /// How long an instance that failed to get advice is not asked again.
    pub advice_retry_ms: u64,
    /// Taken off the validity of advice for the time until a start arrives.
    pub advice_slack_ms: u64,
    /// Added to the expected time of a call for advice before it counts as lost.
    pub advice_grace_ms: u64,
    /// How much earlier than due an occurrence may start.
    pub early_start_ms: u64,
    /// How long before a leaving minion ends its tasks are stopped, so that they save their work.
    pub evict_ms: u64,
    /// How long ended jobs are kept.
    pub retention_ms: u64,
    /// Most steps that one pass looks at.
    pub max_steps: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease_ms: 6_000,
            start_ttl_ms: 2_500,
            drift_percent: 2,
            slack_ms: 300,
            renew_ms: 12_000,
            silence_ms: 2_200,
            long_poll_ms: 1_000,
            retry_ms: 250,
            stop_retry_ms: 500,
            unlisted_ms: 2_500,
            quarantine_ms: 4_000,
            quarantine_failures: 2,
            reserve_ms: 1_500,
            slow_call_ms: 50,
            advice_retry_ms: 2_000,
            advice_slack_ms: 150,
            advice_grace_ms: 1_000,
            early_start_ms: 0,
            evict_ms: 700,
            retention_ms: 150_000,
            max_steps: 400,
        }
    }
}

impl Settings {
    /// Returns after how many local milliseconds `ms` have surely passed on a minion's clock.
    pub(super) fn upper_ms(&self, ms: u64) -> u64 {
        ms + ms * (self.drift_percent + 1) / 100 + self.slack_ms
    }
}
