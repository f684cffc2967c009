//! Identifiers of single tries to run a request.

use std::fmt;

use primrosebay_state::id::Incarnation;

/// Identifies a request within the cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId {
    /// The entry instance's process that took the request.
    pub incarnation: Incarnation,
    /// The number of the request within that process, from 1.
    pub sequence: u64,
}

/// Identifies one try to run a request. A minion refuses an attempt that it has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestAttempt {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt, from 1.
    pub number: u32,
}

impl RequestId {
    /// Returns the id of the attempt with `number`.
    #[must_use]
    pub fn attempt(self, number: u32) -> RequestAttempt {
        RequestAttempt {
            request: self,
            number,
        }
    }
}

impl fmt::Display for RequestAttempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:016x}-{:x}.{}",
            self.request.incarnation.0, self.request.sequence, self.number
        )
    }
}
