//! Runs the coordinator of a zone: feeds it events and carries out its commands.

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
use crate::transfers::{self, Pending};
use crate::zone_reader;

/// How often a coordinator looks at its timers.
const TICK: Duration = Duration::from_millis(20);
/// Pause before a record that was not appended is sent again.
const APPEND_RETRY: Duration = Duration::from_millis(200);

/// Returns the log stream of the tasks whose home is `zone`.
///
/// Jobs share one stream, whose order decides who gets a name and where a job has its home. The far
/// more numerous records of tasks have a stream for each zone, so that an entry instance reads only
/// those of the zones that it may come to coordinate.
#[must_use]
pub fn tasks_stream(zone: &str) -> String {
    format!("tasks-{zone}")
}

/// Returns the stream that a record of a coordinator belongs to.
fn stream_for(zone: &str, body: &Body) -> String {
    match body {
        Body::Starting { .. } | Body::Finished { .. } => tasks_stream(zone),
        _ => JOBS_STREAM.to_owned(),
    }
}

/// A zone that this instance coordinates or may come to coordinate.
#[derive(Debug)]
pub struct Zone {
    /// The zone.
    pub name: Name,
    coordinator: Mutex<Coordinator>,
    /// The offset after the last record of the jobs' stream that the coordinator was given.
    jobs_read: AtomicU64,
    stopped: AtomicBool,
    /// The epoch of the latest claim whose fence was read back; 0 for none.
    fenced: AtomicU64,
    /// Allowance that was given away and is not yet in the configuration.
    pub(crate) pending: Pending,
    shared: Weak<Shared>,
}

impl Zone {
    /// Starts the tasks that drive the coordinator of `name`.
    pub fn start(shared: &Arc<Shared>, name: &Name) -> Arc<Self> {
        let seed = shared.incarnation.0;
        let coordinator =
            Coordinator::new(settings(shared), shared.incarnation, name.clone(), seed);
        let zone = Arc::new(Self {
            name: name.clone(),
            coordinator: Mutex::new(coordinator),
            jobs_read: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            fenced: AtomicU64::new(0),
            pending: Pending::default(),
            shared: Arc::downgrade(shared),
        });
        shared.add_zone(Arc::clone(&zone));
        task::spawn(tick(Arc::clone(&zone)));
        task::spawn(zone_reader::follow(Arc::clone(&zone)));
        task::spawn(transfers::fence(Arc::downgrade(shared), Arc::clone(&zone)));
        task::spawn(transfers::give(Arc::downgrade(shared), Arc::clone(&zone)));
        task::spawn(snapshots::publish_jobs(
            Arc::downgrade(shared),
            Arc::clone(&zone),
        ));
        zone
    }

    /// Returns the state of the instance while it exists.
    pub(crate) fn shared(&self) -> Option<Arc<Shared>> {
        self.shared.upgrade()
    }

    /// Notes that the coordinator was given all records of jobs before the offset `next`.
    pub(crate) fn note_jobs_read(&self, next: u64) {
        self.jobs_read.store(next, Ordering::SeqCst);
    }

    /// Returns the offset before which the coordinator was given all records of jobs.
    #[must_use]
    pub fn jobs_read(&self) -> u64 {
        self.jobs_read.load(Ordering::SeqCst)
    }

    /// Hands over a job that this instance has accepted. If it has lost its authority since `tenure`
    /// was read, another coordinator may have read the record and started the job.
    pub(crate) fn accepted(
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

    /// Returns the epoch of the term in which this instance has authority over the zone.
    #[must_use]
    pub fn epoch(&self) -> Option<u64> {
        self.authority().map(|held| held.epoch)
    }

    /// Returns what stays the same for as long as this instance keeps its authority over the zone.
    pub(crate) fn tenure(&self) -> Option<u64> {
        self.authority().map(|held| held.tenure)
    }

    /// Returns the authority of this instance over the zone, if it has any.
    pub(crate) fn authority(&self) -> Option<Authority> {
        let now = self.shared.upgrade()?.now();
        let authority = self.read(|coordinator| coordinator.authority(now));
        authority.held.then_some(authority)
    }

    /// Returns what the workers of the zone have free and what waits for them.
    #[must_use]
    pub fn load(&self) -> ZoneResources {
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

    /// Reads from the coordinator.
    pub fn read<T>(&self, f: impl FnOnce(&Coordinator) -> T) -> T {
        f(&self.lock())
    }

    /// Feeds one event to the coordinator and carries out its commands.
    pub fn handle(self: &Arc<Self>, event: Event) {
        self.handle_all([event]);
    }

    /// Feeds events to the coordinator and carries out its commands.
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
        self.run(commands);
    }

    fn run(self: &Arc<Self>, commands: Vec<Command>) {
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
                    task::spawn(append(Arc::clone(self), Arc::clone(&shared), token, body));
                }
                Command::Stopped => self.stopped.store(true, Ordering::SeqCst),
            }
        }
    }

    /// Tells the coordinator about the instances on the platform's list.
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

    /// Tells the coordinator about the teams and the state of its zone.
    ///
    /// The configuration and the pending transfers are read under the coordinator's lock, so that an
    /// allowance that [`Zone::take_gifts`] has lowered is not raised again by an older reading.
    pub fn update_config(self: &Arc<Self>, shared: &Shared) {
        let may = self.is_fenced() && shared.allows(Work::Start);
        let commands: Vec<Command> = {
            let mut coordinator = self.lock();
            let config = shared.config();
            let teams = config
                .list("team")
                .filter_map(|item| self.team_event(&config, &item.name));
            let state = Event::ZoneState(config.zone_state(&self.name));
            teams
                .chain([state, Event::MayStart(may)])
                .flat_map(|event| coordinator.handle(shared.now(), event))
                .collect()
        };
        self.run(commands);
    }

    /// Returns whether this instance has authority and no transfer of a predecessor can take effect
    /// any more.
    pub(crate) fn is_fenced(&self) -> bool {
        let authority = self.authority();
        authority.is_some_and(|held| self.fenced.load(Ordering::SeqCst) == held.tenure)
    }

    /// Notes that the fence of the claim with the epoch `first` was read back.
    pub(crate) fn set_fenced(&self, first: u64) {
        self.fenced.store(first, Ordering::SeqCst);
    }

    /// Returns what `team` may use here, less what was given away.
    fn allowance(&self, config: &Config, team: &str) -> Resources {
        let allowance = config.allowances().get(team, &self.name);
        allowance.minus(&self.pending.of(team))
    }

    /// Lets `choose` pick transfers from what the teams use, and lowers their allowances before any
    /// further task can start.
    pub(crate) fn take_gifts(
        self: &Arc<Self>,
        shared: &Shared,
        choose: impl FnOnce(&[TeamUsage]) -> Vec<Transfer>,
    ) -> Vec<Transfer> {
        let (gifts, commands) = {
            let mut coordinator = self.lock();
            let gifts = choose(&coordinator.scheduler().usage());
            for gift in &gifts {
                self.pending.add(&gift.team, gift.amount);
            }
            let config = shared.config();
            let events = gifts
                .iter()
                .filter_map(|gift| self.team_event(&config, &gift.team));
            let commands: Vec<_> = events
                .flat_map(|event| coordinator.handle(shared.now(), event))
                .collect();
            (gifts, commands)
        };
        self.run(commands);
        gifts
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

    /// Gives the leases of the zone back and waits until that is done or `grace` has passed.
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

/// Returns this instance's rank among the candidates for `zone`.
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
    while zone.shared.strong_count() > 0 {
        zone.handle(Event::Tick);
        task::sleep(TICK).await;
    }
}

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

async fn append(zone: Arc<Zone>, shared: Arc<Shared>, token: u64, body: Body) {
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
