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
use crate::receipts::Receipts;
use crate::settings::Settings;
use crate::submit::Item;

/// What the instance has read of the cell's stream.
#[derive(Debug, Default)]
pub(crate) struct Followed {
    pub(crate) ledger: Ledger,
    /// Whether the newest records have been read once.
    pub(crate) loaded: bool,
    /// When a read was sent that showed that nothing was missing.
    pub(crate) fresh: Option<Time>,
    /// When a record of the leader was last read, or the stream for the first time.
    pub(crate) heard: Option<Time>,
    /// Whether a claim of this instance has failed since then, because of another one.
    pub(crate) contested: bool,
}

/// What the instance has read of the operators' stream.
#[derive(Debug, Default)]
pub(crate) struct Operators {
    pub(crate) config: Option<Arc<Config>>,
    /// Availability zones in which nothing is to be started, sorted.
    pub(crate) evacuated: Vec<Name>,
    pub(crate) fresh: Option<Time>,
}

#[derive(Debug)]
pub(crate) struct Shared<P> {
    pub(crate) platform: P,
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) followed: Mutex<Followed>,
    pub(crate) operators: Mutex<Operators>,
    pub(crate) receipts: Receipts,
    pub(crate) submissions: Sender<Item>,
    /// Where the leader takes its events, while this instance leads.
    pub(crate) leading: Mutex<Option<Sender<Event>>>,
    pub(crate) secret: Name,
    pub(crate) stopping: AtomicBool,
    /// Whether the log is away for other instances too, as far as this one can tell.
    pub(crate) outage: AtomicBool,
    pub(crate) metrics: Metrics,
    pub(crate) peers: Client,
}

impl<P> Shared<P> {
    pub(crate) fn now(&self) -> Now {
        Now {
            time: self.clock.now(),
            wall_ms: wall_ms(),
        }
    }

    pub(crate) fn followed(&self) -> MutexGuard<'_, Followed> {
        self.followed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn operators(&self) -> MutexGuard<'_, Operators> {
        self.operators
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the leader, if this instance leads.
    pub(crate) fn tell_leader(&self, event: impl FnOnce() -> Event) {
        let leading = self.leading.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(sender) = &*leading {
            // The channel has no bound; it is closed only while the leader stops.
            let _ = sender.try_send(event());
        }
    }

    pub(crate) fn set_leading(&self, sender: Option<Sender<Event>>) {
        *self.leading.lock().unwrap_or_else(PoisonError::into_inner) = sender;
    }

    pub(crate) fn is_leading(&self) -> bool {
        let leading = self.leading.lock().unwrap_or_else(PoisonError::into_inner);
        leading.is_some()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Returns whether the log was read a short time ago.
    pub(crate) fn is_log_reachable(&self) -> bool {
        let fresh = self.followed().fresh;
        self.is_within(fresh, self.settings.ready_age)
    }

    /// Returns whether something last confirmed at `at` is not older than `age`.
    pub(crate) fn is_within(&self, at: Option<Time>, age: Duration) -> bool {
        at.is_some_and(|at| u128::from(self.clock.now().since(at)) <= age.as_millis())
    }
}

/// Returns the time of day in Unix milliseconds.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
