//! The platform's list of instances.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use http_types::Method;
use primrosebay_protocol::list::Instances;

use crate::http_client::{CallError, Client};

/// Access to the list of instances.
pub trait InstanceList: Send + Sync {
    /// Fetches the list, which lags behind the instances.
    ///
    /// # Errors
    /// Returns an error when the service cannot be reached in time.
    fn fetch(&self) -> impl Future<Output = Result<Instances, CallError>> + Send;
}

/// The list service over HTTP.
#[derive(Debug)]
pub struct HttpInstanceList {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl HttpInstanceList {
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

impl InstanceList for HttpInstanceList {
    async fn fetch(&self) -> Result<Instances, CallError> {
        self.client
            .json(
                self.address,
                Method::Get,
                "/instances",
                None::<&()>,
                self.timeout,
            )
            .await
    }
}
