//! What the parts of an entry instance share.

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
use crate::publisher::Publisher;
use crate::requests::{RequestSettings, Requests};
use crate::zones::Zone;
use primrosebay_transport::clock::Clock;

/// What an entry instance is told at its start.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The name of the instance on the platform's list.
    pub name: Name,
    /// The availability zone of the instance.
    pub zone: Name,
    /// The region of the instance.
    pub region: Name,
    /// Address of the API.
    pub address: SocketAddr,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Address of the platform's list of instances.
    pub list: SocketAddr,
    /// SHA-256 of each operators' key, in hexadecimal digits.
    pub operators: Vec<Name>,
    /// Time-out of a call to the platform.
    pub call_timeout: Duration,
    /// Bounds.
    pub limits: Limits,
    /// Time-outs.
    pub timeouts: Timeouts,
    /// The local clock.
    pub clock: Clock,
}

impl Default for Setup {
    /// Loopback addresses with port 0, and a platform that cannot be reached.
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
    /// What the instance was told at its start.
    pub setup: Setup,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// Appends records to the log.
    pub publisher: Publisher,
    /// Reads the log.
    pub log: Arc<HttpLog>,
    /// Exchanges messages with workers.
    pub workers: HttpWorkers,
    /// The configuration and its freshness.
    pub configuration: Configuration,
    /// Jobs on their way to other zones.
    pub recent_jobs: RecentJobs,
    /// Open watches of the configuration.
    pub watchers: Watchers,
    /// Figures about the API.
    pub metrics: Metrics,
    /// Routes requests to minions.
    pub requests: Requests<HttpMinions>,
    peers: OnceLock<Arc<Peers>>,
    stopping: AtomicBool,
    jobs: AtomicU64,
    directory: RwLock<Arc<[Instance]>>,
    zones: Mutex<Vec<Arc<Zone>>>,
}

impl Shared {
    /// Creates the shared state around the adapters.
    #[must_use]
    pub fn new(setup: Setup, incarnation: Incarnation, log: Arc<HttpLog>) -> Self {
        let freshness = Freshness::new(&setup.name, &setup.zone, &setup.region);
        let history = usize::try_from(setup.limits.watch_events).unwrap_or(usize::MAX);
        let clock = setup.clock.clone();
        // The meter provider must be there before the instruments are made.
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
            jobs: AtomicU64::new(0),
            directory: RwLock::new(Arc::from([])),
            zones: Mutex::default(),
        }
    }

    /// Returns the time on the local clock.
    #[must_use]
    pub fn now(&self) -> Time {
        self.setup.clock.now()
    }

    /// Makes the instance report that it is not ready.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Returns whether the instance is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Returns a new identifier for a job.
    #[must_use]
    pub fn next_job_id(&self) -> JobId {
        JobId {
            incarnation: self.incarnation,
            sequence: self.jobs.fetch_add(1, Ordering::Relaxed) + 1,
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

    /// Uses the exchange with other entry instances. The first call counts.
    pub fn set_peers(&self, peers: Arc<Peers>) {
        if self.peers.set(Arc::clone(&peers)).is_ok() {
            self.publisher.set_peers(peers);
        }
    }

    /// Returns the platform's list of instances as last fetched, by name.
    #[must_use]
    pub fn directory(&self) -> Arc<[Instance]> {
        Arc::clone(
            &self
                .directory
                .read()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    /// Replaces the list of instances.
    pub fn set_directory(&self, mut instances: Vec<Instance>) {
        instances.sort_by(|a, b| a.name.cmp(&b.name));
        *self
            .directory
            .write()
            .unwrap_or_else(PoisonError::into_inner) = instances.into();
    }

    /// Returns the address of the instance with `name`.
    #[must_use]
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        let directory = self.directory();
        let i = directory
            .binary_search_by(|instance| (*instance.name).cmp(name))
            .ok()?;
        directory[i].address.parse().ok()
    }

    /// Returns the zones that this instance coordinates or may come to coordinate.
    #[must_use]
    pub fn zones(&self) -> Vec<Arc<Zone>> {
        self.lock_zones().clone()
    }

    /// Returns the zone with `name`, if this instance is a candidate for it.
    #[must_use]
    pub fn zone(&self, name: &str) -> Option<Arc<Zone>> {
        let zones = self.lock_zones();
        let i = zones.binary_search_by(|z| (*z.name).cmp(name)).ok()?;
        Some(Arc::clone(&zones[i]))
    }

    /// Adds a zone for which this instance is a candidate.
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
