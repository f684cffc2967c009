//! `primrosebay get`, `describe`, `apply`, `delete`, `zone`, `key`, `drain` and `watch`.

use std::fmt::Write as _;

use clap::ArgMatches;
use eyre::{WrapErr, bail, ensure, eyre};
use http_types::Method;
use primrosebay_protocol::api::{JobView, Submitted, TaskItem, WorkerItem, WriteResult};
use primrosebay_protocol::code::Code;
use primrosebay_state::Name;
use primrosebay_state::config::{KINDS, Resource, StoredResource, ZoneState};
use primrosebay_state::job::JobSpec;
use serde::Deserialize;
use serde_json::Value;

use super::{jobs, read_input, text};
use crate::client::Client;
use crate::output;

/// Bytes of a new key, from the operating system's random source.
const KEY_BYTES: usize = 24;

/// Returns the kind in paths for the kind that a user typed, such as `team` or `teams`.
fn plural(kind: &str) -> eyre::Result<String> {
    let known = KINDS.iter().copied().chain(["job", "task", "worker"]);
    let singular = kind.strip_suffix('s').unwrap_or(kind);
    for name in known {
        if name == singular {
            return Ok(format!("{name}s"));
        }
    }
    bail!("{kind} is none of keys, queues, teams, zones, jobs, tasks, workers")
}

/// Shows resources.
pub async fn get(matches: &ArgMatches) -> eyre::Result<()> {
    let client = Client::new(matches)?;
    let kind = plural(text(matches, "kind")?)?;
    let name = matches.get_one::<String>("name");
    match kind.as_str() {
        "jobs" => {
            let items: Vec<JobView> = read(&client, &kind, name).await?;
            output::print(matches, &items, &jobs::rows(&items))
        }
        "tasks" => {
            let items: Vec<TaskItem> = read(&client, &kind, name).await?;
            output::print(matches, &items, &task_rows(&items))
        }
        "workers" => {
            let items: Vec<WorkerItem> = read(&client, &kind, name).await?;
            output::print(matches, &items, &worker_rows(&items))
        }
        _ => {
            let items: Vec<StoredResource> = read(&client, &kind, name).await?;
            output::print(matches, &items, &rows(&items)?)
        }
    }
}

async fn read<T: serde::de::DeserializeOwned>(
    client: &Client,
    kind: &str,
    name: Option<&String>,
) -> eyre::Result<Vec<T>> {
    match name {
        Some(name) => {
            let path = format!("/v1/{kind}/{name}");
            Ok(vec![client.json(Method::Get, &path, None).await?])
        }
        None => client.list(&format!("/v1/{kind}")).await,
    }
}

fn header(names: &[&str]) -> Vec<Vec<String>> {
    vec![names.iter().map(|&name| name.to_owned()).collect()]
}

fn rows(items: &[StoredResource]) -> eyre::Result<Vec<Vec<String>>> {
    let mut rows = header(&["KIND", "NAME", "VERSION", "SPEC"]);
    for item in items {
        rows.push(vec![
            item.kind.to_string(),
            item.name.to_string(),
            item.version.to_string(),
            brief(&serde_json::to_value(&item.spec)?),
        ]);
    }
    Ok(rows)
}

/// Writes the fields of a resource on one line.
fn brief(spec: &Value) -> String {
    let mut line = String::new();
    if let Value::Object(fields) = spec {
        for (name, value) in fields.iter().filter(|(name, _)| *name != "kind") {
            let value = value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned);
            let _ = write!(line, "{name}={value} ");
        }
    }
    line.trim_end().to_owned()
}

fn task_rows(items: &[TaskItem]) -> Vec<Vec<String>> {
    let mut rows = header(&["TASK", "TEAM", "ZONE", "STATE", "ATTEMPTS", "WORKER"]);
    rows.extend(items.iter().map(|item| {
        vec![
            item.name.clone(),
            item.team.to_string(),
            item.zone.to_string(),
            format!("{:?}", item.task.state).to_lowercase(),
            item.task.attempts.to_string(),
            item.task
                .worker
                .as_ref()
                .map_or("-".to_owned(), ToString::to_string),
        ]
    }));
    rows
}

fn worker_rows(items: &[WorkerItem]) -> Vec<Vec<String>> {
    let mut rows = header(&[
        "WORKER",
        "ZONE",
        "RACK",
        "CORES",
        "MEMORY_MIB",
        "ACCELERATORS",
        "HELD",
        "USABLE",
        "TASKS",
    ]);
    rows.extend(items.iter().map(|item| {
        vec![
            item.name.to_string(),
            item.zone.to_string(),
            item.rack.to_string(),
            (item.total.cores_milli / 1000).to_string(),
            item.total.memory_mib.to_string(),
            item.total.accelerators.to_string(),
            item.held.to_string(),
            item.usable.to_string(),
            item.tasks.to_string(),
        ]
    }));
    rows
}

/// Shows one resource in full.
pub async fn describe(matches: &ArgMatches) -> eyre::Result<()> {
    let client = Client::new(matches)?;
    let kind = plural(text(matches, "kind")?)?;
    let name = text(matches, "name")?;
    let value: Value = client
        .json(Method::Get, &format!("/v1/{kind}/{name}"), None)
        .await?;
    print!("{}", serde_norway::to_string(&value)?);
    Ok(())
}

/// A document of a file: a resource of operators or a job.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Document {
    Resource(Named),
    Job(JobSpec),
}

#[derive(Debug, Deserialize)]
struct Named {
    name: Name,
    spec: Resource,
}

/// Writes the resources and submits the jobs of a file, in their order.
pub async fn apply(matches: &ArgMatches) -> eyre::Result<()> {
    let client = Client::new(matches)?;
    let input = read_input(text(matches, "file")?)?;
    let mut documents = Vec::new();
    // The whole file is read first, so that a mistake at its end applies nothing.
    for (at, document) in serde_norway::Deserializer::from_str(&input).enumerate() {
        let document = Document::deserialize(document)
            .wrap_err_with(|| format!("document {} is neither a resource nor a job", at + 1))?;
        documents.push(document);
    }
    for document in documents {
        match document {
            Document::Resource(Named { name, spec }) => {
                let written = client.put(&name, &spec).await?;
                report(spec.kind(), &name, &written);
            }
            Document::Job(spec) => {
                let body = serde_json::to_vec(&spec)?;
                let answer: Submitted = client.json(Method::Post, "/v1/jobs", Some(body)).await?;
                println!("job {} {} {}", spec.name, answer.id, answer.code);
            }
        }
    }
    Ok(())
}

fn report(kind: &str, name: &str, written: &WriteResult) {
    let pending = if written.code == Code::CHANGE_PENDING {
        let missing: Vec<&str> = written.missing.iter().map(|zone| &**zone).collect();
        format!(", not yet in force in {}", missing.join(", "))
    } else {
        String::new()
    };
    println!(
        "{kind} {name} version {} {}{pending}",
        written.version, written.code
    );
}

/// Deletes a resource.
pub async fn delete(matches: &ArgMatches) -> eyre::Result<()> {
    let client = Client::new(matches)?;
    let kind = plural(text(matches, "kind")?)?;
    ensure!(
        !["jobs", "tasks", "workers"].contains(&kind.as_str()),
        "{kind} cannot be deleted; jobs are cancelled"
    );
    let name = text(matches, "name")?;
    remove(&client, &kind, name).await
}

async fn remove(client: &Client, kind: &str, name: &str) -> eyre::Result<()> {
    let path = format!("/v1/{kind}/{name}");
    let current = client.find(&path).await?;
    let version = current
        .ok_or_else(|| eyre!("{}: there is no {kind} {name}", Code::NOT_FOUND))?
        .version;
    let path = format!("{path}?version={version}");
    let written: WriteResult = client.json(Method::Delete, &path, None).await?;
    report(kind, name, &written);
    Ok(())
}

/// Takes a zone out of service or in again.
pub async fn zone(matches: &ArgMatches) -> eyre::Result<()> {
    let client = Client::new(matches)?;
    let (action, arguments) = matches
        .subcommand()
        .ok_or_else(|| eyre!("zone out or zone in"))?;
    let state = match action {
        "out" => ZoneState::Out,
        _ => ZoneState::In,
    };
    let name = text(arguments, "zone")?;
    let path = format!("/v1/zones/{name}");
    let current = client
        .find(&path)
        .await?
        .ok_or_else(|| eyre!("{}: there is no zone {name}", Code::NOT_FOUND))?;
    let Resource::Zone { region, .. } = current.spec else {
        bail!("{name} is no zone");
    };
    let spec = Resource::Zone { state, region };
    let written = client.write(&path, current.version, &spec).await?;
    report("zone", name, &written);
    Ok(())
}

/// Grants or withdraws a key.
pub async fn key(matches: &ArgMatches) -> eyre::Result<()> {
    let client = Client::new(matches)?;
    let (action, arguments) = matches
        .subcommand()
        .ok_or_else(|| eyre!("key grant or key withdraw"))?;
    let name = text(arguments, "name")?;
    if action == "withdraw" {
        return remove(&client, "keys", name).await;
    }
    let key: String = (0..KEY_BYTES).fold(String::new(), |mut key, _| {
        let _ = write!(key, "{:02x}", rand::random::<u8>());
        key
    });
    let spec = Resource::Key {
        team: text(arguments, "team")?.into(),
        hash: primrosebay_entry::auth::hash(&key).into(),
    };
    let written = client.write(&format!("/v1/keys/{name}"), 0, &spec).await?;
    report("key", name, &written);
    println!("{key}");
    Ok(())
}

/// Prints the changes of the configuration as they come.
pub async fn watch(matches: &ArgMatches) -> eyre::Result<()> {
    let client = Client::new(matches)?;
    let path = match matches.get_one::<u64>("from") {
        Some(from) => format!("/v1/watch?from={from}"),
        None => "/v1/watch".to_owned(),
    };
    client
        .lines(&path, |line| {
            println!("{line}");
            Ok(())
        })
        .await
}
