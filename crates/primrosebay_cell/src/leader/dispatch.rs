//! Assignment of tasks to minions with free resources.

use primrosebay_state::Name;
use primrosebay_state::time::Time;

use super::Leader;
use super::command::Now;
use super::commit::Deferred;
use super::minion::{Attempts, Phase, Run};
use super::quota::QuotaUsage;
use super::schedule::{Request, smallest_by_key};
use crate::job::TaskKey;
use crate::record::Placement;

impl Leader {
    /// Places tasks on minions that have free resources, among those at `positions` or on any of the
    /// service; a gang is placed completely or not at all.
    pub(super) fn place_on(
        &mut self,
        request: &mut Request,
        positions: Option<&[usize]>,
        quota: &mut QuotaUsage,
        now: Now,
    ) {
        self.update_room(now.time);
        let slots = self.choose_minions(request, positions);
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
        self.note_wait(request.step, None, now.time);
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
    fn choose_minions(&self, request: &Request, positions: Option<&[usize]>) -> Vec<(Name, u32)> {
        let want = u32::try_from(request.pending.len()).unwrap_or(u32::MAX);
        let found = match positions {
            Some(positions) => self.free_slots_on(request, positions),
            None => self.free_slots(request),
        };
        let mut candidates: Vec<Candidate> = Vec::with_capacity(found.len());
        for (index, slots, cores) in found {
            let Some((name, minion)) = self.minions.at(index) else {
                continue;
            };
            let off_rack = request.rack.as_ref().is_some_and(|r| !minion.has_label(r));
            // A gang on fewer minions is less likely to lose a task. Otherwise best fit: the minion
            // with the fewest free cores, so that large free blocks stay for large tasks.
            let rank = if request.gang {
                u64::from(u32::MAX - slots)
            } else {
                cores
            };
            candidates.push(Candidate {
                order: (request.failed_on.contains(name), off_rack, rank, index),
                slots,
                name,
                rack: minion.entry.labels.last(),
            });
        }
        if request.one_rack {
            candidates.sort_unstable_by_key(|c| c.order);
            if let Some(rack) = rack_that_fits(&candidates, want) {
                candidates.retain(|c| c.rack == Some(&rack));
            }
        }
        smallest_by_key(&mut candidates, want as usize, |c| c.order);
        let mut remaining = want;
        let mut chosen = Vec::new();
        for candidate in candidates {
            let count = candidate.slots.min(remaining);
            if count > 0 {
                remaining -= count;
                chosen.push((candidate.name.clone(), count));
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
        let ticket = self.advice.use_ticket(
            request.step,
            &request.queue,
            name,
            request.amount.cores_milli,
            now.time,
        );
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
        let preemptions = job.spec.position(task).map_or(0, |p| job.preemptions(p));
        job.mark_changed(&mut self.changes);
        log::info!(
            task:% = task, run, minion:% = name, queue:% = job.queue, priority = request.priority,
            age_ms = now.wall_ms.saturating_sub(job.accepted_ms);
            "leader: task placed"
        );
        if let Some(minion) = self.minions.get_mut(name) {
            debug_assert!(request.slots(minion) > 0, "{task} does not fit on {name}");
            let reservations = minion.reservations.iter_mut();
            for reservation in reservations.filter(|r| r.step == request.step) {
                reservation.amount = reservation.amount.minus(&request.amount);
            }
        }
        let run = Run {
            task,
            number: run,
            amount: request.amount,
            account: request.account.clone(),
            duration: self.duration_on(name, request.duration()),
            phase: Phase::Committing,
            saved_at: None,
            preemptions,
            lossless: self.lossless_priority(task),
            updated_at: now.time,
            until_ms: 0,
            generation: 0,
            ticket: ticket.clone(),
            attempts: Attempts::default(),
            resumed: false,
            expiry: Time(0),
        };
        let number = run.number;
        self.add_run(name, run);
        self.deferred.push(Deferred::Start {
            minion: name.clone(),
            task,
            run: number,
            ticket,
        });
    }
}

/// A minion on which tasks of a step can be placed now.
#[derive(Debug)]
struct Candidate<'a> {
    /// Minions with a lower value are preferred.
    order: (bool, bool, u64, usize),
    /// Number of tasks that fit.
    slots: u32,
    name: &'a Name,
    rack: Option<&'a Name>,
}

/// Returns a rack on which all tasks fit.
fn rack_that_fits(candidates: &[Candidate], want: u32) -> Option<Name> {
    let has_capacity = |rack: &&Name| {
        let on = candidates.iter().filter(|c| c.rack == Some(*rack));
        on.map(|c| u64::from(c.slots)).sum::<u64>() >= u64::from(want)
    };
    let racks = candidates.iter().filter_map(|c| c.rack);
    racks.into_iter().find(has_capacity).cloned()
}
