//! An HTTP/1.1 client with a connection pool, for short calls to the platform and to workers.

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use async_std::net::TcpStream;
use futures_lite::{AsyncReadExt, FutureExt, future};
use http_types::{Body, Method, Request, Response, StatusCode, Url};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum number of idle connections that are kept for each address.
const MAX_IDLE: usize = 8;

/// Maximum size of the body of a response, in bytes. The largest regular one is a page of records
/// of 1 MB, which base64 makes a third larger; 16 MiB leaves a factor of ten.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Why a call got no usable response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing was sent, so the call had no effect: there was no connection, or the URL or a header
    /// is invalid.
    #[error("cannot connect to {address}: {reason}")]
    NotSent {
        /// The address of the server.
        address: SocketAddr,
        /// The error of the connection attempt.
        reason: String,
    },
    /// The complete response did not arrive; the call may have taken effect.
    #[error("no response from {address}: {reason}")]
    Lost {
        /// The address of the server.
        address: SocketAddr,
        /// The error of the connection.
        reason: String,
    },
    /// The server responded with an error status.
    #[error("status {status} from {address}")]
    Status {
        /// The address of the server.
        address: SocketAddr,
        /// The HTTP status, outside of 200 to 299.
        status: u16,
        /// The body of the response.
        body: Vec<u8>,
    },
    /// The body of the response could not be decoded as the expected type.
    #[error("malformed response from {address}: {reason}")]
    Malformed {
        /// The address of the server.
        address: SocketAddr,
        /// The error of the decoder.
        reason: String,
    },
}

/// An HTTP client that keeps connections open between calls.
#[derive(Debug, Default)]
pub struct Client {
    /// The idle connections by address, sorted.
    idle: Mutex<Vec<(SocketAddr, Vec<TcpStream>)>>,
}

impl Client {
    /// Creates a client without open connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends `body` as JSON, or no body for `None`, and decodes the JSON response.
    ///
    /// # Errors
    /// Returns a [`CallError`], whose variant tells whether the call may have taken effect.
    pub async fn json<B: Serialize + Sync, T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&B>,
        timeout: Duration,
    ) -> Result<T, CallError> {
        let body = body.map(|b| serde_json::to_vec(b).unwrap_or_default());
        let (status, bytes) = self
            .bytes(address, method, path, &[], body, timeout)
            .await?;
        if !status.is_success() {
            return Err(CallError::Status {
                address,
                status: status.into(),
                body: bytes,
            });
        }
        serde_json::from_slice(&bytes).map_err(|e| CallError::Malformed {
            address,
            reason: e.to_string(),
        })
    }

    /// Sends a request and returns the status and the complete body of the response.
    ///
    /// # Errors
    /// Returns [`CallError::NotSent`] if no connection could be made or a header has characters
    /// other than printable ASCII, and [`CallError::Lost`] if the complete response did not arrive
    /// within `timeout`, was malformed or too large, or the connection broke.
    pub async fn bytes(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<(StatusCode, Vec<u8>), CallError> {
        let mut request = request(address, method, path)?;
        for (name, value) in headers {
            if !is_header_value(value) {
                return Err(CallError::NotSent {
                    address,
                    reason: format!("the value of the header {name} is not printable ASCII"),
                });
            }
            request.insert_header(*name, *value);
        }
        if let Some(body) = body {
            request.set_body(Body::from_bytes(body));
            request.insert_header("content-type", "application/json");
        }
        let stream = self.connection(address, timeout).await?;
        let lost = |reason: String| CallError::Lost { address, reason };
        // The connection returns to the pool only after a complete response. After a timeout it
        // could deliver the late response to a later call.
        let exchange = async {
            let mut response = async_h1::connect(stream.clone(), request).await?;
            let bytes = read_body(&mut response).await?;
            Ok::<_, http_types::Error>((response, bytes))
        };
        // The HTTP library panics on some responses, such as one with a header that is not ASCII.
        let exchange = AssertUnwindSafe(exchange).catch_unwind();
        let (response, bytes) = async_std::future::timeout(timeout, exchange)
            .await
            .map_err(|_| lost("timed out".into()))?
            .map_err(|_| lost("malformed response".into()))?
            .map_err(|e| lost(e.to_string()))?;
        if response
            .header("connection")
            .is_none_or(|v| !v.as_str().eq_ignore_ascii_case("close"))
        {
            self.put_idle(address, stream);
        }
        Ok((response.status(), bytes))
    }

    /// Returns an idle connection to `address`, or opens one within `timeout`.
    async fn connection(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<TcpStream, CallError> {
        while let Some(stream) = self.take_idle(address) {
            if is_open(&stream).await {
                return Ok(stream);
            }
        }
        let not_sent = |reason: String| CallError::NotSent { address, reason };
        let stream = async_std::future::timeout(timeout, TcpStream::connect(address))
            .await
            .map_err(|_| not_sent("timed out".into()))?
            .map_err(|e| not_sent(e.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|e| not_sent(e.to_string()))?;
        Ok(stream)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let i = idle.binary_search_by_key(&address, |entry| entry.0).ok()?;
        idle[i].1.pop()
    }

    /// Keeps a connection for a later call, unless [`MAX_IDLE`] connections to `address` are kept.
    fn put_idle(&self, address: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let i = match idle.binary_search_by_key(&address, |entry| entry.0) {
            Ok(i) => i,
            Err(i) => {
                idle.insert(i, (address, Vec::new()));
                i
            }
        };
        if idle[i].1.len() < MAX_IDLE {
            idle[i].1.push(stream);
        }
    }
}

fn request(address: SocketAddr, method: Method, path: &str) -> Result<Request, CallError> {
    let url = Url::parse(&format!("http://{address}{path}")).map_err(|e| CallError::NotSent {
        address,
        reason: e.to_string(),
    })?;
    Ok(Request::new(method, url))
}

/// Returns whether a header may have this value: printable ASCII, so that the value neither ends the
/// line nor makes the HTTP library panic.
fn is_header_value(value: &str) -> bool {
    value.bytes().all(|b| b == b' ' || b.is_ascii_graphic())
}

/// Reads the body of a response of up to [`MAX_RESPONSE_BYTES`].
async fn read_body(response: &mut Response) -> http_types::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let limit = MAX_RESPONSE_BYTES as u64;
    let mut body = response.take_body().take(limit + 1);
    body.read_to_end(&mut bytes).await?;
    http_types::ensure!(
        bytes.len() <= MAX_RESPONSE_BYTES,
        "the response is larger than {} bytes",
        MAX_RESPONSE_BYTES
    );
    Ok(bytes)
}

/// Returns whether an idle connection is open and has no unread bytes, which belong to no request.
async fn is_open(stream: &TcpStream) -> bool {
    let mut buffer = [0; 1];
    future::poll_once(stream.peek(&mut buffer)).await.is_none()
}
