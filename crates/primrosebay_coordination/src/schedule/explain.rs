//! Why a job waits or can never run.

use primrosebay_state::id::JobId;
use primrosebay_state::job::{JobSpec, Policy};
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use super::fleet::{Need, larger};
use super::gang::{plan, plan_empty};
use super::job::Job;
use super::queue::ClassKey;
use super::reason::{Reason, ResourceKind};
use super::scheduler::Scheduler;

impl Scheduler {
    /// Returns why tasks of a job wait, resource by resource and limit by limit; nothing if none
    /// does.
    #[must_use]
    pub fn explain(&self, job: JobId) -> Vec<Reason> {
        let Some(at) = self.jobs.find(job) else {
            return Vec::new();
        };
        let Some(job) = self.jobs.get(at).filter(|job| !job.pending.is_empty()) else {
            return Vec::new();
        };
        let key = job.class();
        let mut reasons = Vec::new();
        reasons.extend(self.can_ever_fit(&job.spec).err());
        reasons.extend(self.explain_team(job, &key));
        if job.claims > 0 {
            reasons.push(Reason::AwaitingPreemption { tasks: job.claims });
        }
        // A task that starts as soon as it is decided on does not end before any hold.
        let need = job.need(at, Time(u64::MAX));
        reasons.extend(self.explain_room(job, &need));
        if job.is_gang() && reasons.is_empty() {
            let tasks = job.pending.len() as u64;
            if let Err(room) = plan(&self.fleet, job, &need, tasks) {
                reasons.push(Reason::GangPartlyFits { tasks, room });
            }
        }
        if reasons.is_empty() {
            reasons.push(self.explain_order(job));
        }
        reasons
    }

    /// Checks whether the tasks of a job could run if nothing else did.
    ///
    /// # Errors
    ///
    /// Returns the reason why they never can.
    pub fn can_ever_fit(&self, spec: &JobSpec) -> Result<(), Reason> {
        let amount = &spec.resources;
        let largest = self
            .fleet
            .live()
            .fold(Resources::ZERO, |max, (_, w)| larger(&max, &w.total));
        if let Some(kind) = short(amount, &largest).next() {
            return Err(Reason::NeverFits {
                kind,
                needed: kind.of(amount),
                largest: kind.of(&largest),
            });
        }
        if !self.fleet.live().any(|(_, w)| amount.fits(&w.total)) {
            return Err(Reason::NeverFitsTogether);
        }
        if spec.policy == Policy::Gang {
            let tasks = u64::from(spec.tasks);
            plan_empty(&self.fleet, spec, tasks)
                .map_err(|room| Reason::GangTooLarge { tasks, room })?;
        }
        Ok(())
    }

    fn explain_team(&self, job: &Job, key: &ClassKey) -> Vec<Reason> {
        let team = &self.teams.items[job.team];
        if !team.known {
            return vec![Reason::UnknownTeam {
                team: team.name.clone(),
            }];
        }
        let needed = key.least();
        let used = team.used.plus(&team.claimed);
        short(&used.plus(&needed), &team.allowance)
            .map(|kind| Reason::Allowance {
                team: team.name.clone(),
                kind,
                needed: kind.of(&needed),
                used: kind.of(&used),
                limit: kind.of(&team.allowance),
            })
            .collect()
    }

    fn explain_room(&self, job: &Job, need: &Need) -> Vec<Reason> {
        let largest = self.fleet.largest();
        let reasons: Vec<Reason> = short(&need.amount, &largest)
            .map(|kind| Reason::NotFree {
                kind,
                needed: kind.of(&need.amount),
                largest: kind.of(&largest),
            })
            .collect();
        if !reasons.is_empty() {
            return reasons;
        }
        let open = || {
            self.fleet
                .live()
                .filter(|(_, w)| w.usable && need.amount.fits(&w.free))
        };
        if open().next().is_none() {
            return vec![Reason::NotFreeTogether];
        }
        if open().any(|(id, w)| need.fits(w) && job.allows(w.rack, id)) {
            return Vec::new();
        }
        let kept = open().filter(|(_, w)| !need.leaves(w)).count();
        let held = open().filter(|(_, w)| !need.respects(w)).count();
        let full = |(id, w): &(usize, &super::fleet::Worker)| {
            let count = job.counts.on_worker(*id);
            (
                job.spec.worker_limit > 0 && count >= job.spec.worker_limit,
                w.rack,
            )
        };
        let workers = open().any(|w| full(&w).0);
        let racks = open().any(|w| !full(&w).0 && !job.allows(w.1.rack, w.0));
        [
            (kept > 0).then_some(Reason::AcceleratorHeadroom { workers: kept }),
            (held > 0).then_some(Reason::Held { workers: held }),
            workers.then_some(Reason::WorkerLimit {
                limit: job.spec.worker_limit,
            }),
            racks.then_some(Reason::RackLimit {
                limit: job.spec.rack_limit,
            }),
        ]
        .into_iter()
        .flatten()
        .collect()
    }

    fn explain_order(&self, job: &Job) -> Reason {
        let own = &self.teams.items[job.team];
        let first = |entry: &super::queue::Entry| (entry.0, entry.1) < (job.start_by, job.sequence);
        let jobs = own
            .queue
            .classes
            .iter()
            .map(|class| class.jobs.iter().take_while(|e| first(e)).count())
            .sum();
        let rank = own.rank(&self.fleet.total, 0.0);
        let teams = self
            .teams
            .items
            .iter()
            .filter(|t| !t.queue.classes.is_empty() && t.rank(&self.fleet.total, 0.0) < rank)
            .count();
        Reason::QueuedBehind { jobs, teams }
    }
}

/// Returns the kinds of which `amount` needs more than there is in `limit`.
fn short(amount: &Resources, limit: &Resources) -> impl Iterator<Item = ResourceKind> {
    let (amount, limit) = (*amount, *limit);
    ResourceKind::ALL
        .into_iter()
        .filter(move |kind| kind.of(&amount) > kind.of(&limit))
}
