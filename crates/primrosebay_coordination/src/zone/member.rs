//! What a coordinator knows of one worker.

use primrosebay_state::Name;
use primrosebay_state::id::{AttemptId, JobId, TaskId};
use primrosebay_state::resources::Resources;
use primrosebay_state::time::{Time, upper_bound};

use super::lease::{self, Reading};

/// One worker as seen by a coordinator or candidate.
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub(super) struct Member {
    pub rack: Name,
    pub total: Resources,
    pub listed: bool,
    pub leaving: bool,
    /// The run of the worker's process that answered last; 0 if none did.
    pub run: u64,
    pub reading: Option<Reading>,
    /// Number and time of the last request.
    pub asked: (u64, Time),
    /// The last request that was answered.
    pub answered: u64,
    pub waiting: bool,
    /// Whether the next exchange is due at once.
    pub hurried: bool,
    /// When the last request that was granted was sent.
    pub granted: Option<Time>,
    /// When the first such request since the claim was answered.
    pub claimed: Option<Time>,
    /// Whether the worker knew an opened term when it granted its lease. One that has restarted
    /// has forgotten which terms it granted, so it proves nothing about them.
    pub remembers: bool,
    /// The latest epoch of this coordinator whose voters the worker knows.
    pub told: u64,
    /// When tasks on the worker were renewed last, as far as is known.
    pub renewed: Option<Time>,
    /// The highest report that was handled.
    pub handled: u64,
    /// Ended attempts that may not be forgotten before their result is durable.
    pub ended: Vec<(u64, TaskId)>,
    /// Tasks placed on the worker whose start has not been sent.
    pub placed: Vec<TaskId>,
    /// Tasks that were sent to the worker and may run there.
    pub tasks: Vec<TaskId>,
    /// Attempts that run although their task has ended or runs elsewhere.
    pub strays: Vec<AttemptId>,
    /// Whether there are new attempts to stop.
    pub stops: bool,
    /// Whether the last request had attempts to stop.
    pub stopping: bool,
    /// When the lease was last seen by a candidate, and for how long it had been free; nothing if
    /// it was held.
    pub seen: Option<(Time, Option<u64>)>,
    /// Jobs that failed here, since the last success.
    pub failed: Vec<JobId>,
    /// No task before this time, so that a retry goes to another worker.
    pub rest: Time,
    pub quarantine: Quarantine,
    pub usable: bool,
    /// Rack and size as the scheduler knows them.
    pub known: Option<(Name, Resources)>,
}

/// Whether a worker that fails what it starts gets tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) enum Quarantine {
    /// Gets tasks.
    #[default]
    None,
    /// Gets none until the time; the wait lasted for so many milliseconds.
    Until(Time, u64),
    /// Gets one task at a time, after a wait of so many milliseconds.
    Probing(u64),
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
            asked: (0, Time(0)),
            answered: 0,
            waiting: false,
            hurried: false,
            granted: None,
            claimed: None,
            remembers: false,
            told: 0,
            renewed: None,
            handled: 0,
            ended: Vec::new(),
            placed: Vec::new(),
            tasks: Vec::new(),
            strays: Vec::new(),
            stops: false,
            stopping: false,
            seen: None,
            failed: Vec::new(),
            rest: Time(0),
            quarantine: Quarantine::None,
            usable: false,
            known: None,
        }
    }
}

impl Member {
    /// Returns whether the worker's lease is held for sure.
    pub fn is_held(&self, now: Time, ttl: u64) -> bool {
        self.granted
            .is_some_and(|sent| lease::in_force(sent, now, ttl))
    }

    /// Returns whether a request may be sent although `heartbeat` has not passed.
    pub fn is_idle(&self, now: Time, heartbeat: u64) -> bool {
        !self.waiting || now.since(self.asked.1) >= heartbeat
    }

    /// Returns whether the next heartbeat is due.
    pub fn is_due(&self, now: Time, heartbeat: u64) -> bool {
        self.hurried || self.asked.0 == 0 || now.since(self.asked.1) >= heartbeat
    }

    /// Returns when the tasks on the worker have ended if no later renewal is sent.
    pub fn tasks_end(&self, task_ttl: u64) -> Option<Time> {
        self.renewed.map(|sent| sent + upper_bound(task_ttl))
    }

    /// Notes that the request sent at `sent` got no answer.
    pub fn unanswered(&mut self, sent: Time) {
        if self.asked.1 == sent {
            self.waiting = false;
        }
    }

    /// Forgets everything about the lease. Answers to earlier requests have no effect any more.
    pub fn reset(&mut self) {
        let fresh = Self {
            rack: self.rack.clone(),
            total: self.total,
            listed: self.listed,
            leaving: self.leaving,
            run: self.run,
            reading: self.reading,
            asked: self.asked,
            answered: self.asked.0,
            ..Self::default()
        };
        *self = fresh;
    }

    /// Notes that the worker has started anew: it runs nothing and has granted nothing.
    pub fn restarted(&mut self) {
        self.granted = None;
        self.claimed = None;
        self.remembers = false;
        self.told = 0;
        self.handled = 0;
        self.ended.clear();
        self.strays.clear();
    }

    /// Returns how long the lease had been free when it was seen at `since` or later.
    pub fn free_for(&self, since: Time) -> Option<u64> {
        self.seen.filter(|seen| seen.0 >= since)?.1
    }

    /// Returns whether the lease was seen held by another instance at `since` or later.
    pub fn is_taken(&self, since: Time) -> bool {
        self.seen
            .is_some_and(|(at, free)| at >= since && free.is_none())
    }

    /// Removes `task` from the worker.
    pub fn remove(&mut self, task: TaskId) {
        self.tasks.retain(|t| *t != task);
        self.placed.retain(|t| *t != task);
    }
}
