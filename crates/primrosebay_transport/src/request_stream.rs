//! The stream through which `async-h1` reads the requests of a connection. It sees every byte, so it
//! bounds what `async-h1` buffers without a limit of its own.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use async_std::net::TcpStream;
use futures_lite::io::{AsyncRead, AsyncWrite};

use crate::connection::Connection;

/// Number of reads after which a task lets others run. A client that sends faster than the server
/// reads would otherwise keep a thread of the executor for itself.
const READS_AT_ONCE: u32 = 8;

/// A connection whose reads fail once the current request is given up. `async-h1` reads each request
/// through a new clone.
#[derive(Debug)]
pub(crate) struct RequestStream {
    stream: TcpStream,
    connection: Arc<Connection>,
    /// Reads since the task last waited.
    reads: u32,
}

impl RequestStream {
    pub(crate) fn new(stream: TcpStream, connection: Arc<Connection>) -> Self {
        Self {
            stream,
            connection,
            reads: 0,
        }
    }
}

impl Clone for RequestStream {
    fn clone(&self) -> Self {
        self.connection.expect_request();
        Self::new(self.stream.clone(), Arc::clone(&self.connection))
    }
}

impl AsyncRead for RequestStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.connection.check()?;
        if self.reads >= READS_AT_ONCE {
            self.reads = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let Poll::Ready(read) = Pin::new(&mut self.stream).poll_read(cx, buffer) else {
            self.reads = 0;
            return Poll::Pending;
        };
        let count = read?;
        self.reads += 1;
        self.connection.receive(&buffer[..count])?;
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for RequestStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        match &written {
            Poll::Ready(Ok(count)) => self.connection.write(Some(*count)),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.connection.write(None),
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
