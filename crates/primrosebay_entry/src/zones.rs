//! Drives the coordinator of a zone: feeds it events and executes its commands.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use async_std::task;
use primrosebay_coordination::escrow::Transfer;
use primrosebay_coordination::freshness::Work;
use primrosebay_coordination::schedule::TeamUsage;
use primrosebay_coordination::zone::{Authority, Command, Coordinator, Event, Settings};
use primrosebay_protocol::list::Role;
use primrosebay_protocol::log::JOBS_STREAM;
use primrosebay_protocol::peer::ZoneResources;
use primrosebay_protocol::worker;
use primrosebay_state::Name;
use primrosebay_state::config::{Config, Resource};
use primrosebay_state::id::JobId;
use primrosebay_state::job::JobSpec;
use primrosebay_state::record::Body;
use primrosebay_state::resources::Resources;
use primrosebay_transport::worker::WorkerLink;

use crate::shared::Shared;
use crate::snapshots;
use crate::transfers::{self, PendingTransfers};
use crate::zone_reader;

/// Interval between timer ticks of a coordinator.
const TICK: Duration = Duration::from_millis(20);
/// Pause before a failed append is retried.
const APPEND_RETRY: Duration = Duration::from_millis(200);

/// Returns the log stream for the tasks of jobs whose home is `zone`.
///
/// All jobs share one stream, because its order decides which job gets a name and which zone is a
/// job's home. Task records are far more numerous and have one stream per zone, so that an entry
/// instance reads only those of the zones for which it is a candidate.
#[must_use]
pub fn tasks_stream(zone: &str) -> String {
    format!("tasks-{zone}")
}

/// Returns the stream to which the coordinator of `zone` appends `body`.
fn stream_for(zone: &str, body: &Body) -> String {
    match body {
        Body::Starting { .. } | Body::Finished { .. } => tasks_stream(zone),
        _ => JOBS_STREAM.to_owned(),
    }
}

/// A zone that this instance coordinates or is a candidate for.
#[derive(Debug)]
pub struct Zone {
    /// The name of the zone.
    pub name: Name,
    coordinator: Mutex<Coordinator>,
    /// The offset after the last record of the jobs stream that was fed to the coordinator.
    jobs_read: AtomicU64,
    stopped: AtomicBool,
    /// The tenure whose fence was read back last; 0 for none.
    fenced_tenure: AtomicU64,
    /// Transfers that the configuration does not show yet.
    pub(crate) pending_transfers: PendingTransfers,
    shared: Weak<Shared>,
}

impl Zone {
    /// Adds the zone `name` to `shared` and spawns the tasks that drive its coordinator.
    pub fn start(shared: &Arc<Shared>, name: &Name) -> Arc<Self> {
        let seed = shared.incarnation.0;
        let coordinator =
            Coordinator::new(settings(shared), shared.incarnation, name.clone(), seed);
        let zone = Arc::new(Self {
            name: name.clone(),
            coordinator: Mutex::new(coordinator),
            jobs_read: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            fenced_tenure: AtomicU64::new(0),
            pending_transfers: PendingTransfers::default(),
            shared: Arc::downgrade(shared),
        });
        shared.add_zone(Arc::clone(&zone));
        task::spawn(tick(Arc::clone(&zone)));
        task::spawn(zone_reader::follow(Arc::clone(&zone)));
        task::spawn(transfers::maintain_fence(
            Arc::downgrade(shared),
            Arc::clone(&zone),
        ));
        task::spawn(transfers::run_transfers(
            Arc::downgrade(shared),
            Arc::clone(&zone),
        ));
        task::spawn(snapshots::publish_jobs(
            Arc::downgrade(shared),
            Arc::clone(&zone),
        ));
        zone
    }

    /// Returns the shared state of the instance, or `None` after the instance was dropped.
    pub(crate) fn shared(&self) -> Option<Arc<Shared>> {
        self.shared.upgrade()
    }

    /// Notes that all job records before the offset `next` were fed to the coordinator.
    pub(crate) fn set_jobs_read(&self, next: u64) {
        self.jobs_read.store(next, Ordering::SeqCst);
    }

    /// Returns the offset before which all job records were fed to the coordinator.
    #[must_use]
    pub fn jobs_read(&self) -> u64 {
        self.jobs_read.load(Ordering::SeqCst)
    }

    /// Feeds a job that this instance has accepted to the coordinator. `tenure` is the tenure from
    /// before the append of the job's record. If it differs from the current one, the instance has
    /// lost its authority meanwhile, and another coordinator may have read the record and started
    /// the job. `durable` tells whether the record is in the log; otherwise peers hold it.
    pub(crate) fn job_accepted(
        self: &Arc<Self>,
        job: JobId,
        spec: JobSpec,
        durable: bool,
        tenure: Option<u64>,
    ) {
        let exclusive = tenure.is_some() && tenure == self.tenure();
        self.handle(Event::Accepted {
            job,
            spec,
            durable,
            exclusive,
        });
    }

    /// Returns the epoch of the term in which this instance has authority over the zone, or `None`
    /// without authority.
    #[must_use]
    pub fn epoch(&self) -> Option<u64> {
        self.authority().map(|authority| authority.epoch)
    }

    /// Returns the epoch at which this instance's current claim to the zone began, or `None`
    /// without authority. The tenure stays the same as long as the instance keeps its authority.
    pub(crate) fn tenure(&self) -> Option<u64> {
        self.authority().map(|authority| authority.tenure)
    }

    /// Returns the authority of this instance over the zone, if it has any.
    pub(crate) fn authority(&self) -> Option<Authority> {
        let now = self.shared.upgrade()?.now();
        let authority = self.read(|coordinator| coordinator.authority(now));
        authority.held.then_some(authority)
    }

    /// Returns the free and total resources of the zone's workers, and the demand of pending tasks.
    #[must_use]
    pub fn resources(&self) -> ZoneResources {
        self.read(|coordinator| {
            let scheduler = coordinator.scheduler();
            let usage = scheduler.usage();
            let wanted = usage.iter().map(|team| team.wanted);
            ZoneResources {
                zone: self.name.clone(),
                free: scheduler.free(),
                total: scheduler.total(),
                wanted: wanted.fold(Resources::ZERO, |sum, wanted| sum.plus(&wanted)),
            }
        })
    }

    /// Calls `f` with the locked coordinator.
    pub fn read<T>(&self, f: impl FnOnce(&Coordinator) -> T) -> T {
        f(&self.lock())
    }

    /// Feeds one event to the coordinator and executes the resulting commands.
    pub fn handle(self: &Arc<Self>, event: Event) {
        self.handle_all([event]);
    }

    /// Feeds events to the coordinator and executes the resulting commands.
    pub fn handle_all(self: &Arc<Self>, events: impl IntoIterator<Item = Event>) {
        let Some(shared) = self.shared.upgrade() else {
            return;
        };
        let mut commands = Vec::new();
        {
            let mut coordinator = self.lock();
            for event in events {
                commands.extend(coordinator.handle(shared.now(), event));
            }
        }
        self.execute(commands);
    }

    fn execute(self: &Arc<Self>, commands: Vec<Command>) {
        let Some(shared) = self.shared.upgrade() else {
            return;
        };
        for command in commands {
            match command {
                Command::Send { worker, request } => {
                    task::spawn(exchange(
                        Arc::clone(self),
                        Arc::clone(&shared),
                        worker,
                        request,
                    ));
                }
                Command::Append { token, body } => {
                    task::spawn(append_record(
                        Arc::clone(self),
                        Arc::clone(&shared),
                        token,
                        body,
                    ));
                }
                Command::Stopped => self.stopped.store(true, Ordering::SeqCst),
            }
        }
    }

    /// Feeds this instance's rank and the zone's workers, both from the instance list, to the
    /// coordinator.
    pub fn update_directory(self: &Arc<Self>, shared: &Shared) {
        let directory = shared.directory();
        let workers = directory
            .iter()
            .filter(|i| i.role == Role::Worker && i.zone == self.name)
            .cloned()
            .collect();
        self.handle_all([
            Event::Rank(rank(shared, &self.name)),
            Event::Workers(workers),
        ]);
    }

    /// Feeds the teams' shares and allowances, the state of the zone and the permission to start
    /// tasks to the coordinator.
    ///
    /// The configuration and the pending transfers are read under the coordinator's lock, so that
    /// an allowance lowered by [`Zone::reserve_transfers`] is not raised again by an older reading.
    pub fn update_config(self: &Arc<Self>, shared: &Shared) {
        let may_start = self.is_allowed(shared);
        let commands: Vec<Command> = {
            let mut coordinator = self.lock();
            let config = shared.config();
            let teams = config
                .list("team")
                .filter_map(|item| self.team_event(&config, &item.name));
            let state = Event::ZoneState(config.zone_state(&self.name));
            teams
                .chain([state, Event::MayStart(may_start)])
                .flat_map(|event| coordinator.handle(shared.now(), event))
                .collect()
        };
        self.execute(commands);
    }

    /// Returns whether the coordinator may start tasks.
    fn is_allowed(&self, shared: &Shared) -> bool {
        self.is_fenced() && shared.allows(Work::Start)
    }

    /// Tells the coordinator whether it may start tasks, if that has changed. It changes with the
    /// authority of this instance, to which no update of the configuration belongs.
    fn update_permission(self: &Arc<Self>, shared: &Shared) {
        let may_start = self.is_allowed(shared);
        if self.read(Coordinator::may_start) != may_start {
            self.handle(Event::MayStart(may_start));
        }
    }

    /// Returns whether this instance has authority and the fence of its tenure was read back, so
    /// that no transfer by a predecessor can still take effect.
    pub(crate) fn is_fenced(&self) -> bool {
        let authority = self.authority();
        authority
            .is_some_and(|authority| self.fenced_tenure.load(Ordering::SeqCst) == authority.tenure)
    }

    /// Notes that the fence of `tenure` was read back.
    pub(crate) fn set_fenced(&self, tenure: u64) {
        self.fenced_tenure.store(tenure, Ordering::SeqCst);
    }

    /// Returns the allowance of `team` in this zone, less pending transfers.
    fn allowance(&self, config: &Config, team: &str) -> Resources {
        let allowance = config.allowances().get(team, &self.name);
        allowance.minus(&self.pending_transfers.amount(team))
    }

    /// Calls `choose` with the usage of the teams, and lowers their allowances by the transfers
    /// that it returns before any further task can start.
    pub(crate) fn reserve_transfers(
        self: &Arc<Self>,
        shared: &Shared,
        choose: impl FnOnce(&[TeamUsage]) -> Vec<Transfer>,
    ) -> Vec<Transfer> {
        let (reserved, commands) = {
            let mut coordinator = self.lock();
            let reserved = choose(&coordinator.scheduler().usage());
            for transfer in &reserved {
                self.pending_transfers.add(&transfer.team, transfer.amount);
            }
            let config = shared.config();
            let events = reserved
                .iter()
                .filter_map(|transfer| self.team_event(&config, &transfer.team));
            let commands: Vec<_> = events
                .flat_map(|event| coordinator.handle(shared.now(), event))
                .collect();
            (reserved, commands)
        };
        self.execute(commands);
        reserved
    }

    fn team_event(&self, config: &Config, team: &Name) -> Option<Event> {
        match &config.get("team", team)?.spec {
            Resource::Team { share, .. } => Some(Event::Team {
                team: team.clone(),
                share: *share,
                allowance: self.allowance(config, team),
            }),
            _ => None,
        }
    }

    /// Releases the leases of the zone and waits until all are released or expired, or `grace` has
    /// passed.
    pub async fn stop(self: &Arc<Self>, grace: Duration) {
        self.handle(Event::Stop);
        let mut left = grace;
        while !self.stopped.load(Ordering::SeqCst) && !left.is_zero() {
            task::sleep(TICK).await;
            left = left.saturating_sub(TICK);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Coordinator> {
        self.coordinator
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn settings(shared: &Shared) -> Settings {
    let timeouts = &shared.setup.timeouts;
    Settings {
        control_ttl: timeouts.control_ms,
        task_ttl: timeouts.task_ms,
        heartbeat: timeouts.heartbeat_ms,
        rank_delay: timeouts.rank_ms,
        ..Settings::default()
    }
}

/// Returns this instance's rank among the candidates for `zone`, from 0, or `None` if it is not
/// one.
fn rank(shared: &Shared, zone: &str) -> Option<u32> {
    if let Some(peers) = shared.peers() {
        return u32::try_from(peers.rank(zone)).ok();
    }
    let directory = shared.directory();
    let position = directory
        .iter()
        .filter(|i| i.role == Role::Entry && &*i.zone == zone)
        .position(|i| i.name == shared.setup.name)?;
    u32::try_from(position).ok()
}

async fn tick(zone: Arc<Zone>) {
    while let Some(shared) = zone.shared() {
        zone.update_permission(&shared);
        drop(shared);
        zone.handle(Event::Tick);
        task::sleep(TICK).await;
    }
}

/// Sends one request to a worker and feeds the reply, or its absence, to the coordinator.
async fn exchange(zone: Arc<Zone>, shared: Arc<Shared>, name: Name, request: worker::Request) {
    let sent = shared.now();
    let reply = match shared.address_of(&name) {
        Some(address) => shared.workers.exchange(address, &request).await.ok(),
        None => None,
    };
    zone.handle(match reply {
        Some(reply) => Event::Reply {
            worker: name,
            sent,
            reply,
        },
        None => Event::Unreachable { worker: name, sent },
    });
}

/// Appends a record, retrying until the append succeeds.
async fn append_record(zone: Arc<Zone>, shared: Arc<Shared>, token: u64, body: Body) {
    let stream = stream_for(&zone.name, &body);
    while shared
        .publisher
        .append_without_timeout(&stream, body.clone())
        .await
        .is_err()
    {
        task::sleep(APPEND_RETRY).await;
    }
    zone.handle(Event::Appended { token });
}
