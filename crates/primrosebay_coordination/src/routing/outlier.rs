//! Outlier detection: ejection of minions that fail often.

use primrosebay_state::time::Time;

/// Number of results that are kept for each minion.
const HISTORY_LEN: u32 = 20;

/// Rules for the ejection of minions.
#[derive(Debug, Clone, Copy)]
pub struct OutlierRules {
    /// Number of consecutive failures that eject a minion.
    pub consecutive: u32,
    /// Number of failures among the last 20 results that eject a minion.
    pub failures: u32,
    /// Duration of the first ejection in milliseconds. The duration doubles with each further one.
    pub base: u64,
    /// Longest duration of an ejection in milliseconds.
    pub cap: u64,
    /// Largest share of the minions that may be ejected at the same time, in percent.
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
    /// When all minions fail, the cause is usually not the minions, so most of them stay in
    /// service. Of two or more minions, one may always be ejected: otherwise a dead minion would
    /// get its share of the requests for as long as it is listed.
    #[must_use]
    pub fn max_ejected(&self, total: usize) -> usize {
        let one = usize::from(total > 1);
        (total * self.max_percent / 100).max(one)
    }
}

/// Recent results and ejections of one minion.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    /// Number of failures since the last success.
    consecutive: u32,
    /// The last results, the newest in the lowest bit; 1 is a failure.
    history: u32,
    /// Number of ejections that lengthen the next one.
    ejections: u32,
    /// When the last ejection ends.
    ejected_until: Option<Time>,
}

impl Health {
    /// Records one result and returns whether the minion should be ejected.
    pub fn record(&mut self, failed: bool, rules: &OutlierRules) -> bool {
        self.history = ((self.history << 1) | u32::from(failed)) & ((1 << HISTORY_LEN) - 1);
        if failed {
            self.consecutive += 1;
        } else {
            self.consecutive = 0;
            // A history without failures resets the duration of the next ejection.
            if self.history == 0 {
                self.ejections = 0;
            }
        }
        self.consecutive >= rules.consecutive || self.history.count_ones() >= rules.failures
    }

    /// Ejects the minion at `now`.
    pub fn eject(&mut self, now: Time, rules: &OutlierRules) {
        let duration = (rules.base << self.ejections.min(16)).min(rules.cap);
        *self = Self {
            ejections: self.ejections + 1,
            ejected_until: Some(now + duration),
            ..Self::default()
        };
    }

    /// Returns whether the minion is ejected at `now`.
    #[must_use]
    pub fn ejected(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns when the last ejection ends; `None` if there was none.
    #[must_use]
    pub fn ejection_end(&self) -> Option<Time> {
        self.ejected_until
    }
}
