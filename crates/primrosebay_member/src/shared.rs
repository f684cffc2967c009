//! State shared by the background tasks and the call handlers of an instance.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_std::channel::{Receiver, Sender};
use primrosebay_cell::config::Config;
use primrosebay_cell::leader::Now;
use primrosebay_cell::ledger::Ledger;
use primrosebay_cell::record::{Member, Process};
use primrosebay_cell::terms::Terms;
use primrosebay_state::Name;
use primrosebay_state::time::Time;
use primrosebay_transport::clock::Clock;
use primrosebay_transport::http_client::Client;

use crate::lead::Event;
use crate::links::Links;
use crate::log_limit::LogLimit;
use crate::metrics::Metrics;
use crate::relay::{Announcements, Role};
use crate::settings::Settings;
use crate::submit::PendingRecord;
use crate::waiters::Waiters;

/// The state read from the cell's stream.
#[derive(Debug, Default)]
pub(crate) struct CellState {
    pub(crate) ledger: Ledger,
    /// Whether the initial snapshot has been read. Reset if records expire before they are read.
    pub(crate) loaded: bool,
    /// When the last read that reached the end of the stream was sent; the state includes all
    /// earlier records.
    pub(crate) caught_up: Option<Time>,
    /// When the election timeout started: at the last record of the current leader, at the first
    /// read of the stream, or when a claim of this instance failed or a term of it ended.
    pub(crate) timeout_start: Option<Time>,
    /// Whether a claim of this instance has failed, or a term of it has ended, since the last
    /// record of a leader.
    pub(crate) contested: bool,
    /// The latest terms of leadership, by the claims that were read.
    pub(crate) terms: Terms,
    /// Limits the log lines about records that cannot be decoded.
    pub(crate) odd_records: LogLimit,
}

/// The state read from the operators' stream.
#[derive(Debug, Default)]
pub(crate) struct OperatorState {
    pub(crate) config: Option<Arc<Config>>,
    /// The current configuration with the queues and accounts that earlier versions had. A leader
    /// schedules by it, since accepted jobs of a removed queue still run.
    pub(crate) scheduling: Option<Config>,
    /// Evacuated availability zones, in which no task may be started; sorted.
    pub(crate) evacuated: Vec<Name>,
    /// When the last read that reached the end of the stream was sent. Without such a read the state
    /// may lack a record, and a leader starts no tasks by it.
    pub(crate) caught_up: Option<Time>,
    /// Limits the log lines about records that cannot be decoded.
    pub(crate) odd_records: LogLimit,
}

/// The shared state of an instance on the platform `P`.
#[derive(Debug)]
pub(crate) struct Shared<P> {
    pub(crate) platform: P,
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) cell: Mutex<CellState>,
    pub(crate) operators: Mutex<OperatorState>,
    pub(crate) waiters: Waiters,
    /// Has an item once a caller waits for the end of a job.
    pub(crate) end_awaited: (Sender<()>, Receiver<()>),
    pub(crate) submit_queue: Sender<PendingRecord>,
    /// The leader's event channel; `None` while this instance does not lead.
    pub(crate) leader_events: Mutex<Option<Sender<Event>>>,
    /// The announced instances, and whether this one relays to others.
    pub(crate) announcements: Mutex<Announcements>,
    /// When a large instance was last asked that answered that it can read the log.
    pub(crate) large_contact: Mutex<Option<Time>>,
    /// The leader's commands that carriers fetch and answer.
    pub(crate) links: Links,
    /// The term for which this instance carries commands; 0 for none.
    pub(crate) carried_epoch: AtomicU64,
    /// The term for which this instance has a claim in flight or leads; 0 for none.
    pub(crate) leading_epoch: AtomicU64,
    /// The bound address for calls of other instances, once the server has started.
    pub(crate) address: OnceLock<Name>,
    /// The secret that other instances have to present, created at each start.
    pub(crate) secret: Name,
    /// The random number by which other instances tell this process from earlier ones.
    pub(crate) process_id: u64,
    pub(crate) stopping: AtomicBool,
    /// Whether neither this instance nor any reachable peer it asked can reach the log.
    pub(crate) outage: AtomicBool,
    pub(crate) metrics: Metrics,
    pub(crate) peer_client: Client,
}

impl<P> Shared<P> {
    pub(crate) fn now(&self) -> Now {
        Now {
            time: self.clock.now(),
            wall_ms: unix_ms(),
        }
    }

    pub(crate) fn cell(&self) -> MutexGuard<'_, CellState> {
        self.cell.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn operators(&self) -> MutexGuard<'_, OperatorState> {
        self.operators
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the announcement of this instance.
    pub(crate) fn own_member(&self) -> Member {
        Member {
            address: self.address.get().cloned().unwrap_or_default(),
            cores_milli: self.settings.cores_milli,
            secret: self.secret.clone(),
            zone: self.settings.zone.clone(),
        }
    }

    /// Returns this process as its claims name it.
    pub(crate) fn own_process(&self) -> Process {
        Process {
            id: self.process_id,
            address: self.address.get().cloned().unwrap_or_default(),
        }
    }

    /// Sends an event to the leader if this instance leads.
    pub(crate) fn notify_leader(&self, event: impl FnOnce() -> Event) {
        let events = self
            .leader_events
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(sender) = &*events {
            // Sending to the unbounded channel fails only while the term ends.
            let _ = sender.try_send(event());
        }
    }

    pub(crate) fn set_leader_events(&self, events: Option<Sender<Event>>) {
        *self
            .leader_events
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = events;
    }

    pub(crate) fn is_leading(&self) -> bool {
        let events = self
            .leader_events
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        events.is_some()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Returns whether the cell's stream was read to its end within [`Settings::ready_age`], by this
    /// instance or by one that it relays to.
    pub(crate) fn is_log_reachable(&self) -> bool {
        let read = self.log_read(&self.cell());
        self.is_fresh(read, self.settings.ready_age)
    }

    /// Returns when the cell's stream was last read to its end, by this instance or by one that it
    /// relays to.
    pub(crate) fn log_read(&self, cell: &CellState) -> Option<Time> {
        match &self.announcements().role {
            Role::Relaying(relay) => Some(relay.contact()),
            Role::Follower | Role::Undecided => cell.caught_up,
        }
    }

    pub(crate) fn announcements(&self) -> MutexGuard<'_, Announcements> {
        self.announcements
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn large_contact(&self) -> MutexGuard<'_, Option<Time>> {
        self.large_contact
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this instance follows the log, so that it answers its callers itself.
    pub(crate) fn follows_log(&self) -> bool {
        matches!(self.announcements().role, Role::Follower)
    }

    /// Records whether a large instance has answered a request that was sent at `sent`, and can read
    /// the log.
    pub(crate) fn record_contact(&self, name: &Name, sent: Time, answered: bool) {
        let now = self.clock.now();
        if answered {
            let mut contact = self.large_contact();
            *contact = (*contact).max(Some(sent));
        }
        if let Role::Relaying(relay) = &mut self.announcements().role {
            if answered {
                relay.on_answer(name, sent);
            } else {
                relay.on_failure(name, now);
            }
        }
    }

    /// Drops the state read from the cell's stream, which this instance does not follow any more.
    pub(crate) fn forget_log(&self) {
        let mut cell = self.cell();
        if cell.loaded || cell.caught_up.is_some() {
            *cell = CellState::default();
        }
    }

    /// Returns whether `at` is at most `max_age` ago; false for `None`.
    pub(crate) fn is_fresh(&self, at: Option<Time>, max_age: Duration) -> bool {
        at.is_some_and(|at| u128::from(self.clock.now().since(at)) <= max_age.as_millis())
    }
}

/// Returns the wall-clock time in Unix milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
