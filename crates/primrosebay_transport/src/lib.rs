//! Network adapters (HTTP, QUIC and TLS), the clock, and the exporters of metrics and trace spans.

pub mod clock;
mod head_timeout;
pub mod http_client;
pub mod http_server;
pub mod latency;
pub mod list;
pub mod log;
pub mod metrics;
pub mod minion;
pub mod peer;
pub mod trace;
pub mod worker;
