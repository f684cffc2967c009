//! For whom a request is accepted.

use primrosebay_protocol::code::Code;
use primrosebay_state::Name;
use primrosebay_state::config::{Config, Resource};
use primrosebay_state::job::is_name;

/// Returns the account of a request to `service`, in the form `team/label`.
///
/// The team is the key's. Only if the service has an open queue does a request without a key count
/// for the team of that queue. The label is chosen by the caller within the team.
///
/// # Errors
/// Returns the code of a missing or wrong key or of a malformed label.
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

fn open_team(config: &Config, service: &str) -> Option<Name> {
    match &config.get("queue", service)?.spec {
        Resource::Queue { open: true, team } => Some(team.clone()),
        _ => None,
    }
}
