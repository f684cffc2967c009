//! Appends records to the log in batches.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_std::channel::{self, Receiver, Sender};
use async_std::task;
use primrosebay_protocol::log::Append;
use primrosebay_state::Name;
use primrosebay_state::id::{Incarnation, RecordId};
use primrosebay_state::record::{Body, Record};
use primrosebay_transport::http_client::CallError;
use primrosebay_transport::log::{HttpLog, Log};

/// How long a batch is collected.
const BATCH_WINDOW: Duration = Duration::from_millis(5);
/// Records that may wait to be appended.
const QUEUE_RECORDS: usize = 65_536;

/// Why a record is not known to be in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PublishError {
    /// The record was not appended.
    NotAppended,
    /// The answer was lost; the record may be in the log.
    Unknown,
}

/// Collects records and appends them.
#[derive(Debug)]
pub struct Publisher {
    incarnation: Incarnation,
    sequence: AtomicU64,
    queue: Sender<Item>,
}

#[derive(Debug)]
struct Item {
    stream: Name,
    record: Record,
    done: Sender<Result<u64, PublishError>>,
}

impl Publisher {
    /// Starts the task that appends batches to `log`.
    #[must_use]
    pub fn start(log: Arc<HttpLog>, incarnation: Incarnation) -> Self {
        let (queue, items) = channel::bounded(QUEUE_RECORDS);
        task::spawn(run(log, items));
        Self {
            incarnation,
            sequence: AtomicU64::new(0),
            queue,
        }
    }

    /// Appends a record to `stream` and returns its offset.
    ///
    /// # Errors
    /// Tells whether the record may be in the log all the same.
    pub async fn append(&self, stream: &str, body: Body) -> Result<u64, PublishError> {
        let id = RecordId {
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
        };
        let (done, result) = channel::bounded(1);
        let item = Item {
            stream: stream.into(),
            record: Record { id, body },
            done,
        };
        self.queue
            .try_send(item)
            .map_err(|_| PublishError::NotAppended)?;
        result.recv().await.unwrap_or(Err(PublishError::Unknown))
    }
}

async fn run(log: Arc<HttpLog>, items: Receiver<Item>) {
    while let Ok(first) = items.recv().await {
        task::sleep(BATCH_WINDOW).await;
        let mut batch = vec![first];
        while let Ok(item) = items.try_recv() {
            batch.push(item);
        }
        batch.sort_by(|a, b| a.stream.cmp(&b.stream));
        for part in batch.chunk_by(|a, b| a.stream == b.stream) {
            append(&log, part).await;
        }
    }
}

async fn append(log: &HttpLog, part: &[Item]) {
    let records = part.iter().map(|item| item.record.clone()).collect();
    let answer = log.append(&part[0].stream, &Append { records }).await;
    for (item, i) in part.iter().zip(0..) {
        let result = match &answer {
            Ok(appended) => Ok(appended.first + i),
            Err(CallError::NotSent { .. }) => Err(PublishError::NotAppended),
            Err(_) => Err(PublishError::Unknown),
        };
        // The caller may have given up waiting.
        let _ = item.done.try_send(result);
    }
}
