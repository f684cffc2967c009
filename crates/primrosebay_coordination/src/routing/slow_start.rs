//! Slow start: the gradual increase of load on a minion that entered service.

use primrosebay_state::time::Time;

/// Share of the full load that a minion gets at first, in percent.
const MIN_PERCENT: u64 = 10;

/// Returns the share of the full load, in percent, of a minion that entered service at `since`. The
/// share increases linearly and reaches 100 after `ramp_ms` milliseconds.
#[must_use]
pub fn weight(since: Time, now: Time, ramp_ms: u64) -> u64 {
    let elapsed = now.since(since);
    if elapsed >= ramp_ms {
        return 100;
    }
    MIN_PERCENT + (100 - MIN_PERCENT) * elapsed / ramp_ms
}
