//! How long the log may show no sign of a leader before an instance claims the term.

use std::time::Duration;

use crate::settings::Settings;

/// What an instance knows of the last leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LastLeader {
    /// No term has begun yet.
    None,
    /// The last leader has resigned.
    Resigned,
    /// The last leader was this instance, before it restarted. Its term is over, and nobody knows
    /// that sooner.
    Own,
    /// Another instance led.
    Other,
}

/// What decides how long an instance waits.
#[derive(Debug, Clone, Copy)]
pub struct ElectionTimeout {
    /// What is known of the last leader.
    pub last_leader: LastLeader,
    /// Whether a claim of this instance has failed since the last sign of a leader.
    pub contested: bool,
    /// How long the log takes to answer.
    pub log_latency: Duration,
    /// The random part of the wait.
    pub jitter: Duration,
    /// How long this instance lets larger ones go first.
    pub rank_delay: Duration,
}

impl ElectionTimeout {
    /// Returns how long the log has to show no sign of a leader.
    #[must_use]
    pub fn duration(&self, settings: &Settings) -> Duration {
        let silence = match self.last_leader {
            // All instances start together and first have to learn of each other.
            LastLeader::None => settings.election_timeout / 2 + self.jitter,
            // The claim was read with its end, so a later sign comes from another instance.
            LastLeader::Resigned | LastLeader::Own if !self.contested => self.jitter / 4,
            LastLeader::Resigned | LastLeader::Own | LastLeader::Other => {
                settings.election_timeout + self.log_latency * settings.latency_factor + self.jitter
            }
        };
        silence + self.rank_delay
    }
}
