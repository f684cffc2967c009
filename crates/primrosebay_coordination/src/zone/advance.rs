//! Work of the coordinator after each event: worker states, placements and requests that are due.

use primrosebay_state::Name;
use primrosebay_state::id::TaskId;
use primrosebay_state::record::Body;
use primrosebay_state::time::Time;

use super::jobs::State;
use super::term::Phase;
use super::{Coordinator, PendingAppend};
use crate::schedule::Decision;

impl Coordinator {
    /// Takes every step that the last event made possible. `replied` is the worker whose reply was
    /// handled. In a settled term only this worker is examined, because a busy coordinator handles
    /// thousands of replies per second; all other work waits for another kind of event.
    pub(super) fn advance(&mut self, now: Time, replied: Option<&Name>) {
        let settled = self.terms.voters.own && self.terms.proposal.is_none() && self.recovery.done;
        if let Some(worker) = replied
            && self.terms.phase == Phase::Claiming
            && settled
        {
            self.update_member(now, worker);
            self.schedule(now);
            self.send_due(now);
            return;
        }
        self.advance_term(now);
        if self.terms.phase == Phase::Claiming {
            self.advance_recovery(now);
            self.update_members(now);
            self.update_team_limits(now);
            self.submit_due_retries(now);
            self.evict_overusers(now);
            self.advance_moves(now);
            self.schedule(now);
        }
        self.send_due(now);
    }

    /// Ends the tasks of workers whose task renewals have expired, tells the scheduler which
    /// workers it may use, and drops workers that are no longer needed.
    fn update_members(&mut self, now: Time) {
        let names: Vec<_> = self.members.iter().map(|(name, _)| name.clone()).collect();
        for name in names {
            self.update_member(now, &name);
        }
        let voters = &self.terms.voters.names;
        let scheduler = &mut self.scheduler;
        self.members.retain(|name, member| {
            let keep = member.listed
                || voters.binary_search(name).is_ok()
                || !member.tasks.is_empty()
                || !member.placed.is_empty();
            if !keep && member.registered.is_some() {
                scheduler.remove_worker(name);
            }
            keep
        });
    }

    fn update_member(&mut self, now: Time, name: &Name) {
        let eligible = self.is_eligible(now, name);
        let ttl = self.settings.task_ttl;
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        let held = member.is_held(now, self.settings.control_ttl);
        let tasks_expired = member.tasks_end(ttl).is_some_and(|end| now >= end);
        let usable = eligible && member.accepts_task(now);
        let capacity = Some((member.rack.clone(), member.total));
        if member.registered != capacity {
            member.registered = capacity;
            member.usable = usable;
            self.scheduler
                .set_worker(name.clone(), member.rack.clone(), member.total);
            self.scheduler.set_usable(name, usable);
            self.needs_scheduling = true;
        } else if member.usable != usable {
            member.usable = usable;
            self.scheduler.set_usable(name, usable);
            self.needs_scheduling = true;
        }
        if !eligible {
            for id in std::mem::take(&mut member.placed) {
                self.requeue_placed(now, id);
            }
        }
        if !held && tasks_expired {
            self.mark_tasks_lost(now, name);
        }
    }

    /// Returns whether tasks may start on a worker, apart from its quarantine. Only voters get
    /// tasks, because a successor looks for tasks on the voters of the latest term.
    fn is_eligible(&self, now: Time, name: &Name) -> bool {
        let Some(member) = self.members.get::<Name>(name) else {
            return false;
        };
        let proposal = &self.terms.proposal;
        member.is_held(now, self.settings.control_ttl)
            && member.listed
            && !member.leaving
            && !self.lost_workers.contains(name)
            && self.terms.voters.names.binary_search(name).is_ok()
            && proposal
                .as_ref()
                .is_none_or(|names| names.binary_search(name).is_ok())
    }

    /// Takes a placed task, whose start has not been sent, off its worker and submits it again.
    pub(super) fn requeue_placed(&mut self, now: Time, id: TaskId) {
        let Some(worker) = self
            .jobs
            .task(id)
            .and_then(|(_, task)| task.worker().cloned())
        else {
            return;
        };
        self.detach(now, id, &worker);
        self.set_state(id, State::Blocked);
        if self
            .jobs
            .all
            .get(&id.job)
            .is_some_and(super::jobs::Job::is_gang)
        {
            self.hold_until_idle(now, id);
        } else {
            self.submit(now, id.job);
        }
    }

    fn schedule(&mut self, now: Time) {
        if !self.needs_scheduling || !self.may_send_starts(now) {
            return;
        }
        self.needs_scheduling = false;
        let decisions = self.scheduler.schedule(now, self.settings.max_decisions);
        self.needs_scheduling = !decisions.is_empty();
        for decision in decisions {
            match decision {
                Decision::Place { task, worker } => self.place(task, worker),
                Decision::Preempt {
                    task,
                    worker,
                    checkpoint,
                } => self.preempt(task, &worker, checkpoint),
            }
        }
    }

    fn place(&mut self, id: TaskId, worker: Name) {
        let Some((job, task)) = self.jobs.task(id) else {
            return;
        };
        if job.is_once() && !task.start_recorded {
            self.set_state(id, State::Recording(worker));
            self.append(PendingAppend::Starting(id), Body::Starting { task: id });
            return;
        }
        if let Some(member) = self.members.get_mut(&worker) {
            member.placed.push(id);
        }
        self.set_state(id, State::Placed(worker));
    }

    fn preempt(&mut self, id: TaskId, worker: &Name, checkpoint: bool) {
        if let Some(task) = self.jobs.task_mut(id)
            && let State::Active(active) = &mut task.state
            && active.worker == *worker
        {
            active.stop = Some(checkpoint);
            if let Some(member) = self.members.get_mut(worker) {
                member.stops_due = true;
            }
        }
    }
}
