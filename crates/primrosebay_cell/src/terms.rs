//! The terms of leadership that an instance has read from the log.
//!
//! A successor waits for the leases that earlier leaders granted to minions which it cannot reach.
//! How long depends on when each of these leaders was last able to grant one.

use primrosebay_state::Name;
use primrosebay_state::time::Time;

use crate::record::Claim;

/// Number of terms that are kept. Older ones are covered by [`LeaseWaits::inherited_ms`] of the
/// oldest one kept.
///
/// [`LeaseWaits::inherited_ms`]: crate::record::LeaseWaits::inherited_ms
const MAX_TERMS: usize = 16;

/// A term of leadership as far as it was read from the log.
#[derive(Debug, Clone)]
pub struct Term {
    /// Latest claim of the term.
    pub claim: Claim,
    /// Local time at which the first claim of the term was read.
    pub first_read: Time,
    /// Local time at which the latest claim of the term was read.
    pub last_read: Time,
    /// Silent minions in the latest list of the term, sorted by name, each with the time until all
    /// leases there have expired, in milliseconds.
    silent: Vec<(Name, u64)>,
    /// Local time at which this list was read.
    listed: Time,
    /// Local time by which the leader had sent its last command; none if it may still send some.
    pub ended: Option<Time>,
}

impl Term {
    fn new(claim: &Claim, now: Time) -> Self {
        Self {
            claim: claim.clone(),
            first_read: now,
            last_read: now,
            silent: Vec::new(),
            listed: now,
            ended: None,
        }
    }

    fn update(&mut self, claim: &Claim, now: Time) {
        self.claim = claim.clone();
        self.last_read = now;
        if let Some(silent) = self.claim.waits.silent.take() {
            self.silent = silent;
            self.listed = now;
        }
        if claim.resigned {
            // A leader resigns with its last record.
            self.ended = Some(now);
        }
    }

    /// Returns when the silent minion `name` was last read in a list, and the time from then on until
    /// all leases there have expired, in milliseconds.
    pub(crate) fn silence(&self, name: &Name) -> Option<(Time, u64)> {
        let found = self.silent.binary_search_by(|(n, _)| n.cmp(name));
        found.ok().map(|index| (self.listed, self.silent[index].1))
    }
}

/// The latest terms, sorted by epoch.
#[derive(Debug, Default)]
pub struct Terms {
    terms: Vec<Term>,
}

impl Terms {
    /// Notes a claim that was read from the log at `now`. Claims have to be noted in the order of the
    /// log.
    pub fn observe(&mut self, claim: &Claim, now: Time) {
        let found = self
            .terms
            .binary_search_by_key(&claim.epoch, |t| t.claim.epoch);
        let index = found.unwrap_or_else(|index| {
            self.terms.insert(index, Term::new(claim, now));
            index
        });
        self.terms[index].update(claim, now);
        if self.terms.len() > MAX_TERMS {
            self.terms.remove(0);
        }
    }

    /// Forgets all terms, since claims may have been missed.
    pub fn clear(&mut self) {
        self.terms.clear();
    }

    /// Returns the terms before that of `epoch`, sorted by epoch.
    #[must_use]
    pub fn before(&self, epoch: u64) -> Vec<Term> {
        let end = self.terms.partition_point(|t| t.claim.epoch < epoch);
        self.terms[..end].to_vec()
    }
}
