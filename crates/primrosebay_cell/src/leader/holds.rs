//! Leases of minions, and what minions say runs and has ended.

use primrosebay_state::Name;
use primrosebay_state::time::Time;

use super::Leader;
use super::command::{Command, End, EndedRun, HoldAnswer, HoldReport, Now};
use super::commit::Gate;
use super::minion::{Phase, Run};
use crate::job::{JobKey, TaskKey};
use crate::record::{Outcome, Placement};

impl Leader {
    /// Asks each minion whose turn it is to hold its runs.
    pub(super) fn hold_minions(&mut self, now: Now) {
        // A leader that cannot reach the log lets leases lapse in the end, because a successor
        // counts on it.
        let renews = now.time.since(self.confirmed) <= self.settings.renew_ms;
        for (name, minion) in self.minions.iter_mut() {
            let known = !minion.entry.address.is_empty();
            if minion.holding || !known || now.time < minion.next_hold {
                continue;
            }
            minion.holding = true;
            // A minion that is silent is only looked at. Renewals that nobody answers would put off
            // the time after which its tasks may be started elsewhere.
            let renews = renews && !minion.is_silent(now.time, &self.settings);
            let clock = minion.clock_at(now.time).filter(|_| renews);
            let until = clock.map(|c| c + self.settings.lease_ms);
            if until.is_some() {
                let lapse = now.time + self.settings.upper_ms(self.settings.lease_ms);
                minion.lapse = minion.lapse.max(lapse);
            }
            // While an end is not durable the minion would answer at once, again and again.
            let settled = minion.noted == minion.acked && minion.clock.is_some();
            let wait_ms = if settled {
                self.settings.long_poll_ms
            } else {
                0
            };
            self.commands.push(Command::Hold {
                minion: name.clone(),
                address: minion.entry.address.clone(),
                until,
                acked: minion.acked,
                wait_ms,
            });
        }
    }

    /// Takes over what came of a hold that was sent at `sent`.
    pub fn on_hold(&mut self, name: &Name, sent: Time, answer: HoldAnswer, now: Now) {
        let Some(minion) = self.minions.get_mut(name) else {
            return;
        };
        minion.holding = false;
        match answer {
            HoldAnswer::Held(held) => self.on_held(name, sent, &held, now),
            HoldAnswer::Fenced => {
                log::warn!(minion:% = name, epoch = self.epoch; "leader: a minion has seen a higher term");
                self.deposed = true;
            }
            HoldAnswer::Incarnation | HoldAnswer::Failed => {
                minion.next_hold = now.time + self.settings.retry_ms;
            }
        }
    }

    fn on_held(&mut self, name: &Name, sent: Time, held: &HoldReport, now: Now) {
        let Some(minion) = self.minions.get_mut(name) else {
            return;
        };
        let restarted = minion.born != 0 && held.started_ms != 0 && held.started_ms != minion.born;
        if restarted {
            log::info!(minion:% = name, runs = minion.runs.len(); "leader: minion has restarted");
            minion.noted = 0;
            minion.acked = 0;
            minion.failures.clear();
        }
        let was_silent = minion.is_silent(now.time, &self.settings);
        minion.born = held.started_ms;
        minion.fenced = true;
        minion.seen = Some(now.time);
        minion.clock = Some((now.time, held.clock_ms));
        if was_silent {
            log::info!(minion:% = name, running = held.running.len(), ended = held.ended.len(); "leader: minion answers");
        }
        self.note_ended(name, &held.ended, now);
        self.note_running(name, sent, held, now);
        self.note_pace(name, now);
        let Some(minion) = self.minions.get_mut(name) else {
            return;
        };
        minion.next_hold = if minion.noted > minion.acked {
            now.time + self.settings.retry_ms
        } else {
            now.time
        };
    }

    /// Applies the ends that were not known yet.
    fn note_ended(&mut self, name: &Name, ended: &[EndedRun], now: Now) {
        for end in ended {
            let Some(minion) = self.minions.get_mut(name) else {
                return;
            };
            if end.number <= minion.noted {
                continue;
            }
            minion.noted = end.number;
            let number = end.number;
            minion
                .runs
                .retain(|r| r.task != end.task || r.number != end.run);
            self.strays.retain(|t| *t != end.task);
            self.gates.push(Gate::Ack {
                minion: name.clone(),
                number,
            });
            self.apply_end(name, end, now);
        }
    }

    fn apply_end(&mut self, name: &Name, end: &EndedRun, now: Now) {
        let key = end.task.step.job;
        let Some((at, gang)) = self.placed(name, end.task, end.run) else {
            log::info!(task:% = end.task, run = end.run, minion:% = name, end:? = end.end; "leader: end of a run that no longer counts");
            return;
        };
        log::info!(task:% = end.task, run = end.run, minion:% = name, end:? = end.end, number = end.number; "leader: run ended");
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        job.dirty = true;
        job.begun = true;
        if !end.checkpoint.is_empty() {
            job.tasks[at].checkpoint = end.checkpoint.clone();
        }
        let lasting = job.step(end.task.step).is_some_and(|s| s.long_running);
        match end.end {
            End::Done if !lasting => {
                let places = if gang {
                    job.places(end.task.step)
                } else {
                    at..at + 1
                };
                for task in &mut job.tasks[places] {
                    task.placement = Placement::Done;
                }
                job.settle(now);
                self.note_success(name);
            }
            End::Failed => {
                self.note_failure(name, end.task, end.run, now);
                self.release(name, end.task, end.run, now);
            }
            End::Done | End::Lost => self.release(name, end.task, end.run, now),
        }
        self.forget_ended(key);
    }

    /// Returns the place of a task and whether it belongs to a gang, if this run of it counts.
    pub(super) fn placed(&self, name: &Name, task: TaskKey, run: u32) -> Option<(usize, bool)> {
        let job = self.jobs.get(&task.step.job)?;
        let at = job.spec.position(task)?;
        let state = job.tasks.get(at)?;
        let here =
            matches!(&state.placement, Placement::Minion(m) if m == name) && state.run == run;
        let gang = job.step(task.step).is_some_and(|s| s.gang);
        here.then_some((at, gang))
    }

    /// Puts a task whose run is over back among those to be started. A gang whose run has lost a
    /// member is stopped as a whole.
    pub(super) fn release(&mut self, name: &Name, task: TaskKey, run: u32, now: Now) {
        let Some((at, gang)) = self.placed(name, task, run) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        job.tasks[at].placement = Placement::Pending;
        job.dirty = true;
        if gang {
            self.stop_step(task.step, now);
        }
        self.forget_ended(task.step.job);
    }

    /// Compares what a minion says is running with what was placed there.
    fn note_running(&mut self, name: &Name, sent: Time, held: &HoldReport, now: Now) {
        let listed = |run: &Run| {
            let same = |l: &&super::ActiveRun| l.task == run.task && l.run == run.number;
            held.running.iter().find(same)
        };
        let Some(minion) = self.minions.get_mut(name) else {
            return;
        };
        let mut gone = Vec::new();
        let mut stop = Vec::new();
        for run in &mut minion.runs {
            match (listed(run).is_some(), run.phase) {
                (true, Phase::Sent | Phase::Unsure | Phase::Inherited) => {
                    run.phase = Phase::Running(now.time);
                }
                (true, Phase::Stopping(at, _))
                    if now.time.since(at) > self.settings.stop_retry_ms =>
                {
                    stop.push((run.task, run.number));
                }
                (false, Phase::Unsure) => stop.push((run.task, run.number)),
                // Orders of an earlier leader no longer take effect, so the run will not appear.
                (false, Phase::Inherited) => gone.push((run.task, run.number)),
                (false, Phase::Running(since)) if since < sent => {
                    gone.push((run.task, run.number));
                }
                (false, Phase::Stopping(_, Some(answered))) if answered < sent => {
                    gone.push((run.task, run.number));
                }
                (false, Phase::Stopping(at, None))
                    if now.time.since(at) > self.settings.stop_retry_ms =>
                {
                    stop.push((run.task, run.number));
                }
                _ => {}
            }
        }
        // The list may leave out ends if there are many; their runs are settled with later ones.
        let all_ends = held.ended.len() < super::orders::ENDS_PER_ANSWER;
        for (task, run) in gone.into_iter().filter(|_| all_ends) {
            log::info!(task:% = task, run, minion:% = name; "leader: run is not there");
            self.remove_run(name, task, run);
            self.release(name, task, run, now);
        }
        for (task, run) in stop {
            self.stop_run(name, task, run, now);
        }
        for listed in &held.running {
            self.note_begun(listed.task.step.job);
        }
        self.note_listed(name, held, now);
    }

    /// Takes over checkpoints and stops runs that were not placed on the minion.
    fn note_listed(&mut self, name: &Name, held: &HoldReport, now: Now) {
        for listed in &held.running {
            if let Some((at, _)) = self.placed(name, listed.task, listed.run) {
                let job = self.jobs.get_mut(&listed.task.step.job);
                if let Some(job) = job.filter(|_| !listed.checkpoint.is_empty()) {
                    // Not appended by itself: a later change of the job carries it.
                    job.tasks[at].checkpoint = listed.checkpoint.clone();
                }
                continue;
            }
            let Some(minion) = self.minions.get_mut(name) else {
                return;
            };
            if minion.find(listed.task, listed.run).is_some() {
                continue;
            }
            log::warn!(task:% = listed.task, run = listed.run, minion:% = name; "leader: run was not placed here");
            let job = self.jobs.get(&listed.task.step.job);
            let amount = job.map(|j| j.amount(listed.task.step));
            minion.runs.push(Run {
                task: listed.task,
                number: listed.run,
                amount: amount.unwrap_or(minion.entry.capacity),
                account: job.and_then(|j| j.account.clone()),
                phase: Phase::Running(now.time),
                since: now.time,
            });
            self.strays.push(listed.task);
            self.stop_run(name, listed.task, listed.run, now);
        }
    }

    pub(super) fn remove_run(&mut self, name: &Name, task: TaskKey, run: u32) {
        if let Some(minion) = self.minions.get_mut(name) {
            minion.runs.retain(|r| r.task != task || r.number != run);
        }
        self.strays.retain(|t| *t != task);
    }

    fn note_success(&mut self, name: &Name) {
        if let Some(minion) = self.minions.get_mut(name) {
            minion.failures.clear();
        }
    }

    /// Counts a failed run for its task or gang and against the minion.
    fn note_failure(&mut self, name: &Name, task: TaskKey, run: u32, now: Now) {
        let key = task.step.job;
        if let Some(minion) = self.minions.get_mut(name)
            && !minion.failures.contains(&key)
        {
            minion.failures.push(key);
            if minion.failures.len() >= self.settings.quarantine_failures as usize {
                minion.quarantine = now.time + self.settings.quarantine_ms;
                minion.failures.clear();
                log::warn!(minion:% = name, for_ms = self.settings.quarantine_ms; "leader: minion quarantined");
            }
        }
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let Some(step) = job.step(task.step) else {
            return;
        };
        let (gang, lasting) = (step.gang, step.long_running);
        let own = job.spec.position(task).unwrap_or(0);
        let at = if gang {
            job.places(task.step).start
        } else {
            own
        };
        job.failed_on.retain(|(task, _)| *task != own);
        job.failed_on.push((own, name.clone()));
        if gang {
            if job.counted.contains(&(at, run)) {
                return;
            }
            job.counted.push((at, run));
        }
        job.tasks[at].failures += 1;
        let attempts = self.queues.get(&job.queue).map_or(u32::MAX, |q| q.attempts);
        if !lasting && job.tasks[at].failures >= attempts && job.outcome.is_none() {
            job.end(Outcome::Failed, now);
            self.stop_job(key, now);
        }
    }

    /// Drops a job from the active ones once it has ended and nothing of it is on a minion.
    pub(super) fn forget_ended(&mut self, key: JobKey) {
        let done = |j: &super::Active| j.outcome.is_some() && !j.is_placed();
        if let Some(job) = self.jobs.get_mut(&key).filter(|j| done(j)) {
            job.dirty = true;
        }
    }
}
