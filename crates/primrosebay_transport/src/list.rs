//! Client of the platform's instance list.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use http_types::Method;
use primrosebay_protocol::list::Instances;

use crate::http_client::{CallError, Client};

/// Provides the instance list.
pub trait InstanceList: Send + Sync {
    /// Fetches the list, which lags behind the actual state of the instances.
    ///
    /// # Errors
    /// Returns an error if the list service does not respond in time or refuses the call.
    fn fetch(&self) -> impl Future<Output = Result<Instances, CallError>> + Send;
}

/// Client of the list service over HTTP.
#[derive(Debug)]
pub struct HttpInstanceList {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl HttpInstanceList {
    /// Creates a client of the service at `address`. `timeout` bounds each call.
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
