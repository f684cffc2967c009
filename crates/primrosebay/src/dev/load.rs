//! Runs the workload of a plan: creates its zones and teams, submits its jobs and sends its
//! requests.

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

/// Interval at which the states of the jobs are read.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time from the first submission to the end of the last job.
const JOBS_TIMEOUT: Duration = Duration::from_mins(5);
/// Maximum number of jobs that are submitted concurrently.
const CONCURRENT_SUBMISSIONS: usize = 8;

/// Results of a workload.
#[derive(Debug)]
pub struct Results {
    /// Submitted jobs in the order of the plan.
    pub jobs: Vec<JobResult>,
    /// Time from the first submission to the end of the last job that is not a service.
    pub elapsed: Duration,
    /// Results of the requests, in the order of [`Plan::requests`].
    pub requests: Vec<RequestResults>,
}

/// A job after the end of the workload.
#[derive(Debug)]
pub struct JobResult {
    /// Index in [`Plan::jobs`].
    pub plan_index: usize,
    /// Time of the submission, in milliseconds of Unix time.
    pub submitted_ms: u64,
    /// State of the job as the API shows it.
    pub view: JobView,
}

/// Results of one element of [`Plan::requests`].
#[derive(Debug)]
pub struct RequestResults {
    /// Number of successful responses.
    pub done: u64,
    /// Number of failed requests for each error message.
    pub failed: Vec<(String, u64)>,
    /// Times from sending a request to the end of a successful response, in microseconds.
    pub latency: Histogram<u64>,
}

/// Runs the workload of `plan` on `cell` and waits for all requests and for the jobs that are not
/// services.
pub async fn run(plan: &Plan, cell: &Cell) -> eyre::Result<Results> {
    let addresses = cell.entry_addresses();
    create_resources(plan, addresses[0]).await?;
    let senders: Vec<_> = plan
        .requests
        .iter()
        .enumerate()
        .map(|(i, requests)| {
            let client =
                Client::with_key(addresses[i % addresses.len()], plan.key(&requests.team)?);
            Ok(task::spawn(send_requests(client, Load::new(requests))))
        })
        .collect::<eyre::Result<_>>()?;
    let started_at = Instant::now();
    let submitted = submit_jobs(plan, &addresses).await?;
    let jobs = wait_for_jobs(plan, &submitted, started_at).await?;
    let elapsed = started_at.elapsed();
    let mut requests = Vec::new();
    for sender in senders {
        requests.push(sender.await);
    }
    Ok(Results {
        jobs,
        elapsed,
        requests,
    })
}

/// Creates the zones, the teams and their keys.
async fn create_resources(plan: &Plan, address: SocketAddr) -> eyre::Result<()> {
    let operator = Client::with_key(address, OPERATOR_KEY);
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

/// A job that an entry instance has accepted.
#[derive(Debug)]
struct SubmittedJob {
    /// Index in [`Plan::jobs`].
    plan_index: usize,
    /// Address of the entry instance that accepted the job.
    address: SocketAddr,
    /// Time of the submission, in milliseconds of Unix time.
    submitted_ms: u64,
    /// Response to the submission.
    response: Submitted,
}

/// Submits all jobs, to the entry instances in turn.
async fn submit_jobs(plan: &Plan, addresses: &[SocketAddr]) -> eyre::Result<Vec<SubmittedJob>> {
    let mut submitted = Vec::new();
    let mut tasks = Vec::new();
    let mut next = 0;
    for (plan_index, jobs) in plan.jobs.iter().enumerate() {
        for number in 0..jobs.count {
            let address = addresses[next % addresses.len()];
            next += 1;
            let client = Client::with_key(address, plan.key(&jobs.team)?);
            let body = job_body(jobs, number)?;
            tasks.push(task::spawn(async move {
                let submitted_ms = unix_ms();
                let response = client.json(Method::Post, "/v1/jobs", Some(body)).await?;
                Ok::<_, eyre::Report>(SubmittedJob {
                    plan_index,
                    address,
                    submitted_ms,
                    response,
                })
            }));
            if tasks.len() == CONCURRENT_SUBMISSIONS {
                for task in tasks.drain(..) {
                    submitted.push(task.await?);
                }
            }
        }
    }
    for task in tasks {
        submitted.push(task.await?);
    }
    Ok(submitted)
}

/// Encodes job number `number` of `jobs`. The number is appended to the name of the job.
fn job_body(jobs: &Jobs, number: usize) -> eyre::Result<Vec<u8>> {
    let mut spec = jobs.spec.clone();
    spec.name = format!("{}-{number:04}", spec.name).into();
    serde_json::to_vec(&spec).wrap_err("cannot encode a job")
}

/// Waits until all jobs that are not services have ended and returns the state of each job. Fails
/// after [`JOBS_TIMEOUT`].
async fn wait_for_jobs(
    plan: &Plan,
    submitted: &[SubmittedJob],
    started_at: Instant,
) -> eyre::Result<Vec<JobResult>> {
    loop {
        let jobs = read_jobs(plan, submitted).await?;
        let unfinished = jobs
            .iter()
            .filter(|job| job.view.spec.policy != Policy::Service && job.view.outcome.is_none())
            .count();
        if unfinished == 0 && jobs.len() == submitted.len() {
            return Ok(jobs);
        }
        if started_at.elapsed() > JOBS_TIMEOUT {
            bail!(
                "{unfinished} jobs have not ended within {} s",
                JOBS_TIMEOUT.as_secs()
            );
        }
        task::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the submitted jobs that the entry instances list, with their current states.
async fn read_jobs(plan: &Plan, submitted: &[SubmittedJob]) -> eyre::Result<Vec<JobResult>> {
    let mut addresses: Vec<SocketAddr> = submitted.iter().map(|job| job.address).collect();
    addresses.sort();
    addresses.dedup();
    let mut views = Vec::new();
    for team in &plan.teams {
        for &address in &addresses {
            let client = Client::with_key(address, &team.key);
            views.extend(client.list::<JobView>("/v1/jobs").await?);
        }
    }
    views.sort_by_key(|view| view.id);
    views.dedup_by_key(|view| view.id);
    Ok(submitted
        .iter()
        .filter_map(|job| {
            let i = views
                .binary_search_by_key(&job.response.id, |view| view.id)
                .ok()?;
            Some(JobResult {
                plan_index: job.plan_index,
                submitted_ms: job.submitted_ms,
                view: views[i].clone(),
            })
        })
        .collect())
}

/// Load that one element of [`Plan::requests`] describes.
#[derive(Debug)]
struct Load {
    path: String,
    account: String,
    repeat: String,
    /// Number of requests.
    count: usize,
    /// Interval between the starts of two requests.
    interval: Duration,
}

impl Load {
    fn new(requests: &Requests) -> Self {
        Self {
            path: format!("/v1/services/{}/requests", requests.service),
            account: requests.account.to_string(),
            repeat: requests.repeat.to_string(),
            count: requests.count,
            interval: Duration::from_secs(1) / u32::try_from(requests.rate.max(1)).unwrap_or(1),
        }
    }
}

/// Sends requests at a fixed rate without waiting for the responses to earlier requests.
async fn send_requests(client: Client, load: Load) -> RequestResults {
    let client = std::sync::Arc::new(client);
    let load = std::sync::Arc::new(load);
    let started_at = Instant::now();
    let mut calls = Vec::new();
    for i in 0..load.count {
        let due = load.interval * u32::try_from(i).unwrap_or(u32::MAX);
        task::sleep(due.saturating_sub(started_at.elapsed())).await;
        let (client, load) = (client.clone(), load.clone());
        calls.push(task::spawn(async move {
            let sent_at = Instant::now();
            let headers = [
                ("x-account", load.account.as_str()),
                ("x-repeat", load.repeat.as_str()),
                ("x-deadline-ms", "5000"),
            ];
            let body = format!("request {i}").into_bytes();
            let response = client
                .bytes(Method::Post, &load.path, &headers, Some(body))
                .await;
            (response.map(|_| ()), sent_at.elapsed())
        }));
    }
    let mut results = RequestResults {
        done: 0,
        failed: Vec::new(),
        latency: Histogram::new(3).unwrap_or_else(|_| unreachable!("3 digits are valid")),
    };
    for call in calls {
        let (result, elapsed) = call.await;
        results.add(result, elapsed);
    }
    results
}

impl RequestResults {
    /// Adds the result of a request that took `elapsed`.
    fn add(&mut self, result: eyre::Result<()>, elapsed: Duration) {
        match result {
            Ok(()) => {
                self.done += 1;
                let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
                self.latency.record(micros).ok();
            }
            Err(e) => {
                let message = e.to_string();
                match self.failed.iter_mut().find(|failure| failure.0 == message) {
                    Some(failure) => failure.1 += 1,
                    None => self.failed.push((message, 1)),
                }
            }
        }
    }
}
