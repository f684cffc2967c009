//! The path and the headers of calls to minions. Bodies are forwarded unchanged.

/// Identifies the attempt, so that a minion does not run the same attempt twice. The minion returns
/// the header in every response, so that a response to another attempt is detected.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Milliseconds that remain until the caller's deadline.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Set to `no` in a response that refuses the request before its work has run.
pub const RAN_HEADER: &str = "x-ran";
/// Set to `yes` in the responses of a minion that is about to stop.
pub const LEAVING_HEADER: &str = "x-leaving";
/// Number of occupied slots of the minion when it sent the response.
pub const BUSY_HEADER: &str = "x-busy-slots";
/// The HTTP path of calls to a minion.
pub const RUN_PATH: &str = "/run";
