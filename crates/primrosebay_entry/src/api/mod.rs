//! The HTTP API.

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

/// A request to the API.
pub(crate) type ApiRequest = Request<Arc<Shared>>;

/// Returns the application with all routes.
#[must_use]
pub fn app(shared: Arc<Shared>) -> tide::Server<Arc<Shared>> {
    let mut app = tide::with_state(shared);
    app.with(Finish);
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
    app.at("/v1/workers/:name/lost").post(views::lost);
    app.at("/v1/watch").get(watch::watch);
    for kind in &resources::KINDS {
        app.at(&format!("/v1/{}", kind.path))
            .get(move |request| async move { answer(resources::list(&request, kind)) });
        app.at(&format!("/v1/{}/:name", kind.path))
            .get(move |request| async move { answer(resources::get(&request, kind)) })
            .put(move |request| resources::put(request, kind))
            .delete(move |request| resources::delete(request, kind));
    }
    app.at("/v1/services/:name/requests").post(requests::handle);
    app
}

/// Marks the answer of a minion, which is passed on as it is.
#[derive(Debug)]
pub(crate) struct FromMinion;

/// Counts answers, and gives those of the router a result code.
#[derive(Debug)]
struct Finish;

#[tide::utils::async_trait]
impl tide::Middleware<Arc<Shared>> for Finish {
    async fn handle(&self, request: ApiRequest, next: tide::Next<'_, Arc<Shared>>) -> tide::Result {
        let shared = Arc::clone(request.state());
        let method = request.method();
        let mut response = next.run(request).await;
        let own = response.ext::<FromMinion>().is_none();
        if own && response.is_empty() == Some(true) {
            match response.status() {
                StatusCode::NotFound => response = fail(Code::NOT_FOUND)?,
                StatusCode::MethodNotAllowed => response = fail(Code::NO_METHOD)?,
                _ => {}
            }
        }
        let status = response.status().into();
        shared.metrics.record_answer(method.as_ref(), status);
        Ok(response)
    }
}

/// Answers with `value` as JSON.
pub(crate) fn json<E: From<Internal>>(status: u16, value: &impl Serialize) -> Result<Response, E> {
    let body = Body::from_json(value).map_err(|_| Internal)?;
    Ok(Response::builder(status).body(body).build())
}

/// A value has no JSON form.
#[derive(Debug, thiserror::Error)]
#[error("the answer has no JSON form")]
pub(crate) struct Internal;

impl From<Internal> for Failure {
    fn from(_: Internal) -> Self {
        Self::new(Code::INTERNAL)
    }
}

/// Turns a failure into its answer.
pub(crate) fn answer(result: Result<Response, Failure>) -> tide::Result {
    match result {
        Ok(response) => Ok(response),
        Err(failure) => json(failure.code.status(), &failure),
    }
}

/// Answers with the documented meaning of `code`.
pub(crate) fn fail(code: Code) -> tide::Result {
    json(code.status(), &Failure::new(code))
}
