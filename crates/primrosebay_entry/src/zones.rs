//! Runs the coordinator of a zone: feeds it events and carries out its commands.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use async_std::task;
use primrosebay_coordination::freshness::Work;
use primrosebay_coordination::zone::{Command, Coordinator, Event, Settings};
use primrosebay_protocol::list::Role;
use primrosebay_protocol::log::{JOBS_STREAM, Page};
use primrosebay_protocol::worker;
use primrosebay_state::Name;
use primrosebay_state::config::Resource;
use primrosebay_state::record::Body;
use primrosebay_transport::worker::WorkerLink;

use crate::log_reader;
use crate::shared::Shared;
use crate::snapshots;

/// How often a coordinator looks at its timers.
const TICK: Duration = Duration::from_millis(20);
/// Pause before a record that was not appended is sent again.
const APPEND_RETRY: Duration = Duration::from_millis(200);

/// Returns the log stream of the jobs whose home is `zone`.
///
/// Each zone has a stream of its own, so that an entry instance reads no other zones' records.
#[must_use]
pub fn stream_of(zone: &str) -> String {
    format!("{JOBS_STREAM}-{zone}")
}

/// A zone that this instance coordinates or may come to coordinate.
#[derive(Debug)]
pub struct Zone {
    /// The zone.
    pub name: Name,
    coordinator: Mutex<Coordinator>,
    stopped: AtomicBool,
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
            stopped: AtomicBool::new(false),
            shared: Arc::downgrade(shared),
        });
        shared.add_zone(Arc::clone(&zone));
        task::spawn(tick(Arc::clone(&zone)));
        task::spawn(follow_jobs(Arc::clone(&zone)));
        task::spawn(snapshots::publish_jobs(
            Arc::downgrade(shared),
            Arc::clone(&zone),
        ));
        zone
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
    pub fn update_config(self: &Arc<Self>, shared: &Shared) {
        let config = shared.config();
        let teams = config.list("team").filter_map(|item| match &item.spec {
            Resource::Team { share, .. } => Some(Event::Team {
                team: item.name.clone(),
                share: *share,
                allowance: config.allowances().get(&item.name, &self.name),
            }),
            _ => None,
        });
        let state = Event::ZoneState(config.zone_state(&self.name));
        let may = Event::MayStart(shared.may(Work::Start));
        self.handle_all(teams.chain([state, may]));
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

async fn follow_jobs(zone: Arc<Zone>) {
    let apply = |page: Option<Page>| {
        zone.handle_all(page.map_or_else(|| vec![Event::LogDown], events_of));
        zone.shared.strong_count() > 0
    };
    log_reader::follow(zone.shared.clone(), &stream_of(&zone.name), apply).await;
}

fn events_of(page: Page) -> Vec<Event> {
    let next = page.records.last().map_or(page.end, |r| r.offset + 1);
    let mut events: Vec<Event> = page
        .records
        .into_iter()
        .map(|placed| Event::Record {
            offset: placed.offset,
            record: placed.record,
        })
        .collect();
    if next >= page.end {
        events.push(Event::LogEnd { offset: page.end });
    }
    events
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
    let stream = stream_of(&zone.name);
    while shared
        .publisher
        .record(&stream, body.clone())
        .await
        .is_err()
    {
        task::sleep(APPEND_RETRY).await;
    }
    zone.handle(Event::Appended { token });
}
