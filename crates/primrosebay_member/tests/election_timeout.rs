//! The pattern: processes are killed, one or all at once, and come back within a second.

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

/// Guards against a cell without a leader for a second after a restart of all its processes, of
/// which the last leader knows at once that its term is over.
#[test]
fn restarted_leader_claims_the_term_at_once() {
    assert!(duration(LastLeader::Own, false) <= Duration::from_millis(50));
}

/// Guards against claims that depose whoever has begun after a claim that failed.
#[test]
fn restarted_leader_waits_after_a_claim_that_failed() {
    assert_eq!(
        duration(LastLeader::Own, true),
        duration(LastLeader::Other, false)
    );
    assert!(duration(LastLeader::Other, false) >= Settings::default().election_timeout);
}
