//! Run times and sizes learned from ended tasks.

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;

use super::fleet::{larger, smaller};

/// Maximum number of samples kept per family.
const MAX_SAMPLES: usize = 16;
/// Minimum number of samples before an estimate replaces the declared value.
const MIN_SAMPLES: usize = 4;
/// Margin above the largest observed usage, in percent, because usage reports lag behind.
const SIZE_MARGIN_PERCENT: u64 = 25;
/// A learned size is at least the declared size divided by this factor, and at most multiplied by
/// it. Otherwise a family that was idle whenever it was observed would get next to nothing.
const SIZE_FACTOR: u64 = 4;
/// Maximum number of families; jobs of further families use their declared values.
const MAX_FAMILIES: usize = 20_000;

/// Samples of the ended tasks of one family.
#[derive(Debug)]
struct Family {
    team: Name,
    /// Part of the job name that all jobs of the family share.
    stem: Name,
    /// Ring buffer of the latest run times in milliseconds.
    run_times: Vec<u64>,
    /// Index of the oldest run time in a full buffer.
    next_run: usize,
    /// Ring buffer of the peak usages of the latest tasks that reported usage.
    peaks: Vec<Resources>,
    /// Index of the oldest peak in a full buffer.
    next_peak: usize,
}

/// Run times and sizes by family: the jobs of a team whose names differ only in trailing digits and
/// hyphens.
#[derive(Debug, Default)]
pub(super) struct Estimates {
    families: Vec<Family>,
}

impl Estimates {
    /// Returns the learned run time in milliseconds, or `declared` if there are too few samples.
    pub(super) fn run_ms(&self, team: &str, name: &str, declared: u64) -> u64 {
        let Ok(pos) = self.find(team, name) else {
            return declared;
        };
        let run_times = &self.families[pos].run_times;
        if run_times.len() < MIN_SAMPLES {
            return declared;
        }
        let mut sorted = run_times.clone();
        sorted.sort_unstable();
        // The 80th percentile, because a gang that starts late costs more than a gap left by
        // backfilling.
        sorted[sorted.len() * 4 / 5]
    }

    /// Returns the learned size of a task, or `declared` if there are too few samples. Accelerators
    /// are whole devices and stay as declared.
    pub(super) fn size(&self, team: &str, name: &str, declared: &Resources) -> Resources {
        let Ok(pos) = self.find(team, name) else {
            return *declared;
        };
        let peaks = &self.families[pos].peaks;
        if peaks.len() < MIN_SAMPLES {
            return *declared;
        }
        let largest = peaks
            .iter()
            .fold(Resources::ZERO, |largest, peak| larger(&largest, peak));
        let estimate = Resources {
            cores_milli: largest
                .cores_milli
                .saturating_mul(100 + SIZE_MARGIN_PERCENT)
                / 100,
            memory_mib: largest.memory_mib.saturating_mul(100 + SIZE_MARGIN_PERCENT) / 100,
            accelerators: declared.accelerators,
        };
        let min_size = Resources {
            cores_milli: declared.cores_milli.div_ceil(SIZE_FACTOR),
            memory_mib: declared.memory_mib.div_ceil(SIZE_FACTOR),
            accelerators: declared.accelerators,
        };
        larger(&smaller(&estimate, &declared.times(SIZE_FACTOR)), &min_size)
    }

    /// Adds the samples of an ended task; `peak` is zero if the task reported no usage.
    pub(super) fn record(&mut self, team: &Name, name: &str, run_ms: u64, peak: &Resources) {
        let pos = match self.find(team, name) {
            Ok(pos) => pos,
            Err(_) if self.families.len() >= MAX_FAMILIES => return,
            Err(pos) => {
                let family = Family {
                    team: team.clone(),
                    stem: Name::from(stem(name)),
                    run_times: Vec::new(),
                    next_run: 0,
                    peaks: Vec::new(),
                    next_peak: 0,
                };
                self.families.insert(pos, family);
                pos
            }
        };
        let family = &mut self.families[pos];
        push(&mut family.run_times, &mut family.next_run, run_ms);
        if !peak.is_zero() {
            push(&mut family.peaks, &mut family.next_peak, *peak);
        }
    }

    fn find(&self, team: &str, name: &str) -> Result<usize, usize> {
        let stem = stem(name);
        self.families
            .binary_search_by(|f| (&*f.team, &*f.stem).cmp(&(team, stem)))
    }
}

/// Adds a value to a ring buffer, and overwrites the oldest one if the buffer is full.
fn push<T>(ring: &mut Vec<T>, oldest: &mut usize, value: T) {
    if ring.len() < MAX_SAMPLES {
        ring.push(value);
    } else {
        ring[*oldest] = value;
        *oldest = (*oldest + 1) % MAX_SAMPLES;
    }
}

/// Returns the part of a job name that all jobs of its family share.
fn stem(name: &str) -> &str {
    name.trim_end_matches(|c: char| c.is_ascii_digit() || c == '-')
}
