//! A reader that counts the bytes of a response body.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use async_std::net::TcpStream;
use futures_lite::AsyncRead;

/// The bytes that end the head of a response.
const HEAD_END: [u8; 4] = *b"\r\n\r\n";

/// Counts the bytes of one response that were read from the connection.
#[derive(Debug, Default)]
pub(super) struct ByteCounter {
    body: AtomicU64,
}

impl ByteCounter {
    /// Returns the number of bytes that were read after the end of the head.
    pub(super) fn body_bytes(&self) -> u64 {
        self.body.load(Ordering::Relaxed)
    }
}

/// Reads a response from a connection and counts its bytes. The decoder reads ahead, so only the
/// counter shows bytes beyond the end of the response.
#[derive(Debug)]
pub(super) struct CountingReader {
    stream: TcpStream,
    counter: Arc<ByteCounter>,
    /// Number of bytes of [`HEAD_END`] that have been found in sequence.
    matched: usize,
}

impl CountingReader {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            counter: Arc::default(),
            matched: 0,
        }
    }

    pub(super) fn counter(&self) -> Arc<ByteCounter> {
        Arc::clone(&self.counter)
    }

    /// Searches `bytes` for the end of the head and counts the bytes after it.
    fn count(&mut self, bytes: &[u8]) {
        let mut position = 0;
        while position < bytes.len() && self.matched < HEAD_END.len() {
            self.matched = match bytes[position] {
                byte if byte == HEAD_END[self.matched] => self.matched + 1,
                b'\r' => 1,
                _ => 0,
            };
            position += 1;
        }
        let body = (bytes.len() - position) as u64;
        self.counter.body.fetch_add(body, Ordering::Relaxed);
    }
}

impl AsyncRead for CountingReader {
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
