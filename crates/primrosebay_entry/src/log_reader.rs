//! Follows a stream of the log.

use std::time::Duration;

use async_std::task;
use primrosebay_protocol::log::Page;
use primrosebay_transport::log::{HttpLog, Log};

/// How long a read waits for new records.
const WAIT: Duration = Duration::from_secs(1);
/// Pause after a failed read.
const RETRY: Duration = Duration::from_millis(200);

/// Reads `stream` from its start and hands every page to `apply`, or nothing after a failed read.
/// `apply` returns whether to go on.
pub async fn follow(log: &HttpLog, stream: &str, mut apply: impl FnMut(Option<Page>) -> bool) {
    let mut from = 0;
    loop {
        let page = match log.read(stream, from, WAIT).await {
            Ok(page) => Some(page),
            Err(e) => {
                log::warn!("log: cannot read stream {stream}: {e}");
                task::sleep(RETRY).await;
                None
            }
        };
        if let Some(last) = page.as_ref().and_then(|p| p.records.last()) {
            from = last.offset + 1;
        }
        if !apply(page) {
            return;
        }
    }
}
