//! Keeps the configuration up to date and tracks its freshness.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock, Weak};
use std::time::Duration;

use async_std::channel::{self, Receiver, Sender, TrySendError};
use async_std::task;
use primrosebay_coordination::acceptance::{Acceptance, Member, MemberState, evaluate};
use primrosebay_coordination::freshness::{Freshness, Status, Work};
use primrosebay_protocol::list::Role;
use primrosebay_protocol::log::{CONFIG_STREAM, LogEntry, Page};
use primrosebay_state::config::{ApplyResult, Config, Loader};
use primrosebay_state::id::{Incarnation, RecordId};
use primrosebay_state::record::{Body, Record};
use primrosebay_state::time::Time;
use primrosebay_transport::log::Log;

use crate::shared::Shared;

/// Pause before a failed read of the log is retried.
const READ_RETRY: Duration = Duration::from_millis(200);
/// Interval between checks whether a change is accepted.
const ACCEPT_POLL: Duration = Duration::from_millis(5);
/// Most records kept for lagging peers; enough for 5 days at 710 changes a day.
const MAX_RECENT: usize = 4_096;
/// Interval between checks of the freshness status. The freshness rule makes a configuration stale
/// after 4 s, and a change must be in force 1 s later; the interval is well below this 1 s.
const STATUS_PERIOD: Duration = Duration::from_millis(100);

/// The configuration in force, with its freshness and the subscribers to changes.
#[derive(Debug)]
pub struct Configuration {
    config: RwLock<Arc<Config>>,
    freshness: Mutex<Freshness>,
    subscribers: Mutex<Vec<Sender<()>>>,
    /// Numbers of records that took effect, lost a conflict, or had no effect.
    outcomes: [AtomicU64; 3],
    /// The latest applied records without a gap, for lagging peers.
    recent: Mutex<VecDeque<LogEntry>>,
}

impl Configuration {
    /// Creates an empty configuration that keeps a history of `history` changes for watches.
    #[must_use]
    pub fn new(history: usize, freshness: Freshness) -> Self {
        Self {
            config: RwLock::new(Arc::new(Config::with_history(history))),
            freshness: Mutex::new(freshness),
            subscribers: Mutex::default(),
            outcomes: Default::default(),
            recent: Mutex::default(),
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn get(&self) -> Arc<Config> {
        Arc::clone(&self.config.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts `config` in force unless it is older than the current one, and wakes the subscribers.
    pub fn set(&self, now: Time, config: Config) {
        let config = Arc::new(config);
        {
            let mut current = self.config.write().unwrap_or_else(PoisonError::into_inner);
            if config.next < current.next {
                return;
            }
            *current = Arc::clone(&config);
        }
        self.with_freshness(|freshness| freshness.applied(now, config.next, config.zones()));
        let mut subscribers = self
            .subscribers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        // If the channel is full, a wake-up is already pending.
        subscribers
            .retain(|subscriber| !matches!(subscriber.try_send(()), Err(TrySendError::Closed(()))));
    }

    /// Returns a channel that gets a message after each change. Changes may share one message.
    #[must_use]
    pub fn subscribe(&self) -> Receiver<()> {
        let (sender, receiver) = channel::bounded(1);
        let mut subscribers = self
            .subscribers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        subscribers.retain(|subscriber| !subscriber.is_closed());
        subscribers.push(sender);
        receiver
    }

    /// Calls `f` with the locked freshness state.
    pub fn with_freshness<T>(&self, f: impl FnOnce(&mut Freshness) -> T) -> T {
        f(&mut self
            .freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the numbers of records that took effect, lost a conflict, or had no effect, in this
    /// order.
    #[must_use]
    pub fn outcomes(&self) -> [u64; 3] {
        std::array::from_fn(|i| self.outcomes[i].load(Ordering::Relaxed))
    }

    /// Returns the records from offset `from` on, or a snapshot if these are no longer kept. All
    /// records of a snapshot have the last applied offset, so that they are never taken for new
    /// ones.
    #[must_use]
    pub fn page(&self, from: u64) -> Page {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let config = self.get();
        let end = config.next;
        let oldest = recent.front().map_or(end, |first| first.offset);
        if from >= oldest {
            let newer = recent.iter().filter(|entry| entry.offset >= from);
            return Page {
                oldest,
                end,
                records: newer.cloned().collect(),
            };
        }
        let id = RecordId {
            incarnation: Incarnation(0),
            sequence: 0,
        };
        let parts = config.snapshot_parts().into_iter();
        let entries = parts.map(|part| LogEntry {
            offset: end.saturating_sub(1),
            record: Record {
                id,
                body: Body::ConfigSnapshot(part),
            },
        });
        Page {
            oldest: end,
            end,
            records: entries.collect(),
        }
    }

    /// Applies the records that come next in the log and returns them, including those that lost a
    /// conflict or had no effect. Skips records that were applied before or that follow a gap.
    fn apply(&self, now: Time, records: &[LogEntry]) -> Vec<LogEntry> {
        let mut config = (*self.get()).clone();
        let mut applied = Vec::new();
        for entry in records {
            let outcome = match config.apply_record(entry.offset, &entry.record) {
                ApplyResult::Done => 0,
                ApplyResult::Conflict => 1,
                ApplyResult::Refused | ApplyResult::Duplicate => 2,
                ApplyResult::Old | ApplyResult::Gap => continue,
            };
            self.outcomes[outcome].fetch_add(1, Ordering::Relaxed);
            applied.push(entry.clone());
        }
        self.set(now, config);
        self.retain_recent(&applied);
        applied
    }

    /// Keeps applied records for lagging peers.
    fn retain_recent(&self, applied: &[LogEntry]) {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        for entry in applied {
            let next = recent.back().map(|last| last.offset + 1);
            // The log and peers may deliver the same records at the same time.
            if next.is_some_and(|next| entry.offset < next) {
                continue;
            }
            if next.is_some_and(|next| entry.offset > next) {
                recent.clear();
            }
            if recent.len() == MAX_RECENT {
                recent.pop_front();
            }
            recent.push_back(entry.clone());
        }
    }
}

impl Shared {
    /// Returns whether the instance may rely on its configuration.
    #[must_use]
    pub fn status(&self) -> Status {
        let now = self.now();
        self.configuration
            .with_freshness(|freshness| freshness.status(now))
    }

    /// Returns whether the instance may do `work`.
    #[must_use]
    pub fn allows(&self, work: Work) -> bool {
        let now = self.now();
        self.configuration
            .with_freshness(|freshness| freshness.allows(now, work))
    }

    /// Returns whether the change at `offset` is accepted, and which zones have not applied it.
    #[must_use]
    pub fn acceptance(&self, offset: u64) -> Acceptance {
        evaluate(offset, self.config().zones(), &self.members())
    }

    /// Waits until the change at `offset` is accepted and applied by this instance, at most for the
    /// timeout `accept_ms`. Other zones can accept the change first, but only an instance that has
    /// applied it knows whether it lost a conflict.
    pub async fn wait_accepted(&self, offset: u64) -> Acceptance {
        let mut left = Duration::from_millis(self.setup.timeouts.accept_ms);
        loop {
            let acceptance = self.acceptance(offset);
            let applied = self.config().next > offset;
            if acceptance.accepted && applied || left.is_zero() {
                return acceptance;
            }
            let step = ACCEPT_POLL.min(left);
            task::sleep(step).await;
            left -= step;
        }
    }

    /// Returns the entry instances that are known from heartbeats or from the instance list, this
    /// instance included.
    fn members(&self) -> Vec<Member> {
        let now = self.now();
        let mut members = self
            .configuration
            .with_freshness(|freshness| freshness.members(now));
        for instance in self.directory().iter() {
            let known = members.iter().any(|member| member.name == instance.name);
            if instance.role == Role::Entry && !known {
                members.push(Member {
                    name: instance.name.clone(),
                    zone: instance.zone.clone(),
                    next: 0,
                    state: MemberState::Unreachable,
                });
            }
        }
        members
    }

    /// Applies configuration records received from a peer.
    pub fn apply_from_peer(&self, records: &[LogEntry]) {
        let applied = self.configuration.apply(self.now(), records);
        if !applied.is_empty() {
            self.update_zones();
        }
    }

    /// Fetches newer configuration from peers and returns whether there was any.
    async fn fetch_config(&self) -> bool {
        let Some(peers) = self.peers() else {
            return false;
        };
        let before = self.config().next;
        let Some(page) = peers.fetch_config(before).await else {
            return false;
        };
        if page.oldest <= before {
            self.apply_from_peer(&page.records);
            return self.config().next > before;
        }
        let history = usize::try_from(self.setup.limits.watch_events).unwrap_or(usize::MAX);
        let mut loader = Loader::new(page.oldest, history);
        for entry in page.records {
            loader.push(entry.offset, entry.record);
        }
        let Some(config) = loader.build() else {
            return false;
        };
        log::info!(
            "config: loaded the configuration of a peer at offset {}",
            config.next
        );
        self.configuration.set(self.now(), config);
        self.update_zones();
        true
    }

    /// Feeds the configuration to the coordinators of all zones of this instance.
    fn update_zones(&self) {
        for zone in self.zones() {
            zone.update_config(self);
        }
    }

    /// Forgets unreachable peers that the instance list no longer has.
    fn forget_unlisted(&self) {
        let (now, directory) = (self.now(), self.directory());
        let listed = |name: &str| directory.iter().any(|instance| &*instance.name == name);
        // The list is empty before the first fetch.
        if directory.is_empty() {
            return;
        }
        self.configuration.with_freshness(|freshness| {
            for member in freshness.members(now) {
                if !listed(&member.name) {
                    freshness.remove_peer(now, &member.name);
                }
            }
        });
    }
}

/// Updates the zones when the freshness status changes, since it decides whether tasks may start, and
/// forgets unlisted peers. Ends when the instance is dropped.
pub async fn watch_status(shared: Weak<Shared>) {
    let mut before = None;
    while let Some(shared) = shared.upgrade() {
        shared.forget_unlisted();
        let status = shared.status();
        if before != Some(status) {
            log::info!("config: freshness status is now {status:?}");
            for zone in shared.zones() {
                zone.update_config(&shared);
            }
        }
        before = Some(status);
        drop(shared);
        task::sleep(STATUS_PERIOD).await;
    }
}

/// Applies the log stream `config` and pushes its records to peers, until the instance is dropped.
pub async fn follow(shared: Weak<Shared>) {
    // Set while the configuration is restored from a snapshot, with the next offset to read.
    let mut loader: Option<(Loader, u64)> = None;
    while let Some(shared) = shared.upgrade() {
        let from = match &loader {
            Some((_, from)) => *from,
            None => shared.config().next,
        };
        let sent = shared.now();
        let wait = Duration::from_millis(shared.setup.timeouts.poll_ms);
        match shared.log.read(CONFIG_STREAM, from, wait).await {
            Ok(page) => {
                for entry in &page.records {
                    let id = entry.record.id;
                    let publisher = &shared.publisher;
                    publisher.observed(CONFIG_STREAM, entry.offset, id);
                }
                let applied = apply_page(&shared, sent, from, page, &mut loader);
                if let Some(peers) = shared.peers() {
                    peers.push_config(&applied).await;
                }
                if loader.is_some() && shared.fetch_config().await {
                    loader = None;
                }
            }
            Err(e) => {
                log::warn!("config: cannot read the log: {e}");
                shared.fetch_config().await;
                drop(shared);
                task::sleep(READ_RETRY).await;
            }
        }
    }
}

/// Applies a page that was requested at `sent` from offset `from` on, or adds it to the loader if the
/// log has dropped records that were not read. Returns the records that were applied one by one;
/// none if the loader restored the configuration.
fn apply_page(
    shared: &Shared,
    sent: Time,
    from: u64,
    page: Page,
    loader: &mut Option<(Loader, u64)>,
) -> Vec<LogEntry> {
    let mut applied = Vec::new();
    let (now, end) = (shared.now(), page.end);
    if loader.is_none() && page.oldest > from {
        log::warn!(
            "config: the log has dropped the records from offset {from} to {}",
            page.oldest
        );
        let history = usize::try_from(shared.setup.limits.watch_events).unwrap_or(usize::MAX);
        *loader = Some((Loader::new(page.oldest, history), page.oldest));
    }
    let configuration = &shared.configuration;
    if let Some((loading, next)) = loader {
        for entry in page.records {
            *next = entry.offset + 1;
            loading.push(entry.offset, entry.record);
        }
        if *next < end {
            return applied;
        }
        let Some(config) = loading.build() else {
            log::warn!("config: the log has no complete snapshot");
            return applied;
        };
        configuration.set(now, config);
        *loader = None;
    } else if !page.records.is_empty() {
        applied = configuration.apply(now, &page.records);
    }
    configuration.with_freshness(|freshness| freshness.confirmed(now, sent, end));
    for zone in shared.zones() {
        zone.update_config(shared);
    }
    applied
}
