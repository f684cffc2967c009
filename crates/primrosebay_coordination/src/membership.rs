//! Membership of the entry instances: the instance list combined with this instance's own
//! heartbeats.
//!
//! The list, which lags, names the instances to contact and those that are leaving. Only heartbeats
//! tell whether an instance is reachable.

use std::collections::VecDeque;

use primrosebay_state::Name;
use primrosebay_state::id::Incarnation;
use primrosebay_state::time::Time;

/// Milliseconds between two heartbeats to a peer of the same zone.
pub const HEARTBEAT_MS: u64 = 400;
/// Milliseconds between two heartbeats to a peer of another zone of the region.
pub const REGION_HEARTBEAT_MS: u64 = 800;
/// Milliseconds between two heartbeats to a peer of another region. An echo is at most two
/// intervals and the round trip old, which must stay below the 4 s after which an instance counts
/// as unreachable for the acceptance of a change.
pub const CROSS_REGION_HEARTBEAT_MS: u64 = 1_600;
/// Heartbeat intervals without a heartbeat after which a peer is suspected: 1.2 s in the same zone.
const SUSPECT_INTERVALS: u64 = 3;
/// Heartbeat intervals without a heartbeat after which a peer is dropped: 2.4 s in the same zone.
const DROP_INTERVALS: u64 = 6;
/// Additional intervals that a peer has to echo a heartbeat, because the echo travels with the
/// peer's next heartbeat.
const ECHO_INTERVALS: u64 = 2;
/// Divisor of the heartbeat interval. The answering instance waits for the resulting additional
/// time for a heartbeat to answer before it sends one unprompted.
const SLACK_DIVISOR: u64 = 8;
/// Sent heartbeats whose send times are kept for each peer; no echo lags behind by as many.
const MAX_SENT: usize = 32;
/// Earlier processes of a peer that are kept to discard their delayed heartbeats.
const MAX_RETIRED: usize = 4;

/// An entry instance in the instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// Unique name of the instance.
    pub name: Name,
    /// Availability zone of the instance.
    pub zone: Name,
    /// Address and port of the instance's peer interface.
    pub address: Name,
    /// Whether the instance is about to stop.
    pub leaving: bool,
}

/// Reachability of a peer as observed by this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// Heartbeats arrive and are echoed.
    Alive,
    /// Heartbeats or echoes are missing; calls are still forwarded to the peer.
    Suspected,
    /// The peer counts as unreachable; no calls are forwarded to it.
    Dropped,
}

/// A heartbeat to send now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DueHeartbeat {
    /// Recipient of the heartbeat.
    pub peer: Name,
    /// Sequence number of the heartbeat, from 1.
    pub sequence: u64,
    /// Highest sequence number received from the recipient; 0 if there is none.
    pub echo: u64,
    /// Milliseconds between heartbeats to the recipient.
    pub interval: u64,
}

/// Fields of a received heartbeat that identify the sending process and acknowledge earlier
/// heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatHeader {
    /// Process of the sender.
    pub incarnation: Incarnation,
    /// Sequence number of the heartbeat, from 1.
    pub sequence: u64,
    /// Highest sequence number that the sender has received from this instance; 0 if there is none.
    pub echo: u64,
}

/// State of the latest process of a peer that sent a heartbeat.
#[derive(Debug)]
struct Process {
    incarnation: Incarnation,
    /// Highest sequence number received.
    sequence: u64,
    /// When the latest heartbeat was received.
    latest: Time,
    /// When the first heartbeat was received.
    first: Time,
    /// When the latest heartbeat that the process has echoed was sent.
    confirmed: Option<Time>,
}

#[derive(Debug)]
struct Peer {
    listed: Listed,
    /// Whether the latest list contains the peer.
    present: bool,
    /// When the next heartbeat to the peer is due.
    next: Time,
    /// Sequence number of the last heartbeat to the peer.
    sequence: u64,
    /// Sequence numbers and send times of the last heartbeats to the peer.
    sent: VecDeque<(u64, Time)>,
    /// `None` until a heartbeat arrives.
    process: Option<Process>,
    /// Earlier processes of the peer.
    retired: VecDeque<Incarnation>,
}

/// The peers of one entry instance and their heartbeats.
#[derive(Debug)]
pub struct Membership {
    name: Name,
    zone: Name,
    /// Declared zones with their regions, sorted by zone.
    regions: Vec<(Name, Name)>,
    /// Listed peers, and unlisted ones until they are dropped, sorted by name.
    peers: Vec<Peer>,
}

impl Membership {
    /// Creates a membership without peers. A zone counts as its own region until
    /// [`Self::set_regions`] declares it.
    #[must_use]
    pub fn new(name: Name, zone: Name) -> Self {
        Self {
            name,
            zone,
            regions: Vec::new(),
            peers: Vec::new(),
        }
    }

    /// Replaces the declared zones, each given with its region.
    pub fn set_regions(&mut self, mut regions: Vec<(Name, Name)>) {
        regions.sort();
        self.regions = regions;
    }

    /// Applies a new instance list. A peer that is missing from the list is kept until its health
    /// is [`Health::Dropped`], because the list can be wrong.
    pub fn update_list(&mut self, now: Time, list: &[Listed]) {
        for peer in &mut self.peers {
            peer.present = false;
        }
        for entry in list.iter().filter(|entry| entry.name != self.name) {
            match self.position(&entry.name) {
                Ok(i) => {
                    self.peers[i].listed = entry.clone();
                    self.peers[i].present = true;
                }
                Err(i) => self.peers.insert(i, Peer::new(now, entry.clone())),
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

    /// Returns the peers to connect to, sorted by name.
    pub fn targets(&self) -> impl Iterator<Item = &Listed> {
        self.peers.iter().map(|peer| &peer.listed)
    }

    /// Returns the number of entry instances, this one included, that may append to the log. The
    /// number includes instances that send heartbeats but are missing from the list.
    #[must_use]
    pub fn instances(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the heartbeats that are due at `now`, and counts them as sent.
    pub fn due(&mut self, now: Time) -> Vec<DueHeartbeat> {
        let mut due = Vec::new();
        for i in 0..self.peers.len() {
            let interval = self.interval(&self.peers[i].listed.zone);
            let peer = &mut self.peers[i];
            if peer.next > now {
                continue;
            }
            // Scheduling from `now` keeps a late call from causing a burst of heartbeats. The
            // instance with the higher name answers the other one's heartbeat: the slack leaves
            // that heartbeat time to arrive, so that the answer acknowledges it.
            let slack = if self.name > peer.listed.name {
                interval / SLACK_DIVISOR
            } else {
                0
            };
            peer.next = now.max(peer.next) + interval + slack;
            peer.sequence += 1;
            if peer.sent.len() == MAX_SENT {
                peer.sent.pop_front();
            }
            peer.sent.push_back((peer.sequence, now));
            due.push(DueHeartbeat {
                peer: peer.listed.name.clone(),
                sequence: peer.sequence,
                echo: peer.process.as_ref().map_or(0, |process| process.sequence),
                interval,
            });
        }
        due
    }

    /// Returns when the next heartbeat is due; `None` without peers.
    #[must_use]
    pub fn next_due(&self) -> Option<Time> {
        self.peers.iter().map(|peer| peer.next).min()
    }

    /// Records a heartbeat and returns whether it is newer than all before it. Duplicates,
    /// reordered heartbeats, and heartbeats of an earlier process of the peer or of an unknown peer
    /// are ignored.
    pub fn received(&mut self, now: Time, name: &str, header: HeartbeatHeader) -> bool {
        let Ok(i) = self.position(name) else {
            return false;
        };
        let interval = self.interval(&self.peers[i].listed.zone);
        let peer = &mut self.peers[i];
        if peer.retired.contains(&header.incarnation) {
            return false;
        }
        let previous = peer.process.as_ref().map(|process| process.incarnation);
        if let Some(previous) = previous.filter(|previous| *previous != header.incarnation) {
            if peer.retired.len() == MAX_RETIRED {
                peer.retired.pop_front();
            }
            peer.retired.push_back(previous);
            peer.process = None;
        }
        let echoed = peer
            .sent
            .iter()
            .find(|(sequence, _)| *sequence == header.echo);
        let echoed = echoed.map(|(_, at)| *at);
        let process = peer.process.get_or_insert(Process {
            incarnation: header.incarnation,
            sequence: 0,
            latest: now,
            first: now,
            confirmed: None,
        });
        if header.sequence <= process.sequence {
            return false;
        }
        process.sequence = header.sequence;
        process.latest = now;
        process.confirmed = process.confirmed.max(echoed);
        let last = peer.sent.back().map(|(_, at)| *at);
        let spaced = last.is_none_or(|at| now.since(at) >= interval / 2);
        if self.name > peer.listed.name && spaced {
            // Sends the answering heartbeat at once.
            peer.next = now;
        }
        true
    }

    /// Returns an upper bound of the age of a peer's latest heartbeat, in milliseconds on this
    /// instance's clock; `None` before the first echo. The peer sent its heartbeat after it had
    /// received the one that it echoes, so the bound holds for any network delay.
    #[must_use]
    pub fn age(&self, now: Time, name: &str) -> Option<u64> {
        self.confirmed(name).map(|at| now.since(at))
    }

    /// Returns when the latest heartbeat that a peer has echoed was sent; `None` before the first
    /// echo. The contents of the peer's latest heartbeat were true at that time or later.
    #[must_use]
    pub fn confirmed(&self, name: &str) -> Option<Time> {
        let peer = &self.peers[self.position(name).ok()?];
        peer.process.as_ref()?.confirmed
    }

    /// Returns the health of a peer; [`Health::Dropped`] for an unknown peer.
    #[must_use]
    pub fn health(&self, now: Time, name: &str) -> Health {
        self.position(name)
            .map_or(Health::Dropped, |i| self.peer_health(now, &self.peers[i]))
    }

    /// Returns whether `incarnation` is the latest process of a peer that is not dropped.
    #[must_use]
    pub fn is_alive(&self, now: Time, incarnation: Incarnation) -> bool {
        self.peers.iter().any(|peer| {
            let process = peer.process.as_ref();
            process.is_some_and(|process| process.incarnation == incarnation)
                && self.peer_health(now, peer) != Health::Dropped
        })
    }

    /// Returns the process that sent a peer's latest heartbeat; `None` before the first one.
    #[must_use]
    pub fn incarnation(&self, name: &str) -> Option<Incarnation> {
        let peer = &self.peers[self.position(name).ok()?];
        peer.process.as_ref().map(|process| process.incarnation)
    }

    /// Returns the peers to which calls may be forwarded: first the alive ones, then the suspected
    /// ones, each sorted by name.
    #[must_use]
    pub fn reachable(&self, now: Time) -> Vec<Name> {
        let mut peers: Vec<_> = self
            .peers
            .iter()
            .map(|peer| (self.peer_health(now, peer), peer.listed.name.clone()))
            .filter(|(health, _)| *health != Health::Dropped)
            .collect();
        peers.sort();
        peers.into_iter().map(|(_, name)| name).collect()
    }

    /// Returns the peers that can hold copies of records, best first: alive peers that are not
    /// leaving, alternating between other zones and this zone, so that the first two are in two
    /// zones.
    #[must_use]
    pub fn holders(&self, now: Time) -> Vec<Name> {
        let eligible = self
            .peers
            .iter()
            .filter(|peer| !peer.listed.leaving && self.peer_health(now, peer) == Health::Alive);
        let mut eligible: Vec<_> = eligible
            .map(|peer| {
                let listed = &peer.listed;
                let weight = weight(&self.name, &listed.name);
                (self.distance(&self.zone, &listed.zone), weight, listed)
            })
            .collect();
        eligible.sort_by(|a, b| (a.0, b.1).cmp(&(b.0, a.1)));
        let name = |(_, _, listed): &(u8, u64, &Listed)| listed.name.clone();
        let (here, other): (Vec<_>, Vec<_>) = eligible
            .into_iter()
            .partition(|(distance, ..)| *distance == 0);
        let mut names = Vec::new();
        for i in 0..here.len().max(other.len()) {
            names.extend(other.get(i).map(name));
            names.extend(here.get(i).map(name));
        }
        names
    }

    /// Returns the candidates for coordinating `zone`, rank 0 first: the instances of the zone,
    /// then those of its region, then the others, each group ordered by rendezvous hashing. This
    /// instance is a candidate even if it is missing from the list; leaving instances are not.
    #[must_use]
    pub fn ranks(&self, zone: &str) -> Vec<Name> {
        let others = self
            .peers
            .iter()
            .filter(|peer| peer.present && !peer.listed.leaving)
            .map(|peer| (&peer.listed.name, &peer.listed.zone));
        let mut candidates: Vec<_> = others
            .chain([(&self.name, &self.zone)])
            .map(|(name, home)| (self.distance(zone, home), weight(zone, name), name))
            .collect();
        candidates.sort_by(|a, b| (a.0, b.1, a.2).cmp(&(b.0, a.1, b.2)));
        candidates
            .into_iter()
            .map(|(_, _, name)| name.clone())
            .collect()
    }

    /// Returns the rank of this instance among the candidates for coordinating `zone`, from 0.
    #[must_use]
    pub fn rank(&self, zone: &str) -> usize {
        let ranks = self.ranks(zone);
        let own = ranks.iter().position(|name| *name == self.name);
        own.unwrap_or(ranks.len())
    }

    /// Returns the region of a zone; the zone's own name if the zone is not declared.
    #[must_use]
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        let index = self
            .regions
            .binary_search_by(|(name, _)| (**name).cmp(zone));
        index.map_or(zone, |i| &self.regions[i].1)
    }

    /// Returns 0 for the same zone, 1 for zones of the same region, and 2 otherwise.
    fn distance(&self, zone: &str, other: &str) -> u8 {
        if zone == other {
            0
        } else if self.region(zone) == self.region(other) {
            1
        } else {
            2
        }
    }

    /// Returns the milliseconds between heartbeats to a peer of `zone`.
    fn interval(&self, zone: &str) -> u64 {
        match self.distance(&self.zone, zone) {
            0 => HEARTBEAT_MS,
            1 => REGION_HEARTBEAT_MS,
            _ => CROSS_REGION_HEARTBEAT_MS,
        }
    }

    fn peer_health(&self, now: Time, peer: &Peer) -> Health {
        let Some(process) = &peer.process else {
            return Health::Dropped;
        };
        let interval = self.interval(&peer.listed.zone);
        let silent = now.since(process.latest) / interval;
        let unanswered = now.since(process.confirmed.unwrap_or(process.first)) / interval;
        if silent >= DROP_INTERVALS || unanswered >= DROP_INTERVALS + ECHO_INTERVALS {
            Health::Dropped
        } else if silent >= SUSPECT_INTERVALS || unanswered >= SUSPECT_INTERVALS + ECHO_INTERVALS {
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
            process: None,
            retired: VecDeque::new(),
        }
    }
}

/// Returns the rendezvous weight of a candidate for a key: FNV-1a with a final mix. All instances
/// must compute the same value in every release, which the standard library's hasher does not
/// guarantee.
fn weight(key: &str, candidate: &str) -> u64 {
    let bytes = key.bytes().chain([0]).chain(candidate.bytes());
    let mut hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
