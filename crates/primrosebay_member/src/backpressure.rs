//! Keeps instances from overloading a slow log.
//!
//! If the log becomes slow while callers submit jobs to all instances, one append of the leader can
//! carry all their records. Direct appends of each instance, however, queue up in the log, which
//! rejects appends that would wait too long. Rejections also hit the leader's batches: the leader
//! loses its term, and no job is accepted until well after the log has recovered.

use std::time::Duration;

/// Maximum total latency of one direct append by every instance: half the queueing time at which
/// the platform's log rejects appends.
const QUEUE_BUDGET: Duration = Duration::from_secs(1);

/// Returns whether an instance may append records to the log directly when the leader does not
/// take them. It may if the log has capacity for simultaneous appends of all `instances`.
#[must_use]
pub fn may_append_directly(latency: Duration, instances: usize) -> bool {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    latency.saturating_mul(instances) <= QUEUE_BUDGET
}
