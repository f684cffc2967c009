//! The coordinator's state of one worker of its zone.

use primrosebay_state::Name;
use primrosebay_state::id::{AttemptId, JobId, TaskId};
use primrosebay_state::resources::Resources;
use primrosebay_state::time::{Time, upper_bound};

use super::lease::{self, ClockReading};

/// A worker of the zone, as a coordinator or candidate knows it.
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub(super) struct Member {
    pub rack: Name,
    pub total: Resources,
    /// Whether the worker is in the latest instance list.
    pub listed: bool,
    pub leaving: bool,
    /// The run of the worker process that replied last; 0 before the first reply.
    pub run: u64,
    pub reading: Option<ClockReading>,
    /// Sequence number and time of the last request.
    pub last_request: (u64, Time),
    /// Sequence number of the latest request that was answered.
    pub last_reply: u64,
    /// Whether the last request is unanswered and has not timed out.
    pub in_flight: bool,
    /// Whether the next request is due immediately.
    pub due_now: bool,
    /// Send time of the latest granted request.
    pub granted_at: Option<Time>,
    /// When the first granted reply arrived since the claim or the worker's restart.
    pub claimed_at: Option<Time>,
    /// Whether the worker knew an open term of another instance when it granted its lease. A
    /// restarted worker has lost the terms that it granted, so it cannot rule out a later term.
    pub remembers_terms: bool,
    /// Whether the worker has restarted after it granted its lease and has not learned a term of
    /// this instance since then. Each new proposal clears the flag.
    pub forgot_terms: bool,
    /// The latest epoch of this coordinator whose voters the worker has stored.
    pub known_epoch: u64,
    /// Latest time at which the tasks on the worker may have been renewed.
    pub renewed_at: Option<Time>,
    /// The highest sequence number of a handled report.
    pub last_report: u64,
    /// Report number and task of ended attempts that the worker has to keep until their result is
    /// durable.
    pub unacknowledged: Vec<(u64, TaskId)>,
    /// Tasks placed on the worker whose start has not been sent.
    pub placed: Vec<TaskId>,
    /// Tasks that were sent to the worker and may run there.
    pub tasks: Vec<TaskId>,
    /// Attempts that run although their task has ended or runs elsewhere.
    pub stale_attempts: Vec<AttemptId>,
    /// Whether there are new attempts to stop or throttle.
    pub stops_due: bool,
    /// Whether the last request with a deadline had attempts to stop or throttle.
    pub stops_sent: bool,
    /// When the latest reply arrived, and for how many milliseconds the lease had been free then;
    /// `None` if another instance held it.
    pub observed: Option<(Time, Option<u64>)>,
    /// Jobs that failed on the worker since its last success.
    pub failed_jobs: Vec<JobId>,
    /// No task is placed before this time, so that retries go to other workers.
    pub cooldown_until: Time,
    pub quarantine: Quarantine,
    /// Whether the scheduler may place tasks on the worker.
    pub usable: bool,
    /// Rack and capacity that the scheduler was given; `None` before the first update.
    pub registered: Option<(Name, Resources)>,
}

/// Quarantine state of a worker on which tasks fail.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) enum Quarantine {
    /// The worker is not in quarantine.
    #[default]
    None,
    /// The worker gets no tasks until the time; the duration of the quarantine is in milliseconds.
    Until(Time, u64),
    /// The worker gets one task at a time, after a quarantine of this many milliseconds.
    Probation(u64),
}

impl Default for Member {
    fn default() -> Self {
        Self {
            rack: Name::from(""),
            total: Resources::ZERO,
            listed: false,
            leaving: false,
            run: 0,
            reading: None,
            last_request: (0, Time(0)),
            last_reply: 0,
            in_flight: false,
            due_now: false,
            granted_at: None,
            claimed_at: None,
            remembers_terms: false,
            forgot_terms: false,
            known_epoch: 0,
            renewed_at: None,
            last_report: 0,
            unacknowledged: Vec::new(),
            placed: Vec::new(),
            tasks: Vec::new(),
            stale_attempts: Vec::new(),
            stops_due: false,
            stops_sent: false,
            observed: None,
            failed_jobs: Vec::new(),
            cooldown_until: Time(0),
            quarantine: Quarantine::None,
            usable: false,
            registered: None,
        }
    }
}

impl Member {
    /// Returns whether this instance is certain to hold the worker's lease.
    pub fn is_held(&self, now: Time, ttl: u64) -> bool {
        self.granted_at
            .is_some_and(|sent| lease::in_force(sent, now, ttl))
    }

    /// Returns whether no request is in flight. A request is treated as lost after `heartbeat`.
    pub fn may_send(&self, now: Time, heartbeat: u64) -> bool {
        !self.in_flight || now.since(self.last_request.1) >= heartbeat
    }

    /// Returns whether the next heartbeat is due.
    pub fn is_due(&self, now: Time, heartbeat: u64) -> bool {
        self.due_now || self.last_request.0 == 0 || now.since(self.last_request.1) >= heartbeat
    }

    /// Returns when the worker's tasks must have stopped unless they are renewed again; `None` if
    /// they were never renewed.
    pub fn tasks_end(&self, task_ttl: u64) -> Option<Time> {
        self.renewed_at.map(|sent| sent + upper_bound(task_ttl))
    }

    /// Handles the timeout of the request that was sent at `sent`.
    pub fn on_timeout(&mut self, sent: Time) {
        if self.last_request.1 == sent {
            self.in_flight = false;
        }
    }

    /// Discards all state of the worker's lease, tasks and failures. Replies to earlier requests
    /// are ignored from now on.
    pub fn reset(&mut self) {
        let cleared = Self {
            rack: self.rack.clone(),
            total: self.total,
            listed: self.listed,
            leaving: self.leaving,
            run: self.run,
            reading: self.reading,
            last_request: self.last_request,
            last_reply: self.last_request.0,
            ..Self::default()
        };
        *self = cleared;
    }

    /// Handles a restart of the worker: it runs no attempts and has lost its lease and its terms.
    pub fn on_restart(&mut self) {
        self.forgot_terms |= self.granted_at.is_some();
        self.granted_at = None;
        self.claimed_at = None;
        self.remembers_terms = false;
        self.known_epoch = 0;
        self.last_report = 0;
        self.unacknowledged.clear();
        self.stale_attempts.clear();
    }

    /// Returns for how many milliseconds the lease had been free at the latest reply; `None` if it
    /// was held or the reply arrived before `since`.
    pub fn free_for(&self, since: Time) -> Option<u64> {
        self.observed.filter(|seen| seen.0 >= since)?.1
    }

    /// Returns whether another instance held the lease at the latest reply, and that reply did not
    /// arrive before `since`.
    pub fn is_held_elsewhere(&self, since: Time) -> bool {
        self.observed
            .is_some_and(|(at, free)| at >= since && free.is_none())
    }

    /// Removes a placed or active task from the worker.
    pub fn remove_task(&mut self, task: TaskId) {
        self.tasks.retain(|t| *t != task);
        self.placed.retain(|t| *t != task);
    }
}
