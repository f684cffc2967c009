//! Minimal HTTP/1.1 client of the callers, which does as little work per request as possible.

use std::io::{self, Read, Write};
use std::net::SocketAddr;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;

/// Address and path to which requests are sent, with their headers.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    pub(crate) path: &'static str,
    /// Further header lines, each with its line break.
    pub(crate) headers: String,
}

impl Target {
    /// Returns the bytes of a request with a short body. The attempt ID is only for requests to
    /// minions; an entry instance ignores it.
    pub(crate) fn request(&self, id: &str, repeat: &str, deadline_ms: u64) -> Vec<u8> {
        format!(
            "POST {} HTTP/1.1\r\nhost: {}\r\n{}x-attempt-id: {id}\r\nx-repeat: {repeat}\r\n\
             x-deadline-ms: {deadline_ms}\r\ncontent-length: 6\r\n\r\nbasket",
            self.path, self.address, self.headers
        )
        .into_bytes()
    }
}

/// Result of a request that was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Outcome {
    /// HTTP status of the response.
    pub(crate) status: u16,
    /// Whether the response says that the request was not run.
    pub(crate) not_run: bool,
}

/// Parses one response that arrives in chunks.
#[derive(Debug, Default)]
struct ResponseParser {
    bytes: Vec<u8>,
}

impl ResponseParser {
    /// Adds a chunk and returns the outcome once the response is complete.
    fn push(&mut self, chunk: &[u8]) -> Option<Outcome> {
        self.bytes.extend_from_slice(chunk);
        let head_end = self.bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
        let head = std::str::from_utf8(&self.bytes[..head_end]).ok()?;
        let length: usize = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .and_then(|text| text.parse().ok())?;
        let status = head.get(9..12)?.parse().ok()?;
        let not_run = head.contains("x-ran: no\r\n");
        (self.bytes.len() >= head_end + length).then_some(Outcome { status, not_run })
    }
}

/// Sends a request on a blocking connection and returns its outcome.
pub(crate) fn send_blocking(
    stream: &mut std::net::TcpStream,
    request: &[u8],
) -> io::Result<Outcome> {
    stream.write_all(request)?;
    let (mut parser, mut buffer) = (ResponseParser::default(), [0; 4096]);
    loop {
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if let Some(outcome) = parser.push(&buffer[..count]) {
            return Ok(outcome);
        }
    }
}

/// Sends a request on an open connection and returns its outcome.
pub(crate) async fn send(mut stream: &TcpStream, request: &[u8]) -> io::Result<Outcome> {
    stream.write_all(request).await?;
    let (mut parser, mut buffer) = (ResponseParser::default(), [0; 4096]);
    loop {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if let Some(outcome) = parser.push(&buffer[..count]) {
            return Ok(outcome);
        }
    }
}

/// Sends one request on a new connection and returns its outcome.
pub(crate) async fn send_once(
    target: &Target,
    repeat: &str,
    deadline_ms: u64,
) -> io::Result<Outcome> {
    let stream = TcpStream::connect(target.address).await?;
    send(&stream, &target.request("ready", repeat, deadline_ms)).await
}
