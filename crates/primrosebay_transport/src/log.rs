//! The platform's log service.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use http_types::Method;
use primrosebay_protocol::log::{Append, Appended, Page};

use crate::http_client::{CallError, Client};

/// Access to the log's streams.
pub trait Log: Send + Sync {
    /// Appends a batch as one append.
    ///
    /// # Errors
    /// Returns [`CallError::Lost`] when the append may have taken effect.
    fn append(
        &self,
        stream: &str,
        batch: &Append,
    ) -> impl Future<Output = Result<Appended, CallError>> + Send;

    /// Reads records from offset `from` on. Waits up to `wait` for the first one.
    ///
    /// # Errors
    /// Returns an error when the log cannot be reached in time.
    fn read(
        &self,
        stream: &str,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, CallError>> + Send;
}

/// The log service over HTTP.
#[derive(Debug)]
pub struct HttpLog {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl HttpLog {
    /// Creates an adapter for the service at `address` with a time-out for each call.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: Client::new(),
            address,
            timeout,
        }
    }
}

impl Log for HttpLog {
    async fn append(&self, stream: &str, batch: &Append) -> Result<Appended, CallError> {
        let path = format!("/streams/{stream}/records");
        self.client
            .json(self.address, Method::Post, &path, Some(batch), self.timeout)
            .await
    }

    async fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<Page, CallError> {
        let wait_ms = wait.as_millis();
        let path = format!("/streams/{stream}/records?from={from}&wait_ms={wait_ms}");
        let timeout = self.timeout + wait;
        self.client
            .json(self.address, Method::Get, &path, None::<&()>, timeout)
            .await
    }
}
