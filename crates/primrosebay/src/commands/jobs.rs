//! `primrosebay submit` and `cancel`, and the table of jobs for `get`.

use std::time::Duration;

use async_std::task;
use clap::ArgMatches;
use eyre::WrapErr;
use http_types::Method;
use primrosebay_protocol::api::{JobView, Submitted, TaskState};
use primrosebay_state::id::JobId;
use primrosebay_state::job::JobSpec;
use serde::Deserialize;

use super::{read_input, required_arg};
use crate::client::Client;
use crate::output;

/// Interval at which `submit --wait` reads the state of a job.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Submits the jobs of a file in their order. The jobs before an invalid one stay submitted.
pub async fn submit(matches: &ArgMatches) -> eyre::Result<()> {
    let client = Client::new(matches)?;
    let input = read_input(required_arg(matches, "file")?)?;
    let mut submitted_jobs = Vec::new();
    for document in serde_norway::Deserializer::from_str(&input) {
        let spec = JobSpec::deserialize(document).wrap_err("invalid job")?;
        let body = serde_json::to_vec(&spec)?;
        let submitted: Submitted = client.json(Method::Post, "/v1/jobs", Some(body)).await?;
        submitted_jobs.push(submitted);
    }
    let mut rows = vec![["ID", "ZONE", "CODE"].map(str::to_owned).to_vec()];
    rows.extend(submitted_jobs.iter().map(|job| {
        vec![
            job.id.to_string(),
            job.zone.to_string(),
            job.code.to_string(),
        ]
    }));
    output::print(matches, &submitted_jobs, &rows)?;
    if matches.get_flag("wait") {
        for submitted in &submitted_jobs {
            wait_for_end(&client, submitted.id).await?;
        }
    }
    Ok(())
}

/// Waits until a job has ended and prints its outcome. Failed reads are retried without a limit.
async fn wait_for_end(client: &Client, id: JobId) -> eyre::Result<()> {
    loop {
        let job: Option<JobView> = client
            .json(Method::Get, &format!("/v1/jobs/{id}"), None)
            .await
            .ok();
        if let Some(outcome) = job.and_then(|job| job.outcome) {
            println!("{id} {}", format!("{outcome:?}").to_lowercase());
            return Ok(());
        }
        task::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the header and the lines of a table of jobs.
pub fn rows(jobs: &[JobView]) -> Vec<Vec<String>> {
    let mut rows = vec![
        ["ID", "NAME", "ZONE", "TASKS", "RUNNING", "ENDED", "OUTCOME"]
            .map(str::to_owned)
            .to_vec(),
    ];
    rows.extend(jobs.iter().map(|job| {
        let count_tasks = |matches_state: fn(&TaskState) -> bool| {
            job.tasks
                .iter()
                .filter(|task| matches_state(&task.state))
                .count()
                .to_string()
        };
        vec![
            job.id.to_string(),
            job.spec.name.to_string(),
            job.zone.to_string(),
            job.spec.tasks.to_string(),
            count_tasks(|state| *state == TaskState::Running),
            count_tasks(|state| matches!(state, TaskState::Ended(_))),
            job.outcome.map_or("-".to_owned(), |outcome| {
                format!("{outcome:?}").to_lowercase()
            }),
        ]
    }));
    rows
}

/// Cancels a job and prints it.
pub async fn cancel(matches: &ArgMatches) -> eyre::Result<()> {
    let client = Client::new(matches)?;
    let id = required_arg(matches, "id")?;
    let job: JobView = client
        .json(Method::Delete, &format!("/v1/jobs/{id}"), None)
        .await?;
    output::print(matches, &job, &rows(std::slice::from_ref(&job)))
}
