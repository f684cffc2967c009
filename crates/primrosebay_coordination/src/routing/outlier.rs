//! Detection and ejection of minions that fail more than others.

use primrosebay_state::time::Time;

/// Results that are remembered for each minion.
const HISTORY: u32 = 20;

/// Rules of ejection.
#[derive(Debug, Clone, Copy)]
pub struct OutlierRules {
    /// Failures in a row that eject a minion.
    pub consecutive: u32,
    /// Failures among the last 20 results that eject a minion.
    pub failures: u32,
    /// Duration of the first ejection in milliseconds; it doubles with each further one.
    pub base: u64,
    /// Longest ejection in milliseconds.
    pub cap: u64,
    /// Largest part of the minions that is ejected at the same time, in percent.
    pub max_percent: usize,
}

impl Default for OutlierRules {
    fn default() -> Self {
        Self {
            consecutive: 5,
            failures: 10,
            base: 5_000,
            cap: 300_000,
            max_percent: 30,
        }
    }
}

impl OutlierRules {
    /// Returns how many of `total` minions may be ejected at the same time.
    ///
    /// A failure that all minions share is not the minions' own, so most of them stay in service.
    /// One of two or three may always be ejected: otherwise a dead minion would get its part of the
    /// requests for as long as it is listed.
    #[must_use]
    pub fn max_ejected(&self, total: usize) -> usize {
        let one = usize::from(total > 1);
        (total * self.max_percent / 100).max(one)
    }
}

/// Recent results of one minion.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    streak: u32,
    /// The last results, the newest in the lowest bit; 1 is a failure.
    history: u32,
    ejections: u32,
    until: Option<Time>,
}

impl Health {
    /// Records one result and returns whether the minion should be ejected.
    pub fn record(&mut self, failed: bool, rules: &OutlierRules) -> bool {
        self.history = ((self.history << 1) | u32::from(failed)) & ((1 << HISTORY) - 1);
        if failed {
            self.streak += 1;
        } else {
            self.streak = 0;
            // One answer from a minion with a clean history ends the growth of later ejections.
            if self.history == 0 {
                self.ejections = 0;
            }
        }
        self.streak >= rules.consecutive || self.history.count_ones() >= rules.failures
    }

    /// Ejects the minion at `now`.
    pub fn eject(&mut self, now: Time, rules: &OutlierRules) {
        let term = (rules.base << self.ejections.min(16)).min(rules.cap);
        *self = Self {
            ejections: self.ejections + 1,
            until: Some(now + term),
            ..Self::default()
        };
    }

    /// Returns whether the minion is ejected at `now`.
    #[must_use]
    pub fn ejected(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns when the last ejection ends, or nothing if there was none.
    #[must_use]
    pub fn returns(&self) -> Option<Time> {
        self.until
    }
}
