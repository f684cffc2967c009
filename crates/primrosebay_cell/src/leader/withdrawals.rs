//! Cancellations of jobs that have not been submitted.

use primrosebay_state::time::Time;

use crate::job::JobKey;
use crate::ledger::Ledger;

/// The cancellations of unknown jobs in the log. They are removed once no submission of their jobs
/// can be on its way any more.
#[derive(Debug, Default)]
pub(super) struct Withdrawals {
    /// Sorted by job.
    known: Vec<Withdrawal>,
    /// Jobs whose cancellations have to be removed from the log.
    expired: Vec<JobKey>,
}

#[derive(Debug)]
struct Withdrawal {
    job: JobKey,
    /// Log offset of the cancellation.
    offset: u64,
    /// Time at which this leader first saw it.
    since: Time,
}

impl Withdrawals {
    /// Updates what is known from the ledger. Cancellations that were seen `retention_ms` ago have
    /// expired.
    pub(super) fn update(&mut self, ledger: &Ledger, retention_ms: u64, now: Time) {
        let earlier = std::mem::take(&mut self.known);
        let since = |job, offset| {
            let found = earlier.binary_search_by_key(&job, |w| w.job);
            let same = found.ok().map(|i| &earlier[i]);
            same.filter(|w| w.offset == offset).map_or(now, |w| w.since)
        };
        let known = ledger.withdrawn().map(|(job, offset)| Withdrawal {
            job,
            offset,
            since: since(job, offset),
        });
        self.known = known.collect();
        let has_expired = |w: &&Withdrawal| now.since(w.since) >= retention_ms;
        self.expired = self
            .known
            .iter()
            .filter(has_expired)
            .map(|w| w.job)
            .collect();
    }

    /// Returns the jobs whose cancellations have to be removed from the log.
    pub(super) fn take_expired(&mut self) -> impl Iterator<Item = JobKey> {
        std::mem::take(&mut self.expired).into_iter()
    }
}
