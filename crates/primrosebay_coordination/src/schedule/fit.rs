//! How well a task fits onto a worker.

use primrosebay_state::resources::Resources;

/// Weight of the difference between the parts of cores and of memory that stay free. Cores without
/// memory beside them, or the reverse, can hardly be used by any later task.
const FRAGMENT: f64 = 1.0;

/// Returns `part` of `whole`, or 0.0 if there is none of it.
#[expect(
    clippy::cast_precision_loss,
    reason = "scores and shares need no more than 52 bits"
)]
pub(super) fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 / whole as f64
    }
}

/// Returns the cost of placing `need` where `free` of `total` is free; the lowest is the best fit.
pub(super) fn score(total: &Resources, free: &Resources, need: &Resources) -> f64 {
    let left = free.minus(need);
    let cores = ratio(left.cores_milli, total.cores_milli);
    let memory = ratio(left.memory_mib, total.memory_mib);
    cores + memory + FRAGMENT * (cores - memory).abs()
}

/// Returns how often `need` fits into `free`.
pub(super) fn room(free: &Resources, need: &Resources) -> u64 {
    let times = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
    times(free.cores_milli, need.cores_milli)
        .min(times(free.memory_mib, need.memory_mib))
        .min(times(free.accelerators, need.accelerators))
}
