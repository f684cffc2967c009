//! The pool of connections to minions.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures_lite::future::poll_once;

use super::{LinkSettings, MinionError};

/// The connections to one minion.
#[derive(Debug, Default)]
struct MinionConnections {
    /// Whether the minion has returned the ID of an attempt.
    returns_ids: AtomicBool,
    /// Number of open connections.
    open: Arc<AtomicUsize>,
    idle: Mutex<Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    stream: TcpStream,
    permit: Permit,
    idle_since: Instant,
}

/// Permits one open connection to a minion until it is dropped.
#[derive(Debug)]
struct Permit(Arc<AtomicUsize>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl MinionConnections {
    fn idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_idle(&self) -> Option<IdleConnection> {
        self.idle().pop()
    }

    /// Returns a permit if fewer than `max_connections` are open.
    fn permit(&self, max_connections: usize) -> Option<Permit> {
        let permit = Permit(Arc::clone(&self.open));
        (self.open.fetch_add(1, Ordering::Relaxed) < max_connections).then_some(permit)
    }
}

/// The connections of all minions, by address.
#[derive(Debug, Default)]
pub(super) struct Pool {
    settings: LinkSettings,
    /// Sorted by address.
    minions: Mutex<Vec<(SocketAddr, Arc<MinionConnections>)>>,
}

/// A connection that serves one request at a time. It is closed on drop unless it was released.
#[derive(Debug)]
pub(super) struct Connection {
    stream: TcpStream,
    /// `None` once the connection has been released to the pool.
    permit: Option<Permit>,
    minion: Arc<MinionConnections>,
    max_idle: usize,
    /// Whether the connection can be reused after this request.
    pub(super) reusable: bool,
}

impl Pool {
    pub(super) fn new(settings: LinkSettings) -> Self {
        Self {
            settings,
            minions: Mutex::default(),
        }
    }

    /// Returns an idle connection to `address`, or opens one within `call_timeout` and the connect
    /// timeout.
    pub(super) async fn get(
        &self,
        address: SocketAddr,
        call_timeout: Duration,
    ) -> Result<Connection, MinionError> {
        let minion = self.minion(address);
        while let Some(IdleConnection {
            stream,
            permit,
            idle_since,
        }) = minion.take_idle()
        {
            let mut connection = self.connection(stream, permit, &minion);
            connection.reusable = idle_since.elapsed() < self.settings.idle_timeout;
            if connection.reusable && is_idle(&connection.stream).await {
                return Ok(connection);
            }
        }
        let permit = minion
            .permit(self.settings.max_connections)
            .ok_or(MinionError::ConnectionLimit)?;
        let stream = open(address, call_timeout.min(self.settings.connect_timeout))
            .await
            .map_err(|e| MinionError::NotSent(e.to_string()))?;
        Ok(self.connection(stream, permit, &minion))
    }

    /// Wraps a stream with the settings of the pool.
    fn connection(
        &self,
        stream: TcpStream,
        permit: Permit,
        minion: &Arc<MinionConnections>,
    ) -> Connection {
        Connection {
            stream,
            permit: Some(permit),
            minion: Arc::clone(minion),
            max_idle: self.settings.max_idle,
            reusable: true,
        }
    }

    /// Returns the connections to the minion at `address`.
    fn minion(&self, address: SocketAddr) -> Arc<MinionConnections> {
        let mut minions = self.minions.lock().unwrap_or_else(PoisonError::into_inner);
        if let Ok(i) = minions.binary_search_by_key(&address, |entry| entry.0) {
            return Arc::clone(&minions[i].1);
        }
        // Otherwise the entries of minions that have stopped would accumulate.
        minions.retain(|(_, minion)| minion.open.load(Ordering::Relaxed) > 0);
        let i = minions.partition_point(|entry| entry.0 < address);
        minions.insert(i, (address, Arc::default()));
        Arc::clone(&minions[i].1)
    }
}

impl Connection {
    /// Returns a handle to the stream of the connection.
    pub(super) fn stream(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Returns whether a response with the attempt ID `id`, if any, is the response to `attempt`.
    ///
    /// Bytes that belong to no request can arrive after the check for unread bytes, so a minion
    /// that has returned an ID once must return it in every response.
    pub(super) fn matches_attempt(&self, id: Option<&str>, attempt: &str) -> bool {
        if id.is_some() {
            self.minion.returns_ids.store(true, Ordering::Relaxed);
        }
        id.map_or(!self.minion.returns_ids.load(Ordering::Relaxed), |id| {
            id == attempt
        })
    }

    /// Keeps the connection for a later request if it is reusable and not too many are idle.
    pub(super) fn release(mut self) {
        if !self.reusable {
            return;
        }
        let minion = Arc::clone(&self.minion);
        let mut idle = minion.idle();
        if idle.len() < self.max_idle
            && let Some(permit) = self.permit.take()
        {
            idle.push(IdleConnection {
                stream: self.stream.clone(),
                permit,
                idle_since: Instant::now(),
            });
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.permit.is_some() {
            // A reader may still hold another handle, so dropping this one would not close the
            // connection.
            let _ = self.stream.shutdown(Shutdown::Both);
        }
    }
}

/// Opens a connection within `connect_timeout`.
async fn open(address: SocketAddr, connect_timeout: Duration) -> io::Result<TcpStream> {
    let stream = timeout(connect_timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Returns whether the connection is open and has no unread bytes. Such bytes could only belong to
/// an earlier request.
async fn is_idle(stream: &TcpStream) -> bool {
    let mut buffer = [0; 1];
    poll_once(stream.peek(&mut buffer)).await.is_none()
}
