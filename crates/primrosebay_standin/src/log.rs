//! A stand-in for the platform's log service.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::task;
use primrosebay_protocol::log::{Append, Appended, Page, Placed};
use primrosebay_state::Name;
use primrosebay_state::record::Record;
use serde::Deserialize;
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

/// The state of the stand-in.
#[derive(Debug, Default)]
pub struct LogService {
    settings: Settings,
    streams: Mutex<Vec<Stream>>,
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
        app
    }

    fn append(&self, stream: &str, batch: Append) -> Appended {
        self.with_stream(stream, |s| {
            let first = s.end();
            s.records.extend(batch.records);
            let excess = s.records.len().saturating_sub(self.settings.retention);
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
                .map(|(offset, record)| Placed {
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
    json(&request.state().append(&stream, batch))
}

async fn read(request: Request<Arc<LogService>>) -> tide::Result {
    let query: ReadQuery = request.query()?;
    let stream = request.param("stream")?.to_owned();
    let mut left = Duration::from_millis(query.wait_ms);
    loop {
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
