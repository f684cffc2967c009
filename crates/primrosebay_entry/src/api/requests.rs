//! Requests to services.

use std::sync::Arc;

use super::ApiRequest;
use crate::auth;
use crate::requests::{account, failure};

/// Handles `POST /v1/services/{name}/requests`.
pub(crate) async fn run(mut request: ApiRequest) -> tide::Result {
    let shared = Arc::clone(request.state());
    let service = request.param("name")?.to_owned();
    let label = request.header("x-account").map(|v| v.as_str().to_owned());
    let team = auth::team(&request);
    let response = match account(&shared.config(), &service, team, label.as_deref()) {
        Ok(account) => {
            let inner: &mut tide::http::Request = request.as_mut();
            shared.requests.answer(account, &service, inner).await
        }
        Err(code) => failure(code),
    };
    Ok(response.into())
}
