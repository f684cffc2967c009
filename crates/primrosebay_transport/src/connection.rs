//! The progress of the requests on one connection: limits, timeouts and the charge of their bytes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Waker;
use std::time::{Duration, Instant};

use crate::budget::{Budget, Cause, Charge};
use crate::http_server::{Limits, MAX_HEAD};
use crate::slots::Slot;

/// Memory for each unfinished request beside its bytes: two buffers of 8 KiB in `async-h1` and the
/// unused part of the application's.
pub(crate) const REQUEST_BYTES: usize = 24 * 1_024;

/// Maximum number of bytes that are read after the answer to a request with an unread body. A client
/// that still sends gets its answer only if the server reads on; four bodies of the usual size suffice.
const DISCARD_BYTES: usize = 1 << 20;

/// Time for which the rest of a given-up request is read, so that its client gets the refusal.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Largest answer that is not charged. Answers to submissions and their refusals are smaller.
const SMALL_ANSWER: usize = 4 * 1_024;

/// The end of a head.
const HEAD_END: &[u8; 4] = b"\r\n\r\n";

/// A connection as its stream, the bodies of its requests and its task see it.
#[derive(Debug)]
pub(crate) struct Connection {
    limits: Limits,
    budget: Arc<Budget>,
    peer: Option<SocketAddr>,
    slot: Slot,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    /// Time at which the phase ends the connection or the request.
    deadline: Option<Instant>,
    /// Bytes of the current request.
    charge: Option<Arc<Charge>>,
    /// Bytes of the answer that is being written, unless it is small.
    answer: Option<Charge>,
    /// Reason why the current request is given up.
    failure: Option<Cause>,
    /// Bytes of the head, or bytes discarded after an answer.
    received: usize,
    /// Number of bytes of [`HEAD_END`] that the head ends with.
    matched: usize,
    /// Time since which the client has taken no byte of the answer; `None` if it takes them.
    blocked: Option<Instant>,
}

/// The part of a request that is expected on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The first byte.
    Idle,
    /// The rest of the head.
    Head,
    /// The body.
    Body,
    /// Nothing: the request was received completely.
    Finished,
    /// The rest of a body that was not read before the answer.
    Discard,
}

impl Connection {
    pub(crate) fn new(
        limits: Limits,
        budget: Arc<Budget>,
        peer: Option<SocketAddr>,
        slot: Slot,
    ) -> Self {
        Self {
            limits,
            budget,
            peer,
            slot,
            state: Mutex::new(State {
                phase: Phase::Idle,
                deadline: None,
                charge: None,
                answer: None,
                failure: None,
                received: 0,
                matched: 0,
                blocked: None,
            }),
        }
    }

    /// Expects the next request.
    pub(crate) fn expect_request(&self) {
        self.slot.set_busy(false);
        let mut state = self.state();
        state.phase = Phase::Idle;
        state.deadline = Some(Instant::now() + self.limits.idle_timeout);
        state.charge = None;
        state.answer = None;
        state.received = 0;
        state.matched = 0;
    }

    /// Returns an error if the current request is given up.
    pub(crate) fn check(&self) -> Result<(), Cause> {
        let mut state = self.state();
        let is_given_up = state.charge.as_ref().is_some_and(|c| c.is_given_up());
        if is_given_up {
            return Err(self.fail(&mut state, Cause::Memory));
        }
        match state.failure {
            Some(cause) if state.phase != Phase::Discard => Err(cause),
            _ => Ok(()),
        }
    }

    /// Charges bytes that were read and checks the limits of the current phase.
    pub(crate) fn receive(&self, bytes: &[u8]) -> Result<(), Cause> {
        let now = Instant::now();
        self.slot.advance(bytes.len(), now);
        let mut state = self.state();
        let result = match state.phase {
            Phase::Idle | Phase::Head => self.receive_head(&mut state, bytes, now),
            Phase::Body => state.charge(bytes.len(), now),
            Phase::Finished => Ok(()),
            Phase::Discard => state.discard(bytes.len()),
        };
        result.map_err(|cause| self.fail(&mut state, cause))
    }

    fn receive_head(&self, state: &mut State, bytes: &[u8], now: Instant) -> Result<(), Cause> {
        if state.phase == Phase::Idle && !bytes.is_empty() {
            self.slot.restart(now);
            state.phase = Phase::Head;
            state.deadline = Some(now + self.limits.head_timeout);
            state.charge = Some(Arc::new(self.budget.open(now)));
            state.charge(REQUEST_BYTES, now)?;
        }
        state.charge(bytes.len(), now)?;
        state.scan_head(bytes, self.limits.head_bytes.min(MAX_HEAD))
    }

    /// Notes that the head has been read.
    pub(crate) fn begin(&self, has_body: bool) -> Result<(), Cause> {
        let mut state = self.state();
        if has_body {
            state.phase = Phase::Body;
            state.deadline = Some(Instant::now() + self.limits.body_timeout);
            return Ok(());
        }
        self.finish_locked(&mut state)
    }

    /// Notes that the request was received completely.
    pub(crate) fn finish(&self) -> Result<(), Cause> {
        self.finish_locked(&mut self.state())
    }

    fn finish_locked(&self, state: &mut State) -> Result<(), Cause> {
        if let Some(cause) = state.failure {
            return Err(cause);
        }
        let result = state.charge.as_ref().map_or(Ok(()), |c| c.finish());
        result.map_err(|cause| self.fail(state, cause))?;
        state.phase = Phase::Finished;
        state.deadline = None;
        self.slot.set_busy(true);
        Ok(())
    }

    /// Notes whether the client took bytes of the answer.
    pub(crate) fn write(&self, bytes: Option<usize>) {
        let now = Instant::now();
        let mut state = self.state();
        if let Some(bytes) = bytes {
            state.blocked = None;
            self.slot.advance(bytes, now);
            if let Some(answer) = &state.answer {
                answer.advance(bytes, now);
            }
        } else if state.blocked.is_none() {
            state.blocked = Some(now);
            self.slot.set_busy(false);
        }
    }

    /// Charges an answer of this length until it is written. While it is, it may be given up like a
    /// request that is arriving; the connection is closed then.
    ///
    /// # Errors
    /// Returns an error if the answer does not fit into the budget.
    pub(crate) fn hold_answer(&self, bytes: usize) -> Result<(), Cause> {
        if bytes <= SMALL_ANSWER {
            return Ok(());
        }
        let now = Instant::now();
        let answer = self.budget.open(now);
        if let Err(cause) = answer.add(bytes, now) {
            self.budget.record(cause, &self.peer);
            return Err(cause);
        }
        self.state().answer = Some(answer);
        Ok(())
    }

    /// Notes that the application has answered and releases the bytes of the request.
    pub(crate) fn answer(&self, body_read: bool) {
        self.slot.restart(Instant::now());
        let mut state = self.state();
        state.charge = None;
        state.received = 0;
        if body_read {
            state.phase = Phase::Finished;
            state.deadline = None;
            return;
        }
        let at = Instant::now();
        let deadline = if state.failure.is_some() {
            at + REFUSAL_TIME
        } else {
            state.deadline.unwrap_or(at + REFUSAL_TIME)
        };
        state.phase = Phase::Discard;
        state.deadline = Some(deadline);
    }

    /// Gives up the current request, whose deadline has passed. Returns whether the connection is
    /// closed without an answer.
    pub(crate) fn time_out(&self) -> bool {
        let mut state = self.state();
        if state.blocked.is_some() {
            self.budget.record(Cause::AnswerTime, &self.peer);
            return true;
        }
        state.deadline = None;
        match state.phase {
            Phase::Head => self.fail(&mut state, Cause::HeadTime),
            Phase::Body => self.fail(&mut state, Cause::BodyTime),
            Phase::Idle | Phase::Discard => return true,
            Phase::Finished => return false,
        };
        false
    }

    /// Returns whether the current request has been given up since the last call. If not, wakes
    /// `waker` when it is.
    pub(crate) fn watch(&self, waker: &Waker) -> bool {
        let mut state = self.state();
        let is_given_up = state.charge.as_ref().is_some_and(|c| c.watch(waker));
        let is_new = is_given_up && state.failure.is_none();
        if is_new {
            self.fail(&mut state, Cause::Memory);
        }
        is_new
    }

    /// Returns whether the connection is closed to make room for another one or for the bytes of
    /// others. If not, wakes `waker` when it is.
    pub(crate) fn is_closing(&self, waker: &Waker) -> bool {
        let answer = self.state().answer.as_ref().map(|a| a.watch(waker));
        if answer == Some(true) {
            self.budget.record(Cause::Memory, &self.peer);
            return true;
        }
        let is_closing = self.slot.is_closing(waker);
        if is_closing {
            self.budget.record(Cause::Connections, &self.peer);
        }
        is_closing
    }

    /// Returns the deadline of the answer or of the current phase; `None` if there is none.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        let state = self.state();
        let answer = state.blocked.map(|since| since + self.limits.write_timeout);
        answer.or(state.deadline)
    }

    /// Returns the charge of the current request.
    pub(crate) fn charge(&self) -> Option<Arc<Charge>> {
        self.state().charge.clone()
    }

    /// Returns why the current request is given up; `None` if it is not.
    pub(crate) fn failure(&self) -> Option<Cause> {
        self.state().failure
    }

    pub(crate) fn phase(&self) -> Phase {
        self.state().phase
    }

    /// Gives up the current request and counts it once.
    fn fail(&self, state: &mut State, cause: Cause) -> Cause {
        if let Some(known) = state.failure {
            return known;
        }
        state.failure = Some(cause);
        state.deadline = None;
        self.budget.record(cause, &self.peer);
        cause
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn charge(&self, bytes: usize, now: Instant) -> Result<(), Cause> {
        self.charge.as_ref().map_or(Ok(()), |c| c.add(bytes, now))
    }

    /// Checks the bytes of a head up to its end. Header values that are not ASCII make `http-types`
    /// panic.
    fn scan_head(&mut self, bytes: &[u8], limit: usize) -> Result<(), Cause> {
        for byte in bytes {
            if self.matched == HEAD_END.len() {
                return Ok(());
            }
            if !byte.is_ascii() {
                return Err(Cause::HeadText);
            }
            self.received += 1;
            if self.received > limit {
                return Err(Cause::HeadSize);
            }
            self.matched = match byte {
                b if *b == HEAD_END[self.matched] => self.matched + 1,
                b'\r' => 1,
                _ => 0,
            };
        }
        Ok(())
    }

    /// Counts bytes that are read after the answer.
    fn discard(&mut self, bytes: usize) -> Result<(), Cause> {
        self.received += bytes;
        if self.received > DISCARD_BYTES {
            return Err(Cause::BodySize);
        }
        Ok(())
    }
}
