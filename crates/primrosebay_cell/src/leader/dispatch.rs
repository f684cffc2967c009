//! Chooses minions for tasks that can start now, and places them there.

use primrosebay_state::Name;

use super::Leader;
use super::allowance::Allowances;
use super::command::Now;
use super::commit::Gate;
use super::minion::{Minion, Phase, Run};
use super::place::Request;
use crate::job::TaskKey;
use crate::record::Placement;

impl Leader {
    /// Starts tasks on minions that have room now; a gang as a whole or not at all.
    pub(super) fn start_on(
        &mut self,
        request: &mut Request,
        names: &[Name],
        allowances: &mut Allowances,
        now: Now,
    ) {
        let slots = self.choose(request, names);
        let total: u64 = slots.iter().map(|s| u64::from(s.1)).sum();
        if total == 0 || request.gang && total < request.pending.len() as u64 {
            return;
        }
        let run = self.next_gang_run(request);
        let mut pending = std::mem::take(&mut request.pending).into_iter();
        for (name, count) in slots {
            for index in pending.by_ref().take(count as usize) {
                self.dispatch(request, index, &name, run, now);
                allowances.take(request.account.as_ref(), &request.amount);
            }
        }
        request.pending = pending.collect();
        if request.gang {
            self.unreserve(request.step);
        }
    }

    /// Returns the number of the next run of a gang, which its members share.
    fn next_gang_run(&self, request: &Request) -> Option<u32> {
        let job = self.jobs.get(&request.step.job).filter(|_| request.gang)?;
        let runs = job.tasks[job.places(request.step)].iter().map(|t| t.run);
        Some(runs.max().unwrap_or(0) + 1)
    }

    /// Chooses minions with the number of tasks to start on each.
    fn choose(&self, request: &Request, names: &[Name]) -> Vec<(Name, u32)> {
        let want = u32::try_from(request.pending.len()).unwrap_or(u32::MAX);
        let mut rooms: Vec<(&Minion, u32)> = Vec::new();
        for name in names {
            if let Some(minion) = self.minions.get(name) {
                let slots = request.slots(minion);
                if slots > 0 {
                    rooms.push((minion, slots));
                }
            }
        }
        let far = |m: &Minion| request.rack.as_ref().is_some_and(|r| !m.has_label(r));
        let failed = |m: &Minion| request.failed_on.contains(&m.entry.name);
        let left = |m: &Minion| m.free(request.step).cores_milli;
        if request.gang {
            // Few minions are less likely to break a gang than many.
            rooms.sort_by_key(|(m, slots)| (failed(m), far(m), std::cmp::Reverse(*slots)));
        } else {
            // The fullest minion that still fits leaves large rooms to large tasks.
            rooms.sort_by_key(|(m, _)| (failed(m), far(m), left(m)));
        }
        if request.one_rack
            && let Some(rack) = rack_with_room(&rooms, want)
        {
            rooms.retain(|(m, _)| m.entry.labels.last() == Some(&rack));
        }
        let mut open = want;
        let mut chosen = Vec::new();
        for (minion, slots) in rooms {
            let count = slots.min(open);
            if count > 0 {
                open -= count;
                chosen.push((minion.entry.name.clone(), count));
            }
        }
        chosen
    }

    /// Places a task; its start is sent once that is durable.
    fn dispatch(
        &mut self,
        request: &Request,
        index: u32,
        name: &Name,
        gang_run: Option<u32>,
        now: Now,
    ) {
        let task = TaskKey {
            step: request.step,
            index,
        };
        let known = self.advisers.get(request.step);
        let ticket = known.and_then(|k| k.ticket(name, now.time)).cloned();
        let Some(job) = self.jobs.get_mut(&request.step.job) else {
            return;
        };
        let Some(state) = job.spec.position(task).and_then(|at| job.tasks.get_mut(at)) else {
            return;
        };
        state.run = gang_run.unwrap_or(state.run + 1);
        state.placement = Placement::Minion(name.clone());
        let run = state.run;
        job.dirty = true;
        log::info!(
            task:% = task, run, minion:% = name, queue:% = job.queue, priority = request.priority,
            age_ms = now.wall_ms.saturating_sub(job.accepted_ms);
            "leader: task placed"
        );
        if let Some(minion) = self.minions.get_mut(name) {
            for reserved in minion
                .reserved
                .iter_mut()
                .filter(|r| r.step == request.step)
            {
                reserved.amount = reserved.amount.minus(&request.amount);
            }
            minion.runs.push(Run {
                task,
                number: run,
                amount: request.amount,
                account: request.account.clone(),
                phase: Phase::Recorded,
                since: now.time,
            });
        }
        self.gates.push(Gate::Start {
            minion: name.clone(),
            task,
            run,
            ticket,
        });
    }
}

/// Returns a rack on which all tasks fit.
fn rack_with_room(rooms: &[(&Minion, u32)], want: u32) -> Option<Name> {
    let racks = rooms.iter().filter_map(|(m, _)| m.entry.labels.last());
    let room = |rack: &&Name| {
        let on = rooms
            .iter()
            .filter(|(m, _)| m.entry.labels.last() == Some(*rack));
        on.map(|(_, slots)| u64::from(*slots)).sum::<u64>() >= u64::from(want)
    };
    racks.into_iter().find(room).cloned()
}
