//! Watches of the configuration.

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
use super::{ApiRequest, answer};
use crate::auth;
use crate::shared::Shared;

/// Lines that wait for a slow reader; further changes stay in the history until it has caught up.
const QUEUE: usize = 64;

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

/// One open watch.
#[derive(Debug)]
struct Slot(Arc<Shared>);

impl Slot {
    fn take(shared: &Arc<Shared>) -> Option<Self> {
        let slot = Self(Arc::clone(shared));
        let before = shared.watchers.0.fetch_add(1, Ordering::SeqCst);
        ((before as u64) < shared.setup.limits.watchers).then_some(slot)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.watchers.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Handles `GET /v1/watch?from=`.
pub(super) async fn watch(request: ApiRequest) -> tide::Result {
    answer(open(&request))
}

fn open(request: &ApiRequest) -> Result<Response, Failure> {
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
    let slot = Slot::take(shared).ok_or_else(|| Failure::new(Code::OVERLOADED))?;
    let (sender, receiver) = channel::bounded(QUEUE);
    task::spawn(send(slot, from, sender));
    let body = BufReader::new(Lines {
        queue: receiver,
        line: Vec::new(),
        at: 0,
    });
    Ok(Response::builder(200)
        .content_type("application/x-ndjson")
        .body(Body::from_reader(body, None))
        .build())
}

/// Sends changes and bookmarks until the reader has gone.
async fn send(slot: Slot, mut from: u64, sender: Sender<Vec<u8>>) {
    let shared = &slot.0;
    let changes = shared.configuration.subscribe();
    let period = Duration::from_millis(shared.setup.timeouts.bookmark_ms);
    loop {
        let (lines, end) = lines_since(shared, from);
        from = from.max(last(&lines));
        for line in &lines {
            let Ok(mut text) = serde_json::to_vec(line) else {
                return;
            };
            text.push(b'\n');
            if sender.send(text).await.is_err() {
                return;
            }
        }
        if end || shared.is_stopping() {
            return;
        }
        // Without a change a bookmark follows, which also finds out that the reader has gone.
        let _ = async_std::future::timeout(period, changes.recv()).await;
    }
}

/// Returns the changes from `from` on with a bookmark, and whether the watch ends.
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

fn last(lines: &[WatchLine]) -> u64 {
    match lines.last() {
        Some(WatchLine::Bookmark { next }) => *next,
        _ => 0,
    }
}

/// The body of the answer.
#[derive(Debug)]
struct Lines {
    queue: Receiver<Vec<u8>>,
    line: Vec<u8>,
    at: usize,
}

impl AsyncRead for Lines {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.at == self.line.len() {
            match ready!(Pin::new(&mut self.queue).poll_next(cx)) {
                Some(line) => {
                    self.line = line;
                    self.at = 0;
                }
                None => return Poll::Ready(Ok(0)),
            }
        }
        let rest = &self.line[self.at..];
        let count = rest.len().min(buffer.len());
        buffer[..count].copy_from_slice(&rest[..count]);
        self.at += count;
        Poll::Ready(Ok(count))
    }
}
