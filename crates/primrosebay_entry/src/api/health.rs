//! Health and readiness checks.

use primrosebay_coordination::freshness::Status;
use primrosebay_protocol::api::{Ready, ZoneReady};

use super::{ApiRequest, json};
use crate::shared::Shared;

/// Handles `GET /healthz`.
pub(super) async fn health(_: ApiRequest) -> tide::Result {
    Ok("ok\n".into())
}

/// Handles `GET /readyz`.
///
/// An instance with a stale configuration stays ready, because it still serves open queues. Callers
/// with a key get [`primrosebay_protocol::code::Code::NOT_FRESH`] and retry at another instance.
pub(super) async fn ready(request: ApiRequest) -> tide::Result {
    let ready = readiness(request.state());
    let status = if ready.ready { 200 } else { 503 };
    json(status, &ready)
}

fn readiness(shared: &Shared) -> Ready {
    let now = shared.now();
    let report = shared
        .configuration
        .with_freshness(|freshness| freshness.report(now));
    let status = match shared.status() {
        Status::Fresh => "fresh",
        Status::Outage => "outage",
        Status::Stale => "stale",
    };
    Ready {
        // Until the log has been read to its end once, valid keys would be rejected as unknown.
        ready: report.age.is_some() && !shared.is_stopping(),
        status: status.into(),
        age_ms: report.age,
        next: report.next,
        zones: shared
            .zones()
            .iter()
            .map(|zone| zone_ready(shared, zone))
            .collect(),
    }
}

fn zone_ready(shared: &Shared, zone: &crate::zones::Zone) -> ZoneReady {
    let readiness = zone.read(|coordinator| coordinator.readiness(shared.now()));
    ZoneReady {
        zone: zone.name.clone(),
        code: readiness.code,
        claimed: readiness.claimed,
        voters: readiness.voters,
        unlocated: readiness.unlocated,
        inherited: readiness.inherited,
    }
}
