//! The open connections of a server, and which of them is closed when there are too many.
//!
//! At the limit, a new connection takes the place of the one whose client has made no progress for the
//! longest time: it sends no request, does not finish one, or does not read its answer. Connections
//! whose request is being processed keep their places.

use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Waker;
use std::time::Instant;

use crate::progress::Progress;

/// Connections that are to be closed and whose tasks have not run yet. Further ones are closed at once,
/// so that the limit of descriptors is kept when clients connect faster than tasks run.
const MAX_CLOSING: usize = 64;

/// The open connections of a server.
pub(crate) struct Slots {
    /// Maximum number of open connections.
    limit: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Identifier of the next connection.
    next: u64,
    /// Connections in the order of their identifiers.
    open: Vec<Arc<Entry>>,
    /// Connections among them that are to be closed.
    closing: usize,
}

/// A connection, shared by its task and the list of all.
#[derive(Debug)]
struct Entry {
    id: u64,
    /// Whether the server works on a request.
    busy: AtomicBool,
    /// Whether the connection is to be closed.
    closing: AtomicBool,
    client: Mutex<Client>,
}

#[derive(Debug)]
struct Client {
    progress: Progress,
    waker: Option<Waker>,
}

impl Entry {
    fn client(&self) -> MutexGuard<'_, Client> {
        self.client.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for Slots {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Slots")
            .field("limit", &self.limit)
            .finish_non_exhaustive()
    }
}

impl Slots {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            state: Mutex::default(),
        }
    }

    /// Takes a slot for a connection that was accepted at `now`, in place of another one if as many
    /// as the limit are open. Returns `None` if none can give way.
    pub(crate) fn take(self: &Arc<Self>, now: Instant) -> Option<Slot> {
        let mut state = self.state();
        let mut closed = None;
        if state.open.len() - state.closing >= self.limit {
            closed = Some(state.close_slowest(now)?);
        }
        let entry = Arc::new(Entry {
            id: state.next,
            busy: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            client: Mutex::new(Client {
                progress: Progress::new(now),
                waker: None,
            }),
        });
        state.next += 1;
        state.open.push(Arc::clone(&entry));
        drop(state);
        // Outside of the lock, which a task that is dropped takes to release its slot.
        let waker = closed.and_then(|c| c.client().waker.take());
        waker.into_iter().for_each(Waker::wake);
        Some(Slot {
            slots: Arc::clone(self),
            entry,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Marks the connection whose client is behind the most, of equal ones the oldest, to be closed.
    fn close_slowest(&mut self, now: Instant) -> Option<Arc<Entry>> {
        if self.closing >= MAX_CLOSING {
            return None;
        }
        let is_idle =
            |e: &&Arc<Entry>| !e.busy.load(Ordering::SeqCst) && !e.closing.load(Ordering::SeqCst);
        let open = self.open.iter().rev().filter(is_idle);
        let slowest = open.max_by_key(|e| e.client().progress.behind(now))?;
        slowest.closing.store(true, Ordering::SeqCst);
        self.closing += 1;
        Some(Arc::clone(slowest))
    }
}

/// The slot of an open connection, which is released when this is dropped: also when the task of the
/// connection panics.
#[derive(Debug)]
pub(crate) struct Slot {
    slots: Arc<Slots>,
    entry: Arc<Entry>,
}

impl Slot {
    /// Notes that the client sent or read bytes.
    pub(crate) fn advance(&self, bytes: usize, now: Instant) {
        self.entry.client().progress.advance(bytes, now);
    }

    /// Notes that the client begins a request or gets its answer, so that it is not behind.
    pub(crate) fn restart(&self, now: Instant) {
        self.entry.client().progress = Progress::new(now);
    }

    /// Sets whether the server works on a request of the connection.
    pub(crate) fn set_busy(&self, busy: bool) {
        self.entry.busy.store(busy, Ordering::SeqCst);
    }

    /// Returns whether the connection is to be closed now: not while the server works on a request
    /// that has arrived meanwhile. If not, wakes `waker` when it is.
    pub(crate) fn is_closing(&self, waker: &Waker) -> bool {
        let mut client = self.entry.client();
        match &mut client.waker {
            Some(known) => known.clone_from(waker),
            unset => *unset = Some(waker.clone()),
        }
        self.entry.closing.load(Ordering::SeqCst) && !self.entry.busy.load(Ordering::SeqCst)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.slots.state();
        let position = state.open.partition_point(|e| e.id < self.entry.id);
        state.open.remove(position);
        state.closing -= usize::from(self.entry.closing.load(Ordering::SeqCst));
    }
}
