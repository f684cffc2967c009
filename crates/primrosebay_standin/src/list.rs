//! Stand-in for the platform's instance list.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use primrosebay_protocol::list::{Instance, Instances};
use primrosebay_state::Name;
use serde::{Deserialize, Serialize};
use tide::{Body, Request, Response, StatusCode};

/// Injected faults, set by `PUT /control`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every read of the list is answered with 503.
    pub down: bool,
    /// Milliseconds until a change of the list becomes visible.
    pub lag_ms: u64,
    /// Names of instances that the list omits although they are in service.
    pub hidden: Vec<Name>,
    /// Incorrect entries that the list contains. Each replaces the entry of the same name.
    pub wrong: Vec<Instance>,
}

/// Contents of the list from `since` until the next snapshot.
#[derive(Debug, Clone)]
struct Snapshot {
    since: Instant,
    instances: Vec<Instance>,
}

/// Instances and injected faults of the list service.
#[derive(Debug)]
pub struct ListService {
    /// Snapshots, oldest first; never empty.
    snapshots: Mutex<Vec<Snapshot>>,
    faults: Mutex<Faults>,
}

impl ListService {
    /// Creates a list that contains `instances`.
    #[must_use]
    pub fn new(mut instances: Vec<Instance>) -> Self {
        instances.sort_by(|a, b| a.name.cmp(&b.name));
        let first = Snapshot {
            since: Instant::now(),
            instances,
        };
        Self {
            snapshots: Mutex::new(vec![first]),
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

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }

    /// Returns the instances that a reader sees, with the faults applied: those of the newest
    /// snapshot that is at least `lag_ms` old, or of the oldest if none is. Drops older snapshots.
    fn visible_instances(&self, faults: &Faults) -> Vec<Instance> {
        let mut snapshots = lock(&self.snapshots);
        let lag = Duration::from_millis(faults.lag_ms);
        let visible = |snapshot: &Snapshot| snapshot.since.elapsed() >= lag;
        let newest = snapshots.iter().rposition(visible).unwrap_or(0);
        snapshots.drain(..newest);
        let mut shown = snapshots[0].instances.clone();
        shown.retain(|instance| !faults.hidden.contains(&instance.name));
        for wrong in &faults.wrong {
            shown.retain(|instance| instance.name != wrong.name);
            shown.push(wrong.clone());
        }
        shown
    }

    fn update(&self, change: impl FnOnce(&mut Vec<Instance>)) {
        let mut snapshots = lock(&self.snapshots);
        if let Some(last) = snapshots.last().cloned() {
            let mut next = Snapshot {
                since: Instant::now(),
                ..last
            };
            change(&mut next.instances);
            snapshots.push(next);
        }
    }
}

async fn fetch(request: Request<Arc<ListService>>) -> tide::Result {
    let faults = lock(&request.state().faults).clone();
    if faults.down {
        return Ok(Response::new(StatusCode::ServiceUnavailable));
    }
    let instances = request.state().visible_instances(&faults);
    Ok(Response::builder(StatusCode::Ok)
        .body(Body::from_json(&Instances { instances })?)
        .build())
}

async fn put(mut request: Request<Arc<ListService>>) -> tide::Result {
    let instance: Instance = request.body_json().await?;
    request.state().update(|instances| {
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
        .update(|instances| instances.retain(|i| &*i.name != name));
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
