//! A stand-in for the platform's log service.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_std::task;
use primrosebay_protocol::log::{Append, Appended, LogEntry, Page};
use primrosebay_state::Name;
use primrosebay_state::record::Record;
use serde::{Deserialize, Serialize};
use tide::{Body, Request, Response, StatusCode};

/// Most records of one answer.
const PAGE_RECORDS: usize = 2_000;
/// How often a waiting read looks for new records.
const POLL: Duration = Duration::from_millis(2);

/// Bounds of the log service.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Records kept in each stream.
    pub retention: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retention: 1_000_000,
        }
    }
}

/// Faults, as `PUT /control` sets them.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether all calls are refused before they have an effect.
    pub down: bool,
    /// Milliseconds that each call waits before it has an effect.
    pub slow_ms: u64,
    /// Further appends whose answers are lost after they took effect.
    pub lose: u64,
    /// Further appends that take no effect and whose answers are lost as well.
    pub drop: u64,
    /// Records kept in each stream from now on; 0 for the setting.
    pub retention: usize,
    /// Appends that are taken in a second; 0 for no limit.
    pub rate: usize,
}

/// What the log has done, as `GET /control` returns it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Appends that took effect.
    pub appends: u64,
    /// Appends that were refused because of the rate.
    pub limited: u64,
    /// Records appended.
    pub records: u64,
}

#[derive(Debug, Default)]
struct Control {
    faults: Faults,
    counts: Counts,
    /// When the appends of the last second took effect.
    recent: VecDeque<Instant>,
}

/// What becomes of an append.
enum Fate {
    Done,
    /// It takes effect and the answer is lost.
    Lost,
    /// It takes no effect and the answer is lost.
    Dropped,
    /// It is refused because there are too many.
    Limited,
}

/// The state of the stand-in.
#[derive(Debug, Default)]
pub struct LogService {
    settings: Settings,
    streams: Mutex<Vec<Stream>>,
    control: Mutex<Control>,
}

#[derive(Debug)]
struct Stream {
    name: Name,
    oldest: u64,
    records: Vec<Record>,
}

impl Stream {
    fn end(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }
}

#[derive(Debug, Deserialize)]
struct ReadQuery {
    from: u64,
    #[serde(default)]
    wait_ms: u64,
}

impl LogService {
    /// Creates an empty log.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the HTTP application that serves the log.
    #[must_use]
    pub fn app(self) -> tide::Server<Arc<Self>> {
        let mut app = tide::with_state(Arc::new(self));
        app.at("/streams/:stream/records").post(append).get(read);
        app.at("/control").put(set_faults).get(counts);
        app
    }

    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.control().faults = faults;
    }

    /// Returns what the log has done.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.control().counts
    }

    fn control(&self) -> MutexGuard<'_, Control> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn fate(&self, records: usize) -> Fate {
        let mut control = self.control();
        let now = Instant::now();
        let second = Duration::from_secs(1);
        while control.recent.front().is_some_and(|at| now - *at >= second) {
            control.recent.pop_front();
        }
        let rate = control.faults.rate;
        if rate > 0 && control.recent.len() >= rate {
            control.counts.limited += 1;
            return Fate::Limited;
        }
        if control.faults.drop > 0 {
            control.faults.drop -= 1;
            return Fate::Dropped;
        }
        control.recent.push_back(now);
        control.counts.appends += 1;
        control.counts.records += records as u64;
        if control.faults.lose > 0 {
            control.faults.lose -= 1;
            return Fate::Lost;
        }
        Fate::Done
    }

    fn append(&self, stream: &str, batch: Append) -> Appended {
        let retention = match self.control().faults.retention {
            0 => self.settings.retention,
            retention => retention,
        };
        self.with_stream(stream, |s| {
            let first = s.end();
            s.records.extend(batch.records);
            let excess = s.records.len().saturating_sub(retention);
            s.records.drain(..excess);
            s.oldest += excess as u64;
            Appended { first }
        })
    }

    fn page(&self, stream: &str, from: u64) -> Page {
        self.with_stream(stream, |s| {
            let skip = usize::try_from(from.saturating_sub(s.oldest)).unwrap_or(usize::MAX);
            let start = s.oldest.max(from);
            let records = (start..)
                .zip(s.records.iter().skip(skip).take(PAGE_RECORDS))
                .map(|(offset, record)| LogEntry {
                    offset,
                    record: record.clone(),
                })
                .collect();
            Page {
                oldest: s.oldest,
                end: s.end(),
                records,
            }
        })
    }

    fn with_stream<T>(&self, name: &str, f: impl FnOnce(&mut Stream) -> T) -> T {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let i = match streams.binary_search_by(|s| (*s.name).cmp(name)) {
            Ok(i) => i,
            Err(i) => {
                streams.insert(
                    i,
                    Stream {
                        name: name.into(),
                        oldest: 0,
                        records: Vec::new(),
                    },
                );
                i
            }
        };
        f(&mut streams[i])
    }
}

async fn append(mut request: Request<Arc<LogService>>) -> tide::Result {
    let batch: Append = request.body_json().await?;
    let stream = request.param("stream")?.to_owned();
    let service = request.state();
    if !delay(service).await {
        return Ok(Response::new(StatusCode::ServiceUnavailable));
    }
    match service.fate(batch.records.len()) {
        Fate::Done => json(&service.append(&stream, batch)),
        Fate::Lost => {
            service.append(&stream, batch);
            Ok(Response::new(StatusCode::BadGateway))
        }
        Fate::Dropped => Ok(Response::new(StatusCode::BadGateway)),
        Fate::Limited => Ok(Response::new(StatusCode::TooManyRequests)),
    }
}

/// Waits as the faults say, and returns whether the log is up.
async fn delay(service: &LogService) -> bool {
    let faults = service.control().faults;
    task::sleep(Duration::from_millis(faults.slow_ms)).await;
    !faults.down
}

async fn set_faults(mut request: Request<Arc<LogService>>) -> tide::Result {
    let faults = request.body_json().await?;
    request.state().set_faults(faults);
    Ok(Response::new(StatusCode::NoContent))
}

async fn counts(request: Request<Arc<LogService>>) -> tide::Result {
    json(&request.state().counts())
}

async fn read(request: Request<Arc<LogService>>) -> tide::Result {
    let query: ReadQuery = request.query()?;
    let stream = request.param("stream")?.to_owned();
    let mut left = Duration::from_millis(query.wait_ms);
    loop {
        if !delay(request.state()).await {
            return Ok(Response::new(StatusCode::ServiceUnavailable));
        }
        let page = request.state().page(&stream, query.from);
        if !page.records.is_empty() || left.is_zero() {
            return json(&page);
        }
        let step = POLL.min(left);
        task::sleep(step).await;
        left -= step;
    }
}

fn json(value: &impl serde::Serialize) -> tide::Result {
    Ok(Response::builder(StatusCode::Ok)
        .body(Body::from_json(value)?)
        .build())
}
