//! Bodies of requests as they are kept between attempts.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use futures_lite::AsyncRead;
use futures_lite::io::BufReader;
use primrosebay_transport::minion::Payload as Sent;
use tide::http::Body;

/// The body of a request.
#[derive(Debug)]
pub(super) enum Payload {
    /// A body in memory, for any number of attempts.
    Whole(Arc<[u8]>),
    /// A body of known length that the caller is still sending.
    Stream(Source, u64),
}

impl Payload {
    /// Returns the body for one attempt.
    pub(super) fn send(&self) -> Sent {
        match self {
            Self::Whole(bytes) => Sent::Buffered(Arc::clone(bytes)),
            Self::Stream(source, length) => {
                let known = usize::try_from(*length).ok();
                let body = Body::from_reader(BufReader::new(source.clone()), known);
                Sent::Stream(body, *length)
            }
        }
    }

    /// Returns whether another attempt would send the whole body.
    pub(super) fn replayable(&self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Stream(source, _) => !source.touched.load(Ordering::Relaxed),
        }
    }
}

/// A caller's body that an attempt reads. An attempt that ends before it reads any of it leaves it
/// whole for the next one.
#[derive(Debug, Clone)]
pub(super) struct Source {
    body: Arc<Mutex<Body>>,
    touched: Arc<AtomicBool>,
}

impl Source {
    pub(super) fn new(body: Body) -> Self {
        Self {
            body: Arc::new(Mutex::new(body)),
            touched: Arc::default(),
        }
    }
}

impl AsyncRead for Source {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.touched.store(true, Ordering::Relaxed);
        let mut body = self.body.lock().unwrap_or_else(PoisonError::into_inner);
        Pin::new(&mut *body).poll_read(cx, buffer)
    }
}
