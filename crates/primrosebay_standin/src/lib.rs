//! Small stand-ins for the platform: log, live list, workers and minions.
