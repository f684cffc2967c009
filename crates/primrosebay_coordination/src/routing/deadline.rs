//! Deadlines of single attempts and the delay of hedged attempts.

use primrosebay_state::job::Repeat;
use primrosebay_state::time::Time;

/// Shortest time in milliseconds for an attempt that may be followed by another one.
const MIN_ATTEMPT_MS: u64 = 100;

/// Returns the deadline of an attempt that starts at `now`, for a request with the given
/// `deadline`. `last` states that no other attempt can follow.
///
/// An attempt of an idempotent request gets half of the remaining time, which leaves the other half
/// for the next attempt. A request that runs at most once gets all of it, because giving up early
/// gains nothing.
#[must_use]
pub fn attempt_deadline(repeat: Repeat, now: Time, deadline: Time, last: bool) -> Time {
    let left = deadline.since(now);
    if last || repeat == Repeat::Once {
        return deadline;
    }
    now + (left / 2).max(MIN_ATTEMPT_MS).min(left)
}

/// Returns after how many milliseconds without an answer a hedged attempt may start; `None` if the
/// request must not be hedged. `tail_ms` is the tail latency of the service, 0 if it is not known,
/// and `left_ms` the time until the deadline of the request.
#[must_use]
pub fn hedge_after(repeat: Repeat, enabled: bool, tail_ms: u64, left_ms: u64) -> Option<u64> {
    let allowed = enabled && repeat == Repeat::Idempotent && tail_ms > 0;
    (allowed && tail_ms < left_ms / 2).then_some(tail_ms)
}
