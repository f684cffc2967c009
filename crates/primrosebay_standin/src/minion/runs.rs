//! Counts of what ran.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Bytes of a body that identify the caller's request.
const KEY_BYTES: usize = 64;

/// How often each attempt and each request ran.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Runs {
    /// Runs by attempt id. A repeated attempt is refused, so each count is 1.
    pub attempts: BTreeMap<String, u32>,
    /// Runs by the beginning of the request's body.
    pub requests: BTreeMap<String, u32>,
    /// Attempts that were refused because they had run.
    pub repeated: u32,
}

impl Runs {
    /// Records a run and returns whether it may take place.
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

    /// Returns how often requests whose body begins with `key` ran.
    #[must_use]
    pub fn of_request(&self, key: &str) -> u32 {
        self.requests.get(key).copied().unwrap_or(0)
    }

    /// Returns how many runs there were.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.requests.values().sum()
    }
}
