//! What the leader knows of a minion.

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::command::DirectoryEntry;
use super::settings::Settings;
use crate::job::{StepKey, TaskKey};

/// How far a run has come, as far as the leader knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The record of the run is being appended; nothing was sent.
    Recorded,
    /// The start was sent.
    Sent,
    /// The start was not answered.
    Unsure,
    /// The run was started by an earlier leader, or the minion has not said yet that it is there.
    Inherited,
    /// The minion has confirmed the run at this time.
    Running(Time),
    /// A stop was sent at the first time and answered at the second.
    Stopping(Time, Option<Time>),
}

/// A run that takes or may take resources of a minion.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) task: TaskKey,
    /// The number of the run.
    pub(super) number: u32,
    pub(super) amount: Resources,
    pub(super) account: Option<Name>,
    pub(super) phase: Phase,
    /// When the leader learned of the run.
    pub(super) since: Time,
}

/// Resources kept for tasks whose victims are stopping.
#[derive(Debug, Clone)]
pub(super) struct Reserved {
    pub(super) step: StepKey,
    pub(super) amount: Resources,
    pub(super) until: Time,
}

#[derive(Debug)]
pub(super) struct Minion {
    pub(super) entry: DirectoryEntry,
    /// When the directory stopped listing it.
    pub(super) unlisted: Option<Time>,
    /// When it leaves.
    pub(super) leaves: Option<Time>,
    /// Whether it has answered a hold in this term, so that orders of earlier leaders no longer
    /// take effect there.
    pub(super) fenced: bool,
    pub(super) born: u64,
    /// When it last answered a hold.
    pub(super) seen: Option<Time>,
    /// When its clock was read, and what it showed.
    pub(super) clock: Option<(Time, u64)>,
    /// When all its runs have surely ended if it hears nothing more.
    pub(super) lapse: Time,
    pub(super) holding: bool,
    pub(super) next_hold: Time,
    /// The last end whose effect is known to the leader.
    pub(super) noted: u64,
    /// The last end whose effect is durable.
    pub(super) acked: u64,
    pub(super) runs: Vec<Run>,
    pub(super) reserved: Vec<Reserved>,
    /// Jobs whose tasks failed here since a task was done here.
    pub(super) failures: Vec<crate::job::JobKey>,
    pub(super) quarantine: Time,
}

impl Minion {
    pub(super) fn new(entry: DirectoryEntry, now: Time, lapse: Time) -> Self {
        let leaves = entry.drain_ms.map(|ms| now + ms);
        let born = entry.started_ms;
        Self {
            entry,
            unlisted: None,
            leaves,
            fenced: false,
            born,
            seen: None,
            clock: None,
            lapse,
            holding: false,
            next_hold: now,
            noted: 0,
            acked: 0,
            runs: Vec::new(),
            reserved: Vec::new(),
            failures: Vec::new(),
            quarantine: Time(0),
        }
    }

    /// Returns what its clock shows at least.
    pub(super) fn clock_at(&self, now: Time) -> Option<u64> {
        let (read, clock) = self.clock?;
        Some(clock + now.since(read))
    }

    pub(super) fn is_silent(&self, now: Time, settings: &Settings) -> bool {
        self.seen
            .is_none_or(|seen| now.since(seen) > settings.silence_ms)
    }

    /// Returns whether a task may be started here.
    pub(super) fn is_usable(&self, now: Time, settings: &Settings) -> bool {
        let listed = self
            .unlisted
            .is_none_or(|at| now.since(at) < settings.unlisted_ms);
        listed
            && self.fenced
            && self.leaves.is_none()
            && !self.is_silent(now, settings)
            && now >= self.quarantine
    }

    pub(super) fn has_label(&self, label: &str) -> bool {
        self.entry.labels.iter().any(|l| &**l == label)
    }

    fn used(&self, counts: impl Fn(&Run) -> bool) -> Resources {
        let runs = self.runs.iter().filter(|r| counts(r));
        runs.fold(Resources::ZERO, |sum, r| sum.plus(&r.amount))
    }

    pub(super) fn used_cores(&self) -> u64 {
        self.used(|_| true).cores_milli
    }

    fn reserved(&self, step: StepKey) -> Resources {
        let others = self.reserved.iter().filter(|r| r.step != step);
        others.fold(Resources::ZERO, |sum, r| sum.plus(&r.amount))
    }

    /// Returns what is free now for tasks of `step`.
    pub(super) fn free(&self, step: StepKey) -> Resources {
        let used = self.used(|_| true).plus(&self.reserved(step));
        self.entry.capacity.minus(&used)
    }

    /// Returns what is free for tasks of `step` once everything that stops has stopped and the
    /// runs for which `victim` holds are stopped too.
    pub(super) fn free_without(&self, step: StepKey, victim: impl Fn(&Run) -> bool) -> Resources {
        let stays = |r: &Run| !matches!(r.phase, Phase::Stopping(..)) && !victim(r);
        let used = self.used(stays).plus(&self.reserved(step));
        self.entry.capacity.minus(&used)
    }

    pub(super) fn find(&mut self, task: TaskKey, run: u32) -> Option<&mut Run> {
        self.runs
            .iter_mut()
            .find(|r| r.task == task && r.number == run)
    }

    pub(super) fn count_of(&self, step: StepKey) -> u32 {
        let count = self.runs.iter().filter(|r| r.task.step == step).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}

/// Returns how many tasks of `amount` fit into `free`.
pub(super) fn fitting(amount: &Resources, free: &Resources) -> u32 {
    let part = |need: u64, have: u64| have.checked_div(need).unwrap_or(u64::MAX);
    let count = part(amount.cores_milli, free.cores_milli)
        .min(part(amount.memory_mib, free.memory_mib))
        .min(part(amount.accelerators, free.accelerators));
    u32::try_from(count).unwrap_or(u32::MAX)
}
