//! Cost and capacity of placing tasks on a worker.

use primrosebay_state::resources::Resources;

/// Weight of the imbalance between the fractions of cores and of memory that stay free. Free cores
/// without free memory, or the reverse, are hardly usable for later tasks.
const IMBALANCE_WEIGHT: f64 = 1.0;

/// Returns `part / whole`, or 0.0 if `whole` is zero.
#[expect(
    clippy::cast_precision_loss,
    reason = "costs and shares need no more than 52 bits"
)]
pub(super) fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 / whole as f64
    }
}

/// Returns the cost of placing `need` on a worker that has `free` of `total` left; the lowest cost
/// is the best fit.
pub(super) fn cost(total: &Resources, free: &Resources, need: &Resources) -> f64 {
    let remaining = free.minus(need);
    let cores = ratio(remaining.cores_milli, total.cores_milli);
    let memory = ratio(remaining.memory_mib, total.memory_mib);
    cores + memory + IMBALANCE_WEIGHT * (cores - memory).abs()
}

/// Returns how many tasks that need `need` fit into `free`; `u64::MAX` if `need` is zero.
pub(super) fn capacity(free: &Resources, need: &Resources) -> u64 {
    let quotient = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
    quotient(free.cores_milli, need.cores_milli)
        .min(quotient(free.memory_mib, need.memory_mib))
        .min(quotient(free.accelerators, need.accelerators))
}
