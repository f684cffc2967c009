//! Parses request bodies and query strings within their limits.

use std::time::Duration;

use futures_lite::AsyncReadExt;
use primrosebay_protocol::api::Failure;
use primrosebay_protocol::code::Code;
use primrosebay_state::job::Problem;
use primrosebay_transport::budget::Cause;

use super::ApiRequest;

/// Reads the body within the limit `body_bytes` and the timeout `body_ms` of the settings.
///
/// # Errors
/// Returns [`Code::BODY_TOO_LARGE`], [`Code::OVERLOADED`] if the body was given up for others, or
/// [`Code::MALFORMED`] if it is incomplete at its end or at the timeout.
pub(crate) async fn read_body(request: &mut ApiRequest) -> Result<Vec<u8>, Failure> {
    let limit = request.state().setup.limits.body_bytes;
    if request.len().is_some_and(|bytes| bytes as u64 > limit) {
        return Err(Failure::new(Code::BODY_TOO_LARGE));
    }
    let mut bytes = Vec::new();
    let body = request.take_body();
    // A chunked body declares no length, so one byte more than the limit is read to detect a body
    // that is too large.
    let time_limit = Duration::from_millis(request.state().setup.timeouts.body_ms);
    let mut body = body.take(limit + 1);
    let result = async_std::future::timeout(time_limit, body.read_to_end(&mut bytes)).await;
    match result {
        Ok(Ok(_)) => {}
        Ok(Err(e)) if Cause::of(&e) == Some(Cause::Memory) => {
            return Err(Failure::new(Code::OVERLOADED));
        }
        _ => return Err(malformed("", "a complete body within the time-out")),
    }
    if bytes.len() as u64 > limit {
        return Err(Failure::new(Code::BODY_TOO_LARGE));
    }
    Ok(bytes)
}

/// Reads the body and parses it as JSON.
///
/// # Errors
/// Returns the failures of [`read_body`], or [`Code::MALFORMED`] for invalid JSON.
pub(crate) async fn read_json(request: &mut ApiRequest) -> Result<serde_json::Value, Failure> {
    let bytes = read_body(request).await?;
    serde_json::from_slice(&bytes).map_err(|error| malformed("", error.to_string()))
}

/// Creates a [`Code::MALFORMED`] failure for the field at `path`; an empty path is the whole body.
pub(crate) fn malformed(path: &str, expected: impl Into<String>) -> Failure {
    Failure::with_problems(Code::MALFORMED, vec![Problem::new(path, expected)])
}

/// Query parameters of a request, which are removed as they are read. Problems are collected until
/// [`Query::finish`].
#[derive(Debug)]
pub(crate) struct Query {
    pairs: Vec<(String, String)>,
    problems: Vec<Problem>,
}

impl Query {
    /// Parses the query string of `request`.
    pub(crate) fn new(request: &ApiRequest) -> Self {
        let pairs = request.url().query_pairs().into_owned().collect();
        Self {
            pairs,
            problems: Vec::new(),
        }
    }

    /// Removes the parameter `name` and returns its value.
    pub(crate) fn take(&mut self, name: &str) -> Option<String> {
        let index = self.pairs.iter().position(|(key, _)| key == name)?;
        Some(self.pairs.remove(index).1)
    }

    /// Removes a numeric parameter. Returns `None` if it is absent, or if it is not a number within
    /// `min` and `max`, which is recorded as a problem.
    pub(crate) fn number(&mut self, name: &str, min: u64, max: u64) -> Option<u64> {
        let text = self.take(name)?;
        let number = text.parse().ok().filter(|n| (min..=max).contains(n));
        if number.is_none() {
            self.add_problem(name, format!("{min} to {max}"));
        }
        number
    }

    /// Removes a Boolean parameter; an absent one is `false`. Any other value than `true` or
    /// `false` is recorded as a problem.
    pub(crate) fn flag(&mut self, name: &str) -> bool {
        match self.take(name).as_deref() {
            Some("true") => true,
            None | Some("false") => false,
            Some(_) => {
                self.add_problem(name, "true or false");
                false
            }
        }
    }

    /// Records a problem with the parameter `name`.
    fn add_problem(&mut self, name: &str, expected: impl Into<String>) {
        self.problems
            .push(Problem::new(format!("query.{name}"), expected));
    }

    /// Rejects unknown and repeated parameters.
    ///
    /// # Errors
    /// Returns [`Code::INVALID`] with all problems of the query.
    pub(crate) fn finish(mut self) -> Result<(), Failure> {
        for (name, _) in std::mem::take(&mut self.pairs) {
            self.add_problem(&name, "a parameter of this route, once");
        }
        if self.problems.is_empty() {
            return Ok(());
        }
        Err(Failure::with_problems(Code::INVALID, self.problems))
    }
}
