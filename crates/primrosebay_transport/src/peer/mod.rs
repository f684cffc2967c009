//! Links between entry instances over `quinn` with mutual TLS.

mod backoff;
mod dev;
mod link;
mod net;
mod tls;

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::time::Duration;

use primrosebay_protocol::peer::{FrameError, Heartbeat, Request, Response};
use primrosebay_state::Name;
use primrosebay_state::id::Incarnation;

pub use backoff::Backoff;
pub use dev::DevAuthority;
pub use net::{Net, Traffic};
pub use tls::{Identity, IdentityFiles, TlsError};

/// Settings of the links of one entry instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of this instance, for which its certificate must be valid.
    pub name: Name,
    /// This process.
    pub incarnation: Incarnation,
    /// The local address; port 0 picks a free port.
    pub address: SocketAddr,
    /// Longest time for connecting, including the exchange of names.
    pub connect_timeout: Duration,
    /// Longest time for one request and its response.
    pub call_timeout: Duration,
    /// A connection without any packet for this long is closed. It is longer than the heartbeat
    /// interval of far peers.
    pub idle_timeout: Duration,
    /// Shortest and longest pause between two attempts to connect.
    pub backoff: (Duration, Duration),
    /// Most streams that a peer may have open.
    pub max_streams: u32,
    /// Most requests that wait for a response of one peer.
    pub max_calls: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: Name::from("entry"),
            incarnation: Incarnation::default(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            connect_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(15),
            backoff: (Duration::from_millis(100), Duration::from_secs(5)),
            max_streams: 64,
            max_calls: 256,
        }
    }
}

/// Receives what peers send.
pub trait Handler: Send + Sync + 'static {
    /// Takes a heartbeat. It must not block.
    fn heartbeat(&self, peer: &Name, heartbeat: Heartbeat);

    /// Answers a request.
    fn call<'a>(
        &'a self,
        peer: &'a Name,
        request: Request,
    ) -> Pin<Box<dyn Future<Output = Response> + Send + 'a>>;
}

/// A link that cannot be set up.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The local socket cannot be opened.
    #[error("the peer socket cannot be opened: {0}")]
    Socket(#[from] std::io::Error),
    /// The certificate, key or roots cannot be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The attempt cannot be started.
    #[error("the connection cannot be started: {0}")]
    Connect(#[from] quinn::ConnectError),
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Connection(#[from] quinn::ConnectionError),
    /// The attempt took too long.
    #[error("the connection was not set up in time")]
    Timeout,
    /// The peer's first frame is not valid.
    #[error("the peer did not introduce itself: {0}")]
    InvalidHello(String),
    /// The peer's certificate is for another instance.
    #[error("the certificate of the peer is not valid for the name {0}")]
    WrongName(Name),
}

/// A request without a response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// There is no connection to the peer; nothing was sent.
    #[error("there is no connection to the peer")]
    Disconnected,
    /// Too many requests wait for the peer; nothing was sent.
    #[error("too many requests wait for the peer")]
    Busy,
    /// The request cannot be encoded; nothing was sent.
    #[error("the request cannot be encoded: {0}")]
    Encode(FrameError),
    /// No stream was available in time; nothing was sent.
    #[error("the peer accepted no stream in time")]
    NoStream,
    /// The request was sent, and no valid response arrived.
    #[error("the response was lost: {0}")]
    Lost(String),
}

impl CallError {
    /// Returns whether the peer may have carried out the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Lost(_))
    }
}
