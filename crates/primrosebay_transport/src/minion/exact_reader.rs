//! A reader that fails when its source ends early.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures_lite::AsyncRead;

/// Reads exactly the declared number of bytes, and fails if the source ends early. A body reader
/// alone reports a broken connection like the regular end of the body.
#[derive(Debug)]
pub struct ExactReader<R> {
    inner: R,
    /// Number of bytes that have not been read.
    remaining: u64,
}

impl<R> ExactReader<R> {
    /// Creates a reader of `length` bytes from `inner`.
    pub fn new(inner: R, length: u64) -> Self {
        Self {
            inner,
            remaining: length,
        }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for ExactReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.remaining == 0 || buffer.is_empty() {
            return Poll::Ready(Ok(0));
        }
        let max =
            usize::try_from(self.remaining).map_or(buffer.len(), |bytes| bytes.min(buffer.len()));
        let read = ready!(Pin::new(&mut self.inner).poll_read(cx, &mut buffer[..max]))?;
        if read == 0 {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        self.remaining -= read as u64;
        Poll::Ready(Ok(read))
    }
}
