//! The load of a slow log.

use std::time::Duration;

use primrosebay_member::backpressure::may_append_directly;
use rstest::rstest;

/// Guards against instances that fill the queue of a log whose answers take 60 times as long as
/// usual, and against instances that do not append by themselves while a fast log has no leader.
#[rstest]
#[case::fast_log_of_6(5, 6, true)]
#[case::fast_log_of_35(5, 35, true)]
#[case::slow_log_of_6(252, 6, false)]
#[case::slow_log_of_35(252, 35, false)]
#[case::fast_log_of_300(5, 300, false)]
fn instances_append_by_themselves_only_if_the_log_can_take_it(
    #[case] latency_ms: u64,
    #[case] instances: usize,
    #[case] may: bool,
) {
    let latency = Duration::from_millis(latency_ms);
    assert_eq!(may_append_directly(latency, instances), may);
}
