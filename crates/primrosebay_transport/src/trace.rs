//! Trace spans, and the W3C trace context that is passed from process to process.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::time::SystemTime;

use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{SpanId, TraceContextExt, Tracer};
use opentelemetry::{Context, KeyValue, global};
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{Sampler, SdkTracerProvider, SpanData, SpanExporter};

/// The HTTP header that carries the trace context.
pub const HEADER: &str = "traceparent";

/// The tracer provider of this process.
#[derive(Debug)]
pub struct Tracing {
    provider: SdkTracerProvider,
}

impl Tracing {
    /// Starts tracing. Samples the fraction `ratio`, from 0.0 to 1.0, of new traces, and all spans
    /// of traces that another process samples. Spans are written to the log.
    #[must_use]
    pub fn start(ratio: f64) -> Self {
        let sampler = Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(ratio)));
        let provider = SdkTracerProvider::builder()
            .with_sampler(sampler)
            .with_simple_exporter(LogExporter)
            .build();
        global::set_tracer_provider(provider.clone());
        Self { provider }
    }

    /// Writes the remaining spans to the log and stops tracing.
    pub fn close(self) {
        if let Err(e) = self.provider.shutdown() {
            log::warn!("trace: cannot shut down the tracer provider: {e}");
        }
    }
}

/// A span: one operation of a trace.
#[derive(Debug)]
pub struct Span {
    context: Context,
    /// The `traceparent` value that the span was started with.
    parent: String,
}

impl Span {
    /// Starts a span named `name` as a child of `parent`, a value of the `traceparent` header. An
    /// empty or malformed parent starts a new trace.
    #[must_use]
    pub fn start(name: &'static str, parent: &str) -> Self {
        let carrier = HashMap::from([(HEADER.to_owned(), parent.to_owned())]);
        let remote = TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier);
        let span = global::tracer("primrosebay").start_with_context(name, &remote);
        Self {
            context: Context::new().with_span(span),
            parent: parent.to_owned(),
        }
    }

    /// Sets an attribute of the span.
    pub fn set(&self, key: &'static str, value: impl Into<String>) {
        let value: String = value.into();
        self.context.span().set_attribute(KeyValue::new(key, value));
    }

    /// Returns the trace context for the next hop, as a value of the `traceparent` header.
    #[must_use]
    pub fn context(&self) -> String {
        let mut carrier = HashMap::new();
        TraceContextPropagator::new().inject_context(&self.context, &mut carrier);
        // Without a tracer provider, the context of the previous hop is passed on unchanged.
        carrier
            .remove(HEADER)
            .unwrap_or_else(|| self.parent.clone())
    }

    /// Ends the span, which is written to the log if its trace is sampled.
    pub fn close(self) {
        self.context.span().end();
    }
}

/// Writes each finished span as one log line.
#[derive(Debug)]
struct LogExporter;

impl SpanExporter for LogExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        for span in batch {
            let parent = if span.parent_span_id == SpanId::INVALID {
                "-".to_owned()
            } else {
                span.parent_span_id.to_string()
            };
            let mut attributes = String::new();
            for attribute in &span.attributes {
                let _ = write!(attributes, " {}={}", attribute.key, attribute.value);
            }
            log::info!(
                "trace: {} trace={} span={} parent={parent} start_us={} took_us={}{attributes}",
                span.name,
                span.span_context.trace_id(),
                span.span_context.span_id(),
                micros(SystemTime::UNIX_EPOCH, span.start_time),
                micros(span.start_time, span.end_time),
            );
        }
        Ok(())
    }
}

/// Returns the microseconds from `from` to `to`, or 0 if `to` is earlier.
fn micros(from: SystemTime, to: SystemTime) -> u128 {
    to.duration_since(from).map_or(0, |d| d.as_micros())
}
