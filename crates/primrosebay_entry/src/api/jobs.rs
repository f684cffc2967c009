//! Submission, reading and cancellation of jobs.

use primrosebay_protocol::api::{Failure, JobView};
use primrosebay_protocol::code::Code;
use primrosebay_protocol::peer::Caller;
use primrosebay_state::Name;
use primrosebay_state::config::Resource;
use primrosebay_state::id::JobId;
use primrosebay_state::job::{JobSpec, Problem};
use primrosebay_transport::trace::{HEADER, Span};

use super::list::Listing;
use super::{ApiRequest, answer, input, json};
use crate::auth;
use crate::shared::Shared;

/// Handles `POST /v1/jobs`.
pub(crate) async fn submit(mut request: ApiRequest) -> tide::Result {
    let parent = request.header(HEADER).map_or("", |v| v.as_str());
    let span = Span::start("entry.submit", parent);
    let result = submit_traced(&mut request, &span).await;
    span.close();
    answer(result)
}

async fn submit_traced(request: &mut ApiRequest, span: &Span) -> Result<tide::Response, Failure> {
    let key = auth::authenticate(request);
    if let Err(code) = key
        && code != Code::NO_KEY
    {
        return Err(Failure::new(code));
    }
    let bytes = input::body(request).await?;
    let mut spec: JobSpec = serde_json::from_slice(&bytes).map_err(|e| {
        Failure::with_problems(Code::MALFORMED, vec![Problem::new("", e.to_string())])
    })?;
    let team = team_of(request.state(), key, &spec).map_err(Failure::new)?;
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

/// Returns the team that a job counts for: that of the key or, without a key, that of an open queue.
fn team_of(shared: &Shared, key: Result<Name, Code>, spec: &JobSpec) -> Result<Name, Code> {
    let config = shared.config();
    let queue = config.get("queue", &spec.queue).map(|item| &item.spec);
    let (open, owner) = match queue {
        Some(Resource::Queue { open, team }) => (*open, team),
        _ if spec.queue.is_empty() => return key,
        _ => return key.and(Err(Code::NOT_FOUND)),
    };
    match key {
        Err(Code::NO_KEY) if open => Ok(owner.clone()),
        Ok(team) if open || team == *owner => Ok(owner.clone()),
        Ok(_) => Err(Code::OTHER_TEAM),
        Err(code) => Err(code),
    }
}

/// Returns who makes the request: a team, or an operator if there is none.
pub(super) fn caller(request: &ApiRequest, team: Option<Name>) -> Caller {
    Caller {
        operator: team.is_none(),
        team: team.unwrap_or_else(|| Name::from("")),
        config: request.state().config().next,
    }
}

/// Handles `GET /v1/jobs`.
pub(crate) async fn list(request: ApiRequest) -> tide::Result {
    answer(list_jobs(&request).await)
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
    let listing = Listing::new(request, &filters)?;
    let caller = caller(request, team);
    let jobs = request.state().all_jobs(&caller).await;
    json(200, &listing.page(jobs, |job| job.id.to_string())?)
}

/// Handles `GET /v1/jobs/{id}`.
pub(crate) async fn get(request: ApiRequest) -> tide::Result {
    answer(get_job(&request).await)
}

async fn get_job(request: &ApiRequest) -> Result<tide::Response, Failure> {
    let team = auth::read_scope(request).map_err(Failure::new)?;
    json(200, &read(request, team).await?)
}

/// Reads the job of the request's path, of any team for an operator.
pub(super) async fn read(request: &ApiRequest, team: Option<Name>) -> Result<JobView, Failure> {
    let caller = caller(request, team);
    request.state().read_job(id_of(request)?, &caller).await
}

/// Handles `DELETE /v1/jobs/{id}`.
pub(crate) async fn cancel(request: ApiRequest) -> tide::Result {
    answer(cancel_job(&request).await)
}

async fn cancel_job(request: &ApiRequest) -> Result<tide::Response, Failure> {
    let team = auth::cancel_scope(request).map_err(Failure::new)?;
    let caller = caller(request, team);
    let job = request.state().cancel_job(id_of(request)?, &caller).await?;
    json(200, &job)
}

fn id_of(request: &ApiRequest) -> Result<JobId, Failure> {
    let id = request.param("id").ok().and_then(|id| id.parse().ok());
    id.ok_or_else(|| Failure::new(Code::NOT_FOUND))
}
