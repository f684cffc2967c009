//! Incremental reading of log streams.

use std::time::Duration;

use primrosebay_coordination::publisher::SeenRecords;
use primrosebay_protocol::log::{LogEntry, Page};
use primrosebay_transport::log::Log;

use crate::shared::Shared;

/// Reads one stream from its start.
///
/// A record that was appended twice is returned once. Records that the log's retention has dropped
/// are skipped; snapshots later in the stream replace them.
#[derive(Debug)]
pub struct StreamReader {
    stream: String,
    next: u64,
    seen: SeenRecords,
    buffered: Vec<LogEntry>,
}

impl StreamReader {
    /// Creates a reader positioned at the start of `stream`.
    #[must_use]
    pub fn new(stream: &str) -> Self {
        Self {
            stream: stream.to_owned(),
            next: 0,
            seen: SeenRecords::new(),
            buffered: Vec::new(),
        }
    }

    /// Returns the offset of the next record to read.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Reads to the end of the stream and returns whether it was reached. Waits up to `wait` for
    /// the first new record. Records read before a failure remain available to
    /// [`StreamReader::take`].
    pub async fn read_to_end(&mut self, shared: &Shared, mut wait: Duration) -> bool {
        loop {
            let Some(page) = self.read_page(shared, wait).await else {
                return false;
            };
            if self.next >= page.end {
                return true;
            }
            wait = Duration::ZERO;
        }
    }

    /// Returns the records read since the last call, in stream order.
    pub fn take(&mut self) -> Vec<LogEntry> {
        std::mem::take(&mut self.buffered)
    }

    /// Reads one page, buffers its records and returns the rest of it.
    async fn read_page(&mut self, shared: &Shared, wait: Duration) -> Option<Page> {
        match shared.log.read(&self.stream, self.next, wait).await {
            Ok(mut page) => {
                self.add_page(shared, &mut page);
                Some(page)
            }
            Err(error) => {
                log::warn!("log: cannot read stream {}: {error}", self.stream);
                None
            }
        }
    }

    fn add_page(&mut self, shared: &Shared, page: &mut Page) {
        if page.oldest > self.next {
            log::warn!(
                "log: stream {} starts at offset {}, older records were dropped",
                self.stream,
                page.oldest
            );
        }
        self.next = self.next.max(page.oldest);
        for entry in std::mem::take(&mut page.records) {
            let id = entry.record.id;
            shared.publisher.observed(&self.stream, entry.offset, id);
            self.next = entry.offset + 1;
            if self.seen.insert(entry.offset, id) {
                self.buffered.push(entry);
            }
        }
        self.seen.expire(page.oldest);
    }
}
