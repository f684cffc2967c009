//! What the parts of an instance share.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_std::channel::Sender;
use primrosebay_cell::config::Config;
use primrosebay_cell::leader::Now;
use primrosebay_cell::ledger::Ledger;
use primrosebay_state::Name;
use primrosebay_state::time::Time;
use primrosebay_transport::clock::Clock;
use primrosebay_transport::http_client::Client;

use crate::lead::Event;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::submit::PendingRecord;
use crate::waiters::Waiters;

/// What the instance has read of the cell's stream.
#[derive(Debug, Default)]
pub(crate) struct CellState {
    pub(crate) ledger: Ledger,
    /// Whether the newest records have been read once.
    pub(crate) loaded: bool,
    /// When a read was sent that showed that nothing was missing.
    pub(crate) caught_up: Option<Time>,
    /// When a record of the leader was last read, or the stream for the first time.
    pub(crate) leader_seen: Option<Time>,
    /// Whether a claim of this instance has failed since then, because of another one.
    pub(crate) contested: bool,
}

/// What the instance has read of the operators' stream.
#[derive(Debug, Default)]
pub(crate) struct OperatorState {
    pub(crate) config: Option<Arc<Config>>,
    /// Availability zones in which nothing is to be started, sorted.
    pub(crate) evacuated: Vec<Name>,
    pub(crate) caught_up: Option<Time>,
}

#[derive(Debug)]
pub(crate) struct Shared<P> {
    pub(crate) platform: P,
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) cell: Mutex<CellState>,
    pub(crate) operators: Mutex<OperatorState>,
    pub(crate) waiters: Waiters,
    pub(crate) submit_queue: Sender<PendingRecord>,
    /// Where the leader takes its events, while this instance leads.
    pub(crate) leader_events: Mutex<Option<Sender<Event>>>,
    pub(crate) secret: Name,
    pub(crate) stopping: AtomicBool,
    /// Whether the log is away for other instances too, as far as this one can tell.
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

    /// Tells the leader, if this instance leads.
    pub(crate) fn notify_leader(&self, event: impl FnOnce() -> Event) {
        let events = self
            .leader_events
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(sender) = &*events {
            // The channel has no bound; it is closed only while the leader stops.
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

    /// Returns whether the log was read a short time ago.
    pub(crate) fn is_log_reachable(&self) -> bool {
        let caught_up = self.cell().caught_up;
        self.is_fresh(caught_up, self.settings.ready_age)
    }

    /// Returns whether something last confirmed at `at` is not older than `age`.
    pub(crate) fn is_fresh(&self, at: Option<Time>, max_age: Duration) -> bool {
        at.is_some_and(|at| u128::from(self.clock.now().since(at)) <= max_age.as_millis())
    }
}

/// Returns the time of day in Unix milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
