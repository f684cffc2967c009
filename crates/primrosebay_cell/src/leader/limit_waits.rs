//! How long steps that wait for the limit of their account keep its other steps from starting.
//!
//! A step that its account's limit does not allow yet is charged to the limit as if it ran, so that
//! less urgent work does not use up what becomes free. While the account uses less than half of its
//! limit, its other steps may be held back for a short time only: the waiting step may need a part of
//! the limit that a long run occupies.

use primrosebay_state::Name;
use primrosebay_state::table::Table;
use primrosebay_state::time::Time;

use crate::job::StepKey;

/// Time for which waiting steps hold the others of an account back that uses less than half of its
/// limit, in milliseconds. Callers may expect a job to start within 3 s then.
const HOLD_MS: u64 = 2_000;

/// Time for which the others may start afterwards, in milliseconds: longer than the longest back-off,
/// so that a pass examines all of them.
const OPEN_MS: u64 = 200;

/// Time for which a late step has to wait for more than half of the limit before it precedes the
/// others of its account, in milliseconds.
const STARVED_MS: u64 = 10_000;

/// The late step of an account that waits for more than half of the limit and was accepted first.
#[derive(Debug)]
struct LateStep {
    step: StepKey,
    /// Time of the acceptance, in Unix milliseconds.
    accepted_ms: u64,
    /// Time since which the step is known to wait.
    since: Time,
}

impl LateStep {
    fn is_starved(&self, now: Time) -> bool {
        now.since(self.since) >= STARVED_MS
    }
}

#[derive(Debug, Default)]
struct AccountWaits {
    /// Time since which waiting steps hold the others back although the account uses less than half
    /// of its limit; none if they do not.
    held_since: Option<Time>,
    /// Time until which a step counts as waiting after a pass has charged the limit for it. Passes
    /// between two waiting steps may not examine the others.
    charged_until: Time,
    /// Time until which the others may start.
    open_until: Time,
    late: Option<LateStep>,
}

/// The waits of each account with a limit.
#[derive(Debug, Default)]
pub(super) struct LimitWaits {
    accounts: Table<Name, AccountWaits>,
}

impl LimitWaits {
    /// Notes at the beginning of a pass whether the account uses less than half of its limit, and
    /// whether the last pass has charged it for steps that wait.
    pub(super) fn update(
        &mut self,
        account: &Name,
        is_half_free: bool,
        is_charged: bool,
        now: Time,
    ) {
        if !is_charged && self.accounts.get(account).is_none() {
            return;
        }
        let waits = self
            .accounts
            .or_insert(account.clone(), AccountWaits::default());
        if now < waits.open_until {
            return;
        }
        if is_charged {
            waits.charged_until = now + OPEN_MS;
        }
        let is_held = is_half_free && now < waits.charged_until;
        waits.held_since = is_held.then(|| waits.held_since.unwrap_or(now));
        if waits.held_since.is_some_and(|at| now.since(at) >= HOLD_MS) {
            log::info!(account:% = account, for_ms = OPEN_MS; "leader: steps that wait for the limit give way");
            waits.held_since = None;
            waits.open_until = now + OPEN_MS;
        }
    }

    /// Returns whether steps of the account may start regardless of the waiting ones.
    pub(super) fn is_open(&self, account: &Name, now: Time) -> bool {
        let waits = self.accounts.get(account);
        waits.is_some_and(|w| now < w.open_until)
    }

    /// Returns whether no late step of the account is known to wait that was accepted by this time.
    pub(super) fn is_first_late(&self, account: &Name, accepted_ms: u64) -> bool {
        let late = self.accounts.get(account).and_then(|w| w.late.as_ref());
        late.is_none_or(|l| accepted_ms < l.accepted_ms)
    }

    /// Notes that a late step waits for more than half of the limit, in place of one that was accepted
    /// later.
    pub(super) fn set_late(&mut self, account: &Name, step: StepKey, accepted_ms: u64, now: Time) {
        log::info!(step:% = step, account:% = account; "leader: late step waits for more than half of the limit");
        let waits = self
            .accounts
            .or_insert(account.clone(), AccountWaits::default());
        waits.late = Some(LateStep {
            step,
            accepted_ms,
            since: now,
        });
    }

    /// Forgets the late steps for which `is_ready` returns false.
    pub(super) fn retain_late(&mut self, is_ready: impl Fn(StepKey) -> bool) {
        for (_, waits) in self.accounts.iter_mut() {
            waits.late.take_if(|l| !is_ready(l.step));
        }
    }

    /// Returns the late steps that have waited for so long that they precede the others.
    pub(super) fn starved(&self, now: Time) -> Vec<StepKey> {
        let late = self.accounts.iter().filter_map(|(_, w)| w.late.as_ref());
        late.filter(|l| l.is_starved(now)).map(|l| l.step).collect()
    }

    /// Returns whether this is such a step.
    pub(super) fn is_starved(&self, account: &Name, step: StepKey, now: Time) -> bool {
        let late = self.accounts.get(account).and_then(|w| w.late.as_ref());
        late.is_some_and(|l| l.step == step && l.is_starved(now))
    }
}
