//! Watches, which stream changes of the configuration to operators.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use async_std::channel::{self, Receiver, Sender};
use async_std::task;
use futures_lite::io::{AsyncRead, BufReader};
use futures_lite::stream::Stream;
use primrosebay_protocol::api::{Failure, WatchLine};
use primrosebay_protocol::code::Code;
use primrosebay_state::job::Problem;
use tide::{Body, Response};

use super::input::Query;
use super::{ApiRequest, respond};
use crate::auth;
use crate::shared::Shared;

/// Most lines that are buffered for a slow client. Further changes stay in the configuration's
/// history until the client has caught up.
const QUEUED_LINES: usize = 64;

/// Counts the open watches.
#[derive(Debug, Default)]
pub struct Watchers(AtomicUsize);

impl Watchers {
    /// Returns the number of open watches.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

/// Counts one open watch until it is dropped.
#[derive(Debug)]
struct WatchGuard(Arc<Shared>);

impl WatchGuard {
    /// Counts a new watch; `None` if the limit of open watches is reached.
    fn acquire(shared: &Arc<Shared>) -> Option<Self> {
        // The guard exists before the check, so that its drop uncounts a rejected watch.
        let guard = Self(Arc::clone(shared));
        let open = shared.watchers.0.fetch_add(1, Ordering::SeqCst);
        ((open as u64) < shared.setup.limits.watchers).then_some(guard)
    }
}

impl Drop for WatchGuard {
    fn drop(&mut self) {
        self.0.watchers.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Handles `GET /v1/watch?from=`.
pub(super) async fn watch(request: ApiRequest) -> tide::Result {
    respond(open_watch(&request))
}

/// Starts a watch, or fails if its first offset is no longer in the history.
fn open_watch(request: &ApiRequest) -> Result<Response, Failure> {
    auth::require_operator(request).map_err(Failure::new)?;
    let shared = request.state();
    let config = shared.config();
    let mut query = Query::new(request);
    let from = query.number("from", 0, u64::MAX).unwrap_or(config.next);
    query.finish()?;
    if let Err(error) = config.since(from) {
        let expected = format!("{} or later", error.oldest);
        let problem = Problem::new("query.from", expected);
        return Err(Failure::with_problems(Code::TOO_OLD, vec![problem]));
    }
    let guard = WatchGuard::acquire(shared).ok_or_else(|| Failure::new(Code::OVERLOADED))?;
    let (sender, receiver) = channel::bounded(QUEUED_LINES);
    task::spawn(send_lines(guard, from, sender));
    let body = BufReader::new(WatchBody {
        lines: receiver,
        line: Vec::new(),
        position: 0,
    });
    Ok(Response::builder(200)
        .content_type("application/x-ndjson")
        .body(Body::from_reader(body, None))
        .build())
}

/// Sends changes and bookmarks until the client disconnects, the history no longer reaches back to
/// the next offset, or the instance stops.
async fn send_lines(guard: WatchGuard, mut from: u64, sender: Sender<Vec<u8>>) {
    let shared = &guard.0;
    let changes = shared.configuration.subscribe();
    let interval = Duration::from_millis(shared.setup.timeouts.bookmark_ms);
    loop {
        let (lines, ended) = lines_since(shared, from);
        from = from.max(last_offset(&lines));
        for line in &lines {
            let Ok(mut bytes) = serde_json::to_vec(line) else {
                return;
            };
            bytes.push(b'\n');
            if sender.send(bytes).await.is_err() {
                return;
            }
        }
        if ended || shared.is_stopping() {
            return;
        }
        // A bookmark is sent at least once per interval, which also detects a disconnected client.
        let _ = async_std::future::timeout(interval, changes.recv()).await;
    }
}

/// Returns the changes since the offset `from` with a bookmark, and `false`. If the history no
/// longer reaches back to `from`, returns an error line, and `true` because the watch ends.
fn lines_since(shared: &Shared, from: u64) -> (Vec<WatchLine>, bool) {
    let config = shared.config();
    match config.since(from) {
        Ok(events) => {
            let mut lines: Vec<WatchLine> = events.cloned().map(WatchLine::Change).collect();
            lines.push(WatchLine::Bookmark {
                next: config.next.max(from),
            });
            (lines, false)
        }
        Err(error) => {
            let line = WatchLine::TooOld {
                code: Code::TOO_OLD,
                oldest: error.oldest,
            };
            (vec![line], true)
        }
    }
}

/// Returns the offset of the closing bookmark; 0 without one.
fn last_offset(lines: &[WatchLine]) -> u64 {
    match lines.last() {
        Some(WatchLine::Bookmark { next }) => *next,
        _ => 0,
    }
}

/// Response body of a watch, which reads lines from a channel.
#[derive(Debug)]
struct WatchBody {
    lines: Receiver<Vec<u8>>,
    /// The line that is being read.
    line: Vec<u8>,
    /// Bytes of the line that were already read.
    position: usize,
}

impl AsyncRead for WatchBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.position == self.line.len() {
            match ready!(Pin::new(&mut self.lines).poll_next(cx)) {
                Some(line) => {
                    self.line = line;
                    self.position = 0;
                }
                None => return Poll::Ready(Ok(0)),
            }
        }
        let rest = &self.line[self.position..];
        let count = rest.len().min(buffer.len());
        buffer[..count].copy_from_slice(&rest[..count]);
        self.position += count;
        Poll::Ready(Ok(count))
    }
}
