//! Calls the API of an entry instance.

use std::net::SocketAddr;
use std::time::Duration;

use clap::ArgMatches;
use eyre::{WrapErr, eyre};
use http_types::Method;
use primrosebay_protocol::api::Failure;
use primrosebay_state::config::{Resource, Stored};
use primrosebay_transport::http_client;
use serde::de::DeserializeOwned;

/// Time-out of a call.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A client of the API.
#[derive(Debug)]
pub struct Client {
    http: http_client::Client,
    address: SocketAddr,
    authorization: Option<String>,
}

impl Client {
    /// Creates a client from the global arguments.
    pub fn new(matches: &ArgMatches) -> eyre::Result<Self> {
        let address = matches
            .get_one::<String>("server")
            .ok_or_else(|| eyre!("no server"))?;
        Ok(Self {
            http: http_client::Client::new(),
            address: address
                .parse()
                .wrap_err_with(|| format!("{address} is not an IP address with a port"))?,
            authorization: matches
                .get_one::<String>("key")
                .map(|key| format!("Bearer {key}")),
        })
    }

    /// Creates a client of the instance at `address` with `key`.
    pub fn with_key(address: SocketAddr, key: &str) -> Self {
        Self {
            http: http_client::Client::new(),
            address,
            authorization: Some(format!("Bearer {key}")),
        }
    }

    /// Sends a request and returns the body of a successful answer.
    pub async fn bytes(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Option<Vec<u8>>,
    ) -> eyre::Result<Vec<u8>> {
        let mut all = headers.to_vec();
        if let Some(value) = &self.authorization {
            all.push(("authorization", value));
        }
        let (status, bytes) = self
            .http
            .bytes(self.address, method, path, &all, body, TIMEOUT)
            .await?;
        if status.is_success() {
            return Ok(bytes);
        }
        let failure: Failure = serde_json::from_slice(&bytes)
            .map_err(|_| eyre!("status {status} without a result code"))?;
        Err(eyre!(describe(&failure)))
    }

    /// Sends a request and reads a JSON answer.
    pub async fn json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> eyre::Result<T> {
        let bytes = self.bytes(method, path, &[], body).await?;
        serde_json::from_slice(&bytes).wrap_err("malformed answer")
    }

    /// Writes a resource, whatever version it has.
    pub async fn put(&self, name: &str, spec: &Resource) -> eyre::Result<()> {
        let path = format!("/v1/{}s/{name}", spec.kind());
        let current: Option<Stored> = self.json(Method::Get, &path, None).await.ok();
        let version = current.map_or(0, |c| c.version);
        let body = serde_json::json!({ "version": version, "spec": spec });
        let body = serde_json::to_vec(&body)?;
        self.bytes(Method::Put, &path, &[], Some(body)).await?;
        Ok(())
    }
}

fn describe(failure: &Failure) -> String {
    let mut text = format!("{}: {}", failure.code, failure.message);
    for problem in &failure.problems {
        text.push_str("\n  ");
        if !problem.path.is_empty() {
            text.push_str(&problem.path);
            text.push_str(": ");
        }
        text.push_str(&problem.expected);
    }
    text
}
