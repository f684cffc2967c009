//! Figures about requests.

use opentelemetry::metrics::{Counter, Gauge, Histogram};
use opentelemetry::{KeyValue, global};
use primrosebay_protocol::code::Code;

use super::service::State;

/// Instruments of the request path. They report to the meter provider that the process installed.
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

    /// Records the result code and the duration of one request.
    pub(super) fn record_answer(&self, service: &str, code: Code, ms: u64) {
        // Names that are no service come from callers and would grow the set of labels.
        let service = if code == Code::NOT_FOUND { "" } else { service };
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("code", i64::from(code.0)),
        ];
        self.answers.add(1, &labels);
        self.duration.record(ms, &labels[..1]);
    }

    /// Records that a request is sent again.
    pub(super) fn record_retry(&self, service: &str) {
        self.retries.add(1, &[label(service)]);
    }

    /// Records the state of one service.
    pub(super) fn record_state(&self, service: &str, state: State) {
        let labels = [label(service)];
        self.waiting.record(state.waiting, &labels);
        self.held.record(state.held, &labels);
        self.capacity.record(state.capacity, &labels);
        self.ejected.record(state.ejected, &labels);
    }
}

fn label(service: &str) -> KeyValue {
    KeyValue::new("service", service.to_owned())
}
