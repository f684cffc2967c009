//! The incoming connections that are being set up, and which of them give way.
//!
//! A client that does not finish its handshake holds a place until the connect timeout, and QUIC keeps
//! the state of a connection for some seconds after its end. So that such clients do not keep out peers
//! or fill the memory, they have to prove their addresses when much is taken, the places are shared
//! equally among addresses, and the attempts that fail from one address are bounded.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_std::channel::{Receiver, Sender, bounded};

/// Maximum number of connections that are being set up at the same time.
const MAX_HANDSHAKES: usize = 64;

/// Number of connections that are being set up from which on clients have to prove their addresses.
/// The others are left for those that have.
const MAX_UNPROVED: usize = MAX_HANDSHAKES / 2;

/// Maximum number of connections whose state is kept, also after their end. A cell has some dozens of
/// entry instances with one connection each.
const MAX_OPEN: usize = 1_024;

/// Maximum number of attempts from one proved address that fail within [`FAILURE_TIME`]. A peer that
/// cannot connect makes one every few seconds.
const MAX_FAILURES: usize = 64;

/// Time for which a failed attempt counts.
const FAILURE_TIME: Duration = Duration::from_secs(15);

/// What to do with an incoming connection.
#[derive(Debug)]
pub enum Admission {
    /// Set it up.
    Admitted(Place),
    /// Ask the client to prove its address.
    Prove,
    /// Refuse it.
    Refused,
}

/// The connections that are being set up.
#[derive(Debug, Default)]
pub struct Handshakes {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Identifier of the next connection.
    next: u64,
    /// Connections in the order of their identifiers.
    entries: Vec<Entry>,
    /// Times and addresses of attempts that failed; only proved addresses, since others can be forged.
    failures: VecDeque<(Instant, IpAddr)>,
}

#[derive(Debug)]
struct Entry {
    id: u64,
    address: IpAddr,
    /// Closes the channel of the place when it is dropped.
    _kept: Sender<()>,
}

impl State {
    /// Returns whether too many attempts of a proved address have failed.
    fn is_failing(&mut self, address: IpAddr, now: Instant) -> bool {
        let is_old = |at: Instant| now.saturating_duration_since(at) > FAILURE_TIME;
        while self.failures.front().is_some_and(|(at, _)| is_old(*at)) {
            self.failures.pop_front();
        }
        let failed = self.failures.iter().filter(|(_, a)| *a == address);
        failed.count() >= MAX_FAILURES
    }

    fn count(&self, address: IpAddr) -> usize {
        let same = self.entries.iter().filter(|e| e.address == address);
        same.count()
    }

    /// Removes the oldest connection of the address with the most, if that has at least two more than
    /// `address`. Returns whether it did.
    fn give_way(&mut self, address: IpAddr) -> bool {
        let counts = self.entries.iter().enumerate();
        let counts = counts.map(|(i, e)| (self.count(e.address), std::cmp::Reverse(i)));
        let Some((count, first)) = counts.max() else {
            return false;
        };
        let gives_way = count > self.count(address) + 1;
        if gives_way {
            self.entries.remove(first.0);
        }
        gives_way
    }
}

impl Handshakes {
    /// Decides on an incoming connection from `address`. `is_proved` tells whether the client has
    /// proved that it gets what is sent there, `open` is the number of connections whose state is kept.
    pub fn admit(self: &Arc<Self>, address: IpAddr, is_proved: bool, open: usize) -> Admission {
        let mut state = self.state();
        let is_failing = state.is_failing(address, Instant::now());
        let is_busy = state.entries.len() >= MAX_UNPROVED || open >= MAX_OPEN / 2;
        if !is_proved && (is_busy || is_failing) {
            return Admission::Prove;
        }
        if open >= MAX_OPEN || is_failing {
            return Admission::Refused;
        }
        if state.entries.len() >= MAX_HANDSHAKES && !state.give_way(address) {
            return Admission::Refused;
        }
        let id = state.next;
        state.next += 1;
        let (kept, gone) = bounded(1);
        state.entries.push(Entry {
            id,
            address,
            _kept: kept,
        });
        Admission::Admitted(Place {
            handshakes: Arc::clone(self),
            id,
            address,
            is_proved,
            gone,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The place of a connection that is being set up, which is released when this is dropped.
#[derive(Debug)]
pub struct Place {
    handshakes: Arc<Handshakes>,
    id: u64,
    address: IpAddr,
    is_proved: bool,
    gone: Receiver<()>,
}

impl Place {
    /// Waits until the connection has to give way to another one.
    pub async fn lost(&self) {
        let _ = self.gone.recv().await;
    }

    /// Notes that the connection was not set up.
    pub fn fail(&self) {
        if self.is_proved {
            let mut state = self.handshakes.state();
            state.failures.push_back((Instant::now(), self.address));
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.handshakes.state();
        if let Ok(position) = state.entries.binary_search_by_key(&self.id, |e| e.id) {
            state.entries.remove(position);
        }
    }
}
