//! Whether an instance may rely on its configuration (design 5.4).
//!
//! All times are readings of the instance's own clock. What a peer says is dated back to the moment
//! at which the heartbeat that it answers was sent, so that a message delayed in the network never
//! looks newer than it is.

use primrosebay_state::Name;
use primrosebay_state::time::{Time, upper_bound};

use crate::acceptance::{Member, MemberState};

/// Longest age of a confirmation, and longest gap between heartbeats, in milliseconds.
pub const MAX_AGE_MS: u64 = 4000;

/// What an instance says about itself in a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FreshnessReport {
    /// The instance.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Its region.
    pub region: Name,
    /// The offset after the last configuration record that it has applied.
    pub next: u64,
    /// Milliseconds since the end of the log was confirmed, itself or through peers; nothing if it
    /// never was.
    pub age: Option<u64>,
    /// Whether the instance is current.
    pub current: bool,
}

/// Work that depends on the configuration to a different degree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// Taking work for which a key is needed.
    Keyed,
    /// Starting a task.
    Start,
    /// Requests of queues that are open to all.
    Open,
    /// Running tasks, their lease renewals, and responses.
    Running,
    /// Cancellations.
    Cancel,
}

/// Why an instance may rely on its configuration, or that it may not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The end of the log was confirmed within the last 4 s.
    Fresh,
    /// The log is down for a quorum of zones, and none of them has a newer configuration.
    Outage,
    /// The instance is cut off, or has not caught up yet.
    Stale,
}

#[derive(Debug, Clone)]
struct Peer {
    beat: FreshnessReport,
    reached: Time,
    confirmed: Option<Time>,
}

/// The freshness of one instance.
#[derive(Debug, Clone)]
pub struct Freshness {
    own: FreshnessReport,
    /// The declared zones of the instance's region.
    zones: Vec<Name>,
    confirmed: Option<Time>,
    current: bool,
    /// The highest configuration offset that any instance was heard to have.
    newest: u64,
    peers: Vec<Peer>,
}

impl Freshness {
    /// Creates the state of an instance that has read nothing yet.
    #[must_use]
    pub fn new(name: &Name, zone: &Name, region: &Name) -> Self {
        Self {
            own: FreshnessReport {
                name: name.clone(),
                zone: zone.clone(),
                region: region.clone(),
                next: 0,
                age: None,
                current: false,
            },
            zones: Vec::new(),
            confirmed: None,
            current: false,
            newest: 0,
            peers: Vec::new(),
        }
    }

    /// Notes that the configuration was applied up to the offset `next` and declares `zones`, each
    /// with its region.
    pub fn applied<'a>(
        &mut self,
        now: Time,
        next: u64,
        zones: impl IntoIterator<Item = (&'a Name, &'a Name)>,
    ) {
        self.advance(now);
        self.own.next = self.own.next.max(next);
        self.newest = self.newest.max(next);
        self.zones = zones
            .into_iter()
            .filter(|(_, region)| **region == self.own.region)
            .map(|(zone, _)| zone.clone())
            .collect();
        self.advance(now);
    }

    /// Notes the answer to a read of the log that was sent at `sent` and gave `end` as its end.
    pub fn confirmed(&mut self, now: Time, sent: Time, end: u64) {
        self.advance(now);
        self.newest = self.newest.max(end);
        if self.own.next >= end {
            self.confirmed = self.confirmed.max(Some(sent));
        }
        self.advance(now);
    }

    /// Notes a peer's answer to the heartbeat that was sent at `sent`.
    pub fn record_report(&mut self, now: Time, sent: Time, beat: FreshnessReport) {
        self.advance(now);
        self.newest = self.newest.max(beat.next);
        let age = beat.age.map(upper_bound);
        let peer = Peer {
            reached: sent,
            confirmed: age.and_then(|age| sent.0.checked_sub(age)).map(Time),
            beat,
        };
        match self.position(&peer.beat.name) {
            Ok(i) if sent >= self.peers[i].reached => self.peers[i] = peer,
            Ok(_) => {}
            Err(i) => self.peers.insert(i, peer),
        }
        self.advance(now);
    }

    /// Forgets a peer that the live list no longer has. A peer that still answers is kept, because
    /// the list can be wrong.
    pub fn remove_peer(&mut self, now: Time, name: &str) {
        if let Ok(i) = self.position(name)
            && !recent(now, self.peers[i].reached)
        {
            self.peers.remove(i);
        }
    }

    /// Returns the heartbeat to answer with.
    #[must_use]
    pub fn report(&mut self, now: Time) -> FreshnessReport {
        self.advance(now);
        FreshnessReport {
            age: self.confirmed.map(|at| now.since(at)),
            current: self.current,
            ..self.own.clone()
        }
    }

    /// Returns whether the instance counts for the quorum of others.
    #[must_use]
    pub fn current(&mut self, now: Time) -> bool {
        self.advance(now);
        self.current
    }

    /// Returns whether the instance may rely on its configuration.
    #[must_use]
    pub fn status(&mut self, now: Time) -> Status {
        self.advance(now);
        if self.fresh(now) {
            Status::Fresh
        } else if self.current && self.newest <= self.own.next {
            Status::Outage
        } else {
            Status::Stale
        }
    }

    /// Returns whether the instance may do `work`.
    #[must_use]
    pub fn allows(&mut self, now: Time, work: Work) -> bool {
        match work {
            Work::Keyed | Work::Start => self.status(now) != Status::Stale,
            Work::Open | Work::Running | Work::Cancel => true,
        }
    }

    /// Returns the instance and all peers it ever heard, for [`crate::acceptance::evaluate`].
    #[must_use]
    pub fn members(&mut self, now: Time) -> Vec<Member> {
        let own = self.report(now);
        let peers = self
            .peers
            .iter()
            .map(|peer| (&peer.beat, recent(now, peer.reached)));
        std::iter::once((&own, true))
            .chain(peers)
            .map(|(beat, heard)| Member {
                name: beat.name.clone(),
                zone: beat.zone.clone(),
                next: beat.next,
                state: match (heard, beat.current) {
                    (false, _) => MemberState::Unreachable,
                    (true, true) => MemberState::Current,
                    (true, false) => MemberState::Behind,
                },
            })
            .collect()
    }

    /// Brings the state to `now`. It runs before each event is noted, so that a gap that ends with
    /// the event is seen.
    pub fn advance(&mut self, now: Time) {
        let next = self.own.next;
        let relayed = self.peers.iter().filter(|peer| peer.beat.next <= next);
        let relayed = relayed.filter_map(|peer| peer.confirmed).max();
        self.confirmed = self.confirmed.max(relayed);
        self.current = self.fresh(now)
            || (self.current && self.quorum(now, true))
            || (self.newest <= next && self.quorum(now, false));
    }

    fn fresh(&self, now: Time) -> bool {
        self.confirmed.is_some_and(|at| recent(now, at))
    }

    /// Returns whether current instances in more than half of the zones of the region have
    /// answered. The instance's own zone counts without a peer there if `own` is set.
    fn quorum(&self, now: Time, own: bool) -> bool {
        let reached = |zone: &&Name| {
            let mut peers = self.peers.iter();
            (own && **zone == self.own.zone)
                || peers.any(|peer| {
                    peer.beat.zone == **zone && peer.beat.current && recent(now, peer.reached)
                })
        };
        self.zones.iter().filter(reached).count() * 2 > self.zones.len()
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.peers
            .binary_search_by(|peer| (*peer.beat.name).cmp(name))
    }
}

fn recent(now: Time, at: Time) -> bool {
    now.since(at) <= MAX_AGE_MS
}
