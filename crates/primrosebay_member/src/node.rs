//! The lifecycle of an instance: start, readiness and shutdown.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock};
use std::time::Duration;

use async_std::channel::{bounded, unbounded};
use async_std::task::{self, JoinHandle};
use primrosebay_cell::record::Record;
use primrosebay_state::Name;
use primrosebay_transport::budget::Budget;
use primrosebay_transport::clock::Clock;
use primrosebay_transport::http_client::Client;
use primrosebay_transport::http_server::{Limits, Server};

use crate::links::Links;
use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::settings::Settings;
use crate::shared::{CellState, OperatorState, Shared};
use crate::submit::PendingRecord;
use crate::waiters::Waiters;
use crate::{election, follow, load, operators, outage, peer, relay, submit};

/// Time at shutdown for completing calls of other instances that are in flight.
const PEER_GRACE: Duration = Duration::from_millis(200);

/// Bytes that unfinished readiness probes may hold: 42 probes at once. They have a budget of their own,
/// so that a crowd of callers does not make load balancers take the instance out of rotation.
const PROBE_BYTES: usize = 1 << 20;

/// A running instance of a cell.
#[derive(Debug)]
pub struct Node<P> {
    pub(crate) shared: Arc<Shared<P>>,
    server: Server,
    budget: Arc<Budget>,
    probe_budget: Arc<Budget>,
    tasks: Vec<JoinHandle<()>>,
}

impl<P: Platform> Node<P> {
    /// Starts the background tasks of the instance and its server for other instances.
    ///
    /// # Errors
    /// Returns an error if the internal address cannot be bound.
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
            end_awaited: bounded(1),
            submit_queue,
            leader_events: Mutex::new(None),
            announcements: Mutex::default(),
            large_contact: Mutex::new(None),
            links: Links::default(),
            carried_epoch: AtomicU64::new(0),
            leading_epoch: AtomicU64::new(0),
            address: OnceLock::new(),
            secret,
            process_id: rand::random_range(1..=u64::MAX),
            stopping: AtomicBool::new(false),
            outage: AtomicBool::new(false),
            metrics: Metrics::default(),
            peer_client: Client::new(),
        });
        let limits = Limits {
            connections: shared.settings.peer_connections,
            grace: PEER_GRACE,
            ..Limits::default()
        };
        let budget = Arc::new(Budget::for_memory(shared.settings.memory_bytes));
        let probe_budget = Arc::new(Budget::new(PROBE_BYTES));
        Metrics::observe_budgets(&budget, &probe_budget);
        let app = peer::app(Arc::clone(&shared));
        let server = Server::start_with_budget(address, app, limits, Arc::clone(&budget)).await?;
        let bound: Name = server.address().to_string().into();
        let _ = shared.address.set(bound);
        let tasks = vec![
            task::spawn(relay::run(Arc::clone(&shared))),
            task::spawn(follow::run(Arc::clone(&shared))),
            task::spawn(operators::run(Arc::clone(&shared))),
            task::spawn(submit::run(Arc::clone(&shared), pending)),
            task::spawn(election::run(Arc::clone(&shared))),
            task::spawn(outage::run(Arc::clone(&shared))),
            task::spawn(load::run(Arc::clone(&shared))),
            task::spawn(announce(Arc::clone(&shared))),
        ];
        Ok(Self {
            shared,
            server,
            budget,
            probe_budget,
            tasks,
        })
    }

    /// Returns whether the instance can serve new callers: it has a recent configuration, can reach
    /// the log and is not stopping.
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

    /// Returns whether the cell's stream was read to its end within [`Settings::ready_age`].
    #[must_use]
    pub fn is_log_reachable(&self) -> bool {
        self.shared.is_log_reachable()
    }

    /// Returns the seconds after which a refused caller should retry. The delay is 0 unless other
    /// instances have lost the log too, since a retry may reach another instance.
    #[must_use]
    pub fn retry_after_s(&self) -> u64 {
        if self.shared.outage.load(Ordering::Relaxed) {
            self.shared.settings.retry_after_s
        } else {
            0
        }
    }

    /// Returns whether this instance is the leader of the cell.
    #[must_use]
    pub fn is_leading(&self) -> bool {
        self.shared.is_leading()
    }

    /// Returns whether [`Node::stop`] has been called.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.shared.is_stopping()
    }

    /// Returns the settings of the instance.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    /// Returns the budget for the unfinished requests of callers and other instances.
    #[must_use]
    pub fn budget(&self) -> Arc<Budget> {
        Arc::clone(&self.budget)
    }

    /// Returns the budget for unfinished readiness probes.
    #[must_use]
    pub fn probe_budget(&self) -> Arc<Budget> {
        Arc::clone(&self.probe_budget)
    }

    /// Returns the metrics of the instance.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Begins the shutdown: the instance reports itself as not ready and, if it leads, resigns.
    /// Callers are still served.
    pub fn stop(&self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
    }

    /// Stops the server and all background tasks.
    pub async fn close(self) {
        self.stop();
        self.server.close().await;
        for task in self.tasks {
            task.cancel().await;
        }
    }
}

/// Announces the address and the secret of the instance in the cell's stream and in that of the
/// announcements. Both are repeated, since the log may drop records that are not renewed.
async fn announce<P: Platform>(shared: Arc<Shared<P>>) {
    while !shared.is_stopping() {
        let member = shared.own_member();
        let record = Record::Member(shared.settings.name.clone(), member);
        if let Ok(bytes) = record.encode() {
            let result = shared.platform.announce(&record.key(), bytes).await;
            shared.metrics.record_append("announce", &result);
        }
        let record = PendingRecord {
            waiter: None,
            record,
            maybe_stored: false,
        };
        submit::enqueue(&shared.submit_queue, record).await;
        // Announcements may be lost while the log is unavailable, so they are repeated every second
        // until one has been read back.
        let is_announced = |s: &Shared<P>| {
            let announced = {
                let known = s.announcements();
                let own = known.members.get(&s.settings.name);
                own.is_some_and(|m| m.secret == s.secret)
            };
            if !announced || !s.follows_log() {
                return announced;
            }
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
