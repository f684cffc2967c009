//! Streams long responses to callers through a bounded buffer.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_std::channel::{Receiver, Sender, bounded};
use async_std::stream::Stream;
use futures_lite::{AsyncBufRead, AsyncRead};

/// Most chunks that are buffered for a slow caller.
const BUFFERED_CHUNKS: usize = 4;

/// Writing end of a pipe. If it is dropped without [`PipeWriter::close`], the reader fails with
/// [`io::ErrorKind::UnexpectedEof`].
#[derive(Debug)]
pub(super) struct PipeWriter(Sender<Vec<u8>>);

/// Reading end of a pipe.
#[derive(Debug)]
pub(super) struct PipeReader {
    chunks: Pin<Box<Receiver<Vec<u8>>>>,
    /// The chunk that is being read.
    current: Vec<u8>,
    /// Bytes of the current chunk that were already read.
    position: usize,
    /// Whether the writer marked the end of the response.
    complete: bool,
}

/// Creates a pipe that buffers up to [`BUFFERED_CHUNKS`] chunks.
pub(super) fn pipe() -> (PipeWriter, PipeReader) {
    let (sender, receiver) = bounded(BUFFERED_CHUNKS);
    let reader = PipeReader {
        chunks: Box::pin(receiver),
        current: Vec::new(),
        position: 0,
        complete: false,
    };
    (PipeWriter(sender), reader)
}

impl PipeWriter {
    /// Adds a chunk, and waits while the buffer is full. Returns `false` if the reader was dropped.
    pub(super) async fn write(&self, chunk: Vec<u8>) -> bool {
        chunk.is_empty() || self.0.send(chunk).await.is_ok()
    }

    /// Marks the end of the response with an empty chunk. Without it, the reader reports a
    /// truncated response.
    pub(super) async fn close(self) {
        let _ = self.0.send(Vec::new()).await;
    }
}

impl AsyncBufRead for PipeReader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.position >= this.current.len() && !this.complete {
            match ready!(this.chunks.as_mut().poll_next(cx)) {
                Some(chunk) => {
                    this.complete = chunk.is_empty();
                    this.current = chunk;
                    this.position = 0;
                }
                None => return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            }
        }
        Poll::Ready(Ok(&this.current[this.position..]))
    }

    fn consume(self: Pin<&mut Self>, count: usize) {
        self.get_mut().position += count;
    }
}

impl AsyncRead for PipeReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(cx))?;
        let count = available.len().min(buffer.len());
        buffer[..count].copy_from_slice(&available[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
