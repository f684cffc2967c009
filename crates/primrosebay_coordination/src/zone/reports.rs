//! Processing of worker replies and the attempt reports in them.

use primrosebay_protocol::worker::{AttemptState, Reply, Report};
use primrosebay_state::Name;
use primrosebay_state::id::{AttemptId, TaskId};
use primrosebay_state::time::Time;

use super::Coordinator;
use super::jobs::{Active, Overuse, State};
use super::lease::ClockReading;
use super::tasks::AttemptEnd;
use super::term::Phase;

impl Coordinator {
    pub(super) fn on_reply(&mut self, now: Time, worker: &Name, sent: Time, reply: &Reply) {
        let Some(member) = self.members.get_mut(worker) else {
            return;
        };
        // A reply that was overtaken by a later one would overwrite newer state.
        if reply.sequence <= member.last_reply {
            return;
        }
        member.last_reply = reply.sequence;
        member.in_flight &= member.last_request.0 != reply.sequence;
        let restarted = member.run != 0 && member.run != reply.run;
        member.run = reply.run;
        member.total = reply.resources;
        member.reading = Some(ClockReading {
            clock: reply.clock,
            received: now,
        });
        let free = (reply.held_ms == 0).then_some(reply.free_ms);
        member.observed = Some((now, free));
        if restarted {
            member.on_restart();
            self.mark_tasks_lost(now, worker);
        }
        if !self.learn_terms(worker, reply) {
            self.step_down(now);
            return;
        }
        if self.terms.phase == Phase::Claiming && reply.granted {
            self.on_granted(now, worker, sent, reply);
        }
    }

    fn on_granted(&mut self, now: Time, worker: &Name, sent: Time, reply: &Reply) {
        if let Some(member) = self.members.get_mut(worker) {
            if member.granted_at.is_none() {
                // The previous coordinator may have renewed the tasks on this worker until now.
                member.renewed_at = Some(now);
                member.due_now = true;
                member.claimed_at = Some(now);
            }
            member.granted_at = member.granted_at.max(Some(sent));
        }
        for report in &reply.reports {
            self.mark_handled(worker, report);
            self.on_report(now, worker, report);
        }
        self.end_unreported(now, worker, reply.sequence);
    }

    /// Ends attempts whose start request was answered without a report of the attempt: the worker
    /// rejected that request, and keeps rejecting it because it has granted a later one.
    fn end_unreported(&mut self, now: Time, worker: &Name, sequence: u64) {
        let Some(member) = self.members.get(worker) else {
            return;
        };
        let unreported = |id: &TaskId| {
            self.jobs.task(*id).is_some_and(|(_, task)| {
                matches!(&task.state, State::Active(active)
                    if !active.running && active.request <= sequence)
            })
        };
        let ids: Vec<_> = member.tasks.iter().copied().filter(unreported).collect();
        for id in ids {
            self.on_attempt_end(now, id, AttemptEnd::NotRun);
        }
    }

    /// Marks a report as handled. The end of an attempt stays unacknowledged until its result is
    /// durable, so that the worker keeps reporting it.
    fn mark_handled(&mut self, worker: &Name, report: &Report) {
        if let Some(member) = self.members.get_mut(worker) {
            if report.state != AttemptState::Running && report.sequence > member.last_report {
                member
                    .unacknowledged
                    .push((report.sequence, report.attempt.task));
            }
            member.last_report = member.last_report.max(report.sequence);
        }
    }

    pub(super) fn on_report(&mut self, now: Time, worker: &Name, report: &Report) {
        let id = report.attempt.task;
        let Some(task) = self.jobs.task_mut(id) else {
            self.add_orphan(now, worker, report);
            return;
        };
        task.attempts = task.attempts.max(report.attempt.attempt);
        let inherited = task.state == State::Inherited;
        let current = matches!(&task.state, State::Active(active)
            if active.worker == *worker && active.attempt == report.attempt.attempt);
        match (AttemptEnd::from_report(report.state), &mut task.state) {
            (None, State::Active(active)) if current => {
                active.running = true;
                self.check_usage(now, report);
            }
            (None, State::Inherited) => {
                self.adopt(now, worker, report.attempt);
                // A worker reports excess usage when it changes, which may have been to a
                // predecessor.
                self.check_usage(now, report);
            }
            (None, _) => self.add_stale(worker, report),
            (Some(end), _) if current => self.on_attempt_end(now, id, end),
            (Some(AttemptEnd::NotRun), _) if inherited => {}
            (Some(end), _) if inherited => {
                self.adopt(now, worker, report.attempt);
                self.on_attempt_end(now, id, end);
            }
            (Some(_), _) => self.remove_stale(worker, report),
        }
    }

    /// Records an inherited task as active on the worker that reported it.
    fn adopt(&mut self, now: Time, worker: &Name, AttemptId { task: id, attempt }: AttemptId) {
        let Some((job, _)) = self.jobs.task(id) else {
            return;
        };
        self.scheduler.add_running(now, id, worker, &job.spec);
        if let Some(member) = self.members.get_mut(worker) {
            member.tasks.push(id);
        }
        let active = Active {
            worker: worker.clone(),
            attempt,
            request: 0,
            running: true,
            stop: None,
            overuse: Overuse::None,
        };
        self.set_state(id, State::Active(active));
    }

    /// Schedules the stop of an attempt whose task has ended or runs elsewhere.
    fn add_stale(&mut self, worker: &Name, report: &Report) {
        if let Some(member) = self.members.get_mut(worker)
            && !member.stale_attempts.contains(&report.attempt)
        {
            member.stale_attempts.push(report.attempt);
            member.stops_due = true;
        }
    }

    fn remove_stale(&mut self, worker: &Name, report: &Report) {
        if let Some(member) = self.members.get_mut(worker) {
            member
                .stale_attempts
                .retain(|attempt| *attempt != report.attempt);
        }
    }

    /// Ends all attempts on a worker that has restarted, was declared lost, or has stopped its
    /// tasks because their renewal expired.
    pub(super) fn mark_tasks_lost(&mut self, now: Time, worker: &Name) {
        let Some(member) = self.members.get_mut(worker) else {
            return;
        };
        member.stale_attempts.clear();
        let tasks = std::mem::take(&mut member.tasks);
        for id in tasks {
            self.on_attempt_end(now, id, AttemptEnd::Lost);
        }
        let orphans: Vec<_> = self.recovery.orphans.iter().collect();
        let running = |entry: &&(&_, &(Name, Report))| {
            entry.1.0 == *worker && entry.1.1.state == AttemptState::Running
        };
        let lost: Vec<_> = orphans.iter().filter(running).map(|(id, _)| **id).collect();
        for attempt in lost {
            self.recovery.orphans.remove(&attempt);
            self.scheduler.release(now, attempt.task);
        }
    }
}
