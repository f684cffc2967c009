//! Parses the options in a caller's request headers.

use primrosebay_protocol::code::Code;
use primrosebay_protocol::minion::DEADLINE_HEADER;
use primrosebay_state::job::Repeat;
use primrosebay_state::time::Time;
use primrosebay_transport::trace::HEADER;
use tide::http::Request;

use super::RequestSettings;

/// Header that tells whether the request may run more than once: `idempotent` or `once`.
pub(super) const REPEAT_HEADER: &str = "x-repeat";

/// Network time between the caller and this instance in milliseconds: 3 in each direction. It is
/// subtracted from the deadline, up to a tenth of the deadline.
const TRANSIT_MS: u64 = 6;

/// Options of one request.
#[derive(Debug)]
pub(super) struct RequestOptions {
    /// Whether the request may run more than once.
    pub(super) repeat: Repeat,
    /// Time by which the response must leave this instance to reach the caller before its deadline.
    pub(super) deadline: Time,
    /// Trace context of the caller in the form of the `traceparent` header; empty without one.
    pub(super) trace: String,
    /// Media type of the body, if declared.
    pub(super) media_type: Option<String>,
    /// Declared length of the body in bytes; `None` for a chunked body.
    pub(super) length: Option<u64>,
}

impl RequestOptions {
    /// Parses the headers of `request`, which arrived at `now`.
    ///
    /// # Errors
    /// Returns [`Code::INVALID`] for a malformed header, [`Code::DEADLINE`] for a deadline of 0 and
    /// [`Code::BODY_TOO_LARGE`] for a declared length above `max_body`.
    pub(super) fn from_request(
        request: &Request,
        settings: &RequestSettings,
        now: Time,
    ) -> Result<Self, Code> {
        let header = |name| request.header(name).map(|values| values.last().as_str());
        let repeat = match header(REPEAT_HEADER) {
            Some("idempotent") => Repeat::Idempotent,
            // Running a request twice may do harm, so the caller has to allow it explicitly.
            Some("once") | None => Repeat::Once,
            Some(_) => return Err(Code::INVALID),
        };
        let remaining: u64 = match header(DEADLINE_HEADER) {
            Some(text) => text.parse().map_err(|_| Code::INVALID)?,
            None => settings.default_deadline,
        };
        if remaining == 0 {
            return Err(Code::DEADLINE);
        }
        let chunked = header("transfer-encoding").is_some();
        let length = match header("content-length") {
            Some(text) => Some(text.parse().map_err(|_| Code::INVALID)?),
            None if chunked => None,
            None => Some(0),
        };
        if length.is_some_and(|length| length > settings.max_body) {
            return Err(Code::BODY_TOO_LARGE);
        }
        Ok(Self {
            repeat,
            deadline: now + (remaining - TRANSIT_MS.min(remaining / 10)).min(settings.max_deadline),
            trace: header(HEADER).unwrap_or_default().to_owned(),
            media_type: header("content-type").map(str::to_owned),
            length,
        })
    }
}
