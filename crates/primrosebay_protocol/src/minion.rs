//! Headers of calls to minions. The body is passed on unchanged.

/// Identifies the attempt, so that a minion refuses a second run of it. The minion returns it in
/// every response, so that an answer to another attempt is recognized.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Milliseconds that remain until the caller's deadline.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Set to `no` in a refusal that is sent before the work has run.
pub const RAN_HEADER: &str = "x-ran";
/// Set to `yes` in responses of a minion that is about to stop.
pub const LEAVING_HEADER: &str = "x-leaving";
/// Occupied slots of the minion when it sent the response.
pub const BUSY_HEADER: &str = "x-busy-slots";
/// The path of calls.
pub const RUN_PATH: &str = "/run";
