//! Leases that earlier leaders granted.
//!
//! The tasks of a minion that this leader cannot reach can be restarted elsewhere only once no lease
//! of an earlier term can still be in force there. The wait begins when the earlier leader was last
//! able to grant a lease, not when its successor begins.

use primrosebay_state::Name;
use primrosebay_state::time::Time;

use super::Leader;
use super::command::Now;
use super::minion::{Lease, Minion, Phase};
use super::settings::Settings;
use crate::record::{LeaseWaits, Process};
use crate::terms::Term;

/// Maximum number of silent minions in a claim, which bounds the size of its record.
const MAX_SILENT: usize = 1_000;

/// Interval at which an unchanged list of silent minions is repeated, for instances that have read
/// the newest records only, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Time since the beginning of a term after which minions are listed that have not answered in it, in
/// milliseconds. The first holds do not wait, so minions that can be reached have answered by then.
const UNSEEN_MS: u64 = 600;

/// What is known of the leases of earlier terms.
#[derive(Debug)]
pub(super) struct Inheritance {
    /// The known earlier terms, sorted by epoch.
    terms: Vec<Term>,
    /// Time by which all leases of earlier terms have expired, whatever these were.
    latest: Time,
    /// Time at which this term began.
    began: Time,
    /// Silent minions in the last list of this term, sorted.
    reported: Vec<Name>,
    /// Time of this list.
    reported_at: Time,
}

impl Inheritance {
    pub(super) fn new(now: Time, settings: &Settings) -> Self {
        Self {
            terms: Vec::new(),
            latest: now + settings.inherited_ms(),
            began: now,
            reported: Vec::new(),
            reported_at: now,
        }
    }

    /// Returns the time by which the leases of all earlier terms have expired: on `minion`, or on
    /// any minion if none is given.
    fn expiry(&self, minion: Option<&Name>, settings: &Settings) -> Time {
        let mut expiry = self.latest;
        for term in &self.terms {
            // The last records of earlier terms precede the first claim of this one.
            expiry = expiry.min(term.first_read + settings.inherited_ms());
            if let Some(ms) = term.claim.waits.inherited_ms {
                // A claim is read after its waits were determined.
                expiry = expiry.min(term.last_read + settings.drifted_ms(ms));
            }
            let unproven = term.last_read + settings.inherited_ms();
            let own = term.ended.map_or(unproven, |at| {
                unproven.min(at + settings.upper_ms(settings.lease_ms))
            });
            expiry = expiry.max(own);
            if let Some((listed, ms)) = minion.and_then(|name| term.silence(name)) {
                expiry = expiry.min(listed + settings.drifted_ms(ms));
            }
        }
        expiry
    }

    /// Returns the time after which no earlier leader sends a command that grants a lease; none if
    /// that is not known.
    pub(super) fn last_grant(&self, settings: &Settings) -> Option<Time> {
        let first = self.terms.first()?;
        // The last records of the leaders before the known terms precede the first claim of these, and
        // their last commands the end of their leases.
        let mut unknown = first.first_read + settings.granting_ms();
        if let Some(ms) = first.claim.waits.inherited_ms {
            unknown = unknown.min(first.last_read + settings.drifted_ms(ms));
        }
        let known = self.terms.iter().map(|t| {
            let unproven = t.last_read + settings.granting_ms();
            t.ended.map_or(unproven, |at| at.min(unproven))
        });
        known.chain([unknown]).max()
    }

    /// Returns whether an earlier leader had listed a minion as silent.
    fn is_listed(&self, minion: &Name) -> bool {
        self.terms.iter().any(|t| t.silence(minion).is_some())
    }
}

/// Returns the time until all runs of a silent minion have ended, in milliseconds.
fn longest_wait(minion: &Minion, now: Time, settings: &Settings) -> u64 {
    let ends = minion.runs.iter().map(|run| {
        // An incarnation of the minion that the leader does not know may carry out the start.
        let unanswered = match run.phase {
            Phase::Sent => now + settings.settled_ms(),
            _ => Time(0),
        };
        minion.restart_at(run).max(unanswered)
    });
    ends.max().map_or(0, |at| at.since(now))
}

impl Leader {
    /// Tells the leader which terms preceded its own, sorted by epoch, and when the claim of its own
    /// term was sent. Without this the leader assumes that earlier leaders granted leases until its
    /// own term began.
    pub fn inherit(&mut self, claimed: Time, terms: Vec<Term>) {
        self.confirmed_at = claimed;
        if terms.is_empty() && self.minions.is_empty() {
            // The log holds no claim of an earlier leader and no run of one.
            self.inheritance.latest = claimed;
        }
        self.inheritance.terms = terms;
        self.update_inherited();
        // A change of the leader soon after this one must not prolong the waits.
        self.waits_due = self.minions.iter().any(|(_, m)| m.inherited > claimed);
    }

    /// Notes that the leader of an earlier term has sent its last command.
    pub fn on_term_ended(&mut self, epoch: u64, now: Now) {
        let terms = &mut self.inheritance.terms;
        let found = terms.binary_search_by_key(&epoch, |t| t.claim.epoch);
        if let Ok(index) = found
            && terms[index].ended.is_none()
        {
            terms[index].ended = Some(now.time);
            log::info!(epoch = self.epoch, earlier = epoch; "leader: earlier term has ended");
            self.update_inherited();
        }
    }

    /// Returns the earlier terms that may not have ended, each with the process that led, while the
    /// tasks of silent minions wait for their leases.
    #[must_use]
    pub fn unproven_terms(&self, now: Now) -> Vec<(u64, Name, Process)> {
        let waits = |m: &Minion| {
            now.time < m.inherited && !m.runs.is_empty() && m.is_silent(now.time, &self.settings)
        };
        if !self.minions.iter().any(|(_, m)| waits(m)) {
            return Vec::new();
        }
        let terms = self.inheritance.terms.iter();
        let unproven = terms
            .filter(|t| t.ended.is_none() && now.time < t.last_read + self.settings.inherited_ms());
        let process = |t: &Term| (t.claim.epoch, t.claim.node.clone(), t.claim.process.clone());
        unproven.map(process).collect()
    }

    /// Determines again until when the leases of earlier terms may be in force on each minion.
    fn update_inherited(&mut self) {
        for (name, minion) in self.minions.iter_mut() {
            let expiry = self.inheritance.expiry(Some(name), &self.settings);
            minion.inherited = minion.inherited.min(expiry);
            minion.limit_reborn(self.inheritance.last_grant(&self.settings), &self.settings);
        }
    }

    /// Returns the time by which the leases of earlier terms on a minion have expired.
    pub(super) fn inherited_expiry(&self, minion: &Name) -> Time {
        self.inheritance.expiry(Some(minion), &self.settings)
    }

    /// Returns what a successor has to know of the leases, for the claim that ends batch `id`.
    ///
    /// Lists the silent minions with runs. They get no lease before a later claim without them is
    /// durable.
    pub(super) fn report_waits(&mut self, id: u64) -> LeaseWaits {
        self.waits_due = false;
        let now = self.last_tick;
        let settings = &self.settings;
        // At the beginning of a term all minions are silent.
        let settled = now.since(self.inheritance.began) > UNSEEN_MS;
        let mut silent = Vec::new();
        for (name, minion) in self.minions.iter_mut() {
            let is_silent = minion.is_silent(now, settings)
                && (settled || self.inheritance.is_listed(name))
                && silent.len() < MAX_SILENT;
            let wait = if is_silent {
                longest_wait(minion, now, settings)
            } else {
                0
            };
            if wait > 0 {
                silent.push((name.clone(), wait));
                minion.lease = Lease::Withheld;
            } else if minion.lease == Lease::Withheld {
                minion.lease = Lease::Released(id);
            }
        }
        let inherited = self.inheritance.expiry(None, settings);
        let inherited_ms = Some(inherited.since(now));
        let reported = &mut self.inheritance.reported;
        let is_same = reported.iter().eq(silent.iter().map(|(name, _)| name));
        let is_due =
            !silent.is_empty() && now.since(self.inheritance.reported_at) >= REPORT_INTERVAL_MS;
        if is_same && !is_due {
            return LeaseWaits {
                inherited_ms,
                silent: None,
            };
        }
        *reported = silent.iter().map(|(name, _)| name.clone()).collect();
        self.inheritance.reported_at = now;
        LeaseWaits {
            inherited_ms,
            silent: Some(silent),
        }
    }

    /// Returns what a successor has to know of the leases, for the claim with which the leader
    /// resigns.
    pub fn last_waits(&mut self) -> LeaseWaits {
        self.report_waits(self.last_batch + 1)
    }

    /// Notes that the claim that ends batch `id` is durable.
    pub(super) fn release_leases(&mut self, id: u64, now: Now) {
        for (name, minion) in self.minions.iter_mut() {
            if minion.lease == Lease::Released(id) {
                minion.lease = Lease::Granted;
                minion.next_hold = now.time;
                self.hold_next.push(name.clone());
                self.room.mark_changed(name);
            }
        }
    }
}
