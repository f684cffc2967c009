//! Appends records to the log: the I/O around the publisher's state machine in
//! `primrosebay_coordination`.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use async_std::channel::{self, Receiver, Sender};
use async_std::future::timeout;
use async_std::task;

use primrosebay_coordination::publisher::{
    Durable, Limits, Publisher as Queue, Step, Ticket, Withdrawn,
};
use primrosebay_protocol::log::Append;
use primrosebay_state::id::{Incarnation, RecordId};
use primrosebay_state::record::{Body, Record};
use primrosebay_state::time::Time;
use primrosebay_transport::http_client::CallError;
use primrosebay_transport::log::{HttpLog, Log};

use crate::peers::Peers;

/// Longest wait of a caller for the log or for peers. Peers are asked to hold a record after 500
/// ms, which leaves them 1.5 s to answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between checks for overdue records, and for copies held for instances that have died.
const COPY_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Longest pause of the append loop in milliseconds while nothing is due.
const MAX_IDLE_MS: u64 = 1_000;

/// Why a record is not known to be durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PublishError {
    /// The record was not appended and will not be.
    NotAppended,
    /// The record may be in the log or reach it later.
    Unknown,
}

/// Where a durable record is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Durability {
    /// In the log at the offset.
    Logged(u64),
    /// As copies at peers, which append it if this instance dies.
    Held,
}

#[derive(Debug)]
struct State {
    queue: Queue,
    /// Channels to waiting callers, sorted by record.
    waiters: Vec<(RecordId, Sender<Durability>)>,
}

struct Inner {
    log: Arc<HttpLog>,
    state: Mutex<State>,
    peers: OnceLock<Arc<Peers>>,
    /// Sequence number of the last record identifier; 0 before the first.
    last_sequence: AtomicU64,
    enqueued: AtomicU64,
    appends: AtomicU64,
    incarnation: Incarnation,
    /// The origin of the publisher's own time. Appends do not depend on the instance's clock, which
    /// a test may stop.
    started: Instant,
    wake: Sender<()>,
    closed: AtomicBool,
}

/// Queues records and appends them to the log in batches. Clones share the queue.
#[derive(Clone)]
pub struct Publisher {
    inner: Arc<Inner>,
}

impl std::fmt::Debug for Publisher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Publisher").finish_non_exhaustive()
    }
}

impl Publisher {
    /// Creates an empty queue and spawns the loop that appends it to `log`.
    #[must_use]
    pub fn start(log: Arc<HttpLog>, incarnation: Incarnation) -> Self {
        let (wake, wakeups) = channel::bounded(1);
        let inner = Arc::new(Inner {
            log,
            state: Mutex::new(State {
                queue: Queue::new(Limits::default(), incarnation.0),
                waiters: Vec::new(),
            }),
            peers: OnceLock::new(),
            last_sequence: AtomicU64::new(0),
            enqueued: AtomicU64::new(0),
            appends: AtomicU64::new(0),
            incarnation,
            started: Instant::now(),
            wake,
            closed: AtomicBool::new(false),
        });
        task::spawn(run_append_loop(inner.clone(), wakeups));
        Self { inner }
    }

    /// Sets the peers that hold copies while the log is down. Later calls have no effect.
    pub fn set_peers(&self, peers: Arc<Peers>) {
        if self.inner.peers.set(peers).is_ok() {
            task::spawn(maintain_copies(self.inner.clone()));
        }
    }

    /// Sets the number of entry instances that share the append rate.
    pub fn set_instances(&self, instances: usize) {
        let now = self.inner.now();
        self.inner.lock().queue.set_instances(now, instances);
    }

    /// Appends a record to `stream` and returns its offset. Peers are not asked for copies, so that
    /// a configuration change that is refused while the log is down does not take effect later.
    ///
    /// # Errors
    /// Returns an error if the record is not confirmed in time; it tells whether the record may be
    /// in the log nevertheless.
    pub async fn append(&self, stream: &str, body: Body) -> Result<u64, PublishError> {
        let (id, receiver) = self.push(stream, body, false)?;
        let logged = async {
            while let Ok(durability) = receiver.recv().await {
                if let Durability::Logged(offset) = durability {
                    return Some(offset);
                }
            }
            None
        };
        match timeout(CALLER_TIMEOUT, logged).await {
            Ok(Some(offset)) => Ok(offset),
            _ => Err(self.withdraw(id)),
        }
    }

    /// Makes a record durable in the log, or at peers while the log is down.
    ///
    /// # Errors
    /// Returns an error if the record is not durable in time; it tells whether the record may still
    /// become durable.
    pub async fn persist(&self, stream: &str, body: Body) -> Result<Durability, PublishError> {
        let (id, receiver) = self.push(stream, body, true)?;
        match timeout(CALLER_TIMEOUT, receiver.recv()).await {
            Ok(Ok(durability)) => Ok(durability),
            _ => Err(self.withdraw(id)),
        }
    }

    /// Appends a record, retrying until the append succeeds, and returns its offset. While the log
    /// is down, peers hold copies.
    ///
    /// # Errors
    /// Returns an error if the queue is full.
    pub async fn append_without_timeout(
        &self,
        stream: &str,
        body: Body,
    ) -> Result<u64, PublishError> {
        let (_, receiver) = self.push(stream, body, true)?;
        loop {
            match receiver.recv().await {
                Ok(Durability::Logged(offset)) => return Ok(offset),
                Ok(Durability::Held) => {}
                Err(_) => return Err(PublishError::Unknown),
            }
        }
    }

    /// Notes that a record was read from the log. This confirms it if it is queued here, and
    /// releases the copy if one is held here.
    pub fn observed(&self, stream: &str, offset: u64, id: RecordId) {
        let durable = self.inner.lock().queue.observed(stream, offset, id);
        self.inner.confirm(durable.as_slice());
        if let Some(peers) = self.inner.peers.get() {
            peers.observed(id);
        }
    }

    /// Returns the number of queued records and their bytes.
    #[must_use]
    pub fn backlog(&self) -> (usize, usize) {
        self.inner.lock().queue.waiting()
    }

    /// Returns the number of records queued since the start, including copies held for dead
    /// instances.
    #[must_use]
    pub fn enqueued(&self) -> u64 {
        self.inner.enqueued.load(Ordering::Relaxed)
    }

    /// Returns the number of appends sent since the start, including retries.
    #[must_use]
    pub fn appends(&self) -> u64 {
        self.inner.appends.load(Ordering::Relaxed)
    }

    /// Returns the milliseconds for which appends have been failing, or `None` if they succeed.
    #[must_use]
    pub fn failing(&self) -> Option<u64> {
        let now = self.inner.now();
        self.inner.lock().queue.failing(now)
    }

    /// Returns a new record identifier, unique across instances and restarts.
    #[must_use]
    pub fn next_id(&self) -> RecordId {
        RecordId {
            incarnation: self.inner.incarnation,
            sequence: self.inner.last_sequence.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// Waits until all queued records are in the log or `limit` has passed, and stops the append
    /// loop. Returns whether the queue was emptied.
    pub async fn close(self, limit: Duration) -> bool {
        let empty = async {
            while self.backlog().0 > 0 {
                task::sleep(Duration::from_millis(5)).await;
            }
        };
        let flushed = timeout(limit, empty).await.is_ok();
        self.inner.closed.store(true, Ordering::Relaxed);
        self.inner.notify();
        flushed
    }

    /// Queues a record. Returns its identifier, and the channel that reports when it is durable.
    /// `copies` tells whether peers may be asked for copies.
    fn push(
        &self,
        stream: &str,
        body: Body,
        copies: bool,
    ) -> Result<(RecordId, Receiver<Durability>), PublishError> {
        let id = self.next_id();
        let record = Record { id, body };
        // At most one message comes from peers and one from the log.
        let (waiter, receiver) = channel::bounded(2);
        self.inner.push(stream, record, copies, Some(waiter))?;
        Ok((id, receiver))
    }

    /// Withdraws a record after a timeout, and returns the error for its caller.
    fn withdraw(&self, id: RecordId) -> PublishError {
        let mut state = self.inner.lock();
        let withdrawn = state.queue.withdraw(id);
        if let Ok(at) = state.waiters.binary_search_by_key(&id, |waiter| waiter.0) {
            state.waiters.remove(at);
        }
        match withdrawn {
            Withdrawn::Yes => PublishError::NotAppended,
            Withdrawn::MaybeAppended | Withdrawn::Gone => PublishError::Unknown,
        }
    }
}

impl Inner {
    fn now(&self) -> Time {
        Time(u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(
        &self,
        stream: &str,
        record: Record,
        copies: bool,
        waiter: Option<Sender<Durability>>,
    ) -> Result<(), PublishError> {
        let bytes = serde_json::to_vec(&record).map_or(0, |json| json.len());
        let id = record.id;
        let now = self.now();
        let mut state = self.lock();
        let queued = state.queue.push(now, stream, record, bytes, copies);
        queued.map_err(|_| PublishError::NotAppended)?;
        if let Some(waiter) = waiter {
            let at = state.waiters.partition_point(|waiter| waiter.0 < id);
            state.waiters.insert(at, (id, waiter));
        }
        drop(state);
        self.enqueued.fetch_add(1, Ordering::Relaxed);
        self.notify();
        Ok(())
    }

    fn notify(&self) {
        // If the channel is full, a wake-up is already pending.
        let _ = self.wake.try_send(());
    }

    /// Reports records that are in the log to their callers, and releases the copies at peers.
    fn confirm(&self, durable: &[Durable]) {
        if durable.is_empty() {
            return;
        }
        let mut state = self.lock();
        for record in durable {
            if let Ok(at) = state
                .waiters
                .binary_search_by_key(&record.id, |waiter| waiter.0)
            {
                let (_, waiter) = state.waiters.remove(at);
                // The caller may have timed out.
                let _ = waiter.try_send(Durability::Logged(record.offset));
            }
        }
        drop(state);
        if let Some(peers) = self.peers.get() {
            let held = durable.iter().filter(|record| record.held);
            let held: Vec<_> = held.map(|record| record.id).collect();
            for record in durable {
                peers.observed(record.id);
            }
            if !held.is_empty() {
                let peers = peers.clone();
                task::spawn(async move { peers.release(&held).await });
            }
        }
        self.notify();
    }

    /// Sends one append and reports its result to the queue.
    async fn append(&self, stream: &str, ticket: Ticket, records: Vec<Record>) {
        self.appends.fetch_add(1, Ordering::Relaxed);
        let result = self.log.append(stream, &Append { records }).await;
        let durable = {
            let now = self.now();
            let queue = &mut self.lock().queue;
            match result {
                Ok(appended) => queue.appended(ticket, appended.first),
                Err(error) => {
                    log::warn!("log: append to stream {stream} failed: {error}");
                    if had_no_effect(&error) {
                        queue.refused(now, ticket);
                    } else {
                        queue.answer_lost(now, ticket);
                    }
                    Vec::new()
                }
            }
        };
        self.confirm(&durable);
        self.notify();
    }

    /// Reads the stream from offset `from` to its end to learn whether an append whose answer was
    /// lost took effect.
    async fn read_back(&self, stream: &str, ticket: Ticket, mut from: u64) {
        loop {
            let Ok(page) = self.log.read(stream, from, Duration::ZERO).await else {
                let now = self.now();
                self.lock().queue.read_failed(now, ticket);
                break;
            };
            let mut durable = Vec::new();
            {
                let queue = &mut self.lock().queue;
                for entry in &page.records {
                    durable.extend(queue.observed(stream, entry.offset, entry.record.id));
                }
            }
            self.confirm(&durable);
            from = page.records.last().map_or(page.end, |last| last.offset + 1);
            if from >= page.end {
                self.lock().queue.read_back(ticket);
                break;
            }
        }
        self.notify();
    }

    /// Asks peers to hold copies of records that the log has not confirmed in time.
    async fn replicate_overdue(&self, peers: &Peers) {
        let now = self.now();
        let overdue = self.lock().queue.overdue(now);
        for batch in overdue.chunk_by(|a, b| a.0 == b.0) {
            let stream = &batch[0].0;
            let records: Vec<_> = batch.iter().map(|(_, record)| record.clone()).collect();
            let ids: Vec<_> = records.iter().map(|record| record.id).collect();
            let holders = peers.hold(stream, &records).await;
            let mut state = self.lock();
            if holders == 0 {
                state.queue.clear_held(&ids);
                continue;
            }
            for id in ids {
                if let Ok(at) = state.waiters.binary_search_by_key(&id, |waiter| waiter.0) {
                    let _ = state.waiters[at].1.try_send(Durability::Held);
                }
            }
        }
    }

    /// Queues copies held for instances that have died, unless appends are failing.
    fn append_orphans(&self, peers: &Peers) {
        let now = self.now();
        if self.lock().queue.failing(now).is_some() {
            return;
        }
        for (stream, record, _) in peers.orphaned_copies() {
            let id = record.id;
            if self.push(&stream, record, false, None).is_err() {
                peers.retry_copy(id);
            }
        }
    }
}

/// Returns whether the error proves that the append had no effect. A status of 500 or above does
/// not, because it may come from a proxy that lost the log's answer.
fn had_no_effect(error: &CallError) -> bool {
    match error {
        CallError::NotSent { .. } => true,
        CallError::Status { status, .. } => (400..500).contains(status),
        CallError::Lost { .. } | CallError::Malformed { .. } => false,
    }
}

/// Appends and reads back as the queue demands until the publisher is closed.
async fn run_append_loop(inner: Arc<Inner>, wakeups: Receiver<()>) {
    while !inner.closed.load(Ordering::Relaxed) {
        let now = inner.now();
        let step = inner.lock().queue.poll(now);
        let inner = inner.clone();
        match step {
            Step::Append {
                stream,
                ticket,
                records,
            } => {
                task::spawn(async move { inner.append(&stream, ticket, records).await });
            }
            Step::ReadBack {
                stream,
                ticket,
                from,
            } => {
                task::spawn(async move { inner.read_back(&stream, ticket, from).await });
            }
            Step::Wait(until) => {
                let pause =
                    until.map_or(MAX_IDLE_MS, |until| until.since(now).clamp(1, MAX_IDLE_MS));
                let _ = timeout(Duration::from_millis(pause), wakeups.recv()).await;
            }
        }
    }
}

/// Replicates overdue records to peers, and appends orphaned copies, until the publisher is closed.
async fn maintain_copies(inner: Arc<Inner>) {
    let Some(peers) = inner.peers.get().cloned() else {
        return;
    };
    while !inner.closed.load(Ordering::Relaxed) {
        task::sleep(COPY_CHECK_PERIOD).await;
        inner.replicate_overdue(&peers).await;
        inner.append_orphans(&peers);
    }
}
