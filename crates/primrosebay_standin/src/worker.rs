//! Stand-in for a worker, which runs each task as a timer.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use async_std::task;
use primrosebay_coordination::worker::WorkerState;
use primrosebay_protocol::worker::{AttemptState, Command, Request as ExchangeRequest, Start};
use primrosebay_state::Name;
use primrosebay_state::id::AttemptId;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::WorkerTime;
use serde::{Deserialize, Serialize};
use tide::{Body, Request, Response, StatusCode};

/// Interval at which the worker checks its timers.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// One started attempt, kept so that tests can detect duplicate runs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// ID of the attempt.
    pub attempt: AttemptId,
    /// The team to which the task is charged.
    pub team: Name,
    /// Resources allocated to the attempt.
    pub resources: Resources,
    /// Start time in milliseconds since the Unix epoch.
    pub at: u64,
    /// End time in milliseconds since the Unix epoch; `None` while the attempt runs.
    pub ended: Option<u64>,
    /// `Running`, or how the attempt ended.
    pub state: AttemptState,
}

/// Resources and history of the worker, returned by `GET /status`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// Capacity of the worker.
    pub total: Resources,
    /// Resources allocated to running attempts.
    pub used: Resources,
    /// Every attempt since the worker was created, in the order of starts.
    pub history: Vec<AttemptRecord>,
}

/// Injected faults, set by `PUT /faults`.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every attempt fails as soon as it has started.
    pub fail: bool,
}

/// A worker that runs each attempt as a timer and is served over HTTP.
#[derive(Debug)]
pub struct WorkerService {
    created: Instant,
    fail: AtomicBool,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    worker_state: WorkerState,
    /// End times of attempts whose run time is bounded.
    timers: Vec<(WorkerTime, AttemptId)>,
    history: Vec<AttemptRecord>,
}

impl WorkerService {
    /// Creates a worker with the capacity `total`. `run` identifies this run of the worker process:
    /// it is not 0 and differs for each start.
    #[must_use]
    pub fn new(run: u64, total: Resources) -> Self {
        Self {
            created: Instant::now(),
            fail: AtomicBool::new(false),
            inner: Mutex::new(Inner {
                worker_state: WorkerState::new(run, total),
                timers: Vec::new(),
                history: Vec::new(),
            }),
        }
    }

    /// Starts the worker's timers and returns the HTTP application that serves it.
    #[must_use]
    pub fn app(self: &Arc<Self>) -> tide::Server<Arc<Self>> {
        task::spawn(run_timers(Arc::downgrade(self)));
        let mut app = tide::with_state(Arc::clone(self));
        app.at("/exchange").post(exchange);
        app.at("/status").get(status);
        app.at("/faults").put(set_faults);
        app
    }

    /// Returns the resources and the history of the worker.
    #[must_use]
    pub fn status(&self) -> Status {
        let clock = self.clock();
        let mut inner = self.lock();
        inner.end_expired(clock);
        Status {
            total: inner.worker_state.total(),
            used: inner.worker_state.used(),
            history: inner.history.clone(),
        }
    }

    fn clock(&self) -> WorkerTime {
        WorkerTime(u64::try_from(self.created.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Adds a new attempt to the history and sets its timer, or ends it at once if `fail` is set.
    fn record_start(&mut self, clock: WorkerTime, start: &Start, fail: bool) {
        if self.history.iter().any(|s| s.attempt == start.attempt) {
            return;
        }
        self.history.push(AttemptRecord {
            attempt: start.attempt,
            team: start.team.clone(),
            resources: start.resources,
            at: unix_ms(),
            ended: None,
            state: AttemptState::Running,
        });
        if fail {
            self.finish(clock, start.attempt, AttemptState::Failed);
        } else if start.run_ms > 0 {
            self.timers.push((clock + start.run_ms, start.attempt));
        }
    }

    /// Records that an attempt ended by itself.
    fn finish(&mut self, clock: WorkerTime, attempt: AttemptId, state: AttemptState) {
        let ended = self.worker_state.finish(clock, attempt, state);
        let entry = self.history.iter_mut().find(|s| s.attempt == attempt);
        if let Some(entry) = entry.filter(|_| ended) {
            entry.ended = Some(unix_ms());
            entry.state = state;
        }
    }

    /// Ends all attempts if their last renewal has expired, and those whose run time has elapsed.
    fn end_expired(&mut self, clock: WorkerTime) {
        self.worker_state.tick(clock);
        let (due, later): (Vec<_>, Vec<_>) = self.timers.drain(..).partition(|t| t.0 <= clock);
        self.timers = later;
        for (_, attempt) in due {
            self.finish(clock, attempt, AttemptState::Done);
        }
        self.record_stops();
    }

    /// Marks attempts as stopped in the history if they have no end there but are no longer running
    /// in the worker state.
    fn record_stops(&mut self) {
        for entry in self.history.iter_mut().filter(|s| s.ended.is_none()) {
            if !self
                .worker_state
                .running()
                .any(|r| r.attempt == entry.attempt)
            {
                entry.ended = Some(unix_ms());
                entry.state = AttemptState::Stopped;
            }
        }
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, or 0 before it. It is only for
/// display and tests; no decision depends on it.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

async fn run_timers(service: std::sync::Weak<WorkerService>) {
    while let Some(service) = service.upgrade() {
        let clock = service.clock();
        service.lock().end_expired(clock);
        drop(service);
        task::sleep(TICK_INTERVAL).await;
    }
}

async fn exchange(mut request: Request<Arc<WorkerService>>) -> tide::Result {
    let message: ExchangeRequest = request.body_json().await?;
    let service = request.state();
    let clock = service.clock();
    let fail = service.fail.load(Ordering::SeqCst);
    let mut inner = service.lock();
    inner.end_expired(clock);
    let reply = inner.worker_state.exchange(clock, &message);
    if reply.granted {
        for command in &message.commands {
            let Command::Start(start) = command else {
                continue;
            };
            if inner
                .worker_state
                .running()
                .any(|report| report.attempt == start.attempt)
            {
                inner.record_start(clock, start, fail);
            }
        }
        inner.record_stops();
    }
    drop(inner);
    Ok(Response::builder(StatusCode::Ok)
        .body(Body::from_json(&reply)?)
        .build())
}

async fn status(request: Request<Arc<WorkerService>>) -> tide::Result {
    Ok(Response::builder(StatusCode::Ok)
        .body(Body::from_json(&request.state().status())?)
        .build())
}

async fn set_faults(mut request: Request<Arc<WorkerService>>) -> tide::Result {
    let faults: Faults = request.body_json().await?;
    request.state().fail.store(faults.fail, Ordering::SeqCst);
    Ok(Response::new(StatusCode::NoContent))
}
