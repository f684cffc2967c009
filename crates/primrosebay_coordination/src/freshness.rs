//! Freshness of the configuration: whether an instance may rely on it (section 5.4 of the design).
//!
//! All times are readings of the instance's own clock. A peer's report is dated to the moment at
//! which the heartbeat that it answers was sent, so that network delay never makes a report look
//! newer than it is.

use primrosebay_state::Name;
use primrosebay_state::time::{Time, upper_bound};

use crate::acceptance::{Member, MemberState};

/// Age in milliseconds up to which a confirmation of the log's end or an answer of a peer counts.
pub const MAX_AGE_MS: u64 = 4000;

/// An instance's report on its own configuration, carried in heartbeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FreshnessReport {
    /// Unique name of the instance.
    pub name: Name,
    /// Availability zone of the instance.
    pub zone: Name,
    /// Region of the instance.
    pub region: Name,
    /// Offset after the last configuration record that the instance has applied.
    pub next: u64,
    /// Milliseconds since the instance confirmed, by a read or through peers, that it has applied
    /// the log to its end; `None` if it never did.
    pub age: Option<u64>,
    /// Whether the instance counts for the quorum of other instances.
    pub current: bool,
}

/// Kinds of work, which depend on the configuration to different degrees.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// Accepting work that requires a key.
    Keyed,
    /// Starting a task.
    Start,
    /// Serving requests of queues that are open to all callers.
    Open,
    /// Continuing running tasks, renewing their leases, and delivering responses.
    Running,
    /// Cancelling work.
    Cancel,
}

/// Whether an instance may rely on its configuration, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The end of the log was confirmed within [`MAX_AGE_MS`].
    Fresh,
    /// The log is unavailable, but a quorum of zones is reachable and no instance is known to have
    /// a newer configuration. The instance may rely on its configuration.
    Outage,
    /// The instance is partitioned from the log and from a quorum, or has not caught up yet. It
    /// must not rely on its configuration.
    Stale,
}

#[derive(Debug, Clone)]
struct Peer {
    report: FreshnessReport,
    /// When the heartbeat that the report answers was sent.
    dated: Time,
    /// Lower bound of when the peer confirmed that it has applied the log to its end.
    confirmed: Option<Time>,
}

/// Tracks whether one instance may rely on its configuration.
#[derive(Debug, Clone)]
pub struct Freshness {
    /// The instance's own report; [`Self::report`] fills in `age` and `current`.
    own: FreshnessReport,
    /// Declared zones of the instance's region.
    zones: Vec<Name>,
    /// When it was last confirmed that the instance has applied the log to its end.
    confirmed: Option<Time>,
    current: bool,
    /// Highest configuration offset known from the log or from any instance.
    newest: u64,
    /// Peers that have answered a heartbeat, sorted by name.
    peers: Vec<Peer>,
}

impl Freshness {
    /// Creates the state of an instance that has applied no record and knows no peer.
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

    /// Records that the configuration is applied up to, but not including, the offset `next`.
    /// `zones` yields the zones that it declares, each with its region.
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

    /// Records a read of the log that was sent at `sent` and returned `end` as the offset after the
    /// last record.
    pub fn confirmed(&mut self, now: Time, sent: Time, end: u64) {
        self.advance(now);
        self.newest = self.newest.max(end);
        if self.own.next >= end {
            self.confirmed = self.confirmed.max(Some(sent));
        }
        self.advance(now);
    }

    /// Records a peer's answer to the heartbeat that was sent at `sent`. An answer to an earlier
    /// heartbeat does not replace a later report.
    pub fn record_report(&mut self, now: Time, sent: Time, report: FreshnessReport) {
        self.advance(now);
        self.newest = self.newest.max(report.next);
        let age = report.age.map(upper_bound);
        let peer = Peer {
            dated: sent,
            confirmed: age.and_then(|age| sent.0.checked_sub(age)).map(Time),
            report,
        };
        match self.position(&peer.report.name) {
            Ok(i) if sent >= self.peers[i].dated => self.peers[i] = peer,
            Ok(_) => {}
            Err(i) => self.peers.insert(i, peer),
        }
        self.advance(now);
    }

    /// Removes a peer that is no longer in the instance list, unless the peer still answers: the
    /// list can be wrong.
    pub fn remove_peer(&mut self, now: Time, name: &str) {
        if let Ok(i) = self.position(name)
            && !recent(now, self.peers[i].dated)
        {
            self.peers.remove(i);
        }
    }

    /// Returns the instance's own report, to be sent in heartbeats.
    #[must_use]
    pub fn report(&mut self, now: Time) -> FreshnessReport {
        self.advance(now);
        FreshnessReport {
            age: self.confirmed.map(|at| now.since(at)),
            current: self.current,
            ..self.own.clone()
        }
    }

    /// Returns whether the instance counts for the quorum of other instances.
    #[must_use]
    pub fn current(&mut self, now: Time) -> bool {
        self.advance(now);
        self.current
    }

    /// Returns whether the instance may rely on its configuration.
    #[must_use]
    pub fn status(&mut self, now: Time) -> Status {
        self.advance(now);
        if self.is_fresh(now) {
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

    /// Returns the instance and all peers that ever answered and were not removed, for
    /// [`crate::acceptance::evaluate`].
    #[must_use]
    pub fn members(&mut self, now: Time) -> Vec<Member> {
        let own = self.report(now);
        let peers = self
            .peers
            .iter()
            .map(|peer| (&peer.report, recent(now, peer.dated)));
        std::iter::once((&own, true))
            .chain(peers)
            .map(|(report, answered)| Member {
                name: report.name.clone(),
                zone: report.zone.clone(),
                next: report.next,
                state: match (answered, report.current) {
                    (false, _) => MemberState::Unreachable,
                    (true, true) => MemberState::Current,
                    (true, false) => MemberState::Behind,
                },
            })
            .collect()
    }

    /// Advances the state to `now`. Runs before each event is recorded, so that an event that ends
    /// a gap in the heartbeats does not hide the gap.
    pub fn advance(&mut self, now: Time) {
        let next = self.own.next;
        // A peer's confirmation applies here only if this instance has applied as many records.
        let relayed = self.peers.iter().filter(|peer| peer.report.next <= next);
        let relayed = relayed.filter_map(|peer| peer.confirmed).max();
        self.confirmed = self.confirmed.max(relayed);
        self.current = self.is_fresh(now)
            || (self.current && self.quorum(now, true))
            || (self.newest <= next && self.quorum(now, false));
    }

    fn is_fresh(&self, now: Time) -> bool {
        self.confirmed.is_some_and(|at| recent(now, at))
    }

    /// Returns whether current instances in more than half of the zones of the region have answered
    /// recently. If `include_own` is set, the instance's own zone counts even without such a peer.
    fn quorum(&self, now: Time, include_own: bool) -> bool {
        let reached = |zone: &&Name| {
            let mut peers = self.peers.iter();
            (include_own && **zone == self.own.zone)
                || peers.any(|peer| {
                    peer.report.zone == **zone && peer.report.current && recent(now, peer.dated)
                })
        };
        self.zones.iter().filter(reached).count() * 2 > self.zones.len()
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.peers
            .binary_search_by(|peer| (*peer.report.name).cmp(name))
    }
}

/// Returns whether `at` is at most [`MAX_AGE_MS`] before `now`.
fn recent(now: Time, at: Time) -> bool {
    now.since(at) <= MAX_AGE_MS
}
