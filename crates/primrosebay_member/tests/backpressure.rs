//! Direct appends of instances to a fast and to a slow log.

use std::time::Duration;

use primrosebay_member::backpressure::may_append_directly;
use rstest::rstest;

/// Guards against instances that overload a log whose answers take about 60 times as long as usual
/// (252 ms instead of 4 ms), and against instances that do not append directly to a fast log while
/// the cell has no leader.
#[rstest]
#[case::fast_log_of_6(5, 6, true)]
#[case::fast_log_of_35(5, 35, true)]
#[case::slow_log_of_6(252, 6, false)]
#[case::slow_log_of_35(252, 35, false)]
#[case::fast_log_of_300(5, 300, false)]
fn direct_append_requires_log_capacity(
    #[case] latency_ms: u64,
    #[case] instances: usize,
    #[case] expected: bool,
) {
    let latency = Duration::from_millis(latency_ms);
    assert_eq!(may_append_directly(latency, instances), expected);
}
