//! Handlers for the resources that operators configure: teams, keys, zones and queues.

use primrosebay_protocol::api::{Failure, ResourceView, WriteRequest, WriteResult};
use primrosebay_protocol::code::Code;
use primrosebay_protocol::log::CONFIG_STREAM;
use primrosebay_state::Name;
use primrosebay_state::config::Change;
use primrosebay_state::job::Problem;
use primrosebay_state::record::Body;
use serde_json::Value;

use super::input::{Query, malformed, read_json};
use super::list::ListOptions;
use super::{ApiRequest, json, respond};
use crate::auth;
use crate::publisher::PublishError;
use crate::shared::Shared;

/// A kind of resource, with its route and list filters.
#[derive(Debug)]
pub(super) struct Kind {
    /// Path segment of the kind, in the plural.
    pub(super) path: &'static str,
    /// Name of the kind in [`Change::kind`].
    name: &'static str,
    /// Query parameters that filter the list, with the JSON pointers of the fields.
    filters: &'static [(&'static str, &'static str)],
}

/// All kinds of resources that operators can write.
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
pub(super) fn list(request: &ApiRequest, kind: &Kind) -> Result<tide::Response, Failure> {
    auth::require_operator(request).map_err(Failure::new)?;
    let options = ListOptions::new(request, kind.filters)?;
    let config = request.state().config();
    let page = options.page(config.list(kind.name), |item| item.name.to_string())?;
    json(200, &page)
}

/// Handles `GET /v1/{kind}/{name}`.
pub(super) fn get(request: &ApiRequest, kind: &Kind) -> Result<tide::Response, Failure> {
    auth::require_operator(request).map_err(Failure::new)?;
    Query::new(request).finish()?;
    let shared = request.state();
    let name = request.param("name").unwrap_or_default();
    let item = shared.config().get(kind.name, name).cloned();
    let item = item.ok_or_else(|| Failure::new(Code::NOT_FOUND))?;
    let missing = shared.acceptance(item.version - 1).missing;
    json(200, &ResourceView { item, missing })
}

/// Handles `PUT /v1/{kind}/{name}`.
pub(super) async fn put(mut request: ApiRequest, kind: &Kind) -> tide::Result {
    let change = parse_put(&mut request, kind).await;
    respond(write_change(request, change).await)
}

/// Parses the change in the body. The kind in `spec` is optional, because the path gives it.
async fn parse_put(request: &mut ApiRequest, kind: &Kind) -> Result<Change, Failure> {
    auth::require_operator(request).map_err(Failure::new)?;
    let mut body = read_json(request).await?;
    let kind_name = kind.name;
    if let Some(Value::Object(spec)) = body.get_mut("spec") {
        spec.entry("kind").or_insert_with(|| Value::from(kind_name));
    }
    let write: WriteRequest =
        serde_json::from_value(body).map_err(|error| malformed("", error.to_string()))?;
    Ok(Change {
        kind: kind_name.into(),
        name: request.param("name").unwrap_or_default().into(),
        expected: write.version,
        spec: Some(write.spec),
    })
}

/// Handles `DELETE /v1/{kind}/{name}?version=`.
pub(super) async fn delete(request: ApiRequest, kind: &Kind) -> tide::Result {
    let change = parse_delete(&request, kind);
    respond(write_change(request, change).await)
}

/// Parses the deletion, whose version is required.
fn parse_delete(request: &ApiRequest, kind: &Kind) -> Result<Change, Failure> {
    auth::require_operator(request).map_err(Failure::new)?;
    let kind_name = kind.name;
    let name: Name = request.param("name").unwrap_or_default().into();
    if request.state().config().get(kind_name, &name).is_none() {
        return Err(Failure::new(Code::NOT_FOUND));
    }
    let expected = Query::new(request).number("version", 1, u64::MAX);
    let expected = expected.ok_or_else(|| {
        let problem = Problem::new("query.version", "the version that is deleted");
        Failure::with_problems(Code::INVALID, vec![problem])
    })?;
    Ok(Change {
        kind: kind_name.into(),
        name,
        expected,
        spec: None,
    })
}

/// Checks the change, and appends it to the log unless it is a dry run.
async fn write_change(
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
        return Err(version_conflict(version));
    }
    if dry_run {
        return written_response(Code::OK, change.expected, Vec::new());
    }
    let offset = append_change(shared, &change).await?;
    wait_applied(shared, offset, &change).await
}

/// Appends the change to the configuration log and returns its offset.
async fn append_change(shared: &Shared, change: &Change) -> Result<u64, Failure> {
    let body = Body::Config(change.clone());
    let offset = shared.publisher.append(CONFIG_STREAM, body).await;
    offset.map_err(|error| {
        Failure::new(match error {
            PublishError::NotAppended => Code::LOG_UNAVAILABLE,
            PublishError::Unknown => Code::RECORD_UNKNOWN,
        })
    })
}

/// Waits until the change at `offset` is applied here and accepted, up to the timeout
/// `accept_ms`, and returns the response.
async fn wait_applied(
    shared: &Shared,
    offset: u64,
    change: &Change,
) -> Result<tide::Response, Failure> {
    let acceptance = shared.wait_accepted(offset).await;
    let config = shared.config();
    if config.next <= offset {
        // Only an instance that has applied the change knows whether a concurrent one precedes it.
        return Err(Failure::new(Code::RECORD_UNKNOWN));
    }
    // A change that lost to a concurrent one has no event in the history.
    let mut events = config
        .since(offset)
        .map_err(|_| Failure::new(Code::RECORD_UNKNOWN))?;
    if events.next().is_none_or(|event| event.next != offset + 1) {
        return Err(version_conflict(config.version(&change.kind, &change.name)));
    }
    let code = if acceptance.accepted {
        Code::OK
    } else {
        Code::CHANGE_PENDING
    };
    written_response(code, offset + 1, acceptance.missing)
}

/// Creates the failure of a change whose expected version differs from `version`, the actual one; 0
/// if the resource does not exist.
fn version_conflict(version: u64) -> Failure {
    let actual = if version == 0 {
        "0, because the resource does not exist".to_owned()
    } else {
        version.to_string()
    };
    Failure::with_problems(Code::CONFLICT, vec![Problem::new("version", actual)])
}

/// Builds the response to a write. `missing` are the zones that have not applied the change.
fn written_response(
    code: Code,
    version: u64,
    missing: Vec<Name>,
) -> Result<tide::Response, Failure> {
    let message = code.info().map_or("", |info| info.meaning).to_owned();
    let body = WriteResult {
        code,
        message,
        version,
        missing,
    };
    json(code.status(), &body)
}
