//! Sets up the teams of a plan, submits its jobs and sends its requests.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::task;
use eyre::{WrapErr, bail};
use hdrhistogram::Histogram;
use http_types::Method;
use primrosebay_protocol::api::{JobView, Submitted};
use primrosebay_standin::worker::unix_ms;
use primrosebay_state::config::{Resource, ZoneState};
use primrosebay_state::job::Policy;

use super::cell::{Cell, OPERATOR_KEY};
use super::plan::{Jobs, Plan, Requests};
use crate::client::Client;

/// How often jobs are looked at while they run.
const POLL: Duration = Duration::from_millis(200);
/// Longest time that the jobs of a plan may take.
const PATIENCE: Duration = Duration::from_mins(5);
/// Jobs submitted at the same time.
const SUBMITTERS: usize = 8;

/// What became of the workload.
#[derive(Debug)]
pub struct Outcome {
    /// The jobs at the end, by identifier.
    pub jobs: Vec<Job>,
    /// Time from the first submission to the end of the last job that ends by itself.
    pub elapsed: Duration,
    /// The answers to requests.
    pub requests: Vec<Answers>,
}

/// A job of the workload.
#[derive(Debug)]
pub struct Job {
    /// Its entry in the plan.
    pub entry: usize,
    /// When it was submitted, in milliseconds of Unix time.
    pub submitted: u64,
    /// The job at the end.
    pub view: JobView,
}

/// The answers to the requests of one account.
#[derive(Debug)]
pub struct Answers {
    /// Successful answers.
    pub done: u64,
    /// Refusals and failures, by message.
    pub failed: Vec<(String, u64)>,
    /// Time from the call to the whole answer, in microseconds.
    pub latency: Histogram<u64>,
}

/// Runs the workload and waits for the jobs that end by themselves.
pub async fn run(plan: &Plan, cell: &Cell) -> eyre::Result<Outcome> {
    let entries = cell.entries();
    set_up(plan, entries[0]).await?;
    let senders: Vec<_> = plan
        .requests
        .iter()
        .enumerate()
        .map(|(i, requests)| {
            let client = Client::with_key(entries[i % entries.len()], plan.key(&requests.team)?);
            Ok(task::spawn(send(client, Load::of(requests))))
        })
        .collect::<eyre::Result<_>>()?;
    let begin = Instant::now();
    let submitted = submit_all(plan, &entries).await?;
    let jobs = wait_all(plan, &submitted, begin).await?;
    let elapsed = begin.elapsed();
    let mut requests = Vec::new();
    for sender in senders {
        requests.push(sender.await);
    }
    Ok(Outcome {
        jobs,
        elapsed,
        requests,
    })
}

async fn set_up(plan: &Plan, entry: SocketAddr) -> eyre::Result<()> {
    let operator = Client::with_key(entry, OPERATOR_KEY);
    for zone in &plan.zones {
        let spec = Resource::Zone {
            state: ZoneState::In,
            region: plan.region.clone(),
        };
        operator.put(zone, &spec).await?;
    }
    for team in &plan.teams {
        let spec = Resource::Team {
            share: team.share,
            limit: team.limit,
        };
        operator.put(&team.name, &spec).await?;
        let spec = Resource::Key {
            team: team.name.clone(),
            hash: primrosebay_entry::auth::hash(&team.key).into(),
        };
        operator.put(&team.name, &spec).await?;
    }
    Ok(())
}

/// A submitted job.
#[derive(Debug)]
struct Handle {
    /// Its entry in the plan.
    entry: usize,
    /// The instance that took it.
    address: SocketAddr,
    /// When it was submitted, in milliseconds of Unix time.
    submitted: u64,
    /// The answer.
    answer: Submitted,
}

async fn submit_all(plan: &Plan, entries: &[SocketAddr]) -> eyre::Result<Vec<Handle>> {
    let mut handles = Vec::new();
    let mut tasks = Vec::new();
    let mut turn = 0;
    for (entry, jobs) in plan.jobs.iter().enumerate() {
        for number in 0..jobs.count {
            let address = entries[turn % entries.len()];
            turn += 1;
            let client = Client::with_key(address, plan.key(&jobs.team)?);
            let body = job_body(jobs, number)?;
            tasks.push(task::spawn(async move {
                let submitted = unix_ms();
                let answer = client.json(Method::Post, "/v1/jobs", Some(body)).await?;
                Ok::<_, eyre::Report>(Handle {
                    entry,
                    address,
                    submitted,
                    answer,
                })
            }));
            if tasks.len() == SUBMITTERS {
                for task in tasks.drain(..) {
                    handles.push(task.await?);
                }
            }
        }
    }
    for task in tasks {
        handles.push(task.await?);
    }
    Ok(handles)
}

fn job_body(jobs: &Jobs, number: usize) -> eyre::Result<Vec<u8>> {
    let mut spec = jobs.spec.clone();
    spec.name = format!("{}-{number:04}", spec.name).into();
    serde_json::to_vec(&spec).wrap_err("cannot encode a job")
}

async fn wait_all(plan: &Plan, handles: &[Handle], begin: Instant) -> eyre::Result<Vec<Job>> {
    loop {
        let jobs = read_all(plan, handles).await?;
        let open = jobs
            .iter()
            .filter(|job| job.view.spec.policy != Policy::Service && job.view.outcome.is_none())
            .count();
        if open == 0 && jobs.len() == handles.len() {
            return Ok(jobs);
        }
        if begin.elapsed() > PATIENCE {
            bail!("{open} jobs have not ended within {} s", PATIENCE.as_secs());
        }
        task::sleep(POLL).await;
    }
}

async fn read_all(plan: &Plan, handles: &[Handle]) -> eyre::Result<Vec<Job>> {
    let mut entries: Vec<SocketAddr> = handles.iter().map(|h| h.address).collect();
    entries.sort();
    entries.dedup();
    let mut jobs = Vec::new();
    for team in &plan.teams {
        for &entry in &entries {
            let client = Client::with_key(entry, &team.key);
            jobs.extend(client.list::<JobView>("/v1/jobs").await?);
        }
    }
    jobs.sort_by_key(|job| job.id);
    jobs.dedup_by_key(|job| job.id);
    Ok(handles
        .iter()
        .filter_map(|handle| {
            let i = jobs
                .binary_search_by_key(&handle.answer.id, |job| job.id)
                .ok()?;
            Some(Job {
                entry: handle.entry,
                submitted: handle.submitted,
                view: jobs[i].clone(),
            })
        })
        .collect())
}

/// The requests of one account.
#[derive(Debug)]
struct Load {
    path: String,
    account: String,
    repeat: String,
    count: usize,
    period: Duration,
}

impl Load {
    fn of(requests: &Requests) -> Self {
        Self {
            path: format!("/v1/services/{}/requests", requests.service),
            account: requests.account.to_string(),
            repeat: requests.repeat.to_string(),
            count: requests.count,
            period: Duration::from_secs(1) / u32::try_from(requests.rate.max(1)).unwrap_or(1),
        }
    }
}

/// Sends requests at a fixed rate, whether or not earlier ones have been answered.
async fn send(client: Client, load: Load) -> Answers {
    let client = std::sync::Arc::new(client);
    let load = std::sync::Arc::new(load);
    let begin = Instant::now();
    let mut calls = Vec::new();
    for i in 0..load.count {
        let due = load.period * u32::try_from(i).unwrap_or(u32::MAX);
        task::sleep(due.saturating_sub(begin.elapsed())).await;
        let (client, load) = (client.clone(), load.clone());
        calls.push(task::spawn(async move {
            let sent = Instant::now();
            let headers = [
                ("x-account", load.account.as_str()),
                ("x-repeat", load.repeat.as_str()),
                ("x-deadline-ms", "5000"),
            ];
            let body = format!("request {i}").into_bytes();
            let answer = client
                .bytes(Method::Post, &load.path, &headers, Some(body))
                .await;
            (answer.map(|_| ()), sent.elapsed())
        }));
    }
    let mut answers = Answers {
        done: 0,
        failed: Vec::new(),
        latency: Histogram::new(3).unwrap_or_else(|_| unreachable!("3 digits are valid")),
    };
    for call in calls {
        let (answer, took) = call.await;
        answers.add(answer, took);
    }
    answers
}

impl Answers {
    fn add(&mut self, answer: eyre::Result<()>, took: Duration) {
        match answer {
            Ok(()) => {
                self.done += 1;
                let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
                self.latency.record(micros).ok();
            }
            Err(e) => {
                let message = e.to_string();
                match self.failed.iter_mut().find(|f| f.0 == message) {
                    Some(entry) => entry.1 += 1,
                    None => self.failed.push((message, 1)),
                }
            }
        }
    }
}
