//! Keeps the configuration up to date and knows how far it can be relied on.

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

/// Pause after a failed read of the log.
const RETRY: Duration = Duration::from_millis(200);
/// How often a waiting write looks whether its change is accepted.
const ACCEPT: Duration = Duration::from_millis(5);
/// Records that are kept for peers that lag; at 710 changes a day, those of 5 days.
const RECENT: usize = 4_096;
/// How often the status is looked at; well below the second that the 4 s of the freshness rule
/// leave until a change must be in force.
const WATCH: Duration = Duration::from_millis(100);

/// The configuration in force, with its freshness and those who wait for changes.
#[derive(Debug)]
pub struct Configuration {
    config: RwLock<Arc<Config>>,
    freshness: Mutex<Freshness>,
    wakers: Mutex<Vec<Sender<()>>>,
    /// Records of the log by what became of them.
    outcomes: [AtomicU64; 3],
    /// The latest applied records without a gap, for peers that lag.
    recent: Mutex<VecDeque<LogEntry>>,
}

impl Configuration {
    /// Creates an empty configuration that keeps `history` changes.
    #[must_use]
    pub fn new(history: usize, freshness: Freshness) -> Self {
        Self {
            config: RwLock::new(Arc::new(Config::with_history(history))),
            freshness: Mutex::new(freshness),
            wakers: Mutex::default(),
            outcomes: Default::default(),
            recent: Mutex::default(),
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn get(&self) -> Arc<Config> {
        Arc::clone(&self.config.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts `config` in force unless it is older than the present one, and wakes those who wait.
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
        let mut wakers = self.wakers.lock().unwrap_or_else(PoisonError::into_inner);
        // A full channel means that the waiter has been woken already.
        wakers.retain(|waker| !matches!(waker.try_send(()), Err(TrySendError::Closed(()))));
    }

    /// Returns a channel that gets a message after each change.
    #[must_use]
    pub fn subscribe(&self) -> Receiver<()> {
        let (sender, receiver) = channel::bounded(1);
        let mut wakers = self.wakers.lock().unwrap_or_else(PoisonError::into_inner);
        wakers.retain(|waker| !waker.is_closed());
        wakers.push(sender);
        receiver
    }

    /// Gives access to the freshness, for heartbeats of peers.
    pub fn with_freshness<T>(&self, f: impl FnOnce(&mut Freshness) -> T) -> T {
        f(&mut self
            .freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the number of records that are in force, lost a race, or had no effect.
    #[must_use]
    pub fn outcomes(&self) -> [u64; 3] {
        std::array::from_fn(|i| self.outcomes[i].load(Ordering::Relaxed))
    }

    /// Returns the records from `from` on, or a snapshot if they are not kept any longer. The
    /// records of a snapshot take the last applied offset, so that they never pass for new ones.
    #[must_use]
    pub fn page(&self, from: u64) -> Page {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let config = self.get();
        let end = config.next;
        let oldest = recent.front().map_or(end, |first| first.offset);
        if from >= oldest {
            let newer = recent.iter().filter(|placed| placed.offset >= from);
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
        let pieces = config.snapshot_parts().into_iter();
        let placed = pieces.map(|piece| LogEntry {
            offset: end.saturating_sub(1),
            record: Record {
                id,
                body: Body::ConfigSnapshot(piece),
            },
        });
        Page {
            oldest: end,
            end,
            records: placed.collect(),
        }
    }

    /// Applies records and returns those that took effect in the order of the log now.
    fn apply(&self, now: Time, records: &[LogEntry]) -> Vec<LogEntry> {
        let mut config = (*self.get()).clone();
        let mut applied = Vec::new();
        for placed in records {
            let at = match config.apply_record(placed.offset, &placed.record) {
                ApplyResult::Done => 0,
                ApplyResult::Conflict => 1,
                ApplyResult::Refused | ApplyResult::Duplicate => 2,
                ApplyResult::Old | ApplyResult::Gap => continue,
            };
            self.outcomes[at].fetch_add(1, Ordering::Relaxed);
            applied.push(placed.clone());
        }
        self.set(now, config);
        self.keep(&applied);
        applied
    }

    fn keep(&self, applied: &[LogEntry]) {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        for placed in applied {
            let next = recent.back().map(|last| last.offset + 1);
            // Another source may have brought the same records at the same time.
            if next.is_some_and(|next| placed.offset < next) {
                continue;
            }
            if next.is_some_and(|next| placed.offset > next) {
                recent.clear();
            }
            if recent.len() == RECENT {
                recent.pop_front();
            }
            recent.push_back(placed.clone());
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

    /// Judges whether the change at `offset` is accepted.
    #[must_use]
    pub fn acceptance(&self, offset: u64) -> Acceptance {
        evaluate(offset, self.config().zones(), &self.members())
    }

    /// Waits until the change at `offset` is accepted and applied here, at most for the time of the
    /// settings. Other zones can accept it first, but only an instance that has applied it knows
    /// whether it won.
    pub async fn wait_accepted(&self, offset: u64) -> Acceptance {
        let mut left = Duration::from_millis(self.setup.timeouts.accept_ms);
        loop {
            let verdict = self.acceptance(offset);
            let applied = self.config().next > offset;
            if verdict.accepted && applied || left.is_zero() {
                return verdict;
            }
            let step = ACCEPT.min(left);
            task::sleep(step).await;
            left -= step;
        }
    }

    /// Returns the entry instances that were heard or that the platform lists.
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

    /// Applies records that a peer pushed.
    pub fn apply_pushed(&self, records: &[LogEntry]) {
        let applied = self.configuration.apply(self.now(), records);
        if !applied.is_empty() {
            self.update_zones();
        }
    }

    /// Asks peers for a newer configuration, and returns whether there was one.
    async fn fetch_config(&self) -> bool {
        let Some(peers) = self.peers() else {
            return false;
        };
        let before = self.config().next;
        let Some(page) = peers.fetch_config(before).await else {
            return false;
        };
        if page.oldest <= before {
            self.apply_pushed(&page.records);
            return self.config().next > before;
        }
        let history = usize::try_from(self.setup.limits.watch_events).unwrap_or(usize::MAX);
        let mut loader = Loader::new(page.oldest, history);
        for placed in page.records {
            loader.push(placed.offset, placed.record);
        }
        let Some(config) = loader.build() else {
            return false;
        };
        log::info!(
            "config: the configuration of a peer is used, at {}",
            config.next
        );
        self.configuration.set(self.now(), config);
        self.update_zones();
        true
    }

    fn update_zones(&self) {
        for zone in self.zones() {
            zone.update_config(self);
        }
    }

    /// Forgets peers that neither answer nor are listed.
    fn forget_lost(&self) {
        let (now, directory) = (self.now(), self.directory());
        let listed = |name: &str| directory.iter().any(|instance| &*instance.name == name);
        // The list is empty until it was fetched for the first time.
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

/// Tells the zones when the instance may start tasks and when it no longer may.
pub async fn watch_status(shared: Weak<Shared>) {
    let mut before = None;
    while let Some(shared) = shared.upgrade() {
        shared.forget_lost();
        let status = shared.status();
        if before != Some(status) {
            log::info!("config: the configuration is {status:?}");
            for zone in shared.zones() {
                zone.update_config(&shared);
            }
        }
        before = Some(status);
        drop(shared);
        task::sleep(WATCH).await;
    }
}

/// Follows the log stream `config` for as long as the instance exists.
pub async fn follow(shared: Weak<Shared>) {
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
                for placed in &page.records {
                    let id = placed.record.id;
                    let publisher = &shared.publisher;
                    publisher.observed(CONFIG_STREAM, placed.offset, id);
                }
                let applied = take(&shared, sent, from, page, &mut loader);
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
                task::sleep(RETRY).await;
            }
        }
    }
}

/// Applies a page that was asked for at `sent`, or adds it to the loader if the log has dropped
/// records that were not read. Returns the records that were applied.
fn take(
    shared: &Shared,
    sent: Time,
    from: u64,
    page: Page,
    loader: &mut Option<(Loader, u64)>,
) -> Vec<LogEntry> {
    let mut applied = Vec::new();
    let (now, end) = (shared.now(), page.end);
    if loader.is_none() && page.oldest > from {
        log::warn!("config: the log starts at {}, not at {from}", page.oldest);
        let history = usize::try_from(shared.setup.limits.watch_events).unwrap_or(usize::MAX);
        *loader = Some((Loader::new(page.oldest, history), page.oldest));
    }
    let configuration = &shared.configuration;
    if let Some((pieces, next)) = loader {
        for placed in page.records {
            *next = placed.offset + 1;
            pieces.push(placed.offset, placed.record);
        }
        if *next < end {
            return applied;
        }
        let Some(config) = pieces.build() else {
            log::warn!("config: the log holds no complete snapshot");
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
