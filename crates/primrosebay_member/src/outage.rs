//! Whether the log is away for this instance alone or for all.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_std::task;

use crate::peer;
use crate::platform::Platform;
use crate::shared::Shared;

/// Most other instances that are asked at a time.
const MAX_PROBES: usize = 3;

/// Asks other instances for as long as this one cannot reach the log.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    loop {
        task::sleep(shared.settings.probe_interval).await;
        let outage = !shared.is_log_reachable() && is_outage(&shared).await;
        if shared.outage.swap(outage, Ordering::Relaxed) != outage {
            log::warn!(outage; "touch: the log is away for other instances too");
        }
    }
}

/// Returns whether other instances can be reached and none of them can reach the log. An instance
/// that reaches neither is taken to be cut off alone.
async fn is_outage<P: Platform>(shared: &Shared<P>) -> bool {
    let members: Vec<_> = {
        let cell = shared.cell();
        let members = cell.ledger.members();
        let others = members.filter(|(name, _)| **name != shared.settings.name);
        others.map(|(_, member)| member.clone()).collect()
    };
    let mut peer_reached = false;
    for member in members.iter().take(MAX_PROBES) {
        match peer::can_reach_log(&shared.peer_client, member, shared.settings.probe_interval).await
        {
            Ok(true) => return false,
            Ok(false) => peer_reached = true,
            Err(reason) => {
                log::debug!(address:% = member.address, reason:% = reason; "touch: no answer");
            }
        }
    }
    peer_reached
}
