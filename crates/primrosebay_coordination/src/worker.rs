//! Worker-side state of control leases and task attempts.

use primrosebay_protocol::worker::{AttemptState, Command, Reply, Report, Request, Start, Term};
use primrosebay_state::id::AttemptId;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::WorkerTime;

/// The control lease and the attempts of one worker.
///
/// All times are readings of the worker's own clock, so the worker can reject a request that was
/// delayed, or that a paused process sent, without comparing two clocks.
#[derive(Debug, Clone)]
pub struct WorkerState {
    run: u64,
    total: Resources,
    term: Option<Term>,
    /// The last term that was received with its voters.
    opened_term: Option<Term>,
    lease_until: WorkerTime,
    /// Sequence number of the last granted request.
    last_request: u64,
    /// Running attempts are stopped at this time unless they are renewed.
    tasks_until: WorkerTime,
    /// Sequence number of the last report.
    last_report: u64,
    /// Latest report of each attempt, sorted by attempt.
    attempts: Vec<Report>,
}

impl WorkerState {
    /// Creates the table of a worker that has just started. `run` identifies this run of the worker
    /// process: it is not 0 and differs for each start.
    #[must_use]
    pub fn new(run: u64, total: Resources) -> Self {
        Self {
            run,
            total,
            term: None,
            opened_term: None,
            lease_until: WorkerTime(0),
            last_request: 0,
            tasks_until: WorkerTime(0),
            last_report: 0,
            attempts: Vec::new(),
        }
    }

    /// Handles a request from a coordinator or candidate.
    pub fn exchange(&mut self, clock: WorkerTime, request: &Request) -> Reply {
        self.tick(clock);
        let granted = self.is_valid(clock, request);
        if granted {
            self.apply(clock, request);
        }
        self.reply(clock, request, granted)
    }

    /// Records that an attempt ended by itself. Returns whether the attempt was still running.
    pub fn finish(&mut self, clock: WorkerTime, attempt: AttemptId, state: AttemptState) -> bool {
        self.tick(clock);
        self.end_attempt(attempt, state)
    }

    /// Stops all running attempts once their last renewal has expired.
    pub fn tick(&mut self, clock: WorkerTime) {
        if clock < self.tasks_until {
            return;
        }
        let running: Vec<_> = self.running().map(|report| report.attempt).collect();
        for attempt in running {
            self.end_attempt(attempt, AttemptState::Stopped);
        }
    }

    /// Records the resource usage of an attempt. A running attempt is reported again if its new or
    /// its previous usage exceeds its allocation.
    pub fn record_usage(&mut self, attempt: AttemptId, usage: Resources) {
        let Ok(at) = self.position(attempt) else {
            return;
        };
        let report = &mut self.attempts[at];
        let exceeds = |usage: &Resources| !usage.fits(&report.resources);
        let changed = exceeds(&usage) || exceeds(&report.usage);
        report.usage = usage;
        if changed && report.state == AttemptState::Running {
            self.last_report += 1;
            report.sequence = self.last_report;
        }
    }

    /// Returns the running attempts.
    pub fn running(&self) -> impl Iterator<Item = &Report> {
        self.attempts
            .iter()
            .filter(|report| report.state == AttemptState::Running)
    }

    /// Returns the sum of the resources allocated to the running attempts.
    #[must_use]
    pub fn used(&self) -> Resources {
        self.running()
            .fold(Resources::ZERO, |sum, report| sum.plus(&report.resources))
    }

    /// Returns the capacity of the worker.
    #[must_use]
    pub fn total(&self) -> Resources {
        self.total
    }

    fn is_valid(&self, clock: WorkerTime, request: &Request) -> bool {
        let in_time = request.deadline.is_none_or(|deadline| clock <= deadline);
        let this_run = request.run == self.run || request.deadline.is_none();
        in_time && this_run && request.lease_ms > 0 && self.may_hold_lease(clock, request)
    }

    fn may_hold_lease(&self, clock: WorkerTime, request: &Request) -> bool {
        let Some(term) = &self.term else {
            return true;
        };
        if term.holder == request.term.holder {
            request.term.epoch >= term.epoch && request.sequence > self.last_request
        } else {
            request.term.epoch > term.epoch && clock >= self.lease_until
        }
    }

    fn apply(&mut self, clock: WorkerTime, request: &Request) {
        if !request.term.voters.is_empty() {
            self.opened_term = Some(request.term.clone());
        }
        self.term = Some(Term {
            voters: Vec::new(),
            ..request.term.clone()
        });
        self.last_request = request.sequence;
        self.lease_until = clock + request.lease_ms;
        // A request without a deadline may be arbitrarily old, so it changes the term and the lease
        // but no attempt.
        if request.deadline.is_some() {
            self.tasks_until = self.tasks_until.max(request.tasks_until);
            self.drop_acknowledged(request.acknowledged);
            for command in &request.commands {
                self.execute(command);
            }
        }
        if request.release {
            self.lease_until = clock;
        }
    }

    fn drop_acknowledged(&mut self, acknowledged: u64) {
        self.attempts.retain(|report| {
            report.state == AttemptState::Running || report.sequence > acknowledged
        });
    }

    fn execute(&mut self, command: &Command) {
        match command {
            Command::Start(start) => self.start_attempt(start),
            Command::Stop { attempt, .. } => {
                self.end_attempt(*attempt, AttemptState::Stopped);
            }
            Command::Throttle { .. } => {}
        }
    }

    fn start_attempt(&mut self, start: &Start) {
        let Err(at) = self.position(start.attempt) else {
            return;
        };
        let free = self.total.minus(&self.used());
        let state = if start.resources.fits(&free) {
            AttemptState::Running
        } else {
            AttemptState::Refused
        };
        self.last_report += 1;
        let report = Report {
            sequence: self.last_report,
            attempt: start.attempt,
            state,
            resources: start.resources,
            usage: Resources::ZERO,
            team: start.team.clone(),
        };
        self.attempts.insert(at, report);
    }

    fn end_attempt(&mut self, attempt: AttemptId, state: AttemptState) -> bool {
        let Ok(at) = self.position(attempt) else {
            return false;
        };
        let report = &mut self.attempts[at];
        if report.state != AttemptState::Running {
            return false;
        }
        self.last_report += 1;
        report.sequence = self.last_report;
        report.state = state;
        true
    }

    fn position(&self, attempt: AttemptId) -> Result<usize, usize> {
        self.attempts
            .binary_search_by_key(&attempt, |report| report.attempt)
    }

    fn reply(&self, clock: WorkerTime, request: &Request, granted: bool) -> Reply {
        // The sender omits the voters of an open term that it knows this worker has stored.
        let sender_knows = request.term.voters.is_empty()
            && self.opened_term.as_ref().is_some_and(|opened| {
                opened.epoch == request.term.epoch && opened.holder == request.term.holder
            });
        let held = self.lease_until.0.saturating_sub(clock.0);
        let mut reports: Vec<_> = self
            .attempts
            .iter()
            .filter(|report| granted && report.sequence > request.acknowledged)
            .cloned()
            .collect();
        reports.sort_by_key(|report| report.sequence);
        Reply {
            clock,
            run: self.run,
            sequence: request.sequence,
            granted,
            term: self.term.clone(),
            opened: self.opened_term.clone().filter(|_| !sender_knows),
            held_ms: if granted { 0 } else { held },
            free_ms: clock.0.saturating_sub(self.lease_until.0),
            resources: self.total,
            reports,
        }
    }
}
