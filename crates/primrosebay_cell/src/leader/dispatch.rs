//! Assignment of tasks to minions with free resources.

use primrosebay_state::Name;
use primrosebay_state::time::Time;

use super::Leader;
use super::command::Now;
use super::commit::Deferred;
use super::minion::{Minion, Phase, Run};
use super::quota::QuotaUsage;
use super::schedule::Request;
use crate::job::TaskKey;
use crate::record::Placement;

impl Leader {
    /// Places tasks on minions that have free resources; a gang is placed completely or not at all.
    pub(super) fn place_on(
        &mut self,
        request: &mut Request,
        names: &[Name],
        quota: &mut QuotaUsage,
        now: Now,
    ) {
        let slots = self.choose_minions(request, names);
        let total: u64 = slots.iter().map(|s| u64::from(s.1)).sum();
        if total == 0 || request.gang && total < request.pending.len() as u64 {
            return;
        }
        let run = self.next_gang_run(request);
        let mut pending = std::mem::take(&mut request.pending).into_iter();
        for (name, count) in slots {
            for index in pending.by_ref().take(count as usize) {
                self.dispatch(request, index, &name, run, now);
                quota.charge(request.account.as_ref(), &request.amount);
            }
        }
        request.pending = pending.collect();
        if request.gang {
            self.cancel_reservations(request.step);
        }
    }

    /// Returns the next run number of a gang, which all its tasks share.
    fn next_gang_run(&self, request: &Request) -> Option<u32> {
        let job = self.jobs.get(&request.step.job).filter(|_| request.gang)?;
        let runs = job.tasks[job.task_range(request.step)]
            .iter()
            .map(|t| t.run);
        Some(runs.max().unwrap_or(0).saturating_add(1))
    }

    /// Returns the chosen minions with the number of tasks to start on each.
    fn choose_minions(&self, request: &Request, names: &[Name]) -> Vec<(Name, u32)> {
        let want = u32::try_from(request.pending.len()).unwrap_or(u32::MAX);
        let mut candidates: Vec<(&Minion, u32)> = Vec::new();
        for name in names {
            if let Some(minion) = self.minions.get(name) {
                let slots = request.slots(minion);
                if slots > 0 {
                    candidates.push((minion, slots));
                }
            }
        }
        let off_rack = |m: &Minion| request.rack.as_ref().is_some_and(|r| !m.has_label(r));
        let failed = |m: &Minion| request.failed_on.contains(&m.entry.name);
        let free_milli = |m: &Minion| m.free(request.step).cores_milli;
        if request.gang {
            // A gang on fewer minions is less likely to lose a task.
            candidates
                .sort_by_key(|(m, slots)| (failed(m), off_rack(m), std::cmp::Reverse(*slots)));
        } else {
            // Best fit: the minion with the fewest free cores, so that large free blocks stay for
            // large tasks.
            candidates.sort_by_key(|(m, _)| (failed(m), off_rack(m), free_milli(m)));
        }
        if request.one_rack
            && let Some(rack) = rack_that_fits(&candidates, want)
        {
            candidates.retain(|(m, _)| m.entry.labels.last() == Some(&rack));
        }
        let mut remaining = want;
        let mut chosen = Vec::new();
        for (minion, slots) in candidates {
            let count = slots.min(remaining);
            if count > 0 {
                remaining -= count;
                chosen.push((minion.entry.name.clone(), count));
            }
        }
        chosen
    }

    /// Places a task. Its start is sent once the placement is durable.
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
        let advice = self.advice.get(request.step);
        let ticket = advice.and_then(|a| a.ticket(name, now.time)).cloned();
        let Some(job) = self.jobs.get_mut(&request.step.job) else {
            return;
        };
        let Some(state) = job
            .spec
            .position(task)
            .and_then(|position| job.tasks.get_mut(position))
        else {
            return;
        };
        state.run = gang_run.unwrap_or(state.run.saturating_add(1));
        state.placement = Placement::Minion(name.clone());
        let run = state.run;
        job.dirty = true;
        log::info!(
            task:% = task, run, minion:% = name, queue:% = job.queue, priority = request.priority,
            age_ms = now.wall_ms.saturating_sub(job.accepted_ms);
            "leader: task placed"
        );
        if let Some(minion) = self.minions.get_mut(name) {
            for reservation in minion
                .reservations
                .iter_mut()
                .filter(|r| r.step == request.step)
            {
                reservation.amount = reservation.amount.minus(&request.amount);
            }
            minion.runs.push(Run {
                task,
                number: run,
                amount: request.amount,
                account: request.account.clone(),
                phase: Phase::Committing,
                updated_at: now.time,
                expiry: Time(0),
            });
        }
        self.deferred.push(Deferred::Start {
            minion: name.clone(),
            task,
            run,
            ticket,
        });
    }
}

/// Returns a rack on which all tasks fit.
fn rack_that_fits(candidates: &[(&Minion, u32)], want: u32) -> Option<Name> {
    let racks = candidates.iter().filter_map(|(m, _)| m.entry.labels.last());
    let has_capacity = |rack: &&Name| {
        let on = candidates
            .iter()
            .filter(|(m, _)| m.entry.labels.last() == Some(*rack));
        on.map(|(_, slots)| u64::from(*slots)).sum::<u64>() >= u64::from(want)
    };
    racks.into_iter().find(has_capacity).cloned()
}
