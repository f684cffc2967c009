//! Election timeouts after instances are killed, one or all at once, and restart within a second.

use std::time::Duration;

use primrosebay_member::election_timeout::{ElectionTimeout, LastLeader};
use primrosebay_member::settings::Settings;

fn duration(last_leader: LastLeader, contested: bool) -> Duration {
    let timeout = ElectionTimeout {
        last_leader,
        contested,
        log_latency: Duration::from_millis(5),
        jitter: Duration::from_millis(200),
        rank_delay: Duration::ZERO,
    };
    timeout.duration(&Settings::default())
}

/// Guards against a cell that has no leader for a second after all its instances restart, although
/// the last leader knows at once that its term is over.
#[test]
fn restarted_leader_claims_immediately() {
    assert!(duration(LastLeader::Own, false) <= Duration::from_millis(50));
}

/// Guards against an instance that claims again right after a failed claim and so deposes the
/// leader that has just been elected.
#[test]
fn restarted_leader_waits_after_failed_claim() {
    assert_eq!(
        duration(LastLeader::Own, true),
        duration(LastLeader::Other, false)
    );
    assert!(duration(LastLeader::Other, false) >= Settings::default().election_timeout);
}
