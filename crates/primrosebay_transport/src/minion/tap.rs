//! Counts what is read from a connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use async_std::net::TcpStream;
use futures_lite::AsyncRead;

const HEAD_END: [u8; 4] = *b"\r\n\r\n";

/// Bytes of one response that were read from the connection.
#[derive(Debug, Default)]
pub(super) struct Tally {
    body: AtomicU64,
}

impl Tally {
    /// Returns the bytes that were read after the end of the head.
    pub(super) fn body(&self) -> u64 {
        self.body.load(Ordering::Relaxed)
    }
}

/// A connection's reading side. The decoder reads ahead, so the tally is the only way to see bytes
/// beyond the end of the answer.
#[derive(Debug)]
pub(super) struct Tap {
    stream: TcpStream,
    tally: Arc<Tally>,
    matched: usize,
}

impl Tap {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            tally: Arc::default(),
            matched: 0,
        }
    }

    pub(super) fn tally(&self) -> Arc<Tally> {
        Arc::clone(&self.tally)
    }

    fn count(&mut self, bytes: &[u8]) {
        let mut at = 0;
        while at < bytes.len() && self.matched < HEAD_END.len() {
            self.matched = match bytes[at] {
                byte if byte == HEAD_END[self.matched] => self.matched + 1,
                b'\r' => 1,
                _ => 0,
            };
            at += 1;
        }
        let body = (bytes.len() - at) as u64;
        self.tally.body.fetch_add(body, Ordering::Relaxed);
    }
}

impl AsyncRead for Tap {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        self.count(&buffer[..read]);
        Poll::Ready(Ok(read))
    }
}
