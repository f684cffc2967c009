//! Passes long answers on to callers with a bounded buffer.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_std::channel::{Receiver, Sender, bounded};
use async_std::stream::Stream;
use futures_lite::{AsyncBufRead, AsyncRead};

/// Pieces that wait for a slow caller.
const PIECES: usize = 4;

/// The writing end. The reader fails if this is dropped before [`PipeWriter::close`].
#[derive(Debug)]
pub(super) struct PipeWriter(Sender<Vec<u8>>);

/// The reading end.
#[derive(Debug)]
pub(super) struct PipeReader {
    pieces: Pin<Box<Receiver<Vec<u8>>>>,
    current: Vec<u8>,
    at: usize,
    ended: bool,
}

/// Creates a pipe.
pub(super) fn pipe() -> (PipeWriter, PipeReader) {
    let (sender, receiver) = bounded(PIECES);
    let reader = PipeReader {
        pieces: Box::pin(receiver),
        current: Vec::new(),
        at: 0,
        ended: false,
    };
    (PipeWriter(sender), reader)
}

impl PipeWriter {
    /// Waits for room and adds a piece. Returns whether the reader is still there.
    pub(super) async fn write(&self, piece: Vec<u8>) -> bool {
        piece.is_empty() || self.0.send(piece).await.is_ok()
    }

    /// Marks the end. Without the mark the reader reports a broken answer.
    pub(super) async fn close(self) {
        let _ = self.0.send(Vec::new()).await;
    }
}

impl AsyncBufRead for PipeReader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.at >= this.current.len() && !this.ended {
            match ready!(this.pieces.as_mut().poll_next(cx)) {
                Some(piece) => {
                    this.ended = piece.is_empty();
                    this.current = piece;
                    this.at = 0;
                }
                None => return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            }
        }
        Poll::Ready(Ok(&this.current[this.at..]))
    }

    fn consume(self: Pin<&mut Self>, count: usize) {
        self.get_mut().at += count;
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
