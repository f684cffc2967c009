//! Goodput under overload: requests answered before their deadlines when callers send more than the
//! minions can serve.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use async_std::task;

use crate::caller::{Outcome, Target, send};
use crate::cell::{Cell, MINIONS};

/// Number of slots of a minion, as in the default settings of the stand-in.
const SLOTS: u64 = 8;

/// Parameters of a measurement.
#[derive(Debug, Clone, Copy)]
pub struct GoodputPlan {
    /// Time that a minion takes for each request.
    pub service_time: Duration,
    /// Offered load in percent of the minions' capacity.
    pub load: u64,
    /// Time from the sending of a request to its deadline.
    pub deadline: Duration,
    /// Time for which requests are sent before the measurement.
    pub warmup: Duration,
    /// Time of the measurement, in which requests and answers are counted.
    pub duration: Duration,
}

impl Default for GoodputPlan {
    fn default() -> Self {
        Self {
            service_time: Duration::from_millis(200),
            load: 200,
            deadline: Duration::from_millis(800),
            warmup: Duration::from_secs(3),
            duration: Duration::from_secs(10),
        }
    }
}

/// Results of a measurement.
#[derive(Debug, Clone, Copy)]
pub struct GoodputFigures {
    /// Maximum number of requests per second that the minions can serve.
    pub capacity: u64,
    /// Requests sent per second.
    pub offered: u64,
    /// Requests per second that were answered with 200 before their deadlines.
    pub good: u64,
    /// Requests per second whose answer said that they were not run.
    pub refused: u64,
    /// Requests per second with any other result, such as late answers, lost answers and broken
    /// connections.
    pub wasted: u64,
    /// Goodput in tenths of a percent of the capacity.
    pub permille: u64,
}

#[derive(Debug, Default)]
struct Counts {
    /// 1 during the measurement, otherwise 0. Each event adds this value to its counter.
    increment: AtomicU64,
    sent: AtomicU64,
    good: AtomicU64,
    refused: AtomicU64,
    wasted: AtomicU64,
}

/// Measures the goodput. Requests are sent at a fixed rate, whether or not earlier ones were
/// answered.
///
/// # Errors
/// Returns an error if the cell does not start.
pub async fn measure(plan: GoodputPlan) -> io::Result<GoodputFigures> {
    let cell = Cell::start(plan.service_time).await?;
    let capacity = MINIONS as u64 * SLOTS * 1_000_000 / micros(plan.service_time);
    let rate = capacity * plan.load / 100;
    let callers = Arc::new(Callers {
        target: cell.entry_target(),
        plan,
        counts: Counts::default(),
        idle: Mutex::default(),
    });
    let start = Instant::now();
    let total = rate * micros(plan.warmup + plan.duration) / 1_000_000;
    let first_counted = rate * micros(plan.warmup) / 1_000_000;
    for i in 0..total {
        let due = start + Duration::from_micros(i * 1_000_000 / rate);
        task::sleep(due.saturating_duration_since(Instant::now())).await;
        if i == first_counted {
            callers.counts.increment.store(1, Ordering::Relaxed);
        }
        task::spawn(Arc::clone(&callers).call(i));
    }
    callers.counts.increment.store(0, Ordering::Relaxed);
    let per_second = |count: &AtomicU64| {
        count.load(Ordering::Relaxed) * 1_000_000
            / micros(start.elapsed().saturating_sub(plan.warmup))
    };
    let counts = &callers.counts;
    let good = per_second(&counts.good);
    Ok(GoodputFigures {
        capacity,
        offered: per_second(&counts.sent),
        good,
        refused: per_second(&counts.refused),
        wasted: per_second(&counts.wasted),
        permille: good * 1_000 / capacity,
    })
}

/// Callers that send concurrently and share a pool of connections.
struct Callers {
    target: Target,
    plan: GoodputPlan,
    counts: Counts,
    /// Open connections without a request in flight.
    idle: Mutex<Vec<TcpStream>>,
}

impl Callers {
    /// Sends request number `i` and counts its result.
    async fn call(self: Arc<Self>, i: u64) {
        let start = Instant::now();
        self.count(&self.counts.sent);
        let deadline = u64::try_from(self.plan.deadline.as_millis()).unwrap_or(u64::MAX);
        let request = self.target.request(&i.to_string(), "once", deadline);
        let outcome = self.exchange(&request).await;
        let in_time = start.elapsed() <= self.plan.deadline;
        self.count(match outcome {
            Ok(outcome) if outcome.status == 200 && in_time => &self.counts.good,
            Ok(outcome) if outcome.not_run => &self.counts.refused,
            _ => &self.counts.wasted,
        });
    }

    /// Sends a request on an idle connection, or on a new one if there is none.
    async fn exchange(&self, request: &[u8]) -> io::Result<Outcome> {
        let idle = self.idle().pop();
        let stream = match idle {
            Some(stream) => stream,
            None => TcpStream::connect(self.target.address).await?,
        };
        let outcome = send(&stream, request).await?;
        self.idle().push(stream);
        Ok(outcome)
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, Vec<TcpStream>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, counter: &AtomicU64) {
        counter.fetch_add(
            self.counts.increment.load(Ordering::Relaxed),
            Ordering::Relaxed,
        );
    }
}

/// Returns a duration in microseconds, but at least 1, because it is used as a divisor.
fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros())
        .unwrap_or(u64::MAX)
        .max(1)
}
