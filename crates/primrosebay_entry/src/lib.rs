//! The entry instance: API, coordinators and request routing.
