//! HTTP requests to minions.

mod body;
mod counting_reader;
mod exact_reader;
mod pool;

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

use counting_reader::CountingReader;
use pool::{Connection, Pool};

/// Maximum number of bytes of a body that are read or sent at once.
const CHUNK_SIZE: usize = 16 << 10;
/// Response headers that are not forwarded to the caller, because they concern a single connection
/// or the scheduler only.
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

/// One attempt to run a request on a minion.
#[derive(Debug)]
pub struct Call {
    /// The minion's IP address and port.
    pub address: Name,
    /// The ID of the attempt. A minion refuses to run the same ID twice.
    pub attempt: String,
    /// The media type of the body, if the caller gave one.
    pub media_type: Option<String>,
    /// The trace context, a value of the `traceparent` header, or empty for none.
    pub trace: String,
    /// The body of the request.
    pub body: Payload,
    /// Time until the complete response must have arrived. The minion gets it as the deadline.
    pub timeout: Duration,
}

/// The request body of a call.
#[derive(Debug)]
pub enum Payload {
    /// A complete body in memory, which later attempts can send again.
    Buffered(std::sync::Arc<[u8]>),
    /// A body that the caller is still sending, and its length in bytes.
    Stream(Body, u64),
}

/// The state of a minion, which it reports in each response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Report {
    /// Number of occupied slots, if the minion reports it.
    pub busy_slots: Option<u32>,
    /// Whether the minion is about to stop.
    pub leaving: bool,
}

/// The response of a minion.
#[derive(Debug)]
pub struct MinionResponse {
    /// The HTTP status, at least 200.
    pub status: u16,
    /// The headers to forward to the caller.
    pub headers: Vec<(String, String)>,
    /// The state of the minion.
    pub report: Report,
    /// The body, which has not been read yet.
    pub body: ResponseBody,
}

/// Why a call got no usable response.
#[derive(Debug, thiserror::Error)]
pub enum MinionError {
    /// No byte of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// No byte of the request was sent, because all connections to the minion are in use.
    #[error("all connections are in use")]
    ConnectionLimit,
    /// The minion responded that it did not run the request.
    #[error("the minion refused the request")]
    Refused(Report),
    /// At least one byte of the request was sent, but no complete and valid response arrived.
    #[error("response lost: {0}")]
    Lost(String),
    /// At least one byte of the request was sent, but the complete response did not arrive in time.
    #[error("timed out")]
    TimedOut,
    /// The caller did not send the whole body.
    #[error("the request body ended early: {0}")]
    IncompleteBody(String),
}

/// Sends requests to minions.
pub trait MinionLink: Send + Sync + 'static {
    /// Makes one attempt and never retries it.
    ///
    /// # Errors
    /// Returns a [`MinionError`] that tells whether the request may have run.
    fn call(&self, call: Call) -> impl Future<Output = Result<MinionResponse, MinionError>> + Send;
}

/// Limits and timeouts of the connections to minions.
#[derive(Debug, Clone, Copy)]
pub struct LinkSettings {
    /// Maximum number of open connections to one minion.
    pub max_connections: usize,
    /// Maximum number of idle connections that are kept for one minion.
    pub max_idle: usize,
    /// Time for which an idle connection is kept. It must be shorter than the idle timeout of the
    /// minions, so that no request is sent on a connection that the minion is closing.
    pub idle_timeout: Duration,
    /// Timeout for opening a connection.
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

/// Sends requests to minions over pooled HTTP/1.1 connections, each with one request in flight.
#[derive(Debug, Default)]
pub struct HttpMinions {
    pool: Pool,
}

impl HttpMinions {
    /// Creates a client without open connections.
    #[must_use]
    pub fn new(settings: LinkSettings) -> Self {
        Self {
            pool: Pool::new(settings),
        }
    }
}

impl MinionLink for HttpMinions {
    async fn call(&self, call: Call) -> Result<MinionResponse, MinionError> {
        let deadline = Instant::now() + call.timeout;
        let address = call
            .address
            .parse()
            .map_err(|_| MinionError::NotSent(format!("invalid address {}", call.address)))?;
        let connection = self.pool.get(address, call.timeout).await?;
        let sent = AtomicBool::new(false);
        let remaining = deadline.saturating_duration_since(Instant::now());
        match timeout(remaining, exchange(call, connection, &sent, deadline)).await {
            Ok(result) => result,
            // The timeout has dropped the exchange and so closed its connection, because the late
            // response must not reach the next request.
            Err(_) if sent.load(Ordering::Relaxed) => Err(MinionError::TimedOut),
            Err(_) => Err(MinionError::NotSent("timed out".into())),
        }
    }
}

/// Sends the request and receives the head of the response. Sets `sent` with the first byte that is
/// sent.
async fn exchange(
    call: Call,
    mut connection: Connection,
    sent: &AtomicBool,
    deadline: Instant,
) -> Result<MinionResponse, MinionError> {
    let attempt = call.attempt.clone();
    let streamed = matches!(call.body, Payload::Stream(..));
    let encoder = Encoder::new(build_request(call)?);
    let reader = CountingReader::new(connection.stream());
    let byte_counter = reader.counter();
    let (response, complete) = if streamed {
        send_and_receive(encoder, &connection, reader, sent).await?
    } else {
        send_buffered(encoder, &connection, sent).await?;
        (decode(reader).await.map_err(|e| lost(&e))?, true)
    };
    connection.reusable &= complete && !header_is(&response, "connection", "close");
    let report = Report {
        busy_slots: header(&response, BUSY_HEADER).and_then(|v| v.parse().ok()),
        leaving: header_is(&response, LEAVING_HEADER, "yes"),
    };
    if !connection.matches_attempt(header(&response, ATTEMPT_HEADER), &attempt) {
        return Err(MinionError::Lost("response to another attempt".into()));
    }
    if header_is(&response, RAN_HEADER, "no") {
        return Err(read_refusal(response, connection, byte_counter, deadline, report).await);
    }
    minion_response(response, connection, byte_counter, deadline, report)
}

/// Reads a refusal to its end, so that the connection can be reused, and returns the error for it.
async fn read_refusal(
    response: Response,
    connection: Connection,
    byte_counter: std::sync::Arc<counting_reader::ByteCounter>,
    deadline: Instant,
    report: Report,
) -> MinionError {
    if let Ok(mut response) = minion_response(response, connection, byte_counter, deadline, report)
    {
        let _ = response.body.read_to_end(CHUNK_SIZE).await;
    }
    MinionError::Refused(report)
}

/// Checks the head of a response and returns the response with its unread body.
fn minion_response(
    mut response: Response,
    connection: Connection,
    byte_counter: std::sync::Arc<counting_reader::ByteCounter>,
    deadline: Instant,
    report: Report,
) -> Result<MinionResponse, MinionError> {
    let status = u16::from(response.status());
    let length = match header(&response, "content-length") {
        Some(text) => Some(text.parse().map_err(|_| lost("malformed content-length"))?),
        None if status == 204 || status == 304 => Some(0),
        None if header_is(&response, "transfer-encoding", "chunked") => None,
        // The end of such a response cannot be told from a broken connection.
        None => return Err(lost("response without a length")),
    };
    if status < 200 {
        return Err(lost("interim response"));
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
        body: ResponseBody::new(
            response.take_body(),
            length,
            connection,
            byte_counter,
            deadline,
        ),
    })
}

/// Builds the HTTP request of a call.
fn build_request(call: Call) -> Result<Request, MinionError> {
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

/// Sends a request whose body is in memory, with as few writes as possible.
async fn send_buffered(
    mut encoder: Encoder,
    connection: &Connection,
    sent: &AtomicBool,
) -> Result<(), MinionError> {
    let mut bytes = Vec::with_capacity(1024);
    encoder
        .read_to_end(&mut bytes)
        .await
        .map_err(|e| MinionError::NotSent(e.to_string()))?;
    send_bytes(&bytes, connection, sent).await
}

/// Writes `bytes` to the connection and sets `sent` with the first byte that is sent.
async fn send_bytes(
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

/// Sends a request body as it arrives from the caller and waits for the response at the same time,
/// because a minion may refuse a long request before its end. Returns the response and whether the
/// whole request was sent.
async fn send_and_receive(
    mut encoder: Encoder,
    connection: &Connection,
    reader: CountingReader,
    sent: &AtomicBool,
) -> Result<(Response, bool), MinionError> {
    let complete = AtomicBool::new(false);
    let write_request = async {
        let mut buffer = vec![0; CHUNK_SIZE];
        loop {
            let read = encoder
                .read(&mut buffer)
                .await
                .map_err(|e| MinionError::IncompleteBody(e.to_string()))?;
            if read == 0 {
                complete.store(true, Ordering::Relaxed);
                break;
            }
            match send_bytes(&buffer[..read], connection, sent).await {
                Ok(()) => {}
                Err(e @ MinionError::NotSent(_)) => return Err(e),
                // A response that the minion sent before the connection broke may still be
                // readable.
                Err(_) => break,
            }
        }
        future::pending().await
    };
    let read_response = async { decode(reader).await.map_err(|e| lost(&e)) };
    let response = future::or(read_response, write_request).await?;
    Ok((response, complete.load(Ordering::Relaxed)))
}

/// Returns the last value of a response header.
fn header<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    response.header(name).map(|values| values.last().as_str())
}

/// Returns whether a response header has a value, in any letter case.
fn header_is(response: &Response, name: &str, value: &str) -> bool {
    header(response, name).is_some_and(|v| v.eq_ignore_ascii_case(value))
}

fn lost(reason: &(impl ToString + ?Sized)) -> MinionError {
    MinionError::Lost(reason.to_string())
}
