//! The summary of a workload on a development cell. The runs of tasks come from the histories of
//! the workers.

use primrosebay_protocol::api::TaskState;
use primrosebay_standin::worker::{AttemptRecord, Status, unix_ms};
use primrosebay_state::id::{JobId, TaskId};
use primrosebay_state::job::{Policy, Repeat};
use primrosebay_state::record::Outcome as JobOutcome;

use super::cell::Cell;
use super::load::{JobResult, Results};
use super::plan::Plan;

/// Prints the jobs, the core usage, the requests and the violated invariants.
pub fn print(plan: &Plan, cell: &Cell, results: &Results) {
    let statuses = cell.worker_statuses();
    let mut runs: Vec<&AttemptRecord> = statuses.iter().flat_map(|s| s.history.iter()).collect();
    runs.sort_by_key(|r| (r.attempt.task, r.at));
    print_jobs(plan, results, &runs);
    print_core_usage(plan, results, &statuses, &runs);
    print_requests(plan, results);
    print_violations(results, &runs);
}

fn print_jobs(plan: &Plan, results: &Results, runs: &[&AttemptRecord]) {
    println!(
        "\nall jobs ended after {:.1} s",
        results.elapsed.as_secs_f64()
    );
    println!(
        "{:<12} {:<10} {:>6} {:>7} {:>9} {:>12} {:>12}",
        "job", "policy", "jobs", "done", "other", "wait p50 ms", "wait p99 ms"
    );
    for (plan_index, jobs) in plan.jobs.iter().enumerate() {
        let job_results: Vec<&JobResult> = results
            .jobs
            .iter()
            .filter(|job| job.plan_index == plan_index)
            .collect();
        let done = job_results.iter().filter(|job| is_done(job)).count();
        let mut delays: Vec<u64> = job_results
            .iter()
            .flat_map(|job| start_delays(job, runs))
            .collect();
        delays.sort_unstable();
        println!(
            "{:<12} {:<10} {:>6} {:>7} {:>9} {:>12} {:>12}",
            jobs.spec.name,
            format!("{:?}", jobs.spec.policy).to_lowercase(),
            job_results.len(),
            done,
            job_results.len() - done,
            percentile(&delays, 50),
            percentile(&delays, 99),
        );
    }
}

/// Returns whether all tasks of a service run, or whether a batch or gang job has succeeded.
fn is_done(job: &JobResult) -> bool {
    match job.view.spec.policy {
        Policy::Service => {
            let mut states = job.view.tasks.iter().map(|t| t.state);
            states.all(|state| state == TaskState::Running)
        }
        Policy::Batch | Policy::Gang => job.view.outcome == Some(JobOutcome::Done),
    }
}

/// Returns the time in milliseconds from the submission of a job to the first start of each task.
/// Tasks that never started are left out.
fn start_delays<'a>(
    job: &'a JobResult,
    runs: &'a [&AttemptRecord],
) -> impl Iterator<Item = u64> + 'a {
    job.view.tasks.iter().filter_map(move |task| {
        let id = TaskId {
            job: job.view.id,
            index: task.index,
        };
        let first = runs.partition_point(|r| r.attempt.task < id);
        let run = runs.get(first).filter(|r| r.attempt.task == id)?;
        Some(run.at.saturating_sub(job.submitted_ms))
    })
}

/// Formats the given percentile of `sorted`, or `-` if `sorted` is empty.
fn percentile(sorted: &[u64], percent: usize) -> String {
    let rank = (sorted.len() * percent).div_ceil(100);
    sorted
        .get(rank.saturating_sub(1))
        .map_or("-".to_owned(), u64::to_string)
}

/// Prints the core time of all runs as a percentage of the core time of all workers from the first
/// submission to the end of the jobs, and the part of each team in the core time of all runs.
#[expect(
    clippy::cast_precision_loss,
    reason = "figures are shown with three digits"
)]
fn print_core_usage(plan: &Plan, results: &Results, statuses: &[Status], runs: &[&AttemptRecord]) {
    let elapsed_ms = results.elapsed.as_millis() as f64;
    let cores_milli: u64 = statuses.iter().map(|s| s.total.cores_milli).sum();
    let team_core_ms = |team: &str| -> f64 {
        runs.iter()
            .filter(|run| &*run.team == team)
            .map(|run| core_ms(run))
            .sum()
    };
    let total_core_ms: f64 = plan.teams.iter().map(|team| team_core_ms(&team.name)).sum();
    println!(
        "\ncores used by tasks: {:.1}% over the whole run",
        100.0 * total_core_ms / (cores_milli as f64 * elapsed_ms)
    );
    for team in &plan.teams {
        println!(
            "  {:<12} {:>5.1}% of the used cores, share {}",
            team.name,
            100.0 * team_core_ms(&team.name) / total_core_ms.max(1.0),
            team.share
        );
    }
}

/// Returns the core time of a run until its end or until now, in thousandths of a core times
/// milliseconds.
#[expect(
    clippy::cast_precision_loss,
    reason = "figures are shown with three digits"
)]
fn core_ms(run: &AttemptRecord) -> f64 {
    let run_ms = run.ended.unwrap_or_else(unix_ms).saturating_sub(run.at);
    (run.resources.cores_milli * run_ms) as f64
}

fn print_requests(plan: &Plan, results: &Results) {
    println!();
    for (requests, request_results) in plan.requests.iter().zip(&results.requests) {
        println!(
            "requests of {:<12} {} done, p50 {} µs, p99 {} µs",
            requests.account,
            request_results.done,
            request_results.latency.value_at_quantile(0.5),
            request_results.latency.value_at_quantile(0.99)
        );
        for (message, count) in &request_results.failed {
            println!("  {count} failed: {message}");
        }
    }
}

/// Prints the number of violations of two invariants: a task has at most one run at a time, and a
/// task that may run once has only one run.
fn print_violations(results: &Results, runs: &[&AttemptRecord]) {
    let overlapping = runs
        .windows(2)
        .filter(|pair| pair[0].attempt.task == pair[1].attempt.task)
        .filter(|pair| pair[0].ended.is_none_or(|end| end > pair[1].at))
        .count();
    let repeated = runs
        .windows(2)
        .filter(|pair| pair[0].attempt.task == pair[1].attempt.task)
        .filter(|pair| is_once(results, pair[0].attempt.task.job))
        .count();
    println!("\noverlapping runs of a task: {overlapping}");
    println!("repeated runs of tasks that may run once: {repeated}");
}

/// Returns whether the tasks of a job may run only once.
fn is_once(results: &Results, id: JobId) -> bool {
    results
        .jobs
        .iter()
        .any(|job| job.view.id == id && job.view.spec.repeat == Repeat::Once)
}
