//! The entry instance: API, coordinators and request routing.

pub mod api;
pub mod auth;
pub mod configuration;
pub mod instance;
pub mod jobs;
pub mod log_reader;
pub mod peers;
pub mod permits;
pub mod publisher;
pub mod requests;
pub mod shared;
pub mod snapshots;
mod transfers;
mod zone_reader;
pub mod zones;
