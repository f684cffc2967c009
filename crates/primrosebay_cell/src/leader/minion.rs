//! State of a minion as known to the leader.

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::command::{DirectoryEntry, Now};
use super::settings::Settings;
use crate::fencing::{FencingToken, Generations};
use crate::job::{StepKey, TaskKey};
use crate::victims;

/// Phase of a run as known to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The record of the run is being appended; no start was sent.
    Committing,
    /// The start was sent and has no answer yet.
    Sent,
    /// The start, or the answer to it, was lost.
    Unconfirmed,
    /// An earlier leader placed the run, and the minion has not confirmed it in this term.
    Inherited,
    /// The minion confirmed the run at this time.
    Running(Time),
    /// A stop was sent at the first time and acknowledged at the second.
    Stopping(Time, Option<Time>),
}

/// Starts of a run that were sent.
///
/// A start without an answer may be carried out late, also by a later incarnation of its minion,
/// which does not know that the run was stopped.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Attempts {
    /// Number of starts that were sent.
    pub(super) count: u32,
    /// Time until which the task waits for those without an answer, except the last one.
    earlier_until: Time,
    /// Time until which it waits for the last one; zero once that is answered.
    last_until: Time,
}

impl Attempts {
    /// Notes that a start is sent, for which the task waits until `until` if it has no answer.
    pub(super) fn send(&mut self, until: Time) {
        self.count += 1;
        self.earlier_until = self.late_until();
        self.last_until = until;
    }

    /// Notes that the minion has carried out or refused the last start.
    pub(super) fn settle(&mut self) {
        self.last_until = Time(0);
    }

    /// Returns the time until which the task waits for starts that may be carried out late.
    pub(super) fn late_until(&self) -> Time {
        self.earlier_until.max(self.last_until)
    }
}

/// A run that takes or may take resources of a minion.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) task: TaskKey,
    /// Number of the run.
    pub(super) number: u32,
    pub(super) amount: Resources,
    pub(super) account: Option<Name>,
    /// Expected duration, in milliseconds; none if the task lasts.
    pub(super) duration: Option<u64>,
    pub(super) phase: Phase,
    /// Time at which the minion reported the last new checkpoint of the run; none if it reported
    /// none.
    pub(super) saved_at: Option<Time>,
    /// Number of preemptions of the task before this run.
    pub(super) preemptions: u32,
    /// Priority of the run's queue if the run can be stopped without loss of work; none otherwise.
    pub(super) lossless: Option<u32>,
    /// Time at which this leader sent the start; if it sent none, time at which it added the run.
    pub(super) updated_at: Time,
    /// Time on the minion's clock after which it refuses the start, in milliseconds; zero if no start
    /// of this leader can arrive any more.
    pub(super) until_ms: u64,
    /// Generation of the start; 0 if this leader sent none.
    pub(super) generation: u32,
    /// Ticket of the start; none if the queue needs no advice.
    pub(super) ticket: Option<Name>,
    pub(super) attempts: Attempts,
    /// Whether the run resumes from a checkpoint.
    pub(super) resumed: bool,
    /// Time by which the run has ended even if an incarnation of the minion that the leader does
    /// not know carried out the start; zero if that has been ruled out.
    pub(super) expiry: Time,
}

impl Run {
    /// Returns the time since the last known checkpoint or, without one, since the start was
    /// confirmed, in milliseconds; 0 for a run that is not known to be running.
    pub(super) fn unsaved_ms(&self, now: Time) -> u64 {
        let Phase::Running(since) = self.phase else {
            return 0;
        };
        now.since(self.saved_at.unwrap_or(since).max(since))
    }

    /// Returns whether a start of the run may still be carried out by an incarnation of the minion
    /// that has seen no command of a later generation than `held`.
    ///
    /// Tasks that last do not wait for that, since they have to run again soon.
    pub(super) fn may_start_late(&self, held: u32, now: Time) -> bool {
        self.duration.is_some() && self.generation >= held && now < self.attempts.late_until()
    }

    /// Returns whether the run is expected to end before one that it were preempted for could start.
    pub(super) fn ends_soon(&self, now: Time) -> bool {
        let Phase::Running(since) = self.phase else {
            return false;
        };
        victims::ends_soon(self.duration, now.since(since))
    }
}

/// Resources reserved for pending tasks, for example while preempted runs stop.
#[derive(Debug, Clone)]
pub(super) struct Reservation {
    pub(super) step: StepKey,
    pub(super) amount: Resources,
    pub(super) until: Time,
}

/// State of a minion's entry in the directory.
#[derive(Debug, Clone, Copy)]
pub(super) enum Listing {
    Listed,
    /// The entry disappeared at this time. It may have expired while the directory was down, so the
    /// minion stays in use for some time.
    Missing(Time),
    /// The entry was replaced at this time by an unreadable one, which names no minion to use.
    Unreadable(Time),
}

impl Listing {
    /// Returns the time since which there is no readable entry; none if there is one.
    pub(super) fn absent_since(self) -> Option<Time> {
        match self {
            Self::Listed => None,
            Self::Missing(at) | Self::Unreadable(at) => Some(at),
        }
    }
}

/// Whether a minion may get a lease. A successor relies on what the log says of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Lease {
    /// No durable claim of this term lists the minion as silent.
    Granted,
    /// The last claim lists the minion as silent.
    Withheld,
    /// The claim that ends this batch does not list the minion any more.
    Released(u64),
}

#[derive(Debug)]
pub(super) struct Minion {
    pub(super) entry: DirectoryEntry,
    pub(super) listing: Listing,
    /// Time at which the draining minion may shut down.
    pub(super) drains_at: Option<Time>,
    /// Whether the minion has answered a hold of the current generation, so that it rejects commands
    /// of earlier leaders and those that were sent to former incarnations.
    pub(super) fenced: bool,
    pub(super) generations: Generations,
    /// Start time of the minion's current incarnation, in Unix milliseconds; 0 if unknown.
    pub(super) started_ms: u64,
    /// Time of the last answer to a hold.
    pub(super) last_seen: Option<Time>,
    /// Local time at which the minion's clock was read, and the reading in milliseconds.
    pub(super) clock: Option<(Time, u64)>,
    /// Time by which all runs of the minion have ended if it receives no further command.
    pub(super) expiry: Time,
    /// Time by which all leases that earlier leaders granted have expired; zero if no record places
    /// a run of theirs on the minion.
    pub(super) inherited: Time,
    /// Time by which leases have expired that an earlier leader granted for the clock of the former
    /// incarnation; zero if the current one has started long ago.
    pub(super) reborn_until: Time,
    pub(super) lease: Lease,
    pub(super) hold_pending: bool,
    /// Whether the last hold failed.
    pub(super) hold_failed: bool,
    pub(super) next_hold: Time,
    /// Sequence number of the last ended run that the leader has applied.
    pub(super) applied_end: u64,
    /// Sequence number of the last ended run whose effect is durable.
    pub(super) acked_end: u64,
    /// Highest acknowledged number in a hold that the minion has answered.
    pub(super) known_ack: u64,
    /// Acknowledged number in the last hold.
    pub(super) sent_ack: u64,
    pub(super) runs: Vec<Run>,
    pub(super) reservations: Vec<Reservation>,
    /// Jobs with a task that failed on the minion since a task last succeeded there.
    pub(super) failed_jobs: Vec<crate::job::JobKey>,
    pub(super) quarantined_until: Time,
    /// Time since which runs of several jobs are overdue on the minion; none while they are not.
    pub(super) slow_since: Option<Time>,
    /// Time until which the minion is quarantined because it is slow.
    pub(super) slow_until: Time,
}

impl Minion {
    pub(super) fn new(entry: DirectoryEntry, generation: u32, now: Time) -> Self {
        let drains_at = entry.drain_ms.map(|ms| now + ms);
        let started_ms = entry.started_ms;
        Self {
            entry,
            listing: Listing::Listed,
            drains_at,
            fenced: false,
            generations: Generations::new(generation),
            started_ms,
            last_seen: None,
            clock: None,
            expiry: Time(0),
            inherited: Time(0),
            reborn_until: Time(0),
            lease: Lease::Granted,
            hold_pending: false,
            hold_failed: false,
            next_hold: now,
            applied_end: 0,
            acked_end: 0,
            known_ack: 0,
            sent_ack: 0,
            runs: Vec::new(),
            reservations: Vec::new(),
            failed_jobs: Vec::new(),
            quarantined_until: Time(0),
            slow_since: None,
            slow_until: Time(0),
        }
    }

    /// Returns the token of the next command to the minion.
    pub(super) fn token(&self, epoch: u64) -> FencingToken {
        FencingToken::new(epoch, self.generations.current())
    }

    /// Begins a new generation of commands, since the minion has restarted. Until it has answered
    /// a hold of that generation, it gets no starts.
    pub(super) fn raise_generation(&mut self) {
        if self.generations.raise() {
            self.fenced = false;
        }
    }

    /// Returns a lower bound of the minion's clock, in milliseconds; none if the clock was never
    /// read.
    pub(super) fn min_clock(&self, now: Time) -> Option<u64> {
        let (read, clock) = self.clock?;
        Some(clock.saturating_add(now.since(read)))
    }

    /// Returns whether a reading of the minion's clock, in the answer to a command sent at `sent`,
    /// cannot be of the incarnation that answered the last hold.
    pub(super) fn is_clock_reset(&self, clock_ms: u64, sent: Time, settings: &Settings) -> bool {
        let Some((read, last_ms)) = self.clock.filter(|(read, _)| *read <= sent) else {
            return false;
        };
        let elapsed = sent.since(read);
        let slowest = elapsed - elapsed * settings.drift_percent / 100;
        clock_ms.saturating_add(settings.slack_ms) < last_ms.saturating_add(slowest)
    }

    pub(super) fn is_silent(&self, now: Time, settings: &Settings) -> bool {
        self.last_seen
            .is_none_or(|seen| now.since(seen) > settings.silence_ms)
    }

    /// Notes the start time of an incarnation, in Unix milliseconds.
    pub(super) fn note_start(&mut self, started_ms: u64, now: Now, settings: &Settings) {
        let left = started_ms
            .saturating_add(settings.reborn_ms())
            .saturating_sub(now.wall_ms);
        if started_ms != 0 && left > 0 {
            // The clock of the minion may be ahead by more than the margin.
            let until = now.time + left.min(settings.reborn_ms());
            self.reborn_until = self.reborn_until.max(until);
        }
    }

    /// Notes that no earlier leader sends a command that grants a lease after `last_grant`, so that
    /// none can be in force for longer than the maximum from then on.
    pub(super) fn limit_reborn(&mut self, last_grant: Option<Time>, settings: &Settings) {
        if let Some(at) = last_grant {
            self.reborn_until = self.reborn_until.min(at + settings.settled_ms());
        }
    }

    /// Returns the time at which the task of a run can be restarted if the minion stays silent.
    pub(super) fn restart_at(&self, run: &Run) -> Time {
        let inherited = if self.inherited == Time(0) {
            Time(0)
        } else {
            self.inherited.max(self.reborn_until)
        };
        let late_until = match run.duration {
            Some(_) => run.attempts.late_until(),
            None => Time(0),
        };
        self.expiry.max(inherited).max(run.expiry).max(late_until)
    }

    /// Returns whether the fate of a start or stop is open, which the next holds resolve.
    pub(super) fn has_open_command(&self, now: Time) -> bool {
        let held = self.generations.held();
        let is_open = |r: &Run| match r.phase {
            Phase::Sent | Phase::Unconfirmed | Phase::Stopping(_, None) => true,
            Phase::Stopping(_, Some(_)) => !r.may_start_late(held, now),
            _ => false,
        };
        self.runs.iter().any(is_open)
    }

    /// Returns whether the minion may have restarted since its last answer. Its clock, its fencing
    /// epoch and the numbers of its ended runs are unknown then.
    pub(super) fn may_have_restarted(&self) -> bool {
        let listed_later = self.started_ms != 0 && self.entry.started_ms > self.started_ms;
        self.hold_failed || listed_later
    }

    /// Returns whether the minion accepts new tasks.
    pub(super) fn is_usable(&self, now: Time, settings: &Settings) -> bool {
        let listed = match self.listing {
            Listing::Listed => true,
            Listing::Missing(at) => now.since(at) < settings.unlisted_ms,
            Listing::Unreadable(_) => false,
        };
        listed
            && self.fenced
            && self.drains_at.is_none()
            && !self.may_have_restarted()
            && !self.is_silent(now, settings)
            && self.lease == Lease::Granted
            && now >= self.quarantined_until
    }

    pub(super) fn has_label(&self, label: &str) -> bool {
        self.entry.labels.iter().any(|l| &**l == label)
    }

    fn used(&self, filter: impl Fn(&Run) -> bool) -> Resources {
        let runs = self.runs.iter().filter(|r| filter(r));
        runs.fold(Resources::ZERO, |sum, r| sum.plus(&r.amount))
    }

    pub(super) fn used_milli(&self) -> u64 {
        self.used(|_| true).cores_milli
    }

    /// Returns whether resources are reserved for the step.
    pub(super) fn has_reservation(&self, step: StepKey) -> bool {
        self.reservations.iter().any(|r| r.step == step)
    }

    fn reserved_for_others(&self, step: StepKey) -> Resources {
        let others = self.reservations.iter().filter(|r| r.step != step);
        others.fold(Resources::ZERO, |sum, r| sum.plus(&r.amount))
    }

    /// Returns the resources that are free for tasks of `step` now.
    pub(super) fn free(&self, step: StepKey) -> Resources {
        let used = self.used(|_| true).plus(&self.reserved_for_others(step));
        self.entry.capacity.minus(&used)
    }

    /// Returns the resources that will be free for tasks of `step` once all stopping runs and the
    /// runs selected by `victim` have stopped.
    pub(super) fn free_after(&self, step: StepKey, victim: impl Fn(&Run) -> bool) -> Resources {
        self.entry.capacity.minus(&self.used_after(step, victim))
    }

    /// Returns the resources that will not be free for tasks of `step` once all stopping runs and
    /// the runs selected by `victim` have stopped.
    pub(super) fn used_after(&self, step: StepKey, victim: impl Fn(&Run) -> bool) -> Resources {
        let keeps = |r: &Run| !matches!(r.phase, Phase::Stopping(..)) && !victim(r);
        self.used(keeps).plus(&self.reserved_for_others(step))
    }

    pub(super) fn run(&self, task: TaskKey, run: u32) -> Option<&Run> {
        self.runs.iter().find(|r| r.task == task && r.number == run)
    }

    pub(super) fn find_run(&mut self, task: TaskKey, run: u32) -> Option<&mut Run> {
        self.runs
            .iter_mut()
            .find(|r| r.task == task && r.number == run)
    }

    pub(super) fn step_runs(&self, step: StepKey) -> u32 {
        let count = self.runs.iter().filter(|r| r.task.step == step).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}

/// Returns how many tasks that need `amount` fit into `free`.
pub(super) fn count_fitting(amount: &Resources, free: &Resources) -> u32 {
    let tasks_by = |need: u64, have: u64| have.checked_div(need).unwrap_or(u64::MAX);
    let count = tasks_by(amount.cores_milli, free.cores_milli)
        .min(tasks_by(amount.memory_mib, free.memory_mib))
        .min(tasks_by(amount.accelerators, free.accelerators));
    u32::try_from(count).unwrap_or(u32::MAX)
}
