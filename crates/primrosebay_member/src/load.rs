//! Reports the processor time of an instance, and how late its tasks run.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use primrosebay_transport::clock::processor_time;

use crate::lead::millis;
use crate::shared::Shared;

/// Interval of the report.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of the timer whose lateness is reported.
const TIMER_INTERVAL: Duration = Duration::from_millis(50);

/// Logs the load of the instance once per interval until the task is cancelled. An instance that
/// relays to others does little, so it reports nothing.
pub(crate) async fn run<P>(shared: Arc<Shared<P>>) {
    let mut reported = Instant::now();
    let mut used = processor_time();
    let mut late = Duration::ZERO;
    loop {
        let due = Instant::now() + TIMER_INTERVAL;
        task::sleep(TIMER_INTERVAL).await;
        let now = Instant::now();
        late = late.max(now.saturating_duration_since(due));
        let elapsed = now.saturating_duration_since(reported);
        if elapsed < REPORT_INTERVAL {
            continue;
        }
        let total = processor_time();
        if shared.follows_log() {
            log::info!(
                cpu_ms = millis(total.saturating_sub(used)), elapsed_ms = millis(elapsed),
                late_ms = millis(late), cores_milli = shared.settings.cores_milli,
                leading = shared.is_leading();
                "member: load"
            );
        }
        (reported, used, late) = (now, total, Duration::ZERO);
    }
}
