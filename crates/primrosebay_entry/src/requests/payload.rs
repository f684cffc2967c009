//! Request bodies that can be sent in more than one attempt.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use futures_lite::AsyncRead;
use futures_lite::io::BufReader;
use primrosebay_transport::minion::Payload as TransportPayload;
use tide::http::Body;

/// The body of a request.
#[derive(Debug)]
pub(super) enum Payload {
    /// A body in memory, which any number of attempts can send.
    Whole(Arc<[u8]>),
    /// A body that the caller is still sending, with its declared length in bytes.
    Stream(BodyReader, u64),
}

impl Payload {
    /// Returns the body in the form that the transport sends in one attempt.
    pub(super) fn for_attempt(&self) -> TransportPayload {
        match self {
            Self::Whole(bytes) => TransportPayload::Buffered(Arc::clone(bytes)),
            Self::Stream(reader, length) => {
                let body_length = usize::try_from(*length).ok();
                let body = Body::from_reader(BufReader::new(reader.clone()), body_length);
                TransportPayload::Stream(body, *length)
            }
        }
    }

    /// Returns whether another attempt can still send the whole body.
    pub(super) fn replayable(&self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Stream(reader, _) => !reader.read_started.load(Ordering::Relaxed),
        }
    }
}

/// Reads a caller's body during an attempt. Clones share the body, so an attempt that fails before
/// its first read leaves the whole body to the next attempt.
#[derive(Debug, Clone)]
pub(super) struct BodyReader {
    body: Arc<Mutex<Body>>,
    /// Whether an attempt has read any of the body.
    read_started: Arc<AtomicBool>,
}

impl BodyReader {
    pub(super) fn new(body: Body) -> Self {
        Self {
            body: Arc::new(Mutex::new(body)),
            read_started: Arc::default(),
        }
    }
}

impl AsyncRead for BodyReader {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.read_started.store(true, Ordering::Relaxed);
        let mut body = self.body.lock().unwrap_or_else(PoisonError::into_inner);
        Pin::new(&mut *body).poll_read(cx, buffer)
    }
}
