//! Run counts of attempts and requests.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Number of leading bytes of the body that identify a request.
const KEY_BYTES: usize = 64;

/// Run counts of each attempt and each request.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Runs {
    /// Number of runs by attempt ID. A repeated attempt is refused, so each count is 1; only
    /// requests without an attempt ID, counted under the empty string, can have run more often.
    pub attempts: BTreeMap<String, u32>,
    /// Number of runs by the first 64 bytes of the request's body.
    pub requests: BTreeMap<String, u32>,
    /// Number of requests refused because their attempt had already run.
    pub repeated: u32,
}

impl Runs {
    /// Records a run. Returns false, and records only the refusal, if the attempt has already run.
    pub(super) fn record(&mut self, attempt: &str, body: &[u8]) -> bool {
        if !attempt.is_empty() && self.attempts.contains_key(attempt) {
            self.repeated += 1;
            return false;
        }
        let key = String::from_utf8_lossy(&body[..body.len().min(KEY_BYTES)]);
        *self.attempts.entry(attempt.to_owned()).or_default() += 1;
        *self.requests.entry(key.into_owned()).or_default() += 1;
        true
    }

    /// Returns the number of runs of requests whose body, cut to its first 64 bytes, equals `key`.
    #[must_use]
    pub fn of_request(&self, key: &str) -> u32 {
        self.requests.get(key).copied().unwrap_or(0)
    }

    /// Returns the number of all runs.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.requests.values().sum()
    }
}
