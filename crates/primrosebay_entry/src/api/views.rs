//! Handlers that list workers and tasks, and that declare a worker lost.

use primrosebay_coordination::zone::Event;
use primrosebay_protocol::api::{Failure, JobView, TaskItem, WorkerItem};
use primrosebay_protocol::code::Code;

use super::list::ListOptions;
use super::{ApiRequest, json, respond};
use crate::auth;
use crate::shared::Shared;

/// Handles `GET /v1/workers`.
pub(super) async fn workers(request: ApiRequest) -> tide::Result {
    respond(list_workers(&request))
}

fn list_workers(request: &ApiRequest) -> Result<tide::Response, Failure> {
    auth::require_operator(request).map_err(Failure::new)?;
    let filters = [
        ("zone", "/zone"),
        ("rack", "/rack"),
        ("held", "/held"),
        ("usable", "/usable"),
        ("quarantined", "/quarantined"),
    ];
    let options = ListOptions::new(request, &filters)?;
    let workers = all_workers(request.state());
    json(
        200,
        &options.page(workers, |worker| worker.name.to_string())?,
    )
}

/// Handles `GET /v1/workers/{name}`.
pub(super) async fn worker(request: ApiRequest) -> tide::Result {
    respond(find_worker(&request))
}

fn find_worker(request: &ApiRequest) -> Result<tide::Response, Failure> {
    auth::require_operator(request).map_err(Failure::new)?;
    let name = request.param("name").unwrap_or_default();
    let mut workers = all_workers(request.state()).into_iter();
    match workers.find(|worker| &*worker.name == name) {
        Some(worker) => json(200, &worker),
        None => Err(Failure::new(Code::NOT_FOUND)),
    }
}

/// Handles `POST /v1/workers/{name}/lost`, with which an operator asserts that a worker is switched
/// off.
pub(super) async fn report_lost(request: ApiRequest) -> tide::Result {
    respond(declare_lost(&request))
}

fn declare_lost(request: &ApiRequest) -> Result<tide::Response, Failure> {
    auth::require_operator(request).map_err(Failure::new)?;
    let shared = request.state();
    let name = request.param("name").unwrap_or_default();
    let mut workers = all_workers(shared).into_iter();
    let worker = workers.find(|worker| &*worker.name == name);
    let worker = worker.ok_or_else(|| Failure::new(Code::NOT_FOUND))?;
    if let Some(zone) = shared.zone(&worker.zone) {
        zone.handle(Event::WorkerLost(worker.name.clone()));
    }
    json(200, &worker)
}

/// Returns the workers of the zones that this instance coordinates or is a candidate for, sorted by
/// name.
fn all_workers(shared: &Shared) -> Vec<WorkerItem> {
    let now = shared.now();
    let mut items = Vec::new();
    for zone in shared.zones() {
        zone.read(|coordinator| {
            items.extend(coordinator.workers(now).map(|worker| WorkerItem {
                name: worker.name,
                zone: zone.name.clone(),
                rack: worker.rack,
                total: worker.total,
                held: worker.held,
                usable: worker.usable,
                quarantined: worker.quarantined,
                tasks: worker.tasks,
            }));
        });
    }
    items.sort_by(|a, b| a.name.cmp(&b.name));
    items
}

/// Handles `GET /v1/tasks`.
pub(super) async fn tasks(request: ApiRequest) -> tide::Result {
    respond(list_tasks(&request))
}

fn list_tasks(request: &ApiRequest) -> Result<tide::Response, Failure> {
    let team = auth::read_scope(request).map_err(Failure::new)?;
    let filters = [
        ("job", "/job"),
        ("team", "/team"),
        ("zone", "/zone"),
        ("state", "/state"),
        ("worker", "/worker"),
    ];
    let options = ListOptions::new(request, &filters)?;
    let jobs = all_jobs(request.state());
    let jobs = jobs
        .iter()
        .filter(|job| team.as_ref().is_none_or(|team| *team == job.spec.team));
    let mut tasks: Vec<TaskItem> = jobs.flat_map(task_items).collect();
    tasks.sort_by(|a, b| a.name.cmp(&b.name));
    json(200, &options.page(tasks, |task| task.name.clone())?)
}

fn task_items(job: &JobView) -> impl Iterator<Item = TaskItem> {
    job.tasks.iter().map(|task| TaskItem {
        // Padded with zeros, so that tasks sorted by name are in the order of their index.
        name: format!("{}/{:05}", job.id, task.index),
        job: job.id,
        team: job.spec.team.clone(),
        zone: job.zone.clone(),
        task: task.clone(),
    })
}

/// Returns the jobs of the zones that this instance coordinates or is a candidate for, sorted by
/// identifier.
pub(super) fn all_jobs(shared: &Shared) -> Vec<JobView> {
    let zones = shared.zones();
    let jobs = |zone: &std::sync::Arc<crate::zones::Zone>| {
        zone.read(|coordinator| coordinator.jobs().collect::<Vec<_>>())
    };
    let mut items: Vec<JobView> = zones.iter().flat_map(jobs).collect();
    items.sort_by_key(|job| job.id);
    items
}
