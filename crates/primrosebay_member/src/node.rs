//! Starts and stops an instance.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_std::channel::unbounded;
use async_std::task::{self, JoinHandle};
use primrosebay_cell::record::{Member, Record};
use primrosebay_state::Name;
use primrosebay_transport::clock::Clock;
use primrosebay_transport::http_client::Client;
use primrosebay_transport::http_server::{Limits, Server};

use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::settings::Settings;
use crate::shared::{CellState, OperatorState, Shared};
use crate::submit::PendingRecord;
use crate::waiters::Waiters;
use crate::{election, follow, operators, outage, peer, submit};

/// Time for calls of other instances that are in flight at a stop.
const PEER_GRACE: Duration = Duration::from_millis(200);

/// A running instance.
#[derive(Debug)]
pub struct Node<P> {
    pub(crate) shared: Arc<Shared<P>>,
    server: Server,
    tasks: Vec<JoinHandle<()>>,
}

impl<P: Platform> Node<P> {
    /// Starts following the log and taking part in the cell.
    ///
    /// # Errors
    /// Returns the error of binding the internal address.
    pub async fn start(platform: P, settings: Settings, clock: Clock) -> io::Result<Self> {
        let (submit_queue, pending) = unbounded();
        let address = settings.internal_address;
        let secret: Name = format!("{:032x}", rand::random::<u128>()).into();
        let shared = Arc::new(Shared {
            platform,
            settings,
            clock,
            cell: Mutex::new(CellState::default()),
            operators: Mutex::new(OperatorState::default()),
            waiters: Waiters::default(),
            submit_queue,
            leader_events: Mutex::new(None),
            secret,
            stopping: AtomicBool::new(false),
            outage: AtomicBool::new(false),
            metrics: Metrics::default(),
            peer_client: Client::new(),
        });
        let limits = Limits {
            grace: PEER_GRACE,
            ..Limits::default()
        };
        let server = Server::start(address, peer::app(Arc::clone(&shared)), limits).await?;
        let tasks = vec![
            task::spawn(follow::run(Arc::clone(&shared))),
            task::spawn(operators::run(Arc::clone(&shared))),
            task::spawn(submit::run(Arc::clone(&shared), pending)),
            task::spawn(election::run(Arc::clone(&shared))),
            task::spawn(outage::run(Arc::clone(&shared))),
            task::spawn(announce(
                Arc::clone(&shared),
                server.address().to_string().into(),
            )),
        ];
        Ok(Self {
            shared,
            server,
            tasks,
        })
    }

    /// Returns whether the instance knows its configuration and keys well enough to let calls in, and
    /// has read the log a short time ago, so that it can serve new callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let (configured, caught_up) = {
            let operators = self.shared.operators();
            (operators.config.is_some(), operators.caught_up)
        };
        let keys_fresh = self
            .shared
            .is_fresh(caught_up, self.shared.settings.key_age);
        configured && keys_fresh && self.is_log_reachable() && !self.shared.is_stopping()
    }

    /// Returns whether the log was read a short time ago.
    #[must_use]
    pub fn is_log_reachable(&self) -> bool {
        self.shared.is_log_reachable()
    }

    /// Returns after how many seconds a caller that was refused should come back. Retries reach
    /// other instances, so a caller need not wait for an instance that alone has lost the log.
    #[must_use]
    pub fn retry_after_s(&self) -> u64 {
        if self.shared.outage.load(Ordering::Relaxed) {
            self.shared.settings.retry_after_s
        } else {
            0
        }
    }

    /// Returns whether this instance leads the cell.
    #[must_use]
    pub fn is_leading(&self) -> bool {
        self.shared.is_leading()
    }

    /// Returns whether the instance is about to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.shared.is_stopping()
    }

    /// Returns the settings.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    /// Returns the instruments.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Gives up leadership and reports the instance as not ready. Callers are still answered.
    pub fn stop(&self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
    }

    /// Ends the instance.
    pub async fn close(self) {
        self.stop();
        self.server.close().await;
        for task in self.tasks {
            task.cancel().await;
        }
    }
}

/// Tells the other instances where this one is reached, again and again, since records that nobody
/// renews may be dropped.
async fn announce<P: Platform>(shared: Arc<Shared<P>>, address: Name) {
    while !shared.is_stopping() {
        let member = Member {
            address: address.clone(),
            cores_milli: shared.settings.cores_milli,
            secret: shared.secret.clone(),
        };
        let record = PendingRecord {
            waiter: None,
            record: Record::Member(shared.settings.name.clone(), member),
            maybe_stored: false,
        };
        submit::enqueue(&shared.submit_queue, record).await;
        // The first announcement may have been lost while the log was away.
        let is_announced = |s: &Shared<P>| {
            let cell = s.cell();
            let mut members = cell.ledger.members();
            members.any(|(name, m)| *name == s.settings.name && m.secret == s.secret)
        };
        task::sleep(Duration::from_secs(1)).await;
        if is_announced(&shared) {
            task::sleep(shared.settings.announce_interval).await;
        }
    }
}
