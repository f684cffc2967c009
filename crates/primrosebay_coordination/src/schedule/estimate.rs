//! Run times and sizes learned from ended tasks.

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;

use super::fleet::{larger, smaller};

/// Ended tasks of a family that are remembered.
const KEPT: usize = 16;
/// Ended tasks of a family before its estimate replaces the declared run time.
const ENOUGH: usize = 4;
/// What is granted beyond the largest use seen, in percent, as reports of use lag behind.
const MARGIN_PERCENT: u64 = 25;
/// A learned size is at least this part of the declared one, and at most this multiple of it. A
/// family that was idle whenever it was observed would otherwise get next to nothing.
const SIZE_FACTOR: u64 = 4;
/// Most families; further ones use declared run times.
const FAMILIES: usize = 20_000;

#[derive(Debug)]
struct Family {
    team: Name,
    stem: Name,
    /// The latest run times in milliseconds, in a ring.
    runs: Vec<u64>,
    next: usize,
    /// The largest use of each of the latest tasks for which use was reported, in a ring.
    peaks: Vec<Resources>,
    next_peak: usize,
}

/// Run times and sizes by family: the jobs of a team whose names differ only in trailing digits and hyphens.
#[derive(Debug, Default)]
pub(super) struct Estimates {
    families: Vec<Family>,
}

impl Estimates {
    /// Returns the learned run time in milliseconds, or `declared` if too little is known.
    pub(super) fn run_ms(&self, team: &str, name: &str, declared: u64) -> u64 {
        let Ok(at) = self.find(team, name) else {
            return declared;
        };
        let runs = &self.families[at].runs;
        if runs.len() < ENOUGH {
            return declared;
        }
        let mut sorted = runs.clone();
        sorted.sort_unstable();
        // A high percentile, because a gang that starts late costs more than a hole in backfilling.
        sorted[sorted.len() * 4 / 5]
    }

    /// Returns the learned size of a task, or `declared` if too little is known. Accelerators are
    /// whole devices and stay as declared.
    pub(super) fn size(&self, team: &str, name: &str, declared: &Resources) -> Resources {
        let Ok(at) = self.find(team, name) else {
            return *declared;
        };
        let peaks = &self.families[at].peaks;
        if peaks.len() < ENOUGH {
            return *declared;
        }
        let most = peaks
            .iter()
            .fold(Resources::ZERO, |most, peak| larger(&most, peak));
        let wanted = Resources {
            cores_milli: most.cores_milli.saturating_mul(100 + MARGIN_PERCENT) / 100,
            memory_mib: most.memory_mib.saturating_mul(100 + MARGIN_PERCENT) / 100,
            accelerators: declared.accelerators,
        };
        let least = Resources {
            cores_milli: declared.cores_milli.div_ceil(SIZE_FACTOR),
            memory_mib: declared.memory_mib.div_ceil(SIZE_FACTOR),
            accelerators: declared.accelerators,
        };
        larger(&smaller(&wanted, &declared.times(SIZE_FACTOR)), &least)
    }

    /// Learns from a task that ended; `peak` is zero if its use was not reported.
    pub(super) fn learn(&mut self, team: &Name, name: &str, run_ms: u64, peak: &Resources) {
        let at = match self.find(team, name) {
            Ok(at) => at,
            Err(_) if self.families.len() >= FAMILIES => return,
            Err(at) => {
                let family = Family {
                    team: team.clone(),
                    stem: Name::from(stem(name)),
                    runs: Vec::new(),
                    next: 0,
                    peaks: Vec::new(),
                    next_peak: 0,
                };
                self.families.insert(at, family);
                at
            }
        };
        let family = &mut self.families[at];
        keep(&mut family.runs, &mut family.next, run_ms);
        if !peak.is_zero() {
            keep(&mut family.peaks, &mut family.next_peak, *peak);
        }
    }

    fn find(&self, team: &str, name: &str) -> Result<usize, usize> {
        let stem = stem(name);
        self.families
            .binary_search_by(|f| (&*f.team, &*f.stem).cmp(&(team, stem)))
    }
}

/// Adds a value to a ring and drops the oldest if it is full.
fn keep<T>(ring: &mut Vec<T>, next: &mut usize, value: T) {
    if ring.len() < KEPT {
        ring.push(value);
    } else {
        ring[*next] = value;
        *next = (*next + 1) % KEPT;
    }
}

/// Returns the part of a job's name that its family has in common.
fn stem(name: &str) -> &str {
    name.trim_end_matches(|c: char| c.is_ascii_digit() || c == '-')
}
