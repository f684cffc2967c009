//! Reads bodies and queries within their bounds.

use std::time::Duration;

use futures_lite::AsyncReadExt;
use primrosebay_protocol::api::Failure;
use primrosebay_protocol::code::Code;
use primrosebay_state::job::Problem;

use super::ApiRequest;

/// Reads the body, at most up to the limit of the settings.
///
/// # Errors
/// Returns the failure to answer with if the body is too large or breaks off.
pub(crate) async fn body(request: &mut ApiRequest) -> Result<Vec<u8>, Failure> {
    let limit = request.state().setup.limits.body_bytes;
    if request.len().is_some_and(|bytes| bytes as u64 > limit) {
        return Err(Failure::new(Code::BODY_TOO_LARGE));
    }
    let mut bytes = Vec::new();
    let body = request.take_body();
    // A chunked body tells no length, so one byte more than allowed is read.
    let time = Duration::from_millis(request.state().setup.timeouts.body_ms);
    let mut body = body.take(limit + 1);
    let read = async_std::future::timeout(time, body.read_to_end(&mut bytes)).await;
    if !matches!(read, Ok(Ok(_))) {
        return Err(malformed("", "a complete body within the time-out"));
    }
    if bytes.len() as u64 > limit {
        return Err(Failure::new(Code::BODY_TOO_LARGE));
    }
    Ok(bytes)
}

/// Reads a body as JSON.
///
/// # Errors
/// Returns the failure to answer with.
pub(crate) async fn json_body(request: &mut ApiRequest) -> Result<serde_json::Value, Failure> {
    let bytes = body(request).await?;
    serde_json::from_slice(&bytes).map_err(|error| malformed("", error.to_string()))
}

/// Creates the failure of a body or query that cannot be read.
pub(crate) fn malformed(path: &str, expected: impl Into<String>) -> Failure {
    Failure::with_problems(Code::MALFORMED, vec![Problem::new(path, expected)])
}

/// The parameters of a query; each may be taken once.
#[derive(Debug)]
pub(crate) struct Query {
    pairs: Vec<(String, String)>,
    problems: Vec<Problem>,
}

impl Query {
    pub(crate) fn new(request: &ApiRequest) -> Self {
        let pairs = request.url().query_pairs().into_owned().collect();
        Self {
            pairs,
            problems: Vec::new(),
        }
    }

    /// Takes the parameter `name`.
    pub(crate) fn take(&mut self, name: &str) -> Option<String> {
        let at = self.pairs.iter().position(|(known, _)| known == name)?;
        Some(self.pairs.remove(at).1)
    }

    /// Takes a number within `min` and `max`.
    pub(crate) fn number(&mut self, name: &str, min: u64, max: u64) -> Option<u64> {
        let text = self.take(name)?;
        let number = text.parse().ok().filter(|n| (min..=max).contains(n));
        if number.is_none() {
            self.problem(name, format!("{min} to {max}"));
        }
        number
    }

    /// Takes `true` or `false`; a parameter that is not given is false.
    pub(crate) fn flag(&mut self, name: &str) -> bool {
        match self.take(name).as_deref() {
            Some("true") => true,
            None | Some("false") => false,
            Some(_) => {
                self.problem(name, "true or false");
                false
            }
        }
    }

    fn problem(&mut self, name: &str, expected: impl Into<String>) {
        self.problems
            .push(Problem::new(format!("query.{name}"), expected));
    }

    /// Refuses parameters that were not taken, and returns every problem.
    ///
    /// # Errors
    /// Returns the failure to answer with.
    pub(crate) fn finish(mut self) -> Result<(), Failure> {
        for (name, _) in std::mem::take(&mut self.pairs) {
            self.problem(&name, "a parameter of this route, once");
        }
        if self.problems.is_empty() {
            return Ok(());
        }
        Err(Failure::with_problems(Code::INVALID, self.problems))
    }
}
