//! The exchange with other entry instances: heartbeats, pushed configuration, copies of records and
//! forwarded calls.

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

/// Copies of each record that are asked for while the log is down.
const HOLDERS: usize = 2;
/// Shortest pause of the heartbeat loop, so that a wrong clock does not make it spin.
const SHORTEST_PAUSE: Duration = Duration::from_millis(5);
/// Heartbeats of which one carries the summary. Free resources only guide the choice of a home
/// zone, for which a few seconds of age do no harm; a heartbeat that is lost is made up for by the
/// next summary.
const SUMMARY_EVERY: u64 = 4;
/// How long a peer must have lagged at the same offset before it is helped. The push that follows
/// each change, and the heartbeat that confirms it, arrive earlier in general.
const HELP_AFTER_MS: u64 = 3 * HEARTBEAT_MS;
/// Most records of one push to a peer that lags.
const HELP_RECORDS: usize = 256;
/// Tries of a forwarded call whose answer was lost. Only calls that are safe to repeat get more
/// than one.
const FORWARD_TRIES: u32 = 2;

/// What this instance says about itself in heartbeats.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// The offset after the last configuration record that was applied.
    pub config: u64,
    /// Milliseconds since the end of the log was confirmed, over all hops.
    pub log_age: Option<u64>,
    /// Whether this instance counts towards the quorum for going on without the log.
    pub current: bool,
    /// Zones, free resources and demand.
    pub summary: Summary,
}

/// A heartbeat of a peer whose answer shows when it was true.
#[derive(Debug)]
pub struct ConfirmedHeartbeat<'a> {
    /// The peer.
    pub name: &'a Name,
    /// Its zone.
    pub zone: &'a Name,
    /// What it said was true at this time or later.
    pub sent: Time,
    /// The heartbeat.
    pub heartbeat: &'a Heartbeat,
}

/// The parts of the entry instance that the exchange uses.
pub trait LocalInstance: Send + Sync + 'static {
    /// Returns the local time.
    fn now(&self) -> Time;

    /// Returns what the next heartbeat says; nothing if the instance is gone.
    fn report(&self) -> Option<Report>;

    /// Takes a heartbeat.
    fn heartbeat_confirmed(&self, heard: ConfirmedHeartbeat<'_>);

    /// Returns configuration records from an offset on, or a snapshot if they are not kept.
    fn config_records(&self, from: u64) -> Page;

    /// Applies configuration records that a peer pushed; those that are not next have no effect.
    fn apply_config(&self, records: Vec<LogEntry>);

    /// Answers a call that a peer forwarded.
    fn handle_call<'a>(
        &'a self,
        peer: &'a Name,
        request: Request,
    ) -> Pin<Box<dyn Future<Output = Response> + Send + 'a>>;
}

/// What an instance is told about the exchange with its peers.
#[derive(Debug, Clone)]
pub struct PeerSetup {
    /// Address of the peer interface; port 0 picks a free port.
    pub address: SocketAddr,
    /// The certificate, its key and the roots.
    pub identity: Identity,
    /// The files of the identity, which are read again when they change; nothing in development.
    pub files: Option<IdentityFiles>,
}

/// The latest heartbeat of a peer.
#[derive(Debug, Clone)]
pub struct PeerView {
    /// The peer.
    pub name: Name,
    /// Its zone.
    pub zone: Name,
    /// How it looks from here.
    pub health: Health,
    /// Upper bound of the age of the heartbeat in milliseconds; nothing before the first echo.
    pub age: Option<u64>,
    /// The heartbeat.
    pub heartbeat: Heartbeat,
    /// The latest summary of the same process.
    pub summary: Summary,
}

struct Core {
    local: Arc<dyn LocalInstance>,
    membership: Mutex<Membership>,
    /// Latest heartbeats, sorted by peer.
    beats: Mutex<Vec<(Name, Heartbeat)>>,
    copies: Mutex<Copies>,
    /// Wakes the heartbeat loop when a heartbeat is to be answered.
    wake: Sender<()>,
}

/// The exchange with all peers.
pub struct Peers {
    core: Arc<Core>,
    net: Net,
    incarnation: Incarnation,
    /// Which peers hold copies of this instance's records, sorted by record.
    holders: Mutex<Vec<(RecordId, Name)>>,
    beating: Mutex<Option<JoinHandle<()>>>,
}

impl std::fmt::Debug for Peers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Peers").finish_non_exhaustive()
    }
}

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
        let (wake, woken) = channel::bounded(1);
        let core = Arc::new(Core {
            local,
            membership: Mutex::new(membership),
            beats: Mutex::default(),
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
            beating: Mutex::default(),
        });
        let beat = peers.clone();
        *lock(&peers.beating) = Some(task::spawn(async move { beat.beat(woken).await }));
        Ok(peers)
    }

    /// Returns the links.
    #[must_use]
    pub fn net(&self) -> &Net {
        &self.net
    }

    /// Declares the zones with their regions.
    pub fn set_regions(&self, regions: Vec<(Name, Name)>) {
        lock(&self.core.membership).set_regions(regions);
    }

    /// Takes the entry instances of the platform's list. An address that is no IP address with a
    /// port is reported and not connected to.
    pub fn update_list(&self, list: &[Listed]) {
        let mut membership = lock(&self.core.membership);
        membership.update_list(self.core.local.now(), list);
        let targets = membership.targets().filter_map(|listed| {
            let address = listed.address.parse::<SocketAddr>();
            if address.is_err() {
                log::warn!("peer: The address of {} is not valid.", listed.name);
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

    /// Returns the position of this instance among the candidates for coordinating `zone`.
    #[must_use]
    pub fn rank(&self, zone: &str) -> usize {
        lock(&self.core.membership).rank(zone)
    }

    /// Returns whether a process sends heartbeats at present.
    #[must_use]
    pub fn is_alive(&self, incarnation: Incarnation) -> bool {
        let now = self.core.local.now();
        lock(&self.core.membership).is_alive(now, incarnation)
    }

    /// Returns the latest heartbeats of all peers, by name.
    #[must_use]
    pub fn view(&self) -> Vec<PeerView> {
        let now = self.core.local.now();
        let membership = lock(&self.core.membership);
        let beats = lock(&self.core.beats);
        let view = membership.targets().filter_map(|listed| {
            let at = beats
                .binary_search_by(|(name, _)| name.cmp(&listed.name))
                .ok()?;
            Some(PeerView {
                name: listed.name.clone(),
                zone: listed.zone.clone(),
                health: membership.health(now, &listed.name),
                age: membership.age(now, &listed.name),
                heartbeat: beats[at].1.clone(),
                summary: beats[at].1.summary.clone().unwrap_or_default(),
            })
        });
        view.collect()
    }

    /// Returns the coordinator of `zone`: the reachable peer with the highest epoch.
    #[must_use]
    pub fn coordinator(&self, zone: &str) -> Option<Name> {
        let claims = self.view().into_iter().filter_map(|peer| {
            let terms = &peer.summary.zones;
            let term = terms.iter().find(|term| *term.zone == *zone)?;
            (peer.health != Health::Dropped).then_some((term.epoch, peer.name))
        });
        claims.max().map(|(_, name)| name)
    }

    /// Returns the free resources of the zones that reachable peers coordinate, each from the peer
    /// with the highest epoch, by zone.
    #[must_use]
    pub fn free_by_zone(&self) -> Vec<ZoneResources> {
        let mut found: Vec<(Name, u64, ZoneResources)> = Vec::new();
        for peer in self.view() {
            if peer.health == Health::Dropped {
                continue;
            }
            let summary = peer.summary;
            for free in summary.free {
                let term = summary.zones.iter().find(|term| term.zone == free.zone);
                let epoch = term.map_or(0, |term| term.epoch);
                match found.binary_search_by(|(zone, ..)| zone.cmp(&free.zone)) {
                    Ok(at) if found[at].1 < epoch => found[at] = (free.zone.clone(), epoch, free),
                    Ok(_) => {}
                    Err(at) => found.insert(at, (free.zone.clone(), epoch, free)),
                }
            }
        }
        found.into_iter().map(|(.., free)| free).collect()
    }

    /// Forwards a call to a peer. A call whose answer is lost is sent again only if it is safe to
    /// repeat.
    ///
    /// # Errors
    /// Returns the peer's failure, or one that tells whether the call may have had an effect.
    pub async fn forward(&self, peer: &str, request: &Request) -> Result<Response, Failure> {
        // A submission carries the job's identifier, and a cancellation has the same effect twice.
        let mut tries = match request {
            Request::Submit { .. }
            | Request::Cancel { .. }
            | Request::Read { .. }
            | Request::List { .. } => FORWARD_TRIES,
            _ => 1,
        };
        let mut may_have_run = false;
        while tries > 0 {
            tries -= 1;
            match self.net.call(peer, request).await {
                Ok(Response::Refused(code)) => return Err(Failure::new(code)),
                Ok(Response::Failed(failure)) => {
                    let failure = failure.read();
                    return Err(failure.unwrap_or_else(|_| Failure::new(Code::INTERNAL)));
                }
                Ok(response) => return Ok(response),
                Err(error) => {
                    log::warn!("peer: A call was not answered by {peer}: {error}.");
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

    /// Pushes configuration records to all reachable peers that lack them. Peers that cannot be
    /// reached are served when their heartbeats show that they lag.
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
                log::debug!("peer: A push was not answered: {error}.");
            }
        }
    }

    /// Asks peers for configuration records from `from` on, the one with the most first.
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

    /// Asks two peers to hold copies of records, and returns how many of them do.
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
        let mut holding = 0;
        for peer in candidates {
            if let Ok(Response::Done) = self.net.call(&peer, &request).await {
                let mut holders = lock(&self.holders);
                for record in records {
                    let entry = (record.id, peer.clone());
                    if let Err(at) = holders.binary_search(&entry) {
                        holders.insert(at, entry);
                    }
                }
                holding += 1;
            }
            if holding == HOLDERS {
                break;
            }
        }
        holding
    }

    /// Tells the holders that records are in the log. A holder that cannot be reached finds them in
    /// the log itself.
    pub async fn release(&self, ids: &[RecordId]) {
        let mut told: Vec<(Name, Vec<RecordId>)> = Vec::new();
        lock(&self.holders).retain(|(id, peer)| {
            if !ids.contains(id) {
                return true;
            }
            match told.iter_mut().find(|(name, _)| name == peer) {
                Some((_, ids)) => ids.push(*id),
                None => told.push((peer.clone(), vec![*id])),
            }
            false
        });
        for (peer, ids) in told {
            let _ = self.net.call(&peer, &Request::Release { ids }).await;
        }
    }

    /// Drops the copy of a record that was read from the log.
    pub fn observed(&self, id: RecordId) {
        lock(&self.core.copies).release(id);
    }

    /// Returns the copies whose makers are gone, for this instance to append.
    #[must_use]
    pub fn orphaned_copies(&self) -> Vec<(Name, Record, usize)> {
        let now = self.core.local.now();
        let membership = lock(&self.core.membership);
        lock(&self.core.copies).due(|incarnation| membership.is_alive(now, incarnation))
    }

    /// Offers a copy again that could not be queued for the log.
    pub fn retry_copy(&self, id: RecordId) {
        lock(&self.core.copies).retry(id);
    }

    /// Returns the number of copies held for other instances.
    #[must_use]
    pub fn copy_count(&self) -> usize {
        lock(&self.core.copies).len()
    }

    /// Stops the heartbeats and closes the links.
    pub async fn close(self: Arc<Self>) {
        let beating = lock(&self.beating).take();
        if let Some(beating) = beating {
            beating.cancel().await;
        }
        self.net.clone().close().await;
    }

    async fn beat(&self, woken: Receiver<()>) {
        let mut lagging = Vec::new();
        let mut told = (Vec::new(), Vec::new());
        let mut since = Time(0);
        loop {
            let now = self.core.local.now();
            let due = lock(&self.core.membership).due(now);
            if !due.is_empty() {
                let Some(report) = self.core.local.report() else {
                    return self.net.clone().close().await;
                };
                let summary = &report.summary;
                let wants = |demand: &Demand| (demand.team.clone(), demand.zone.clone());
                let wanted: Vec<_> = summary.demand.iter().map(wants).collect();
                if told.0 != summary.zones || told.1 != wanted {
                    told = (summary.zones.clone(), wanted);
                    since = now;
                }
                for due in due {
                    // A new term and new demand are told with the next two heartbeats to each peer,
                    // even if one is lost, so that calls go to the new coordinator and a zone does
                    // not wait for allowance.
                    let changed = now.since(since) < 2 * due.interval;
                    let full = changed || due.sequence % SUMMARY_EVERY == 1;
                    let heartbeat = Heartbeat {
                        incarnation: self.incarnation,
                        sequence: due.sequence,
                        echo: due.echo,
                        config: report.config,
                        log_age: report.log_age,
                        current: report.current,
                        summary: full.then(|| report.summary.clone()),
                    };
                    self.net.heartbeat(&due.peer, heartbeat);
                }
                self.help_lagging(now, report.config, &mut lagging);
            }
            let wake = lock(&self.core.membership).next_due();
            let pause = wake.map_or(HEARTBEAT_MS, |wake| wake.since(self.core.local.now()));
            // A peer that joins is served within one heartbeat interval.
            let pause = Duration::from_millis(pause.min(HEARTBEAT_MS));
            let _ = timeout(pause.max(SHORTEST_PAUSE), woken.recv()).await;
        }
    }

    /// Pushes missing configuration to peers that have lagged at the same offset for a while.
    /// Several instances may do so, which is harmless, because records that were applied before
    /// have no effect. A peer that needs a snapshot asks for it itself.
    fn help_lagging(&self, now: Time, config: u64, lagging: &mut Vec<(Name, u64, Time)>) {
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
            if now.since(*since) < HELP_AFTER_MS || peer.health != Health::Alive {
                continue;
            }
            *since = now;
            let mut page = self.core.local.config_records(from);
            page.records.truncate(HELP_RECORDS);
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
        let beat = HeartbeatHeader {
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            echo: heartbeat.echo,
        };
        let now = self.local.now();
        let (zone, sent) = {
            let mut membership = lock(&self.membership);
            if !membership.received(now, peer, beat) {
                return;
            }
            if membership.next_due().is_some_and(|wake| wake <= now) {
                // A full channel means that the loop is about to look anyway.
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
        let mut beats = lock(&self.beats);
        match beats.binary_search_by(|(name, _)| name.cmp(peer)) {
            Ok(at) => {
                let known = &mut beats[at].1;
                let same = known.incarnation == heartbeat.incarnation;
                let kept = known.summary.take().filter(|_| same);
                *known = Heartbeat {
                    summary: heartbeat.summary.or(kept),
                    ..heartbeat
                };
            }
            Err(at) => beats.insert(at, (peer.clone(), heartbeat)),
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
