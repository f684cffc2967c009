//! The HTTP API.

pub mod jobs;

use std::sync::Arc;

use primrosebay_protocol::api::Failure;
use primrosebay_protocol::code::Code;
use primrosebay_state::job::Problem;
use serde::Serialize;
use tide::{Body, Request, Response};

use crate::shared::Shared;

/// A request to the API.
pub(crate) type ApiRequest = Request<Arc<Shared>>;

/// Returns the application with all routes.
#[must_use]
pub fn app(shared: Arc<Shared>) -> tide::Server<Arc<Shared>> {
    let mut app = tide::with_state(shared);
    app.at("/v1/jobs").post(jobs::submit).get(jobs::list);
    app.at("/v1/jobs/:id").get(jobs::get).delete(jobs::cancel);
    app
}

/// Answers with `value` as JSON.
pub(crate) fn json(status: u16, value: &impl Serialize) -> tide::Result {
    Ok(Response::builder(status)
        .body(Body::from_json(value)?)
        .build())
}

/// Answers with the documented meaning of `code`.
pub(crate) fn fail(code: Code) -> tide::Result {
    json(code.status(), &Failure::new(code))
}

/// Answers with the fields that are wrong.
pub(crate) fn fail_with(code: Code, problems: Vec<Problem>) -> tide::Result {
    json(code.status(), &Failure::with_problems(code, problems))
}
