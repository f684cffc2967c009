//! Closes connections on which the head of a request does not arrive in time.
//!
//! `async-h1` has a fixed time-out of 60 s for it.

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

/// A connection whose reads fail when the next head is late. Each request is read through a clone
/// of its own, so that the time starts anew.
pub(crate) struct HeadTimeout {
    stream: TcpStream,
    head: Duration,
    idle: Duration,
    busy: Arc<AtomicBool>,
    started: bool,
    timer: Option<Timer>,
}

impl HeadTimeout {
    /// Wraps `stream`. A head must arrive within `head` of its first byte, which must arrive within
    /// `idle`. There is no time-out while `busy` is set.
    pub(crate) fn new(
        stream: TcpStream,
        head: Duration,
        idle: Duration,
        busy: Arc<AtomicBool>,
    ) -> Self {
        Self {
            stream,
            head,
            idle,
            busy,
            started: false,
            timer: None,
        }
    }

    fn check(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if self.busy.load(Ordering::SeqCst) {
            return Poll::Pending;
        }
        let time = if self.started { self.head } else { self.idle };
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(task::sleep(time)));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Clone for HeadTimeout {
    fn clone(&self) -> Self {
        Self::new(
            self.stream.clone(),
            self.head,
            self.idle,
            Arc::clone(&self.busy),
        )
    }
}

impl AsyncRead for HeadTimeout {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.stream).poll_read(cx, buffer) {
            Poll::Pending => self.check(cx),
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

impl AsyncWrite for HeadTimeout {
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
