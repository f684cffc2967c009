//! Authenticates and authorizes callers by the keys of teams and operators.

use primrosebay_coordination::freshness::Work;
use primrosebay_protocol::code::Code;
use primrosebay_state::Name;
use primrosebay_state::config::KeyHash;

use crate::shared::Shared;

/// Returns the SHA-256 hash of `key` in hexadecimal digits, the form in which keys are stored.
#[must_use]
pub fn hash(key: &str) -> String {
    KeyHash::of(key.as_bytes()).hex()
}

/// Returns the key from an `authorization: Bearer` header.
fn bearer_key(request: &tide::Request<std::sync::Arc<Shared>>) -> Option<&str> {
    request
        .header("authorization")?
        .as_str()
        .strip_prefix("Bearer ")
}

/// Returns the team that the request's key belongs to.
///
/// # Errors
/// Returns [`Code::NO_KEY`] without a key, [`Code::NOT_FRESH`] if the configuration is too stale to
/// tell whether the key was withdrawn, and [`Code::WRONG_KEY`] for an unknown or withdrawn key.
pub fn authenticate(request: &tide::Request<std::sync::Arc<Shared>>) -> Result<Name, Code> {
    let key = bearer_key(request).ok_or(Code::NO_KEY)?;
    let shared = request.state();
    if !shared.allows(Work::Keyed) {
        return Err(Code::NOT_FRESH);
    }
    let team = shared.config().authenticate(key.as_bytes());
    team.ok_or(Code::WRONG_KEY)
}

/// Checks that the request carries an operator's key.
///
/// # Errors
/// Returns [`Code::NO_KEY`] without a key and [`Code::NOT_OPERATOR`] for any other key.
pub fn require_operator(request: &tide::Request<std::sync::Arc<Shared>>) -> Result<(), Code> {
    let key = bearer_key(request).ok_or(Code::NO_KEY)?;
    if is_operator_key(request.state(), key) {
        Ok(())
    } else {
        Err(Code::NOT_OPERATOR)
    }
}

/// Returns the team whose jobs the request may read; `None` for an operator, who may read all jobs.
///
/// # Errors
/// Returns the codes of [`authenticate`].
pub fn read_scope(request: &tide::Request<std::sync::Arc<Shared>>) -> Result<Option<Name>, Code> {
    match bearer_key(request) {
        Some(key) if is_operator_key(request.state(), key) => Ok(None),
        _ => authenticate(request).map(Some),
    }
}

/// Returns the team whose jobs the request may cancel; `None` for an operator, who may cancel all
/// jobs.
///
/// Cancellation is allowed even if the configuration is stale and the key may have been withdrawn,
/// because it can only stop work of the key's own team.
///
/// # Errors
/// Returns [`Code::NO_KEY`] without a key and [`Code::WRONG_KEY`] for a key that is not in this
/// instance's configuration.
pub fn cancel_scope(request: &tide::Request<std::sync::Arc<Shared>>) -> Result<Option<Name>, Code> {
    let key = bearer_key(request).ok_or(Code::NO_KEY)?;
    let shared = request.state();
    if is_operator_key(shared, key) {
        return Ok(None);
    }
    let team = shared.config().authenticate(key.as_bytes());
    team.map(Some).ok_or(Code::WRONG_KEY)
}

/// Returns whether `key` is an operator's key. Compares all keys, so that the response time does
/// not reveal which one matched.
fn is_operator_key(shared: &Shared, key: &str) -> bool {
    let hash = KeyHash::of(key.as_bytes());
    let stored = shared.setup.operators.iter();
    stored
        .filter_map(|stored| KeyHash::parse(stored))
        .fold(false, |matched, stored| {
            matched | stored.constant_time_eq(&hash)
        })
}
