//! `primrosebay call`: sends a request to a service.

use std::io::Write;

use clap::ArgMatches;
use http_types::Method;

use super::required_arg;
use crate::client::Client;

/// Sends a request to a service and prints the body of the response.
pub async fn call(matches: &ArgMatches) -> eyre::Result<()> {
    let client = Client::new(matches)?;
    let service = required_arg(matches, "service")?;
    let deadline_ms = matches
        .get_one::<u64>("deadline-ms")
        .copied()
        .unwrap_or(10_000)
        .to_string();
    let repeat = if matches.get_flag("once") {
        "once"
    } else {
        "idempotent"
    };
    let headers = [
        ("x-deadline-ms", deadline_ms.as_str()),
        ("x-repeat", repeat),
    ];
    let body = required_arg(matches, "data")?.as_bytes().to_vec();
    let path = format!("/v1/services/{service}/requests");
    let response = client
        .bytes(Method::Post, &path, &headers, Some(body))
        .await?;
    std::io::stdout().write_all(&response)?;
    println!();
    Ok(())
}
