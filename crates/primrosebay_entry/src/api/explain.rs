//! Explanations of pending jobs, and the resource usage of teams.

use primrosebay_protocol::api::{Explanation, Failure, TeamItem};
use primrosebay_protocol::code::Code;

use super::list::ListOptions;
use super::{ApiRequest, jobs, json, respond};
use crate::auth;

/// Handles `GET /v1/jobs/{id}/explain`.
pub(super) async fn explain(request: ApiRequest) -> tide::Result {
    respond(explain_job(&request).await)
}

/// Returns the reasons why tasks of the job are pending; none if no task is.
async fn explain_job(request: &ApiRequest) -> Result<tide::Response, Failure> {
    let team = auth::read_scope(request).map_err(Failure::new)?;
    let job = jobs::read(request, team).await?;
    let zone = request
        .state()
        .zone(&job.zone)
        .ok_or_else(|| Failure::new(Code::NO_COORDINATOR))?;
    let reasons = zone.read(|coordinator| {
        let reasons = coordinator.scheduler().explain(job.id);
        reasons.iter().map(ToString::to_string).collect()
    });
    json(
        200,
        &Explanation {
            id: job.id,
            zone: job.zone,
            reasons,
        },
    )
}

/// Handles `GET /v1/usage`.
pub(super) async fn usage(request: ApiRequest) -> tide::Result {
    respond(list_usage(&request))
}

/// Lists usage per zone and team. A team's key sees only its own team.
fn list_usage(request: &ApiRequest) -> Result<tide::Response, Failure> {
    let team = auth::read_scope(request).map_err(Failure::new)?;
    let options = ListOptions::new(request, &[("team", "/team"), ("zone", "/zone")])?;
    let mut items: Vec<TeamItem> = Vec::new();
    for zone in request.state().zones() {
        let usage = zone.read(|coordinator| coordinator.scheduler().usage());
        items.extend(usage.into_iter().map(|usage| TeamItem {
            zone: zone.name.clone(),
            team: usage.team,
            allowance: usage.allowance,
            used: usage.used,
            wanted: usage.wanted,
        }));
    }
    items.retain(|item| team.as_ref().is_none_or(|team| *team == item.team));
    items.sort_by(|a, b| (&a.zone, &a.team).cmp(&(&b.zone, &b.team)));
    json(
        200,
        &options.page(items, |item| format!("{}/{}", item.zone, item.team))?,
    )
}
