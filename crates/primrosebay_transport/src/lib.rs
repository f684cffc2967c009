//! Network adapters: HTTP, QUIC and TLS.

pub mod peer;
