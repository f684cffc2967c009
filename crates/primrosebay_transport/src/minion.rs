//! Calls to minions.

mod body;
mod exact_reader;
mod pool;
mod tap;

use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_h1::client::{Encoder, decode};
use async_std::future::timeout;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use http_types::{Body, Method, Request, Response, Url};
use primrosebay_protocol::minion::{
    ATTEMPT_HEADER, BUSY_HEADER, DEADLINE_HEADER, LEAVING_HEADER, RAN_HEADER, RUN_PATH,
};
use primrosebay_state::Name;

use crate::trace;

pub use body::ResponseBody;
pub use exact_reader::ExactReader;

use pool::{Connection, Pool};
use tap::Tap;

/// Bytes of a body that are read and sent at once.
const CHUNK: usize = 16 << 10;
/// Headers of an answer that concern one connection, or this system only.
const HOP_HEADERS: [&str; 9] = [
    ATTEMPT_HEADER,
    BUSY_HEADER,
    LEAVING_HEADER,
    RAN_HEADER,
    "connection",
    "content-length",
    "date",
    "keep-alive",
    "transfer-encoding",
];

/// One attempt at a minion.
#[derive(Debug)]
pub struct Call {
    /// The minion's IP address and port.
    pub address: Name,
    /// Identifies the attempt.
    pub attempt: String,
    /// The media type of the body, if the caller gave one.
    pub media_type: Option<String>,
    /// The trace context, in the form of the `traceparent` header; empty for none.
    pub trace: String,
    /// The body.
    pub body: Payload,
    /// Time for the whole answer.
    pub timeout: Duration,
}

/// The body of a call.
#[derive(Debug)]
pub enum Payload {
    /// A body in memory.
    Buffered(std::sync::Arc<[u8]>),
    /// A body of known length in bytes that the caller is still sending.
    Stream(Body, u64),
}

/// What a minion says about itself in a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Report {
    /// Occupied slots.
    pub busy_slots: Option<u32>,
    /// Whether the minion is about to stop.
    pub leaving: bool,
}

/// A minion's answer.
#[derive(Debug)]
pub struct MinionResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers that concern the caller.
    pub headers: Vec<(String, String)>,
    /// What the minion says about itself.
    pub report: Report,
    /// The body, not yet read.
    pub body: ResponseBody,
}

/// Why a call got no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum MinionError {
    /// No byte of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// No byte was sent, because all connections to the minion are in use.
    #[error("all connections are in use")]
    ConnectionLimit,
    /// The minion says that it did not run the request.
    #[error("the minion refused the request")]
    Refused(Report),
    /// Bytes of the request were sent, and the whole answer did not arrive.
    #[error("answer lost: {0}")]
    Lost(String),
    /// Bytes of the request were sent, and the answer did not arrive in time.
    #[error("timed out")]
    TimedOut,
    /// The caller did not send its whole body.
    #[error("the caller's body ended early: {0}")]
    IncompleteBody(String),
}

/// Sends requests to minions.
pub trait MinionLink: Send + Sync + 'static {
    /// Makes one attempt. It is never repeated here.
    ///
    /// # Errors
    /// Returns a [`MinionError`] that tells whether the request may have run.
    fn call(&self, call: Call) -> impl Future<Output = Result<MinionResponse, MinionError>> + Send;
}

/// Bounds of the connections to minions.
#[derive(Debug, Clone, Copy)]
pub struct LinkSettings {
    /// Most open connections to one minion.
    pub max_connections: usize,
    /// Idle connections kept for one minion.
    pub max_idle: usize,
    /// How long an idle connection is kept. It must be shorter than the minions' own time-out, so
    /// that no request is sent on a connection that the minion is closing.
    pub idle_timeout: Duration,
    /// Time for opening a connection.
    pub connect_timeout: Duration,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            max_connections: 64,
            max_idle: 8,
            idle_timeout: Duration::from_secs(4),
            connect_timeout: Duration::from_millis(250),
        }
    }
}

/// Calls minions over pooled HTTP/1.1 connections, with one request at a time on each.
#[derive(Debug, Default)]
pub struct HttpMinions {
    pool: Pool,
}

impl HttpMinions {
    /// Creates a link without open connections.
    #[must_use]
    pub fn new(settings: LinkSettings) -> Self {
        Self {
            pool: Pool::new(settings),
        }
    }
}

impl MinionLink for HttpMinions {
    async fn call(&self, call: Call) -> Result<MinionResponse, MinionError> {
        let until = Instant::now() + call.timeout;
        let address = call
            .address
            .parse()
            .map_err(|_| MinionError::NotSent(format!("bad address {}", call.address)))?;
        let connection = self.pool.get(address, call.timeout).await?;
        let sent = AtomicBool::new(false);
        let limit = until.saturating_duration_since(Instant::now());
        match timeout(limit, exchange(call, connection, &sent, until)).await {
            Ok(result) => result,
            // The connection was dropped with the exchange. Its late answer must not reach the
            // next request.
            Err(_) if sent.load(Ordering::Relaxed) => Err(MinionError::TimedOut),
            Err(_) => Err(MinionError::NotSent("timed out".into())),
        }
    }
}

async fn exchange(
    call: Call,
    mut connection: Connection,
    sent: &AtomicBool,
    until: Instant,
) -> Result<MinionResponse, MinionError> {
    let attempt = call.attempt.clone();
    let streamed = matches!(call.body, Payload::Stream(..));
    let encoder = Encoder::new(request(call)?);
    let tap = Tap::new(connection.stream());
    let tally = tap.tally();
    let (response, complete) = if streamed {
        send_and_receive(encoder, &connection, tap, sent).await?
    } else {
        send_whole(encoder, &connection, sent).await?;
        (decode(tap).await.map_err(|e| lost(&e))?, true)
    };
    connection.keep &= complete && !says(&response, "connection", "close");
    let report = Report {
        busy_slots: header(&response, BUSY_HEADER).and_then(|v| v.parse().ok()),
        leaving: says(&response, LEAVING_HEADER, "yes"),
    };
    if !connection.accepts(header(&response, ATTEMPT_HEADER), &attempt) {
        return Err(MinionError::Lost("answer to another attempt".into()));
    }
    if says(&response, RAN_HEADER, "no") {
        return Err(refused(response, connection, tally, until, report).await);
    }
    answer(response, connection, tally, until, report)
}

/// Reads the refusal to its end, so that the connection can be used again.
async fn refused(
    response: Response,
    connection: Connection,
    tally: std::sync::Arc<tap::Tally>,
    until: Instant,
    report: Report,
) -> MinionError {
    if let Ok(mut answer) = answer(response, connection, tally, until, report) {
        let _ = answer.body.read_to_end(CHUNK).await;
    }
    MinionError::Refused(report)
}

fn answer(
    mut response: Response,
    connection: Connection,
    tally: std::sync::Arc<tap::Tally>,
    until: Instant,
    report: Report,
) -> Result<MinionResponse, MinionError> {
    let status = u16::from(response.status());
    let length = match header(&response, "content-length") {
        Some(text) => Some(text.parse().map_err(|_| lost("malformed length"))?),
        None if status == 204 || status == 304 => Some(0),
        None if says(&response, "transfer-encoding", "chunked") => None,
        // The end of such an answer cannot be told from a broken connection.
        None => return Err(lost("answer without a length")),
    };
    if status < 200 {
        return Err(lost("interim answer"));
    }
    let headers = response
        .iter()
        .filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()))
        .map(|(name, values)| (name.to_string(), values.last().to_string()))
        .collect();
    Ok(MinionResponse {
        status,
        headers,
        report,
        body: ResponseBody::new(response.take_body(), length, connection, tally, until),
    })
}

fn request(call: Call) -> Result<Request, MinionError> {
    let url = Url::parse(&format!("http://{}{RUN_PATH}", call.address))
        .map_err(|e| MinionError::NotSent(e.to_string()))?;
    let mut request = Request::new(Method::Post, url);
    request.insert_header(ATTEMPT_HEADER, call.attempt);
    request.insert_header(DEADLINE_HEADER, call.timeout.as_millis().to_string());
    match call.body {
        Payload::Buffered(bytes) => {
            let length = bytes.len();
            let reader = futures_lite::io::Cursor::new(bytes);
            request.set_body(Body::from_reader(reader, Some(length)));
        }
        Payload::Stream(body, length) => {
            let reader = futures_lite::io::BufReader::new(ExactReader::new(body, length));
            let length = usize::try_from(length).ok();
            request.set_body(Body::from_reader(reader, length));
        }
    }
    if !call.trace.is_empty() {
        request.insert_header(trace::HEADER, call.trace);
    }
    if let Some(media) = call.media_type {
        request.insert_header("content-type", media);
    }
    Ok(request)
}

/// Sends a request whose body is in memory with as few writes as possible.
async fn send_whole(
    mut encoder: Encoder,
    connection: &Connection,
    sent: &AtomicBool,
) -> Result<(), MinionError> {
    let mut bytes = Vec::with_capacity(1024);
    encoder
        .read_to_end(&mut bytes)
        .await
        .map_err(|e| MinionError::NotSent(e.to_string()))?;
    send(&bytes, connection, sent).await
}

async fn send(
    mut bytes: &[u8],
    connection: &Connection,
    sent: &AtomicBool,
) -> Result<(), MinionError> {
    let mut stream = connection.stream();
    while !bytes.is_empty() {
        let written = match stream.write(bytes).await {
            Ok(written) if written > 0 => written,
            result => {
                let reason = format!("cannot write: {result:?}");
                return Err(if sent.load(Ordering::Relaxed) {
                    MinionError::Lost(reason)
                } else {
                    MinionError::NotSent(reason)
                });
            }
        };
        sent.store(true, Ordering::Relaxed);
        bytes = &bytes[written..];
    }
    Ok(())
}

/// Sends a body as it arrives and waits for the response at the same time, because a minion may
/// refuse a long request before its end. Returns whether the whole request was sent.
async fn send_and_receive(
    mut encoder: Encoder,
    connection: &Connection,
    tap: Tap,
    sent: &AtomicBool,
) -> Result<(Response, bool), MinionError> {
    let complete = AtomicBool::new(false);
    let write = async {
        let mut buffer = vec![0; CHUNK];
        loop {
            let read = encoder
                .read(&mut buffer)
                .await
                .map_err(|e| MinionError::IncompleteBody(e.to_string()))?;
            if read == 0 {
                complete.store(true, Ordering::Relaxed);
                break;
            }
            match send(&buffer[..read], connection, sent).await {
                Ok(()) => {}
                Err(e @ MinionError::NotSent(_)) => return Err(e),
                // A response that was sent before the connection broke may still be readable.
                Err(_) => break,
            }
        }
        future::pending().await
    };
    let read = async { decode(tap).await.map_err(|e| lost(&e)) };
    let response = future::or(read, write).await?;
    Ok((response, complete.load(Ordering::Relaxed)))
}

fn header<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    response.header(name).map(|values| values.last().as_str())
}

fn says(response: &Response, name: &str, value: &str) -> bool {
    header(response, name).is_some_and(|v| v.eq_ignore_ascii_case(value))
}

fn lost(reason: &(impl ToString + ?Sized)) -> MinionError {
    MinionError::Lost(reason.to_string())
}
