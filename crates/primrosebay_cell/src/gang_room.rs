//! How much room a gang finds on the minions that an advice call allows.

/// Returns how many tasks fit on the allowed minions on average. `open` holds the number of tasks
/// that fit on each minion that the call can name, without what others are expected to use there.
/// Each minion is allowed with the probability `allow_rate`.
#[must_use]
pub fn expected_slots(open: impl IntoIterator<Item = f64>, allow_rate: f64) -> f64 {
    open.into_iter()
        .map(|slots| slots.max(0.0) * allow_rate)
        .sum()
}
