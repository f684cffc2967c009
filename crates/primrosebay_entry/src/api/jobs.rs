//! Submission, reading and cancellation of jobs.

use primrosebay_protocol::api::{Failure, JobView};
use primrosebay_protocol::code::Code;
use primrosebay_protocol::peer::Caller;
use primrosebay_state::Name;
use primrosebay_state::id::JobId;
use primrosebay_state::job::{JobSpec, Problem};
use primrosebay_state::record::Body;

use super::list::Listing;
use super::{ApiRequest, answer, fail, fail_with, input, json, views};
use crate::auth;
use crate::publisher::PublishError;
use crate::zones::stream_of;

/// Handles `POST /v1/jobs`.
pub(crate) async fn submit(mut request: ApiRequest) -> tide::Result {
    let team = match auth::team(&request) {
        Ok(team) => team,
        Err(code) => return fail(code),
    };
    let bytes = match input::body(&mut request).await {
        Ok(bytes) => bytes,
        Err(failure) => return answer(Err(failure)),
    };
    let mut spec: JobSpec = match serde_json::from_slice(&bytes) {
        Ok(spec) => spec,
        Err(e) => {
            let problem = Problem::new("", e.to_string());
            return fail_with(Code::MALFORMED, vec![problem]);
        }
    };
    if !spec.team.is_empty() && spec.team != team {
        return fail(Code::OTHER_TEAM);
    }
    spec.team = team;
    let problems = spec.check();
    if !problems.is_empty() {
        return fail_with(Code::INVALID, problems);
    }
    accept(&request, spec).await
}

async fn accept(request: &ApiRequest, spec: JobSpec) -> tide::Result {
    let shared = request.state();
    let Some(zone) = home_zone(request, &spec) else {
        return fail(Code::NO_COORDINATOR);
    };
    let id = shared.next_job();
    let caller = Caller {
        team: spec.team.clone(),
        operator: false,
        config: shared.config().next,
    };
    match shared.submit_to(&zone, id, caller, spec).await {
        Ok(submitted) => json(submitted.code.status(), &submitted),
        Err(failure) => json(failure.code.status(), &failure),
    }
}

/// Chooses the home zone: a zone that the job allows, with the own zone first.
fn home_zone(request: &ApiRequest, spec: &JobSpec) -> Option<Name> {
    let own = &request.state().setup.zone;
    if spec.zones.is_empty() || spec.zones.contains(own) {
        return Some(own.clone());
    }
    spec.zones.first().cloned()
}

/// Handles `GET /v1/jobs`.
pub(crate) async fn list(request: ApiRequest) -> tide::Result {
    answer(list_jobs(&request))
}

fn list_jobs(request: &ApiRequest) -> Result<tide::Response, Failure> {
    let team = auth::reader(request).map_err(Failure::new)?;
    let filters = [
        ("team", "/spec/team"),
        ("zone", "/zone"),
        ("queue", "/spec/queue"),
        ("outcome", "/outcome"),
        ("name", "/spec/name"),
    ];
    let listing = Listing::new(request, &filters)?;
    let jobs = views::all_jobs(request.state()).into_iter();
    let jobs = jobs.filter(|job| team.as_ref().is_none_or(|team| *team == job.spec.team));
    json(200, &listing.page(jobs, |job| job.id.to_string())?)
}

/// Handles `GET /v1/jobs/{id}`.
pub(crate) async fn get(request: ApiRequest) -> tide::Result {
    match auth::reader(&request).and_then(|team| find(&request, team.as_ref())) {
        Ok(job) => json(200, &job),
        Err(code) => fail(code),
    }
}

/// Handles `DELETE /v1/jobs/{id}`.
pub(crate) async fn cancel(request: ApiRequest) -> tide::Result {
    let job = match auth::canceller(&request).and_then(|team| find(&request, team.as_ref())) {
        Ok(job) => job,
        Err(code) => return fail(code),
    };
    let body = Body::Cancelled { job: job.id };
    let publisher = &request.state().publisher;
    match publisher.append(&stream_of(&job.zone), body).await {
        Ok(_) => json(200, &job),
        Err(PublishError::NotAppended) => fail(Code::LOG_UNAVAILABLE),
        Err(PublishError::Unknown) => fail(Code::RECORD_UNKNOWN),
    }
}

/// Finds the job of the request's path, of any team for an operator.
pub(super) fn find(request: &ApiRequest, team: Option<&Name>) -> Result<JobView, Code> {
    let id: JobId = request
        .param("id")
        .ok()
        .and_then(|id| id.parse().ok())
        .ok_or(Code::NOT_FOUND)?;
    request
        .state()
        .zones()
        .iter()
        .find_map(|zone| zone.read(|coordinator| coordinator.job(id)))
        .filter(|job| team.is_none_or(|team| *team == job.spec.team))
        .ok_or(Code::NOT_FOUND)
}
