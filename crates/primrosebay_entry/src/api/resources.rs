//! Operators' resources: teams, keys, zones and queues.

use primrosebay_protocol::api::{Failure, ResourceView, WriteRequest, WriteResult};
use primrosebay_protocol::code::Code;
use primrosebay_protocol::log::CONFIG_STREAM;
use primrosebay_state::Name;
use primrosebay_state::config::Change;
use primrosebay_state::job::Problem;
use primrosebay_state::record::Body;
use serde_json::Value;

use super::input::{Query, json_body, malformed};
use super::list::Listing;
use super::{ApiRequest, answer, json};
use crate::auth;
use crate::publisher::PublishError;
use crate::shared::Shared;

/// A kind of resources.
#[derive(Debug)]
pub(super) struct Kind {
    /// The kind in the path.
    pub(super) path: &'static str,
    /// The kind in [`Change::kind`].
    name: &'static str,
    /// Parameters that filter the list, with the JSON pointers of the fields.
    filters: &'static [(&'static str, &'static str)],
}

/// All kinds that operators can write.
pub(super) const KINDS: [Kind; 4] = [
    Kind {
        path: "keys",
        name: "key",
        filters: &[("team", "/spec/team")],
    },
    Kind {
        path: "queues",
        name: "queue",
        filters: &[("team", "/spec/team"), ("open", "/spec/open")],
    },
    Kind {
        path: "teams",
        name: "team",
        filters: &[],
    },
    Kind {
        path: "zones",
        name: "zone",
        filters: &[("state", "/spec/state"), ("region", "/spec/region")],
    },
];

/// Handles `GET /v1/{kind}`.
pub(super) fn list(request: &ApiRequest, at: &Kind) -> Result<tide::Response, Failure> {
    auth::require_operator(request).map_err(Failure::new)?;
    let listing = Listing::new(request, at.filters)?;
    let config = request.state().config();
    let page = listing.page(config.list(at.name), |item| item.name.to_string())?;
    json(200, &page)
}

/// Handles `GET /v1/{kind}/{name}`.
pub(super) fn get(request: &ApiRequest, at: &Kind) -> Result<tide::Response, Failure> {
    auth::require_operator(request).map_err(Failure::new)?;
    Query::new(request).finish()?;
    let shared = request.state();
    let name = request.param("name").unwrap_or_default();
    let item = shared.config().get(at.name, name).cloned();
    let item = item.ok_or_else(|| Failure::new(Code::NOT_FOUND))?;
    let missing = shared.acceptance(item.version - 1).missing;
    json(200, &ResourceView { item, missing })
}

/// Handles `PUT /v1/{kind}/{name}`.
pub(super) async fn put(mut request: ApiRequest, at: &Kind) -> tide::Result {
    let change = read_put(&mut request, at).await;
    answer(write(request, change).await)
}

async fn read_put(request: &mut ApiRequest, at: &Kind) -> Result<Change, Failure> {
    auth::require_operator(request).map_err(Failure::new)?;
    let mut body = json_body(request).await?;
    let kind = at.name;
    if let Some(Value::Object(spec)) = body.get_mut("spec") {
        spec.entry("kind").or_insert_with(|| Value::from(kind));
    }
    let write: WriteRequest =
        serde_json::from_value(body).map_err(|error| malformed("", error.to_string()))?;
    Ok(Change {
        kind: kind.into(),
        name: request.param("name").unwrap_or_default().into(),
        expected: write.version,
        spec: Some(write.spec),
    })
}

/// Handles `DELETE /v1/{kind}/{name}?version=`.
pub(super) async fn delete(request: ApiRequest, at: &Kind) -> tide::Result {
    let change = read_delete(&request, at);
    answer(write(request, change).await)
}

fn read_delete(request: &ApiRequest, at: &Kind) -> Result<Change, Failure> {
    auth::require_operator(request).map_err(Failure::new)?;
    let kind = at.name;
    let name: Name = request.param("name").unwrap_or_default().into();
    if request.state().config().get(kind, &name).is_none() {
        return Err(Failure::new(Code::NOT_FOUND));
    }
    let expected = Query::new(request).number("version", 1, u64::MAX);
    let expected = expected.ok_or_else(|| {
        let problem = Problem::new("query.version", "the version that is deleted");
        Failure::with_problems(Code::INVALID, vec![problem])
    })?;
    Ok(Change {
        kind: kind.into(),
        name,
        expected,
        spec: None,
    })
}

async fn write(
    request: ApiRequest,
    change: Result<Change, Failure>,
) -> Result<tide::Response, Failure> {
    let change = change?;
    let mut query = Query::new(&request);
    let dry_run = query.flag("dry_run");
    if change.spec.is_none() {
        query.take("version");
    }
    query.finish()?;
    let shared = request.state();
    let config = shared.config();
    let problems = config.check(&change);
    if !problems.is_empty() {
        return Err(Failure::with_problems(Code::INVALID, problems));
    }
    if let Some(version) = config.version_conflict(&change) {
        return Err(conflict(version));
    }
    if dry_run {
        return written(Code::OK, change.expected, Vec::new());
    }
    let offset = append(shared, &change).await?;
    apply(shared, offset, &change).await
}

async fn append(shared: &Shared, change: &Change) -> Result<u64, Failure> {
    let body = Body::Config(change.clone());
    let offset = shared.publisher.append(CONFIG_STREAM, body).await;
    offset.map_err(|error| {
        Failure::new(match error {
            PublishError::NotAppended => Code::LOG_UNAVAILABLE,
            PublishError::Unknown => Code::RECORD_UNKNOWN,
        })
    })
}

/// Waits until the change at `offset` is applied here, and accepted.
async fn apply(shared: &Shared, offset: u64, change: &Change) -> Result<tide::Response, Failure> {
    let verdict = shared.wait_accepted(offset).await;
    let config = shared.config();
    if config.next <= offset {
        // Whether the change won is known only once it is applied.
        return Err(Failure::new(Code::RECORD_UNKNOWN));
    }
    // A change that lost a race has no entry in the history.
    let mut events = config
        .since(offset)
        .map_err(|_| Failure::new(Code::RECORD_UNKNOWN))?;
    if events.next().is_none_or(|event| event.next != offset + 1) {
        return Err(conflict(config.version(&change.kind, &change.name)));
    }
    let code = if verdict.accepted {
        Code::OK
    } else {
        Code::CHANGE_PENDING
    };
    written(code, offset + 1, verdict.missing)
}

fn conflict(version: u64) -> Failure {
    let present = if version == 0 {
        "0, because the resource does not exist".to_owned()
    } else {
        version.to_string()
    };
    Failure::with_problems(Code::CONFLICT, vec![Problem::new("version", present)])
}

fn written(code: Code, version: u64, missing: Vec<Name>) -> Result<tide::Response, Failure> {
    let message = code.info().map_or("", |entry| entry.meaning).to_owned();
    let body = WriteResult {
        code,
        message,
        version,
        missing,
    };
    json(code.status(), &body)
}
