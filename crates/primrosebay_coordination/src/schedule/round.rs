//! One scheduling round: claims, urgent jobs, reservations, then all teams by share.

use primrosebay_state::id::TaskId;
use primrosebay_state::job::Policy;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::decision::Decision;
use super::fit::ratio;
use super::fleet::{Worker, larger};
use super::gang::{Reservation, plan, reserve};
use super::job::Job;
use super::preempt::VictimSearch;
use super::queue::{ClassKey, QueueEntry};
use super::scheduler::{Claim, Scheduler};

/// Rank and index of a team. Vectors of turns end with the lowest rank.
type Turn = (f64, usize);

impl Scheduler {
    /// Decides which tasks start and which are preempted now, with at most `max` placements; a gang
    /// that comes first is placed whole even if it is larger. As long as a call returns decisions,
    /// another call may return more.
    pub fn schedule(&mut self, now: Time, max: usize) -> Vec<Decision> {
        self.round += 1;
        let mut decisions = Vec::new();
        self.update_headroom(now);
        self.enforce_allowances(&mut decisions);
        self.resolve_claims(now, max, &mut decisions);
        self.place_urgent(now, max, &mut decisions);
        self.place_reserved(now, max, &mut decisions);
        self.place_by_share(now, max, &mut decisions);
        decisions
    }

    /// Updates the headroom that tasks without accelerators leave for pending accelerator jobs. It
    /// grows at once, and shrinks only if these jobs have not needed all of it for `headroom_ms`.
    fn update_headroom(&mut self, now: Time) {
        let mut needed = Resources::ZERO;
        for team in self.teams.items.iter().filter(|t| t.queue.accelerated > 0) {
            for head in &team.queue.heads {
                let min_amount = &head.min_amount;
                if min_amount.accelerators > 0 && team.allows(min_amount) {
                    let per_accelerator = Resources {
                        cores_milli: min_amount.cores_milli / min_amount.accelerators,
                        memory_mib: min_amount.memory_mib / min_amount.accelerators,
                        accelerators: 0,
                    };
                    needed = larger(&needed, &per_accelerator);
                }
            }
        }
        let merged = larger(&needed, &self.fleet.headroom);
        let expired = now.since(self.headroom_time) >= self.settings.headroom_ms;
        if (!needed.is_zero() && merged == needed) || (expired && needed != self.fleet.headroom) {
            self.headroom_time = now;
            self.fleet.set_headroom(needed);
        } else {
            self.fleet.set_headroom(merged);
        }
    }

    /// Preempts tasks of teams that exceed their allowance. Tasks that can be checkpointed go first,
    /// then batch tasks before services, then newer tasks before older ones.
    fn enforce_allowances(&mut self, decisions: &mut Vec<Decision>) {
        for team in std::mem::take(&mut self.over_allowance) {
            let mut tasks: Vec<_> = self
                .running_tasks
                .items
                .iter()
                .enumerate()
                .filter_map(|(slot, r)| Some((slot, r.as_ref()?)))
                .filter(|(_, r)| r.team == team && !r.stopping && self.may_stop(r.job))
                .map(|(slot, r)| {
                    (
                        !r.checkpoint,
                        r.end.is_none(),
                        std::cmp::Reverse(r.start),
                        slot,
                    )
                })
                .collect();
            tasks.sort_unstable();
            for (_, _, _, slot) in tasks {
                if !self.teams.items[team].exceeds_allowance() {
                    break;
                }
                self.preempt(slot, decisions);
            }
        }
    }

    /// Returns whether tasks of the job may be preempted to enforce an allowance.
    fn may_stop(&self, job: usize) -> bool {
        self.jobs.get(job).is_some_and(|job| {
            !job.is_gang() && job.spec.repeat == primrosebay_state::job::Repeat::Idempotent
        })
    }

    /// Marks a running task as being preempted, and adds the decision.
    fn preempt(&mut self, slot: usize, decisions: &mut Vec<Decision>) {
        if let Some(&running) = self.running_tasks.get(slot) {
            self.stop_task(slot);
            decisions.push(Decision::Preempt {
                task: running.task,
                worker: self.fleet.workers[running.worker].name.clone(),
                checkpoint: running.checkpoint,
            });
        }
    }

    /// Places urgent tasks whose victims have stopped or that fit on another worker by now. Drops
    /// claims that can no longer be met.
    fn resolve_claims(&mut self, now: Time, max: usize, decisions: &mut Vec<Decision>) {
        let claims = std::mem::take(&mut self.claims);
        for claim in claims {
            let worker = &self.fleet.workers[claim.worker];
            let free = worker.total.minus(&worker.used);
            let schedulable = worker.registered && worker.usable;
            let fits_later = schedulable && claim.amount.fits(&free.plus(&worker.stopping));
            // Other tasks of the job may have been placed since, up to its limits.
            let placeable = self.jobs.get(claim.job).is_some_and(|job| {
                job.id == claim.id
                    && !job.pending.is_empty()
                    && job.allows(worker.rack, claim.worker)
            });
            // `claimed` already includes this claim, so nothing is added.
            let allowed = placeable && self.teams.items[claim.team].allows(&Resources::ZERO);
            let fits_now = schedulable && claim.amount.fits(&free);
            let found = if fits_now {
                Some(claim.worker)
            } else if allowed {
                self.find_worker(claim.job, now)
            } else {
                None
            };
            if let Some(worker) = found.filter(|_| allowed && decisions.len() < max) {
                self.release_claim(&claim);
                self.place(now, claim.job, worker, decisions);
            } else if fits_later && allowed {
                self.claims.push(claim);
            } else {
                self.release_claim(&claim);
            }
        }
    }

    /// Places urgent jobs of all teams, the lowest weighted urgent share first, and preempts other
    /// tasks where none fits.
    fn place_urgent(&mut self, now: Time, max: usize, decisions: &mut Vec<Decision>) {
        let mut turns: Vec<Turn> = (0..self.teams.items.len())
            .filter(|&team| self.teams.items[team].queue.has_urgent())
            .map(|team| (self.teams.items[team].urgent_rank(&self.fleet.total), team))
            .collect();
        sort_turns(&mut turns);
        while decisions.len() < max
            && let Some((_, team)) = turns.pop()
        {
            let (total, permille) = (self.fleet.total, self.settings.urgent_permille);
            let next_job = self.next_job(team, now, |key, team| {
                key.urgent && team.allows_urgent(&key.min_amount(), &total, permille)
            });
            let Some((key, entry)) = next_job else {
                continue;
            };
            if key.exceeds_batch(decisions.len(), max) {
                break;
            }
            if !self.try_place(now, &key, entry, decisions) && !self.claim(now, entry.2, decisions)
            {
                self.mark_unplaceable(now, team, &key);
            }
            let rank = self.teams.items[team].urgent_rank(&self.fleet.total);
            insert_turn(&mut turns, (rank, team));
        }
    }

    /// Preempts tasks for one urgent task and claims their resources. Returns false if there are no
    /// suitable victims.
    fn claim(&mut self, now: Time, job_index: usize, decisions: &mut Vec<Decision>) -> bool {
        // Claims do not count towards the limits of a job, so a limited job has at most one claim.
        let may_claim = |job: &&Job| !job.is_gang() && (job.claims == 0 || !job.is_limited());
        let Some(job) = self.jobs.get(job_index).filter(may_claim) else {
            return false;
        };
        let (id, team, amount) = (job.id, job.team, job.amount);
        let search = VictimSearch {
            fleet: &self.fleet,
            running_tasks: &self.running_tasks,
            teams: &self.teams,
            max_victims: self.settings.max_victims,
            now,
        };
        let found = search.find(&amount, |id, w| job.allows(w.rack, id));
        let Some(victims) = found else { return false };
        let worker = victims.worker;
        if victims.tasks.is_empty() {
            // The worker only lacked accelerator headroom, which urgent tasks need not leave.
            self.place(now, job_index, worker, decisions);
            return true;
        }
        for slot in victims.tasks {
            self.preempt(slot, decisions);
        }
        self.fleet
            .update(worker, |w| w.claimed = w.claimed.plus(&amount));
        self.claims.push(Claim {
            job: job_index,
            id,
            team,
            worker,
            amount,
        });
        let team = &mut self.teams.items[team];
        team.claimed = team.claimed.plus(&amount);
        self.dequeue(job_index);
        if let Some(job) = self.jobs.get_mut(job_index) {
            job.claims += 1;
        }
        self.enqueue(job_index);
        true
    }

    /// Places the jobs that have reservations, and recomputes reservations that have expired.
    fn place_reserved(&mut self, now: Time, max: usize, decisions: &mut Vec<Decision>) {
        let jobs: Vec<usize> = self.reservations.iter().map(|r| r.job).collect();
        for job_index in jobs {
            let Some((team, (key, entry))) = self
                .jobs
                .get(job_index)
                .and_then(|job| Some((job.team, job.entry?)))
            else {
                self.drop_reservation(job_index);
                continue;
            };
            let Some(reservation) = self.reservations.iter_mut().find(|r| r.job == job_index)
            else {
                continue;
            };
            let changed = reservation.generation != self.fleet.generation;
            reservation.generation = self.fleet.generation;
            let expired = now >= reservation.until
                || now.since(reservation.created) >= self.settings.refresh_ms;
            let placed = decisions.len() < max
                && !key.exceeds_batch(decisions.len(), max)
                && changed
                && self.teams.items[team].allows(&key.min_amount())
                && self.try_place(now, &key, entry, decisions);
            if !placed && expired {
                self.drop_reservation(job_index);
                self.reserve_for(now, job_index);
            }
        }
    }

    /// Makes a reservation for a job that does not fit now.
    fn reserve_for(&mut self, now: Time, job_index: usize) {
        if self.reservations.len() >= self.settings.max_reservations
            || self.reservations.iter().any(|r| r.job == job_index)
        {
            return;
        }
        let Some(job) = self.jobs.get(job_index).filter(|job| job.hold_after <= now) else {
            return;
        };
        let need = job.need(job_index, now);
        let tasks = if job.is_gang() { job.pending.len() } else { 1 };
        let reservation: Option<Reservation> = reserve(
            &mut self.fleet,
            &mut self.running_tasks,
            job,
            &need,
            tasks as u64,
            now,
        );
        if reservation.is_none() {
            let later = now + self.settings.refresh_ms;
            if let Some(job) = self.jobs.get_mut(job_index) {
                job.hold_after = later;
            }
        }
        self.reservations.extend(reservation);
    }

    /// Places jobs of all teams, the lowest rank first.
    fn place_by_share(&mut self, now: Time, max: usize, decisions: &mut Vec<Decision>) {
        let has_pending = |team: &usize| self.teams.items[*team].queue.head.is_some();
        let mut turns: Vec<Turn> = (0..self.teams.items.len())
            .filter(has_pending)
            .map(|team| (self.rank(team, now), team))
            .collect();
        sort_turns(&mut turns);
        let shapeless = turns
            .iter()
            .any(|&(_, team)| self.teams.items[team].queue.shapeless > 0);
        let order: Vec<usize> = turns.iter().rev().map(|turn| turn.1).collect();
        while decisions.len() < max
            && (shapeless || self.fleet.shapes.any_unblocked())
            && let Some((_, team)) = turns.pop()
        {
            let Some((key, entry)) = self.next_job(team, now, |_, _| true) else {
                continue;
            };
            if key.exceeds_batch(decisions.len(), max) {
                return;
            }
            if !self.try_place(now, &key, entry, decisions) {
                self.mark_unplaceable(now, team, &key);
                if key.tasks > 0 {
                    self.reserve_for(now, entry.2);
                }
            }
            if self.teams.items[team].queue.head.is_some() {
                insert_turn(&mut turns, (self.rank(team, now), team));
            }
        }
        if decisions.len() < max {
            self.reserve_starving(now, &order);
        }
    }

    /// Makes a reservation for the first job of the team that is furthest below its share, if the
    /// job has stayed there for `starvation_ms` because other jobs take the resources that become
    /// free. No other team gets one, because reserved resources are given out regardless of rank.
    fn reserve_starving(&mut self, now: Time, order: &[usize]) {
        let first = order.iter().find_map(|&team| {
            let (_, _, job_index) = self.teams.items[team].queue.head?;
            let job = self.jobs.get(job_index)?;
            let allowed = self.teams.items[team].allows(&job.amount);
            allowed.then_some((team, job_index, job.sequence))
        });
        let Some((team, job_index, sequence)) = first else {
            return;
        };
        let starving = &mut self.teams.items[team].starving;
        match *starving {
            Some((job, since)) if job == sequence => {
                if now.since(since) >= self.settings.starvation_ms {
                    self.reserve_for(now, job_index);
                }
            }
            _ => *starving = Some((sequence, now)),
        }
    }

    /// Returns the rank of a team: its weighted dominant share, lowered by a bonus for the near
    /// deadline or the age of its first job.
    fn rank(&self, team: usize, now: Time) -> f64 {
        let team = &self.teams.items[team];
        let bonus = team.queue.head.map_or(0.0, |(start_by, _, job)| {
            let has_deadline = self.jobs.get(job).is_some_and(|j| j.spec.deadline_ms > 0);
            let permille = if has_deadline {
                self.settings.deadline_permille
            } else {
                self.settings.ageing_permille
            };
            let boost_ms = self.settings.boost_ms.max(1);
            let left_ms = start_by.since(now).min(boost_ms);
            f64::from(permille) / 1000.0 * (1.0 - ratio(left_ms, boost_ms))
        });
        team.rank(&self.fleet.total, bonus)
    }

    /// Returns the first job of the team that `accept` admits, that the allowance permits and that
    /// is not known to fit nowhere.
    fn next_job(
        &self,
        team: usize,
        now: Time,
        accept: impl Fn(&ClassKey, &super::team::Team) -> bool,
    ) -> Option<(ClassKey, QueueEntry)> {
        let team = &self.teams.items[team];
        let queue = &team.queue;
        let may_retry = |class_index: usize| {
            let class = &queue.classes[class_index];
            class.round < self.round
                && class.retry_at <= now
                && (class.key.urgent || class.generation != self.fleet.generation)
        };
        let mut best: Option<(usize, QueueEntry)> = None;
        for (class_index, head) in queue.heads.iter().enumerate() {
            // The cheapest check comes first: most heads come after the best one so far.
            if best.is_some_and(|(_, entry)| head.entry >= entry) {
                continue;
            }
            let may_fit = match head.shape {
                Some(shape) => !self.fleet.shapes.is_blocked(shape),
                None => may_retry(class_index),
            };
            if may_fit
                && team.allows(&head.min_amount)
                && accept(&queue.classes[class_index].key, team)
            {
                best = Some((class_index, head.entry));
            }
        }
        best.map(|(class_index, entry)| (queue.classes[class_index].key, entry))
    }

    /// Records that a class did not fit. It is skipped in this round and, unless it is urgent,
    /// until resources become free.
    fn mark_unplaceable(&mut self, now: Time, team: usize, key: &ClassKey) {
        let queue = &mut self.teams.items[team].queue;
        if let Ok(class_index) = queue.find(key) {
            queue.classes[class_index].round = self.round;
            queue.classes[class_index].generation = self.fleet.generation;
            if let Some(shape) = queue.classes[class_index].shape {
                let held = self.fleet.fits_held(&key.amount());
                self.fleet.shapes.block(shape, held);
            }
            if key.tasks > 0 {
                queue.classes[class_index].retry_at = now + self.settings.gang_retry_ms;
            }
        }
    }

    /// Places a gang, or one task of another job. Returns whether it fit.
    fn try_place(
        &mut self,
        now: Time,
        key: &ClassKey,
        entry: QueueEntry,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let job_index = entry.2;
        if key.tasks > 0 {
            return self.place_gang(now, key, job_index, decisions);
        }
        if let Some(worker) = self.find_worker(job_index, now) {
            self.place(now, job_index, worker, decisions);
            return true;
        }
        false
    }

    /// Places all pending tasks of a gang. Returns false if they do not fit together.
    fn place_gang(
        &mut self,
        now: Time,
        key: &ClassKey,
        job_index: usize,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        if !key.min_amount().fits(&self.fleet.free) {
            return false;
        }
        let Some(job) = self.jobs.get(job_index) else {
            return false;
        };
        let need = job.need(job_index, now);
        let Ok(assignments) = plan(&self.fleet, job, &need, key.tasks as u64) else {
            return false;
        };
        for (worker, count) in assignments {
            for _ in 0..count {
                self.place(now, job_index, worker, decisions);
            }
        }
        true
    }

    /// Returns the best worker for the next task of a job.
    fn find_worker(&self, job_index: usize, now: Time) -> Option<usize> {
        let job = self.jobs.get(job_index)?;
        let need = job.need(job_index, now);
        let allowed = |id: usize, worker: &Worker| job.allows(worker.rack, id);
        if job.spec.policy == Policy::Service {
            self.fleet
                .spread(&need, job.next_rack, &job.counts, allowed)
        } else {
            self.fleet.best(&need, allowed)
        }
    }

    /// Places the next pending task of a job on a worker.
    fn place(&mut self, now: Time, job_index: usize, worker: usize, decisions: &mut Vec<Decision>) {
        let Some(job) = self.jobs.get_mut(job_index) else {
            return;
        };
        let Some(index) = job.pending.pop() else {
            return;
        };
        job.next_rack = self.fleet.workers[worker].rack + 1;
        let (id, complete) = (job.id, !job.is_gang() || job.pending.is_empty());
        if job.pending.len() <= job.claims {
            self.dequeue(job_index);
        }
        self.start_task(now, job_index, index, worker, false);
        if let Some(job) = self.jobs.get(job_index) {
            let need = job.need(job_index, now);
            self.fleet.charge_hold(worker, &need);
        }
        if complete {
            self.drop_reservation(job_index);
        }
        decisions.push(Decision::Place {
            task: TaskId { job: id, index },
            worker: self.fleet.workers[worker].name.clone(),
        });
    }
}

/// Sorts turns so that the lowest rank is last; of equal ranks, the lowest team index.
fn sort_turns(turns: &mut [Turn]) {
    turns.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
}

/// Inserts a turn in the order of [`sort_turns`].
fn insert_turn(turns: &mut Vec<Turn>, turn: Turn) {
    let pos = turns.partition_point(|t| t.0.total_cmp(&turn.0).then(t.1.cmp(&turn.1)).is_gt());
    turns.insert(pos, turn);
}
