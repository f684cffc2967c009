//! A stand-in for the platform's list of instances.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use primrosebay_protocol::list::{Instance, Instances};
use primrosebay_state::Name;
use serde::{Deserialize, Serialize};
use tide::{Body, Request, Response, StatusCode};

/// Faults, as `PUT /control` sets them.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether all calls for the list are refused.
    pub down: bool,
    /// Milliseconds for which a change does not show.
    pub lag_ms: u64,
    /// Names that the list lacks although they are in service.
    pub hidden: Vec<Name>,
    /// Entries that the list has although they are wrong; they replace entries of the same name.
    pub wrong: Vec<Instance>,
}

/// The entries from a point in time on.
#[derive(Debug, Clone)]
struct Version {
    since: Instant,
    instances: Vec<Instance>,
}

/// The state of the stand-in.
#[derive(Debug)]
pub struct ListService {
    /// Oldest first; never empty.
    versions: Mutex<Vec<Version>>,
    faults: Mutex<Faults>,
}

impl ListService {
    /// Creates a list with `instances`.
    #[must_use]
    pub fn new(mut instances: Vec<Instance>) -> Self {
        instances.sort_by(|a, b| a.name.cmp(&b.name));
        let first = Version {
            since: Instant::now(),
            instances,
        };
        Self {
            versions: Mutex::new(vec![first]),
            faults: Mutex::default(),
        }
    }

    /// Returns the HTTP application that serves the list.
    #[must_use]
    pub fn app(self) -> tide::Server<Arc<Self>> {
        let mut app = tide::with_state(Arc::new(self));
        app.at("/instances").get(fetch);
        app.at("/instances/:name").put(put).delete(delete);
        app.at("/control").put(set_faults);
        app
    }

    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }

    /// Returns what the list shows: the latest entries that are older than the lag, with the wrong
    /// ones.
    fn shown(&self, faults: &Faults) -> Vec<Instance> {
        let mut versions = lock(&self.versions);
        let lag = Duration::from_millis(faults.lag_ms);
        let visible = |version: &Version| version.since.elapsed() >= lag;
        let at = versions.iter().rposition(visible).unwrap_or(0);
        versions.drain(..at);
        let mut shown = versions[0].instances.clone();
        shown.retain(|instance| !faults.hidden.contains(&instance.name));
        for wrong in &faults.wrong {
            shown.retain(|instance| instance.name != wrong.name);
            shown.push(wrong.clone());
        }
        shown
    }

    fn change(&self, change: impl FnOnce(&mut Vec<Instance>)) {
        let mut versions = lock(&self.versions);
        if let Some(last) = versions.last().cloned() {
            let mut next = Version {
                since: Instant::now(),
                ..last
            };
            change(&mut next.instances);
            versions.push(next);
        }
    }
}

async fn fetch(request: Request<Arc<ListService>>) -> tide::Result {
    let faults = lock(&request.state().faults).clone();
    if faults.down {
        return Ok(Response::new(StatusCode::ServiceUnavailable));
    }
    let instances = request.state().shown(&faults);
    Ok(Response::builder(StatusCode::Ok)
        .body(Body::from_json(&Instances { instances })?)
        .build())
}

async fn put(mut request: Request<Arc<ListService>>) -> tide::Result {
    let instance: Instance = request.body_json().await?;
    request.state().change(|instances| {
        match instances.binary_search_by(|i| i.name.cmp(&instance.name)) {
            Ok(i) => instances[i] = instance,
            Err(i) => instances.insert(i, instance),
        }
    });
    Ok(Response::new(StatusCode::NoContent))
}

async fn delete(request: Request<Arc<ListService>>) -> tide::Result {
    let name = request.param("name")?;
    request
        .state()
        .change(|instances| instances.retain(|i| &*i.name != name));
    Ok(Response::new(StatusCode::NoContent))
}

async fn set_faults(mut request: Request<Arc<ListService>>) -> tide::Result {
    let faults = request.body_json().await?;
    request.state().set_faults(faults);
    Ok(Response::new(StatusCode::NoContent))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
