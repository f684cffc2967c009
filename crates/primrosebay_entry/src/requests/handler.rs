//! HTTP handler of the route for requests to a service.

use std::sync::Arc;

use primrosebay_protocol::code::Code;
use tide::Response;

use super::{failure_response, resolve_account};
use crate::api::ApiRequest;
use crate::auth;

/// Header with the label of the account within the caller's team.
const ACCOUNT_HEADER: &str = "x-account";

/// Handles `POST /v1/services/{name}/requests`.
pub(crate) async fn handle(mut request: ApiRequest) -> tide::Result {
    let shared = Arc::clone(request.state());
    let Ok(service) = request.param("name").map(str::to_owned) else {
        return Ok(Response::from_res(failure_response(Code::NOT_FOUND)));
    };
    let label = request
        .header(ACCOUNT_HEADER)
        .map(|values| values.last().as_str());
    let team = auth::authenticate(&request);
    let answer = match resolve_account(&shared.config(), &service, team, label) {
        Ok(account) => {
            let requests = &shared.requests;
            requests.answer(account, &service, request.as_mut()).await
        }
        Err(code) => failure_response(code),
    };
    Ok(Response::from_res(answer))
}
