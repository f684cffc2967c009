//! YAML options resolved into checked settings.
