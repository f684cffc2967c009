//! The limit of log lines about events that others cause.

use std::time::{Duration, Instant};

use primrosebay_member::log_limit::LogLimit;

/// Guards against a log that is flooded by a record that its writer replaces again and again, and
/// against lines that are left out without a trace.
#[test]
fn lines_are_limited_and_those_left_out_are_counted() {
    let mut limit = LogLimit::default();
    let start = Instant::now();
    let admitted = (0..1_000).filter_map(|ms| limit.admit(start + Duration::from_millis(ms)));
    let admitted: Vec<u64> = admitted.collect();
    assert_eq!(admitted, [0; 10]);
    let later = start + Duration::from_secs(10);
    assert_eq!(limit.admit(later), Some(990));
    assert_eq!(limit.admit(later), Some(0));
}
