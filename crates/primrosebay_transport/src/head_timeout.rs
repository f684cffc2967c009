//! Closes connections on which the head of a request does not arrive in time.
//!
//! The timeout of `async-h1` for the head is fixed at 60 s.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use futures_lite::io::{AsyncRead, AsyncWrite};

type Timer = Pin<Box<dyn Future<Output = ()> + Send + Sync>>;

/// A connection whose reads fail when the head of the next request is late. `async-h1` reads each
/// request through a new clone, which restarts the timeouts.
pub(crate) struct TimeoutStream {
    stream: TcpStream,
    head_timeout: Duration,
    idle_timeout: Duration,
    /// Whether a request is being handled.
    busy: Arc<AtomicBool>,
    /// Whether the first byte of the head has arrived.
    started: bool,
    timer: Option<Timer>,
}

impl TimeoutStream {
    /// Wraps `stream`. The first byte of a head must arrive within `idle_timeout`, and the rest
    /// within `head_timeout` of it. No timeout applies while `busy` is set.
    pub(crate) fn new(
        stream: TcpStream,
        head_timeout: Duration,
        idle_timeout: Duration,
        busy: Arc<AtomicBool>,
    ) -> Self {
        Self {
            stream,
            head_timeout,
            idle_timeout,
            busy,
            started: false,
            timer: None,
        }
    }

    /// Fails the read when the timeout of the current phase has expired.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if self.busy.load(Ordering::SeqCst) {
            return Poll::Pending;
        }
        let timeout = if self.started {
            self.head_timeout
        } else {
            self.idle_timeout
        };
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(task::sleep(timeout)));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Clone for TimeoutStream {
    fn clone(&self) -> Self {
        Self::new(
            self.stream.clone(),
            self.head_timeout,
            self.idle_timeout,
            Arc::clone(&self.busy),
        )
    }
}

impl AsyncRead for TimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.stream).poll_read(cx, buffer) {
            Poll::Pending => self.poll_timeout(cx),
            Poll::Ready(read) => {
                if !self.started {
                    self.started = true;
                    self.timer = None;
                }
                Poll::Ready(read)
            }
        }
    }
}

impl AsyncWrite for TimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
