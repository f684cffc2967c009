//! What the coordinator of a zone may use of the zone's allowances.

use crate::Name;
use crate::allowance::{Allowances, zip};
use crate::config::ApplyResult;
use crate::id::RecordId;
use crate::record::Body;
use crate::resources::Resources;

/// A transfer that was sent to the log and not yet read back.
#[derive(Debug, Clone)]
struct Sent {
    id: RecordId,
    team: Name,
    amount: Resources,
}

/// The allowances of one zone as its coordinator uses them in one term.
///
/// A transfer counts as given from the moment it is made, whether or not its append is
/// acknowledged.
#[derive(Debug, Clone)]
pub struct Escrow {
    zone: Name,
    epoch: u64,
    fence: RecordId,
    fenced: bool,
    sent: Vec<Sent>,
}

impl Escrow {
    /// Opens a term with `epoch`. `fence` identifies the record returned by [`Escrow::fence`].
    #[must_use]
    pub fn new(zone: &Name, epoch: u64, fence: RecordId) -> Self {
        Self {
            zone: zone.clone(),
            epoch,
            fence,
            fenced: false,
            sent: Vec::new(),
        }
    }

    /// Returns the record that must be read back before the whole allowance is used. It voids
    /// transfers of earlier terms that reach the log after it.
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

    /// Notes that the record `id` was read from the log and what became of it. A fence is refused
    /// if the log knows a later term of the zone; the coordinator then needs a term with a higher
    /// epoch than [`Allowances::epoch`].
    pub fn read(&mut self, id: RecordId, applied: ApplyResult) {
        self.fenced |= id == self.fence && applied == ApplyResult::Done;
        self.sent.retain(|sent| sent.id != id);
    }

    /// Returns what the zone may have running of `team`. Until the fence was read that is what
    /// runs already, or the floor, which no predecessor gave away.
    #[must_use]
    pub fn usable(&self, all: &Allowances, team: &str, used: &Resources) -> Resources {
        let own = all.get(team, &self.zone);
        if self.fenced {
            return own.minus(&self.given(team));
        }
        let floor = all.floor(team, &self.zone);
        zip(&zip(used, &own, u64::min), &floor, u64::max)
    }

    /// Makes the record of a transfer with the identifier `id`, or nothing if the zone would keep
    /// less than its floor or less than it uses, or has not read its fence.
    pub fn transfer(
        &mut self,
        id: RecordId,
        all: &Allowances,
        team: &Name,
        to: &Name,
        amount: &Resources,
        used: &Resources,
    ) -> Option<Body> {
        let given = self.given(team).plus(amount);
        let idle = all.get(team, &self.zone).minus(used);
        let free = given.fits(&all.spare(team, &self.zone)) && given.fits(&idle);
        if !self.fenced || !free || *to == self.zone {
            return None;
        }
        self.sent.push(Sent {
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

    fn given(&self, team: &str) -> Resources {
        self.sent
            .iter()
            .filter(|sent| &*sent.team == team)
            .fold(Resources::ZERO, |sum, sent| sum.plus(&sent.amount))
    }
}
