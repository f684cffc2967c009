//! The time without a record of the leader after which an instance claims the leadership.

use std::time::Duration;

use crate::settings::Settings;

/// The leader of the last term, as far as it affects the election timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LastLeader {
    /// There has been no leader yet.
    None,
    /// The last leader resigned, so its term is over.
    Resigned,
    /// This instance led before it restarted. It is the first to know that its term is over.
    Own,
    /// Another instance led and has not resigned.
    Other,
}

/// The inputs from which the election timeout is computed.
#[derive(Debug, Clone, Copy)]
pub struct ElectionTimeout {
    /// The leader of the last term.
    pub last_leader: LastLeader,
    /// Whether a claim of this instance failed, or a term of it ended, since it last read a record
    /// of a leader.
    pub contested: bool,
    /// The recent latency of the log.
    pub log_latency: Duration,
    /// The random part of the timeout.
    pub jitter: Duration,
    /// The delay by which this instance lets larger ones claim first.
    pub rank_delay: Duration,
    /// Whether the instance has read the configuration since its process started. As the leader it
    /// starts no tasks before that, so it lets others claim first that may have read it.
    pub configured: bool,
}

impl ElectionTimeout {
    /// Returns the time without a record of the leader after which this instance may claim the
    /// leadership.
    #[must_use]
    pub fn duration(&self, settings: &Settings) -> Duration {
        let silence = match self.last_leader {
            // In a new cell all instances start together and have to discover each other first.
            LastLeader::None => settings.election_timeout / 2 + self.jitter,
            // The last term is known to be over, so there is no leader to wait for. After a
            // contested claim this does not hold: another instance may have begun a term.
            LastLeader::Resigned | LastLeader::Own if !self.contested && self.configured => {
                self.jitter / 4
            }
            LastLeader::Resigned | LastLeader::Own | LastLeader::Other => {
                settings.election_timeout + self.log_latency * settings.latency_factor + self.jitter
            }
        };
        let others_first = if self.configured {
            Duration::ZERO
        } else {
            settings.election_jitter + settings.rank_delay
        };
        silence + self.rank_delay + others_first
    }
}
