//! What the coordinator does after each event.

use primrosebay_state::Name;
use primrosebay_state::id::TaskId;
use primrosebay_state::record::Body;
use primrosebay_state::time::Time;

use super::jobs::State;
use super::term::Phase;
use super::{Coordinator, Pending};
use crate::schedule::Decision;

impl Coordinator {
    /// Does what the event made possible. `answered` is the worker that it came from. In a settled
    /// term only this one is looked at then, because a busy coordinator handles thousands of
    /// answers a second; the rest is left to the next tick.
    pub(super) fn advance(&mut self, now: Time, answered: Option<&Name>) {
        let settled = self.terms.voters.own && self.terms.proposal.is_none() && self.recovery.done;
        if let Some(worker) = answered
            && self.terms.phase == Phase::Claiming
            && settled
        {
            self.check_member(now, worker);
            self.schedule(now);
            self.send_all(now);
            return;
        }
        self.advance_term(now);
        if self.terms.phase == Phase::Claiming {
            self.advance_recovery(now);
            self.check_members(now);
            self.limit_teams(now);
            self.end_backoff(now);
            self.evict(now);
            self.advance_moves(now);
            self.schedule(now);
        }
        self.send_all(now);
    }

    /// Ends the tasks of workers that have not answered for too long, and tells the scheduler
    /// which workers it may use.
    fn check_members(&mut self, now: Time) {
        let names: Vec<_> = self.members.iter().map(|(name, _)| name.clone()).collect();
        for name in names {
            self.check_member(now, &name);
        }
        let voters = &self.terms.voters.names;
        let scheduler = &mut self.scheduler;
        self.members.retain(|name, member| {
            let keep = member.listed
                || voters.binary_search(name).is_ok()
                || !member.tasks.is_empty()
                || !member.placed.is_empty();
            if !keep && member.known.is_some() {
                scheduler.remove_worker(name);
            }
            keep
        });
    }

    fn check_member(&mut self, now: Time, name: &Name) {
        let allowed = self.may_use(now, name);
        let ttl = self.settings.task_ttl;
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        let held = member.is_held(now, self.settings.control_ttl);
        let over = member.tasks_end(ttl).is_some_and(|end| now >= end);
        let usable = allowed && member.is_trusted(now);
        let size = Some((member.rack.clone(), member.total));
        if member.known != size {
            member.known = size;
            member.usable = usable;
            self.scheduler
                .set_worker(name.clone(), member.rack.clone(), member.total);
            self.scheduler.set_usable(name, usable);
            self.changed = true;
        } else if member.usable != usable {
            member.usable = usable;
            self.scheduler.set_usable(name, usable);
            self.changed = true;
        }
        if !allowed {
            for id in std::mem::take(&mut member.placed) {
                self.requeue_placed(now, id);
            }
        }
        if !held && over {
            self.lose_tasks(now, name);
        }
    }

    /// Returns whether tasks may start on a worker, quarantine apart. Only voters get tasks: a
    /// successor looks for tasks on the voters of the latest term.
    fn may_use(&self, now: Time, name: &Name) -> bool {
        let Some(member) = self.members.get::<Name>(name) else {
            return false;
        };
        let proposal = &self.terms.proposal;
        member.is_held(now, self.settings.control_ttl)
            && member.listed
            && !member.leaving
            && !self.lost.contains(name)
            && self.terms.voters.names.binary_search(name).is_ok()
            && proposal
                .as_ref()
                .is_none_or(|names| names.binary_search(name).is_ok())
    }

    /// Gives a task whose start has not been sent back to the scheduler.
    pub(super) fn requeue_placed(&mut self, now: Time, id: TaskId) {
        let Some(worker) = self
            .jobs
            .task(id)
            .and_then(|(_, task)| task.worker().cloned())
        else {
            return;
        };
        self.detach(now, id, &worker);
        self.set_state(id, State::Waiting);
        if self
            .jobs
            .all
            .get(&id.job)
            .is_some_and(super::jobs::Job::is_gang)
        {
            self.hold_back(now, id);
        } else {
            self.submit(now, id.job);
        }
    }

    fn schedule(&mut self, now: Time) {
        if !self.changed || !self.may_send_starts(now) {
            return;
        }
        self.changed = false;
        let decisions = self.scheduler.schedule(now, self.settings.max_decisions);
        self.changed = !decisions.is_empty();
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
        if job.is_once() && !task.started {
            self.set_state(id, State::Recording(worker));
            self.append(Pending::Starting(id), Body::Starting { task: id });
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
                member.stops = true;
            }
        }
    }
}
