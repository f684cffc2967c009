//! The other entry instances: the lagging list joined with this instance's own heartbeats.
//!
//! The list says which instances to contact and which are leaving. Only heartbeats tell whether an
//! instance can be reached.

use std::collections::VecDeque;

use primrosebay_state::Name;
use primrosebay_state::id::Incarnation;
use primrosebay_state::time::Time;

/// Milliseconds between two heartbeats to a peer of the same zone.
pub const HEARTBEAT_MS: u64 = 400;
/// Milliseconds between two heartbeats to a peer of another zone of the region.
pub const REGION_HEARTBEAT_MS: u64 = 800;
/// Milliseconds between two heartbeats to a peer of another region. The age of an echo is at most two
/// intervals and the round trip, and must stay below the 4 s after which an instance counts as
/// silent for the acceptance of a change.
pub const CROSS_REGION_HEARTBEAT_MS: u64 = 1_600;
/// Heartbeat intervals without a heartbeat after which a peer is suspected: 1.2 s in the zone.
const SUSPECT: u64 = 3;
/// Heartbeat intervals without a heartbeat after which nothing is forwarded: 2.4 s in the zone.
const DROP: u64 = 6;
/// Further intervals that are allowed until a peer has echoed a heartbeat, because the echo travels
/// with the peer's next one.
const ECHO: u64 = 2;
/// Part of an interval by which an answering heartbeat is sent later if nothing arrives to answer.
const ANSWER_SLACK: u64 = 8;
/// Heartbeats whose sending times are kept for each peer; more than any echo is behind.
const SENT_KEPT: usize = 32;
/// Earlier processes of a peer whose delayed heartbeats are recognized.
const RETIRED_KEPT: usize = 4;

/// An entry instance on the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// The name.
    pub name: Name,
    /// The zone.
    pub zone: Name,
    /// Address and port of its peer interface.
    pub address: Name,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// How a peer looks from here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// Both directions work.
    Alive,
    /// Heartbeats are missing; calls are still forwarded.
    Suspected,
    /// Nothing is forwarded.
    Dropped,
}

/// A heartbeat that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DueHeartbeat {
    /// The addressee.
    pub peer: Name,
    /// The number of the heartbeat.
    pub sequence: u64,
    /// The highest sequence received from the addressee.
    pub echo: u64,
    /// Milliseconds until the next heartbeat to the addressee.
    pub interval: u64,
}

/// What a received heartbeat says about its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatHeader {
    /// The sender's process.
    pub incarnation: Incarnation,
    /// The number of the heartbeat.
    pub sequence: u64,
    /// The highest of this instance's sequences that the sender received.
    pub echo: u64,
}

#[derive(Debug)]
struct Heard {
    incarnation: Incarnation,
    sequence: u64,
    at: Time,
    first: Time,
    /// When the latest heartbeat that the peer has echoed was sent.
    confirmed: Option<Time>,
}

#[derive(Debug)]
struct Peer {
    listed: Listed,
    /// Whether the latest list has the peer.
    present: bool,
    next: Time,
    sequence: u64,
    sent: VecDeque<(u64, Time)>,
    heard: Option<Heard>,
    retired: VecDeque<Incarnation>,
}

/// The peers of one entry instance.
#[derive(Debug)]
pub struct Membership {
    name: Name,
    zone: Name,
    /// Zones with their regions, sorted by zone.
    regions: Vec<(Name, Name)>,
    /// Sorted by name.
    peers: Vec<Peer>,
}

impl Membership {
    /// Creates a membership without peers. Each zone is a region of its own until it is declared.
    #[must_use]
    pub fn new(name: Name, zone: Name) -> Self {
        Self {
            name,
            zone,
            regions: Vec::new(),
            peers: Vec::new(),
        }
    }

    /// Declares the zones with their regions.
    pub fn set_regions(&mut self, mut regions: Vec<(Name, Name)>) {
        regions.sort();
        self.regions = regions;
    }

    /// Takes a list. A peer that the list lacks stays as long as its heartbeats arrive, because the
    /// list can be wrong.
    pub fn update_list(&mut self, now: Time, list: &[Listed]) {
        for peer in &mut self.peers {
            peer.present = false;
        }
        for entry in list.iter().filter(|entry| entry.name != self.name) {
            match self.position(&entry.name) {
                Ok(at) => {
                    self.peers[at].listed = entry.clone();
                    self.peers[at].present = true;
                }
                Err(at) => self.peers.insert(at, Peer::new(now, entry.clone())),
            }
        }
        let health: Vec<_> = self
            .peers
            .iter()
            .map(|p| self.peer_health(now, p))
            .collect();
        let mut health = health.into_iter();
        self.peers
            .retain(|peer| health.next() != Some(Health::Dropped) || peer.present);
    }

    /// Returns the peers to connect to, by name.
    pub fn targets(&self) -> impl Iterator<Item = &Listed> {
        self.peers.iter().map(|peer| &peer.listed)
    }

    /// Returns the number of entry instances, this one included, that may append to the log. It
    /// counts instances that the list lacks but that send heartbeats.
    #[must_use]
    pub fn instances(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the heartbeats to send now.
    pub fn due(&mut self, now: Time) -> Vec<DueHeartbeat> {
        let mut due = Vec::new();
        for at in 0..self.peers.len() {
            let interval = self.interval(&self.peers[at].listed.zone);
            let peer = &mut self.peers[at];
            if peer.next > now {
                continue;
            }
            // A late turn does not cause a burst of heartbeats. The instance with the higher name
            // answers the other one's heartbeat and leaves it time to arrive, so that the answer
            // carries the acknowledgement.
            let slack = if self.name > peer.listed.name {
                interval / ANSWER_SLACK
            } else {
                0
            };
            peer.next = now.max(peer.next) + interval + slack;
            peer.sequence += 1;
            if peer.sent.len() == SENT_KEPT {
                peer.sent.pop_front();
            }
            peer.sent.push_back((peer.sequence, now));
            due.push(DueHeartbeat {
                peer: peer.listed.name.clone(),
                sequence: peer.sequence,
                echo: peer.heard.as_ref().map_or(0, |heard| heard.sequence),
                interval,
            });
        }
        due
    }

    /// Returns when the next heartbeat is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Time> {
        self.peers.iter().map(|peer| peer.next).min()
    }

    /// Takes a heartbeat and returns whether it is news. Duplicates, reordered heartbeats and those
    /// of an earlier process of the peer are not.
    pub fn received(&mut self, now: Time, name: &str, beat: HeartbeatHeader) -> bool {
        let Ok(at) = self.position(name) else {
            return false;
        };
        let interval = self.interval(&self.peers[at].listed.zone);
        let peer = &mut self.peers[at];
        if peer.retired.contains(&beat.incarnation) {
            return false;
        }
        let previous = peer.heard.as_ref().map(|heard| heard.incarnation);
        if let Some(previous) = previous.filter(|previous| *previous != beat.incarnation) {
            if peer.retired.len() == RETIRED_KEPT {
                peer.retired.pop_front();
            }
            peer.retired.push_back(previous);
            peer.heard = None;
        }
        let echoed = peer
            .sent
            .iter()
            .find(|(sequence, _)| *sequence == beat.echo);
        let echoed = echoed.map(|(_, at)| *at);
        let heard = peer.heard.get_or_insert(Heard {
            incarnation: beat.incarnation,
            sequence: 0,
            at: now,
            first: now,
            confirmed: None,
        });
        if beat.sequence <= heard.sequence {
            return false;
        }
        heard.sequence = beat.sequence;
        heard.at = now;
        heard.confirmed = heard.confirmed.max(echoed);
        let last = peer.sent.back().map(|(_, at)| *at);
        let rested = last.is_none_or(|at| now.since(at) >= interval / 2);
        if self.name > peer.listed.name && rested {
            peer.next = now;
        }
        true
    }

    /// Returns an upper bound of the age of the latest heartbeat of a peer, in milliseconds on this
    /// instance's clock; nothing without an echo. The peer sent it after it had received the
    /// heartbeat that it echoes, so the bound holds however long the network took.
    #[must_use]
    pub fn age(&self, now: Time, name: &str) -> Option<u64> {
        self.confirmed(name).map(|at| now.since(at))
    }

    /// Returns when the latest heartbeat was sent that a peer has echoed. What the peer says in its
    /// own latest heartbeat was true at that time or later.
    #[must_use]
    pub fn confirmed(&self, name: &str) -> Option<Time> {
        let peer = &self.peers[self.position(name).ok()?];
        peer.heard.as_ref()?.confirmed
    }

    /// Returns the health of a peer; an unknown peer is dropped.
    #[must_use]
    pub fn health(&self, now: Time, name: &str) -> Health {
        self.position(name)
            .map_or(Health::Dropped, |at| self.peer_health(now, &self.peers[at]))
    }

    /// Returns whether the process sends heartbeats at present.
    #[must_use]
    pub fn is_alive(&self, now: Time, incarnation: Incarnation) -> bool {
        self.peers.iter().any(|peer| {
            let heard = peer.heard.as_ref();
            heard.is_some_and(|heard| heard.incarnation == incarnation)
                && self.peer_health(now, peer) != Health::Dropped
        })
    }

    /// Returns the process of a peer that sent the latest heartbeat.
    #[must_use]
    pub fn incarnation(&self, name: &str) -> Option<Incarnation> {
        let peer = &self.peers[self.position(name).ok()?];
        peer.heard.as_ref().map(|heard| heard.incarnation)
    }

    /// Returns the peers to which calls are forwarded, the alive ones first.
    #[must_use]
    pub fn reachable(&self, now: Time) -> Vec<Name> {
        let mut found: Vec<_> = self
            .peers
            .iter()
            .map(|peer| (self.peer_health(now, peer), peer.listed.name.clone()))
            .filter(|(health, _)| *health != Health::Dropped)
            .collect();
        found.sort();
        found.into_iter().map(|(_, name)| name).collect()
    }

    /// Returns the peers to ask for holding copies, best first: alive ones that are not leaving,
    /// alternating between other zones and this zone, so that the first two are in two zones.
    #[must_use]
    pub fn holders(&self, now: Time) -> Vec<Name> {
        let fit = self
            .peers
            .iter()
            .filter(|peer| !peer.listed.leaving && self.peer_health(now, peer) == Health::Alive);
        let mut fit: Vec<_> = fit
            .map(|peer| {
                let listed = &peer.listed;
                let weight = weight(&self.name, &listed.name);
                (self.tier(&self.zone, &listed.zone), weight, listed)
            })
            .collect();
        fit.sort_by(|a, b| (a.0, b.1).cmp(&(b.0, a.1)));
        let name = |(_, _, listed): &(u8, u64, &Listed)| listed.name.clone();
        let (here, other): (Vec<_>, Vec<_>) = fit.into_iter().partition(|(tier, ..)| *tier == 0);
        let mut names = Vec::new();
        for i in 0..here.len().max(other.len()) {
            names.extend(other.get(i).map(name));
            names.extend(here.get(i).map(name));
        }
        names
    }

    /// Returns the candidates for coordinating `zone`, rank 0 first: instances of the zone, then of
    /// its region, then the rest, each by rendezvous hashing. This instance is one of them even if
    /// the list lacks it; leaving instances are not.
    #[must_use]
    pub fn ranks(&self, zone: &str) -> Vec<Name> {
        let others = self
            .peers
            .iter()
            .filter(|peer| peer.present && !peer.listed.leaving)
            .map(|peer| (&peer.listed.name, &peer.listed.zone));
        let mut candidates: Vec<_> = others
            .chain([(&self.name, &self.zone)])
            .map(|(name, place)| (self.tier(zone, place), weight(zone, name), name))
            .collect();
        candidates.sort_by(|a, b| (a.0, b.1, a.2).cmp(&(b.0, a.1, b.2)));
        candidates
            .into_iter()
            .map(|(_, _, name)| name.clone())
            .collect()
    }

    /// Returns the position of this instance among the candidates for `zone`, from 0.
    #[must_use]
    pub fn rank(&self, zone: &str) -> usize {
        let ranks = self.ranks(zone);
        let own = ranks.iter().position(|name| *name == self.name);
        own.unwrap_or(ranks.len())
    }

    /// Returns the region of a zone.
    #[must_use]
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        let found = self
            .regions
            .binary_search_by(|(name, _)| (**name).cmp(zone));
        found.map_or(zone, |at| &self.regions[at].1)
    }

    fn tier(&self, zone: &str, place: &str) -> u8 {
        if zone == place {
            0
        } else if self.region(zone) == self.region(place) {
            1
        } else {
            2
        }
    }

    fn interval(&self, zone: &str) -> u64 {
        match self.tier(&self.zone, zone) {
            0 => HEARTBEAT_MS,
            1 => REGION_HEARTBEAT_MS,
            _ => CROSS_REGION_HEARTBEAT_MS,
        }
    }

    fn peer_health(&self, now: Time, peer: &Peer) -> Health {
        let Some(heard) = &peer.heard else {
            return Health::Dropped;
        };
        let interval = self.interval(&peer.listed.zone);
        let silent = now.since(heard.at) / interval;
        let unanswered = now.since(heard.confirmed.unwrap_or(heard.first)) / interval;
        if silent >= DROP || unanswered >= DROP + ECHO {
            Health::Dropped
        } else if silent >= SUSPECT || unanswered >= SUSPECT + ECHO {
            Health::Suspected
        } else {
            Health::Alive
        }
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.peers
            .binary_search_by(|peer| (*peer.listed.name).cmp(name))
    }
}

impl Peer {
    fn new(now: Time, listed: Listed) -> Self {
        Self {
            listed,
            present: true,
            next: now,
            sequence: 0,
            sent: VecDeque::new(),
            heard: None,
            retired: VecDeque::new(),
        }
    }
}

/// Returns the weight of a candidate for a key. Each instance must compute the same value in each
/// release, so the standard library's hasher cannot be used. FNV-1a with a final mix.
fn weight(key: &str, candidate: &str) -> u64 {
    let bytes = key.bytes().chain([0]).chain(candidate.bytes());
    let mut hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
