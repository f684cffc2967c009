//! `primrosebay explain` and `top`.

use clap::ArgMatches;
use http_types::Method;
use primrosebay_protocol::api::{Explanation, TeamItem};

use super::text;
use crate::client::Client;
use crate::output;

/// Tells why the tasks of a job wait.
pub async fn explain(matches: &ArgMatches) -> eyre::Result<()> {
    let client = Client::new(matches)?;
    let id = text(matches, "id")?;
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

/// Shows what teams use and wait for in each zone of the instance.
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
            cores(item.used.cores_milli),
            cores(item.wanted.cores_milli),
            cores(item.allowance.cores_milli),
            item.used.memory_mib.to_string(),
        ]
    }));
    output::print(matches, &items, &rows)
}

fn cores(milli: u64) -> String {
    format!("{}.{:03}", milli / 1000, milli % 1000)
}
