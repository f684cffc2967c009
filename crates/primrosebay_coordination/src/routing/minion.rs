//! A minion as one entry instance sees it.

use primrosebay_state::Name;
use primrosebay_state::time::Time;

use super::outlier::Health;
use super::slow_start::weight;

/// Requests that a minion runs at the same time.
pub const SLOTS: u32 = 8;
/// Connections that a minion accepts.
pub const CONNECTIONS: u32 = 64;
/// How long a minion's report of its load counts, in milliseconds. With 50 ms, six entry instances
/// at 90% load were refused 28% more often in the simulation of `primrosebay_load`.
const REPORT_TTL: u64 = 200;
/// How long a minion's own announcement that it leaves counts without the live list, in
/// milliseconds. After that one request finds out whether the minion has been restarted.
const LEAVING_TTL: u64 = 60_000;

/// Where a minion is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// The unique name.
    pub name: Name,
    /// The availability zone.
    pub zone: Name,
    /// Address and port.
    pub address: Name,
}

/// One minion of the live list.
#[derive(Debug, Clone)]
pub struct Listed {
    /// Where the minion is.
    pub endpoint: Endpoint,
    /// Whether the list says that it is leaving.
    pub leaving: bool,
}

/// What the end of an attempt tells about its minion.
#[derive(Debug, Clone, Copy, Default)]
pub struct Feedback {
    /// Whether the minion failed; nothing if the attempt does not tell.
    pub failed: Option<bool>,
    /// Occupied slots that the minion reported.
    pub busy: Option<u32>,
    /// Whether the minion refused the request because it was full.
    pub refused: bool,
    /// Whether the minion said that it is leaving.
    pub leaving: bool,
}

/// The load and health of a minion.
#[derive(Debug)]
pub struct Minion {
    /// Where the minion is.
    pub endpoint: Endpoint,
    /// Requests of this entry instance that the minion has not answered.
    pub running: u32,
    /// Recent results.
    pub health: Health,
    pub(super) joined: Option<Time>,
    pub(super) listed: bool,
    pub(super) list_leaving: bool,
    pub(super) own_leaving: Option<Time>,
    others: u32,
    reported: Option<Time>,
    /// Most own requests at the same time in this and in the last period.
    peaks: [u32; 2],
    period: u64,
}

impl Minion {
    /// Creates a minion without load that came into service at `joined`, or that has
    /// served all along.
    #[must_use]
    pub fn new(endpoint: Endpoint, joined: Option<Time>) -> Self {
        Self {
            endpoint,
            running: 0,
            health: Health::default(),
            joined,
            listed: true,
            list_leaving: false,
            own_leaving: None,
            others: 0,
            reported: None,
            peaks: [0; 2],
            period: 0,
        }
    }

    /// Counts one more request as running.
    pub fn start(&mut self, now: Time) {
        self.running += 1;
        self.turn_peaks(now);
        self.peaks[0] = self.peaks[0].max(self.running);
    }

    /// Records the slots that were occupied when the minion sent a response. The part beyond this
    /// instance's own requests is the load of other entry instances.
    ///
    /// Responses overtake each other, so requests that have ended here since may still be in the
    /// number. Therefore the recent peak of own requests is taken off. Without that, an instance
    /// alone with a minion counted up to six of its eight slots as occupied by others.
    pub fn report(&mut self, busy: u32, now: Time) {
        self.turn_peaks(now);
        let own = self.peaks[0].max(self.peaks[1]).max(self.running);
        self.others = busy.saturating_sub(own);
        self.reported = Some(now);
    }

    /// Records that the minion refused a request because all its slots were occupied.
    pub fn report_full(&mut self, now: Time) {
        self.others = SLOTS.saturating_sub(self.running);
        self.reported = Some(now);
    }

    fn turn_peaks(&mut self, now: Time) {
        let period = now.0 / REPORT_TTL;
        if period != self.period {
            let last = if period == self.period + 1 {
                self.peaks[0]
            } else {
                self.running
            };
            self.peaks = [self.running, last];
            self.period = period;
        }
    }

    /// Returns the slots that are taken as far as this instance knows.
    #[must_use]
    pub fn load(&self, now: Time) -> u32 {
        let recent = self.reported.is_some_and(|at| now.since(at) < REPORT_TTL);
        self.running + if recent { self.others } else { 0 }
    }

    /// Returns whether the minion gets no new requests because it is about to stop.
    #[must_use]
    pub fn leaving(&self, now: Time) -> bool {
        !self.listed
            || self.list_leaving
            || self
                .own_leaving
                .is_some_and(|at| now.since(at) < LEAVING_TTL)
    }

    /// Returns whether the minion gets requests when it has a free slot.
    #[must_use]
    pub fn in_service(&self, now: Time) -> bool {
        !self.leaving(now) && !self.health.ejected(now)
    }

    /// Returns the share of its normal load that the minion gets, in percent.
    #[must_use]
    pub fn weight(&self, now: Time, window: u64) -> u64 {
        let since = self.joined.max(self.health.returns());
        since.map_or(100, |since| weight(since, now, window))
    }

    /// Returns how many more requests the minion can take.
    #[must_use]
    pub fn free(&self, now: Time, window: u64) -> u32 {
        if !self.in_service(now) {
            return 0;
        }
        let share = self.weight(now, window) * u64::from(SLOTS);
        let allowed = u32::try_from(share.div_ceil(100)).unwrap_or(SLOTS);
        allowed.saturating_sub(self.load(now))
    }
}
