//! Keeps instances from filling the queue of a slow log.
//!
//! The pattern: the log turns slow while callers submit jobs on all instances. One append of the
//! leader carries the records of all of them, but appends of each instance by itself wait one after
//! the other, and the log rejects what would wait too long: also the leader's batches, so that the
//! term is lost and nothing is accepted until well after the log is fast again.

use std::time::Duration;

/// How much work all instances together may put into the log's queue, if each appends once. It is
/// half of what the platform's log lets wait before it rejects appends.
const QUEUE_BUDGET: Duration = Duration::from_secs(1);

/// Returns whether an instance may append submissions by itself when the leader does not: only if
/// the log could take an append of every instance at the same time.
#[must_use]
pub fn may_append_directly(latency: Duration, instances: usize) -> bool {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    latency.saturating_mul(instances) <= QUEUE_BUDGET
}
