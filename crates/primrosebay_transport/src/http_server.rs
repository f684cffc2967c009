//! Accepts HTTP/1.1 connections for a `tide` application.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use futures_lite::io::{AsyncRead, BufReader};
use http_types::{Body, Request, Response, StatusCode};

use crate::head_timeout::HeadTimeout;

/// Bounds of a server.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Most open connections; further ones are closed at once.
    pub connections: usize,
    /// Time that requests in flight get at a planned stop.
    pub grace: Duration,
    /// Time in which the head of a request must arrive after its first byte.
    pub head_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            grace: Duration::from_secs(10),
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_mins(1),
        }
    }
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    limits: Limits,
    shared: Arc<Shared>,
    accepting: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Shared {
    stopping: AtomicBool,
    connections: AtomicUsize,
    requests: AtomicUsize,
}

impl Server {
    /// Binds `address` and serves `app` on it. Port 0 takes a free port.
    ///
    /// # Errors
    /// Returns the error of binding the address.
    pub async fn start<S: Clone + Send + Sync + 'static>(
        address: SocketAddr,
        app: tide::Server<S>,
        limits: Limits,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let accepting = task::spawn(accept(listener, app, limits, Arc::clone(&shared)));
        Ok(Self {
            address,
            limits,
            shared,
            accepting,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks callers to leave: answers from now on close their connections. New connections are
    /// still accepted, since a load balancer needs time to notice.
    pub fn drain(&self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
    }

    /// Stops accepting, lets requests in flight finish within the grace period and closes.
    pub async fn close(self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        self.accepting.cancel().await;
        let step = Duration::from_millis(10);
        let mut left = self.limits.grace;
        while self.shared.requests.load(Ordering::SeqCst) > 0 && !left.is_zero() {
            task::sleep(step).await;
            left = left.saturating_sub(step);
        }
    }
}

async fn accept<S: Clone + Send + Sync + 'static>(
    listener: TcpListener,
    app: tide::Server<S>,
    limits: Limits,
    shared: Arc<Shared>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("http: cannot accept a connection: {e}");
                // Accepting fails at once while file descriptors are short, so the loop pauses.
                task::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        if shared.connections.fetch_add(1, Ordering::SeqCst) >= limits.connections {
            shared.connections.fetch_sub(1, Ordering::SeqCst);
            continue;
        }
        task::spawn(serve(stream, app.clone(), limits, Arc::clone(&shared)));
    }
}

async fn serve<S: Clone + Send + Sync + 'static>(
    stream: TcpStream,
    app: tide::Server<S>,
    limits: Limits,
    shared: Arc<Shared>,
) {
    let peer = stream.peer_addr().ok();
    // Without this option small answers can wait 40 ms for a delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let busy = Arc::new(AtomicBool::new(false));
    let stream = HeadTimeout::new(
        stream,
        limits.head_timeout,
        limits.idle_timeout,
        Arc::clone(&busy),
    );
    let answer = |request: Request| {
        let (app, shared, busy) = (app.clone(), Arc::clone(&shared), Arc::clone(&busy));
        async move {
            busy.store(true, Ordering::SeqCst);
            let response = respond(request, peer, app, shared).await;
            busy.store(false, Ordering::SeqCst);
            response
        }
    };
    if let Err(e) = async_h1::accept(stream, answer).await {
        log::debug!("http: connection closed: {e}");
    }
    shared.connections.fetch_sub(1, Ordering::SeqCst);
}

async fn respond<S: Clone + Send + Sync + 'static>(
    mut request: Request,
    peer: Option<SocketAddr>,
    app: tide::Server<S>,
    shared: Arc<Shared>,
) -> http_types::Result<Response> {
    request.set_peer_addr(peer);
    let read = track_body(&mut request);
    shared.requests.fetch_add(1, Ordering::SeqCst);
    let answer = app.respond::<_, Response>(request).await;
    shared.requests.fetch_sub(1, Ordering::SeqCst);
    let mut response = answer.unwrap_or_else(|_| Response::new(StatusCode::InternalServerError));
    // The decoder may throw away the beginning of the next request together with the rest of a body
    // that nobody has read, so the connection is not used again.
    let unread = read.is_some_and(|read| !read.load(Ordering::SeqCst));
    if unread || shared.stopping.load(Ordering::SeqCst) {
        response.insert_header("connection", "close");
    }
    Ok(response)
}

/// Makes the returned flag tell whether the body was read to its end; nothing if there is no body.
fn track_body(request: &mut Request) -> Option<Arc<AtomicBool>> {
    let length = request.len();
    let chunked = request.header("transfer-encoding").is_some();
    if length == Some(0) || length.is_none() && !chunked {
        return None;
    }
    let read = Arc::new(AtomicBool::new(false));
    let body = request.take_body();
    let kind = body.mime().clone();
    let tracked = Tracked {
        left: length.map(|bytes| bytes as u64),
        body,
        read: Arc::clone(&read),
    };
    let mut body = Body::from_reader(BufReader::new(tracked), length);
    body.set_mime(kind);
    request.set_body(body);
    Some(read)
}

/// A body that notes its end.
struct Tracked {
    body: Body,
    left: Option<u64>,
    read: Arc<AtomicBool>,
}

impl AsyncRead for Tracked {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.body).poll_read(context, buffer))?;
        self.left = self.left.map(|left| left.saturating_sub(count as u64));
        if count == 0 && !buffer.is_empty() || self.left == Some(0) {
            self.read.store(true, Ordering::SeqCst);
        }
        Poll::Ready(Ok(count))
    }
}
