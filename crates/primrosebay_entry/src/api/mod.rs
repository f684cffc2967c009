//! Routes and handlers of the entry instance's HTTP API.

mod explain;
mod health;
pub(crate) mod input;
pub mod jobs;
mod list;
pub mod metrics;
mod resources;
mod views;
pub mod watch;

use std::sync::Arc;

use primrosebay_protocol::api::Failure;
use primrosebay_protocol::code::Code;
use serde::Serialize;
use tide::{Body, Request, Response, StatusCode};

use crate::requests;
use crate::shared::Shared;

/// An HTTP request to the API, with the state of the entry instance.
pub(crate) type ApiRequest = Request<Arc<Shared>>;

/// Creates the HTTP application with all routes of the API.
#[must_use]
pub fn app(shared: Arc<Shared>) -> tide::Server<Arc<Shared>> {
    let mut app = tide::with_state(shared);
    app.with(AnswerMiddleware);
    app.at("/healthz").get(health::health);
    app.at("/readyz").get(health::ready);
    app.at("/metrics").get(metrics::metrics);
    app.at("/v1/jobs").post(jobs::submit).get(jobs::list);
    app.at("/v1/jobs/:id").get(jobs::get).delete(jobs::cancel);
    app.at("/v1/jobs/:id/explain").get(explain::explain);
    app.at("/v1/usage").get(explain::usage);
    app.at("/v1/tasks").get(views::tasks);
    app.at("/v1/workers").get(views::workers);
    app.at("/v1/workers/:name").get(views::worker);
    app.at("/v1/workers/:name/lost").post(views::report_lost);
    app.at("/v1/watch").get(watch::watch);
    for kind in &resources::KINDS {
        app.at(&format!("/v1/{}", kind.path))
            .get(move |request| async move { respond(resources::list(&request, kind)) });
        app.at(&format!("/v1/{}/:name", kind.path))
            .get(move |request| async move { respond(resources::get(&request, kind)) })
            .put(move |request| resources::put(request, kind))
            .delete(move |request| resources::delete(request, kind));
    }
    app.at("/v1/services/:name/requests").post(requests::handle);
    app
}

/// Response extension that marks a minion's response, which is passed on unchanged.
#[derive(Debug)]
pub(crate) struct FromMinion;

/// Counts responses, and adds a result code to the router's empty 404 and 405 responses.
#[derive(Debug)]
struct AnswerMiddleware;

#[tide::utils::async_trait]
impl tide::Middleware<Arc<Shared>> for AnswerMiddleware {
    async fn handle(&self, request: ApiRequest, next: tide::Next<'_, Arc<Shared>>) -> tide::Result {
        let shared = Arc::clone(request.state());
        let method = request.method();
        let mut response = next.run(request).await;
        let generated = response.ext::<FromMinion>().is_none();
        if generated && response.is_empty() == Some(true) {
            match response.status() {
                StatusCode::NotFound => response = failure_response(Code::NOT_FOUND)?,
                StatusCode::MethodNotAllowed => response = failure_response(Code::NO_METHOD)?,
                _ => {}
            }
        }
        let status = response.status().into();
        shared.metrics.record_answer(method.as_ref(), status);
        Ok(response)
    }
}

/// Builds a response with `value` as its JSON body.
pub(crate) fn json<E: From<SerializeError>>(
    status: u16,
    value: &impl Serialize,
) -> Result<Response, E> {
    let body = Body::from_json(value).map_err(|_| SerializeError)?;
    Ok(Response::builder(status).body(body).build())
}

/// A response body cannot be serialized as JSON.
#[derive(Debug, thiserror::Error)]
#[error("failed to serialize the response as JSON")]
pub(crate) struct SerializeError;

impl From<SerializeError> for Failure {
    fn from(_: SerializeError) -> Self {
        Self::new(Code::INTERNAL)
    }
}

/// Converts a failure into a response with its status and result code.
pub(crate) fn respond(result: Result<Response, Failure>) -> tide::Result {
    match result {
        Ok(response) => Ok(response),
        Err(failure) => json(failure.code.status(), &failure),
    }
}

/// Builds the response of a failure with `code` and its documented meaning.
pub(crate) fn failure_response(code: Code) -> tide::Result {
    json(code.status(), &Failure::new(code))
}
