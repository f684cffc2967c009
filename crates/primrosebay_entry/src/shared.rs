//! State shared by the parts of an entry instance.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock};
use std::time::Duration;

use primrosebay_coordination::freshness::Freshness;
use primrosebay_protocol::list::Instance;
use primrosebay_settings::{Limits, Timeouts};
use primrosebay_state::Name;
use primrosebay_state::config::Config;
use primrosebay_state::id::{Incarnation, JobId};
use primrosebay_state::time::Time;
use primrosebay_transport::log::HttpLog;
use primrosebay_transport::minion::HttpMinions;
use primrosebay_transport::worker::HttpWorkers;

use crate::api::metrics::Metrics;
use crate::api::watch::Watchers;
use crate::configuration::Configuration;
use crate::jobs::home::RecentJobs;
use crate::peers::Peers;
use crate::permits::Permits;
use crate::publisher::Publisher;
use crate::requests::{RequestSettings, Requests};
use crate::zones::Zone;
use primrosebay_transport::budget::Budget;
use primrosebay_transport::clock::Clock;

/// Start-up parameters of an entry instance.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The name of the instance in the platform's instance list.
    pub name: Name,
    /// The availability zone of the instance.
    pub zone: Name,
    /// The region of the instance.
    pub region: Name,
    /// Address of the API.
    pub address: SocketAddr,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Address of the platform's instance list.
    pub list: SocketAddr,
    /// SHA-256 hash of each operator key in hexadecimal digits. If empty, no operator can
    /// authenticate.
    pub operators: Vec<Name>,
    /// Timeout of one call to the log, the instance list or a worker.
    pub call_timeout: Duration,
    /// Limits on sizes, counts and rates.
    pub limits: Limits,
    /// Timeouts and intervals of the API, the configuration and the coordinators.
    pub timeouts: Timeouts,
    /// The local clock, which tests can replace. The publisher does not use it.
    pub clock: Clock,
}

impl Default for Setup {
    /// Returns loopback addresses with port 0, at which no platform can be reached.
    fn default() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            name: Name::from("entry"),
            zone: Name::from("zone"),
            region: Name::from("region"),
            address: any,
            log: any,
            list: any,
            operators: Vec::new(),
            call_timeout: Duration::from_secs(1),
            limits: Limits::default(),
            timeouts: Timeouts::default(),
            clock: Clock::default(),
        }
    }
}

/// The state that the parts of an entry instance share.
#[derive(Debug)]
pub struct Shared {
    /// The start-up parameters.
    pub setup: Setup,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// Appends records to the log.
    pub publisher: Publisher,
    /// Reads the log; records are appended through `publisher`.
    pub log: Arc<HttpLog>,
    /// Sends requests to workers.
    pub workers: HttpWorkers,
    /// The configuration and its freshness.
    pub configuration: Configuration,
    /// Jobs submitted so recently that heartbeats may not show their load yet.
    pub recent_jobs: RecentJobs,
    /// Open watches of the configuration.
    pub watchers: Watchers,
    /// Metrics of API responses and of the state of the configuration.
    pub metrics: Metrics,
    /// Bytes of unfinished requests.
    pub budget: Arc<Budget>,
    /// Lists of jobs that are being collected.
    pub lists: Permits,
    /// Routes requests to minions.
    pub requests: Requests<HttpMinions>,
    peers: OnceLock<Arc<Peers>>,
    stopping: AtomicBool,
    /// Sequence number of the last job identifier; 0 before the first.
    last_job: AtomicU64,
    directory: RwLock<Arc<[Instance]>>,
    zones: Mutex<Vec<Arc<Zone>>>,
}

impl Shared {
    /// Creates the shared state and starts the publisher.
    #[must_use]
    pub fn new(setup: Setup, incarnation: Incarnation, log: Arc<HttpLog>) -> Self {
        let freshness = Freshness::new(&setup.name, &setup.zone, &setup.region);
        let history = usize::try_from(setup.limits.watch_events).unwrap_or(usize::MAX);
        let clock = setup.clock.clone();
        let budget = Budget::for_memory(setup.limits.memory_bytes);
        let lists = usize::try_from(setup.limits.list_requests).unwrap_or(usize::MAX);
        // `Metrics::new` installs the meter provider, which must exist before `Requests::new`
        // creates its instruments.
        let metrics = Metrics::new();
        let requests = Requests::new(
            RequestSettings {
                seed: incarnation.0,
                ..RequestSettings::default()
            },
            setup.zone.clone(),
            incarnation,
            HttpMinions::default(),
            Arc::new(move || clock.now()),
        );
        Self {
            configuration: Configuration::new(history, freshness),
            budget: Arc::new(budget),
            lists: Permits::new(lists),
            requests,
            publisher: Publisher::start(Arc::clone(&log), incarnation),
            workers: HttpWorkers::new(setup.call_timeout),
            incarnation,
            log,
            setup,
            recent_jobs: RecentJobs::default(),
            watchers: Watchers::default(),
            metrics,
            peers: OnceLock::new(),
            stopping: AtomicBool::new(false),
            last_job: AtomicU64::new(0),
            directory: RwLock::new(Arc::from([])),
            zones: Mutex::default(),
        }
    }

    /// Returns the time on the local clock.
    #[must_use]
    pub fn now(&self) -> Time {
        self.setup.clock.now()
    }

    /// Marks the instance as stopping: `/readyz` reports it as not ready, and watches end.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Returns whether the instance is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Returns a new job identifier, unique across instances and restarts.
    #[must_use]
    pub fn next_job_id(&self) -> JobId {
        JobId {
            incarnation: self.incarnation,
            sequence: self.last_job.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Arc<Config> {
        self.configuration.get()
    }

    /// Returns the exchange with other entry instances, if it was started.
    #[must_use]
    pub fn peers(&self) -> Option<&Arc<Peers>> {
        self.peers.get()
    }

    /// Sets the exchange with other entry instances. Later calls have no effect.
    pub fn set_peers(&self, peers: Arc<Peers>) {
        if self.peers.set(Arc::clone(&peers)).is_ok() {
            self.publisher.set_peers(peers);
        }
    }

    /// Returns the platform's instance list as last fetched, sorted by name; empty before that.
    #[must_use]
    pub fn directory(&self) -> Arc<[Instance]> {
        Arc::clone(
            &self
                .directory
                .read()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    /// Replaces the instance list.
    pub fn set_directory(&self, mut instances: Vec<Instance>) {
        instances.sort_by(|a, b| a.name.cmp(&b.name));
        *self
            .directory
            .write()
            .unwrap_or_else(PoisonError::into_inner) = instances.into();
    }

    /// Returns the address of the instance with `name`, or `None` if the list has no such instance
    /// or the address is not valid.
    #[must_use]
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        let directory = self.directory();
        let i = directory
            .binary_search_by(|instance| (*instance.name).cmp(name))
            .ok()?;
        directory[i].address.parse().ok()
    }

    /// Returns the zones that this instance coordinates or is a candidate for, sorted by name.
    #[must_use]
    pub fn zones(&self) -> Vec<Arc<Zone>> {
        self.lock_zones().clone()
    }

    /// Returns the zone with `name`, if this instance coordinates it or is a candidate for it.
    #[must_use]
    pub fn zone(&self, name: &str) -> Option<Arc<Zone>> {
        let zones = self.lock_zones();
        let i = zones.binary_search_by(|z| (*z.name).cmp(name)).ok()?;
        Some(Arc::clone(&zones[i]))
    }

    /// Adds a zone for which this instance is a candidate. A zone of the same name is kept.
    pub fn add_zone(&self, zone: Arc<Zone>) {
        let mut zones = self.lock_zones();
        if let Err(i) = zones.binary_search_by(|z| z.name.cmp(&zone.name)) {
            zones.insert(i, zone);
        }
    }

    fn lock_zones(&self) -> MutexGuard<'_, Vec<Arc<Zone>>> {
        self.zones.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
