//! Stand-in for a minion, with fault injection for tests.

mod faults;
mod runs;
mod slots;

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use primrosebay_protocol::minion::{
    ATTEMPT_HEADER, BUSY_HEADER, LEAVING_HEADER, RAN_HEADER, RUN_PATH,
};
use tide::http::{Body, Error, Method, Request, Response, StatusCode};

pub use faults::Faults;
pub use runs::Runs;

use slots::Slots;

/// Path on which `PUT` sets the [`Faults`] and `GET` returns the [`Runs`].
pub const CONTROL_PATH: &str = "/control";
/// Interval at which a request checks whether the minion is still frozen.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// A response without a request, as a faulty server may send it after the expected one.
const STRAY_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray";

/// Capacity and speed of a minion.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Maximum number of open connections; requests on further connections are refused.
    pub connections: usize,
    /// Time that each request takes to run.
    pub service_time: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 8,
            connections: 64,
            service_time: Duration::ZERO,
        }
    }
}

/// A minion that accepts connections.
#[derive(Debug)]
pub struct Minion {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept_task: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    slots: Slots,
    faults: Mutex<Faults>,
    runs: Mutex<Runs>,
    connections: AtomicUsize,
    arrived: AtomicU64,
}

impl Minion {
    /// Binds `address` and serves requests on it. Port 0 selects a free port.
    ///
    /// # Errors
    /// Returns the I/O error if the address cannot be bound.
    pub async fn start(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            settings,
            slots: Slots::new(settings.slots),
            faults: Mutex::default(),
            runs: Mutex::default(),
            connections: AtomicUsize::new(0),
            arrived: AtomicU64::new(0),
        });
        let accept_task = task::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            accept_task,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// Returns the run counts of each attempt and each request.
    #[must_use]
    pub fn runs(&self) -> Runs {
        self.shared.runs().clone()
    }

    /// Returns the number of requests that arrived, including refused ones, except those on
    /// connections beyond [`Settings::connections`].
    #[must_use]
    pub fn arrived(&self) -> u64 {
        self.shared.arrived.load(Ordering::SeqCst)
    }

    /// Stops accepting connections. Connections that are already open are still served.
    pub async fn close(self) {
        self.accept_task.cancel().await;
    }
}

impl Shared {
    fn faults(&self) -> Faults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, faults: Faults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    fn runs(&self) -> std::sync::MutexGuard<'_, Runs> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether to drop the answer, and decrements [`Faults::drop_answers`].
    fn take_dropped_answer(&self) -> bool {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        let dropped = faults.drop_answers > 0;
        faults.drop_answers = faults.drop_answers.saturating_sub(1);
        dropped
    }

    fn response(&self, status: StatusCode, attempt: &str) -> Response {
        let mut response = Response::new(status);
        response.insert_header(ATTEMPT_HEADER, attempt);
        response.insert_header(BUSY_HEADER, self.slots.busy().to_string());
        if self.faults().leaving {
            response.insert_header(LEAVING_HEADER, "yes");
        }
        response
    }

    /// Returns the response to a request that is refused before it runs.
    fn refusal(&self, attempt: &str) -> Response {
        let mut response = self.response(StatusCode::ServiceUnavailable, attempt);
        response.insert_header(RAN_HEADER, "no");
        response
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        task::spawn(serve(stream, Arc::clone(&shared)));
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let over_limit =
        shared.connections.fetch_add(1, Ordering::SeqCst) >= shared.settings.connections;
    let mut server = async_h1::server::Server::new(stream.clone(), |request| {
        let shared = Arc::clone(&shared);
        async move { respond(request, &shared, over_limit).await }
    });
    while let Ok(async_h1::server::ConnectionStatus::KeepAlive) = server.accept_one().await {
        if shared.faults().stray {
            let _ = send_stray(&stream).await;
        }
    }
    shared.connections.fetch_sub(1, Ordering::SeqCst);
}

async fn respond(
    mut request: Request,
    shared: &Shared,
    over_limit: bool,
) -> Result<Response, Error> {
    match (request.method(), request.url().path()) {
        (Method::Post, RUN_PATH) if over_limit => {
            let mut response = shared.refusal(&attempt_id(&request));
            response.insert_header("connection", "close");
            Ok(response)
        }
        (Method::Post, RUN_PATH) => run(request, shared).await,
        (Method::Put, CONTROL_PATH) => {
            shared.set_faults(request.body_json().await?);
            Ok(Response::new(StatusCode::NoContent))
        }
        (Method::Get, CONTROL_PATH) => {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(Body::from_json(&*shared.runs())?);
            Ok(response)
        }
        _ => Ok(Response::new(StatusCode::NotFound)),
    }
}

async fn run(mut request: Request, shared: &Shared) -> Result<Response, Error> {
    shared.arrived.fetch_add(1, Ordering::SeqCst);
    let attempt = attempt_id(&request);
    let faults = shared.faults();
    if faults.refuse {
        return Ok(shared.refusal(&attempt));
    }
    let Some(slot) = shared.slots.acquire() else {
        return Ok(shared.refusal(&attempt));
    };
    let declared = request.len();
    let body = request.body_bytes().await?;
    if declared.is_some_and(|length| length != body.len()) {
        return Err(Error::from_str(StatusCode::BadRequest, "short body"));
    }
    if !shared.runs().record(&attempt, &body) {
        return Ok(shared.response(StatusCode::Conflict, &attempt));
    }
    let run_time = shared.settings.service_time + Duration::from_millis(faults.delay_ms);
    if !run_time.is_zero() {
        task::sleep(run_time).await;
    }
    while shared.faults().frozen {
        task::sleep(POLL_INTERVAL).await;
    }
    // Frees the slot before the answer is sent, so that the caller's next request finds it free.
    drop(slot);
    if shared.take_dropped_answer() {
        return Err(Error::from_str(StatusCode::BadGateway, "answer dropped"));
    }
    let status = if faults.fail {
        StatusCode::InternalServerError
    } else {
        StatusCode::Ok
    };
    let mut response = shared.response(status, &attempt);
    match StatusCode::try_from(faults.status) {
        Ok(status) => response.set_status(status),
        Err(_) => response.set_body(body),
    }
    Ok(response)
}

/// Returns the attempt ID of a request, or an empty string if it has none.
fn attempt_id(request: &Request) -> String {
    request
        .header(ATTEMPT_HEADER)
        .map(|values| values.last().to_string())
        .unwrap_or_default()
}

async fn send_stray(mut stream: &TcpStream) -> io::Result<()> {
    stream.write_all(STRAY_RESPONSE).await
}
