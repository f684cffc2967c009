//! Calls the API of an entry instance.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::prelude::BufReadExt;
use async_std::net::TcpStream;
use async_std::stream::StreamExt;
use clap::ArgMatches;
use eyre::{WrapErr, eyre};
use http_types::{Method, Request, Url};
use primrosebay_protocol::api::{Failure, ListPage, ResourceView, WriteRequest, WriteResult};
use primrosebay_protocol::code::Code;
use primrosebay_state::config::{Resource, StoredResource};
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

    /// Writes a resource over the version that is read first.
    pub async fn put(&self, name: &str, spec: &Resource) -> eyre::Result<WriteResult> {
        let path = format!("/v1/{}s/{name}", spec.kind());
        let version = self.find(&path).await?.map_or(0, |c| c.version);
        self.write(&path, version, spec).await
    }

    /// Writes a resource over `version`; 0 if it must not exist yet.
    pub async fn write(
        &self,
        path: &str,
        version: u64,
        spec: &Resource,
    ) -> eyre::Result<WriteResult> {
        let spec = spec.clone();
        let body = serde_json::to_vec(&WriteRequest { version, spec })?;
        self.json(Method::Put, path, Some(body)).await
    }

    /// Reads all pages of a list.
    pub async fn list<T: DeserializeOwned>(&self, path: &str) -> eyre::Result<Vec<T>> {
        let mut items = Vec::new();
        let mut after = String::new();
        loop {
            let page: ListPage<T> = self
                .json(Method::Get, &format!("{path}{after}"), None)
                .await?;
            items.extend(page.items);
            let Some(next) = page.next else {
                return Ok(items);
            };
            let separator = if path.contains('?') { '&' } else { '?' };
            after = format!("{separator}after={next}");
        }
    }

    /// Reads a resource, or nothing if it does not exist.
    pub async fn find(&self, path: &str) -> eyre::Result<Option<StoredResource>> {
        match self.bytes(Method::Get, path, &[], None).await {
            Ok(bytes) => Ok(Some(
                serde_json::from_slice::<ResourceView>(&bytes)
                    .wrap_err("malformed answer")?
                    .item,
            )),
            Err(e) if e.to_string().starts_with(&Code::NOT_FOUND.to_string()) => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Opens a stream of lines and hands each to `each`.
    pub async fn lines(
        &self,
        path: &str,
        mut each: impl FnMut(&str) -> eyre::Result<()>,
    ) -> eyre::Result<()> {
        let stream = TcpStream::connect(self.address).await?;
        let url = Url::parse(&format!("http://{}{path}", self.address))?;
        let mut request = Request::new(Method::Get, url);
        if let Some(value) = &self.authorization {
            request.insert_header("authorization", value);
        }
        let response = async_h1::connect(stream, request)
            .await
            .map_err(|e| eyre!("no answer: {e}"))?;
        let status = response.status();
        let mut lines = response.lines();
        while let Some(line) = lines.next().await {
            let line = line?;
            if !status.is_success() {
                let failure: Failure = serde_json::from_str(&line)
                    .map_err(|_| eyre!("status {status} without a result code"))?;
                return Err(eyre!(describe(&failure)));
            }
            each(&line)?;
        }
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
