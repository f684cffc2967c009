//! Exchanges with workers.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use http_types::Method;
use primrosebay_protocol::worker::{Reply, Request};

use crate::http_client::{CallError, Client};

/// Access to workers.
pub trait WorkerLink: Send + Sync {
    /// Sends a request to the worker at `address`.
    ///
    /// # Errors
    /// Returns [`CallError::Lost`] when the worker may have carried out the request.
    fn exchange(
        &self,
        address: SocketAddr,
        request: &Request,
    ) -> impl Future<Output = Result<Reply, CallError>> + Send;
}

/// Workers over HTTP.
#[derive(Debug)]
pub struct HttpWorkers {
    client: Client,
    timeout: Duration,
}

impl HttpWorkers {
    /// Creates an adapter with a time-out for each exchange.
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
