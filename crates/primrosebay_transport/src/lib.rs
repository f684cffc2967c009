//! Network adapters (HTTP, QUIC and TLS), the clock, and the exporters of metrics and trace spans.

pub mod budget;
pub mod clock;
mod connection;
pub mod http_client;
pub mod http_server;
pub mod latency;
pub mod list;
pub mod log;
pub mod log_limit;
pub mod metrics;
pub mod minion;
pub mod peer;
mod progress;
mod request_body;
mod request_stream;
mod slots;
pub mod trace;
mod watched;
pub mod worker;
