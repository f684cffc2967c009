//! Answers of workers.

use primrosebay_protocol::worker::{AttemptState, Reply, Report};
use primrosebay_state::Name;
use primrosebay_state::id::{AttemptId, TaskId};
use primrosebay_state::time::Time;

use super::Coordinator;
use super::jobs::{Active, Excess, State};
use super::lease::Reading;
use super::tasks::Over;
use super::term::Phase;

impl Coordinator {
    pub(super) fn on_reply(&mut self, now: Time, worker: &Name, sent: Time, reply: &Reply) {
        let Some(member) = self.members.get_mut(worker) else {
            return;
        };
        // An earlier answer that arrives later would take back what is known.
        if reply.sequence <= member.answered {
            return;
        }
        member.answered = reply.sequence;
        member.waiting &= member.asked.0 != reply.sequence;
        let restarted = member.run != 0 && member.run != reply.run;
        member.run = reply.run;
        member.total = reply.resources;
        member.reading = Some(Reading {
            clock: reply.clock,
            received: now,
        });
        let free = (reply.held_ms == 0).then_some(reply.free_ms);
        member.seen = Some((now, free));
        if restarted {
            member.restarted();
            self.lose_tasks(now, worker);
        }
        if !self.learn(worker, reply) {
            self.step_down(now);
            return;
        }
        if self.terms.phase == Phase::Claiming && reply.granted {
            self.on_granted(now, worker, sent, reply);
        }
    }

    fn on_granted(&mut self, now: Time, worker: &Name, sent: Time, reply: &Reply) {
        if let Some(member) = self.members.get_mut(worker) {
            if member.granted.is_none() {
                // The tasks that run there may have been renewed up to now.
                member.renewed = Some(now);
                member.hurried = true;
                member.claimed = Some(now);
            }
            member.granted = member.granted.max(Some(sent));
        }
        for report in &reply.reports {
            self.note_handled(worker, report);
            self.on_report(now, worker, report);
        }
        self.end_unreported(now, worker, reply.sequence);
    }

    /// Ends attempts whose start was answered without a report of them: the request that carried
    /// the start was void, and remains void because the worker has handled a later one.
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
            self.attempt_over(now, id, Over::NotRun);
        }
    }

    /// Notes that a report need not be sent again, except for ends that are not durable.
    fn note_handled(&mut self, worker: &Name, report: &Report) {
        if let Some(member) = self.members.get_mut(worker) {
            if report.state != AttemptState::Running && report.sequence > member.handled {
                member.ended.push((report.sequence, report.attempt.task));
            }
            member.handled = member.handled.max(report.sequence);
        }
    }

    pub(super) fn on_report(&mut self, now: Time, worker: &Name, report: &Report) {
        let id = report.attempt.task;
        let Some(task) = self.jobs.task_mut(id) else {
            self.note_orphan(now, worker, report);
            return;
        };
        task.attempts = task.attempts.max(report.attempt.attempt);
        let inherited = task.state == State::Inherited;
        let current = matches!(&task.state, State::Active(active)
            if active.worker == *worker && active.attempt == report.attempt.attempt);
        match (Over::from_report(report.state), &mut task.state) {
            (None, State::Active(active)) if current => {
                active.running = true;
                self.note_usage(now, report);
            }
            (None, State::Inherited) => self.adopt(now, worker, report.attempt),
            (None, _) => self.note_stray(worker, report),
            (Some(over), _) if current => self.attempt_over(now, id, over),
            (Some(Over::NotRun), _) if inherited => {}
            (Some(over), _) if inherited => {
                self.adopt(now, worker, report.attempt);
                self.attempt_over(now, id, over);
            }
            (Some(_), _) => self.forget_stray(worker, report),
        }
    }

    /// Takes over a task that a worker reports.
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
            excess: Excess::None,
        };
        self.set_state(id, State::Active(active));
    }

    /// Notes an attempt that is to be stopped because its task is over or runs elsewhere.
    fn note_stray(&mut self, worker: &Name, report: &Report) {
        if let Some(member) = self.members.get_mut(worker)
            && !member.strays.contains(&report.attempt)
        {
            member.strays.push(report.attempt);
            member.stops = true;
        }
    }

    fn forget_stray(&mut self, worker: &Name, report: &Report) {
        if let Some(member) = self.members.get_mut(worker) {
            member.strays.retain(|attempt| *attempt != report.attempt);
        }
    }

    /// Ends the attempts on a worker that has stopped them by now or has restarted.
    pub(super) fn lose_tasks(&mut self, now: Time, worker: &Name) {
        let Some(member) = self.members.get_mut(worker) else {
            return;
        };
        member.strays.clear();
        let tasks = std::mem::take(&mut member.tasks);
        for id in tasks {
            self.attempt_over(now, id, Over::Lost);
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
