//! The worker's side of control leases and attempts.

use primrosebay_protocol::worker::{AttemptState, Command, Reply, Report, Request, Start, Term};
use primrosebay_state::id::AttemptId;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::WorkerTime;

/// What a worker knows about its lease and its attempts.
///
/// All times are of the worker's own clock, so a request that was delayed, or sent by a process
/// that had paused, is judged without comparing two clocks.
#[derive(Debug, Clone)]
pub struct WorkerTable {
    run: u64,
    total: Resources,
    term: Option<Term>,
    opened: Option<Term>,
    lease_until: WorkerTime,
    last_request: u64,
    tasks_until: WorkerTime,
    last_report: u64,
    attempts: Vec<Report>,
}

impl WorkerTable {
    /// Creates the table of a worker that has just started. `run` differs for every start of the
    /// worker and is not 0.
    #[must_use]
    pub fn new(run: u64, total: Resources) -> Self {
        Self {
            run,
            total,
            term: None,
            opened: None,
            lease_until: WorkerTime(0),
            last_request: 0,
            tasks_until: WorkerTime(0),
            last_report: 0,
            attempts: Vec::new(),
        }
    }

    /// Handles a request of a coordinator or candidate.
    pub fn exchange(&mut self, clock: WorkerTime, request: &Request) -> Reply {
        self.tick(clock);
        let granted = self.admits(clock, request);
        if granted {
            self.apply(clock, request);
        }
        self.reply(clock, request, granted)
    }

    /// Notes that a running attempt ended by itself, and returns whether it was running.
    pub fn finish(&mut self, clock: WorkerTime, attempt: AttemptId, state: AttemptState) -> bool {
        self.tick(clock);
        self.end(attempt, state)
    }

    /// Stops the running attempts if nobody has renewed them in time.
    pub fn tick(&mut self, clock: WorkerTime) {
        if clock < self.tasks_until {
            return;
        }
        let running: Vec<_> = self.running().map(|report| report.attempt).collect();
        for attempt in running {
            self.end(attempt, AttemptState::Stopped);
        }
    }

    /// Notes what a running attempt uses. It is reported again when it uses more than it was given
    /// or no longer does.
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

    /// Returns what the running attempts were given.
    #[must_use]
    pub fn used(&self) -> Resources {
        self.running()
            .fold(Resources::ZERO, |sum, report| sum.plus(&report.resources))
    }

    /// Returns what the worker holds in total.
    #[must_use]
    pub fn total(&self) -> Resources {
        self.total
    }

    fn admits(&self, clock: WorkerTime, request: &Request) -> bool {
        let in_time = request.deadline.is_none_or(|deadline| clock <= deadline);
        let this_run = request.run == self.run || request.deadline.is_none();
        in_time && this_run && request.lease_ms > 0 && self.admits_sender(clock, request)
    }

    fn admits_sender(&self, clock: WorkerTime, request: &Request) -> bool {
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
            self.opened = Some(request.term.clone());
        }
        self.term = Some(Term {
            voters: Vec::new(),
            ..request.term.clone()
        });
        self.last_request = request.sequence;
        self.lease_until = clock + request.lease_ms;
        // A request without a deadline may be arbitrarily old, so it moves nothing but the lease.
        if request.deadline.is_some() {
            self.tasks_until = self.tasks_until.max(request.tasks_until);
            self.forget(request.acknowledged);
            for command in &request.commands {
                self.execute(command);
            }
        }
        if request.release {
            self.lease_until = clock;
        }
    }

    fn forget(&mut self, acknowledged: u64) {
        self.attempts.retain(|report| {
            report.state == AttemptState::Running || report.sequence > acknowledged
        });
    }

    fn execute(&mut self, command: &Command) {
        match command {
            Command::Start(start) => self.start(start),
            Command::Stop { attempt, .. } => {
                self.end(*attempt, AttemptState::Stopped);
            }
            Command::Throttle { .. } => {}
        }
    }

    fn start(&mut self, start: &Start) {
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

    fn end(&mut self, attempt: AttemptId, state: AttemptState) -> bool {
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
        // A coordinator that sends no voters for the term that it opened knows of it.
        let known = request.term.voters.is_empty()
            && self.opened.as_ref().is_some_and(|opened| {
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
            opened: self.opened.clone().filter(|_| !known),
            held_ms: if granted { 0 } else { held },
            free_ms: clock.0.saturating_sub(self.lease_until.0),
            resources: self.total,
            reports,
        }
    }
}
