//! Appends records to the log: the I/O around the publisher's decisions.

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

/// How long a caller waits for the log or for peers. Peers are asked after half a second, so they
/// have time to answer.
const PATIENCE: Duration = Duration::from_secs(2);
/// How often records that wait too long and copies of dead instances are looked for.
const COPY_PERIOD: Duration = Duration::from_millis(100);
/// Longest pause of the append loop, in milliseconds, while nothing is due.
const IDLE_MS: u64 = 1_000;

/// Why a record is not known to be in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PublishError {
    /// The record was not appended and will not be.
    NotAppended,
    /// The record may be in the log or get there later.
    Unknown,
}

/// Where an accepted record is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Durability {
    /// In the log at the offset.
    Logged(u64),
    /// At peers, which append it if this instance dies.
    Held,
}

#[derive(Debug)]
struct State {
    queue: Queue,
    /// Callers that wait, sorted by record.
    waiters: Vec<(RecordId, Sender<Durability>)>,
}

struct Inner {
    log: Arc<HttpLog>,
    state: Mutex<State>,
    peers: OnceLock<Arc<Peers>>,
    sequence: AtomicU64,
    pushed: AtomicU64,
    appends: AtomicU64,
    incarnation: Incarnation,
    /// Paces appends. It is not the instance's clock, which a test may stop.
    started: Instant,
    wake: Sender<()>,
    closed: AtomicBool,
}

/// Collects records and appends them. Clones share the queue.
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
    /// Starts the tasks that append batches to `log`.
    #[must_use]
    pub fn start(log: Arc<HttpLog>, incarnation: Incarnation) -> Self {
        let (wake, woken) = channel::bounded(1);
        let inner = Arc::new(Inner {
            log,
            state: Mutex::new(State {
                queue: Queue::new(Limits::default(), incarnation.0),
                waiters: Vec::new(),
            }),
            peers: OnceLock::new(),
            sequence: AtomicU64::new(0),
            pushed: AtomicU64::new(0),
            appends: AtomicU64::new(0),
            incarnation,
            started: Instant::now(),
            wake,
            closed: AtomicBool::new(false),
        });
        task::spawn(run(inner.clone(), woken));
        Self { inner }
    }

    /// Uses peers for copies while the log is down. The first call counts.
    pub fn set_peers(&self, peers: Arc<Peers>) {
        if self.inner.peers.set(peers).is_ok() {
            task::spawn(keep_copies(self.inner.clone()));
        }
    }

    /// Sets the number of entry instances that share the append rate.
    pub fn set_instances(&self, instances: usize) {
        let now = self.inner.now();
        self.inner.lock().queue.set_instances(now, instances);
    }

    /// Appends a record to `stream` and returns its offset. Peers are not asked for copies, so that
    /// a change of configuration that is refused while the log is down does not take effect later.
    ///
    /// # Errors
    /// Tells whether the record may be in the log all the same.
    pub async fn append(&self, stream: &str, body: Body) -> Result<u64, PublishError> {
        let (id, kept) = self.push(stream, body, false)?;
        let logged = async {
            while let Ok(kept) = kept.recv().await {
                if let Durability::Logged(offset) = kept {
                    return Some(offset);
                }
            }
            None
        };
        match timeout(PATIENCE, logged).await {
            Ok(Some(offset)) => Ok(offset),
            _ => Err(self.withdraw(id)),
        }
    }

    /// Makes a record durable in the log, or at peers while the log is down.
    ///
    /// # Errors
    /// Tells whether the record may become durable all the same.
    pub async fn persist(&self, stream: &str, body: Body) -> Result<Durability, PublishError> {
        let (id, kept) = self.push(stream, body, true)?;
        match timeout(PATIENCE, kept.recv()).await {
            Ok(Ok(kept)) => Ok(kept),
            _ => Err(self.withdraw(id)),
        }
    }

    /// Appends a record however long it takes, and returns its offset.
    ///
    /// # Errors
    /// Returns an error if the queue is full.
    pub async fn append_without_timeout(
        &self,
        stream: &str,
        body: Body,
    ) -> Result<u64, PublishError> {
        let (_, kept) = self.push(stream, body, true)?;
        loop {
            match kept.recv().await {
                Ok(Durability::Logged(offset)) => return Ok(offset),
                Ok(Durability::Held) => {}
                Err(_) => return Err(PublishError::Unknown),
            }
        }
    }

    /// Takes a record that was read from the log.
    pub fn observed(&self, stream: &str, offset: u64, id: RecordId) {
        let durable = self.inner.lock().queue.observed(stream, offset, id);
        self.inner.settle(durable.as_slice());
        if let Some(peers) = self.inner.peers.get() {
            peers.observed(id);
        }
    }

    /// Returns the records and bytes that wait for the log.
    #[must_use]
    pub fn backlog(&self) -> (usize, usize) {
        self.inner.lock().queue.waiting()
    }

    /// Returns the number of records that were queued, from all sources.
    #[must_use]
    pub fn enqueued(&self) -> u64 {
        self.inner.pushed.load(Ordering::Relaxed)
    }

    /// Returns the number of appends that were sent.
    #[must_use]
    pub fn appends(&self) -> u64 {
        self.inner.appends.load(Ordering::Relaxed)
    }

    /// Returns for how many milliseconds appends have failed, if they do.
    #[must_use]
    pub fn failing(&self) -> Option<u64> {
        let now = self.inner.now();
        self.inner.lock().queue.failing(now)
    }

    /// Returns a new record identifier.
    #[must_use]
    pub fn next_id(&self) -> RecordId {
        RecordId {
            incarnation: self.inner.incarnation,
            sequence: self.inner.sequence.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// Waits until all queued records are in the log, or `limit` has passed, and stops. Returns
    /// whether the queue is empty.
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

    fn push(
        &self,
        stream: &str,
        body: Body,
        copies: bool,
    ) -> Result<(RecordId, Receiver<Durability>), PublishError> {
        let id = self.next_id();
        let record = Record { id, body };
        // A caller gets at most one note from peers and one from the log.
        let (done, kept) = channel::bounded(2);
        self.inner.push(stream, record, copies, Some(done))?;
        Ok((id, kept))
    }

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
        done: Option<Sender<Durability>>,
    ) -> Result<(), PublishError> {
        let bytes = serde_json::to_vec(&record).map_or(0, |json| json.len());
        let id = record.id;
        let now = self.now();
        let mut state = self.lock();
        let queued = state.queue.push(now, stream, record, bytes, copies);
        queued.map_err(|_| PublishError::NotAppended)?;
        if let Some(done) = done {
            let at = state.waiters.partition_point(|waiter| waiter.0 < id);
            state.waiters.insert(at, (id, done));
        }
        drop(state);
        self.pushed.fetch_add(1, Ordering::Relaxed);
        self.notify();
        Ok(())
    }

    fn notify(&self) {
        // A full channel means that the loop is about to look anyway.
        let _ = self.wake.try_send(());
    }

    /// Tells callers and peers that records are in the log.
    fn settle(&self, durable: &[Durable]) {
        if durable.is_empty() {
            return;
        }
        let mut state = self.lock();
        for done in durable {
            if let Ok(at) = state
                .waiters
                .binary_search_by_key(&done.id, |waiter| waiter.0)
            {
                let (_, waiter) = state.waiters.remove(at);
                // The caller may have given up waiting.
                let _ = waiter.try_send(Durability::Logged(done.offset));
            }
        }
        drop(state);
        if let Some(peers) = self.peers.get() {
            let held = durable.iter().filter(|done| done.held);
            let held: Vec<_> = held.map(|done| done.id).collect();
            for done in durable {
                peers.observed(done.id);
            }
            if !held.is_empty() {
                let peers = peers.clone();
                task::spawn(async move { peers.release(&held).await });
            }
        }
        self.notify();
    }

    async fn append(&self, stream: &str, ticket: Ticket, records: Vec<Record>) {
        self.appends.fetch_add(1, Ordering::Relaxed);
        let answer = self.log.append(stream, &Append { records }).await;
        let durable = {
            let now = self.now();
            let queue = &mut self.lock().queue;
            match answer {
                Ok(appended) => queue.appended(ticket, appended.first),
                Err(error) => {
                    log::warn!("log: An append to {stream} failed: {error}.");
                    if took_no_effect(&error) {
                        queue.refused(now, ticket);
                    } else {
                        queue.answer_lost(now, ticket);
                    }
                    Vec::new()
                }
            }
        };
        self.settle(&durable);
        self.notify();
    }

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
                for placed in &page.records {
                    durable.extend(queue.observed(stream, placed.offset, placed.record.id));
                }
            }
            self.settle(&durable);
            from = page.records.last().map_or(page.end, |last| last.offset + 1);
            if from >= page.end {
                self.lock().queue.read_back(ticket);
                break;
            }
        }
        self.notify();
    }

    /// Asks peers to hold records that the log has not confirmed in time.
    async fn offer(&self, peers: &Peers) {
        let now = self.now();
        let overdue = self.lock().queue.overdue(now);
        for part in overdue.chunk_by(|a, b| a.0 == b.0) {
            let stream = &part[0].0;
            let records: Vec<_> = part.iter().map(|(_, record)| record.clone()).collect();
            let ids: Vec<_> = records.iter().map(|record| record.id).collect();
            let holding = peers.hold(stream, &records).await;
            let mut state = self.lock();
            if holding == 0 {
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

    /// Queues the copies of dead instances once the log is back.
    fn adopt(&self, peers: &Peers) {
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

/// Returns whether the failure proves that the append did not take effect. A status of 500 and
/// above proves nothing, because it may come from a proxy that lost the log's answer.
fn took_no_effect(error: &CallError) -> bool {
    match error {
        CallError::NotSent { .. } => true,
        CallError::Status { status, .. } => (400..500).contains(status),
        CallError::Lost { .. } | CallError::Malformed { .. } => false,
    }
}

async fn run(inner: Arc<Inner>, woken: Receiver<()>) {
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
                let pause = until.map_or(IDLE_MS, |until| until.since(now).clamp(1, IDLE_MS));
                let _ = timeout(Duration::from_millis(pause), woken.recv()).await;
            }
        }
    }
}

async fn keep_copies(inner: Arc<Inner>) {
    let Some(peers) = inner.peers.get().cloned() else {
        return;
    };
    while !inner.closed.load(Ordering::Relaxed) {
        task::sleep(COPY_PERIOD).await;
        inner.offer(&peers).await;
        inner.adopt(&peers);
    }
}
