//! Terms: how an instance claims the zone, opens its term and keeps or gives up its authority.

use rand::Rng;

use primrosebay_protocol::worker::{Reply, Term};
use primrosebay_state::Name;
use primrosebay_state::record::Body;
use primrosebay_state::time::{Time, upper_bound};

use super::member::Member;
use super::{Coordinator, PendingAppend};
use primrosebay_state::table::Table;

/// The phase of an instance in the zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Phase {
    /// The instance watches whether the zone has a coordinator.
    #[default]
    Watching,
    /// The instance claims the workers' leases or holds them.
    Claiming,
    /// The instance is releasing its leases.
    Stopping,
    /// All leases have been released or have expired.
    Stopped,
}

/// The workers whose majority decides which instance has authority.
#[derive(Debug, Clone, Default)]
pub(super) struct Voters {
    /// The epoch of the voters' term; 0 if no term is known and the listed workers are the voters.
    pub epoch: u64,
    /// The names of the voters, in ascending order.
    pub names: Vec<Name>,
    /// Whether this instance opened the term.
    pub own: bool,
}

/// The terms that a candidate or coordinator knows.
#[derive(Debug, Default)]
pub(super) struct Terms {
    pub phase: Phase,
    /// The epoch in this instance's requests.
    pub epoch: u64,
    /// The epoch at which the current claim began.
    pub first_epoch: u64,
    /// The voters of the latest term.
    pub voters: Voters,
    /// Voters of the proposed next term, until enough workers know it.
    pub proposal: Option<Vec<Name>>,
    /// When this instance first had authority, by more than half of the previous term's voters.
    pub quorum_at: Option<Time>,
    /// When this instance opened its first term.
    pub opened_at: Option<Time>,
    /// When the claim began or, in the phase `Stopping`, the release of the leases.
    pub claimed_at: Time,
    /// Since when this instance has claimed workers without having authority.
    pub lapsed_at: Option<Time>,
    /// Whether another instance was seen to hold a lease that this one claims.
    pub contended: bool,
    /// Earliest time of the next claim.
    pub claim_after: Time,
    /// Since when free leases have been seen, so that the lease state of all workers is read.
    pub free_seen_at: Option<Time>,
    proposed_at: Time,
}

/// Returns how many of `names` are members that satisfy `predicate`.
fn count_matching(
    members: &Table<Name, Member>,
    names: &[Name],
    predicate: impl Fn(&Member) -> bool,
) -> usize {
    names
        .iter()
        .filter(|name| members.get::<Name>(name).is_some_and(&predicate))
        .count()
}

impl Coordinator {
    /// Returns whether this instance holds the lease of `member` and no earlier holder can still
    /// rely on it.
    ///
    /// A restarted worker has lost its earlier lease, so its vote counts only once that lease must
    /// have expired. It may also have lost a later term that it granted, so it does not count for
    /// an open term of this coordinator until it knows that term again.
    fn counts_as_vote(&self, now: Time, member: &Member) -> bool {
        let ttl = self.settings.control_ttl;
        if self.terms.voters.own {
            return member.is_held(now, ttl) && member.known_epoch >= self.terms.voters.epoch;
        }
        let forgot = !member.remembers_terms;
        let waited = |at: Time| now >= at + upper_bound(ttl);
        member.is_held(now, ttl) && (!forgot || member.claimed_at.is_some_and(waited))
    }

    pub(super) fn votes(&self, now: Time) -> usize {
        count_matching(&self.members, &self.terms.voters.names, |member| {
            self.counts_as_vote(now, member)
        })
    }

    /// Returns whether no term can have been opened after the latest known one.
    ///
    /// More than half of the voters would know a later term, so it is enough that half of them
    /// still remember their terms. If fewer do, this instance must have held all workers for so long
    /// that tasks on any other worker have stopped.
    fn knows_latest_term(&self, now: Time) -> bool {
        let voters = &self.terms.voters;
        if voters.own || voters.epoch == 0 {
            return true;
        }
        let remembering = count_matching(&self.members, &voters.names, |member| {
            member.remembers_terms
        });
        2 * remembering >= voters.names.len() || self.holds_all(now)
    }

    fn holds_all(&self, now: Time) -> bool {
        let ttl = upper_bound(self.settings.task_ttl);
        let held_long = |member: &Member| {
            member.is_held(now, self.settings.control_ttl)
                && member.claimed_at.is_some_and(|at| now >= at + ttl)
        };
        let voters = &self.terms.voters.names;
        self.members
            .iter()
            .filter(|(name, member)| member.listed || voters.binary_search(name).is_ok())
            .all(|(name, member)| self.lost_workers.contains(name) || held_long(member))
    }

    /// Returns whether at least half of the voters of the proposed term, if any, are held and have
    /// not restarted.
    fn holds_proposal(&self, now: Time) -> bool {
        let ttl = self.settings.control_ttl;
        self.terms.proposal.as_ref().is_none_or(|names| {
            let held = |member: &Member| member.is_held(now, ttl) && !member.forgot_terms;
            2 * count_matching(&self.members, names, held) >= names.len()
        })
    }

    /// Returns whether no other instance can have authority, so that running tasks may be renewed.
    pub(super) fn may_renew(&self, now: Time) -> bool {
        let voters = self.terms.voters.names.len();
        self.terms.phase == Phase::Claiming
            && voters > 0
            && 2 * self.votes(now) >= voters
            && self.knows_latest_term(now)
            && self.holds_proposal(now)
    }

    /// Returns whether this instance has authority to start tasks.
    ///
    /// A successor needs more than half of the previous voters, so a coordinator whose term is open
    /// needs only half of its voters: the two conditions exclude each other.
    pub(super) fn has_authority(&self, now: Time) -> bool {
        let voters = self.terms.voters.names.len();
        self.may_renew(now) && (self.terms.voters.own || 2 * self.votes(now) > voters)
    }

    /// Returns the term for requests. It contains voters only while no other instance can have
    /// authority, so that a restarted worker does not store an outdated term.
    pub(super) fn request_term(&self, may_renew: bool) -> Term {
        let voters = match &self.terms.proposal {
            _ if !may_renew => Vec::new(),
            Some(names) => names.clone(),
            None if self.terms.voters.own => self.terms.voters.names.clone(),
            None => Vec::new(),
        };
        Term {
            epoch: self.terms.epoch,
            holder: self.holder,
            voters,
        }
    }

    /// Takes the steps of the term that the workers' replies allow.
    pub(super) fn advance_term(&mut self, now: Time) {
        match self.terms.phase {
            Phase::Watching => self.claim_if_free(now),
            Phase::Claiming => {
                self.update_quorum(now);
                self.commit_proposal(now);
                self.propose_term(now);
                self.abandon_claims(now);
            }
            Phase::Stopping | Phase::Stopped => {}
        }
    }

    /// Starts a claim once the leases have been free for the wait time of this instance's rank.
    fn claim_if_free(&mut self, now: Time) {
        let Some(rank) = self.rank else {
            return;
        };
        let wait = u64::from(rank) * self.settings.rank_delay;
        let recent = Time(now.0.saturating_sub(2 * self.settings.heartbeat));
        let listed = self.members.iter().filter(|(_, m)| m.listed).count();
        // When all candidates start at once, leases may already have been free for long. So a
        // candidate also waits from the time at which it first saw a free lease.
        let waited = self.terms.free_seen_at.map_or(0, |at| now.since(at)) >= wait;
        let free = |m: &Member| waited && m.free_for(recent).is_some_and(|ms| ms >= wait);
        let free_count = self.members.iter().filter(|(_, m)| free(m)).count();
        let any_free = self
            .members
            .iter()
            .any(|(_, m)| m.free_for(recent).is_some());
        let any_held = self
            .members
            .iter()
            .any(|(_, m)| m.is_held_elsewhere(recent));
        self.terms.free_seen_at = any_free.then(|| self.terms.free_seen_at.unwrap_or(now));
        // If most workers fail together with the coordinator, the remaining ones are still claimed,
        // so that their tasks keep running.
        let probed_all = self
            .terms
            .free_seen_at
            .is_some_and(|at| now.since(at) >= 2 * self.settings.heartbeat);
        let ready = 2 * free_count > listed || (free_count > 0 && !any_held && probed_all);
        if ready && now >= self.terms.claim_after {
            self.claim(now);
        }
    }

    fn claim(&mut self, now: Time) {
        let epoch = self.terms.epoch + 1;
        self.terms.phase = Phase::Claiming;
        self.terms.epoch = epoch;
        self.terms.first_epoch = epoch;
        self.terms.claimed_at = now;
        self.terms.contended = false;
        self.make_all_due();
    }

    /// Updates the known terms from a worker's reply. Returns false if another instance has taken
    /// over the zone.
    pub(super) fn learn_terms(&mut self, worker: &Name, reply: &Reply) -> bool {
        let latest = reply.term.as_ref().map_or(0, |term| term.epoch);
        let other = reply
            .term
            .as_ref()
            .is_some_and(|term| term.holder != self.holder);
        if self.terms.phase != Phase::Claiming {
            self.terms.epoch = self.terms.epoch.max(latest);
            return true;
        }
        if !reply.granted && other && latest >= self.terms.epoch {
            if self.terms.voters.own {
                return false;
            }
            // The claim continues at a higher epoch once the other instance's lease is free.
            if reply.held_ms == 0 {
                self.terms.epoch = latest + 1;
                self.terms.first_epoch = latest + 1;
                self.terms.proposal = None;
            }
        }
        self.terms.contended |= !reply.granted && other && reply.held_ms > 0;
        if let Some(opened) = &reply.opened {
            self.learn_opened(worker, reply.granted, opened);
        }
        true
    }

    fn learn_opened(&mut self, worker: &Name, granted: bool, opened: &Term) {
        let own = opened.holder == self.holder && opened.epoch >= self.terms.first_epoch;
        if let Some(member) = self.members.get_mut(worker) {
            if own && granted {
                member.known_epoch = member.known_epoch.max(opened.epoch);
                member.forgot_terms = false;
            }
            member.remembers_terms |= !own && granted;
        }
        if !own && !self.terms.voters.own && opened.epoch > self.terms.voters.epoch {
            let mut names = opened.voters.clone();
            names.sort();
            self.terms.voters = Voters {
                epoch: opened.epoch,
                names,
                own: false,
            };
            self.terms.quorum_at = None;
            self.terms.proposal = None;
            for name in &opened.voters {
                self.members.or_insert(name.clone(), Member::default());
            }
        }
    }

    /// Updates the voters while no term is known, drops lost workers from them, and records when this
    /// instance first has authority.
    fn update_quorum(&mut self, now: Time) {
        if self.terms.voters.epoch == 0 {
            let listed = self.members.iter().filter(|(_, member)| member.listed);
            self.terms.voters.names = listed.map(|(name, _)| name.clone()).collect();
        }
        // Operators declared these workers as switched off, so no instance can hold their leases.
        let lost = &self.lost_workers;
        self.terms.voters.names.retain(|name| !lost.contains(name));
        if self.terms.quorum_at.is_none() && self.has_authority(now) {
            self.terms.quorum_at = Some(now);
        }
    }

    /// Opens the proposed term once majorities of the previous and of the proposed voters know it.
    fn commit_proposal(&mut self, now: Time) {
        let Some(names) = &self.terms.proposal else {
            return;
        };
        let epoch = self.terms.epoch;
        let knows_epoch = |member: &Member| member.known_epoch >= epoch;
        let previous_count = count_matching(&self.members, &self.terms.voters.names, knows_epoch);
        let proposed_count = count_matching(&self.members, names, knows_epoch);
        let enough =
            2 * previous_count > self.terms.voters.names.len() && 2 * proposed_count > names.len();
        if !enough || !self.has_authority(now) {
            return;
        }
        let first = !self.terms.voters.own;
        self.terms.voters = Voters {
            epoch,
            names: names.clone(),
            own: true,
        };
        self.terms.proposal = None;
        if first {
            self.terms.opened_at = Some(now);
            self.recovery.fence_epoch = Some(epoch);
            let body = Body::Opened {
                zone: self.zone.clone(),
                epoch,
                holder: self.holder,
            };
            self.append(PendingAppend::Opened, body);
        }
    }

    /// Proposes the first term once commands of the previous coordinator have expired, and a
    /// further one whenever the set of voters has to change.
    fn propose_term(&mut self, now: Time) {
        let old_commands_expired = self
            .terms
            .quorum_at
            .is_some_and(|at| now >= at + upper_bound(self.settings.control_ttl));
        let early = now.since(self.terms.proposed_at) < self.settings.heartbeat;
        if self.terms.proposal.is_some()
            || !old_commands_expired
            || !self.has_authority(now)
            || (early && self.terms.voters.own)
        {
            return;
        }
        let names = self.next_voters(now);
        if self.terms.voters.own && names == self.terms.voters.names {
            return;
        }
        self.terms.epoch += 1;
        self.terms.proposal = Some(names);
        self.terms.proposed_at = now;
        // Only a worker that restarts after this point can forget a lease that it granted to an
        // instance that knows this proposal.
        for (_, member) in self.members.iter_mut() {
            member.forgot_terms = false;
        }
        self.make_all_due();
    }

    /// Returns the voters of the next term: all workers that are held, and the current voters on
    /// which tasks may still run.
    fn next_voters(&self, now: Time) -> Vec<Name> {
        let ttl = self.settings.control_ttl;
        let keep = |name: &Name, member: &Member| {
            let voter = self.terms.voters.names.binary_search(name).is_ok();
            member.is_held(now, ttl)
                || (voter
                    && !self.lost_workers.contains(name)
                    && !self.tasks_have_ended(now, member))
        };
        self.members
            .iter()
            .filter(|(name, member)| keep(name, member))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns whether a worker that does not reply must have stopped all its tasks by its own
    /// clock.
    pub(super) fn tasks_have_ended(&self, now: Time, member: &Member) -> bool {
        let ttl = self.settings.task_ttl;
        let Some(opened) = self.terms.opened_at else {
            return false;
        };
        now >= opened + upper_bound(ttl) && member.tasks_end(ttl).is_none_or(|end| now >= end)
    }

    /// Releases the workers if this instance has had no authority for two lease durations, and
    /// either another candidate holds some of the workers, so that one of the two can get a
    /// majority, or the own term was open.
    fn abandon_claims(&mut self, now: Time) {
        let timeout = 2 * self.settings.control_ttl;
        if self.has_authority(now) {
            self.terms.lapsed_at = None;
            return;
        }
        let lapsed = *self.terms.lapsed_at.get_or_insert(now);
        let may_abandon = self.terms.voters.own || self.terms.contended;
        if !may_abandon || now.since(lapsed) < timeout {
            return;
        }
        self.release_all(now);
        let steps = u64::from(self.rank.unwrap_or(0)) + self.rng.random_range(0..4);
        self.step_down(now);
        self.terms.claim_after = now + steps * self.settings.rank_delay;
    }

    /// Makes the next request to every worker due immediately.
    pub(super) fn make_all_due(&mut self) {
        for (_, member) in self.members.iter_mut() {
            member.due_now = true;
        }
    }

    /// Gives up the authority over the zone and discards the state of the term.
    pub(super) fn step_down(&mut self, now: Time) {
        let epoch = self.terms.epoch;
        self.terms = Terms {
            epoch,
            ..Terms::default()
        };
        for (_, member) in self.members.iter_mut() {
            member.reset();
        }
        self.discard_term(now);
    }
}
