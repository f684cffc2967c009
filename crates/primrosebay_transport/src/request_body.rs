//! The body of a request, which notes when it has been received and read to its end.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use futures_lite::io::{AsyncBufRead, AsyncRead};
use http_types::{Body, Request};

use crate::connection::Connection;

/// Wraps the body of a request and returns a flag that is set once the body has been read to its
/// end. Returns `None` for a request without a body.
pub(crate) fn track_body(
    request: &mut Request,
    connection: &Arc<Connection>,
) -> Option<Arc<AtomicBool>> {
    let length = request.len();
    let chunked = request.header("transfer-encoding").is_some();
    if length == Some(0) || length.is_none() && !chunked {
        return None;
    }
    let read = Arc::new(AtomicBool::new(false));
    let body = request.take_body();
    let media_type = body.mime().clone();
    let tracked = TrackedBody {
        remaining: length,
        buffered: 0,
        ended: false,
        body,
        connection: Arc::clone(connection),
        read: Arc::clone(&read),
    };
    let mut body = Body::from_reader(tracked, length);
    body.set_mime(media_type);
    request.set_body(body);
    Some(read)
}

/// A request body that sets a flag once it has been read to its end.
struct TrackedBody {
    body: Body,
    /// Bytes that have not been read, if the length is known.
    remaining: Option<usize>,
    /// Bytes that have been returned and not consumed. They stay readable until they are consumed.
    buffered: usize,
    /// Whether the end has been reached.
    ended: bool,
    connection: Arc<Connection>,
    /// Set once the end has been read.
    read: Arc<AtomicBool>,
}

impl AsyncBufRead for TrackedBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.ended {
            return Poll::Ready(Ok(&[]));
        }
        if this.buffered == 0 {
            // Checked here as well, since the chunk decoder may wait without reading from the stream.
            this.connection.check()?;
        }
        let bytes = ready!(Pin::new(&mut this.body).poll_fill_buf(cx))?;
        if this.buffered == 0 {
            let is_whole = this.remaining.is_some_and(|r| bytes.len() >= r);
            if is_whole || this.remaining.is_none() && bytes.is_empty() {
                this.connection.finish()?;
            }
            this.buffered = bytes.len();
        }
        if bytes.is_empty() {
            this.ended = true;
            this.read.store(true, Ordering::SeqCst);
        }
        Poll::Ready(Ok(bytes))
    }

    fn consume(self: Pin<&mut Self>, count: usize) {
        let this = self.get_mut();
        Pin::new(&mut this.body).consume(count);
        this.buffered = this.buffered.saturating_sub(count);
        this.remaining = this.remaining.map(|bytes| bytes.saturating_sub(count));
        if this.remaining == Some(0) {
            this.ended = true;
            this.read.store(true, Ordering::SeqCst);
        }
    }
}

impl AsyncRead for TrackedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let bytes = ready!(self.as_mut().poll_fill_buf(cx))?;
        let count = bytes.len().min(buffer.len());
        buffer[..count].copy_from_slice(&bytes[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
