//! Model of the run times of one queue.

use super::normal;
use crate::record::SavedModel;

/// Weight of the assumption that estimates are right, in steps. Queues with good estimates keep
/// their behaviour while a few steps have ended by chance early or late.
const PRIOR_STEPS: f64 = 4.0;

/// Assumed variance of ln(estimate), which gives the assumed slope of 1 its weight.
const PRIOR_VARIANCE: f64 = 0.25;

/// Assumed standard deviation of ln(run time / estimate). A wrong estimate is off by half.
const PRIOR_SPREAD: f64 = 0.5;

/// Assumed standard deviation of ln(run time) among the tasks of a step.
const PRIOR_WITHIN: f64 = 0.25;

/// Number of steps after which a run counts for a third: enough for a slope within 0.05, and few
/// enough to follow a change of the callers within minutes.
const HORIZON_STEPS: f64 = 300.0;

/// Number of steps below which the estimate is used as it is.
const MIN_STEPS: f64 = 5.0;

/// Number of standard deviations to which a run's deviation is clipped. One task in eighty of a
/// log-normal workload deviates more, and so do tasks that hang.
const CLIP_SPREADS: f64 = 2.5;

/// Bounds of the standard deviation of ln(run time). Below the first, message delays dominate; above
/// the second, the mean of a log-normal distribution exceeds all observed runs.
const SPREADS: (f64, f64) = (0.05, 1.2);

/// Smallest variance between the steps of a queue.
const MIN_BETWEEN: f64 = 0.001;

/// Factor by which the evidence has grown when a model differs for that alone.
const GROWTH: f64 = 1.5;

/// Bounds of the slope. A longer estimate never means a shorter run.
const SLOPES: (f64, f64) = (0.0, 1.5);

/// Number of standard deviations above which the expected remaining time follows the asymptotic
/// law of the log-normal distribution, where the approximations of the tail are too coarse.
const TAIL_SPREADS: f64 = 2.5;

/// Distribution of the logarithm of a run time in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prediction {
    /// Mean of ln(run time), which belongs to the median run time.
    pub(super) center: f64,
    /// Standard deviation of ln(run time).
    pub(super) spread: f64,
    /// How far the prediction rests on finished runs, between 0 and 1.
    pub(super) trust: f64,
}

impl Prediction {
    /// Returns ln(mean run time). Without evidence it is the estimate itself.
    pub(super) fn ln_mean(&self) -> f64 {
        self.center + self.trust * self.spread * self.spread / 2.0
    }

    /// Returns the logarithm of the run time that a fraction `q` of the runs does not exceed.
    pub(super) fn ln_quantile(&self, q: f64) -> f64 {
        self.center + self.spread * normal::quantile(q)
    }

    /// Returns the expected remaining time of a run that has taken as long as the logarithm
    /// `ln_elapsed` tells, in milliseconds.
    pub(super) fn remaining(&self, ln_elapsed: f64) -> f64 {
        let elapsed = ln_elapsed.exp();
        let z = (ln_elapsed - self.center) / self.spread;
        if z > TAIL_SPREADS {
            return elapsed * self.spread / z;
        }
        let ln_mean = self.center + self.spread * self.spread / 2.0;
        let beyond = normal::probability(self.spread - z) / normal::probability(-z);
        let least = elapsed * self.spread / TAIL_SPREADS;
        (ln_mean.exp() * beyond - elapsed).max(least)
    }

    /// Returns ln(run time), clipped to what the prediction allows.
    pub(super) fn clip(&self, ln_ran: f64) -> f64 {
        let margin = CLIP_SPREADS * self.spread;
        ln_ran.clamp(self.center - margin, self.center + margin)
    }
}

/// Finished runs of one step.
#[derive(Debug, Clone, Copy, Default)]
pub struct StepRuns {
    /// Number of finished runs.
    pub(super) count: u32,
    /// Mean of ln(run time) over them, clipped.
    pub(super) mean: f64,
}

impl StepRuns {
    /// Returns the number of finished runs.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Adds a run.
    pub(super) fn add(&mut self, ln_ran: f64) {
        self.count = self.count.saturating_add(1);
        self.mean += (ln_ran - self.mean) / f64::from(self.count);
    }
}

/// Weighted mean and variance of ln(run time), with forgetting.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Moments {
    pub(super) weight: f64,
    pub(super) mean: f64,
    pub(super) squares: f64,
}

impl Moments {
    fn add(&mut self, value: f64, weight: f64) {
        let keep = 1.0 - weight / HORIZON_STEPS;
        self.weight = self.weight * keep + weight;
        let delta = value - self.mean;
        self.mean += delta * weight / self.weight;
        self.squares = self.squares * keep + weight * delta * (value - self.mean);
    }

    /// Returns the standard deviation, drawn to `prior` while there is little evidence.
    fn spread(&self, prior: f64) -> f64 {
        let squares = self.squares + PRIOR_STEPS * prior * prior;
        (squares / (self.weight + PRIOR_STEPS)).sqrt()
    }
}

/// What the finished runs of a queue show. All weights are in steps: the runs of a step share its
/// estimate and deviate alike, so they count as one together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QueueModel {
    /// Sum of the weights of runs with an estimate.
    pub(super) weight: f64,
    /// Mean of ln(estimate).
    pub(super) mean_x: f64,
    /// Mean of ln(run time).
    pub(super) mean_y: f64,
    /// Weighted sum of the squared deviations of ln(estimate).
    pub(super) squares_x: f64,
    /// Weighted sum of the products of both deviations.
    pub(super) products: f64,
    /// Weighted sum of the squared deviations of ln(run time).
    pub(super) squares_y: f64,
    /// All runs, with and without an estimate.
    pub(super) all: Moments,
    /// Weight of the runs in `within`.
    pub(super) pairs: f64,
    /// Weighted sum of the squared deviations of runs from earlier ones of their step.
    pub(super) within: f64,
}

impl QueueModel {
    /// Returns the weight of the evidence, in steps.
    pub(super) fn steps(&self) -> f64 {
        self.all.weight
    }

    /// Returns ln(run time / estimate) at the mean estimate.
    pub(super) fn shift(&self) -> f64 {
        (self.mean_y - self.mean_x) * self.weight / (self.weight + PRIOR_STEPS)
    }

    pub(super) fn slope(&self) -> f64 {
        let prior = PRIOR_STEPS * PRIOR_VARIANCE;
        let slope = (self.products + prior) / (self.squares_x + prior);
        slope.clamp(SLOPES.0, SLOPES.1)
    }

    /// Returns the standard deviation of ln(run time) around its prediction.
    pub(super) fn spread(&self) -> f64 {
        let slope = self.slope();
        let explained = slope * (2.0 * self.products - slope * self.squares_x);
        let residuals = (self.squares_y - explained).max(0.0);
        let squares = residuals + PRIOR_STEPS * PRIOR_SPREAD * PRIOR_SPREAD;
        let spread = (squares / (self.weight + PRIOR_STEPS)).sqrt();
        spread.clamp(SPREADS.0, SPREADS.1)
    }

    /// Returns the standard deviation of ln(run time) among the tasks of a step.
    fn within_spread(&self) -> f64 {
        let squares = self.within + PRIOR_STEPS * PRIOR_WITHIN * PRIOR_WITHIN;
        let spread = (squares / (self.pairs + PRIOR_STEPS)).sqrt();
        spread.clamp(SPREADS.0, SPREADS.1)
    }

    /// Returns the prediction from ln(estimate), from the first run on.
    fn regression(&self, ln_estimate: f64) -> Prediction {
        let trust = self.weight / (self.weight + PRIOR_STEPS);
        let center = if self.weight > 0.0 {
            self.mean_x + self.shift() + self.slope() * (ln_estimate - self.mean_x)
        } else {
            ln_estimate
        };
        Prediction {
            center,
            spread: self.spread(),
            trust,
        }
    }

    /// Returns the prediction for runs without an estimate; none without evidence.
    fn blind(&self) -> Option<Prediction> {
        (self.all.weight >= MIN_STEPS).then(|| Prediction {
            center: self.all.mean,
            spread: self.all.spread(PRIOR_SPREAD).clamp(SPREADS.0, SPREADS.1),
            trust: self.all.weight / (self.all.weight + PRIOR_STEPS),
        })
    }

    /// Returns the prediction of a run; none if it has no estimate and little is known of the queue.
    pub(super) fn predict(&self, ln_estimate: Option<f64>) -> Option<Prediction> {
        let Some(ln_estimate) = ln_estimate else {
            return self.blind();
        };
        if self.weight >= MIN_STEPS {
            return Some(self.regression(ln_estimate));
        }
        Some(Prediction {
            center: ln_estimate,
            spread: PRIOR_SPREAD,
            trust: 0.0,
        })
    }

    /// Returns the prediction of a run in a step with finished runs, while `running` others run.
    ///
    /// The finished runs are the shortest ones of the step, by which their mean is corrected.
    pub(super) fn predict_in_step(
        &self,
        queue: Option<Prediction>,
        runs: StepRuns,
        running: u32,
    ) -> Option<Prediction> {
        if runs.count == 0 {
            return queue;
        }
        let within = self.within_spread();
        let count = f64::from(runs.count);
        let ended = count / (count + f64::from(running));
        let hidden = if running == 0 {
            0.0
        } else {
            within * normal::density(normal::quantile(ended)) / ended
        };
        let mean = runs.mean + hidden;
        let Some(queue) = queue else {
            return Some(Prediction {
                center: mean,
                spread: within,
                trust: count / (count + 1.0),
            });
        };
        let between = (queue.spread.powi(2) - within.powi(2)).max(MIN_BETWEEN);
        let gain = count / (count + within.powi(2) / between);
        Some(Prediction {
            center: queue.center + gain * (mean - queue.center),
            spread: (within.powi(2) + between * (1.0 - gain)).sqrt(),
            trust: queue.trust.max(gain),
        })
    }

    /// Adds a finished run of the given weight.
    pub(super) fn add(&mut self, ln_estimate: Option<f64>, ln_ran: f64, weight: f64) {
        let clipped = self.blind().map_or(ln_ran, |b| b.clip(ln_ran));
        self.all.add(clipped, weight);
        let Some(x) = ln_estimate else {
            return;
        };
        let prediction = self.regression(x);
        // The prediction itself is wrong while it rests on few runs.
        let margin = CLIP_SPREADS * prediction.spread * (1.0 + PRIOR_STEPS / self.weight);
        let y = ln_ran.clamp(prediction.center - margin, prediction.center + margin);
        let keep = 1.0 - weight / HORIZON_STEPS;
        self.weight = self.weight * keep + weight;
        let (dx, dy) = (x - self.mean_x, y - self.mean_y);
        self.mean_x += dx * weight / self.weight;
        self.mean_y += dy * weight / self.weight;
        self.squares_x = self.squares_x * keep + weight * dx * (x - self.mean_x);
        self.squares_y = self.squares_y * keep + weight * dy * (y - self.mean_y);
        self.products = self.products * keep + weight * dx * (y - self.mean_y);
    }

    /// Adds the deviation of a run from the mean of earlier ones of its step.
    pub(super) fn add_within(&mut self, runs: StepRuns, ln_ran: f64, weight: f64) {
        if runs.count == 0 {
            return;
        }
        let margin = CLIP_SPREADS * self.within_spread();
        let delta = (ln_ran - runs.mean).clamp(-margin, margin);
        let count = f64::from(runs.count);
        let keep = 1.0 - weight / HORIZON_STEPS;
        self.pairs = self.pairs * keep + weight;
        // The mean of the earlier runs deviates as well.
        let share = count / (count + 1.0);
        self.within = self.within * keep + weight * share * delta * delta;
    }

    /// Returns whether the predictions of the two models differ by more than `tolerance`, or this one
    /// rests on far more evidence.
    pub(super) fn differs(&self, other: &Self, tolerance: f64) -> bool {
        let pairs = [
            (self.shift(), other.shift()),
            (self.slope(), other.slope()),
            (self.spread().ln(), other.spread().ln()),
            (self.all.mean, other.all.mean),
        ];
        let grown = self.all.weight > GROWTH * other.all.weight;
        grown || pairs.iter().any(|(a, b)| (a - b).abs() > tolerance)
    }

    /// Returns whether there is enough evidence to use the model.
    pub(super) fn is_usable(&self) -> bool {
        self.all.weight >= MIN_STEPS
    }

    /// Returns the model for the log.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "single precision is far more than the evidence has"
    )]
    pub(super) fn save(&self) -> SavedModel {
        SavedModel {
            weight: self.weight as f32,
            mean_x: self.mean_x as f32,
            mean_y: self.mean_y as f32,
            squares_x: self.squares_x as f32,
            squares_y: self.squares_y as f32,
            products: self.products as f32,
            all_weight: self.all.weight as f32,
            all_mean: self.all.mean as f32,
            all_squares: self.all.squares as f32,
            pairs: self.pairs as f32,
            within: self.within as f32,
        }
    }

    /// Returns a model from the log; none if no leader can have learned it.
    pub(super) fn restore(saved: &SavedModel) -> Option<Self> {
        saved.is_valid().then(|| Self {
            weight: saved.weight.into(),
            mean_x: saved.mean_x.into(),
            mean_y: saved.mean_y.into(),
            squares_x: saved.squares_x.into(),
            squares_y: saved.squares_y.into(),
            products: saved.products.into(),
            all: Moments {
                weight: saved.all_weight.into(),
                mean: saved.all_mean.into(),
                squares: saved.all_squares.into(),
            },
            pairs: saved.pairs.into(),
            within: saved.within.into(),
        })
    }
}
