//! A bound of the bytes that all unfinished requests of a process, and the answers that are being
//! written, hold together.
//!
//! When a byte does not fit any more, unfinished requests are given up. Requests of about the same size
//! form a class, and the class that holds the most bytes gives way: in it first the request that has held
//! the most bytes for the longest time without making progress. A request that was received completely
//! is never given up; its bytes stay charged until it has been answered. Answers are given up like
//! requests that are arriving.

use std::fmt;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Waker;
use std::time::Instant;

use http_types::StatusCode;

use crate::connection::REQUEST_BYTES;
use crate::log_limit::LogLimit;
use crate::progress::Progress;

/// Part of the machine's memory that unfinished requests may hold: 20 MB on the smallest machine, or 73
/// bodies of the largest size at once. A body takes up to twice its size while its buffer grows, and
/// given-up requests up to half of the budget until their tasks have run, so that requests hold less
/// than three eighths of the memory at worst.
const MEMORY_FRACTION: u64 = 8;

/// Part of the budget that requests received completely, and the jobs parsed from them, may hold. The
/// rest stays for ordinary requests that are arriving.
const FINISHED_PERCENT: usize = 75;

/// Number of classes of sizes, see [`Entry::class`].
const CLASSES: usize = usize::BITS as usize;

/// Budget of a process without settings of its memory, in bytes. Above the largest body of any process
/// in this workspace (64 MiB).
const DEFAULT_BYTES: usize = 256 << 20;

/// Reason why a request is given up before it has an effect, or a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Cause {
    /// The unfinished requests of the process hold too many bytes.
    #[error("too many bytes of unfinished requests")]
    Memory,
    /// The head did not arrive in time.
    #[error("the head did not arrive in time")]
    HeadTime,
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    BodyTime,
    /// The head is longer than the limit.
    #[error("the head is too long")]
    HeadSize,
    /// The head holds a byte that is not ASCII.
    #[error("the head is not ASCII")]
    HeadText,
    /// The client sends on although it has its answer.
    #[error("the body is too long")]
    BodySize,
    /// The jobs that are being accepted hold too many bytes.
    #[error("too many bytes of jobs")]
    Jobs,
    /// The connection gave way to another one.
    #[error("too many connections")]
    Connections,
    /// The client did not read its answer in time.
    #[error("the answer was not read in time")]
    AnswerTime,
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; 9] = [
        Self::Memory,
        Self::HeadTime,
        Self::BodyTime,
        Self::HeadSize,
        Self::HeadText,
        Self::BodySize,
        Self::Jobs,
        Self::Connections,
        Self::AnswerTime,
    ];

    /// Returns the cause as a label of a metric.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::HeadTime => "head_time",
            Self::BodyTime => "body_time",
            Self::HeadSize => "head_size",
            Self::HeadText => "head_text",
            Self::BodySize => "body_size",
            Self::Jobs => "jobs",
            Self::Connections => "connections",
            Self::AnswerTime => "answer_time",
        }
    }

    /// Returns the status with which the request is refused. 503 is true, since a request that was not
    /// received completely has no effect.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::Memory | Self::Jobs | Self::Connections => StatusCode::ServiceUnavailable,
            Self::HeadTime | Self::BodyTime | Self::AnswerTime => StatusCode::RequestTimeout,
            Self::HeadSize => StatusCode::RequestHeaderFieldsTooLarge,
            Self::HeadText => StatusCode::BadRequest,
            Self::BodySize => StatusCode::PayloadTooLarge,
        }
    }

    /// Returns the cause of an error that occurred while a body was read; `None` if the request was not
    /// given up.
    #[must_use]
    pub fn of(error: &io::Error) -> Option<Self> {
        error.get_ref()?.downcast_ref().copied()
    }
}

impl From<Cause> for io::Error {
    fn from(cause: Cause) -> Self {
        Self::other(cause)
    }
}

/// Bytes that unfinished requests hold, and the order in which requests are given up.
pub struct Budget {
    limit: usize,
    state: Mutex<State>,
    given_up: [AtomicU64; Cause::ALL.len()],
    log_limit: Mutex<LogLimit>,
}

/// The requests of a budget.
#[derive(Debug, Default)]
struct State {
    /// Identifier of the next request.
    next: u64,
    /// Requests in the order of their identifiers.
    requests: Vec<Entry>,
    /// Bytes of all requests that are not given up.
    used: usize,
    /// Bytes of requests received completely; a part of `used`.
    finished: usize,
    /// Bytes of requests that are given up and whose tasks have not released them yet.
    leaving: usize,
}

/// A request of a budget.
#[derive(Debug)]
struct Entry {
    id: u64,
    bytes: usize,
    stage: Stage,
    /// Whether further bytes are passed on as they arrive, so that they are not held.
    passed_on: bool,
    progress: Progress,
    waker: Option<Waker>,
}

impl Entry {
    fn is_arriving(&self) -> bool {
        self.stage == Stage::Arriving
    }

    /// Returns what it costs to keep the request: its bytes times the microseconds for which it is
    /// behind.
    fn cost(&self, now: Instant) -> u128 {
        self.bytes as u128 * self.progress.behind(now).as_micros()
    }

    /// Returns the class of the request's size, below [`CLASSES`]. Class 0 holds sizes below twice that of
    /// a request without a body, and each further class sizes below twice those of the one before.
    fn class(&self) -> usize {
        (self.bytes / REQUEST_BYTES).checked_ilog2().unwrap_or(0) as usize
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Arriving,
    Finished,
    GivenUp,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(DEFAULT_BYTES)
    }
}

impl fmt::Debug for Budget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Budget")
            .field("limit", &self.limit)
            .field("used", &self.used())
            .finish_non_exhaustive()
    }
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            state: Mutex::default(),
            given_up: Default::default(),
            log_limit: Mutex::default(),
        }
    }

    /// Creates the budget of a process on a machine with this memory.
    #[must_use]
    pub fn for_memory(bytes: u64) -> Self {
        Self::new(usize::try_from(bytes / MEMORY_FRACTION).unwrap_or(usize::MAX))
    }

    /// Returns the limit in bytes.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the bytes of all requests that are not given up.
    #[must_use]
    pub fn used(&self) -> usize {
        self.state().used
    }

    /// Returns the bytes that have been charged and not released, also those of requests that are given
    /// up. At most half more than the limit.
    #[must_use]
    pub fn held(&self) -> usize {
        let state = self.state();
        state.used + state.leaving
    }

    /// Returns the number of requests that were given up for this cause.
    #[must_use]
    pub fn given_up(&self, cause: Cause) -> u64 {
        self.given_up[cause as usize].load(Ordering::Relaxed)
    }

    /// Counts a request that was given up and logs it as far as the limit of such lines allows.
    pub(crate) fn record(&self, cause: Cause, from: &dyn fmt::Debug) {
        self.given_up[cause as usize].fetch_add(1, Ordering::Relaxed);
        let limit = self.log_limit.lock();
        let mut limit = limit.unwrap_or_else(PoisonError::into_inner);
        let admitted = limit.admit(Instant::now());
        drop(limit);
        if let Some(left_out) = admitted {
            log::warn!(
                cause = cause.name(), from:? = from, left_out, used_bytes = self.used();
                "http: request given up"
            );
        }
    }

    /// Starts to charge a request that begins at `now`.
    #[must_use]
    pub fn open(self: &Arc<Self>, now: Instant) -> Charge {
        let mut state = self.state();
        let id = state.next;
        state.next += 1;
        state.requests.push(Entry {
            id,
            bytes: 0,
            stage: Stage::Arriving,
            passed_on: false,
            progress: Progress::new(now),
            waker: None,
        });
        Charge {
            budget: Arc::clone(self),
            id,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the position of a request. Requests are removed by their charges only, so that it is
    /// always found.
    fn position(&self, id: u64) -> usize {
        self.requests.partition_point(|r| r.id < id)
    }

    /// Gives up a request and returns the waker of its task.
    fn give_up(&mut self, position: usize) -> Option<Waker> {
        let request = &mut self.requests[position];
        request.stage = Stage::GivenUp;
        self.used -= request.bytes;
        self.leaving += request.bytes;
        request.waker.take()
    }

    /// Gives up requests that are arriving until `limit` is kept or none is left. Each is the one that
    /// costs the most in the class that holds the most bytes. Of those that keep up the largest goes
    /// first, of equal ones the newest.
    fn shrink(&mut self, limit: usize, now: Instant) -> Vec<Waker> {
        let mut wakers = Vec::new();
        if self.used <= limit {
            return wakers;
        }
        let mut held = [0; CLASSES];
        for request in self.requests.iter().filter(|r| r.is_arriving()) {
            held[request.class()] += request.bytes;
        }
        while self.used > limit {
            let class = (0..CLASSES).max_by_key(|&c| held[c]);
            let arriving = self.requests.iter().enumerate();
            let arriving = arriving.filter(|(_, r)| r.is_arriving() && Some(r.class()) == class);
            let first = arriving.max_by_key(|(_, r)| (r.cost(now), r.bytes, r.id));
            let Some((first, request)) = first else {
                break;
            };
            held[request.class()] -= request.bytes;
            wakers.extend(self.give_up(first));
        }
        wakers
    }
}

/// The bytes of one request, which are released when this is dropped.
#[derive(Debug)]
pub struct Charge {
    budget: Arc<Budget>,
    id: u64,
}

impl Charge {
    /// Charges bytes that have arrived at `now`. Bytes for which this fails are not charged.
    ///
    /// # Errors
    /// Returns an error if the request is given up.
    pub fn add(&self, bytes: usize, now: Instant) -> Result<(), Cause> {
        self.charge(self.budget.state(), bytes, now)
    }

    fn charge(
        &self,
        mut state: MutexGuard<'_, State>,
        bytes: usize,
        now: Instant,
    ) -> Result<(), Cause> {
        let limit = self.budget.limit;
        let own = state.position(self.id);
        let request = &mut state.requests[own];
        if request.passed_on && request.stage != Stage::GivenUp {
            request.progress.advance(bytes, now);
            return Ok(());
        }
        match state.requests[own].stage {
            Stage::GivenUp => return Err(Cause::Memory),
            // The tasks of given-up requests may not have run yet, so their bytes count as well.
            _ if state.used + state.leaving + bytes > limit + limit / 2 => {
                if state.requests[own].stage == Stage::Arriving {
                    state.give_up(own);
                }
                return Err(Cause::Memory);
            }
            Stage::Finished => state.finished += bytes,
            Stage::Arriving => {}
        }
        let request = &mut state.requests[own];
        request.bytes += bytes;
        request.progress.advance(bytes, now);
        state.used += bytes;
        let wakers = state.shrink(limit, now);
        let is_given_up = state.requests[own].stage == Stage::GivenUp;
        if is_given_up {
            state.requests[own].bytes -= bytes;
            state.leaving -= bytes;
        }
        drop(state);
        wakers.into_iter().for_each(Waker::wake);
        if is_given_up {
            return Err(Cause::Memory);
        }
        Ok(())
    }

    /// Notes that the client took bytes of its answer, which was charged as a whole.
    pub(crate) fn advance(&self, bytes: usize, now: Instant) {
        let mut state = self.budget.state();
        let own = state.position(self.id);
        state.requests[own].progress.advance(bytes, now);
    }

    /// Notes that further bytes are passed on as they arrive. They are not charged.
    pub fn pass_on(&self) {
        let mut state = self.budget.state();
        let own = state.position(self.id);
        state.requests[own].passed_on = true;
    }

    /// Notes that the request was received completely, after which it is never given up.
    ///
    /// # Errors
    /// Returns an error if the request was given up before.
    pub fn finish(&self) -> Result<(), Cause> {
        let mut state = self.budget.state();
        let own = state.position(self.id);
        let request = &mut state.requests[own];
        match request.stage {
            Stage::GivenUp => return Err(Cause::Memory),
            Stage::Finished => {}
            Stage::Arriving => {
                request.stage = Stage::Finished;
                let bytes = request.bytes;
                state.finished += bytes;
            }
        }
        Ok(())
    }

    /// Charges the job that was parsed from a request received completely. Returns whether it may be
    /// kept; otherwise the caller has to refuse the request.
    #[must_use]
    pub fn hold(&self, bytes: usize) -> bool {
        let held = self.try_hold(bytes);
        if !held {
            self.budget.record(Cause::Jobs, &bytes);
        }
        held
    }

    fn try_hold(&self, bytes: usize) -> bool {
        let most = self.budget.limit / 100 * FINISHED_PERCENT;
        let state = self.budget.state();
        state.finished + bytes <= most && self.charge(state, bytes, Instant::now()).is_ok()
    }

    /// Returns whether the request is given up. If not, wakes `waker` when it is.
    pub(crate) fn watch(&self, waker: &Waker) -> bool {
        let mut state = self.budget.state();
        let own = state.position(self.id);
        let request = &mut state.requests[own];
        match &mut request.waker {
            Some(known) => known.clone_from(waker),
            unset => *unset = Some(waker.clone()),
        }
        request.stage == Stage::GivenUp
    }

    /// Returns whether the request is given up.
    #[must_use]
    pub fn is_given_up(&self) -> bool {
        let state = self.budget.state();
        state.requests[state.position(self.id)].stage == Stage::GivenUp
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let mut state = self.budget.state();
        let own = state.position(self.id);
        let request = state.requests.remove(own);
        match request.stage {
            Stage::Arriving => state.used -= request.bytes,
            Stage::Finished => {
                state.used -= request.bytes;
                state.finished -= request.bytes;
            }
            Stage::GivenUp => state.leaving -= request.bytes,
        }
    }
}
