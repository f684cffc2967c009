//! Approximations of the normal distribution.

/// Returns the value that a standard normal variable falls below with probability `q`. The
/// approximation by Tukey's lambda distribution is off by less than 0.01 between 0.01 and 0.99, and
/// strictly increasing.
pub(super) fn quantile(q: f64) -> f64 {
    let q = q.clamp(0.0, 1.0);
    4.91 * (q.powf(0.14) - (1.0 - q).powf(0.14))
}

/// Returns the probability that a standard normal variable falls below `z`. The logistic
/// approximation is off by less than 0.0002.
pub(super) fn probability(z: f64) -> f64 {
    1.0 / (1.0 + (-1.5976 * z - 0.070_566 * z.powi(3)).exp())
}

/// Returns the density of a standard normal variable at `z`.
pub(super) fn density(z: f64) -> f64 {
    (-z * z / 2.0).exp() / (2.0 * std::f64::consts::PI).sqrt()
}
