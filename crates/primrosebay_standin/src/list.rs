//! A stand-in for the platform's list of instances.

use std::sync::{Arc, Mutex, PoisonError};

use primrosebay_protocol::list::{Instance, Instances};
use tide::{Body, Request, Response, StatusCode};

/// The state of the stand-in.
#[derive(Debug, Default)]
pub struct ListService {
    instances: Mutex<Vec<Instance>>,
}

impl ListService {
    /// Creates a list with `instances`.
    #[must_use]
    pub fn new(mut instances: Vec<Instance>) -> Self {
        instances.sort_by(|a, b| a.name.cmp(&b.name));
        Self {
            instances: Mutex::new(instances),
        }
    }

    /// Returns the HTTP application that serves the list.
    #[must_use]
    pub fn app(self) -> tide::Server<Arc<Self>> {
        let mut app = tide::with_state(Arc::new(self));
        app.at("/instances").get(fetch);
        app.at("/instances/:name").put(put).delete(delete);
        app
    }
}

async fn fetch(request: Request<Arc<ListService>>) -> tide::Result {
    let instances = lock(&request).clone();
    Ok(Response::builder(StatusCode::Ok)
        .body(Body::from_json(&Instances { instances })?)
        .build())
}

async fn put(mut request: Request<Arc<ListService>>) -> tide::Result {
    let instance: Instance = request.body_json().await?;
    let mut instances = lock(&request);
    match instances.binary_search_by(|i| i.name.cmp(&instance.name)) {
        Ok(i) => instances[i] = instance,
        Err(i) => instances.insert(i, instance),
    }
    Ok(Response::new(StatusCode::NoContent))
}

async fn delete(request: Request<Arc<ListService>>) -> tide::Result {
    let name = request.param("name")?;
    lock(&request).retain(|i| &*i.name != name);
    Ok(Response::new(StatusCode::NoContent))
}

fn lock(request: &Request<Arc<ListService>>) -> std::sync::MutexGuard<'_, Vec<Instance>> {
    request
        .state()
        .instances
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}
