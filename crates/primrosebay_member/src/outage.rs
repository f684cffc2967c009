//! Detects whether the log is unreachable for all instances or only for this one.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_std::task;

use crate::peer;
use crate::platform::Platform;
use crate::shared::Shared;

/// Maximum number of other instances asked per check.
const MAX_PROBES: usize = 3;

/// Keeps [`Shared::outage`] up to date: asks other instances while this one cannot reach the log.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    loop {
        task::sleep(shared.settings.probe_interval).await;
        let outage = !shared.is_log_reachable() && is_outage(&shared).await;
        if shared.outage.swap(outage, Ordering::Relaxed) != outage {
            log::warn!(outage; "outage: cell-wide outage of the log began or ended");
        }
    }
}

/// Returns whether at least one other instance answers and none of those asked can reach the log.
/// An instance that gets no answer assumes that only itself is disconnected.
async fn is_outage<P: Platform>(shared: &Shared<P>) -> bool {
    let members: Vec<_> = {
        let known = shared.announcements();
        let members = known.members.iter();
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
                log::debug!(address:% = member.address, reason:% = reason; "outage: no answer from instance");
            }
        }
    }
    peer_reached
}
