//! Expected run times, learned from finished runs.
//!
//! Estimates come from callers and may be off by a large factor. The leader compares them with the
//! run times that it has seen. Nothing here may decide a bound: without evidence, or with wrong
//! evidence, an expected duration is as rough as an estimate.

mod model;
mod normal;

use primrosebay_state::Name;
use primrosebay_state::table::Table;
use primrosebay_state::time::Time;

pub use model::{Prediction, QueueModel, StepRuns};

use crate::record::SavedModel;

/// Largest factor between an estimate and the duration expected from it.
const MAX_FACTOR: u64 = 100;

/// Longest expected duration of runs without an estimate, in milliseconds: ten days, far above any
/// run. Sums with it do not overflow.
const MAX_MS: f64 = 864_000_000.0;

/// Minimum time between two records of a queue's model, in milliseconds. A successor that knows the
/// state of 5 s ago lacks little, and the log has other work.
const WRITE_INTERVAL_MS: u64 = 5_000;

/// Difference of logarithms from which on a model is written again. Smaller ones are chance.
const MATERIAL: f64 = 0.05;

/// Difference of logarithms from which on jobs that wait are put in order again, which takes time.
const LARGE: f64 = 0.2;

/// Weight of the assumption that a minion has the usual speed, in runs.
const PRIOR_RUNS: f64 = 10.0;

/// Number of runs after which a run counts for a third in the speed of its minion.
const HORIZON_RUNS: f64 = 60.0;

/// Bounds of the speed of a minion.
const SPEEDS: (f64, f64) = (0.5, 2.0);

/// What the leader does with the run times of finished runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LearnDurations {
    /// Nothing is learned, and no state is kept.
    Off,
    /// Run times are learned and logged; decisions use the estimates.
    #[default]
    Observe,
    /// Decisions use the learned durations.
    Use,
}

impl LearnDurations {
    /// Returns the value with this name in settings; none if there is none.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "off" => Some(Self::Off),
            "observe" => Some(Self::Observe),
            "use" => Some(Self::Use),
            _ => None,
        }
    }
}

/// A run that ended well, with a known start.
#[derive(Debug, Clone, Copy)]
pub struct FinishedRun<'a> {
    /// Queue of the job.
    pub queue: &'a Name,
    /// Estimated run time, in milliseconds; 0 if unknown.
    pub estimate_ms: u64,
    /// Time from the start to the end, in milliseconds.
    pub ran_ms: u64,
    /// Number of runs of the step that are counted; 1 for a gang.
    pub tasks: u32,
    /// Minion of the run; none for a gang, whose slowest minion is not known.
    pub minion: Option<&'a Name>,
}

/// What is known of a queue, for the log and metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueDurations {
    /// Name of the queue.
    pub queue: Name,
    /// Run time at the usual estimate, as a multiple of the estimate.
    pub factor: f64,
    /// By what power of the estimate the run time grows; 1 if in proportion.
    pub slope: f64,
    /// Standard deviation of ln(run time) around its prediction.
    pub spread: f64,
    /// Evidence, in steps. Older ones count less.
    pub steps: f64,
}

/// Mean of ln(run time / expected run time) on a minion.
#[derive(Debug, Clone, Copy, Default)]
struct Slowness {
    weight: f64,
    sum: f64,
}

/// Model of a queue as the log has it.
#[derive(Debug)]
struct Written {
    model: QueueModel,
    at: Time,
}

/// A model that differs from the one in the log.
#[derive(Debug)]
pub struct ChangedModel {
    /// Name of the queue.
    pub queue: Name,
    /// Model for the log.
    pub model: SavedModel,
    /// Whether the difference matters to jobs that wait.
    pub is_large: bool,
}

/// Expected run times of a cell.
#[derive(Debug, Default)]
pub struct Durations {
    queues: Table<Name, QueueModel>,
    written: Table<Name, Written>,
    minions: Table<Name, Slowness>,
}

#[expect(
    clippy::cast_precision_loss,
    reason = "run times are below 2^52 milliseconds, and an error in the last digits of longer ones does not matter"
)]
fn ln_ms(ms: u64) -> f64 {
    (ms.max(1) as f64).ln()
}

/// Returns a logarithm of milliseconds as an expected duration: within bounds around the estimate,
/// or around any run time if there is none.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates, and the result is within bounds"
)]
fn to_ms(ln_ms: f64, estimate_ms: u64) -> u64 {
    let ms = ln_ms.exp().round();
    if estimate_ms == 0 {
        return ms.clamp(1.0, MAX_MS) as u64;
    }
    let least = estimate_ms.div_ceil(MAX_FACTOR);
    let most = estimate_ms.saturating_mul(MAX_FACTOR);
    (ms as u64).clamp(least, most)
}

fn ln_estimate(estimate_ms: u64) -> Option<f64> {
    (estimate_ms > 0).then(|| ln_ms(estimate_ms))
}

impl StepRuns {
    /// Returns the geometric mean of the run times, in milliseconds; 0 without runs.
    #[must_use]
    pub fn mean_ms(&self) -> u64 {
        if self.count == 0 {
            return 0;
        }
        to_ms(self.mean, 0)
    }
}

impl Durations {
    /// Sets the model of a queue that another leader has learned. Returns whether it could have.
    pub fn restore(&mut self, queue: &Name, saved: &SavedModel, now: Time) -> bool {
        let Some(model) = QueueModel::restore(saved) else {
            return false;
        };
        self.queues.insert(queue.clone(), model);
        let written = Written { model, at: now };
        self.written.insert(queue.clone(), written);
        true
    }

    /// Returns the models to append to the log: those that have changed materially, each at most once
    /// in an interval.
    pub fn take_changed(&mut self, now: Time) -> Vec<ChangedModel> {
        let mut changed = Vec::new();
        for (queue, model) in self.queues.iter().filter(|(_, m)| m.is_usable()) {
            let written = self.written.get(queue);
            if written.is_some_and(|w| now.since(w.at) < WRITE_INTERVAL_MS) {
                continue;
            }
            if written.is_none_or(|w| model.differs(&w.model, MATERIAL)) {
                changed.push(ChangedModel {
                    queue: queue.clone(),
                    model: model.save(),
                    is_large: written.is_none_or(|w| model.differs(&w.model, LARGE)),
                });
            }
        }
        for change in &changed {
            if let Some(model) = self.queues.get(&change.queue).copied() {
                let written = Written { model, at: now };
                self.written.insert(change.queue.clone(), written);
            }
        }
        changed
    }

    /// Learns from a finished run, and adds it to the runs of its step.
    pub fn record(&mut self, run: &FinishedRun, step: &mut StepRuns) {
        let ln_estimate = ln_estimate(run.estimate_ms);
        let ln_ran = ln_ms(run.ran_ms);
        let weight = 1.0 / f64::from(run.tasks.max(1));
        let queue = run.queue.clone();
        let model = self.queues.or_insert(queue, QueueModel::default());
        let prediction = model.predict(ln_estimate);
        let expected = model.predict_in_step(prediction, *step, 0);
        if let (Some(expected), Some(minion)) = (expected, run.minion) {
            let minion = self.minions.or_insert(minion.clone(), Slowness::default());
            let keep = 1.0 - 1.0 / HORIZON_RUNS;
            minion.weight = minion.weight * keep + 1.0;
            minion.sum = minion.sum * keep + expected.clip(ln_ran) - expected.center;
        }
        // The task of a step that has other finished ones shows best how far it deviates.
        let clipped = expected.map_or(ln_ran, |e| e.clip(ln_ran));
        let is_first = step.count() == 0;
        model.add(ln_estimate, if is_first { ln_ran } else { clipped }, weight);
        model.add_within(*step, ln_ran, weight);
        step.add(clipped);
    }

    /// Returns the prediction for a task of a step with finished runs, while `running` others run;
    /// none if nothing is known.
    #[must_use]
    pub fn predict(
        &self,
        queue: &Name,
        estimate_ms: u64,
        step: StepRuns,
        running: u32,
    ) -> Option<Prediction> {
        let unknown = QueueModel::default();
        let model = self.queues.get(queue).unwrap_or(&unknown);
        model.predict_in_step(model.predict(ln_estimate(estimate_ms)), step, running)
    }

    /// Returns the mean duration of runs with this estimate, in milliseconds: the estimate while
    /// there is little evidence.
    #[must_use]
    pub fn expected_ms(&self, queue: &Name, estimate_ms: u64) -> u64 {
        self.expected_in_step_ms(queue, estimate_ms, StepRuns::default(), 0)
    }

    /// Returns the mean duration of runs in a step with finished runs, while `running` others run,
    /// in milliseconds.
    #[must_use]
    pub fn expected_in_step_ms(
        &self,
        queue: &Name,
        estimate_ms: u64,
        step: StepRuns,
        running: u32,
    ) -> u64 {
        match self.predict(queue, estimate_ms, step, running) {
            Some(prediction) if prediction.trust > 0.0 => to_ms(prediction.ln_mean(), estimate_ms),
            _ => estimate_ms,
        }
    }

    /// Returns the duration that a fraction `q` of the runs does not exceed, in milliseconds; 0 if
    /// nothing is known.
    #[must_use]
    pub fn quantile_ms(&self, queue: &Name, estimate_ms: u64, q: f64) -> u64 {
        let prediction = self.predict(queue, estimate_ms, StepRuns::default(), 0);
        prediction.map_or(0, |p| to_ms(p.ln_quantile(q), estimate_ms))
    }

    /// Returns the duration that a fraction `q` of the runs in a step does not exceed, while
    /// `running` others run, in milliseconds; none while there is little evidence.
    #[must_use]
    pub fn quantile_in_step_ms(
        &self,
        queue: &Name,
        estimate_ms: u64,
        step: StepRuns,
        running: u32,
        q: f64,
    ) -> Option<u64> {
        let prediction = self.predict(queue, estimate_ms, step, running);
        let prediction = prediction.filter(|p| p.trust > 0.0)?;
        Some(to_ms(prediction.ln_quantile(q), estimate_ms))
    }

    /// Returns the expected remaining time of a run that has not ended `elapsed_ms` after its start,
    /// in milliseconds; 0 while there is little evidence.
    #[must_use]
    pub fn remaining_ms(&self, queue: &Name, estimate_ms: u64, elapsed_ms: u64) -> u64 {
        self.remaining_in_step_ms(queue, estimate_ms, StepRuns::default(), elapsed_ms)
    }

    /// Returns the expected remaining time of such a run in a step with finished runs, in
    /// milliseconds; 0 while there is little evidence.
    #[must_use]
    pub fn remaining_in_step_ms(
        &self,
        queue: &Name,
        estimate_ms: u64,
        step: StepRuns,
        elapsed_ms: u64,
    ) -> u64 {
        match self.predict(queue, estimate_ms, step, 0) {
            Some(prediction) if prediction.trust > 0.0 => {
                let remaining = prediction.remaining(ln_ms(elapsed_ms));
                to_ms(remaining.ln(), estimate_ms)
            }
            _ => 0,
        }
    }

    /// Returns the duration on a minion of runs that take `duration_ms` on a usual one, in
    /// milliseconds.
    #[must_use]
    pub fn on_minion_ms(&self, minion: &Name, duration_ms: u64) -> u64 {
        if duration_ms == 0 {
            return 0;
        }
        to_ms(ln_ms(duration_ms) - self.speed(minion).ln(), duration_ms)
    }

    /// Returns the speed of a minion, between 0.5 and 2: 1 if its runs take as long as expected, and
    /// more if they are shorter.
    #[must_use]
    pub fn speed(&self, minion: &Name) -> f64 {
        let speed = |s: &Slowness| (-s.sum / (s.weight + PRIOR_RUNS)).exp();
        let speed = self.minions.get(minion).map_or(1.0, speed);
        speed.clamp(SPEEDS.0, SPEEDS.1)
    }

    /// Forgets the speed of a minion that has left or restarted.
    pub fn forget_minion(&mut self, minion: &Name) {
        self.minions.remove(minion);
    }

    /// Returns what is known of each queue.
    #[must_use]
    pub fn report(&self) -> Vec<QueueDurations> {
        let queues = self.queues.iter();
        let report = |(queue, model): (&Name, &QueueModel)| QueueDurations {
            queue: queue.clone(),
            factor: model.shift().exp(),
            slope: model.slope(),
            spread: model.spread(),
            steps: model.steps(),
        };
        queues.map(report).collect()
    }
}
