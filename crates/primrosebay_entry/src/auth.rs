//! Checks the keys of callers and operators.

use primrosebay_coordination::freshness::Work;
use primrosebay_protocol::code::Code;
use primrosebay_state::Name;
use primrosebay_state::config::KeyHash;

use crate::shared::Shared;

/// Returns the SHA-256 of `key` in hexadecimal digits.
#[must_use]
pub fn hash(key: &str) -> String {
    KeyHash::of(key.as_bytes()).hex()
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
/// Returns the result code of a missing, unknown or withdrawn key, or of an instance that cannot
/// know whether the key was withdrawn.
pub fn authenticate(request: &tide::Request<std::sync::Arc<Shared>>) -> Result<Name, Code> {
    let key = bearer(request).ok_or(Code::NO_KEY)?;
    let shared = request.state();
    if !shared.allows(Work::Keyed) {
        return Err(Code::NOT_FRESH);
    }
    let team = shared.config().authenticate(key.as_bytes());
    team.ok_or(Code::WRONG_KEY)
}

/// Checks that the request carries the operators' key.
///
/// # Errors
/// Returns the result code of a missing or other key.
pub fn require_operator(request: &tide::Request<std::sync::Arc<Shared>>) -> Result<(), Code> {
    let key = bearer(request).ok_or(Code::NO_KEY)?;
    if is_operator(request.state(), key) {
        Ok(())
    } else {
        Err(Code::NOT_OPERATOR)
    }
}

/// Returns the team whose jobs the request may read; nothing for an operator, who may read all.
///
/// # Errors
/// Returns the result code of a missing, unknown or withdrawn key.
pub fn read_scope(request: &tide::Request<std::sync::Arc<Shared>>) -> Result<Option<Name>, Code> {
    match bearer(request) {
        Some(key) if is_operator(request.state(), key) => Ok(None),
        _ => authenticate(request).map(Some),
    }
}

/// Returns the team whose jobs the request may cancel; nothing for an operator, who may cancel all.
///
/// A cancellation is taken even from a key that may have been withdrawn meanwhile, because it can
/// only stop work of the key's own team.
///
/// # Errors
/// Returns the result code of a missing, unknown or withdrawn key.
pub fn cancel_scope(request: &tide::Request<std::sync::Arc<Shared>>) -> Result<Option<Name>, Code> {
    let key = bearer(request).ok_or(Code::NO_KEY)?;
    let shared = request.state();
    if is_operator(shared, key) {
        return Ok(None);
    }
    let team = shared.config().authenticate(key.as_bytes());
    team.map(Some).ok_or(Code::WRONG_KEY)
}

/// All keys are compared, so that the time does not tell which one matched.
fn is_operator(shared: &Shared, key: &str) -> bool {
    let hash = KeyHash::of(key.as_bytes());
    let known = shared.setup.operators.iter();
    known
        .filter_map(|known| KeyHash::parse(known))
        .fold(false, |found, known| found | known.constant_time_eq(&hash))
}
