//! Use of a zone's allowances by the coordinator of the zone.

use crate::Name;
use crate::allowance::{Allowances, zip_with};
use crate::config::ApplyResult;
use crate::id::RecordId;
use crate::record::Body;
use crate::resources::Resources;

/// A transfer that was created but not yet read back from the log.
#[derive(Debug, Clone)]
struct PendingTransfer {
    id: RecordId,
    team: Name,
    amount: Resources,
}

/// Limits the coordinator of a zone to the zone's allowances during one term.
///
/// A transfer reduces the allowance as soon as it is created, whether or not its append is
/// acknowledged.
#[derive(Debug, Clone)]
pub struct Escrow {
    zone: Name,
    epoch: u64,
    fence: RecordId,
    fence_applied: bool,
    pending: Vec<PendingTransfer>,
}

impl Escrow {
    /// Starts a term with `epoch`. `fence` is the identifier of the record that carries
    /// [`Escrow::fence`].
    #[must_use]
    pub fn new(zone: &Name, epoch: u64, fence: RecordId) -> Self {
        Self {
            zone: zone.clone(),
            epoch,
            fence,
            fence_applied: false,
            pending: Vec::new(),
        }
    }

    /// Returns the fence, a transfer of nothing from the zone to itself. The whole allowance may be
    /// used once the fence was read back from the log. Transfers of earlier terms that reach the
    /// log after the fence have no effect.
    #[must_use]
    pub fn fence(&self) -> Body {
        Body::Allowance {
            team: Name::from(""),
            from: self.zone.clone(),
            to: self.zone.clone(),
            amount: Resources::ZERO,
            epoch: self.epoch,
        }
    }

    /// Handles the record `id`, which was read from the log and applied with `result`. The fence is
    /// refused if the log holds a later term of the zone; the coordinator then needs a term with an
    /// epoch above [`Allowances::epoch`].
    pub fn record_applied(&mut self, id: RecordId, result: ApplyResult) {
        self.fence_applied |= id == self.fence && result == ApplyResult::Done;
        self.pending.retain(|transfer| transfer.id != id);
    }

    /// Returns how much the zone may use for `team`; `used` is the present usage.
    ///
    /// Until the fence was read back, the result is the larger of the floor, which no earlier term
    /// can have transferred, and the present usage within the allowance.
    #[must_use]
    pub fn usable(&self, allowances: &Allowances, team: &str, used: &Resources) -> Resources {
        let own = allowances.get(team, &self.zone);
        if self.fence_applied {
            return own.minus(&self.pending_amount(team));
        }
        let floor = allowances.floor(team, &self.zone);
        zip_with(&zip_with(used, &own, u64::min), &floor, u64::max)
    }

    /// Creates the body of the record `id`, which transfers `amount` to the zone `to`.
    ///
    /// Returns `None` if the zone would keep less than its floor or less than `used`, if its fence
    /// was not read back yet, or if `to` is the zone itself.
    pub fn transfer(
        &mut self,
        id: RecordId,
        allowances: &Allowances,
        team: &Name,
        to: &Name,
        amount: &Resources,
        used: &Resources,
    ) -> Option<Body> {
        let outgoing = self.pending_amount(team).plus(amount);
        let idle = allowances.get(team, &self.zone).minus(used);
        let allowed = outgoing.fits(&allowances.spare(team, &self.zone)) && outgoing.fits(&idle);
        if !self.fence_applied || !allowed || *to == self.zone {
            return None;
        }
        self.pending.push(PendingTransfer {
            id,
            team: team.clone(),
            amount: *amount,
        });
        Some(Body::Allowance {
            team: team.clone(),
            from: self.zone.clone(),
            to: to.clone(),
            amount: *amount,
            epoch: self.epoch,
        })
    }

    /// Returns the sum of the pending transfers of `team`.
    fn pending_amount(&self, team: &str) -> Resources {
        self.pending
            .iter()
            .filter(|transfer| &*transfer.team == team)
            .fold(Resources::ZERO, |sum, transfer| sum.plus(&transfer.amount))
    }
}
