//! Prints what a development cell has done, from what its workers saw.

use primrosebay_protocol::api::TaskState;
use primrosebay_standin::worker::{AttemptRecord, Status, unix_ms};
use primrosebay_state::id::{JobId, TaskId};
use primrosebay_state::job::{Policy, Repeat};
use primrosebay_state::record::Outcome as Ended;

use super::cell::Cell;
use super::load::{Job, Outcome};
use super::plan::Plan;

/// Prints the summary.
pub fn print(plan: &Plan, cell: &Cell, outcome: &Outcome) {
    let statuses = cell.statuses();
    let mut starts: Vec<&AttemptRecord> = statuses.iter().flat_map(|s| s.history.iter()).collect();
    starts.sort_by_key(|s| (s.attempt.task, s.at));
    print_jobs(plan, outcome, &starts);
    print_packing(plan, outcome, &statuses, &starts);
    print_requests(plan, outcome);
    print_checks(outcome, &starts);
}

fn print_jobs(plan: &Plan, outcome: &Outcome, starts: &[&AttemptRecord]) {
    println!(
        "\nall jobs ended after {:.1} s",
        outcome.elapsed.as_secs_f64()
    );
    println!(
        "{:<12} {:<10} {:>6} {:>7} {:>9} {:>12} {:>12}",
        "job", "policy", "jobs", "done", "other", "wait p50 ms", "wait p99 ms"
    );
    for (entry, jobs) in plan.jobs.iter().enumerate() {
        let mine: Vec<&Job> = outcome.jobs.iter().filter(|j| j.entry == entry).collect();
        let done = mine.iter().filter(|job| is_done(job)).count();
        let mut waits: Vec<u64> = mine.iter().flat_map(|job| waits(job, starts)).collect();
        waits.sort_unstable();
        println!(
            "{:<12} {:<10} {:>6} {:>7} {:>9} {:>12} {:>12}",
            jobs.spec.name,
            format!("{:?}", jobs.spec.policy).to_lowercase(),
            mine.len(),
            done,
            mine.len() - done,
            quantile(&waits, 50),
            quantile(&waits, 99),
        );
    }
}

/// Returns whether the job has reached what its policy asks for.
fn is_done(job: &Job) -> bool {
    match job.view.spec.policy {
        Policy::Service => {
            let mut states = job.view.tasks.iter().map(|t| t.state);
            states.all(|state| state == TaskState::Running)
        }
        Policy::Batch | Policy::Gang => job.view.outcome == Some(Ended::Done),
    }
}

/// Returns the milliseconds from the submission of a job to the first start of each task.
fn waits<'a>(job: &'a Job, starts: &'a [&AttemptRecord]) -> impl Iterator<Item = u64> + 'a {
    job.view.tasks.iter().filter_map(move |task| {
        let id = TaskId {
            job: job.view.id,
            index: task.index,
        };
        let first = starts.partition_point(|s| s.attempt.task < id);
        let start = starts.get(first).filter(|s| s.attempt.task == id)?;
        Some(start.at.saturating_sub(job.submitted))
    })
}

fn quantile(sorted: &[u64], percent: usize) -> String {
    let at = (sorted.len() * percent).div_ceil(100);
    sorted
        .get(at.saturating_sub(1))
        .map_or("-".to_owned(), u64::to_string)
}

/// Prints the part of the cores that tasks held from the first start to the end of the jobs, and
/// what each team got of it.
#[expect(
    clippy::cast_precision_loss,
    reason = "figures are shown with three digits"
)]
fn print_packing(plan: &Plan, outcome: &Outcome, statuses: &[Status], starts: &[&AttemptRecord]) {
    let span = outcome.elapsed.as_millis() as f64;
    let cores: u64 = statuses.iter().map(|s| s.total.cores_milli).sum();
    let held = |team: &str| -> f64 {
        starts
            .iter()
            .filter(|start| &*start.team == team)
            .map(|start| core_ms(start))
            .sum()
    };
    let total: f64 = plan.teams.iter().map(|team| held(&team.name)).sum();
    println!(
        "\ncores held by tasks: {:.1}% over the whole run",
        100.0 * total / (cores as f64 * span)
    );
    for team in &plan.teams {
        println!(
            "  {:<12} {:>5.1}% of what was held, share {}",
            team.name,
            100.0 * held(&team.name) / total.max(1.0),
            team.share
        );
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "figures are shown with three digits"
)]
fn core_ms(start: &AttemptRecord) -> f64 {
    let ran = start.ended.unwrap_or_else(unix_ms).saturating_sub(start.at);
    (start.resources.cores_milli * ran) as f64
}

fn print_requests(plan: &Plan, outcome: &Outcome) {
    println!();
    for (requests, answers) in plan.requests.iter().zip(&outcome.requests) {
        println!(
            "requests of {:<12} {} done, p50 {} µs, p99 {} µs",
            requests.account,
            answers.done,
            answers.latency.value_at_quantile(0.5),
            answers.latency.value_at_quantile(0.99)
        );
        for (message, count) in &answers.failed {
            println!("  {count} failed: {message}");
        }
    }
}

fn print_checks(outcome: &Outcome, starts: &[&AttemptRecord]) {
    let overlaps = starts
        .windows(2)
        .filter(|pair| pair[0].attempt.task == pair[1].attempt.task)
        .filter(|pair| pair[0].ended.is_none_or(|end| end > pair[1].at))
        .count();
    let repeated = starts
        .windows(2)
        .filter(|pair| pair[0].attempt.task == pair[1].attempt.task)
        .filter(|pair| is_once(outcome, pair[0].attempt.task.job))
        .count();
    println!("\ntasks in two places at once: {overlaps}");
    println!("second runs of tasks that may run once: {repeated}");
}

fn is_once(outcome: &Outcome, id: JobId) -> bool {
    outcome
        .jobs
        .iter()
        .any(|job| job.view.id == id && job.view.spec.repeat == Repeat::Once)
}
