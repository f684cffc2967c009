//! `primrosebay get`, `describe`, `apply`, `delete`, `zone`, `key` and `watch`.

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

use super::{jobs, read_input, required_arg};
use crate::client::Client;
use crate::output;

/// Number of random bytes in a new key. The generator is seeded by the operating system.
const KEY_BYTES: usize = 24;

/// Returns the plural of a kind for use in paths. Accepts the singular and the plural, such as
/// `team` and `teams`.
fn plural_kind(kind: &str) -> eyre::Result<String> {
    let known_kinds = KINDS.iter().copied().chain(["job", "task", "worker"]);
    let singular = kind.strip_suffix('s').unwrap_or(kind);
    for known_kind in known_kinds {
        if known_kind == singular {
            return Ok(format!("{known_kind}s"));
        }
    }
    bail!("unknown kind {kind}; expected keys, queues, teams, zones, jobs, tasks or workers")
}

/// Prints the resources of a kind, or the one with the given name.
pub async fn get(matches: &ArgMatches) -> eyre::Result<()> {
    let client = Client::new(matches)?;
    let kind = plural_kind(required_arg(matches, "kind")?)?;
    let name = matches.get_one::<String>("name");
    match kind.as_str() {
        "jobs" => {
            let items: Vec<JobView> = read_items(&client, &kind, name).await?;
            output::print(matches, &items, &jobs::rows(&items))
        }
        "tasks" => {
            let items: Vec<TaskItem> = read_items(&client, &kind, name).await?;
            output::print(matches, &items, &task_rows(&items))
        }
        "workers" => {
            let items: Vec<WorkerItem> = read_items(&client, &kind, name).await?;
            output::print(matches, &items, &worker_rows(&items))
        }
        _ => {
            let items: Vec<StoredResource> = read_items(&client, &kind, name).await?;
            output::print(matches, &items, &resource_rows(&items)?)
        }
    }
}

/// Returns the item with the given name, or all items of a kind if there is no name.
async fn read_items<T: serde::de::DeserializeOwned>(
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

fn header(columns: &[&str]) -> Vec<Vec<String>> {
    vec![columns.iter().map(|&column| column.to_owned()).collect()]
}

fn resource_rows(items: &[StoredResource]) -> eyre::Result<Vec<Vec<String>>> {
    let mut rows = header(&["KIND", "NAME", "VERSION", "SPEC"]);
    for item in items {
        rows.push(vec![
            item.kind.to_string(),
            item.name.to_string(),
            item.version.to_string(),
            format_spec(&serde_json::to_value(&item.spec)?),
        ]);
    }
    Ok(rows)
}

/// Formats the fields of a resource as one line of `name=value` pairs without its kind.
fn format_spec(spec: &Value) -> String {
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

/// Prints all fields of one resource as YAML.
pub async fn describe(matches: &ArgMatches) -> eyre::Result<()> {
    let client = Client::new(matches)?;
    let kind = plural_kind(required_arg(matches, "kind")?)?;
    let name = required_arg(matches, "name")?;
    let value: Value = client
        .json(Method::Get, &format!("/v1/{kind}/{name}"), None)
        .await?;
    print!("{}", serde_norway::to_string(&value)?);
    Ok(())
}

/// A document of a file for `apply`: a resource or a job.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Document {
    Resource(NamedResource),
    Job(JobSpec),
}

/// A resource with its name.
#[derive(Debug, Deserialize)]
struct NamedResource {
    name: Name,
    spec: Resource,
}

/// Creates or replaces the resources and submits the jobs of a file, in their order.
pub async fn apply(matches: &ArgMatches) -> eyre::Result<()> {
    let client = Client::new(matches)?;
    let input = read_input(required_arg(matches, "file")?)?;
    let mut documents = Vec::new();
    // Decodes the whole file first, so that nothing is applied if a later document is invalid.
    for (index, document) in serde_norway::Deserializer::from_str(&input).enumerate() {
        let document = Document::deserialize(document)
            .wrap_err_with(|| format!("document {} is neither a resource nor a job", index + 1))?;
        documents.push(document);
    }
    for document in documents {
        match document {
            Document::Resource(NamedResource { name, spec }) => {
                let written = client.put(&name, &spec).await?;
                print_written(spec.kind(), &name, &written);
            }
            Document::Job(spec) => {
                let body = serde_json::to_vec(&spec)?;
                let submitted: Submitted =
                    client.json(Method::Post, "/v1/jobs", Some(body)).await?;
                println!("job {} {} {}", spec.name, submitted.id, submitted.code);
            }
        }
    }
    Ok(())
}

/// Prints the new version of a resource, its result code and the zones in which the change is
/// pending.
fn print_written(kind: &str, name: &str, written: &WriteResult) {
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

/// Deletes a key, queue, team or zone.
pub async fn delete(matches: &ArgMatches) -> eyre::Result<()> {
    let client = Client::new(matches)?;
    let kind = plural_kind(required_arg(matches, "kind")?)?;
    ensure!(
        !["jobs", "tasks", "workers"].contains(&kind.as_str()),
        "{kind} cannot be deleted; use `cancel` for jobs"
    );
    let name = required_arg(matches, "name")?;
    delete_resource(&client, &kind, name).await
}

/// Deletes the current version of a resource. Fails if it does not exist or changes before the
/// deletion.
async fn delete_resource(client: &Client, kind: &str, name: &str) -> eyre::Result<()> {
    let path = format!("/v1/{kind}/{name}");
    let current = client.find(&path).await?;
    let version = current
        .ok_or_else(|| eyre!("{}: {kind}/{name} does not exist", Code::NOT_FOUND))?
        .version;
    let path = format!("{path}?version={version}");
    let written: WriteResult = client.json(Method::Delete, &path, None).await?;
    print_written(kind, name, &written);
    Ok(())
}

/// Takes a zone out of service or returns it to service.
pub async fn zone(matches: &ArgMatches) -> eyre::Result<()> {
    let client = Client::new(matches)?;
    let (action, subcommand_matches) = matches
        .subcommand()
        .ok_or_else(|| eyre!("expected `zone out` or `zone in`"))?;
    let state = match action {
        "out" => ZoneState::Out,
        _ => ZoneState::In,
    };
    let name = required_arg(subcommand_matches, "zone")?;
    let path = format!("/v1/zones/{name}");
    let current = client
        .find(&path)
        .await?
        .ok_or_else(|| eyre!("{}: zone {name} does not exist", Code::NOT_FOUND))?;
    let Resource::Zone { region, .. } = current.spec else {
        bail!("{name} is not a zone");
    };
    let spec = Resource::Zone { state, region };
    let written = client.write(&path, current.version, &spec).await?;
    print_written("zone", name, &written);
    Ok(())
}

/// Creates a key and prints it, or deletes a key. Only the hash of a key is stored.
pub async fn key(matches: &ArgMatches) -> eyre::Result<()> {
    let client = Client::new(matches)?;
    let (action, subcommand_matches) = matches
        .subcommand()
        .ok_or_else(|| eyre!("expected `key grant` or `key withdraw`"))?;
    let name = required_arg(subcommand_matches, "name")?;
    if action == "withdraw" {
        return delete_resource(&client, "keys", name).await;
    }
    let key: String = (0..KEY_BYTES).fold(String::new(), |mut key, _| {
        let _ = write!(key, "{:02x}", rand::random::<u8>());
        key
    });
    let spec = Resource::Key {
        team: required_arg(subcommand_matches, "team")?.into(),
        hash: primrosebay_entry::auth::hash(&key).into(),
    };
    let written = client.write(&format!("/v1/keys/{name}"), 0, &spec).await?;
    print_written("key", name, &written);
    println!("{key}");
    Ok(())
}

/// Prints configuration changes as they occur.
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
