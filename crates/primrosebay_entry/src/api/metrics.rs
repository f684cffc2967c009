//! Prometheus metrics of the entry instance.

use opentelemetry::metrics::{Counter, Gauge};
use opentelemetry::{KeyValue, global};
use primrosebay_coordination::freshness::Status;
use primrosebay_transport::budget::Cause;
use primrosebay_transport::metrics::{install, text};
use tide::Response;

use super::ApiRequest;
use crate::shared::Shared;

/// Instruments for API responses, and for the state of the configuration.
#[derive(Debug)]
pub struct Metrics {
    answers: Counter<u64>,
    next: Gauge<u64>,
    age: Gauge<u64>,
    status: Gauge<u64>,
    records: Gauge<u64>,
    watchers: Gauge<u64>,
    request_bytes: Gauge<u64>,
    given_up: Gauge<u64>,
    failed_links: Gauge<u64>,
}

impl Metrics {
    /// Installs the meter provider and creates the instruments.
    #[must_use]
    pub fn new() -> Self {
        install();
        let meter = global::meter("primrosebay");
        let counter = |name, description| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        let gauge = |name, description| meter.u64_gauge(name).with_description(description).build();
        Self {
            answers: counter("api_answers", "Answers by method and status."),
            next: gauge(
                "config_next",
                "Offset after the last configuration record in force.",
            ),
            age: gauge(
                "config_age_ms",
                "Milliseconds since the end of the log was confirmed.",
            ),
            status: gauge("config_status", "1 for the present status."),
            records: gauge("config_records", "Configuration records read, by result."),
            watchers: gauge("config_watchers", "Open watches."),
            request_bytes: gauge(
                "request_bytes",
                "Bytes charged for unfinished requests, and their limit, by kind.",
            ),
            failed_links: gauge(
                "peer_connections_failed",
                "Connections from and to peers that could not be set up.",
            ),
            given_up: gauge(
                "requests_given_up",
                "Requests given up and connections closed, by cause.",
            ),
        }
    }

    /// Counts a response by method and status.
    pub(super) fn record_answer(&self, method: &str, status: u16) {
        let labels = [
            KeyValue::new("method", method.to_owned()),
            KeyValue::new("status", i64::from(status)),
        ];
        self.answers.add(1, &labels);
    }

    /// Records the gauges of the configuration, its freshness and the open watches.
    fn record_state(&self, shared: &Shared) {
        let instance = KeyValue::new("instance", shared.setup.name.to_string());
        let labelled = |name: &'static str, value: &'static str| {
            [instance.clone(), KeyValue::new(name, value)]
        };
        let now = shared.now();
        let report = shared
            .configuration
            .with_freshness(|freshness| freshness.report(now));
        let labels = std::slice::from_ref(&instance);
        self.next.record(report.next, labels);
        self.age.record(report.age.unwrap_or(u64::MAX), labels);
        self.watchers.record(shared.watchers.count() as u64, labels);
        let status = shared.status();
        for (value, name) in [
            (Status::Fresh, "fresh"),
            (Status::Outage, "outage"),
            (Status::Stale, "stale"),
        ] {
            let current = u64::from(status == value);
            self.status.record(current, &labelled("status", name));
        }
        let budget = &shared.budget;
        for (kind, bytes) in [("charged", budget.held()), ("limit", budget.limit())] {
            self.request_bytes
                .record(bytes as u64, &labelled("kind", kind));
        }
        for cause in Cause::ALL {
            let count = budget.given_up(cause);
            self.given_up
                .record(count, &labelled("cause", cause.name()));
        }
        if let Some(peers) = shared.peers() {
            let failed = peers.net().failed_connections();
            self.failed_links.record(failed, labels);
        }
        let results = ["done", "conflict", "no_effect"];
        for (count, result) in shared.configuration.outcomes().into_iter().zip(results) {
            self.records.record(count, &labelled("result", result));
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Handles `GET /metrics`.
pub(super) async fn metrics(request: ApiRequest) -> tide::Result {
    request.state().metrics.record_state(request.state());
    Ok(Response::builder(200)
        .content_type("text/plain; version=0.0.4")
        .body(text())
        .build())
}
