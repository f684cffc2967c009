//! Publishes snapshots before the log's retention drops the records that they replace.

use std::sync::{Arc, Weak};
use std::time::Duration;

use async_std::task;

use primrosebay_coordination::publisher::{SnapshotSchedule, split_snapshot};
use primrosebay_protocol::log::{CONFIG_STREAM, JOBS_STREAM};
use primrosebay_state::Name;
use primrosebay_state::record::Body;
use primrosebay_state::time::Time;
use primrosebay_transport::log::Log;

use crate::shared::Shared;
use crate::zones::Zone;

/// Interval between checks whether a snapshot is due.
const CHECK_PERIOD: Duration = Duration::from_secs(5);
/// Longest part of a snapshot in bytes, short enough for other records to share its append.
const MAX_PART_BYTES: usize = 128 << 10;

/// Publishes snapshots of one zone's jobs while this instance coordinates it.
pub async fn publish_jobs(shared: Weak<Shared>, zone: Arc<Zone>) {
    let mut schedule = SnapshotSchedule::new(Time(0));
    while let Some(shared) = shared.upgrade() {
        let build = |_| {
            let items = zone.read(|coordinator| {
                let held = coordinator.authority(shared.now()).held;
                held.then(|| coordinator.snapshot())
            })?;
            let items = items.into_iter().map(|item| {
                let bytes = serde_json::to_vec(&item).map_or(0, |json| json.len());
                (item, bytes)
            });
            let parts = split_snapshot(&zone.name, items.collect(), MAX_PART_BYTES);
            Some(parts.into_iter().map(Body::Snapshot).collect())
        };
        publish_if_due(&shared, JOBS_STREAM, &mut schedule, build).await;
        drop(shared);
        task::sleep(CHECK_PERIOD).await;
    }
}

/// Publishes snapshots of the configuration while this instance coordinates the lowest-named zone.
pub async fn publish_config(shared: Weak<Shared>) {
    let mut schedule = SnapshotSchedule::new(Time(0));
    while let Some(shared) = shared.upgrade() {
        let build = |end| {
            let zone = shared.zone(&lowest_zone(&shared)?)?;
            let held = zone.read(|coordinator| coordinator.authority(shared.now()).held);
            let config = shared.config();
            // A snapshot by a lagging instance would be older than records before it in the log.
            let current = held && config.next >= end;
            let parts = current.then(|| config.snapshot_parts())?;
            Some(parts.into_iter().map(Body::ConfigSnapshot).collect())
        };
        publish_if_due(&shared, CONFIG_STREAM, &mut schedule, build).await;
        drop(shared);
        task::sleep(CHECK_PERIOD).await;
    }
}

/// Publishes the snapshot returned by `build` if one is due according to `schedule`. `build` gets
/// the end of the stream and returns `None` if this instance must not publish.
async fn publish_if_due(
    shared: &Shared,
    stream: &str,
    schedule: &mut SnapshotSchedule,
    build: impl Fn(u64) -> Option<Vec<Body>>,
) {
    let Ok(page) = shared.log.read(stream, u64::MAX, Duration::ZERO).await else {
        return;
    };
    if !schedule.due(shared.now(), page.oldest, page.end) {
        return;
    }
    let Some(parts) = build(page.end) else {
        return;
    };
    let mut first = None;
    for part in parts {
        // Each part is appended before the next is queued, so that a snapshot never fills the
        // queue.
        match shared.publisher.append_without_timeout(stream, part).await {
            Ok(offset) => first = first.or(Some(offset)),
            Err(_) => return,
        }
    }
    if let Some(first) = first {
        schedule.published(shared.now(), first);
        log::info!("log: published a snapshot of stream {stream} at offset {first}");
    }
}

/// Returns the zone with the lowest name in the instance list.
fn lowest_zone(shared: &Shared) -> Option<Name> {
    let directory = shared.directory();
    directory.iter().map(|instance| instance.zone.clone()).min()
}
