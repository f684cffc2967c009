//! Stand-in for the platform's log service.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_std::task;
use primrosebay_protocol::log::{Append, Appended, LogEntry, Page};
use primrosebay_state::Name;
use primrosebay_state::record::Record;
use serde::{Deserialize, Serialize};
use tide::{Body, Request, Response, StatusCode};

/// Maximum number of records in the response to a read.
const MAX_PAGE_RECORDS: usize = 2_000;
/// Interval at which a waiting read checks for new records.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Limits of the log service.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Maximum number of records kept in each stream; the oldest are dropped.
    pub retention: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retention: 1_000_000,
        }
    }
}

/// Injected faults, set by `PUT /control`.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every append and read is answered with 503 and has no effect.
    pub down: bool,
    /// Milliseconds by which each append and each poll of a read is delayed before it takes effect.
    /// A read that waits polls until there is a record.
    pub slow_ms: u64,
    /// Number of further appends that take effect but are answered with 502, as if their answer was
    /// lost.
    pub lose: u64,
    /// Number of further appends that are lost before they take effect and are answered with 502.
    pub drop: u64,
    /// Maximum number of records kept in each stream; 0 for [`Settings::retention`].
    pub retention: usize,
    /// Maximum number of appends in a second; 0 for no limit.
    pub rate: usize,
}

/// Counts since the start of the log service, returned by `GET /control`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of appends that took effect.
    pub appends: u64,
    /// Number of appends answered with 429 because of [`Faults::rate`].
    pub limited: u64,
    /// Number of records in the appends that took effect.
    pub records: u64,
}

#[derive(Debug, Default)]
struct Control {
    faults: Faults,
    counts: Counts,
    /// Times of the appends that took effect within the last second, oldest first.
    recent: VecDeque<Instant>,
}

/// How an append is handled under the injected faults.
enum AppendAction {
    /// The append takes effect and is answered.
    Apply,
    /// The append takes effect but is answered with 502.
    LoseAnswer,
    /// The append takes no effect and is answered with 502.
    Drop,
    /// The append is refused because the rate limit is exceeded.
    Limit,
}

/// Streams, injected faults and counts of the log service.
#[derive(Debug, Default)]
pub struct LogService {
    settings: Settings,
    streams: Mutex<Vec<Stream>>,
    control: Mutex<Control>,
}

#[derive(Debug)]
struct Stream {
    name: Name,
    /// Offset of the first record that is still kept.
    oldest: u64,
    records: Vec<Record>,
}

impl Stream {
    /// Returns the offset that the next record gets.
    fn end(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }
}

#[derive(Debug, Deserialize)]
struct ReadQuery {
    /// Offset of the first record to return.
    from: u64,
    /// Maximum number of milliseconds to wait for a record if there is none yet, without the delays
    /// of [`Faults::slow_ms`].
    #[serde(default)]
    wait_ms: u64,
}

impl LogService {
    /// Creates a log without streams.
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

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.control().faults = faults;
    }

    /// Returns the counts since the start of the log service.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.control().counts
    }

    fn control(&self) -> MutexGuard<'_, Control> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Chooses how the next append is handled, and updates the faults and counts.
    fn next_action(&self, records: usize) -> AppendAction {
        let mut control = self.control();
        let now = Instant::now();
        let second = Duration::from_secs(1);
        while control.recent.front().is_some_and(|at| now - *at >= second) {
            control.recent.pop_front();
        }
        let rate = control.faults.rate;
        if rate > 0 && control.recent.len() >= rate {
            control.counts.limited += 1;
            return AppendAction::Limit;
        }
        if control.faults.drop > 0 {
            control.faults.drop -= 1;
            return AppendAction::Drop;
        }
        control.recent.push_back(now);
        control.counts.appends += 1;
        control.counts.records += records as u64;
        if control.faults.lose > 0 {
            control.faults.lose -= 1;
            return AppendAction::LoseAnswer;
        }
        AppendAction::Apply
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
                .zip(s.records.iter().skip(skip).take(MAX_PAGE_RECORDS))
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

    /// Calls `f` with the stream `name`, which is created if it does not exist.
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
    match service.next_action(batch.records.len()) {
        AppendAction::Apply => json(&service.append(&stream, batch)),
        AppendAction::LoseAnswer => {
            service.append(&stream, batch);
            Ok(Response::new(StatusCode::BadGateway))
        }
        AppendAction::Drop => Ok(Response::new(StatusCode::BadGateway)),
        AppendAction::Limit => Ok(Response::new(StatusCode::TooManyRequests)),
    }
}

/// Waits for [`Faults::slow_ms`] and returns whether the log is up.
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
    let mut remaining = Duration::from_millis(query.wait_ms);
    loop {
        if !delay(request.state()).await {
            return Ok(Response::new(StatusCode::ServiceUnavailable));
        }
        let page = request.state().page(&stream, query.from);
        if !page.records.is_empty() || remaining.is_zero() {
            return json(&page);
        }
        let step = POLL_INTERVAL.min(remaining);
        task::sleep(step).await;
        remaining -= step;
    }
}

fn json(value: &impl serde::Serialize) -> tide::Result {
    Ok(Response::builder(StatusCode::Ok)
        .body(Body::from_json(value)?)
        .build())
}
