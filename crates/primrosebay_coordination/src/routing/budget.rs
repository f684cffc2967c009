//! Retry budget: limits retries to a share of the requests.

use primrosebay_state::time::Time;

/// Units of one retry. One unit is what a rate of one retry per second adds in a millisecond, so no
/// fraction is lost to rounding.
const RETRY_UNITS: u64 = 1_000;

/// Rules of a retry budget.
#[derive(Debug, Clone, Copy)]
pub struct BudgetRules {
    /// Retries earned per hundred requests.
    pub percent: u64,
    /// Retries per second that are allowed regardless of the number of requests.
    pub floor: u64,
    /// Largest number of unused earned retries.
    pub burst: u64,
}

impl Default for BudgetRules {
    fn default() -> Self {
        Self {
            percent: 10,
            floor: 3,
            burst: 100,
        }
    }
}

/// Budget that requests fill and retries consume, so that retries cannot multiply an overload.
#[derive(Debug)]
pub struct RetryBudget {
    rules: BudgetRules,
    /// Unused retries earned by requests, in units.
    earned: u64,
    /// Unused retries of the guaranteed rate at `filled`, in units.
    floor: u64,
    filled: Time,
}

impl RetryBudget {
    /// Creates a budget without earned retries.
    #[must_use]
    pub fn new(rules: BudgetRules, now: Time) -> Self {
        Self {
            rules,
            earned: 0,
            floor: rules.floor * RETRY_UNITS,
            filled: now,
        }
    }

    /// Adds the share of a retry that the first attempt of a request earns.
    pub fn deposit(&mut self) {
        self.earned = (self.earned + self.rules.percent * RETRY_UNITS / 100)
            .min(self.rules.burst * RETRY_UNITS);
    }

    /// Withdraws one retry. Returns whether one was available.
    pub fn withdraw(&mut self, now: Time) -> bool {
        self.refill(now);
        let balance = if self.earned >= RETRY_UNITS {
            &mut self.earned
        } else {
            &mut self.floor
        };
        let granted = *balance >= RETRY_UNITS;
        if granted {
            *balance -= RETRY_UNITS;
        }
        granted
    }

    fn refill(&mut self, now: Time) {
        let added = now.since(self.filled).saturating_mul(self.rules.floor);
        self.floor = (self.floor + added).min(self.rules.floor * RETRY_UNITS);
        self.filled = self.filled.max(now);
    }
}
