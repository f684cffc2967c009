//! A stand-in for a minion, with faults that a test switches on.

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

/// The path that sets faults and returns the counts.
pub const CONTROL_PATH: &str = "/control";
/// How often a frozen minion looks whether it may go on.
const POLL: Duration = Duration::from_millis(2);
/// An answer to nobody, as a broken server sends it after the right one.
const STRAY: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray";

/// Size and speed of a minion.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Most open connections.
    pub connections: usize,
    /// Time that each request takes.
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

/// A running minion.
#[derive(Debug)]
pub struct Minion {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    slots: Slots,
    faults: Mutex<Faults>,
    runs: Mutex<Runs>,
    open: AtomicUsize,
    arrived: AtomicU64,
}

impl Minion {
    /// Binds `address` and serves requests on it. Port 0 takes a free port.
    ///
    /// # Errors
    /// Returns the error of binding the address.
    pub async fn start(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            settings,
            slots: Slots::new(settings.slots),
            faults: Mutex::default(),
            runs: Mutex::default(),
            open: AtomicUsize::new(0),
            arrived: AtomicU64::new(0),
        });
        let accepting = task::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            accepting,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switches faults on and off.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// Returns how often each attempt and each request ran.
    #[must_use]
    pub fn runs(&self) -> Runs {
        self.shared.runs().clone()
    }

    /// Returns how many requests arrived, including those that were refused.
    #[must_use]
    pub fn arrived(&self) -> u64 {
        self.shared.arrived.load(Ordering::SeqCst)
    }

    /// Stops accepting connections.
    pub async fn close(self) {
        self.accepting.cancel().await;
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

    fn take_drop(&self) -> bool {
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
    let full = shared.open.fetch_add(1, Ordering::SeqCst) >= shared.settings.connections;
    let mut server = async_h1::server::Server::new(stream.clone(), |request| {
        let shared = Arc::clone(&shared);
        async move { respond(request, &shared, full).await }
    });
    while let Ok(async_h1::server::ConnectionStatus::KeepAlive) = server.accept_one().await {
        if shared.faults().stray {
            let _ = send_stray(&stream).await;
        }
    }
    shared.open.fetch_sub(1, Ordering::SeqCst);
}

async fn respond(mut request: Request, shared: &Shared, full: bool) -> Result<Response, Error> {
    match (request.method(), request.url().path()) {
        (Method::Post, RUN_PATH) if full => {
            let mut response = shared.refusal(&attempt(&request));
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
    let attempt = attempt(&request);
    let faults = shared.faults();
    if faults.refuse {
        return Ok(shared.refusal(&attempt));
    }
    let Some(slot) = shared.slots.take() else {
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
    let time = shared.settings.service_time + Duration::from_millis(faults.delay_ms);
    if !time.is_zero() {
        task::sleep(time).await;
    }
    while shared.faults().frozen {
        task::sleep(POLL).await;
    }
    // The slot is free before the caller knows, so that its next request finds room.
    drop(slot);
    if shared.take_drop() {
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

fn attempt(request: &Request) -> String {
    request
        .header(ATTEMPT_HEADER)
        .map(|values| values.last().to_string())
        .unwrap_or_default()
}

async fn send_stray(mut stream: &TcpStream) -> io::Result<()> {
    stream.write_all(STRAY).await
}
