//! Timing settings of the leader.

use super::durations::LearnDurations;

/// Settings of the leader. Names ending in `_ms` are in milliseconds.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Lease duration: the time for which a minion keeps its tasks running without a renewal from
    /// the leader. It has to outlast a leader failover, so that running tasks survive one; the
    /// tasks of a crashed minion are restarted only after the lease has expired.
    pub lease_ms: u64,
    /// Maximum lease that a minion grants, whatever a command asks for. A command whose lease was
    /// computed for the clock of an earlier incarnation of the minion may grant this much.
    pub max_lease_ms: u64,
    /// Time after sending during which a minion may still carry out a start. It is short so that
    /// the fate of an unanswered start is known soon.
    pub start_ttl_ms: u64,
    /// Maximum number of starts of a run that are sent as long as none is answered, while the minion
    /// answers otherwise.
    pub start_attempts: u32,
    /// Time after the sending of a start without an answer during which its task does not run on
    /// another minion, unless it lasts: a later incarnation of the minion may still carry out the
    /// start. It is limited by the 7 s within which a task that could run has to run.
    pub late_start_ms: u64,
    /// Time beyond [`Self::renew_ms`] for which a leader that cannot reach the log sends starts, so
    /// that a slow log does not have them abandoned. Their leases are shorter and end no later than
    /// those of the last renewals. A successor waits this long, [`Self::renew_ms`], a command and
    /// the longest lease for a minion that has restarted: together less than the 14 s and 3 s within
    /// which lost tasks have to run again.
    pub start_extra_ms: u64,
    /// Margin for the difference between the time of day of two machines.
    pub clock_margin_ms: u64,
    /// Time after which a command without an answer is given up.
    pub command_ms: u64,
    /// Maximum clock drift between a minion and the leader, in percent.
    pub drift_percent: u64,
    /// Margin for the transit time of a message, added to each bound on a minion's clock.
    pub slack_ms: u64,
    /// Time for which a leader that cannot reach the log keeps renewing leases. A successor waits
    /// this long in addition to the lease before it restarts the tasks of an unreachable minion. A
    /// task that lasts has to run again within 9 s, so the wait and the restart have to take less.
    /// Running tasks outlast an outage of the log of this time and a little over 4.3 s; the longest
    /// known one is 6.3 s.
    pub renew_ms: u64,
    /// Time since its last answer after which a minion counts as silent: it gets no starts and no
    /// lease renewals.
    pub silence_ms: u64,
    /// Maximum time for which a minion may delay its answer to a hold until a run ends.
    pub long_poll_ms: u64,
    /// Time since the last durable append after which holds wait for a shorter time.
    pub outage_ms: u64,
    /// Maximum time of a hold's waiting while the log is away. A shorter one costs calls to all
    /// minions.
    pub outage_poll_ms: u64,
    /// Delay before the next hold to a minion that did not answer or whose ended runs are not
    /// durable yet.
    pub retry_ms: u64,
    /// Time after which a stop that has no answer or no effect is sent again.
    pub stop_retry_ms: u64,
    /// Time after which a minion that is missing from the directory gets no more starts. Entries
    /// that expired during a directory outage return within two seconds.
    pub unlisted_ms: u64,
    /// Duration of the quarantine of a minion on which tasks of different jobs fail in a row.
    pub quarantine_ms: u64,
    /// Number of different jobs whose tasks have to fail in a row for a quarantine.
    pub quarantine_failures: u32,
    /// Time for which resources stay reserved for pending tasks while preempted runs stop.
    pub reserve_ms: u64,
    /// Duration above which an advice call counts as slow. Slow calls are made by separate
    /// instances, so that quick calls do not queue behind them.
    pub slow_call_ms: u64,
    /// Time for which an instance whose advice call failed gets no more calls.
    pub advice_retry_ms: u64,
    /// Margin subtracted from the validity of tickets, for the time until a start arrives.
    pub advice_slack_ms: u64,
    /// Margin added to the expected duration of an advice call to get its timeout.
    pub advice_grace_ms: u64,
    /// Time before its due time at which an occurrence may start.
    pub early_start_ms: u64,
    /// Time before a draining minion shuts down at which its runs are stopped, so that they save
    /// checkpoints.
    pub evict_ms: u64,
    /// Retention time of ended jobs.
    pub retention_ms: u64,
    /// Whether slow advice calls are planned by the room that is expected, and instances for them are
    /// given to queues by priority and share. Otherwise calls are made in serving order.
    pub plan_calls: bool,
    /// Maximum number of steps examined in one scheduling pass, without those that are known to lack
    /// room.
    pub max_steps: usize,
    /// What the leader does with the run times of finished runs.
    pub learn_durations: LearnDurations,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease_ms: 6_000,
            max_lease_ms: 10_000,
            start_ttl_ms: 2_500,
            start_attempts: 4,
            late_start_ms: 6_000,
            start_extra_ms: 1_500,
            clock_margin_ms: 5_000,
            command_ms: 1_000,
            drift_percent: 2,
            slack_ms: 300,
            renew_ms: 2_000,
            silence_ms: 2_200,
            long_poll_ms: 1_000,
            outage_ms: 1_000,
            outage_poll_ms: 500,
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
            plan_calls: false,
            max_steps: 400,
            learn_durations: LearnDurations::default(),
        }
    }
}

impl Settings {
    /// Returns the local duration after which at least `ms` milliseconds have passed on a minion's
    /// clock.
    pub(super) fn upper_ms(&self, ms: u64) -> u64 {
        self.drifted_ms(ms) + self.slack_ms
    }

    /// Returns the local duration after which at least `ms` milliseconds have passed on another clock,
    /// counted from an event that precedes the local one.
    pub(super) fn drifted_ms(&self, ms: u64) -> u64 {
        ms + ms * (self.drift_percent + 1) / 100
    }

    /// Returns the time after a leader's last command by which all runs have ended on a minion that
    /// gets no further one, whichever incarnation of the minion carries it out, in milliseconds.
    pub(super) fn settled_ms(&self) -> u64 {
        self.command_ms + self.upper_ms(self.max_lease_ms)
    }

    /// Returns the time after a leader's last durable record during which it may send commands that
    /// grant leases, in milliseconds.
    pub(super) fn granting_ms(&self) -> u64 {
        let extra_ms = self.lease_ms.saturating_sub(self.start_ttl_ms);
        self.renew_ms + self.start_extra_ms.min(extra_ms)
    }

    /// Returns the time since the start of a minion's incarnation after which no lease is in force
    /// that was granted for the clock of the former one, in milliseconds. A leader that does not
    /// notice the restart renews no lease once the minion counts as silent.
    pub(super) fn reborn_ms(&self) -> u64 {
        self.silence_ms + self.settled_ms() + self.clock_margin_ms
    }

    /// Returns the time after a leader's last durable record by which all of its leases have
    /// expired, in milliseconds.
    pub(super) fn inherited_ms(&self) -> u64 {
        self.renew_ms + self.upper_ms(self.lease_ms)
    }
}
