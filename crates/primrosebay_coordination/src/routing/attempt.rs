//! Identifiers of requests and of their attempts.

use std::fmt;

use primrosebay_state::id::Incarnation;

/// Identifies a request within the cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId {
    /// Process of the entry instance that accepted the request.
    pub incarnation: Incarnation,
    /// Number of the request within that process, from 1.
    pub sequence: u64,
}

/// Identifies one attempt to run a request. A minion refuses an attempt that it has already seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestAttempt {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within the request, from 1.
    pub number: u32,
}

impl RequestId {
    /// Returns the identifier of the attempt with the given number, from 1.
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
