//! One round of decisions: claims, urgent work, reservations, then all teams by share.

use primrosebay_state::id::TaskId;
use primrosebay_state::job::Policy;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::decision::Decision;
use super::fit::ratio;
use super::fleet::{Worker, larger};
use super::gang::{Reservation, plan, reserve};
use super::job::Job;
use super::preempt::Search;
use super::queue::{ClassKey, Entry};
use super::scheduler::{Claim, Scheduler};

/// A team and its rank, so that the vector of turns ends with the lowest rank.
type Turn = (f64, usize);

impl Scheduler {
    /// Decides what starts and what is preempted now, with at most `max` placements; a gang that
    /// comes first is placed whole even if it is larger. There may be more to decide as long as a
    /// call returns decisions.
    pub fn schedule(&mut self, now: Time, max: usize) -> Vec<Decision> {
        self.round += 1;
        let mut decisions = Vec::new();
        self.keep_accelerators(now);
        self.shrink(&mut decisions);
        self.settle_claims(now, max, &mut decisions);
        self.place_urgent(now, max, &mut decisions);
        self.place_reserved(now, max, &mut decisions);
        self.place_shares(now, max, &mut decisions);
        decisions
    }

    /// Brings up to date what tasks without accelerators leave free for accelerator jobs.
    fn keep_accelerators(&mut self, now: Time) {
        let mut wanted = Resources::ZERO;
        for team in self.teams.items.iter().filter(|t| t.queue.accelerated > 0) {
            for head in &team.queue.heads {
                let least = &head.least;
                if least.accelerators > 0 && team.allows(least) {
                    let each = Resources {
                        cores_milli: least.cores_milli / least.accelerators,
                        memory_mib: least.memory_mib / least.accelerators,
                        accelerators: 0,
                    };
                    wanted = larger(&wanted, &each);
                }
            }
        }
        let raised = larger(&wanted, &self.fleet.keep);
        let old = now.since(self.kept) >= self.settings.headroom_ms;
        if (!wanted.is_zero() && raised == wanted) || (old && wanted != self.fleet.keep) {
            self.kept = now;
            self.fleet.set_keep(wanted);
        } else {
            self.fleet.set_keep(raised);
        }
    }

    /// Stops the newest, least costly tasks of teams that use more than their allowance.
    fn shrink(&mut self, decisions: &mut Vec<Decision>) {
        for team in std::mem::take(&mut self.over) {
            let mut tasks: Vec<_> = self
                .ledger
                .items
                .iter()
                .enumerate()
                .filter_map(|(at, r)| Some((at, r.as_ref()?)))
                .filter(|(_, r)| r.team == team && !r.stopping && self.may_shrink(r.job))
                .map(|(at, r)| {
                    (
                        !r.checkpoint,
                        r.end.is_none(),
                        std::cmp::Reverse(r.start),
                        at,
                    )
                })
                .collect();
            tasks.sort_unstable();
            for (_, _, _, at) in tasks {
                if !self.teams.items[team].is_over() {
                    break;
                }
                self.preempt(at, decisions);
            }
        }
    }

    fn may_shrink(&self, job: usize) -> bool {
        self.jobs.get(job).is_some_and(|job| {
            !job.is_gang() && job.spec.repeat == primrosebay_state::job::Repeat::Idempotent
        })
    }

    fn preempt(&mut self, slot: usize, decisions: &mut Vec<Decision>) {
        if let Some(&running) = self.ledger.get(slot) {
            self.stop(slot);
            decisions.push(Decision::Preempt {
                task: running.task,
                worker: self.fleet.workers[running.worker].name.clone(),
                checkpoint: running.checkpoint,
            });
        }
    }

    /// Places urgent tasks whose victims have stopped, or for which room was made elsewhere.
    fn settle_claims(&mut self, now: Time, max: usize, decisions: &mut Vec<Decision>) {
        let claims = std::mem::take(&mut self.claims);
        for claim in claims {
            let worker = &self.fleet.workers[claim.worker];
            let free = worker.total.minus(&worker.used);
            let open = worker.live && worker.usable;
            let possible = open && claim.amount.fits(&free.plus(&worker.stopping));
            // Other tasks of the job may have been placed since, up to its limits.
            let pending = self.jobs.get(claim.job).is_some_and(|job| {
                job.id == claim.id
                    && !job.pending.is_empty()
                    && job.allows(worker.rack, claim.worker)
            });
            // The team's claims include this one, so nothing is added to them.
            let allowed = pending && self.teams.items[claim.team].allows(&Resources::ZERO);
            let ready = open && claim.amount.fits(&free);
            let found = if ready {
                Some(claim.worker)
            } else if allowed {
                self.find(claim.job, now)
            } else {
                None
            };
            if let Some(worker) = found.filter(|_| allowed && decisions.len() < max) {
                self.unclaim(&claim);
                self.place(now, claim.job, worker, decisions);
            } else if possible && allowed {
                self.claims.push(claim);
            } else {
                self.unclaim(&claim);
            }
        }
    }

    /// Places urgent work of all teams, and preempts for it where nothing is free.
    fn place_urgent(&mut self, now: Time, max: usize, decisions: &mut Vec<Decision>) {
        let mut turns: Vec<Turn> = (0..self.teams.items.len())
            .filter(|&team| self.teams.items[team].queue.has_urgent())
            .map(|team| (self.teams.items[team].urgent_rank(&self.fleet.total), team))
            .collect();
        sort(&mut turns);
        while decisions.len() < max
            && let Some((_, team)) = turns.pop()
        {
            let (total, permille) = (self.fleet.total, self.settings.urgent_permille);
            let next = self.next(team, now, |key, team| {
                key.urgent && team.allows_urgent(&key.least(), &total, permille)
            });
            let Some((key, entry)) = next else { continue };
            if key.is_split(decisions.len(), max) {
                break;
            }
            if !self.try_place(now, &key, entry, decisions) && !self.claim(now, entry.2, decisions)
            {
                self.fail(now, team, &key);
            }
            let rank = self.teams.items[team].urgent_rank(&self.fleet.total);
            insert(&mut turns, (rank, team));
        }
    }

    /// Preempts for one urgent task, and returns whether that was possible.
    fn claim(&mut self, now: Time, at: usize, decisions: &mut Vec<Decision>) -> bool {
        // Claims do not count against the limits of a job, so such a job has one at a time.
        let may_claim = |job: &&Job| !job.is_gang() && (job.claims == 0 || !job.is_limited());
        let Some(job) = self.jobs.get(at).filter(may_claim) else {
            return false;
        };
        let (id, team, amount) = (job.id, job.team, job.amount);
        let search = Search {
            fleet: &self.fleet,
            ledger: &self.ledger,
            teams: &self.teams,
            limit: self.settings.max_victims,
            now,
        };
        let found = search.find(&amount, |id, w| job.allows(w.rack, id));
        let Some(victims) = found else { return false };
        let worker = victims.worker;
        if victims.tasks.is_empty() {
            // The room is kept for accelerators, which urgent work need not leave.
            self.place(now, at, worker, decisions);
            return true;
        }
        for slot in victims.tasks {
            self.preempt(slot, decisions);
        }
        self.fleet
            .update(worker, |w| w.claimed = w.claimed.plus(&amount));
        self.claims.push(Claim {
            job: at,
            id,
            team,
            worker,
            amount,
        });
        let team = &mut self.teams.items[team];
        team.claimed = team.claimed.plus(&amount);
        self.dequeue(at);
        if let Some(job) = self.jobs.get_mut(at) {
            job.claims += 1;
        }
        self.enqueue(at);
        true
    }

    /// Places the jobs for which resources are held, or computes their reservations again.
    fn place_reserved(&mut self, now: Time, max: usize, decisions: &mut Vec<Decision>) {
        let jobs: Vec<usize> = self.reservations.iter().map(|r| r.job).collect();
        for at in jobs {
            let Some((team, (key, entry))) = self
                .jobs
                .get(at)
                .and_then(|job| Some((job.team, job.entry?)))
            else {
                self.drop_reservation(at);
                continue;
            };
            let Some(held) = self.reservations.iter_mut().find(|r| r.job == at) else {
                continue;
            };
            let changed = held.freed != self.fleet.freed;
            held.freed = self.fleet.freed;
            let old = now >= held.until || now.since(held.made) >= self.settings.refresh_ms;
            let placed = decisions.len() < max
                && !key.is_split(decisions.len(), max)
                && changed
                && self.teams.items[team].allows(&key.least())
                && self.try_place(now, &key, entry, decisions);
            if !placed && old {
                self.drop_reservation(at);
                self.hold(now, at);
            }
        }
    }

    /// Holds resources for a job that fits nowhere now.
    fn hold(&mut self, now: Time, at: usize) {
        if self.reservations.len() >= self.settings.max_reservations
            || self.reservations.iter().any(|r| r.job == at)
        {
            return;
        }
        let Some(job) = self.jobs.get(at).filter(|job| job.hold_after <= now) else {
            return;
        };
        let need = job.need(at, now);
        let tasks = if job.is_gang() { job.pending.len() } else { 1 };
        let made: Option<Reservation> = reserve(
            &mut self.fleet,
            &mut self.ledger,
            job,
            &need,
            tasks as u64,
            now,
        );
        if made.is_none() {
            let later = now + self.settings.refresh_ms;
            if let Some(job) = self.jobs.get_mut(at) {
                job.hold_after = later;
            }
        }
        self.reservations.extend(made);
    }

    /// Places the work of all teams, the lowest weighted share first.
    fn place_shares(&mut self, now: Time, max: usize, decisions: &mut Vec<Decision>) {
        let waiting = |team: &usize| self.teams.items[*team].queue.head.is_some();
        let mut turns: Vec<Turn> = (0..self.teams.items.len())
            .filter(waiting)
            .map(|team| (self.rank(team, now), team))
            .collect();
        sort(&mut turns);
        let special = turns
            .iter()
            .any(|&(_, team)| self.teams.items[team].queue.special > 0);
        let order: Vec<usize> = turns.iter().rev().map(|turn| turn.1).collect();
        while decisions.len() < max
            && (special || self.fleet.shapes.is_open())
            && let Some((_, team)) = turns.pop()
        {
            let Some((key, entry)) = self.next(team, now, |_, _| true) else {
                continue;
            };
            if key.is_split(decisions.len(), max) {
                return;
            }
            if !self.try_place(now, &key, entry, decisions) {
                self.fail(now, team, &key);
                if key.tasks > 0 {
                    self.hold(now, entry.2);
                }
            }
            if self.teams.items[team].queue.head.is_some() {
                insert(&mut turns, (self.rank(team, now), team));
            }
        }
        if decisions.len() < max {
            self.hold_first(now, &order);
        }
    }

    /// Holds resources for the first job of the team that is furthest below its share, if that job
    /// has stayed there for long because other jobs take what is freed. No other team gets this, as
    /// what is held is given out without regard to rank.
    fn hold_first(&mut self, now: Time, order: &[usize]) {
        let first = order.iter().find_map(|&team| {
            let (_, _, at) = self.teams.items[team].queue.head?;
            let job = self.jobs.get(at)?;
            let allowed = self.teams.items[team].allows(&job.amount);
            allowed.then_some((team, at, job.sequence))
        });
        let Some((team, at, sequence)) = first else {
            return;
        };
        let stalled = &mut self.teams.items[team].stalled;
        match *stalled {
            Some((job, since)) if job == sequence => {
                if now.since(since) >= self.settings.starvation_ms {
                    self.hold(now, at);
                }
            }
            _ => *stalled = Some((sequence, now)),
        }
    }

    /// Returns the rank of a team: its weighted dominant share, less what its first job gains by a
    /// near deadline or by its age.
    fn rank(&self, team: usize, now: Time) -> f64 {
        let team = &self.teams.items[team];
        let bonus = team.queue.head.map_or(0.0, |(start_by, _, job)| {
            let deadline = self.jobs.get(job).is_some_and(|j| j.spec.deadline_ms > 0);
            let permille = if deadline {
                self.settings.deadline_permille
            } else {
                self.settings.ageing_permille
            };
            let window = self.settings.boost_ms.max(1);
            let left = start_by.since(now).min(window);
            f64::from(permille) / 1000.0 * (1.0 - ratio(left, window))
        });
        team.rank(&self.fleet.total, bonus)
    }

    /// Returns the first job of the team that may start and is not known to fit nowhere.
    fn next(
        &self,
        team: usize,
        now: Time,
        accept: impl Fn(&ClassKey, &super::share::Team) -> bool,
    ) -> Option<(ClassKey, Entry)> {
        let team = &self.teams.items[team];
        let queue = &team.queue;
        let waits = |at: usize| {
            let class = &queue.classes[at];
            class.round < self.round
                && class.retry <= now
                && (class.key.urgent || class.freed != self.fleet.freed)
        };
        let mut best: Option<(usize, Entry)> = None;
        for (at, head) in queue.heads.iter().enumerate() {
            // The cheapest check first: most heads come after the best one so far.
            if best.is_some_and(|(_, entry)| head.entry >= entry) {
                continue;
            }
            let open = match head.shape {
                Some(shape) => !self.fleet.shapes.is_blocked(shape),
                None => waits(at),
            };
            if open && team.allows(&head.least) && accept(&queue.classes[at].key, team) {
                best = Some((at, head.entry));
            }
        }
        best.map(|(at, entry)| (queue.classes[at].key, entry))
    }

    /// Remembers that a class did not fit.
    fn fail(&mut self, now: Time, team: usize, key: &ClassKey) {
        let queue = &mut self.teams.items[team].queue;
        if let Ok(at) = queue.find(key) {
            queue.classes[at].round = self.round;
            queue.classes[at].freed = self.fleet.freed;
            if let Some(shape) = queue.classes[at].shape {
                let held = self.fleet.has_held(&key.amount());
                self.fleet.shapes.block(shape, held);
            }
            if key.tasks > 0 {
                queue.classes[at].retry = now + self.settings.gang_retry_ms;
            }
        }
    }

    /// Places a gang, or one task of another job. Returns whether there was room.
    fn try_place(
        &mut self,
        now: Time,
        key: &ClassKey,
        entry: Entry,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let at = entry.2;
        if key.tasks > 0 {
            return self.place_gang(now, key, at, decisions);
        }
        if let Some(worker) = self.find(at, now) {
            self.place(now, at, worker, decisions);
            return true;
        }
        false
    }

    fn place_gang(
        &mut self,
        now: Time,
        key: &ClassKey,
        at: usize,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        if !key.least().fits(&self.fleet.free) {
            return false;
        }
        let Some(job) = self.jobs.get(at) else {
            return false;
        };
        let need = job.need(at, now);
        let Ok(parts) = plan(&self.fleet, job, &need, key.tasks as u64) else {
            return false;
        };
        for (worker, count) in parts {
            for _ in 0..count {
                self.place(now, at, worker, decisions);
            }
        }
        true
    }

    /// Returns the best worker for the next task of a job.
    fn find(&self, at: usize, now: Time) -> Option<usize> {
        let job = self.jobs.get(at)?;
        let need = job.need(at, now);
        let allowed = |id: usize, worker: &Worker| job.allows(worker.rack, id);
        if job.spec.policy == Policy::Service {
            self.fleet.spread(&need, job.rack, &job.counts, allowed)
        } else {
            self.fleet.best(&need, allowed)
        }
    }

    /// Starts the next task of a job on a worker.
    fn place(&mut self, now: Time, at: usize, worker: usize, decisions: &mut Vec<Decision>) {
        let Some(job) = self.jobs.get_mut(at) else {
            return;
        };
        let Some(index) = job.pending.pop() else {
            return;
        };
        job.rack = self.fleet.workers[worker].rack + 1;
        let (id, whole) = (job.id, !job.is_gang() || job.pending.is_empty());
        if job.pending.len() <= job.claims {
            self.dequeue(at);
        }
        self.start(now, at, index, worker, false);
        if let Some(job) = self.jobs.get(at) {
            let need = job.need(at, now);
            self.fleet.outlast(worker, &need);
        }
        if whole {
            self.drop_reservation(at);
        }
        decisions.push(Decision::Place {
            task: TaskId { job: id, index },
            worker: self.fleet.workers[worker].name.clone(),
        });
    }
}

/// Sorts turns so that the lowest rank is last; equal ranks go by the order of the teams.
fn sort(turns: &mut [Turn]) {
    turns.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
}

fn insert(turns: &mut Vec<Turn>, turn: Turn) {
    let at = turns.partition_point(|t| t.0.total_cmp(&turn.0).then(t.1.cmp(&turn.1)).is_gt());
    turns.insert(at, turn);
}
