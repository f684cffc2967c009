//! Requests to workers.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use http_types::Method;
use primrosebay_protocol::worker::{Reply, Request};

use crate::http_client::{CallError, Client};

/// Sends requests to workers.
pub trait WorkerLink: Send + Sync {
    /// Sends a request to the worker at `address` and returns its reply.
    ///
    /// # Errors
    /// Returns [`CallError::Lost`] if no reply arrived and the worker may have carried out the
    /// request.
    fn exchange(
        &self,
        address: SocketAddr,
        request: &Request,
    ) -> impl Future<Output = Result<Reply, CallError>> + Send;
}

/// Sends requests to workers over HTTP.
#[derive(Debug)]
pub struct HttpWorkers {
    client: Client,
    timeout: Duration,
}

impl HttpWorkers {
    /// Creates a client without open connections. `timeout` bounds each exchange.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self {
            client: Client::new(),
            timeout,
        }
    }
}

impl WorkerLink for HttpWorkers {
    async fn exchange(&self, address: SocketAddr, request: &Request) -> Result<Reply, CallError> {
        self.client
            .json(
                address,
                Method::Post,
                "/exchange",
                Some(request),
                self.timeout,
            )
            .await
    }
}
