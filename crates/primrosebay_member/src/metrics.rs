//! Metrics of an instance.

use std::sync::Arc;
use std::time::Duration;

use opentelemetry::metrics::{Counter, Gauge, Histogram};
use opentelemetry::{KeyValue, global};
use primrosebay_cell::leader::durations::QueueDurations;
use primrosebay_cell::leader::{CallUsage, Counts, IdleCounts, PreemptionCounts};
use primrosebay_transport::budget::{Budget, Cause};
use primrosebay_transport::metrics as registry;

use crate::platform::AppendError;
use crate::submit::ForwardResult;

/// The metric instruments of an instance.
#[derive(Debug)]
pub struct Metrics {
    answers: Counter<u64>,
    latency: Histogram<f64>,
    appends: Counter<u64>,
    leader: Gauge<u64>,
    advice: Counter<u64>,
    idle: Gauge<u64>,
    idle_ms: Gauge<u64>,
    run_factor: Gauge<f64>,
    run_spread: Gauge<f64>,
    preemptions: Counter<u64>,
    repeated: Counter<u64>,
    lost_work: Counter<u64>,
}

impl Default for Metrics {
    fn default() -> Self {
        registry::install();
        let meter = global::meter("primrosebay");
        Self {
            answers: meter
                .u64_counter("calls")
                .with_description("Answers to callers, by call and status.")
                .build(),
            latency: meter
                .f64_histogram("call_ms")
                .with_description("Milliseconds until the answer to a caller, by call.")
                .with_boundaries(vec![
                    2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 250.0, 1000.0, 3000.0,
                ])
                .build(),
            appends: meter
                .u64_counter("appends")
                .with_description("Appends to the log, by purpose and result.")
                .build(),
            leader: meter
                .u64_gauge("leader")
                .with_description("What the leader knows, by kind.")
                .build(),
            advice: meter
                .u64_counter("advice")
                .with_description("Advice calls of the leader and their use, by queue and kind.")
                .build(),
            idle: meter
                .u64_gauge("idle_jobs")
                .with_description("Jobs that could run and have nothing running, by cause.")
                .build(),
            idle_ms: meter
                .u64_gauge("idle_ms")
                .with_description("Longest time for which one of these jobs has been idle.")
                .build(),
            run_factor: meter
                .f64_gauge("run_factor")
                .with_description("Run time as a multiple of the estimate, by queue.")
                .build(),
            run_spread: meter
                .f64_gauge("run_spread")
                .with_description("Standard deviation of ln(run time) from the expected, by queue.")
                .build(),
            preemptions: meter
                .u64_counter("preemptions")
                .with_description("Preempted runs, by both queues and what the preemptor lacked.")
                .build(),
            repeated: meter
                .u64_counter("repeated_preemptions")
                .with_description("Preempted runs of tasks preempted before, by both queues.")
                .build(),
            lost_work: meter
                .u64_counter("preempted_work")
                .with_description("Core-milliseconds that preempted runs lost, by both queues.")
                .build(),
        }
    }
}

impl Metrics {
    /// Records the status and the latency of an answer to a caller.
    pub fn record_answer(&self, call: &'static str, status: u16, took: Duration) {
        let call = KeyValue::new("call", call);
        let status = KeyValue::new("status", i64::from(status));
        self.answers.add(1, &[call.clone(), status]);
        self.latency.record(took.as_secs_f64() * 1000.0, &[call]);
    }

    /// Counts an append to the log by purpose and result.
    pub(crate) fn record_append(&self, purpose: &'static str, result: &Result<(), AppendError>) {
        let result = match result {
            Ok(()) => "stored",
            Err(AppendError::Fenced) => "fenced",
            Err(AppendError::Sequence(_)) => "sequence",
            Err(AppendError::Rejected(_)) => "rejected",
            Err(AppendError::Unknown(_)) => "unknown",
        };
        let labels = [
            KeyValue::new("purpose", purpose),
            KeyValue::new("result", result),
        ];
        self.appends.add(1, &labels);
    }

    /// Counts records forwarded to the leader as an append with the purpose `forward`.
    pub(crate) fn record_forward(&self, result: ForwardResult) {
        let result = match result {
            ForwardResult::Durable => "stored",
            ForwardResult::Not => "not_taken",
            ForwardResult::Unknown => "unknown",
        };
        let labels = [
            KeyValue::new("purpose", "forward"),
            KeyValue::new("result", result),
        ];
        self.appends.add(1, &labels);
    }

    /// Sets the gauges of the leader.
    pub(crate) fn record_leader(&self, counts: &Counts) {
        let values = [
            ("jobs", counts.jobs),
            ("runs", counts.runs),
            ("usable", counts.usable),
            ("minions", counts.minions),
            ("unsure", counts.unconfirmed),
            ("stopping", counts.stopping),
            ("unstopped", counts.unstopped),
            ("asking", counts.advice_calls),
            ("unexamined", counts.blocked.unexamined),
            ("silent_runs", counts.silent_runs),
        ];
        for (kind, value) in values {
            self.leader
                .record(value as u64, &[KeyValue::new("kind", kind)]);
        }
    }

    /// Adds what the leader's advice calls have cost and brought.
    pub(crate) fn record_calls(&self, usage: &CallUsage) {
        for (queue, counts) in usage.iter() {
            let values = [
                ("calls", counts.calls),
                ("call_ms", counts.call_ms),
                ("tickets", counts.tickets),
                ("used", counts.used),
                ("starts", counts.starts),
                ("vain", counts.vain),
            ];
            for (kind, value) in values {
                let queue = KeyValue::new("queue", queue.to_string());
                self.advice
                    .add(value, &[queue, KeyValue::new("kind", kind)]);
            }
        }
    }

    /// Sets the gauges of the leader's idle jobs.
    pub(crate) fn record_idle(&self, counts: &IdleCounts) {
        for (cause, jobs) in counts.causes() {
            self.idle
                .record(jobs as u64, &[KeyValue::new("cause", cause.name())]);
        }
        self.idle_ms.record(counts.longest_ms, &[]);
    }

    /// Sets the gauges of a queue's run times.
    pub(crate) fn record_durations(&self, known: &QueueDurations) {
        let label = [KeyValue::new("queue", known.queue.to_string())];
        self.run_factor.record(known.factor, &label);
        self.run_spread.record(known.spread, &label);
    }

    /// Counts preempted runs.
    pub(crate) fn record_preemptions(&self, counts: &PreemptionCounts) {
        for (victim, preemptor, count) in counts.iter() {
            let queues = [
                KeyValue::new("victim", victim.to_string()),
                KeyValue::new("preemptor", preemptor.to_string()),
            ];
            let lacking = [
                ("room", count.runs - count.limited),
                ("limit", count.limited),
            ];
            for (lacked, runs) in lacking {
                let [victim, preemptor] = queues.clone();
                let labels = [victim, preemptor, KeyValue::new("lacked", lacked)];
                self.preemptions.add(runs, &labels);
            }
            self.repeated.add(count.repeated, &queues);
            self.lost_work.add(count.lost_work, &queues);
        }
    }

    /// Reports the bytes of unfinished requests, and the requests that are given up on all servers.
    pub(crate) fn observe_budgets(budget: &Arc<Budget>, probes: &Arc<Budget>) {
        let meter = global::meter("primrosebay");
        let observed = [Arc::clone(budget), Arc::clone(probes)];
        meter
            .u64_observable_gauge("request_bytes")
            .with_description("Bytes charged for unfinished requests, and their limit, by kind.")
            .with_callback(move |observer| {
                let [budget, probes] = &observed;
                let values = [
                    ("charged", budget.held()),
                    ("limit", budget.limit()),
                    ("probes_charged", probes.held()),
                    ("probes_limit", probes.limit()),
                ];
                for (kind, bytes) in values {
                    observer.observe(bytes as u64, &[KeyValue::new("kind", kind)]);
                }
            })
            .build();
        let observed = [Arc::clone(budget), Arc::clone(probes)];
        meter
            .u64_observable_counter("requests_given_up")
            .with_description("Requests given up and connections closed, by cause.")
            .with_callback(move |observer| {
                for cause in Cause::ALL {
                    let count = observed.iter().map(|b| b.given_up(cause)).sum();
                    observer.observe(count, &[KeyValue::new("cause", cause.name())]);
                }
            })
            .build();
    }

    /// Returns all metrics of the process in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        registry::text()
    }
}
