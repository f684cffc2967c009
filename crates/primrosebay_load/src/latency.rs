//! Latency that the entry instance adds to a request.

use std::io;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::caller::{Target, blocking};
use crate::cell::{Cell, MINIONS};

/// Size of a measurement.
#[derive(Debug, Clone, Copy)]
pub struct LatencyPlan {
    /// Callers that send at the same time, each on its own connection.
    pub callers: usize,
    /// Requests of each caller to each target in each round.
    pub requests: usize,
    /// Rounds; direct and routed requests alternate round by round, so that a change of the
    /// machine's load meets both.
    pub rounds: usize,
    /// Time from one request of a caller to its next.
    pub gap: Duration,
    /// Time that a minion takes.
    pub service: Duration,
}

impl Default for LatencyPlan {
    fn default() -> Self {
        Self {
            callers: 16,
            requests: 250,
            rounds: 10,
            gap: Duration::from_millis(5),
            service: Duration::from_millis(1),
        }
    }
}

/// Latencies in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Percentiles {
    /// Half of the requests took no longer.
    pub p50: u64,
    /// 99 of 100 requests took no longer.
    pub p99: u64,
}

/// Figures of a measurement.
#[derive(Debug, Clone, Copy)]
pub struct LatencyFigures {
    /// Requests sent directly to minions.
    pub direct: Percentiles,
    /// Requests sent through the entry instance.
    pub routed: Percentiles,
}

/// Measures direct and routed requests with the same callers, minions and rate.
///
/// # Errors
/// Returns the error of a connection, or an error if a request was not answered with 200.
pub async fn measure(plan: LatencyPlan) -> io::Result<LatencyFigures> {
    let cell = Cell::start(plan.service).await?;
    let mut recorded = [histogram(), histogram()];
    for round in 0..=plan.rounds {
        let direct = (0..plan.callers).map(|i| cell.minion(i * 3 % MINIONS));
        let routed = (0..plan.callers).map(|_| cell.entry());
        let results = [run(plan, round, direct)?, run(plan, round, routed)?];
        // The first round only opens connections.
        if round > 0 {
            for (all, new) in recorded.iter_mut().zip(&results) {
                all.add(new).map_err(io::Error::other)?;
            }
        }
    }
    let [direct, routed] = recorded.map(|h| Percentiles {
        p50: h.value_at_quantile(0.5),
        p99: h.value_at_quantile(0.99),
    });
    Ok(LatencyFigures { direct, routed })
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}

fn run(
    plan: LatencyPlan,
    round: usize,
    targets: impl Iterator<Item = Target>,
) -> io::Result<Histogram<u64>> {
    let callers: Vec<_> = targets
        .enumerate()
        .map(|(i, target)| {
            thread::spawn(move || {
                // Callers that send at the same moment would measure the queue of their burst.
                let turn = u32::try_from(i).unwrap_or(0);
                let most = u32::try_from(plan.callers).unwrap_or(1);
                thread::sleep(plan.gap * turn / most);
                call(plan, &target, &format!("{round}-{i}"))
            })
        })
        .collect();
    let mut all = histogram();
    for caller in callers {
        let one = caller
            .join()
            .map_err(|_| io::Error::other("a caller failed"))??;
        all.add(&one).map_err(io::Error::other)?;
    }
    Ok(all)
}

fn call(plan: LatencyPlan, target: &Target, name: &str) -> io::Result<Histogram<u64>> {
    let mut stream = TcpStream::connect(target.address)?;
    stream.set_nodelay(true)?;
    let mut recorded = histogram();
    let mut next = Instant::now();
    for i in 0..plan.requests {
        next += plan.gap;
        thread::sleep(next.saturating_duration_since(Instant::now()));
        let request = target.request(&format!("{name}-{i}"), "idempotent", 10_000);
        let start = Instant::now();
        let status = blocking(&mut stream, &request)?.status;
        if status != 200 {
            return Err(io::Error::other(format!("status {status}")));
        }
        let micros = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        recorded.saturating_record(micros);
    }
    Ok(recorded)
}
