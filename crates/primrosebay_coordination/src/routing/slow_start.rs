//! Gradual return of minions to full load.

use primrosebay_state::time::Time;

/// Share of its normal load that a minion gets at first, in percent.
const FIRST_PERCENT: u64 = 10;

/// Returns the share of its normal load that a minion gets, in percent, when it came into service
/// at `since` and reaches its full share after `window` milliseconds.
#[must_use]
pub fn weight(since: Time, now: Time, window: u64) -> u64 {
    let passed = now.since(since);
    if passed >= window {
        return 100;
    }
    FIRST_PERCENT + (100 - FIRST_PERCENT) * passed / window
}
