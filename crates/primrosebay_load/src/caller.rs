//! Callers that send requests and read whole answers with as little work as possible.

use std::io::{self, Read, Write};
use std::net::SocketAddr;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;

/// Where requests go.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    pub(crate) path: &'static str,
    pub(crate) headers: String,
}

impl Target {
    /// Returns a request with a short body. A minion also needs an attempt id, which the entry
    /// instance ignores.
    pub(crate) fn request(&self, id: &str, repeat: &str, deadline_ms: u64) -> Vec<u8> {
        format!(
            "POST {} HTTP/1.1\r\nhost: {}\r\n{}x-attempt-id: {id}\r\nx-repeat: {repeat}\r\n\
             x-deadline-ms: {deadline_ms}\r\ncontent-length: 6\r\n\r\nbasket",
            self.path, self.address, self.headers
        )
        .into_bytes()
    }
}

/// What a caller gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Outcome {
    /// The HTTP status.
    pub(crate) status: u16,
    /// Whether the answer says that the request was not run.
    pub(crate) not_run: bool,
}

/// Reads one answer piece by piece.
#[derive(Debug, Default)]
struct Reader {
    bytes: Vec<u8>,
}

impl Reader {
    /// Adds a piece and returns the outcome once the answer is complete.
    fn add(&mut self, piece: &[u8]) -> Option<Outcome> {
        self.bytes.extend_from_slice(piece);
        let end = self.bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
        let head = std::str::from_utf8(&self.bytes[..end]).ok()?;
        let length: usize = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .and_then(|text| text.parse().ok())?;
        let status = head.get(9..12)?.parse().ok()?;
        let not_run = head.contains("x-ran: no\r\n");
        (self.bytes.len() >= end + length).then_some(Outcome { status, not_run })
    }
}

/// Sends a request on a blocking connection and returns the outcome.
pub(crate) fn blocking(stream: &mut std::net::TcpStream, request: &[u8]) -> io::Result<Outcome> {
    stream.write_all(request)?;
    let (mut reader, mut buffer) = (Reader::default(), [0; 4096]);
    loop {
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if let Some(outcome) = reader.add(&buffer[..count]) {
            return Ok(outcome);
        }
    }
}

/// Sends a request on an open connection and returns the outcome.
pub(crate) async fn send(mut stream: &TcpStream, request: &[u8]) -> io::Result<Outcome> {
    stream.write_all(request).await?;
    let (mut reader, mut buffer) = (Reader::default(), [0; 4096]);
    loop {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if let Some(outcome) = reader.add(&buffer[..count]) {
            return Ok(outcome);
        }
    }
}

/// Sends one request on a connection of its own.
pub(crate) async fn once(target: &Target, repeat: &str, deadline_ms: u64) -> io::Result<Outcome> {
    let stream = TcpStream::connect(target.address).await?;
    send(&stream, &target.request("ready", repeat, deadline_ms)).await
}
