//! Health and readiness.

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
/// An instance that is cut off stays ready, because it still serves open queues; callers with keys
/// get [`primrosebay_protocol::code::Code::NOT_FRESH`] and try another one.
pub(super) async fn ready(request: ApiRequest) -> tide::Result {
    let ready = readiness(request.state());
    let status = if ready.ready { 200 } else { 503 };
    json(status, &ready)
}

fn readiness(shared: &Shared) -> Ready {
    let now = shared.now();
    let own = shared
        .configuration
        .with_freshness(|freshness| freshness.report(now));
    let status = match shared.status() {
        Status::Fresh => "fresh",
        Status::Outage => "outage",
        Status::Stale => "stale",
    };
    Ready {
        // Before the log was read, an instance would take its ignorance for a missing key.
        ready: own.age.is_some() && !shared.is_stopping(),
        status: status.into(),
        age_ms: own.age,
        next: own.next,
        zones: shared
            .zones()
            .iter()
            .map(|zone| zone_ready(shared, zone))
            .collect(),
    }
}

fn zone_ready(shared: &Shared, zone: &crate::zones::Zone) -> ZoneReady {
    let found = zone.read(|coordinator| coordinator.readiness(shared.now()));
    ZoneReady {
        zone: zone.name.clone(),
        code: found.code,
        claimed: found.claimed,
        voters: found.voters,
        unlocated: found.unlocated,
        inherited: found.inherited,
    }
}
