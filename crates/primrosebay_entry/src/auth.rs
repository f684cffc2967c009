//! Checks the keys of callers and operators.

use std::fmt::Write as _;

use primrosebay_protocol::code::Code;
use primrosebay_state::Name;
use sha2::{Digest, Sha256};

use crate::shared::Shared;

/// Returns the SHA-256 of `key` in hexadecimal digits.
#[must_use]
pub fn hash(key: &str) -> String {
    Sha256::digest(key.as_bytes())
        .iter()
        .fold(String::new(), |mut text, byte| {
            let _ = write!(text, "{byte:02x}");
            text
        })
}

/// Returns the key of an `authorization: Bearer` header.
fn bearer(request: &tide::Request<std::sync::Arc<Shared>>) -> Option<&str> {
    request
        .header("authorization")?
        .as_str()
        .strip_prefix("Bearer ")
}

/// Returns the team that the request's key belongs to.
///
/// # Errors
/// Returns the result code of a missing, unknown or withdrawn key.
pub fn team(request: &tide::Request<std::sync::Arc<Shared>>) -> Result<Name, Code> {
    let key = bearer(request).ok_or(Code::NO_KEY)?;
    request
        .state()
        .config()
        .key_team(&hash(key))
        .ok_or(Code::WRONG_KEY)
}

/// Checks that the request carries the operators' key.
///
/// # Errors
/// Returns the result code of a missing or other key.
pub fn operator(request: &tide::Request<std::sync::Arc<Shared>>) -> Result<(), Code> {
    let key = bearer(request).ok_or(Code::NO_KEY)?;
    if hash(key) == *request.state().setup.operator_hash {
        Ok(())
    } else {
        Err(Code::NOT_OPERATOR)
    }
}
