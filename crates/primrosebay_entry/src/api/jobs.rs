//! Handlers that submit, read, list and cancel jobs.

use std::time::Duration;

use primrosebay_protocol::api::{Failure, JobView};
use primrosebay_protocol::code::Code;
use primrosebay_protocol::peer::Caller;
use primrosebay_state::Name;
use primrosebay_state::config::Resource;
use primrosebay_state::id::JobId;
use primrosebay_state::job::{JobSpec, Problem};
use primrosebay_transport::trace::{HEADER, Span};

use super::list::ListOptions;
use super::{ApiRequest, input, json, respond};
use crate::auth;
use crate::shared::Shared;

/// Longest wait of a list for others that are being collected.
const LIST_WAIT: Duration = Duration::from_secs(1);

/// Handles `POST /v1/jobs`.
pub(crate) async fn submit(mut request: ApiRequest) -> tide::Result {
    let parent = request.header(HEADER).map_or("", |v| v.as_str());
    let span = Span::start("entry.submit", parent);
    let result = submit_job(&mut request, &span).await;
    span.close();
    respond(result)
}

/// Validates the job in the body and submits it. A missing key is accepted until the queue is
/// known, because an open queue needs none.
async fn submit_job(request: &mut ApiRequest, span: &Span) -> Result<tide::Response, Failure> {
    let key_team = auth::authenticate(request);
    if let Err(code) = key_team
        && code != Code::NO_KEY
    {
        return Err(Failure::new(code));
    }
    let bytes = input::read_body(request).await?;
    let mut spec: JobSpec = serde_json::from_slice(&bytes).map_err(|error| {
        Failure::with_problems(Code::MALFORMED, vec![Problem::new("", error.to_string())])
    })?;
    let team = resolve_team(request.state(), key_team, &spec).map_err(Failure::new)?;
    if !spec.team.is_empty() && spec.team != team {
        return Err(Failure::new(Code::OTHER_TEAM));
    }
    spec.team = team;
    spec.trace = span.context().into();
    span.set("job", &*spec.name);
    let problems = spec.check();
    if !problems.is_empty() {
        return Err(Failure::with_problems(Code::INVALID, problems));
    }
    let shared = request.state();
    let caller = Caller {
        team: spec.team.clone(),
        operator: false,
        config: shared.config().next,
    };
    let submitted = shared.submit(caller, spec).await?;
    json(submitted.code.status(), &submitted)
}

/// Returns the team that a job counts for: the owner of its queue, or the key's team if the job
/// names no queue. An open queue accepts the key of any team, or none; other queues accept only
/// keys of their owner.
fn resolve_team(
    shared: &Shared,
    key_team: Result<Name, Code>,
    spec: &JobSpec,
) -> Result<Name, Code> {
    let config = shared.config();
    let queue = config.get("queue", &spec.queue).map(|item| &item.spec);
    let (open, owner) = match queue {
        Some(Resource::Queue { open, team }) => (*open, team),
        _ if spec.queue.is_empty() => return key_team,
        _ => return key_team.and(Err(Code::NOT_FOUND)),
    };
    match key_team {
        Err(Code::NO_KEY) if open => Ok(owner.clone()),
        Ok(team) if open || team == *owner => Ok(owner.clone()),
        Ok(_) => Err(Code::OTHER_TEAM),
        Err(code) => Err(code),
    }
}

/// Returns the caller in the form that coordinators authorize: the team, or an operator if `team`
/// is `None`.
pub(super) fn caller(request: &ApiRequest, team: Option<Name>) -> Caller {
    Caller {
        operator: team.is_none(),
        team: team.unwrap_or_else(|| Name::from("")),
        config: request.state().config().next,
    }
}

/// Handles `GET /v1/jobs`.
pub(crate) async fn list(request: ApiRequest) -> tide::Result {
    respond(list_jobs(&request).await)
}

async fn list_jobs(request: &ApiRequest) -> Result<tide::Response, Failure> {
    let team = auth::read_scope(request).map_err(Failure::new)?;
    let filters = [
        ("team", "/spec/team"),
        ("zone", "/zone"),
        ("queue", "/spec/queue"),
        ("outcome", "/outcome"),
        ("name", "/spec/name"),
    ];
    let mut options = ListOptions::new(request, &filters)?;
    let after: Option<JobId> = options.take_after()?;
    let caller = caller(request, team);
    let permit = request.state().lists.acquire(LIST_WAIT).await;
    let _permit = permit.ok_or_else(|| Failure::new(Code::OVERLOADED))?;
    let mut jobs = request.state().all_jobs(&caller).await;
    jobs.retain(|job| after.is_none_or(|after| job.id > after));
    json(200, &options.page(jobs, |job| job.id.to_string())?)
}

/// Handles `GET /v1/jobs/{id}`.
pub(crate) async fn get(request: ApiRequest) -> tide::Result {
    respond(get_job(&request).await)
}

async fn get_job(request: &ApiRequest) -> Result<tide::Response, Failure> {
    let team = auth::read_scope(request).map_err(Failure::new)?;
    json(200, &read(request, team).await?)
}

/// Reads the job in the request's path. It must belong to `team`, or may be any job if `team` is
/// `None`.
pub(super) async fn read(request: &ApiRequest, team: Option<Name>) -> Result<JobView, Failure> {
    let caller = caller(request, team);
    request.state().read_job(job_id(request)?, &caller).await
}

/// Handles `DELETE /v1/jobs/{id}`.
pub(crate) async fn cancel(request: ApiRequest) -> tide::Result {
    respond(cancel_job(&request).await)
}

async fn cancel_job(request: &ApiRequest) -> Result<tide::Response, Failure> {
    let team = auth::cancel_scope(request).map_err(Failure::new)?;
    let caller = caller(request, team);
    let job = request
        .state()
        .cancel_job(job_id(request)?, &caller)
        .await?;
    json(200, &job)
}

/// Parses the job identifier in the path; a malformed one is reported as not found.
fn job_id(request: &ApiRequest) -> Result<JobId, Failure> {
    let id = request.param("id").ok().and_then(|id| id.parse().ok());
    id.ok_or_else(|| Failure::new(Code::NOT_FOUND))
}
