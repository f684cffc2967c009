//! Connections to minions that are kept between requests.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures_lite::future::poll_once;

use super::{LinkSettings, MinionError};

/// The connections of one minion.
#[derive(Debug, Default)]
struct Peer {
    /// Whether the minion returns the ids of attempts.
    named: AtomicBool,
    open: Arc<AtomicUsize>,
    idle: Mutex<Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    stream: TcpStream,
    slot: Slot,
    since: Instant,
}

/// One of the connections that may be open to a minion.
#[derive(Debug)]
struct Slot(Arc<AtomicUsize>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Peer {
    fn idle(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_idle(&self) -> Option<Idle> {
        self.idle().pop()
    }

    fn slot(&self, most: usize) -> Option<Slot> {
        let slot = Slot(Arc::clone(&self.open));
        (self.open.fetch_add(1, Ordering::Relaxed) < most).then_some(slot)
    }
}

/// The connections of all minions, by address.
#[derive(Debug, Default)]
pub(super) struct Pool {
    settings: LinkSettings,
    peers: Mutex<Vec<(SocketAddr, Arc<Peer>)>>,
}

/// A connection with at most one request. It is closed when it is dropped.
#[derive(Debug)]
pub(super) struct Connection {
    stream: TcpStream,
    slot: Option<Slot>,
    peer: Arc<Peer>,
    idle: usize,
    /// Whether the connection can be used again after this request.
    pub(super) keep: bool,
}

impl Pool {
    pub(super) fn new(settings: LinkSettings) -> Self {
        Self {
            settings,
            peers: Mutex::default(),
        }
    }

    /// Returns an idle connection to `address`, or opens one within `limit`.
    pub(super) async fn get(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Connection, MinionError> {
        let peer = self.peer(address);
        while let Some(Idle {
            stream,
            slot,
            since,
        }) = peer.take_idle()
        {
            let mut connection = self.connection(stream, slot, &peer);
            connection.keep = since.elapsed() < self.settings.idle_timeout;
            if connection.keep && is_quiet(&connection.stream).await {
                return Ok(connection);
            }
        }
        let slot = peer
            .slot(self.settings.max_connections)
            .ok_or(MinionError::ConnectionLimit)?;
        let stream = open(address, limit.min(self.settings.connect_timeout))
            .await
            .map_err(|e| MinionError::NotSent(e.to_string()))?;
        Ok(self.connection(stream, slot, &peer))
    }

    fn connection(&self, stream: TcpStream, slot: Slot, peer: &Arc<Peer>) -> Connection {
        Connection {
            stream,
            slot: Some(slot),
            peer: Arc::clone(peer),
            idle: self.settings.max_idle,
            keep: true,
        }
    }

    fn peer(&self, address: SocketAddr) -> Arc<Peer> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Ok(i) = peers.binary_search_by_key(&address, |p| p.0) {
            return Arc::clone(&peers[i].1);
        }
        // Addresses of minions that have left would pile up otherwise.
        peers.retain(|(_, peer)| peer.open.load(Ordering::Relaxed) > 0);
        let i = peers.partition_point(|p| p.0 < address);
        peers.insert(i, (address, Arc::default()));
        Arc::clone(&peers[i].1)
    }
}

impl Connection {
    /// Returns a handle of the connection.
    pub(super) fn stream(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Returns whether an answer with this attempt id, if any, is the answer to `attempt`.
    ///
    /// Bytes that belong to no request can arrive after the connection was found quiet, so a
    /// minion that has returned an id must always return it.
    pub(super) fn accepts(&self, id: Option<&str>, attempt: &str) -> bool {
        if id.is_some() {
            self.peer.named.store(true, Ordering::Relaxed);
        }
        id.map_or(!self.peer.named.load(Ordering::Relaxed), |id| id == attempt)
    }

    /// Keeps the connection for the next request, if it can be used again.
    pub(super) fn release(mut self) {
        if !self.keep {
            return;
        }
        let peer = Arc::clone(&self.peer);
        let mut idle = peer.idle();
        if idle.len() < self.idle
            && let Some(slot) = self.slot.take()
        {
            idle.push(Idle {
                stream: self.stream.clone(),
                slot,
                since: Instant::now(),
            });
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.slot.is_some() {
            // A reader may still hold another handle, so dropping this one does not close.
            let _ = self.stream.shutdown(Shutdown::Both);
        }
    }
}

async fn open(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Returns whether the connection is open and no bytes wait on it. Bytes that wait can only belong
/// to an earlier request.
async fn is_quiet(stream: &TcpStream) -> bool {
    let mut buffer = [0; 1];
    poll_once(stream.peek(&mut buffer)).await.is_none()
}
