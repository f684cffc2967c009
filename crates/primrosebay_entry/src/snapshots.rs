//! Publishes snapshots before the log's retention drops the records that they stand for.

use std::sync::{Arc, Weak};
use std::time::Duration;

use async_std::task;

use primrosebay_coordination::publisher::{SnapshotPlan, split_snapshot};
use primrosebay_protocol::log::{CONFIG_STREAM, JOBS_STREAM};
use primrosebay_state::Name;
use primrosebay_state::record::Body;
use primrosebay_state::time::Time;
use primrosebay_transport::log::Log;

use crate::shared::Shared;
use crate::zones::Zone;

/// How often a snapshot may become due.
const PERIOD: Duration = Duration::from_secs(5);
/// Bytes of one piece, so that other records share its append.
const PIECE_BYTES: usize = 128 << 10;

/// Publishes snapshots of one zone's jobs while this instance coordinates it.
pub async fn publish_jobs(shared: Weak<Shared>, zone: Arc<Zone>) {
    let mut plan = SnapshotPlan::new(Time(0));
    while let Some(shared) = shared.upgrade() {
        let make = |_| {
            let items = zone.read(|coordinator| {
                let held = coordinator.authority(shared.now()).held;
                held.then(|| coordinator.snapshot())
            })?;
            let items = items.into_iter().map(|item| {
                let bytes = serde_json::to_vec(&item).map_or(0, |json| json.len());
                (item, bytes)
            });
            let pieces = split_snapshot(&zone.name, items.collect(), PIECE_BYTES);
            Some(pieces.into_iter().map(Body::Snapshot).collect())
        };
        step(&shared, JOBS_STREAM, &mut plan, make).await;
        drop(shared);
        task::sleep(PERIOD).await;
    }
}

/// Publishes snapshots of the configuration while this instance coordinates the lowest-named zone.
pub async fn publish_config(shared: Weak<Shared>) {
    let mut plan = SnapshotPlan::new(Time(0));
    while let Some(shared) = shared.upgrade() {
        let make = |end| {
            let zone = shared.zone(&lowest_zone(&shared)?)?;
            let held = zone.read(|coordinator| coordinator.authority(shared.now()).held);
            let config = shared.config();
            // A snapshot of an instance that lags would not be newer than the records it follows.
            let current = held && config.next >= end;
            let pieces = current.then(|| config.snapshot_parts())?;
            Some(pieces.into_iter().map(Body::ConfigSnapshot).collect())
        };
        step(&shared, CONFIG_STREAM, &mut plan, make).await;
        drop(shared);
        task::sleep(PERIOD).await;
    }
}

async fn step(
    shared: &Shared,
    stream: &str,
    plan: &mut SnapshotPlan,
    make: impl Fn(u64) -> Option<Vec<Body>>,
) {
    let Ok(page) = shared.log.read(stream, u64::MAX, Duration::ZERO).await else {
        return;
    };
    if !plan.due(shared.now(), page.oldest, page.end) {
        return;
    }
    let Some(pieces) = make(page.end) else {
        return;
    };
    let mut first = None;
    for piece in pieces {
        // The pieces go one after the other, so that they never fill the queue.
        match shared.publisher.append_without_timeout(stream, piece).await {
            Ok(offset) => first = first.or(Some(offset)),
            Err(_) => return,
        }
    }
    if let Some(first) = first {
        plan.published(shared.now(), first);
        log::info!("log: A snapshot of {stream} was published at {first}.");
    }
}

fn lowest_zone(shared: &Shared) -> Option<Name> {
    let directory = shared.directory();
    directory.iter().map(|instance| instance.zone.clone()).min()
}
