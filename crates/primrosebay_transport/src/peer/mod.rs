//! Links between entry instances: QUIC connections with mutual TLS, provided by `quinn`.

mod backoff;
mod dev_authority;
mod handshakes;
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
pub use dev_authority::DevAuthority;
pub use net::{Net, Traffic};
pub use tls::{Identity, IdentityFiles, TlsError};

/// Settings of the links of an entry instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of this instance, for which its certificate must be valid.
    pub name: Name,
    /// Identifies this process among the restarts of the instance.
    pub incarnation: Incarnation,
    /// The local address. Port 0 picks a free port.
    pub address: SocketAddr,
    /// Timeout for setting up a connection, including the hello messages, and for closing all
    /// connections.
    pub connect_timeout: Duration,
    /// Timeout for opening a stream, for a request and its response on the stream, and for
    /// responding to a request of a peer.
    pub call_timeout: Duration,
    /// A connection without any packet for this long is closed. It must be longer than the
    /// heartbeat interval of peers in other regions.
    pub idle_timeout: Duration,
    /// Shortest and longest interval between two connection attempts, before jitter.
    pub backoff: (Duration, Duration),
    /// Maximum number of streams that a peer may have open.
    pub max_streams: u32,
    /// Maximum number of requests in flight to one peer.
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

/// Handles the heartbeats and requests of peers.
pub trait Handler: Send + Sync + 'static {
    /// Handles a heartbeat. It must not block.
    fn heartbeat(&self, peer: &Name, heartbeat: Heartbeat);

    /// Handles a request and returns the response.
    fn call<'a>(
        &'a self,
        peer: &'a Name,
        request: Request,
    ) -> Pin<Box<dyn Future<Output = Response> + Send + 'a>>;
}

/// Why a link cannot be set up.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The local socket cannot be opened.
    #[error("the peer socket cannot be opened: {0}")]
    Socket(#[from] std::io::Error),
    /// The certificate, key or roots cannot be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The connection attempt cannot be started.
    #[error("the connection attempt cannot be started: {0}")]
    Connect(#[from] quinn::ConnectError),
    /// The connection failed during the handshake or the exchange of hellos.
    #[error("the connection failed: {0}")]
    Connection(#[from] quinn::ConnectionError),
    /// The connection was not set up within its timeout.
    #[error("the connection was not set up in time")]
    Timeout,
    /// The connection was not set up before it had to give way to others.
    #[error("the connection gave way to others while it was set up")]
    Surplus,
    /// The peer did not send a valid hello.
    #[error("the peer sent no valid hello: {0}")]
    InvalidHello(String),
    /// The name in the peer's hello is not the expected one, or the peer's certificate is not valid
    /// for it.
    #[error("the peer's name {0} does not match its certificate or the expected name")]
    WrongName(Name),
}

/// Why a request has no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// There is no connection to the peer; nothing was sent.
    #[error("there is no connection to the peer")]
    Disconnected,
    /// Too many requests to the peer are in flight; nothing was sent.
    #[error("too many requests to the peer are in flight")]
    Busy,
    /// The request cannot be encoded; nothing was sent.
    #[error("the request cannot be encoded: {0}")]
    Encode(FrameError),
    /// The peer allowed no further stream in time; nothing was sent.
    #[error("the peer allowed no further stream in time")]
    NoStream,
    /// At least part of the request may have been sent, and no valid response arrived.
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
