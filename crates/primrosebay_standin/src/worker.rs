//! A stand-in for a worker, which runs tasks as timers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use async_std::task;
use primrosebay_coordination::worker::WorkerTable;
use primrosebay_protocol::worker::{AttemptState, Command, Request as Exchange, Start};
use primrosebay_state::Name;
use primrosebay_state::id::AttemptId;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::WorkerTime;
use serde::{Deserialize, Serialize};
use tide::{Body, Request, Response, StatusCode};

/// How often the worker looks at its timers.
const TICK: Duration = Duration::from_millis(10);

/// One start of an attempt, for tests that look for double runs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// The attempt.
    pub attempt: AttemptId,
    /// The team that the task counts for.
    pub team: Name,
    /// What the attempt was given.
    pub resources: Resources,
    /// When the attempt started, in milliseconds of Unix time.
    pub at: u64,
    /// When the attempt ended, in milliseconds of Unix time; nothing while it runs.
    pub ended: Option<u64>,
    /// How the attempt ended.
    pub state: AttemptState,
}

/// What tests can see of the worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// What the worker holds.
    pub total: Resources,
    /// What running attempts were given.
    pub used: Resources,
    /// Every start since the process began, oldest first.
    pub history: Vec<AttemptRecord>,
}

/// Faults that tests switch on.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every attempt fails as soon as it has started.
    pub fail: bool,
}

/// The state of the stand-in.
#[derive(Debug)]
pub struct WorkerService {
    started: Instant,
    fail: AtomicBool,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    table: WorkerTable,
    timers: Vec<(WorkerTime, AttemptId)>,
    history: Vec<AttemptRecord>,
}

impl WorkerService {
    /// Creates a worker that holds `total`. `run` differs for every start and is not 0.
    #[must_use]
    pub fn new(run: u64, total: Resources) -> Self {
        Self {
            started: Instant::now(),
            fail: AtomicBool::new(false),
            inner: Mutex::new(Inner {
                table: WorkerTable::new(run, total),
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

    /// Returns what the worker holds and has run.
    #[must_use]
    pub fn status(&self) -> Status {
        let clock = self.clock();
        let mut inner = self.lock();
        inner.run_due(clock);
        Status {
            total: inner.table.total(),
            used: inner.table.used(),
            history: inner.history.clone(),
        }
    }

    fn clock(&self) -> WorkerTime {
        WorkerTime(u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn note_start(&mut self, clock: WorkerTime, start: &Start, fail: bool) {
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

    fn finish(&mut self, clock: WorkerTime, attempt: AttemptId, state: AttemptState) {
        let ended = self.table.finish(clock, attempt, state);
        let entry = self.history.iter_mut().find(|s| s.attempt == attempt);
        if let Some(entry) = entry.filter(|_| ended) {
            entry.ended = Some(unix_ms());
            entry.state = state;
        }
    }

    fn run_due(&mut self, clock: WorkerTime) {
        self.table.tick(clock);
        let (due, later): (Vec<_>, Vec<_>) = self.timers.drain(..).partition(|t| t.0 <= clock);
        self.timers = later;
        for (_, attempt) in due {
            self.finish(clock, attempt, AttemptState::Done);
        }
        self.note_stops();
    }

    /// Marks the attempts of the history that were stopped.
    fn note_stops(&mut self) {
        for entry in self.history.iter_mut().filter(|s| s.ended.is_none()) {
            if !self.table.running().any(|r| r.attempt == entry.attempt) {
                entry.ended = Some(unix_ms());
                entry.state = AttemptState::Stopped;
            }
        }
    }
}

/// Returns the wall-clock time. It is only shown to tests and decides nothing.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

async fn run_timers(service: std::sync::Weak<WorkerService>) {
    while let Some(service) = service.upgrade() {
        let clock = service.clock();
        service.lock().run_due(clock);
        drop(service);
        task::sleep(TICK).await;
    }
}

async fn exchange(mut request: Request<Arc<WorkerService>>) -> tide::Result {
    let message: Exchange = request.body_json().await?;
    let service = request.state();
    let clock = service.clock();
    let fail = service.fail.load(Ordering::SeqCst);
    let mut inner = service.lock();
    inner.run_due(clock);
    let reply = inner.table.exchange(clock, &message);
    if reply.granted {
        for command in &message.commands {
            let Command::Start(start) = command else {
                continue;
            };
            if inner
                .table
                .running()
                .any(|report| report.attempt == start.attempt)
            {
                inner.note_start(clock, start, fail);
            }
        }
        inner.note_stops();
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
