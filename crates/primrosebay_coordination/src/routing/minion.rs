//! The state of a minion as observed by one entry instance.

use primrosebay_state::Name;
use primrosebay_state::time::Time;

use super::outlier::Health;
use super::slow_start::weight;

/// Largest number of requests that a minion runs at the same time.
pub const SLOTS: u32 = 8;
/// Largest number of connections that a minion accepts.
pub const CONNECTIONS: u32 = 64;
/// Time in milliseconds for which a minion's report of its load is valid. With 50 ms, minions
/// refuse requests 28% more often in the simulation of `primrosebay_load` (six entry instances, 90%
/// load).
const REPORT_TTL_MS: u64 = 200;
/// Time in milliseconds for which a minion's own announcement that it is leaving is valid without
/// the instance list. After that, a request finds out whether the minion has been restarted.
const LEAVING_TTL_MS: u64 = 60_000;

/// Name, location and address of a minion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Unique name of the minion.
    pub name: Name,
    /// Availability zone of the minion.
    pub zone: Name,
    /// Address and port of the minion.
    pub address: Name,
}

/// A minion in the instance list.
#[derive(Debug, Clone)]
pub struct Listed {
    /// Endpoint of the minion.
    pub endpoint: Endpoint,
    /// Whether the list marks the minion as leaving.
    pub leaving: bool,
}

/// What the result of an attempt shows about its minion.
#[derive(Debug, Clone, Copy, Default)]
pub struct Feedback {
    /// Whether the minion failed; `None` if the attempt shows neither failure nor success.
    pub failed: Option<bool>,
    /// Number of occupied slots that the minion reported; `None` without a report.
    pub busy: Option<u32>,
    /// Whether the minion refused the request because it was full.
    pub refused: bool,
    /// Whether the minion announced that it is leaving.
    pub leaving: bool,
}

/// The load and health of a minion.
#[derive(Debug)]
pub struct Minion {
    /// Endpoint of the minion.
    pub endpoint: Endpoint,
    /// Number of this entry instance's requests that the minion has not answered.
    pub running: u32,
    /// Recent results and ejections.
    pub health: Health,
    /// When the minion entered service; `None` if it needs no slow start.
    pub(super) joined: Option<Time>,
    /// Whether the instance list contains the minion.
    pub(super) listed: bool,
    /// Whether the instance list marks the minion as leaving.
    pub(super) list_leaving: bool,
    /// When the minion last announced that it is leaving.
    pub(super) announced_leaving: Option<Time>,
    /// Occupied slots attributed to other entry instances.
    other_load: u32,
    /// When `other_load` was set.
    reported: Option<Time>,
    /// Largest values of `running` in the current and in the previous period.
    peaks: [u32; 2],
    /// Number of the current period, each [`REPORT_TTL_MS`] long.
    period: u64,
}

impl Minion {
    /// Creates a minion without load that entered service at `joined`. `None` means that the minion
    /// needs no slow start.
    #[must_use]
    pub fn new(endpoint: Endpoint, joined: Option<Time>) -> Self {
        Self {
            endpoint,
            running: 0,
            health: Health::default(),
            joined,
            listed: true,
            list_leaving: false,
            announced_leaving: None,
            other_load: 0,
            reported: None,
            peaks: [0; 2],
            period: 0,
        }
    }

    /// Counts a request that is sent to the minion as running.
    pub fn start(&mut self, now: Time) {
        self.running += 1;
        self.rotate_peaks(now);
        self.peaks[0] = self.peaks[0].max(self.running);
    }

    /// Records the number of slots that were occupied when the minion sent a response. The number
    /// beyond this instance's own requests is the load of other entry instances.
    ///
    /// Responses overtake each other, so the number may include own requests that have ended since.
    /// Therefore the recent peak of own requests is subtracted. Without that, an instance that is
    /// the only one to use a minion counts up to six of the eight slots as occupied by others.
    pub fn report(&mut self, busy: u32, now: Time) {
        self.rotate_peaks(now);
        let own_peak = self.peaks[0].max(self.peaks[1]).max(self.running);
        self.other_load = busy.saturating_sub(own_peak);
        self.reported = Some(now);
    }

    /// Records that the minion refused a request because all its slots were occupied.
    pub fn report_full(&mut self, now: Time) {
        self.other_load = SLOTS.saturating_sub(self.running);
        self.reported = Some(now);
    }

    /// Starts a new period of `peaks` if the current one has ended.
    fn rotate_peaks(&mut self, now: Time) {
        let period = now.0 / REPORT_TTL_MS;
        if period != self.period {
            let previous = if period == self.period + 1 {
                self.peaks[0]
            } else {
                self.running
            };
            self.peaks = [self.running, previous];
            self.period = period;
        }
    }

    /// Returns the number of slots that this instance knows to be occupied.
    #[must_use]
    pub fn load(&self, now: Time) -> u32 {
        let recent = self
            .reported
            .is_some_and(|at| now.since(at) < REPORT_TTL_MS);
        self.running + if recent { self.other_load } else { 0 }
    }

    /// Returns whether the minion gets no new requests because it is leaving or no longer listed.
    #[must_use]
    pub fn leaving(&self, now: Time) -> bool {
        !self.listed
            || self.list_leaving
            || self
                .announced_leaving
                .is_some_and(|at| now.since(at) < LEAVING_TTL_MS)
    }

    /// Returns whether the minion may get requests: it is neither leaving nor ejected.
    #[must_use]
    pub fn in_service(&self, now: Time) -> bool {
        !self.leaving(now) && !self.health.ejected(now)
    }

    /// Returns the share of the full load that the minion gets, in percent. The share reaches 100
    /// `ramp_ms` milliseconds after the minion entered service or its last ejection ended.
    #[must_use]
    pub fn weight(&self, now: Time, ramp_ms: u64) -> u64 {
        let since = self.joined.max(self.health.ejection_end());
        since.map_or(100, |since| weight(since, now, ramp_ms))
    }

    /// Returns how many more requests the minion can take, considering its share of the full load.
    #[must_use]
    pub fn free(&self, now: Time, ramp_ms: u64) -> u32 {
        if !self.in_service(now) {
            return 0;
        }
        let weighted = self.weight(now, ramp_ms) * u64::from(SLOTS);
        let allowed = u32::try_from(weighted.div_ceil(100)).unwrap_or(SLOTS);
        allowed.saturating_sub(self.load(now))
    }
}
