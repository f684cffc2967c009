//! The metrics registry of the process.

use std::sync::OnceLock;

use opentelemetry::global;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

static REGISTRY: OnceLock<Registry> = OnceLock::new();

/// Installs the meter provider of the process on the first call, and returns its registry.
/// Instances that run in the same process share the registry; the label `instance` tells them
/// apart.
pub fn install() -> &'static Registry {
    REGISTRY.get_or_init(|| {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build();
        match exporter {
            Ok(exporter) => {
                let provider = SdkMeterProvider::builder().with_reader(exporter).build();
                global::set_meter_provider(provider);
            }
            Err(e) => log::warn!("metrics: cannot create the Prometheus exporter: {e}"),
        }
        registry
    })
}

/// Returns all metrics in the Prometheus text format.
#[must_use]
pub fn text() -> String {
    let mut buffer = Vec::new();
    if let Err(e) = TextEncoder::new().encode(&install().gather(), &mut buffer) {
        log::warn!("metrics: cannot encode the metrics: {e}");
    }
    String::from_utf8_lossy(&buffer).into_owned()
}
