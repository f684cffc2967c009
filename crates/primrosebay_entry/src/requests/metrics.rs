//! Metrics of the request path.

use opentelemetry::metrics::{Counter, Gauge, Histogram};
use opentelemetry::{KeyValue, global};
use primrosebay_protocol::code::Code;

use super::service::Gauges;

/// Instruments of the request path, which report to the process-wide meter provider.
#[derive(Debug)]
pub(super) struct Metrics {
    answers: Counter<u64>,
    duration: Histogram<u64>,
    retries: Counter<u64>,
    waiting: Gauge<u64>,
    held: Gauge<u64>,
    capacity: Gauge<u64>,
    ejected: Gauge<u64>,
}

impl Metrics {
    pub(super) fn new() -> Self {
        let meter = global::meter("primrosebay");
        Self {
            answers: meter.u64_counter("requests_answers").build(),
            duration: meter.u64_histogram("requests_duration_ms").build(),
            retries: meter.u64_counter("requests_retries").build(),
            waiting: meter.u64_gauge("requests_waiting").build(),
            held: meter.u64_gauge("requests_held_bytes").build(),
            capacity: meter.u64_gauge("requests_capacity_slots").build(),
            ejected: meter.u64_gauge("requests_ejected_minions").build(),
        }
    }

    /// Records the result code and the duration in milliseconds of one request.
    pub(super) fn record_answer(&self, service: &str, code: Code, duration_ms: u64) {
        // Unknown service names are chosen by callers and would make the label's values unbounded.
        let service = if code == Code::NOT_FOUND { "" } else { service };
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("code", i64::from(code.0)),
        ];
        self.answers.add(1, &labels);
        self.duration.record(duration_ms, &labels[..1]);
    }

    /// Counts a retry of a request.
    pub(super) fn record_retry(&self, service: &str) {
        self.retries.add(1, &[service_label(service)]);
    }

    /// Records the gauges of one service.
    pub(super) fn record_gauges(&self, service: &str, gauges: Gauges) {
        let labels = [service_label(service)];
        self.waiting.record(gauges.waiting, &labels);
        self.held.record(gauges.held_bytes, &labels);
        self.capacity.record(gauges.capacity, &labels);
        self.ejected.record(gauges.ejected, &labels);
    }
}

fn service_label(service: &str) -> KeyValue {
    KeyValue::new("service", service.to_owned())
}
