//! The links of an entry instance to its peers.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::task::{self, JoinHandle};
use futures_lite::future;
use quinn::{
    Connection, ConnectionId, ConnectionIdGenerator, Endpoint, EndpointConfig, IdleTimeout,
    Incoming, SmolRuntime, TransportConfig, VarInt,
};

use primrosebay_protocol::peer::{FrameError, Heartbeat, MAX_FRAME, Request, Response};
use primrosebay_state::Name;
use primrosebay_state::id::Incarnation;

use super::backoff::Backoff;
use super::handshakes::{Admission, Handshakes, Place};
use super::link::{self, Link};
use super::tls::{Identity, IdentityFiles, TlsError};
use super::{CallError, Handler, LinkError, Settings};
use crate::log_limit::LogLimit;

/// Time that the instance with the higher name waits for the other one to connect, before it
/// connects itself. The other one does not connect while its instance list lacks this instance.
const ACCEPT_WAIT: Duration = Duration::from_secs(1);
/// Bytes of datagrams that are buffered in each direction. When the buffer is full, the oldest
/// datagrams are dropped.
const DATAGRAM_BUFFER: usize = 64 << 10;

/// Traffic of the current connection to a peer. Bytes are those of UDP payloads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of bytes sent.
    pub sent_bytes: u64,
    /// Number of UDP packets sent.
    pub sent_packets: u64,
    /// Number of bytes received.
    pub received_bytes: u64,
    /// Number of UDP packets received.
    pub received_packets: u64,
}

/// Generates connection IDs of 4 bytes instead of 8. An instance has only some dozens of
/// connections, and the ID is a large part of a packet with a heartbeat.
struct ShortIds;

impl ConnectionIdGenerator for ShortIds {
    fn generate_cid(&mut self) -> ConnectionId {
        ConnectionId::new(&rand::random::<[u8; 4]>())
    }

    fn cid_len(&self) -> usize {
        4
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

/// Maximum number of first packets that wait until they are accepted, which happens at once.
const MAX_INCOMING: usize = 1_024;
/// Bytes that are buffered for a connection that waits to be accepted, and for all of them.
const INCOMING_BUFFERS: (u64, u64) = (16 << 10, 1 << 20);

/// Counters of malformed frames and failed connections.
#[derive(Debug, Default)]
pub(super) struct Counters {
    /// Frames that could not be decoded.
    malformed: AtomicU64,
    /// Connections that could not be set up.
    failed: AtomicU64,
    log_limit: Mutex<LogLimit>,
}

impl Counters {
    pub(super) fn count_malformed(&self, peer: &Name, error: &FrameError) {
        self.malformed.fetch_add(1, Ordering::Relaxed);
        log::warn!("peer: dropped a malformed frame from {peer}: {error}");
    }

    fn count_failed(&self, error: &LinkError) {
        self.failed.fetch_add(1, Ordering::Relaxed);
        let admitted = lock(&self.log_limit).admit(Instant::now());
        if let Some(left_out) = admitted {
            log::warn!(left_out; "peer: cannot set up a connection: {error}");
        }
    }
}

/// A peer to connect to.
struct Target {
    name: Name,
    address: SocketAddr,
    /// Keeps the connection to the peer open.
    dial_task: JoinHandle<()>,
}

/// State that the clones of [`Net`] share with their tasks.
struct Shared {
    endpoint: Endpoint,
    settings: Settings,
    handler: Arc<dyn Handler>,
    identity: Mutex<Identity>,
    client_config: Mutex<quinn::ClientConfig>,
    /// The current links, sorted by the name of the peer.
    links: Mutex<Vec<(Name, Link)>>,
    /// The incoming connections that are being set up.
    handshakes: Arc<Handshakes>,
    closing: AtomicBool,
    counters: Arc<Counters>,
}

/// The links of an entry instance to its peers. Clones share the links.
#[derive(Clone)]
pub struct Net {
    shared: Arc<Shared>,
    targets: Arc<Mutex<Vec<Target>>>,
    /// The tasks that accept connections and watch the certificate files.
    tasks: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl std::fmt::Debug for Net {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Net").finish_non_exhaustive()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn transport_config(settings: &Settings) -> Arc<TransportConfig> {
    let mut config = TransportConfig::default();
    let window = VarInt::from_u32(u32::try_from(MAX_FRAME).unwrap_or(u32::MAX));
    let millis = u32::try_from(settings.idle_timeout.as_millis()).unwrap_or(u32::MAX);
    config
        .max_concurrent_bidi_streams(VarInt::from_u32(settings.max_streams))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .stream_receive_window(window)
        // All streams of a peer together buffer at most two frames of maximum length.
        .receive_window(VarInt::from_u32(4 << 20))
        .send_window(4 << 20)
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER))
        .datagram_send_buffer_size(DATAGRAM_BUFFER)
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(millis))));
    Arc::new(config)
}

fn server_config(
    identity: &Identity,
    settings: &Settings,
) -> Result<quinn::ServerConfig, TlsError> {
    let mut config = quinn::ServerConfig::with_crypto(Arc::new(identity.server_crypto()?));
    let (buffer, buffers) = INCOMING_BUFFERS;
    config
        .transport_config(transport_config(settings))
        .max_incoming(MAX_INCOMING)
        .incoming_buffer_size(buffer)
        .incoming_buffer_size_total(buffers);
    Ok(config)
}

fn client_config(
    identity: &Identity,
    settings: &Settings,
) -> Result<quinn::ClientConfig, TlsError> {
    let mut config = quinn::ClientConfig::new(Arc::new(identity.client_crypto()?));
    config.transport_config(transport_config(settings));
    Ok(config)
}

impl Net {
    /// Opens the socket and starts to accept connections from peers.
    ///
    /// # Errors
    /// Returns an error if the socket cannot be opened or the identity cannot be used.
    pub fn bind(
        settings: Settings,
        identity: Identity,
        handler: Arc<dyn Handler>,
    ) -> Result<Self, LinkError> {
        let server = server_config(&identity, &settings)?;
        let client = client_config(&identity, &settings)?;
        let socket = UdpSocket::bind(settings.address)?;
        let mut endpoint_config = EndpointConfig::default();
        endpoint_config.cid_generator(|| Box::new(ShortIds));
        let endpoint = Endpoint::new(endpoint_config, Some(server), socket, Arc::new(SmolRuntime))?;
        let shared = Arc::new(Shared {
            endpoint,
            settings,
            handler,
            identity: Mutex::new(identity),
            client_config: Mutex::new(client),
            links: Mutex::default(),
            handshakes: Arc::default(),
            closing: AtomicBool::new(false),
            counters: Arc::default(),
        });
        let accept = task::spawn(accept(shared.clone()));
        Ok(Self {
            shared,
            targets: Arc::default(),
            tasks: Arc::new(Mutex::new(vec![accept])),
        })
    }

    /// Returns the local address.
    ///
    /// # Errors
    /// Returns an error if the socket has been closed.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.shared.endpoint.local_addr()
    }

    /// Sets the peers to connect to. Connections to other peers stay open until they end on their
    /// own, because the instance list lags behind the actual state.
    pub fn set_peers(&self, peers: &[(Name, SocketAddr)]) {
        let mut targets = lock(&self.targets);
        targets.retain_mut(|target| {
            let keep = peers.contains(&(target.name.clone(), target.address));
            if !keep {
                let dial_task = std::mem::replace(&mut target.dial_task, task::spawn(async {}));
                task::spawn(dial_task.cancel());
            }
            keep
        });
        for (name, address) in peers {
            let known = targets.iter().any(|target| target.name == *name);
            if !known && *name != self.shared.settings.name {
                let dial = dial(self.shared.clone(), name.clone(), *address);
                targets.push(Target {
                    name: name.clone(),
                    address: *address,
                    dial_task: task::spawn(dial),
                });
            }
        }
    }

    /// Returns the names of the connected peers, sorted.
    #[must_use]
    pub fn connected(&self) -> Vec<Name> {
        let links = lock(&self.shared.links);
        links.iter().map(|(name, _)| name.clone()).collect()
    }

    /// Sends a request to a peer and returns the response.
    ///
    /// # Errors
    /// Returns an error if there is no response; [`CallError::may_have_run`] tells whether the peer
    /// may have carried out the request.
    pub async fn call(&self, peer: &str, request: &Request) -> Result<Response, CallError> {
        let link = self.shared.link(peer).ok_or(CallError::Disconnected)?;
        link.call(request, &self.shared.settings).await
    }

    /// Sends a heartbeat to a peer if it is connected. A lost heartbeat is not retried.
    pub fn heartbeat(&self, peer: &str, heartbeat: Heartbeat) {
        if let Some(link) = self.shared.link(peer) {
            link.heartbeat(heartbeat, &self.shared.settings);
        }
    }

    /// Returns the traffic of the current connection to a peer, or `None` without a connection.
    #[must_use]
    pub fn traffic(&self, peer: &str) -> Option<Traffic> {
        let stats = self.shared.link(peer)?.connection.stats();
        Some(Traffic {
            sent_bytes: stats.udp_tx.bytes,
            sent_packets: stats.udp_tx.datagrams,
            received_bytes: stats.udp_rx.bytes,
            received_packets: stats.udp_rx.datagrams,
        })
    }

    /// Returns the number of frames from peers that were dropped because they could not be decoded.
    #[must_use]
    pub fn malformed_frames(&self) -> u64 {
        self.shared.counters.malformed.load(Ordering::Relaxed)
    }

    /// Returns the number of incoming and outgoing connections that could not be set up.
    #[must_use]
    pub fn failed_connections(&self) -> u64 {
        self.shared.counters.failed.load(Ordering::Relaxed)
    }

    /// Uses `identity` for new connections. If the roots have changed, the existing connections are
    /// closed, so that none relies on a root that was removed.
    ///
    /// # Errors
    /// Returns an error if the identity cannot be used; the previous one stays in use.
    pub fn reload(&self, identity: Identity) -> Result<(), TlsError> {
        self.shared.reload(identity)
    }

    /// Reads the files every `interval` and uses them when they have changed. If they cannot be
    /// used, a warning is logged and the current identity stays in use.
    pub fn watch(&self, files: IdentityFiles, interval: Duration) {
        let shared = self.shared.clone();
        let watch_task = task::spawn(async move {
            loop {
                task::sleep(interval).await;
                let current = lock(&shared.identity).clone();
                let result = Identity::load(&files).and_then(|identity| {
                    if identity == current {
                        return Ok(());
                    }
                    shared.reload(identity)?;
                    log::info!("peer: reloaded the certificates");
                    Ok(())
                });
                if let Err(error) = result {
                    log::warn!("peer: cannot reload the certificates: {error}");
                }
            }
        });
        lock(&self.tasks).push(watch_task);
    }

    /// Closes all links, also for the other clones, and waits until the peers have been notified,
    /// at most for [`Settings::connect_timeout`].
    pub async fn close(self) {
        self.shared.closing.store(true, Ordering::Relaxed);
        let targets = std::mem::take(&mut *lock(&self.targets));
        let tasks = std::mem::take(&mut *lock(&self.tasks));
        for task in targets
            .into_iter()
            .map(|target| target.dial_task)
            .chain(tasks)
        {
            task.cancel().await;
        }
        let endpoint = &self.shared.endpoint;
        endpoint.close(VarInt::from_u32(0), b"stopping");
        let _ = timeout(self.shared.settings.connect_timeout, endpoint.wait_idle()).await;
    }
}

impl Shared {
    fn link(&self, peer: &str) -> Option<Link> {
        let links = lock(&self.links);
        let index = links
            .binary_search_by(|(name, _)| (**name).cmp(peer))
            .ok()?;
        Some(links[index].1.clone())
    }

    fn reload(&self, identity: Identity) -> Result<(), TlsError> {
        let server = server_config(&identity, &self.settings)?;
        let client = client_config(&identity, &self.settings)?;
        self.endpoint.set_server_config(Some(server));
        *lock(&self.client_config) = client;
        let mut current = lock(&self.identity);
        if !identity.same_roots(&current) {
            for (_, link) in lock(&self.links).iter() {
                let code = VarInt::from_u32(1);
                link.connection.close(code, b"certificates changed");
            }
        }
        *current = identity;
        Ok(())
    }

    /// Makes `link` the link to `peer` unless the current link is to be kept, and returns whether
    /// it did. When two instances connect to each other at the same time, both keep the connection
    /// that the instance with the lower name opened. The connection of a new process always
    /// replaces that of the previous process, which would otherwise count as open until the idle
    /// timeout.
    fn register(&self, peer: &Name, link: Link) -> bool {
        let mut links = lock(&self.links);
        match links.binary_search_by(|(name, _)| name.cmp(peer)) {
            Ok(index) => {
                let current = &links[index].1;
                let open = current.connection.close_reason().is_none();
                let same_process = current.incarnation == link.incarnation;
                let (inferior, code) = (!link.preferred, VarInt::from_u32(2));
                if open && same_process && current.preferred && inferior {
                    link.connection.close(code, b"duplicate");
                    return false;
                }
                current.connection.close(code, b"duplicate");
                links[index].1 = link;
            }
            Err(index) => links.insert(index, (peer.clone(), link)),
        }
        true
    }

    /// Removes the link to `peer` if it still uses `connection`.
    fn unregister(&self, peer: &Name, connection: &Connection) {
        lock(&self.links).retain(|(name, link)| {
            name != peer || link.connection.stable_id() != connection.stable_id()
        });
    }

    /// Registers the connection and serves it in its own task until it closes. The task does not
    /// depend on the target, because the instance list may omit a peer that is still connected.
    fn start(self: &Arc<Self>, peer: Name, connection: Connection, link: Link) {
        if !self.register(&peer, link) {
            return;
        }
        let shared = self.clone();
        task::spawn(async move {
            let handler = shared.handler.clone();
            let counters = shared.counters.clone();
            let call_timeout = shared.settings.call_timeout;
            link::serve(
                connection.clone(),
                peer.clone(),
                handler,
                counters,
                call_timeout,
            )
            .await;
            shared.unregister(&peer, &connection);
        });
    }

    /// Opens a connection to a peer and exchanges hellos.
    async fn connect(
        &self,
        peer: &Name,
        address: SocketAddr,
    ) -> Result<(Connection, Incarnation), LinkError> {
        let client = lock(&self.client_config).clone();
        let connecting = self.endpoint.connect_with(client, address, peer)?;
        let connection = connecting.await?;
        let incarnation = link::send_hello(&connection, peer, &self.settings).await?;
        Ok((connection, incarnation))
    }

    /// Sets up an incoming connection, unless it takes too long or has to give way.
    async fn accept_in_time(
        &self,
        incoming: Incoming,
        place: &Place,
    ) -> Result<(Name, Connection, Incarnation), LinkError> {
        let accepted = timeout(self.settings.connect_timeout, self.accept_peer(incoming));
        let lost = async {
            place.lost().await;
            Err(LinkError::Surplus)
        };
        let accepted = async { accepted.await.unwrap_or(Err(LinkError::Timeout)) };
        future::or(accepted, lost).await
    }

    /// Completes the handshake of an incoming connection and the exchange of hellos.
    async fn accept_peer(
        &self,
        incoming: Incoming,
    ) -> Result<(Name, Connection, Incarnation), LinkError> {
        let connection = incoming.await?;
        let (peer, incarnation) = link::receive_hello(&connection, &self.settings).await?;
        Ok((peer, connection, incarnation))
    }
}

/// Accepts connections from peers until the endpoint closes.
async fn accept(shared: Arc<Shared>) {
    while let Some(incoming) = shared.endpoint.accept().await {
        let address = incoming.remote_address().ip();
        let is_proved = incoming.remote_address_validated();
        let open = shared.endpoint.open_connections();
        let place = match shared.handshakes.admit(address, is_proved, open) {
            Admission::Admitted(place) => place,
            Admission::Prove => {
                // Fails only for a client that has proved its address.
                let _ = incoming.retry();
                continue;
            }
            Admission::Refused => {
                shared.counters.count_failed(&LinkError::Surplus);
                incoming.refuse();
                continue;
            }
        };
        let shared = shared.clone();
        task::spawn(async move {
            let result = shared.accept_in_time(incoming, &place).await;
            if result.is_err() {
                place.fail();
            }
            drop(place);
            match result {
                Ok((peer, connection, incarnation)) => {
                    let preferred = peer < shared.settings.name;
                    let link = Link::new(connection.clone(), incarnation, preferred);
                    shared.start(peer, connection, link);
                }
                Err(error) => shared.counters.count_failed(&error),
            }
        });
    }
}

/// Keeps a connection to `peer` open until the task is cancelled or the links are closed.
async fn dial(shared: Arc<Shared>, peer: Name, address: SocketAddr) {
    let seed = shared.settings.incarnation.0 ^ u64::from(address.port());
    let mut backoff = Backoff::new(shared.settings.backoff, seed);
    while !shared.closing.load(Ordering::Relaxed) {
        if let Some(link) = shared.link(&peer) {
            link.connection.closed().await;
            shared.unregister(&peer, &link.connection);
            backoff.reset();
        }
        if shared.settings.name > peer {
            task::sleep(ACCEPT_WAIT).await;
            if shared.link(&peer).is_some() {
                continue;
            }
        }
        let attempt = timeout(
            shared.settings.connect_timeout,
            shared.connect(&peer, address),
        )
        .await;
        match attempt.unwrap_or(Err(LinkError::Timeout)) {
            Ok((connection, incarnation)) => {
                backoff.reset();
                let preferred = shared.settings.name < peer;
                let link = Link::new(connection.clone(), incarnation, preferred);
                shared.start(peer.clone(), connection, link);
            }
            Err(error) => {
                shared.counters.count_failed(&error);
                task::sleep(backoff.pause()).await;
            }
        }
    }
}
