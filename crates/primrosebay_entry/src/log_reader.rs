//! Follows streams of the log.

use std::sync::Weak;
use std::time::Duration;

use async_std::task;

use primrosebay_coordination::publisher::Seen;
use primrosebay_protocol::log::Page;
use primrosebay_transport::log::Log;

use crate::shared::Shared;

/// How long a read waits for new records.
const WAIT: Duration = Duration::from_secs(1);
/// Pause after a failed read.
const RETRY: Duration = Duration::from_millis(200);

/// Reads `stream` from its start and hands every page to `apply`, or nothing after a failed read.
/// A record that the log has twice is handed over once. Records that the log no longer keeps are
/// passed over; snapshots that follow stand for them. Ends with the instance, or when `apply`
/// returns that it does not want to go on.
pub async fn follow(
    shared: Weak<Shared>,
    stream: &str,
    mut apply: impl FnMut(Option<Page>) -> bool,
) {
    let mut from = 0;
    let mut seen = Seen::new();
    while let Some(shared) = shared.upgrade() {
        let page = read(&shared, stream, &mut from).await;
        let failed = page.is_none();
        let page = page.map(|mut page| {
            page.records
                .retain(|placed| seen.insert(placed.offset, placed.record.id));
            seen.expire(page.oldest);
            page
        });
        if !apply(page) {
            return;
        }
        drop(shared);
        if failed {
            task::sleep(RETRY).await;
        }
    }
}

async fn read(shared: &Shared, stream: &str, from: &mut u64) -> Option<Page> {
    match shared.log.read(stream, *from, WAIT).await {
        Ok(page) => {
            if page.oldest > *from {
                log::warn!("log: Stream {stream} is kept from {} on only.", page.oldest);
            }
            for placed in &page.records {
                let id = placed.record.id;
                shared.publisher.observed(stream, placed.offset, id);
            }
            let next = page.records.last().map(|last| last.offset + 1);
            *from = next.unwrap_or_else(|| (*from).max(page.oldest));
            Some(page)
        }
        Err(error) => {
            log::warn!("log: Stream {stream} cannot be read: {error}.");
            None
        }
    }
}
