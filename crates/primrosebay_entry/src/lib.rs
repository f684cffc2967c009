//! The entry instance: API, coordinator and request routing.

pub mod requests;
