//! Network adapters: HTTP, QUIC and TLS.

pub mod minion;
