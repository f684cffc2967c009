//! Client of the platform's log service.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use http_types::Method;
use primrosebay_protocol::log::{Append, Appended, Page};

use crate::http_client::{CallError, Client};

/// Appends to the streams of the log and reads them.
pub trait Log: Send + Sync {
    /// Appends the records of a batch to `stream` in one append.
    ///
    /// # Errors
    /// Returns [`CallError::Lost`] if no response arrived and the append may have taken effect.
    fn append(
        &self,
        stream: &str,
        batch: &Append,
    ) -> impl Future<Output = Result<Appended, CallError>> + Send;

    /// Reads the records of `stream` from offset `from` on, and waits up to `wait` for the first
    /// one.
    ///
    /// # Errors
    /// Returns an error if the log does not respond in time or refuses the read.
    fn read(
        &self,
        stream: &str,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, CallError>> + Send;
}

/// Client of the log service over HTTP.
#[derive(Debug)]
pub struct HttpLog {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl HttpLog {
    /// Creates a client of the service at `address`. `timeout` bounds each call; a read gets its
    /// wait in addition.
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
