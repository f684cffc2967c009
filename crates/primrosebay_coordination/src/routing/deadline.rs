//! Time that one attempt may take.

use primrosebay_state::job::Repeat;
use primrosebay_state::time::Time;

/// Shortest time that an attempt gets while more attempts are possible, in milliseconds.
const MIN_ATTEMPT: u64 = 100;

/// Returns when an attempt that starts at `now` must end.
///
/// An idempotent request that may be tried again leaves half of its time for the next attempt. A
/// request that runs at most once gets all of it, because giving up early gains nothing.
#[must_use]
pub fn attempt_deadline(repeat: Repeat, now: Time, deadline: Time, last: bool) -> Time {
    let left = deadline.since(now);
    if last || repeat == Repeat::Once {
        return deadline;
    }
    now + (left / 2).max(MIN_ATTEMPT).min(left)
}

/// Returns after how many milliseconds without an answer a second attempt may start, or nothing if
/// the request must not be hedged.
#[must_use]
pub fn hedge_after(repeat: Repeat, enabled: bool, slow_ms: u64, left_ms: u64) -> Option<u64> {
    let allowed = enabled && repeat == Repeat::Idempotent && slow_ms > 0;
    (allowed && slow_ms < left_ms / 2).then_some(slow_ms)
}
