//! The exchange with other entry instances (peers): heartbeats, pushed configuration records,
//! copies of log records and forwarded calls.

mod local;

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::channel::{self, Receiver, Sender};
use async_std::future::timeout;
use async_std::task::{self, JoinHandle};

use primrosebay_coordination::membership::{
    HEARTBEAT_MS, Health, HeartbeatHeader, Listed, Membership,
};
use primrosebay_coordination::publisher::Copies;
use primrosebay_protocol::api::Failure;
use primrosebay_protocol::code::Code;
use primrosebay_protocol::log::{LogEntry, Page};
use primrosebay_protocol::peer::{
    Demand, Document, Heartbeat, Request, Response, Summary, ZoneResources,
};
use primrosebay_state::Name;
use primrosebay_state::id::{Incarnation, RecordId};
use primrosebay_state::record::Record;
use primrosebay_state::time::Time;
use primrosebay_transport::peer::{Handler, Identity, IdentityFiles, LinkError, Net, Settings};

/// Peers that are asked to hold a copy of each record while the log is down.
const COPIES_PER_RECORD: usize = 2;
/// Shortest pause of the heartbeat loop, which keeps it from spinning if the clock is wrong.
const MIN_PAUSE: Duration = Duration::from_millis(5);
/// At least one of this many heartbeats to a peer carries the summary. Free resources only guide
/// the choice of a home zone, for which an age of a few seconds is good enough; the next summary
/// makes up for a lost heartbeat.
const SUMMARY_INTERVAL: u64 = 4;
/// Milliseconds for which a peer must have lagged at the same configuration offset before records
/// are pushed to it again. The push after each change and the heartbeat that confirms it usually
/// arrive earlier.
const LAG_PUSH_AFTER_MS: u64 = 3 * HEARTBEAT_MS;
/// Most records in one push to a lagging peer.
const MAX_LAG_PUSH_RECORDS: usize = 256;
/// Most attempts at an idempotent forwarded call that gets no answer. Other calls get only one.
const FORWARD_ATTEMPTS: u32 = 2;

/// The content of this instance's heartbeats that is the same for all peers.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// The offset after the last configuration record that was applied.
    pub config: u64,
    /// Milliseconds since the end of the log was confirmed, by this instance or through peers;
    /// `None` if it never was.
    pub log_age: Option<u64>,
    /// Whether this instance counts towards the quorum for continuing without the log.
    pub current: bool,
    /// Terms, resources and demand of the zones that this instance coordinates.
    pub summary: Summary,
}

/// A heartbeat of a peer that has echoed one of this instance's heartbeats, which bounds its age.
#[derive(Debug)]
pub struct ConfirmedHeartbeat<'a> {
    /// The peer's name.
    pub name: &'a Name,
    /// The peer's zone.
    pub zone: &'a Name,
    /// When the echoed heartbeat was sent. The content was true at that time or later.
    pub sent: Time,
    /// The heartbeat that was just received.
    pub heartbeat: &'a Heartbeat,
}

/// The entry instance as the peer exchange sees it.
pub trait LocalInstance: Send + Sync + 'static {
    /// Returns the local time.
    fn now(&self) -> Time;

    /// Returns the content of the next heartbeats, or `None` if the instance was dropped, which
    /// ends the exchange.
    fn report(&self) -> Option<Report>;

    /// Processes a heartbeat whose age is known.
    fn heartbeat_confirmed(&self, confirmed: ConfirmedHeartbeat<'_>);

    /// Returns configuration records from an offset on, or a snapshot if these are no longer kept.
    fn config_records(&self, from: u64) -> Page;

    /// Applies configuration records that a peer pushed. A record that does not follow the last
    /// applied one has no effect.
    fn apply_config(&self, records: Vec<LogEntry>);

    /// Answers a call that a peer forwarded.
    fn handle_call<'a>(
        &'a self,
        peer: &'a Name,
        request: Request,
    ) -> Pin<Box<dyn Future<Output = Response> + Send + 'a>>;
}

/// Start-up parameters of the peer exchange.
#[derive(Debug, Clone)]
pub struct PeerSetup {
    /// Address of the peer interface; port 0 picks a free port.
    pub address: SocketAddr,
    /// The certificate, its private key and the trusted roots.
    pub identity: Identity,
    /// The files of the identity, which are reloaded when they change; `None` in development.
    pub files: Option<IdentityFiles>,
}

/// The state of a peer as known from its latest heartbeat.
#[derive(Debug, Clone)]
pub struct PeerView {
    /// The peer's name.
    pub name: Name,
    /// The peer's zone.
    pub zone: Name,
    /// Whether the peer is reachable from this instance.
    pub health: Health,
    /// Upper bound of the heartbeat's age in milliseconds; `None` before the first echo.
    pub age: Option<u64>,
    /// The latest heartbeat received from the peer.
    pub heartbeat: Heartbeat,
    /// The latest summary from the process that sent the heartbeat; empty if there was none.
    pub summary: Summary,
}

/// The part of the exchange that handles the heartbeats and requests of peers.
struct Core {
    local: Arc<dyn LocalInstance>,
    membership: Mutex<Membership>,
    /// The latest heartbeat of each peer, sorted by name.
    heartbeats: Mutex<Vec<(Name, Heartbeat)>>,
    copies: Mutex<Copies>,
    /// Wakes the heartbeat loop when a received heartbeat makes one due.
    wake: Sender<()>,
}

/// The exchange with all peers.
pub struct Peers {
    core: Arc<Core>,
    net: Net,
    incarnation: Incarnation,
    /// The peers that hold copies of this instance's records, sorted by record.
    holders: Mutex<Vec<(RecordId, Name)>>,
    heartbeat_task: Mutex<Option<JoinHandle<()>>>,
}

impl std::fmt::Debug for Peers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Peers").finish_non_exhaustive()
    }
}

/// Locks `mutex`, also if a thread panicked while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Peers {
    /// Opens the peer socket and starts to send heartbeats.
    ///
    /// # Errors
    /// Returns an error if the socket cannot be opened or the identity cannot be used.
    pub fn start(
        settings: Settings,
        identity: Identity,
        membership: Membership,
        copies: Copies,
        local: Arc<dyn LocalInstance>,
    ) -> Result<Arc<Self>, LinkError> {
        let (wake, wakeups) = channel::bounded(1);
        let core = Arc::new(Core {
            local,
            membership: Mutex::new(membership),
            heartbeats: Mutex::default(),
            copies: Mutex::new(copies),
            wake,
        });
        let incarnation = settings.incarnation;
        let net = Net::bind(settings, identity, core.clone())?;
        let peers = Arc::new(Self {
            core,
            net,
            incarnation,
            holders: Mutex::default(),
            heartbeat_task: Mutex::default(),
        });
        let sender = peers.clone();
        *lock(&peers.heartbeat_task) =
            Some(task::spawn(
                async move { sender.send_heartbeats(wakeups).await },
            ));
        Ok(peers)
    }

    /// Returns the network links to the peers.
    #[must_use]
    pub fn net(&self) -> &Net {
        &self.net
    }

    /// Sets the region of each zone.
    pub fn set_regions(&self, regions: Vec<(Name, Name)>) {
        lock(&self.core.membership).set_regions(regions);
    }

    /// Sets the entry instances of the platform's list and connects to them. One whose address is
    /// not an IP address with a port is logged and skipped.
    pub fn update_list(&self, list: &[Listed]) {
        let mut membership = lock(&self.core.membership);
        membership.update_list(self.core.local.now(), list);
        let targets = membership.targets().filter_map(|listed| {
            let address = listed.address.parse::<SocketAddr>();
            if address.is_err() {
                log::warn!(
                    "peer: {} has an invalid address in the instance list",
                    listed.name
                );
            }
            Some((listed.name.clone(), address.ok()?))
        });
        let targets: Vec<_> = targets.collect();
        drop(membership);
        self.net.set_peers(&targets);
    }

    /// Returns the number of entry instances that share the append rate.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        lock(&self.core.membership).instances()
    }

    /// Returns the position of this instance among the candidates for `zone`, from 0.
    #[must_use]
    pub fn rank(&self, zone: &str) -> usize {
        lock(&self.core.membership).rank(zone)
    }

    /// Returns whether the process with `incarnation` is sending heartbeats.
    #[must_use]
    pub fn is_alive(&self, incarnation: Incarnation) -> bool {
        let now = self.core.local.now();
        lock(&self.core.membership).is_alive(now, incarnation)
    }

    /// Returns the listed peers from which a heartbeat was received, sorted by name.
    #[must_use]
    pub fn view(&self) -> Vec<PeerView> {
        let now = self.core.local.now();
        let membership = lock(&self.core.membership);
        let heartbeats = lock(&self.core.heartbeats);
        let view = membership.targets().filter_map(|listed| {
            let at = heartbeats
                .binary_search_by(|(name, _)| name.cmp(&listed.name))
                .ok()?;
            Some(PeerView {
                name: listed.name.clone(),
                zone: listed.zone.clone(),
                health: membership.health(now, &listed.name),
                age: membership.age(now, &listed.name),
                heartbeat: heartbeats[at].1.clone(),
                summary: heartbeats[at].1.summary.clone().unwrap_or_default(),
            })
        });
        view.collect()
    }

    /// Returns the coordinator of `zone`: the reachable peer that claims it with the highest epoch.
    #[must_use]
    pub fn coordinator(&self, zone: &str) -> Option<Name> {
        let claims = self.view().into_iter().filter_map(|peer| {
            let terms = &peer.summary.zones;
            let term = terms.iter().find(|term| *term.zone == *zone)?;
            (peer.health != Health::Dropped).then_some((term.epoch, peer.name))
        });
        claims.max().map(|(_, name)| name)
    }

    /// Returns the resources and demand of the zones that reachable peers coordinate, sorted by
    /// zone. If several peers claim a zone, the one with the highest epoch counts.
    #[must_use]
    pub fn resources_by_zone(&self) -> Vec<ZoneResources> {
        let mut best: Vec<(Name, u64, ZoneResources)> = Vec::new();
        for peer in self.view() {
            if peer.health == Health::Dropped {
                continue;
            }
            let summary = peer.summary;
            for free in summary.free {
                let term = summary.zones.iter().find(|term| term.zone == free.zone);
                let epoch = term.map_or(0, |term| term.epoch);
                match best.binary_search_by(|(zone, ..)| zone.cmp(&free.zone)) {
                    Ok(at) if best[at].1 < epoch => best[at] = (free.zone.clone(), epoch, free),
                    Ok(_) => {}
                    Err(at) => best.insert(at, (free.zone.clone(), epoch, free)),
                }
            }
        }
        best.into_iter().map(|(.., free)| free).collect()
    }

    /// Forwards a call to a peer. A call without an answer is retried only if it is idempotent.
    ///
    /// # Errors
    /// Returns the peer's failure, or without an answer one that tells whether the call may have
    /// had an effect.
    pub async fn forward(&self, peer: &str, request: &Request) -> Result<Response, Failure> {
        // Submissions are idempotent because they carry the job's identifier, and cancellations
        // because a second one has no further effect.
        let mut attempts = match request {
            Request::Submit { .. }
            | Request::Cancel { .. }
            | Request::Read { .. }
            | Request::List { .. } => FORWARD_ATTEMPTS,
            _ => 1,
        };
        let mut may_have_run = false;
        while attempts > 0 {
            attempts -= 1;
            match self.net.call(peer, request).await {
                Ok(Response::Refused(code)) => return Err(Failure::new(code)),
                Ok(Response::Failed(failure)) => {
                    let failure = failure.read();
                    return Err(failure.unwrap_or_else(|_| Failure::new(Code::INTERNAL)));
                }
                Ok(response) => return Ok(response),
                Err(error) => {
                    log::warn!("peer: call to {peer} failed: {error}");
                    may_have_run |= error.may_have_run();
                }
            }
        }
        let changes = matches!(request, Request::Submit { .. } | Request::Cancel { .. });
        Err(Failure::new(if may_have_run && changes {
            Code::RECORD_UNKNOWN
        } else {
            Code::NO_COORDINATOR
        }))
    }

    /// Pushes configuration records to all reachable peers that lack them. Unreachable peers get
    /// them once their heartbeats show that they lag.
    pub async fn push_config(&self, records: &[LogEntry]) {
        let Some(last) = records.last() else {
            return;
        };
        let Ok(document) = Document::new(&records.to_vec()) else {
            return;
        };
        let behind = self
            .view()
            .into_iter()
            .filter(|peer| peer.health != Health::Dropped && peer.heartbeat.config <= last.offset);
        let request = Arc::new(Request::Push(document));
        let calls: Vec<_> = behind
            .map(|peer| {
                let (net, request) = (self.net.clone(), request.clone());
                task::spawn(async move { net.call(&peer.name, &request).await })
            })
            .collect();
        for call in calls {
            if let Err(error) = call.await {
                log::debug!("peer: configuration push failed: {error}");
            }
        }
    }

    /// Fetches configuration records from offset `from` on, from the first peer that answers. Peers
    /// that have applied the most are asked first. Returns `None` if no peer is ahead or none
    /// answers.
    pub async fn fetch_config(&self, from: u64) -> Option<Page> {
        let mut ahead = self.view();
        ahead.retain(|peer| peer.health != Health::Dropped && peer.heartbeat.config > from);
        ahead.sort_by_key(|peer| std::cmp::Reverse(peer.heartbeat.config));
        for peer in ahead {
            let answer = self.net.call(&peer.name, &Request::Config { from }).await;
            if let Ok(Response::Config(page)) = answer
                && let Ok(page) = page.read()
            {
                return Some(page);
            }
        }
        None
    }

    /// Asks peers to hold copies of records until [`COPIES_PER_RECORD`] of them do, and returns how
    /// many do.
    pub async fn hold(&self, stream: &Name, records: &[Record]) -> usize {
        let Ok(records_document) = Document::new(&records.to_vec()) else {
            return 0;
        };
        let request = Request::Hold {
            stream: stream.clone(),
            records: records_document,
        };
        let now = self.core.local.now();
        let candidates = lock(&self.core.membership).holders(now);
        let mut held_by = 0;
        for peer in candidates {
            if let Ok(Response::Done) = self.net.call(&peer, &request).await {
                let mut holders = lock(&self.holders);
                for record in records {
                    let entry = (record.id, peer.clone());
                    if let Err(at) = holders.binary_search(&entry) {
                        holders.insert(at, entry);
                    }
                }
                held_by += 1;
            }
            if held_by == COPIES_PER_RECORD {
                break;
            }
        }
        held_by
    }

    /// Tells the peers that hold copies of these records to drop them, because the records are in
    /// the log. An unreachable peer drops its copies when it reads the records from the log.
    pub async fn release(&self, ids: &[RecordId]) {
        let mut by_peer: Vec<(Name, Vec<RecordId>)> = Vec::new();
        lock(&self.holders).retain(|(id, peer)| {
            if !ids.contains(id) {
                return true;
            }
            match by_peer.iter_mut().find(|(name, _)| name == peer) {
                Some((_, ids)) => ids.push(*id),
                None => by_peer.push((peer.clone(), vec![*id])),
            }
            false
        });
        for (peer, ids) in by_peer {
            let _ = self.net.call(&peer, &Request::Release { ids }).await;
        }
    }

    /// Drops the copy of a record, if held here, because the record was read from the log.
    pub fn observed(&self, id: RecordId) {
        lock(&self.core.copies).release(id);
    }

    /// Returns the copies held here whose creating process is no longer alive, for this instance to
    /// append: stream, record, and size in bytes. Each is returned once.
    #[must_use]
    pub fn orphaned_copies(&self) -> Vec<(Name, Record, usize)> {
        let now = self.core.local.now();
        let membership = lock(&self.core.membership);
        lock(&self.core.copies).due(|incarnation| membership.is_alive(now, incarnation))
    }

    /// Makes [`Peers::orphaned_copies`] return a copy again that could not be queued for the log.
    pub fn retry_copy(&self, id: RecordId) {
        lock(&self.core.copies).retry(id);
    }

    /// Returns the number of copies held for other instances.
    #[must_use]
    pub fn copy_count(&self) -> usize {
        lock(&self.core.copies).len()
    }

    /// Stops sending heartbeats and closes the links.
    pub async fn close(self: Arc<Self>) {
        let heartbeat_task = lock(&self.heartbeat_task).take();
        if let Some(heartbeat_task) = heartbeat_task {
            heartbeat_task.cancel().await;
        }
        self.net.clone().close().await;
    }

    /// Sends due heartbeats and pushes to lagging peers until the instance is dropped.
    async fn send_heartbeats(&self, wakeups: Receiver<()>) {
        let mut lagging = Vec::new();
        let mut last_sent = (Vec::new(), Vec::new());
        let mut changed_at = Time(0);
        loop {
            let now = self.core.local.now();
            let due = lock(&self.core.membership).due(now);
            if !due.is_empty() {
                let Some(report) = self.core.local.report() else {
                    return self.net.clone().close().await;
                };
                let summary = &report.summary;
                let key = |demand: &Demand| (demand.team.clone(), demand.zone.clone());
                let demand_keys: Vec<_> = summary.demand.iter().map(key).collect();
                if last_sent.0 != summary.zones || last_sent.1 != demand_keys {
                    last_sent = (summary.zones.clone(), demand_keys);
                    changed_at = now;
                }
                for due in due {
                    // The next two heartbeats to each peer after a change of terms or demand carry
                    // the summary, so that the loss of one does not delay calls to a new
                    // coordinator or a transfer of allowance.
                    let changed = now.since(changed_at) < 2 * due.interval;
                    let with_summary = changed || due.sequence % SUMMARY_INTERVAL == 1;
                    let heartbeat = Heartbeat {
                        incarnation: self.incarnation,
                        sequence: due.sequence,
                        echo: due.echo,
                        config: report.config,
                        log_age: report.log_age,
                        current: report.current,
                        summary: with_summary.then(|| report.summary.clone()),
                    };
                    self.net.heartbeat(&due.peer, heartbeat);
                }
                self.push_to_lagging(now, report.config, &mut lagging);
            }
            let next_due = lock(&self.core.membership).next_due();
            let pause = next_due.map_or(HEARTBEAT_MS, |at| at.since(self.core.local.now()));
            // The bound ensures that a new peer gets its first heartbeat within one interval.
            let pause = Duration::from_millis(pause.min(HEARTBEAT_MS));
            let _ = timeout(pause.max(MIN_PAUSE), wakeups.recv()).await;
        }
    }

    /// Pushes missing configuration records to peers that have lagged at the same offset for
    /// [`LAG_PUSH_AFTER_MS`]. Several instances may do so, which is harmless, because a record that
    /// was applied already has no effect. A peer that needs a snapshot fetches it itself.
    ///
    /// `lagging` has the offset of each lagging peer, and the time at which the peer was first seen
    /// at this offset or a push was last attempted.
    fn push_to_lagging(&self, now: Time, config: u64, lagging: &mut Vec<(Name, u64, Time)>) {
        let view = self.view();
        let behind = |peer: &&PeerView| peer.heartbeat.config < config;
        let behind: Vec<_> = view.iter().filter(behind).collect();
        lagging.retain(|(name, at, _)| {
            let same = |peer: &&&PeerView| peer.name == *name && peer.heartbeat.config == *at;
            behind.iter().any(|peer| same(&peer))
        });
        for peer in behind {
            let from = peer.heartbeat.config;
            let known = lagging.iter_mut().find(|(name, ..)| *name == peer.name);
            let Some((.., since)) = known else {
                lagging.push((peer.name.clone(), from, now));
                continue;
            };
            if now.since(*since) < LAG_PUSH_AFTER_MS || peer.health != Health::Alive {
                continue;
            }
            *since = now;
            let mut page = self.core.local.config_records(from);
            page.records.truncate(MAX_LAG_PUSH_RECORDS);
            if page.oldest > from {
                continue;
            }
            let (net, name) = (self.net.clone(), peer.name.clone());
            let Ok(document) = Document::new(&page.records) else {
                continue;
            };
            task::spawn(async move { net.call(&name, &Request::Push(document)).await });
        }
    }
}

impl Core {
    /// Holds copies of a peer's records. If there is no room for all, the copies added so far
    /// remain.
    fn hold(&self, stream: &Name, records: Vec<Record>) -> Response {
        let mut copies = lock(&self.copies);
        for record in records {
            let bytes = serde_json::to_vec(&record).map_or(0, |json| json.len());
            if copies.hold(stream, record, bytes).is_err() {
                return Response::Refused(Code::OVERLOADED);
            }
        }
        Response::Done
    }
}

impl Handler for Core {
    fn heartbeat(&self, peer: &Name, heartbeat: Heartbeat) {
        let header = HeartbeatHeader {
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            echo: heartbeat.echo,
        };
        let now = self.local.now();
        let (zone, sent) = {
            let mut membership = lock(&self.membership);
            if !membership.received(now, peer, header) {
                return;
            }
            if membership.next_due().is_some_and(|wake| wake <= now) {
                // If the channel is full, a wake-up is already pending.
                let _ = self.wake.try_send(());
            }
            let listed = membership.targets().find(|listed| listed.name == *peer);
            let zone = listed.map(|listed| listed.zone.clone());
            (zone, membership.confirmed(peer))
        };
        if let (Some(zone), Some(sent)) = (zone, sent) {
            self.local.heartbeat_confirmed(ConfirmedHeartbeat {
                name: peer,
                zone: &zone,
                sent,
                heartbeat: &heartbeat,
            });
        }
        let mut heartbeats = lock(&self.heartbeats);
        match heartbeats.binary_search_by(|(name, _)| name.cmp(peer)) {
            Ok(at) => {
                let known = &mut heartbeats[at].1;
                let same = known.incarnation == heartbeat.incarnation;
                let kept = known.summary.take().filter(|_| same);
                *known = Heartbeat {
                    summary: heartbeat.summary.or(kept),
                    ..heartbeat
                };
            }
            Err(at) => heartbeats.insert(at, (peer.clone(), heartbeat)),
        }
    }

    fn call<'a>(
        &'a self,
        peer: &'a Name,
        request: Request,
    ) -> Pin<Box<dyn Future<Output = Response> + Send + 'a>> {
        Box::pin(async move {
            let malformed = Response::Refused(Code::MALFORMED);
            match request {
                Request::Push(document) => match document.read() {
                    Ok(records) => {
                        self.local.apply_config(records);
                        Response::Done
                    }
                    Err(_) => malformed,
                },
                Request::Config { from } => Document::new(&self.local.config_records(from))
                    .map_or(Response::Refused(Code::INTERNAL), Response::Config),
                Request::Hold { stream, records } => match records.read() {
                    Ok(records) => self.hold(&stream, records),
                    Err(_) => malformed,
                },
                Request::Release { ids } => {
                    let mut copies = lock(&self.copies);
                    for id in ids {
                        copies.release(id);
                    }
                    Response::Done
                }
                Request::Hello { .. } | Request::Heartbeat(_) => malformed,
                forwarded => self.local.handle_call(peer, forwarded).await,
            }
        })
    }
}
