//! Network adapters: HTTP, QUIC and TLS.
