//! `primrosebay submit`, `get` and `cancel`.

use std::time::Duration;

use async_std::task;
use clap::ArgMatches;
use eyre::WrapErr;
use http_types::Method;
use primrosebay_protocol::api::{JobView, Submitted, TaskState};
use primrosebay_state::id::JobId;
use primrosebay_state::job::JobSpec;
use serde::Deserialize;

use super::{read_input, text};
use crate::client::Client;
use crate::output;

/// How often a waiting command looks at its jobs.
const POLL: Duration = Duration::from_millis(100);

/// Submits the jobs of a file.
pub async fn submit(matches: &ArgMatches) -> eyre::Result<()> {
    let client = Client::new(matches)?;
    let input = read_input(text(matches, "file")?)?;
    let mut answers = Vec::new();
    for document in serde_norway::Deserializer::from_str(&input) {
        let spec = JobSpec::deserialize(document).wrap_err("not a job")?;
        let body = serde_json::to_vec(&spec)?;
        let answer: Submitted = client.json(Method::Post, "/v1/jobs", Some(body)).await?;
        answers.push(answer);
    }
    let mut rows = vec![["ID", "ZONE", "CODE"].map(str::to_owned).to_vec()];
    rows.extend(
        answers
            .iter()
            .map(|a| vec![a.id.to_string(), a.zone.to_string(), a.code.to_string()]),
    );
    output::print(matches, &answers, &rows)?;
    if matches.get_flag("wait") {
        for answer in &answers {
            wait(&client, answer.id).await?;
        }
    }
    Ok(())
}

async fn wait(client: &Client, id: JobId) -> eyre::Result<()> {
    loop {
        let job: Option<JobView> = client
            .json(Method::Get, &format!("/v1/jobs/{id}"), None)
            .await
            .ok();
        if let Some(outcome) = job.and_then(|job| job.outcome) {
            println!("{id} {}", format!("{outcome:?}").to_lowercase());
            return Ok(());
        }
        task::sleep(POLL).await;
    }
}

/// Returns the lines of a table of jobs.
pub fn rows(jobs: &[JobView]) -> Vec<Vec<String>> {
    let mut rows = vec![
        ["ID", "NAME", "ZONE", "TASKS", "RUNNING", "ENDED", "OUTCOME"]
            .map(str::to_owned)
            .to_vec(),
    ];
    rows.extend(jobs.iter().map(|job| {
        let count = |f: fn(&TaskState) -> bool| {
            job.tasks.iter().filter(|t| f(&t.state)).count().to_string()
        };
        vec![
            job.id.to_string(),
            job.spec.name.to_string(),
            job.zone.to_string(),
            job.spec.tasks.to_string(),
            count(|state| *state == TaskState::Running),
            count(|state| matches!(state, TaskState::Ended(_))),
            job.outcome
                .map_or("-".to_owned(), |o| format!("{o:?}").to_lowercase()),
        ]
    }));
    rows
}

/// Cancels a job.
pub async fn cancel(matches: &ArgMatches) -> eyre::Result<()> {
    let client = Client::new(matches)?;
    let id = text(matches, "id")?;
    let job: JobView = client
        .json(Method::Delete, &format!("/v1/jobs/{id}"), None)
        .await?;
    output::print(matches, &job, &rows(std::slice::from_ref(&job)))
}
