//! Free resources of the usable minions.
//!
//! A step is matched against all minions of its service. The rows hold what this needs side by side,
//! so that a search reads little memory and follows no run of any minion.

use primrosebay_state::Name;
use primrosebay_state::resources::Resources;
use primrosebay_state::table::Table;
use primrosebay_state::time::Time;

use super::Leader;
use super::minion::{Minion, Phase, Run, count_fitting};
use super::preempt::preemptible_priority;
use super::schedule::Request;
use crate::job::StepKey;
use crate::victims::min_run_ms;

/// Interval at which all rows are computed, in milliseconds. In between, only those of changed
/// minions are, although minions also become silent and runs preemptible as time passes.
const MEASURE_INTERVAL_MS: u64 = 50;

/// Maximum number of requests without room that are remembered in a pass.
const MAX_FULL: usize = 32;

/// Free resources of a minion.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Row {
    /// Position of the minion among all minions.
    pub(super) minion: usize,
    capacity: Resources,
    /// Resources that are free now.
    free: Resources,
    /// Resources that are free once all stopping runs have stopped.
    after_stops: Resources,
    /// Whether any resources are reserved. A step does not compete with its own reservations.
    reserved: bool,
    /// Time before which no further run becomes preemptible if the runs do not change.
    until: Time,
}

/// The usable minions of a service.
#[derive(Debug, Default)]
struct Rows {
    rows: Vec<Row>,
    /// Resources that are free after preemption, for each row and each of the priorities.
    after_preemption: Vec<Resources>,
}

impl Rows {
    /// Returns the index of the row of the minion at a position among `minions`.
    fn index_of(&self, position: usize, minions: usize) -> Option<usize> {
        // The minions without a row are the only gaps between the rows.
        let gaps = minions - self.rows.len();
        let first = position.saturating_sub(gaps);
        let last = self.rows.len().min(position + 1);
        let near = self.rows.get(first..last)?;
        let found = near.binary_search_by_key(&position, |r| r.minion);
        found.ok().map(|index| first + index)
    }
}

/// A request for which the whole service lacks room.
#[derive(Debug)]
struct Full {
    service: Name,
    label: Option<Name>,
    priority: u32,
    amount: Resources,
    /// Whether less urgent runs could have been preempted for the request.
    preempts: bool,
    /// Number of tasks that fit.
    slots: u64,
}

/// Numbers of tasks that fit on a minion.
#[derive(Debug, Clone, Copy)]
pub(super) struct Slots {
    /// Position of the minion among all minions.
    pub(super) minion: usize,
    /// Tasks that fit once stopping runs have stopped, without preemption.
    pub(super) free: u32,
    /// Tasks that fit after preemption of less urgent runs.
    pub(super) total: u32,
}

/// Free resources of all usable minions. The rows of changed minions are computed again before the
/// next search.
#[derive(Debug, Default)]
pub(super) struct Room {
    services: Table<Name, Rows>,
    /// Priorities of the queues, sorted.
    priorities: Vec<u32>,
    /// Names of minions that have changed since their row was computed.
    changed: Vec<Name>,
    /// Steps with reservations, sorted.
    holders: Vec<StepKey>,
    full: Vec<Full>,
    /// Time at which all rows were computed.
    measured: Time,
    /// Whether the rows have to be computed again before the next search: minions were added or
    /// removed, or queues or zones have changed.
    is_stale: bool,
}

impl Room {
    /// Notes that the runs or reservations of a minion have changed.
    pub(super) fn mark_changed(&mut self, name: &Name) {
        self.changed.push(name.clone());
    }

    /// Notes that minions were added or removed, or that queues or zones have changed.
    pub(super) fn mark_stale(&mut self) {
        self.is_stale = true;
    }

    /// Notes that resources of a minion have become free during the pass.
    pub(super) fn mark_freed(&mut self, name: &Name) {
        self.mark_changed(name);
        self.full.clear();
    }

    /// Notes that resources are reserved for a step.
    pub(super) fn add_holder(&mut self, step: StepKey) {
        if let Err(index) = self.holders.binary_search(&step) {
            self.holders.insert(index, step);
        }
    }

    pub(super) fn is_holder(&self, step: StepKey) -> bool {
        self.holders.binary_search(&step).is_ok()
    }

    fn level(&self, priority: u32) -> usize {
        self.priorities.partition_point(|p| *p < priority)
    }
}

/// Returns the row of a minion. Writes its free resources after preemption for each priority to
/// `after_preemption`.
fn measure(
    minion: &Minion,
    index: usize,
    priorities: &[u32],
    after_preemption: &mut [Resources],
    now: Time,
) -> Row {
    let mut used = Resources::ZERO;
    let mut stopping = Resources::ZERO;
    // A run that is confirmed later becomes preemptible later.
    let mut until = now + min_run_ms(0);
    after_preemption.fill(Resources::ZERO);
    for run in &minion.runs {
        used = used.plus(&run.amount);
        if matches!(run.phase, Phase::Stopping(..)) {
            stopping = stopping.plus(&run.amount);
        } else if let Some(priority) = preemptible_priority(run, now) {
            let more_urgent = priorities.partition_point(|p| *p < priority);
            for victims in &mut after_preemption[..more_urgent] {
                *victims = victims.plus(&run.amount);
            }
        } else if let Phase::Running(since) = run.phase
            && run.lossless.is_some()
        {
            until = until.min(since + min_run_ms(run.preemptions));
        }
    }
    let reservations = minion.reservations.iter();
    let reserved = reservations.fold(Resources::ZERO, |sum, r| sum.plus(&r.amount));
    let free = |kept: &Resources| minion.entry.capacity.minus(&kept.plus(&reserved));
    let kept = used.minus(&stopping);
    for resources in after_preemption {
        *resources = free(&kept.minus(resources));
    }
    Row {
        minion: index,
        capacity: minion.entry.capacity,
        free: free(&used),
        after_stops: free(&kept),
        reserved: !minion.reservations.is_empty(),
        until,
    }
}

impl Leader {
    /// Brings the free resources up to date at the start of a pass.
    pub(super) fn begin_room(&mut self, now: Time) {
        self.room.full.clear();
        if self.room.is_stale || now.since(self.room.measured) >= MEASURE_INTERVAL_MS {
            self.measure_room(now);
        } else {
            self.update_room(now);
        }
    }

    /// Computes the free resources of all usable minions, without those in evacuated zones.
    fn measure_room(&mut self, now: Time) {
        let mut priorities: Vec<u32> = self.queues.iter().map(|(_, q)| q.priority).collect();
        priorities.sort_unstable();
        priorities.dedup();
        let mut services: Table<Name, Rows> = Table::default();
        let mut holders = Vec::new();
        for (index, (_, minion)) in self.minions.iter().enumerate() {
            if !self.accepts_tasks(minion, now) {
                continue;
            }
            holders.extend(minion.reservations.iter().map(|r| r.step));
            let rows = match services.get_mut(&minion.entry.service) {
                Some(rows) => rows,
                None => services.or_insert(minion.entry.service.clone(), Rows::default()),
            };
            let first = rows.after_preemption.len();
            rows.after_preemption
                .resize(first + priorities.len(), Resources::ZERO);
            let after_preemption = &mut rows.after_preemption[first..];
            let row = measure(minion, index, &priorities, after_preemption, now);
            rows.rows.push(row);
        }
        holders.sort_unstable();
        holders.dedup();
        self.room = Room {
            services,
            priorities,
            holders,
            measured: now,
            ..Room::default()
        };
    }

    fn accepts_tasks(&self, minion: &Minion, now: Time) -> bool {
        let evacuated = self.evacuated.binary_search(&minion.entry.zone).is_ok();
        !evacuated && minion.is_usable(now, &self.settings)
    }

    /// Computes the rows of minions again that have changed.
    pub(super) fn update_room(&mut self, now: Time) {
        let mut changed = std::mem::take(&mut self.room.changed);
        changed.sort_unstable();
        changed.dedup();
        let levels = self.room.priorities.len();
        for name in changed {
            let Some(index) = self.minions.index_of(&name) else {
                continue;
            };
            let Some((_, minion)) = self.minions.at(index) else {
                continue;
            };
            let is_usable = self.accepts_tasks(minion, now);
            let service = &minion.entry.service;
            let rows = match self.room.services.get_mut(service) {
                Some(rows) => rows,
                None if !is_usable => continue,
                None => {
                    let rows = Rows::default();
                    self.room.services.or_insert(service.clone(), rows)
                }
            };
            let found = rows.rows.binary_search_by_key(&index, |r| r.minion);
            let at = found.unwrap_or_else(|at| at) * levels;
            match (found, is_usable) {
                (Ok(_), true) => {}
                (Ok(row), false) => {
                    rows.rows.remove(row);
                    rows.after_preemption.drain(at..at + levels);
                    continue;
                }
                (Err(_), false) => continue,
                (Err(row), true) => {
                    rows.rows.insert(row, Row::default());
                    let empty = std::iter::repeat_n(Resources::ZERO, levels);
                    rows.after_preemption.splice(at..at, empty);
                }
            }
            let after_preemption = &mut rows.after_preemption[at..at + levels];
            let row = measure(minion, index, &self.room.priorities, after_preemption, now);
            rows.rows[at / levels.max(1)] = row;
        }
    }

    /// Returns the rows of the minions that may run the request's queue.
    fn rows(&self, request: &Request) -> Option<&Rows> {
        let queue = self.queues.get(&request.queue)?;
        self.room.services.get(&queue.service)
    }

    fn has_label(&self, request: &Request, row: &Row) -> bool {
        let Some(label) = &request.label else {
            return true;
        };
        let minion = self.minions.at(row.minion);
        minion.is_some_and(|(_, m)| m.has_label(label))
    }

    /// Returns the positions of the usable minions that match the request's service and label and are
    /// large enough.
    pub(super) fn usable_minions(&self, request: &Request) -> Vec<usize> {
        let rows = self.rows(request).map(|r| &r.rows[..]).unwrap_or_default();
        let matches = |r: &&Row| request.amount.fits(&r.capacity) && self.has_label(request, r);
        rows.iter().filter(matches).map(|r| r.minion).collect()
    }

    /// Returns the minions on which tasks can be placed now, each with the number of tasks and its
    /// free cores.
    pub(super) fn free_slots(&self, request: &Request) -> Vec<(usize, u32, u64)> {
        let Some(rows) = self.rows(request) else {
            return Vec::new();
        };
        let mut found = Vec::new();
        for row in &rows.rows {
            if let Some((slots, cores)) = self.row_slots(request, row) {
                found.push((row.minion, slots, cores));
            }
        }
        found
    }

    /// Returns whether the row shows what is free for the request, so that the runs of the minion
    /// need not be added up: nothing is reserved, or all of it for other steps.
    fn is_current_for(&self, request: &Request, row: &Row) -> bool {
        if !row.reserved {
            return true;
        }
        let minion = self.minions.at(row.minion);
        let is_own = minion.is_some_and(|(_, m)| m.has_reservation(request.step));
        !is_own && self.room.changed.is_empty() && !self.room.is_stale
    }

    /// Returns how many tasks can be placed on a minion now and its free cores; none if no task
    /// can.
    fn row_slots(&self, request: &Request, row: &Row) -> Option<(u32, u64)> {
        let is_current = self.is_current_for(request, row);
        if is_current && !request.amount.fits(&row.free) || !self.has_label(request, row) {
            return None;
        }
        if is_current && request.per_minion == 0 {
            let slots = count_fitting(&request.amount, &row.free);
            return (slots > 0).then_some((slots, row.free.cores_milli));
        }
        let (_, minion) = self.minions.at(row.minion)?;
        let slots = request.slots(minion);
        (slots > 0).then(|| (slots, minion.free(request.step).cores_milli))
    }

    /// Returns the usable minions among those at `positions` on which tasks can be placed now, as
    /// [`Self::free_slots`] does.
    pub(super) fn free_slots_on(
        &self,
        request: &Request,
        positions: &[usize],
    ) -> Vec<(usize, u32, u64)> {
        let rows = self.rows_at(request, positions);
        let found = rows.filter_map(|(_, row)| {
            let (slots, cores) = self.row_slots(request, row)?;
            Some((row.minion, slots, cores))
        });
        found.collect()
    }

    /// Returns the rows, with their indices, of those minions among `positions` that match the
    /// request's service and label and are large enough.
    fn rows_at(
        &self,
        request: &Request,
        positions: &[usize],
    ) -> impl Iterator<Item = (usize, &Row)> {
        let rows = self.rows(request);
        positions.iter().filter_map(move |position| {
            let rows = rows?;
            let index = rows.index_of(*position, self.minions.len())?;
            let row = &rows.rows[index];
            let matches = request.amount.fits(&row.capacity) && self.has_label(request, row);
            matches.then_some((index, row))
        })
    }

    /// Returns the positions of the known minions among `names`. Needs few comparisons of names if
    /// these are sorted.
    pub(super) fn positions<'a>(&self, names: impl Iterator<Item = &'a Name>) -> Vec<usize> {
        let mut next = 0;
        let found = names.filter_map(|name| {
            let position = self.minions.index_near(next, name)?;
            next = position + 1;
            Some(position)
        });
        found.collect()
    }

    /// Returns the minions among those at `positions` that can run the request's tasks when they
    /// have room.
    pub(super) fn matching(&self, request: &Request, positions: &[usize]) -> Vec<usize> {
        let rows = self.rows_at(request, positions);
        rows.map(|(_, row)| row.minion).collect()
    }

    /// Returns the minions on which tasks fit, now or after preemption: all of the service, or the
    /// usable ones among those at `positions`.
    pub(super) fn future_slots(
        &self,
        request: &Request,
        positions: Option<&[usize]>,
        now: Time,
    ) -> Vec<Slots> {
        let Some(rows) = self.rows(request) else {
            return Vec::new();
        };
        let level = self.room.level(request.priority);
        let levels = self.room.priorities.len();
        let mut found = Vec::new();
        let mut add = |index: usize, row: &Row| {
            let after_preemption = if request.may_preempt() {
                &rows.after_preemption[index * levels + level]
            } else {
                &row.after_stops
            };
            if !request.amount.fits(&row.capacity) {
                return;
            }
            let is_current = !row.reserved || now < row.until && self.is_current_for(request, row);
            let has_room = !is_current || request.amount.fits(after_preemption);
            if !has_room || !self.has_label(request, row) {
                return;
            }
            let (free, total) = if !is_current || request.per_minion > 0 {
                self.exact_slots(request, row.minion, now)
            } else {
                let free = count_fitting(&request.amount, &row.after_stops);
                (free, count_fitting(&request.amount, after_preemption))
            };
            debug_assert!(
                !row.reserved || (free, total) == self.exact_slots(request, row.minion, now),
                "row of a minion with reservations"
            );
            if total > 0 {
                found.push(Slots {
                    minion: row.minion,
                    free,
                    total,
                });
            }
        };
        if let Some(positions) = positions {
            for (index, row) in self.rows_at(request, positions) {
                add(index, row);
            }
        } else {
            for (index, row) in rows.rows.iter().enumerate() {
                add(index, row);
            }
        }
        found
    }

    /// Returns how many tasks fit on a minion once all stopping runs have stopped, and how many fit
    /// if preemptible runs are stopped as well.
    fn exact_slots(&self, request: &Request, minion: usize, now: Time) -> (u32, u32) {
        let Some((_, minion)) = self.minions.at(minion) else {
            return (0, 0);
        };
        let limit = request.minion_limit(minion);
        let is_victim = |r: &Run| {
            let priority = preemptible_priority(r, now);
            priority.is_some_and(|p| request.may_preempt() && p > request.priority)
        };
        let after_stops = minion.free_after(request.step, |_| false);
        let after_preemption = minion.free_after(request.step, is_victim);
        (
            count_fitting(&request.amount, &after_stops).min(limit),
            count_fitting(&request.amount, &after_preemption).min(limit),
        )
    }

    /// Returns whether the usable minions could hold the step if nothing else ran on them.
    pub(super) fn could_hold(&self, request: &Request) -> bool {
        let Some(rows) = self.rows(request) else {
            return false;
        };
        let limit = match request.per_minion {
            0 => u32::MAX,
            limit => limit,
        };
        let mut slots = 0_u32;
        for row in rows.rows.iter().filter(|r| self.has_label(request, r)) {
            slots = slots.saturating_add(count_fitting(&request.amount, &row.capacity).min(limit));
            if slots >= request.min_tasks() {
                return true;
            }
        }
        false
    }

    /// Returns whether an earlier request of the pass found no room for as many tasks as this step
    /// needs at least. Room that becomes free during a pass makes it forget these requests.
    pub(super) fn is_full(&self, step: StepKey) -> bool {
        if self.room.full.is_empty() || self.room.is_holder(step) {
            return false;
        }
        let Some(job) = self.jobs.get(&step.job) else {
            return false;
        };
        let Some(spec) = job.step(step) else {
            return false;
        };
        let needed = if spec.gang { u64::from(spec.count) } else { 1 };
        let amount = job.amount(step);
        // Names are compared last: a backlog has many steps that this is asked for.
        let lacks = |full: &&Full| full.slots < needed && full.amount.fits(&amount);
        let mut lacking = self.room.full.iter().filter(lacks).peekable();
        if lacking.peek().is_none() {
            return false;
        }
        let Some(queue) = self.queues.get(&job.queue) else {
            return false;
        };
        lacking.any(|full| {
            full.priority <= queue.priority
                && full.service == queue.service
                && (full.label.is_none() || full.label == spec.label)
                && (full.preempts || self.ready.is_late(step) == Some(true))
        })
    }

    /// Remembers that the service lacks room for a request that could not be placed, if that is the
    /// reason.
    pub(super) fn note_if_full(&mut self, request: &Request, now: Time) {
        // The limit of tasks on one minion is that of this step.
        if self.room.full.len() >= MAX_FULL
            || self.room.is_holder(request.step)
            || request.per_minion > 0
        {
            return;
        }
        let slots = self.future_slots(request, None, now);
        let slots: u64 = slots.iter().map(|s| u64::from(s.total)).sum();
        let Some(queue) = self.queues.get(&request.queue) else {
            return;
        };
        if slots < u64::from(request.min_tasks()) {
            self.room.full.push(Full {
                service: queue.service.clone(),
                label: request.label.clone(),
                priority: request.priority,
                amount: request.amount,
                preempts: request.may_preempt(),
                slots,
            });
        }
    }
}
