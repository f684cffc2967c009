//! Follows streams of the log.

use std::time::Duration;

use async_std::task;

use primrosebay_coordination::publisher::Seen;
use primrosebay_protocol::log::{CONFIG_STREAM, Page};
use primrosebay_transport::log::Log;

use crate::shared::Shared;

/// How long a read waits for new records.
const WAIT: Duration = Duration::from_secs(1);
/// Pause after a failed read.
const RETRY: Duration = Duration::from_millis(200);

/// Reads `stream` from its start and hands every page to `apply`, or nothing after a failed read.
/// A record that the log has twice is handed over once. `apply` returns whether to go on.
pub async fn follow(shared: &Shared, stream: &str, mut apply: impl FnMut(Option<Page>) -> bool) {
    let mut from = 0;
    let mut seen = Seen::new();
    loop {
        let page = read(shared, stream, &mut from).await;
        let page = page.map(|mut page| {
            page.records
                .retain(|placed| seen.insert(placed.offset, placed.record.id));
            seen.expire(page.oldest);
            page
        });
        if !apply(page) {
            return;
        }
    }
}

/// Follows the configuration: from the log, and from peers while the log cannot be read or no longer
/// keeps the next record. `changed` is called after each change and returns whether to go on.
pub async fn follow_config(shared: &Shared, mut changed: impl FnMut() -> bool) {
    let mut from = 0;
    loop {
        let asked = shared.now();
        let before = shared.config_log().next();
        from = from.max(before);
        let page = read(shared, CONFIG_STREAM, &mut from).await;
        let expired = page.as_ref().is_none_or(|page| page.oldest > before);
        if expired
            && let Some(peers) = shared.peers()
            && let Some(fetched) = peers.fetch(before).await
        {
            shared.config_log().read_peer(fetched);
        }
        let end = page.as_ref().map(|page| page.end);
        let applied = page.map_or_else(Vec::new, |page| shared.config_log().read(page));
        let next = shared.config_log().next();
        // The log answered after `asked`, so all records before that time have been applied.
        if end.is_some_and(|end| next >= end) {
            shared.config_log().confirm(asked);
        }
        if let Some(peers) = shared.peers() {
            peers.push(&applied).await;
        }
        if next != before {
            shared.publish_config();
        }
        if !changed() {
            return;
        }
    }
}

/// Reads the next page. Records that the log no longer keeps are passed over.
async fn read(shared: &Shared, stream: &str, from: &mut u64) -> Option<Page> {
    match shared.log.read(stream, *from, WAIT).await {
        Ok(page) => {
            if page.oldest > *from {
                log::warn!(
                    "log: Stream {stream} is kept from offset {} on only.",
                    page.oldest
                );
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
            task::sleep(RETRY).await;
            None
        }
    }
}
