//! Starts and stops of runs, and what becomes of those without an answer.

use primrosebay_state::Name;
use primrosebay_state::time::Time;

use super::Leader;
use super::command::{Command, Now, Refusal, StartAnswer};
use super::minion::Phase;
use crate::job::{JobKey, StepKey, TaskKey};
use crate::record::Placement;

/// Most ends that a minion lists in one answer.
pub(super) const ENDS_PER_ANSWER: usize = 500;

impl Leader {
    /// Takes over the answer to a start.
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
        let Some(known) = minion.find(task, run) else {
            return;
        };
        let waits = known.phase == Phase::Sent;
        match answer {
            StartAnswer::Started => {
                if waits {
                    known.phase = Phase::Running(now.time);
                }
                self.note_begun(task.step.job);
                log::debug!(task:% = task, run, minion:% = name; "leader: run started");
            }
            StartAnswer::Unknown => {
                if waits {
                    known.phase = Phase::Unsure;
                }
                log::warn!(task:% = task, run, minion:% = name; "leader: start was not answered");
            }
            StartAnswer::Refused(reason) => {
                log::info!(task:% = task, run, minion:% = name, reason:? = reason; "leader: start refused");
                self.on_refused(name, task, run, reason, now);
            }
        }
    }

    pub(super) fn note_begun(&mut self, job: JobKey) {
        if let Some(job) = self.jobs.get_mut(&job).filter(|j| !j.begun) {
            job.begun = true;
            job.dirty = true;
        }
    }

    fn on_refused(&mut self, name: &Name, task: TaskKey, run: u32, reason: Refusal, now: Now) {
        match reason {
            Refusal::Fenced => {
                self.deposed = true;
                return;
            }
            Refusal::Ticket => self.advisers.expire(task.step, name),
            Refusal::Unhealthy => {
                if let Some(minion) = self.minions.get_mut(name) {
                    minion.quarantine = now.time + self.settings.quarantine_ms;
                }
            }
            Refusal::Incarnation => {
                if let Some(minion) = self.minions.get_mut(name) {
                    minion.fenced = false;
                    minion.clock = None;
                }
            }
            Refusal::Room | Refusal::Late | Refusal::Old => {}
        }
        self.remove_run(name, task, run);
        self.release(name, task, run, now);
    }

    /// Takes over that a minion has carried out a stop.
    pub fn on_stop(&mut self, name: &Name, task: TaskKey, run: u32, answered: bool, now: Now) {
        let Some(run) = self
            .minions
            .get_mut(name)
            .and_then(|m| m.find(task, run))
            .filter(|_| answered)
        else {
            return;
        };
        if let Phase::Stopping(at, None) = run.phase {
            run.phase = Phase::Stopping(at, Some(now.time));
        }
    }

    /// Stops a run. One whose start was not sent yet is dropped.
    pub(super) fn stop_run(&mut self, name: &Name, task: TaskKey, run: u32, now: Now) {
        let Some(minion) = self.minions.get_mut(name) else {
            return;
        };
        let address = minion.entry.address.clone();
        let Some(known) = minion.find(task, run) else {
            return;
        };
        match known.phase {
            Phase::Recorded => {
                self.remove_run(name, task, run);
                self.release(name, task, run, now);
                return;
            }
            Phase::Stopping(at, answered) if now.time.since(at) <= self.settings.stop_retry_ms => {
                known.phase = Phase::Stopping(at, answered);
                return;
            }
            _ => known.phase = Phase::Stopping(now.time, None),
        }
        log::info!(task:% = task, run, minion:% = name; "leader: run is stopped");
        if address.is_empty() {
            return;
        }
        self.commands.push(Command::Stop {
            minion: name.clone(),
            address,
            task,
            run,
        });
    }

    /// Stops all runs of a step.
    pub(super) fn stop_step(&mut self, step: StepKey, now: Now) {
        self.stop_where(now, |task| task.step == step);
    }

    /// Stops all runs of a job.
    pub(super) fn stop_job(&mut self, job: JobKey, now: Now) {
        self.advisers.forget(job);
        self.stop_where(now, |task| task.step.job == job);
    }

    fn stop_where(&mut self, now: Now, holds: impl Fn(TaskKey) -> bool) {
        let mut found: Vec<(Name, TaskKey, u32)> = Vec::new();
        for (name, minion) in self.minions.iter() {
            let runs = minion.runs.iter().filter(|r| holds(r.task));
            found.extend(runs.map(|r| (name.clone(), r.task, r.number)));
        }
        for (name, task, run) in found {
            self.stop_run(&name, task, run, now);
        }
    }

    /// Does what is due by time alone.
    pub(super) fn expire(&mut self, now: Now) {
        for (_, minion) in self.minions.iter_mut() {
            minion.reserved.retain(|r| now.time < r.until);
        }
        self.advisers.expire_calls(now.time);
        self.give_up_silent(now);
        self.empty_leaving(now);
        self.forget_gone(now);
    }

    /// Starts tasks elsewhere whose minion has been silent for so long that all its runs have
    /// lapsed.
    fn give_up_silent(&mut self, now: Now) {
        let mut lost = Vec::new();
        for (name, minion) in self.minions.iter_mut() {
            if !minion.is_silent(now.time, &self.settings) || now.time < minion.lapse {
                continue;
            }
            let sent = |p: Phase| p != Phase::Recorded;
            for run in minion.runs.extract_if(.., |r| sent(r.phase)) {
                lost.push((name.clone(), run.task, run.number));
            }
        }
        for (name, task, run) in lost {
            log::warn!(task:% = task, run, minion:% = name; "leader: run has lapsed on a silent minion");
            self.strays.retain(|t| *t != task);
            self.release(&name, task, run, now);
        }
    }

    /// Stops tasks on minions that are about to leave, so that they save their work.
    fn empty_leaving(&mut self, now: Now) {
        let mut stop = Vec::new();
        for (name, minion) in self.minions.iter() {
            let due = |at: Time| now.time + self.settings.evict_ms >= at;
            if !minion.leaves.is_some_and(due) {
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

    /// Returns whether a task's place still names this run, so that its start may be sent.
    pub(super) fn is_current(&self, name: &Name, task: TaskKey, run: u32) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return false;
        };
        let Some(state) = job.spec.position(task).and_then(|at| job.tasks.get(at)) else {
            return false;
        };
        let here = matches!(&state.placement, Placement::Minion(m) if m == name);
        here && state.run == run && job.outcome.is_none() && !job.cancelled
    }
}
