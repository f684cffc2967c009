//! Lease renewal, and reconciliation with the runs that minions report.
//!
//! A hold is a long poll: it renews the lease of a minion and returns its running and ended runs.

use primrosebay_state::Name;
use primrosebay_state::time::Time;

use super::Leader;
use super::active::ActiveJob;
use super::command::{Command, End, EndedRun, HoldAnswer, HoldReport, Now};
use super::commit::Deferred;
use super::minion::{Attempts, Lease, Minion, Phase, Run};
use crate::config::Queue;
use crate::job::{JobKey, TaskKey};
use crate::record::{Outcome, Placement};

impl Leader {
    /// Returns whether the leader may grant leases. If it cannot reach the log, it stops after a
    /// while, because a successor relies on their expiry.
    pub(super) fn may_grant_leases(&self, now: Now) -> bool {
        now.time.since(self.confirmed_at) <= self.settings.renew_ms
    }

    /// Returns whether the leader may send starts. Their leases are shorter, so the last of them ends
    /// no later than those of the last renewals.
    pub(super) fn may_send_starts(&self, now: Now) -> bool {
        now.time.since(self.confirmed_at) <= self.settings.granting_ms()
    }

    /// Sends a hold to each minion that is due for one. Between sweeps, only minions whose last hold
    /// was answered or whose ends became durable since the last pass are looked at.
    pub(super) fn hold_minions(&mut self, is_sweep: bool, now: Now) {
        let mut names = std::mem::take(&mut self.hold_next);
        if is_sweep {
            let may_hold = |m: &Minion| !m.hold_pending && now.time >= m.next_hold;
            let due = self.minions.iter().filter(|(_, m)| may_hold(m));
            names = due.map(|(name, _)| name.clone()).collect();
        }
        let renew = self.may_grant_leases(now);
        // While the log is away, short waits make the last renewals late and the first ones after the
        // outage early, so that running tasks outlast a longer outage.
        let longest_ms = if now.time.since(self.confirmed_at) <= self.settings.outage_ms {
            self.settings.long_poll_ms
        } else {
            self.settings.outage_poll_ms
        };
        for name in names {
            let Some(minion) = self.minions.get_mut(&name) else {
                continue;
            };
            let has_address = !minion.entry.address.is_empty();
            if minion.hold_pending || !has_address || now.time < minion.next_hold {
                continue;
            }
            // No task can be placed on a minion whose service no queue names. Its entry may be that
            // of another writer, and each call to it would fail. A minion that has answered may
            // have ends to acknowledge, or carry out a start late, after its queue has moved to
            // another service.
            let is_used = |q: &Queue| q.service == minion.entry.service;
            let was_used = minion.last_seen.is_some() || !minion.runs.is_empty();
            if !was_used && !self.queues.iter().any(|(_, q)| is_used(q)) {
                continue;
            }
            minion.hold_pending = true;
            // A new term counts its generations from 0 again.
            self.deposed |= minion.generations.is_exhausted();
            // A hold to a silent minion does not renew its lease. Unanswered renewals would
            // postpone the time after which its tasks may be restarted elsewhere.
            let renew = renew
                && minion.lease == Lease::Granted
                && !minion.is_silent(now.time, &self.settings);
            // The clock is not that of an incarnation that the leader does not know yet.
            let renew = renew && minion.fenced && !minion.may_have_restarted();
            let clock = minion.min_clock(now.time).filter(|_| renew);
            let until_ms = clock.map(|c| c.saturating_add(self.settings.lease_ms));
            if until_ms.is_some() {
                let expiry = now.time + self.settings.upper_ms(self.settings.lease_ms);
                minion.expiry = minion.expiry.max(expiry);
            }
            // While an ended run is not acknowledged, the minion would answer a waiting hold at
            // once, again and again. While its lease is withheld, the hold that renews it must not
            // wait for the end of this one.
            let settled = minion.applied_end == minion.acked_end
                && minion.clock.is_some()
                && minion.lease == Lease::Granted
                && minion.fenced
                && !minion.may_have_restarted();
            // A run that never began has no end for which a hold could wait.
            let wait_ms = match (settled, minion.has_open_command(now.time)) {
                (true, false) => longest_ms,
                (true, true) => self.settings.retry_ms,
                (false, _) => 0,
            };
            // A restarted minion numbers its ended runs from 1 again, and would remove those up to
            // the acknowledged number although the leader has not seen them. So a number is sent
            // only until the minion has answered it.
            let is_known = minion.acked_end == minion.known_ack;
            let acked = if is_known || minion.may_have_restarted() {
                0
            } else {
                minion.acked_end
            };
            minion.sent_ack = acked;
            minion.generations.hold();
            if until_ms.is_some() || acked > 0 {
                minion.generations.bind();
            }
            let token = minion.token(self.epoch);
            self.commands.push(Command::Hold {
                minion: name,
                address: minion.entry.address.clone(),
                token,
                until_ms,
                acked,
                wait_ms,
            });
        }
    }

    /// Applies the answer to a hold that was sent at `sent`.
    pub fn on_hold(&mut self, name: &Name, sent: Time, answer: HoldAnswer, now: Now) {
        let Some(minion) = self.minions.get_mut(name) else {
            return;
        };
        minion.hold_pending = false;
        self.room.mark_changed(name);
        match answer {
            HoldAnswer::Held(report) => self.on_held(name, sent, &report, now),
            // A command of a later generation has overtaken the hold.
            HoldAnswer::Fenced if !minion.generations.is_held() => {
                minion.next_hold = now.time;
            }
            HoldAnswer::Fenced => {
                log::warn!(minion:% = name, epoch = self.epoch; "leader: minion has seen a higher fencing token");
                self.deposed = true;
            }
            HoldAnswer::Incarnation | HoldAnswer::Failed => {
                minion.hold_failed = true;
                minion.next_hold = now.time + self.settings.retry_ms;
            }
        }
    }

    fn on_held(&mut self, name: &Name, sent: Time, report: &HoldReport, now: Now) {
        let Some(minion) = self.minions.get_mut(name) else {
            return;
        };
        let restarted = minion.started_ms != 0
            && report.started_ms != 0
            && report.started_ms != minion.started_ms;
        if restarted {
            log::info!(minion:% = name, runs = minion.runs.len(); "leader: minion has restarted");
            // A hold to the previous incarnation may have reached this one, whose clock is behind.
            let longest = self.settings.upper_ms(self.settings.max_lease_ms);
            minion.expiry = minion.expiry.max(now.time + longest);
            minion.applied_end = 0;
            minion.acked_end = 0;
            minion.known_ack = 0;
            minion.failed_jobs.clear();
            // The new incarnation may be on another machine.
            self.durations.forget_minion(name);
            // Commands of the generation of this hold may have been sent to the former incarnation.
            minion.raise_generation();
        } else {
            minion.known_ack = minion.known_ack.max(minion.sent_ack);
        }
        let is_current = minion.generations.is_held();
        let was_silent = minion.is_silent(now.time, &self.settings);
        let is_first = minion.last_seen.is_none();
        if report.started_ms != minion.started_ms || is_first {
            minion.note_start(report.started_ms, now, &self.settings);
            // From now on this incarnation refuses commands of earlier leaders.
            minion.limit_reborn(Some(now.time), &self.settings);
        }
        minion.started_ms = report.started_ms;
        // The minion knows its start time better than the directory.
        minion.entry.started_ms = report.started_ms;
        if is_first {
            // From now on the minion refuses commands of earlier leaders.
            let lease_ms = self.settings.upper_ms(self.settings.lease_ms);
            minion.inherited = minion.inherited.min(now.time + lease_ms);
        }
        self.waits_due |= minion.lease == Lease::Withheld;
        minion.fenced = is_current;
        minion.hold_failed &= !is_current;
        minion.last_seen = Some(now.time);
        minion.clock = Some((now.time, report.clock_ms));
        if was_silent {
            log::info!(minion:% = name, running = report.running.len(), ended = report.ended.len(); "leader: minion is reachable");
        }
        self.apply_ends(name, &report.ended, was_silent, now);
        self.reconcile_runs(name, sent, report, now);
        self.quarantine_slow(name, now);
        let Some(minion) = self.minions.get_mut(name) else {
            return;
        };
        let is_waiting = minion.applied_end > minion.acked_end || minion.lease != Lease::Granted;
        minion.next_hold = if is_waiting && minion.fenced {
            now.time + self.settings.retry_ms
        } else {
            self.hold_next.push(name.clone());
            now.time
        };
    }

    /// Applies the ended runs that were not applied before. `late` tells whether they may have ended
    /// long ago.
    fn apply_ends(&mut self, name: &Name, ended: &[EndedRun], late: bool, now: Now) {
        for end in ended {
            let Some(minion) = self.minions.get_mut(name) else {
                return;
            };
            if end.sequence <= minion.applied_end {
                continue;
            }
            minion.applied_end = end.sequence;
            let (started_ms, sequence) = (minion.started_ms, end.sequence);
            let ran_ms = self.ran_ms(name, end.task, end.run, now).filter(|_| !late);
            self.note_saved_end(end);
            self.remove_run(name, end.task, end.run);
            self.deferred.push(Deferred::Ack {
                minion: name.clone(),
                started_ms,
                sequence,
            });
            self.apply_end(name, end, ran_ms, now);
        }
    }

    /// Applies the end of a run that took `ran_ms`; none if that is not known.
    fn apply_end(&mut self, name: &Name, end: &EndedRun, ran_ms: Option<u64>, now: Now) {
        let key = end.task.step.job;
        let Some((position, gang)) = self.placed_run(name, end.task, end.run) else {
            if !self.is_done(end.task) {
                log::info!(task:% = end.task, run = end.run, minion:% = name, end:? = end.end; "leader: end of a superseded run ignored");
            }
            return;
        };
        log::info!(task:% = end.task, run = end.run, minion:% = name, end:? = end.end, number = end.sequence; "leader: run ended");
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        job.begun = true;
        job.mark_changed(&mut self.changes);
        if !end.checkpoint.is_empty() {
            job.tasks[position].checkpoint = end.checkpoint.clone();
        }
        let long_running = job.step(end.task.step).is_some_and(|s| s.long_running);
        match end.end {
            End::Done if !long_running => {
                let task_range = if gang {
                    job.task_range(end.task.step)
                } else {
                    position..position + 1
                };
                for task in &mut job.tasks[task_range] {
                    task.placement = Placement::Done;
                }
                if let Some(ran_ms) = ran_ms {
                    job.learn(&mut self.durations, name, end.task.step, ran_ms);
                }
                job.update_outcome(&mut self.changes, now);
                self.record_success(name);
            }
            End::Failed => {
                self.record_failure(name, end.task, end.run, now);
                self.requeue(name, end.task, end.run, now);
            }
            End::Done | End::Lost => self.requeue(name, end.task, end.run, now),
        }
        self.flush_if_ended(key);
    }

    /// Returns the position of a task and whether it belongs to a gang, if this run is its current
    /// one on this minion.
    pub(super) fn placed_run(&self, name: &Name, task: TaskKey, run: u32) -> Option<(usize, bool)> {
        let job = self.jobs.get(&task.step.job)?;
        let position = job.spec.position(task)?;
        let state = job.tasks.get(position)?;
        let is_placed =
            matches!(&state.placement, Placement::Minion(m) if m == name) && state.run == run;
        let gang = job.step(task.step).is_some_and(|s| s.gang);
        is_placed.then_some((position, gang))
    }

    /// Returns whether a task is done, as all tasks of a gang are after the first end that says so.
    fn is_done(&self, task: TaskKey) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return self.ended_jobs.get(&task.step.job).is_some();
        };
        let state = job.spec.position(task).and_then(|p| job.tasks.get(p));
        state.is_some_and(|t| t.placement == Placement::Done)
    }

    /// Marks a task whose run is over as pending. A gang that loses a task is stopped as a whole.
    pub(super) fn requeue(&mut self, name: &Name, task: TaskKey, run: u32, now: Now) {
        let Some((position, gang)) = self.placed_run(name, task, run) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        job.tasks[position].placement = Placement::Pending;
        job.mark_changed(&mut self.changes);
        if gang {
            self.stop_step(task.step, now);
        }
        self.flush_if_ended(task.step.job);
    }

    /// Reconciles the runs of a minion with those that it reports as running.
    fn reconcile_runs(&mut self, name: &Name, sent: Time, report: &HoldReport, now: Now) {
        let reported = |run: &Run| {
            let same = |l: &&super::ActiveRun| l.task == run.task && l.run == run.number;
            report.running.iter().find(same)
        };
        let Some(minion) = self.minions.get_mut(name) else {
            return;
        };
        // The lists may be older than the clock reading, but not than the hold.
        let listed_ms = report.clock_ms.saturating_sub(now.time.since(sent));
        let mut missing = Vec::new();
        let mut stop = Vec::new();
        let mut repeat = Vec::new();
        let generation = minion.generations.held();
        for run in &mut minion.runs {
            match (reported(run).is_some(), run.phase) {
                (true, Phase::Sent | Phase::Unconfirmed | Phase::Inherited) => {
                    run.phase = Phase::Running(now.time);
                    run.expiry = Time(0);
                    run.attempts.settle();
                }
                (true, Phase::Stopping(at, _))
                    if now.time.since(at) > self.settings.stop_retry_ms =>
                {
                    stop.push((run.task, run.number));
                }
                // The minion refuses the start by now, so the run cannot appear later.
                (false, Phase::Sent | Phase::Unconfirmed | Phase::Stopping(..))
                    if run.generation < generation =>
                {
                    missing.push((run.task, run.number));
                }
                (false, Phase::Unconfirmed) => repeat.push((run.task, run.number)),
                (false, Phase::Sent | Phase::Stopping(..)) if listed_ms > run.until_ms => {
                    missing.push((run.task, run.number));
                }
                // The minion rejects commands of earlier leaders by now, so the run cannot appear
                // later.
                (false, Phase::Inherited) => missing.push((run.task, run.number)),
                (false, Phase::Running(since)) if since < sent => {
                    missing.push((run.task, run.number));
                }
                (false, Phase::Stopping(_, Some(answered))) if answered < sent => {
                    missing.push((run.task, run.number));
                }
                (false, Phase::Stopping(at, None))
                    if now.time.since(at) > self.settings.stop_retry_ms =>
                {
                    stop.push((run.task, run.number));
                }
                _ => {}
            }
        }
        // A report may omit ended runs if there are many. The leader applies those from later
        // reports.
        let all_ends = report.ended.len() < super::runs::ENDS_PER_ANSWER;
        for (task, run) in missing.into_iter().filter(|_| all_ends) {
            if self.waits_for_late_start(name, task, run, now) {
                continue;
            }
            log::info!(task:% = task, run, minion:% = name; "leader: run missing on minion");
            self.remove_run(name, task, run);
            self.requeue(name, task, run, now);
        }
        for (task, run) in stop {
            self.stop_run(name, task, run, now);
        }
        for (task, run) in repeat {
            self.repeat_start(name, task, run, now);
        }
        for reported in &report.running {
            self.mark_begun(reported.task.step.job);
        }
        self.reconcile_reported(name, report, now);
    }

    /// Stores reported checkpoints, and stops runs that should not be running: those that the
    /// leader has not placed on the minion and those of ended jobs and broken gangs.
    fn reconcile_reported(&mut self, name: &Name, report: &HoldReport, now: Now) {
        for reported in &report.running {
            if let Some((position, _)) = self.placed_run(name, reported.task, reported.run) {
                let job = self.jobs.get_mut(&reported.task.step.job);
                let is_new = |j: &&mut Box<ActiveJob>| {
                    let known = &j.tasks[position].checkpoint;
                    !reported.checkpoint.is_empty() && *known != reported.checkpoint
                };
                if let Some(job) = job.filter(is_new) {
                    // A checkpoint alone causes no append; the next change of the job includes it.
                    job.tasks[position].checkpoint = reported.checkpoint.clone();
                    let minion = self.minions.get_mut(name);
                    if let Some(run) = minion.and_then(|m| m.find_run(reported.task, reported.run))
                    {
                        run.saved_at = Some(now.time);
                    }
                }
                // The decision may be that of an earlier leader, whose stop had no effect.
                if self.must_stop(reported.task.step) {
                    self.stop_run(name, reported.task, reported.run, now);
                }
                continue;
            }
            let Some(minion) = self.minions.get_mut(name) else {
                return;
            };
            // A known run that is not placed any more belongs to a gang that is done, and its own end
            // follows.
            if minion.find_run(reported.task, reported.run).is_some() {
                continue;
            }
            log::warn!(task:% = reported.task, run = reported.run, minion:% = name; "leader: unexpected run on minion");
            let job = self.jobs.get(&reported.task.step.job);
            let amount = job.map(|j| j.amount(reported.task.step));
            let account = job.and_then(|j| j.account.clone());
            let run = Run {
                task: reported.task,
                number: reported.run,
                amount: amount.unwrap_or(minion.entry.capacity),
                account,
                // The run is stopped at once.
                duration: Some(0),
                phase: Phase::Running(now.time),
                saved_at: None,
                preemptions: 0,
                lossless: None,
                updated_at: now.time,
                until_ms: 0,
                generation: 0,
                ticket: None,
                attempts: Attempts::default(),
                resumed: false,
                expiry: Time(0),
            };
            self.add_run(name, run);
            self.orphans.push(reported.task);
            self.stop_run(name, reported.task, reported.run, now);
        }
    }

    fn record_success(&mut self, name: &Name) {
        if let Some(minion) = self.minions.get_mut(name) {
            minion.failed_jobs.clear();
        }
    }

    /// Counts a failed run of a task or gang, and counts it against the minion.
    fn record_failure(&mut self, name: &Name, task: TaskKey, run: u32, now: Now) {
        let key = task.step.job;
        if let Some(minion) = self.minions.get_mut(name)
            && !minion.failed_jobs.contains(&key)
        {
            minion.failed_jobs.push(key);
            if minion.failed_jobs.len() >= self.settings.quarantine_failures as usize {
                minion.quarantined_until = now.time + self.settings.quarantine_ms;
                minion.failed_jobs.clear();
                log::warn!(minion:% = name, for_ms = self.settings.quarantine_ms; "leader: minion quarantined");
            }
        }
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let Some(step) = job.step(task.step) else {
            return;
        };
        let (gang, long_running) = (step.gang, step.long_running);
        let position = job.spec.position(task).unwrap_or(0);
        let counter = if gang {
            job.task_range(task.step).start
        } else {
            position
        };
        job.failed_on.retain(|(task, _)| *task != position);
        job.failed_on.push((position, name.clone()));
        if gang {
            if job.counted_runs.contains(&(counter, run)) {
                return;
            }
            job.counted_runs.push((counter, run));
        }
        let failures = &mut job.tasks[counter].failures;
        *failures = failures.saturating_add(1);
        let attempts = self.queues.get(&job.queue).map_or(u32::MAX, |q| q.attempts);
        if !long_running && job.tasks[counter].failures >= attempts && job.outcome.is_none() {
            job.end(Outcome::Failed, &mut self.changes, now);
            self.stop_job(key, now);
        }
    }

    /// Marks a job that has ended and has no task on a minion as changed, so that the next batch
    /// removes it from the active ones.
    pub(super) fn flush_if_ended(&mut self, key: JobKey) {
        let done = |j: &super::ActiveJob| j.outcome.is_some() && !j.has_placed_tasks();
        if let Some(job) = self.jobs.get_mut(&key).filter(|j| done(j)) {
            job.mark_changed(&mut self.changes);
        }
    }
}
