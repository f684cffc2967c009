//! Latency that the entry instance adds to a request.

use std::io;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::caller::{Target, send_blocking};
use crate::cell::{Cell, MINIONS};

/// Parameters of a measurement.
#[derive(Debug, Clone, Copy)]
pub struct LatencyPlan {
    /// Number of concurrent callers, each with its own connection.
    pub callers: usize,
    /// Number of requests that each caller sends in each round directly, and again through the
    /// entry instance.
    pub requests: usize,
    /// Number of measured rounds. Each has direct and routed requests, so that a change of the
    /// machine's load affects both.
    pub rounds: usize,
    /// Time between the starts of two requests of a caller.
    pub interval: Duration,
    /// Time that a minion takes for each request.
    pub service_time: Duration,
}

impl Default for LatencyPlan {
    fn default() -> Self {
        Self {
            callers: 16,
            requests: 250,
            rounds: 10,
            interval: Duration::from_millis(5),
            service_time: Duration::from_millis(1),
        }
    }
}

/// Percentiles of the latency in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Percentiles {
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
}

/// Results of a measurement.
#[derive(Debug, Clone, Copy)]
pub struct LatencyFigures {
    /// Requests sent directly to minions.
    pub direct: Percentiles,
    /// Requests sent through the entry instance.
    pub routed: Percentiles,
}

/// Measures the latency of direct and routed requests with the same callers, minions and rate.
///
/// # Errors
/// Returns an error if the cell does not start, a connection fails or a request is not answered
/// with 200.
pub async fn measure(plan: LatencyPlan) -> io::Result<LatencyFigures> {
    let cell = Cell::start(plan.service_time).await?;
    let mut latencies = [histogram(), histogram()];
    for round in 0..=plan.rounds {
        let direct = (0..plan.callers).map(|i| cell.minion_target(i * 3 % MINIONS));
        let routed = (0..plan.callers).map(|_| cell.entry_target());
        let results = [
            run_callers(plan, round, direct)?,
            run_callers(plan, round, routed)?,
        ];
        // Round 0 is a warm-up, in which the entry instance connects to the minions.
        if round > 0 {
            for (total, result) in latencies.iter_mut().zip(&results) {
                total.add(result).map_err(io::Error::other)?;
            }
        }
    }
    let [direct, routed] = latencies.map(|h| Percentiles {
        p50: h.value_at_quantile(0.5),
        p99: h.value_at_quantile(0.99),
    });
    Ok(LatencyFigures { direct, routed })
}

/// Returns a histogram of microseconds up to one minute, with three significant digits.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}

/// Runs one caller per target concurrently and returns the latencies of all.
fn run_callers(
    plan: LatencyPlan,
    round: usize,
    targets: impl Iterator<Item = Target>,
) -> io::Result<Histogram<u64>> {
    let callers: Vec<_> = targets
        .enumerate()
        .map(|(i, target)| {
            thread::spawn(move || {
                // Staggers the callers: if all sent at the same moment, they would measure the
                // queueing of their own burst.
                let index = u32::try_from(i).unwrap_or(0);
                let count = u32::try_from(plan.callers).unwrap_or(1);
                thread::sleep(plan.interval * index / count);
                run_caller(plan, &target, &format!("{round}-{i}"))
            })
        })
        .collect();
    let mut total = histogram();
    for caller in callers {
        let result = caller
            .join()
            .map_err(|_| io::Error::other("a caller thread panicked"))??;
        total.add(&result).map_err(io::Error::other)?;
    }
    Ok(total)
}

/// Sends the requests of one caller at a fixed interval and returns their latencies.
fn run_caller(plan: LatencyPlan, target: &Target, name: &str) -> io::Result<Histogram<u64>> {
    let mut stream = TcpStream::connect(target.address)?;
    stream.set_nodelay(true)?;
    let mut latencies = histogram();
    let mut next = Instant::now();
    for i in 0..plan.requests {
        next += plan.interval;
        thread::sleep(next.saturating_duration_since(Instant::now()));
        let request = target.request(&format!("{name}-{i}"), "idempotent", 10_000);
        let start = Instant::now();
        let status = send_blocking(&mut stream, &request)?.status;
        if status != 200 {
            return Err(io::Error::other(format!(
                "a request was answered with status {status} instead of 200"
            )));
        }
        let micros = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        latencies.saturating_record(micros);
    }
    Ok(latencies)
}
