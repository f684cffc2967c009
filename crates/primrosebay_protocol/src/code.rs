//! Numbered result codes of the API and of the command-line tool.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether the work of a call has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ran {
    /// The work ran.
    Yes,
    /// The work did not run.
    No,
    /// The work may have run.
    Unknown,
}

/// Whether the caller should retry the same call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// The same call would get the same response.
    Never,
    /// The same call may succeed later.
    Later,
    /// Only idempotent work should be retried.
    IfIdempotent,
}

/// A result code with its documentation, as one row of [`TABLE`].
#[derive(Debug)]
pub struct CodeInfo {
    /// The code that the row documents.
    pub code: Code,
    /// The HTTP status that carries the code.
    pub status: u16,
    /// The meaning of the code.
    pub meaning: &'static str,
    /// Whether the work has run.
    pub ran: Ran,
    /// Whether to retry the call.
    pub retry: Retry,
}

/// A result code, such as 2001. Its number does not change between releases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Code(pub u16);

macro_rules! codes {
    ($($name:ident = $number:literal, $status:literal, $ran:ident, $retry:ident, $meaning:literal;)*) => {
        impl Code {
            $(#[doc = $meaning] pub const $name: Self = Self($number);)*
        }

        /// Every result code, in ascending order.
        pub const TABLE: &[CodeInfo] = &[$(CodeInfo {
            code: Code::$name,
            status: $status,
            meaning: $meaning,
            ran: Ran::$ran,
            retry: Retry::$retry,
        },)*];
    };
}

codes! {
    OK = 1000, 200, Yes, Never, "The call succeeded.";
    ACCEPTED = 1001, 201, No, Never, "The work was accepted and its record is in the log.";
    ACCEPTED_BY_PEERS = 1002, 201, No, Never, "The work was accepted and is held by other entry instances until the log is available.";
    CHANGE_PENDING = 1003, 202, No, Later, "The change is recorded but not yet in force in every zone that must have it.";
    MALFORMED = 2001, 400, No, Never, "The body is not valid JSON of the expected form.";
    INVALID = 2002, 422, No, Never, "A field has a value outside its range.";
    NEVER_FITS = 2003, 422, No, Never, "No worker that the job allows is large enough for one of its tasks.";
    DUPLICATE_NAME = 2004, 409, No, Never, "The team has another job with this name.";
    BODY_TOO_LARGE = 2005, 413, No, Never, "The body is larger than the limit.";
    OVER_LIMIT = 2006, 422, No, Never, "The job needs more than the upper limit of its team.";
    NO_KEY = 3001, 401, No, Never, "The call needs a key.";
    WRONG_KEY = 3002, 401, No, Never, "The key is unknown or withdrawn.";
    OTHER_TEAM = 3003, 403, No, Never, "The key belongs to another team.";
    NOT_OPERATOR = 3004, 403, No, Never, "The call needs an operator's key.";
    NOT_FOUND = 4001, 404, No, Never, "There is no such resource.";
    CONFLICT = 4002, 409, No, Never, "The resource has another version than the one given.";
    TOO_OLD = 4003, 410, No, Never, "The version to watch from is no longer kept; list the resources and watch from there.";
    NO_METHOD = 4004, 405, No, Never, "The route does not take this method.";
    OVERLOADED = 5001, 503, No, Later, "A queue is full.";
    NO_MINION = 5002, 503, No, Later, "No minion of the service can take the request.";
    NOT_FRESH = 5003, 503, No, Later, "The entry instance is cut off and cannot check keys.";
    LOG_UNAVAILABLE = 5004, 503, No, Later, "The work could not be recorded.";
    NO_COORDINATOR = 5005, 503, No, Later, "No coordinator of an allowed zone can be reached.";
    STOPPING = 5006, 503, No, Later, "The entry instance is stopping.";
    DEADLINE = 5007, 504, No, Later, "The deadline passed before the request was sent to a minion.";
    UNKNOWN = 6001, 504, Unknown, IfIdempotent, "The request was sent to a minion and its answer was lost.";
    RECORD_UNKNOWN = 6002, 504, Unknown, IfIdempotent, "The change was sent to the log and its outcome is not known; read the resource to see whether it took effect.";
    MINION_FAILED = 6003, 502, Yes, IfIdempotent, "The minion ran the request and reported a failure.";
    INTERNAL = 9001, 500, Unknown, IfIdempotent, "The entry instance failed.";
}

/// The text of [`page`] before the rows of the table.
const HEADER: &str = "# Result codes

Generated from `crates/primrosebay_protocol/src/code.rs`; `UPDATE_DOCS=1 cargo test -p primrosebay_protocol --test page` writes it again. `docs/operators.md` says what to do.

A body with a result code has the field `code` with the number. *Ran* tells whether the work ran. *Retry* tells whether to send the same call again.

| code | status | ran | retry | meaning |
| --- | --- | --- | --- | --- |
";

/// Returns the page `docs/codes.md` in Markdown, with one row for each code.
#[must_use]
pub fn page() -> String {
    TABLE.iter().fold(HEADER.to_owned(), |mut page, info| {
        let ran = match info.ran {
            Ran::Yes => "yes",
            Ran::No => "no",
            Ran::Unknown => "unknown",
        };
        let retry = match info.retry {
            Retry::Never => "no",
            Retry::Later => "later",
            Retry::IfIdempotent => "if idempotent",
        };
        let (code, status) = (info.code.0.to_string(), info.status.to_string());
        let row = [&code, &status, ran, retry, info.meaning].join(" | ");
        page += &["| ", &row, " |\n"].concat();
        page
    })
}

impl Code {
    /// Returns the documentation of the code; `None` if the code is unknown.
    #[must_use]
    pub fn info(self) -> Option<&'static CodeInfo> {
        TABLE
            .binary_search_by_key(&self, |info| info.code)
            .ok()
            .map(|i| &TABLE[i])
    }

    /// Returns whether the same call may be retried, later or at another instance. Codes with
    /// [`Retry::IfIdempotent`] count as retryable; unknown codes do not.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        self.info().is_some_and(|info| info.retry != Retry::Never)
    }

    /// Returns the HTTP status that carries the code; 500 if the code is unknown.
    #[must_use]
    pub fn status(self) -> u16 {
        self.info().map_or(500, |info| info.status)
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "P{}", self.0)
    }
}
