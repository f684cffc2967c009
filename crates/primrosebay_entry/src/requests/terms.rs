//! What a caller's headers ask for.

use primrosebay_protocol::code::Code;
use primrosebay_protocol::minion::DEADLINE_HEADER;
use primrosebay_state::job::Repeat;
use primrosebay_state::time::Time;
use primrosebay_transport::trace::HEADER;
use tide::http::Request;

use super::RequestSettings;

/// Says whether the request may run more than once.
pub(super) const REPEAT_HEADER: &str = "x-repeat";

/// Time that the request and the answer spend on the way between the caller and this instance, in
/// milliseconds: 3 each way. It is taken off the deadline, but never more than a tenth of it.
const TRANSIT_MS: u64 = 6;

/// The terms of one request.
#[derive(Debug)]
pub(super) struct Terms {
    /// Whether the request may run more than once.
    pub(super) repeat: Repeat,
    /// When the caller stops waiting.
    pub(super) deadline: Time,
    /// The caller's trace context; empty for none.
    pub(super) trace: String,
    /// The media type of the body.
    pub(super) media: Option<String>,
    /// The declared length of the body in bytes.
    pub(super) length: Option<u64>,
}

impl Terms {
    /// Reads the headers of `request`, which arrived at `now`.
    ///
    /// # Errors
    /// Returns the code of a value that is out of range, of a deadline that has passed or of a
    /// body that is too large.
    pub(super) fn of(
        request: &Request,
        settings: &RequestSettings,
        now: Time,
    ) -> Result<Self, Code> {
        let header = |name| request.header(name).map(|values| values.last().as_str());
        let repeat = match header(REPEAT_HEADER) {
            Some("idempotent") => Repeat::Idempotent,
            // Running twice may do harm, so a caller has to say that it does not.
            Some("once") | None => Repeat::Once,
            Some(_) => return Err(Code::INVALID),
        };
        let left: u64 = match header(DEADLINE_HEADER) {
            Some(text) => text.parse().map_err(|_| Code::INVALID)?,
            None => settings.default_deadline,
        };
        if left == 0 {
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
            deadline: now + (left - TRANSIT_MS.min(left / 10)).min(settings.max_deadline),
            trace: header(HEADER).unwrap_or_default().to_owned(),
            media: header("content-type").map(str::to_owned),
            length,
        })
    }
}
