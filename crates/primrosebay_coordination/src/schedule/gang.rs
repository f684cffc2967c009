//! Gangs: placing all tasks together, and holding resources until that is possible.

use primrosebay_state::job::JobSpec;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::counts::Counts;
use super::fit::{ratio, room, score};
use super::fleet::{Fleet, Hold, Need};
use super::job::Job;
use super::ledger::Ledger;

/// Resources that are held for a waiting job.
#[derive(Debug)]
pub(super) struct Reservation {
    pub(super) job: usize,
    pub(super) made: Time,
    pub(super) until: Time,
    pub(super) workers: Vec<usize>,
    /// The state of the fleet at which the job was last tried.
    pub(super) freed: u64,
}

/// One worker of a plan with the tasks that it gets.
type Part = (usize, u64);

/// Returns how many tasks go to which worker so that `tasks` fit now, or how many would fit.
pub(super) fn plan(fleet: &Fleet, job: &Job, need: &Need, tasks: u64) -> Result<Vec<Part>, u64> {
    let candidates: Vec<_> = fleet
        .live()
        .filter(|(_, w)| need.amount.fits(&w.free))
        .map(|(id, w)| (id, need.room(w), score(&w.total, &w.free, &need.amount)))
        .filter(|&(_, room, _)| room > 0)
        .collect();
    choose(fleet, &job.spec, &job.counts, candidates, tasks)
}

/// Checks whether `tasks` of a job would fit if nothing ran, and returns how many would if not.
pub(super) fn plan_empty(fleet: &Fleet, job: &JobSpec, tasks: u64) -> Result<(), u64> {
    let candidates = fleet
        .live()
        .map(|(id, w)| (id, room(&w.total, &job.resources), 0.0))
        .collect();
    choose(fleet, job, &Counts::default(), candidates, tasks).map(|_| ())
}

/// Takes workers in the order of their cost within the limits of the job.
fn choose(
    fleet: &Fleet,
    job: &JobSpec,
    counts: &Counts,
    mut candidates: Vec<(usize, u64, f64)>,
    tasks: u64,
) -> Result<Vec<Part>, u64> {
    candidates.sort_unstable_by(|a, b| a.2.total_cmp(&b.2).then(a.0.cmp(&b.0)));
    let mut racks: Vec<(usize, u64)> = Vec::new();
    let (mut parts, mut left) = (Vec::new(), tasks);
    for (id, room, _) in candidates {
        let rack = fleet.workers[id].rack;
        let at = match racks.binary_search_by_key(&rack, |r| r.0) {
            Ok(at) => at,
            Err(at) => {
                racks.insert(at, (rack, 0));
                at
            }
        };
        let on_rack = u64::from(counts.on_rack(rack)) + racks[at].1;
        let on_worker = u64::from(counts.on_worker(id));
        let count = room
            .min(rest(job.worker_limit, on_worker))
            .min(rest(job.rack_limit, on_rack))
            .min(left);
        if count > 0 {
            racks[at].1 += count;
            parts.push((id, count));
            left -= count;
        }
        if left == 0 {
            return Ok(parts);
        }
    }
    Err(tasks - left)
}

fn rest(limit: u32, count: u64) -> u64 {
    if limit == 0 {
        u64::MAX
    } else {
        u64::from(limit).saturating_sub(count)
    }
}

/// Finds the earliest time at which `tasks` are expected to fit on workers that are held for no
/// other job, and holds these workers.
pub(super) fn reserve(
    fleet: &mut Fleet,
    ledger: &Ledger,
    job: &Job,
    need: &Need,
    tasks: u64,
    now: Time,
) -> Option<Reservation> {
    let mut free: Vec<Resources> = fleet
        .workers
        .iter()
        .map(|w| {
            if w.hold.is_none() {
                w.free
            } else {
                Resources::ZERO
            }
        })
        .collect();
    let rooms = |free: &[Resources]| -> Vec<(usize, u64, f64)> {
        fleet
            .live()
            .filter(|(id, w)| w.usable && w.hold.is_none() && need.amount.fits(&free[*id]))
            .map(|(id, w)| {
                // The fewest workers are held if those with the most room come first.
                let room = room(&free[id], &need.amount);
                (
                    id,
                    room,
                    -ratio(room, 1) + score(&w.total, &free[id], &need.amount),
                )
            })
            .collect()
    };
    let mut fit: u64 = rooms(&free).iter().map(|r| r.1.min(tasks)).sum();
    let mut until = now;
    let mut parts = None;
    for (end, at) in ends(ledger, now) {
        if fit >= tasks && end > until {
            parts = choose(fleet, &job.spec, &job.counts, rooms(&free), tasks).ok();
            if parts.is_some() {
                break;
            }
        }
        let Some(running) = ledger.get(at) else {
            continue;
        };
        let worker = &fleet.workers[running.worker];
        if !worker.live || !worker.usable || worker.hold.is_some() {
            continue;
        }
        let slot = &mut free[running.worker];
        let before = room(slot, &need.amount);
        *slot = slot.plus(&running.amount);
        fit += room(slot, &need.amount).min(tasks) - before.min(tasks);
        until = end;
    }
    let parts = match parts {
        Some(parts) => parts,
        None => choose(fleet, &job.spec, &job.counts, rooms(&free), tasks).ok()?,
    };
    let mut workers = Vec::new();
    for (id, count) in parts {
        let spare = free[id].minus(&need.amount.times(count));
        let hold = Hold {
            job: need.job,
            until,
            spare,
        };
        fleet.update(id, |w| w.hold = Some(hold));
        workers.push(id);
    }
    Some(Reservation {
        job: need.job,
        made: now,
        until,
        workers,
        freed: fleet.freed,
    })
}

/// Returns the expected ends of running tasks in order. A task that runs longer than expected is
/// expected to take a quarter of its time so far in addition.
fn ends(ledger: &Ledger, now: Time) -> Vec<(Time, usize)> {
    let mut ends: Vec<_> = ledger
        .ends
        .iter()
        .map(|&(end, at)| {
            let start = ledger.get(at).map_or(now, |r| r.start);
            let late = now + (now.since(start) / 4 + 1);
            (if end <= now { late } else { end }, at)
        })
        .collect();
    ends.sort();
    ends
}
