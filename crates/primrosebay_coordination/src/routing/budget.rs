//! Limit on how many attempts are added to the callers' requests.

use primrosebay_state::time::Time;

/// One retry, in the unit of the balances. A thousandth of a retry is what one retry per second
/// adds in a millisecond, so that no fraction is lost to rounding.
const RETRY: u64 = 1_000;

/// Rules of a retry budget.
#[derive(Debug, Clone, Copy)]
pub struct BudgetRules {
    /// Retries for each hundred requests.
    pub percent: u64,
    /// Retries per second that are allowed however few requests there are.
    pub floor: u64,
    /// Most unused retries that are kept.
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

/// Counts retries against requests, so that retries cannot multiply an overload.
#[derive(Debug)]
pub struct RetryBudget {
    rules: BudgetRules,
    earned: u64,
    floor: u64,
    filled: Time,
}

impl RetryBudget {
    /// Creates a budget that has only its floor.
    #[must_use]
    pub fn new(rules: BudgetRules, now: Time) -> Self {
        Self {
            rules,
            earned: 0,
            floor: rules.floor * RETRY,
            filled: now,
        }
    }

    /// Records the first attempt of a request.
    pub fn deposit(&mut self) {
        self.earned =
            (self.earned + self.rules.percent * RETRY / 100).min(self.rules.burst * RETRY);
    }

    /// Takes one retry and returns whether there was one.
    pub fn withdraw(&mut self, now: Time) -> bool {
        self.refill(now);
        let source = if self.earned >= RETRY {
            &mut self.earned
        } else {
            &mut self.floor
        };
        let granted = *source >= RETRY;
        if granted {
            *source -= RETRY;
        }
        granted
    }

    fn refill(&mut self, now: Time) {
        let gained = now.since(self.filled).saturating_mul(self.rules.floor);
        self.floor = (self.floor + gained).min(self.rules.floor * RETRY);
        self.filled = self.filled.max(now);
    }
}
