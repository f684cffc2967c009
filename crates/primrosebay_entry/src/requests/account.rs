//! Determines the account that a request counts for.

use primrosebay_protocol::code::Code;
use primrosebay_state::Name;
use primrosebay_state::config::{Config, Resource};
use primrosebay_state::job::is_name;

/// Returns the account of a request to `service`: `team/label`, or `team` without a label.
///
/// `team` is the team of the request's key, or the code of the key's rejection. A request without a
/// key counts for the owner of the queue named `service` if that queue is open. The caller chooses
/// the label, which separates accounts within the team.
///
/// # Errors
/// Returns the code in `team`, or [`Code::INVALID`] for a malformed label.
pub fn resolve_account(
    config: &Config,
    service: &str,
    team: Result<Name, Code>,
    label: Option<&str>,
) -> Result<Name, Code> {
    let team = match team {
        Err(Code::NO_KEY) => open_team(config, service).ok_or(Code::NO_KEY)?,
        team => team?,
    };
    match label {
        Some(label) if is_name(label) => Ok(format!("{team}/{label}").into()),
        Some(_) => Err(Code::INVALID),
        None => Ok(team),
    }
}

/// Returns the owner of the queue named `service`, if the queue is open.
fn open_team(config: &Config, service: &str) -> Option<Name> {
    match &config.get("queue", service)?.spec {
        Resource::Queue { open: true, team } => Some(team.clone()),
        _ => None,
    }
}
