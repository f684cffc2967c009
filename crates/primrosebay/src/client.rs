//! A client of the API of entry instances.

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

/// Timeout of a request, up to the end of its response. [`Client::lines`] has no timeout.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A client of the API of one entry instance.
#[derive(Debug)]
pub struct Client {
    http: http_client::Client,
    address: SocketAddr,
    authorization: Option<String>,
}

impl Client {
    /// Creates a client for the server and the key of the global arguments.
    pub fn new(matches: &ArgMatches) -> eyre::Result<Self> {
        let address = matches
            .get_one::<String>("server")
            .ok_or_else(|| eyre!("no server address given"))?;
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

    /// Creates a client that calls the instance at `address` with `key`.
    pub fn with_key(address: SocketAddr, key: &str) -> Self {
        Self {
            http: http_client::Client::new(),
            address,
            authorization: Some(format!("Bearer {key}")),
        }
    }

    /// Sends a request and returns the body of the response. Fails unless the status is a success.
    pub async fn bytes(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Option<Vec<u8>>,
    ) -> eyre::Result<Vec<u8>> {
        let mut headers = headers.to_vec();
        if let Some(value) = &self.authorization {
            headers.push(("authorization", value));
        }
        let (status, bytes) = self
            .http
            .bytes(self.address, method, path, &headers, body, TIMEOUT)
            .await?;
        if status.is_success() {
            return Ok(bytes);
        }
        let failure: Failure = serde_json::from_slice(&bytes)
            .map_err(|_| eyre!("response with status {status} and no result code"))?;
        Err(eyre!(format_failure(&failure)))
    }

    /// Sends a request and decodes the JSON body of the response.
    pub async fn json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> eyre::Result<T> {
        let bytes = self.bytes(method, path, &[], body).await?;
        serde_json::from_slice(&bytes).wrap_err("malformed response")
    }

    /// Creates or replaces a resource. Reads its version first and fails if the resource changes
    /// before the write.
    pub async fn put(&self, name: &str, spec: &Resource) -> eyre::Result<WriteResult> {
        let path = format!("/v1/{}s/{name}", spec.kind());
        let version = self.find(&path).await?.map_or(0, |stored| stored.version);
        self.write(&path, version, spec).await
    }

    /// Replaces version `version` of a resource. With version 0, the resource must not exist yet.
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

    /// Returns the items of all pages of a list.
    pub async fn list<T: DeserializeOwned>(&self, path: &str) -> eyre::Result<Vec<T>> {
        let mut items = Vec::new();
        let mut page_query = String::new();
        loop {
            let page: ListPage<T> = self
                .json(Method::Get, &format!("{path}{page_query}"), None)
                .await?;
            items.extend(page.items);
            let Some(next) = page.next else {
                return Ok(items);
            };
            let separator = if path.contains('?') { '&' } else { '?' };
            page_query = format!("{separator}after={next}");
        }
    }

    /// Returns a resource, or `None` if it does not exist.
    pub async fn find(&self, path: &str) -> eyre::Result<Option<StoredResource>> {
        match self.bytes(Method::Get, path, &[], None).await {
            Ok(bytes) => Ok(Some(
                serde_json::from_slice::<ResourceView>(&bytes)
                    .wrap_err("malformed response")?
                    .item,
            )),
            Err(e) if e.to_string().starts_with(&Code::NOT_FOUND.to_string()) => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Calls `handle_line` for each line of the response to a GET request, until the response ends
    /// or `handle_line` fails.
    pub async fn lines(
        &self,
        path: &str,
        mut handle_line: impl FnMut(&str) -> eyre::Result<()>,
    ) -> eyre::Result<()> {
        let stream = TcpStream::connect(self.address).await?;
        let url = Url::parse(&format!("http://{}{path}", self.address))?;
        let mut request = Request::new(Method::Get, url);
        if let Some(value) = &self.authorization {
            request.insert_header("authorization", value);
        }
        let response = async_h1::connect(stream, request)
            .await
            .map_err(|e| eyre!("the request failed: {e}"))?;
        let status = response.status();
        let mut lines = response.lines();
        while let Some(line) = lines.next().await {
            let line = line?;
            if !status.is_success() {
                let failure: Failure = serde_json::from_str(&line)
                    .map_err(|_| eyre!("response with status {status} and no result code"))?;
                return Err(eyre!(format_failure(&failure)));
            }
            handle_line(&line)?;
        }
        Ok(())
    }
}

/// Returns the code, the message and the problems of a failure, one problem per line. The code
/// comes first, since [`Client::find`] matches it.
fn format_failure(failure: &Failure) -> String {
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
