//! Starting and stopping of runs, and the handling of unanswered commands and silent minions.

use primrosebay_state::Name;
use primrosebay_state::time::Time;

use super::Leader;
use super::command::{Command, Now, Refusal, StartAnswer};
use super::minion::{Minion, Phase, Run};
use crate::job::{JobKey, StepKey, TaskKey};
use crate::record::Placement;

/// Maximum number of ended runs that a minion reports in one answer.
pub(super) const ENDS_PER_ANSWER: usize = 500;

impl Leader {
    /// Applies the answer to a start.
    pub fn on_start(
        &mut self,
        name: &Name,
        task: TaskKey,
        run: u32,
        answer: StartAnswer,
        now: Now,
    ) {
        let Some(minion) = self.minions.get_mut(name) else {
            return;
        };
        let Some(known_run) = minion.find_run(task, run) else {
            return;
        };
        let in_flight = known_run.phase == Phase::Sent;
        if answer != StartAnswer::Unknown {
            known_run.attempts.settle();
        }
        match answer {
            StartAnswer::Started(clock_ms) => {
                let sent = known_run.updated_at;
                if in_flight {
                    known_run.phase = Phase::Running(now.time);
                    if known_run.duration.is_none() {
                        // A task that lasts does not wait for the leases of earlier starts.
                        known_run.expiry = Time(0);
                    }
                }
                if clock_ms.is_some_and(|c| minion.is_clock_reset(c, sent, &self.settings)) {
                    log::info!(minion:% = name, task:% = task; "leader: minion has restarted, by the clock in its answer");
                    minion.hold_failed = true;
                    minion.raise_generation();
                    minion.next_hold = now.time;
                    self.room.mark_changed(name);
                    let longest = self.settings.upper_ms(self.settings.max_lease_ms);
                    minion.expiry = minion.expiry.max(now.time + longest);
                }
                self.mark_begun(task.step.job);
                log::debug!(task:% = task, run, minion:% = name; "leader: run started");
            }
            StartAnswer::Unknown => {
                if in_flight {
                    known_run.phase = Phase::Unconfirmed;
                    let longest = self.settings.upper_ms(self.settings.max_lease_ms);
                    known_run.expiry = now.time + longest;
                }
                log::warn!(task:% = task, run, minion:% = name; "leader: start not answered");
            }
            StartAnswer::Refused(reason) => {
                log::info!(task:% = task, run, minion:% = name, reason:? = reason; "leader: start refused");
                self.on_refused(name, task, run, reason, now);
            }
        }
    }

    pub(super) fn mark_begun(&mut self, job: JobKey) {
        if let Some(job) = self.jobs.get_mut(&job).filter(|j| !j.begun) {
            job.begun = true;
            job.mark_changed(&mut self.changes);
        }
    }

    /// Returns whether the leader has sent the minion commands of a later generation than that of the
    /// run's start. The minion refuses the start then, although it has seen no other leader.
    fn is_superseded(&self, name: &Name, task: TaskKey, run: u32) -> bool {
        let Some(minion) = self.minions.get(name) else {
            return false;
        };
        let is_it = |r: &&Run| r.task == task && r.number == run;
        let run = minion.runs.iter().find(is_it);
        run.is_some_and(|r| r.generation < minion.generations.current())
    }

    fn on_refused(&mut self, name: &Name, task: TaskKey, run: u32, reason: Refusal, now: Now) {
        self.room.mark_changed(name);
        let minion = self.minions.get_mut(name);
        let known_run = minion.and_then(|m| m.find_run(task, run));
        let repeated = known_run.filter(|r| r.attempts.count > 1 && r.phase == Phase::Sent);
        if let (Refusal::Old, Some(known_run)) = (reason, repeated) {
            // An earlier start was carried out, and the run has ended. The next hold lists its end.
            known_run.phase = Phase::Running(now.time);
            return;
        }
        match reason {
            Refusal::Fenced if !self.is_superseded(name, task, run) => {
                self.deposed = true;
                return;
            }
            Refusal::Ticket => self.advice.drop_ticket(task.step, name),
            Refusal::Unhealthy => {
                if let Some(minion) = self.minions.get_mut(name) {
                    minion.quarantined_until = now.time + self.settings.quarantine_ms;
                }
            }
            Refusal::Incarnation => {
                if let Some(minion) = self.minions.get_mut(name) {
                    minion.fenced = false;
                    minion.clock = None;
                }
            }
            Refusal::Fenced | Refusal::Room | Refusal::Late | Refusal::Old => {}
        }
        if self.waits_for_late_start(name, task, run, now) {
            self.stop_run(name, task, run, now);
            return;
        }
        self.remove_run(name, task, run);
        self.requeue(name, task, run, now);
    }

    /// Returns whether the task of the run may not run elsewhere yet, since a start of the run that
    /// had no answer may still be carried out after a restart of the minion.
    pub(super) fn waits_for_late_start(
        &self,
        name: &Name,
        task: TaskKey,
        run: u32,
        now: Now,
    ) -> bool {
        let minion = self.minions.get(name);
        let may_start = |m: &Minion| {
            let held = m.generations.held();
            m.run(task, run)
                .is_some_and(|r| r.may_start_late(held, now.time))
        };
        minion.is_some_and(may_start) && self.is_current(name, task, run)
    }

    /// Applies the answer to a stop; `answered` is false if the minion did not answer.
    pub fn on_stop(&mut self, name: &Name, task: TaskKey, run: u32, answered: bool, now: Now) {
        let Some(run) = self
            .minions
            .get_mut(name)
            .and_then(|m| m.find_run(task, run))
            .filter(|_| answered)
        else {
            return;
        };
        if let Phase::Stopping(at, None) = run.phase {
            run.phase = Phase::Stopping(at, Some(now.time));
        }
    }

    /// Stops a run. A run whose start was not sent yet is dropped.
    pub(super) fn stop_run(&mut self, name: &Name, task: TaskKey, run: u32, now: Now) {
        let Some(minion) = self.minions.get_mut(name) else {
            return;
        };
        let address = minion.entry.address.clone();
        let token = minion.token(self.epoch);
        let Some(known_run) = minion.find_run(task, run) else {
            return;
        };
        match known_run.phase {
            Phase::Committing => {
                self.remove_run(name, task, run);
                self.requeue(name, task, run, now);
                return;
            }
            Phase::Stopping(at, answered) if now.time.since(at) <= self.settings.stop_retry_ms => {
                known_run.phase = Phase::Stopping(at, answered);
                return;
            }
            _ => known_run.phase = Phase::Stopping(now.time, None),
        }
        self.room.mark_changed(name);
        log::info!(task:% = task, run, minion:% = name; "leader: stopping run");
        if address.is_empty() {
            return;
        }
        self.commands.push(Command::Stop {
            minion: name.clone(),
            address,
            token,
            task,
            run,
        });
    }

    /// Stops all runs of a step.
    pub(super) fn stop_step(&mut self, step: StepKey, now: Now) {
        self.stop_where(now, |task| task.step == step);
    }

    /// Stops all runs of a job and drops its advice.
    pub(super) fn stop_job(&mut self, job: JobKey, now: Now) {
        self.advice.remove_job(job);
        self.stop_where(now, |task| task.step.job == job);
    }

    fn stop_where(&mut self, now: Now, matches: impl Fn(TaskKey) -> bool) {
        let mut found: Vec<(Name, TaskKey, u32)> = Vec::new();
        for (name, minion) in self.minions.iter() {
            let runs = minion.runs.iter().filter(|r| matches(r.task));
            found.extend(runs.map(|r| (name.clone(), r.task, r.number)));
        }
        for (name, task, run) in found {
            self.stop_run(&name, task, run, now);
        }
    }

    /// Handles reservations, advice calls, leases and drains that are due, and removes stale
    /// minions.
    pub(super) fn expire(&mut self, now: Now) {
        for (name, minion) in self.minions.iter_mut() {
            if minion.reservations.iter().any(|r| now.time >= r.until) {
                minion.reservations.retain(|r| now.time < r.until);
                self.room.mark_freed(name);
            }
        }
        self.advice.expire_calls(now.time);
        self.expire_silent(now);
        self.evict_draining(now);
        self.remove_stale(now);
    }

    /// Marks the tasks on silent minions as pending once all runs there have expired.
    fn expire_silent(&mut self, now: Now) {
        let mut lost = Vec::new();
        for (name, minion) in self.minions.iter() {
            if !minion.is_silent(now.time, &self.settings) {
                continue;
            }
            let has_expired =
                |r: &&Run| r.phase != Phase::Committing && now.time >= minion.restart_at(r);
            let runs = minion.runs.iter().filter(has_expired);
            lost.extend(runs.map(|r| (name.clone(), r.task, r.number)));
        }
        for (name, task, run) in lost {
            log::warn!(task:% = task, run, minion:% = name; "leader: run expired on silent minion");
            self.remove_run(&name, task, run);
            self.requeue(&name, task, run, now);
        }
    }

    /// Stops runs on minions that are about to shut down, so that they save checkpoints.
    fn evict_draining(&mut self, now: Now) {
        let mut stop = Vec::new();
        for (name, minion) in self.minions.iter() {
            let due = |at: Time| now.time + self.settings.evict_ms >= at;
            if !minion.drains_at.is_some_and(due) {
                continue;
            }
            let runs = minion.runs.iter();
            let running = runs.filter(|r| matches!(r.phase, Phase::Running(_)));
            stop.extend(running.map(|r| (name.clone(), r.task, r.number)));
        }
        for (name, task, run) in stop {
            self.stop_run(&name, task, run, now);
        }
    }

    /// Returns whether this run is still the current one of its task, so that its start may be
    /// sent.
    pub(super) fn is_current(&self, name: &Name, task: TaskKey, run: u32) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return false;
        };
        let Some(state) = job
            .spec
            .position(task)
            .and_then(|position| job.tasks.get(position))
        else {
            return false;
        };
        let is_placed = matches!(&state.placement, Placement::Minion(m) if m == name);
        is_placed && state.run == run && job.outcome.is_none() && !job.cancelled
    }
}
