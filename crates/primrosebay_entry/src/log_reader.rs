//! Follows streams of the log.

use std::time::Duration;

use primrosebay_coordination::publisher::SeenRecords;
use primrosebay_protocol::log::{LogEntry, Page};
use primrosebay_transport::log::Log;

use crate::shared::Shared;

/// Reads one stream from its start.
///
/// A record that the log has twice is handed over once. Records that the log no longer keeps are
/// passed over; snapshots that follow stand for them.
#[derive(Debug)]
pub struct StreamReader {
    stream: String,
    next: u64,
    seen: SeenRecords,
    unread: Vec<LogEntry>,
}

impl StreamReader {
    /// Creates a reader that stands at the start of `stream`.
    #[must_use]
    pub fn new(stream: &str) -> Self {
        Self {
            stream: stream.to_owned(),
            next: 0,
            seen: SeenRecords::new(),
            unread: Vec::new(),
        }
    }

    /// Returns the offset after the last record that was read.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Reads up to the end of the stream and returns whether it was reached. Waits up to `wait` for
    /// the first new record. What was read before a failure is kept for [`StreamReader::take`].
    pub async fn read_to_end(&mut self, shared: &Shared, mut wait: Duration) -> bool {
        loop {
            let Some(page) = self.read(shared, wait).await else {
                return false;
            };
            if self.next >= page.end {
                return true;
            }
            wait = Duration::ZERO;
        }
    }

    /// Returns the records that were read since the last call, in their order.
    pub fn take(&mut self) -> Vec<LogEntry> {
        std::mem::take(&mut self.unread)
    }

    /// Reads one page and returns it without its records.
    async fn read(&mut self, shared: &Shared, wait: Duration) -> Option<Page> {
        match shared.log.read(&self.stream, self.next, wait).await {
            Ok(mut page) => {
                self.add(shared, &mut page);
                Some(page)
            }
            Err(error) => {
                log::warn!("log: Stream {} cannot be read: {error}.", self.stream);
                None
            }
        }
    }

    fn add(&mut self, shared: &Shared, page: &mut Page) {
        if page.oldest > self.next {
            log::warn!(
                "log: Stream {} is kept from {} on only.",
                self.stream,
                page.oldest
            );
        }
        self.next = self.next.max(page.oldest);
        for placed in std::mem::take(&mut page.records) {
            let id = placed.record.id;
            shared.publisher.observed(&self.stream, placed.offset, id);
            self.next = placed.offset + 1;
            if self.seen.insert(placed.offset, id) {
                self.unread.push(placed);
            }
        }
        self.seen.expire(page.oldest);
    }
}
