//! `primrosebay explain` and `top`.

use clap::ArgMatches;
use http_types::Method;
use primrosebay_protocol::api::{Explanation, TeamItem};

use super::required_arg;
use crate::client::Client;
use crate::output;

/// Prints the reasons why tasks of a job are pending.
pub async fn explain(matches: &ArgMatches) -> eyre::Result<()> {
    let client = Client::new(matches)?;
    let id = required_arg(matches, "id")?;
    let explanation: Explanation = client
        .json(Method::Get, &format!("/v1/jobs/{id}/explain"), None)
        .await?;
    let mut rows = vec![vec!["REASON".to_owned()]];
    rows.extend(
        explanation
            .reasons
            .iter()
            .map(|reason| vec![reason.clone()]),
    );
    output::print(matches, &explanation, &rows)
}

/// Prints the resources that each team uses, waits for and may use, for each zone that the instance
/// coordinates or may come to coordinate.
pub async fn top(matches: &ArgMatches) -> eyre::Result<()> {
    let client = Client::new(matches)?;
    let items: Vec<TeamItem> = client.list("/v1/usage").await?;
    let mut rows = vec![
        [
            "ZONE",
            "TEAM",
            "CORES",
            "WAITING",
            "ALLOWANCE",
            "MEMORY_MIB",
        ]
        .map(str::to_owned)
        .to_vec(),
    ];
    rows.extend(items.iter().map(|item| {
        vec![
            item.zone.to_string(),
            item.team.to_string(),
            format_cores(item.used.cores_milli),
            format_cores(item.wanted.cores_milli),
            format_cores(item.allowance.cores_milli),
            item.used.memory_mib.to_string(),
        ]
    }));
    output::print(matches, &items, &rows)
}

/// Formats thousandths of a core as cores.
fn format_cores(cores_milli: u64) -> String {
    format!("{}.{:03}", cores_milli / 1000, cores_milli % 1000)
}
