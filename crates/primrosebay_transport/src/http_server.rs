//! An HTTP/1.1 server for `tide` applications.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use futures_lite::io::AsyncWriteExt;
use http_types::{Method, Request, Response, StatusCode};

use crate::budget::{Budget, Cause};
use crate::connection::{Connection, Phase};
use crate::request_body::track_body;
use crate::request_stream::RequestStream;
use crate::slots::{Slot, Slots};
use crate::watched::watched;

/// Time after which a client may retry that was refused for lack of memory, in seconds. Given-up
/// requests are released within milliseconds.
const RETRY_AFTER_S: u64 = 1;

/// Time for writing the refusal of a head.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a head with the empty lines before it, in bytes. `async-h1` rejects longer ones as
/// well, but only at the end of a line.
pub const MAX_HEAD: usize = 8_191;

/// Connection limit and timeouts of a server.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of open connections. A further one takes the place of the one whose client has
    /// made no progress for the longest time.
    pub connections: usize,
    /// Maximum size of the head of a request in bytes, at most [`MAX_HEAD`].
    pub head_bytes: usize,
    /// Time that requests in flight get to finish when the server is closed.
    pub grace: Duration,
    /// Time within which the head of a request must arrive after its first byte.
    pub head_timeout: Duration,
    /// Time within which the body of a request must arrive after its head.
    pub body_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
    /// Time after which a connection is closed whose client takes no byte of its answer.
    pub write_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            head_bytes: MAX_HEAD,
            grace: Duration::from_secs(10),
            // Callers have deadlines of about 3 s, and their links are cut for a few seconds.
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_mins(1),
            // Links are cut for some seconds, and callers with a deadline of 3 s have left by then.
            write_timeout: Duration::from_secs(30),
        }
    }
}

/// A running HTTP server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    limits: Limits,
    shared: Arc<Shared>,
    accept_task: JoinHandle<()>,
}

/// State that the server shares with the tasks of its connections.
#[derive(Debug)]
struct Shared {
    /// Whether each response asks the client to close the connection.
    draining: AtomicBool,
    /// The open connections.
    slots: Arc<Slots>,
    /// Number of requests in flight: received, and not yet answered in full.
    requests: AtomicUsize,
    /// Bytes of unfinished requests.
    budget: Arc<Budget>,
}

impl Server {
    /// Binds `address` and serves `app` on it with a budget of its own. Port 0 picks a free port.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub async fn start<S: Clone + Send + Sync + 'static>(
        address: SocketAddr,
        app: tide::Server<S>,
        limits: Limits,
    ) -> io::Result<Self> {
        Self::start_with_budget(address, app, limits, Arc::default()).await
    }

    /// Binds `address` and serves `app` on it. The unfinished requests of all servers of a process
    /// share `budget`.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub async fn start_with_budget<S: Clone + Send + Sync + 'static>(
        address: SocketAddr,
        app: tide::Server<S>,
        limits: Limits,
        budget: Arc<Budget>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            draining: AtomicBool::new(false),
            slots: Arc::new(Slots::new(limits.connections)),
            requests: AtomicUsize::new(0),
            budget,
        });
        let accept_task = task::spawn(accept(listener, app, limits, Arc::clone(&shared)));
        Ok(Self {
            address,
            limits,
            shared,
            accept_task,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes each further response close its connection. New connections are still accepted, since
    /// a load balancer needs time to notice that the server is about to stop.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::SeqCst);
    }

    /// Stops accepting connections and waits for the requests in flight, at most for the grace
    /// period.
    pub async fn close(self) {
        self.shared.draining.store(true, Ordering::SeqCst);
        self.accept_task.cancel().await;
        let poll_interval = Duration::from_millis(10);
        let mut remaining = self.limits.grace;
        while self.shared.requests.load(Ordering::SeqCst) > 0 && !remaining.is_zero() {
            task::sleep(poll_interval).await;
            remaining = remaining.saturating_sub(poll_interval);
        }
    }
}

/// Accepts connections and serves each in its own task.
async fn accept<S: Clone + Send + Sync + 'static>(
    listener: TcpListener,
    app: tide::Server<S>,
    limits: Limits,
    shared: Arc<Shared>,
) {
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("http: cannot accept a connection: {e}");
                // Without a free file descriptor `accept` fails immediately, so the loop pauses.
                task::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Some(slot) = shared.slots.take(Instant::now()) else {
            shared.budget.record(Cause::Connections, &peer);
            continue;
        };
        task::spawn(serve(
            stream,
            app.clone(),
            limits,
            Arc::clone(&shared),
            slot,
        ));
    }
}

/// Serves the requests of one connection.
async fn serve<S: Clone + Send + Sync + 'static>(
    stream: TcpStream,
    app: tide::Server<S>,
    limits: Limits,
    shared: Arc<Shared>,
    slot: Slot,
) {
    let peer = stream.peer_addr().ok();
    // Otherwise Nagle's algorithm can hold back a small response for 40 ms, until a delayed
    // acknowledgement arrives.
    let _ = stream.set_nodelay(true);
    let budget = Arc::clone(&shared.budget);
    let connection = Arc::new(Connection::new(limits, budget, peer, slot));
    connection.expect_request();
    if !matches!(watched(first_byte(&stream), &connection).await, Ok(true)) {
        return;
    }
    let requests = RequestStream::new(stream.clone(), Arc::clone(&connection));
    let handler = |request: Request| {
        let (app, shared, connection) = (app.clone(), Arc::clone(&shared), Arc::clone(&connection));
        async move { respond(request, peer, app, shared, connection).await }
    };
    // Boxed, since the decoder and its buffers would otherwise take up memory for each connection
    // that has sent nothing.
    let requests = Box::pin(watched(async_h1::accept(requests, handler), &connection));
    if let Err(e) = requests.await {
        log::debug!("http: connection closed: {e}");
        refuse_head(stream, &connection).await;
    }
}

/// Waits for the first byte. Returns whether there is one.
async fn first_byte(stream: &TcpStream) -> io::Result<bool> {
    Ok(stream.peek(&mut [0]).await? > 0)
}

/// Answers a request whose head was rejected. A late head gets no answer, as a connection without a
/// request gets none.
async fn refuse_head(mut stream: TcpStream, connection: &Connection) {
    let cause = connection.failure();
    if connection.phase() != Phase::Head || cause == Some(Cause::HeadTime) {
        return;
    }
    let status = cause.map_or(StatusCode::BadRequest, Cause::status);
    let reason = status.canonical_reason();
    let retry = if status == StatusCode::ServiceUnavailable {
        format!("retry-after: {RETRY_AFTER_S}\r\n")
    } else {
        String::new()
    };
    let status = u16::from(status);
    let text = format!(
        "HTTP/1.1 {status} {reason}\r\nconnection: close\r\n{retry}content-length: 0\r\n\r\n"
    );
    // The text fits into the buffer of the socket, unless the client does not read.
    let write = stream.write_all(text.as_bytes());
    let _ = async_std::future::timeout(REFUSAL_TIMEOUT, write).await;
}

/// Passes a request to the application and returns its response.
async fn respond<S: Clone + Send + Sync + 'static>(
    mut request: Request,
    peer: Option<SocketAddr>,
    app: tide::Server<S>,
    shared: Arc<Shared>,
    connection: Arc<Connection>,
) -> http_types::Result<Response> {
    request.set_peer_addr(peer);
    let is_safe = matches!(request.method(), Method::Get | Method::Head);
    let body_read = track_body(&mut request, &connection);
    connection.begin(body_read.is_some())?;
    if let Some(charge) = connection.charge() {
        request.ext_mut().insert(charge);
    }
    let in_flight = InFlight::new(Arc::clone(&shared));
    let result = app.respond::<_, Response>(request).await;
    let mut response = result.unwrap_or_else(|_| Response::new(StatusCode::InternalServerError));
    if let Some(cause) = connection.failure() {
        refuse_body(&mut response, cause);
    }
    if let Err(cause) = connection.hold_answer(response.len().unwrap_or(0)) {
        if !is_safe {
            // The request has had its effect, so that no refusal would be true.
            return Err(http_types::Error::new(cause.status(), cause));
        }
        response = Response::new(cause.status());
        response.insert_header("retry-after", RETRY_AFTER_S.to_string());
    }
    // If the application has not read the whole body, the decoder may discard the start of the next
    // request together with the rest of the body, so the connection is closed.
    let unread = body_read.is_some_and(|read| !read.load(Ordering::SeqCst));
    connection.answer(!unread);
    if unread || shared.draining.load(Ordering::SeqCst) {
        response.insert_header("connection", "close");
    }
    // The encoder drops the response once it is written or the connection has failed.
    response.ext_mut().insert(in_flight);
    Ok(response)
}

/// Replaces the response of an application that has only passed on the error of the body. Others have
/// answered by themselves: they know whether the request has had an effect.
fn refuse_body(response: &mut Response, cause: Cause) {
    let passed_on = [
        StatusCode::UnprocessableEntity,
        StatusCode::InternalServerError,
    ];
    if passed_on.contains(&response.status()) {
        *response = Response::new(cause.status());
    }
    let is_refused = response.status() == StatusCode::ServiceUnavailable;
    if is_refused && response.header("retry-after").is_none() {
        response.insert_header("retry-after", RETRY_AFTER_S.to_string());
    }
}

/// A request that counts as in flight until this is dropped.
#[derive(Debug)]
struct InFlight {
    shared: Arc<Shared>,
}

impl InFlight {
    fn new(shared: Arc<Shared>) -> Self {
        shared.requests.fetch_add(1, Ordering::SeqCst);
        Self { shared }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.requests.fetch_sub(1, Ordering::SeqCst);
    }
}
