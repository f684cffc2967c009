//! Explanations of why a job is pending or can never run.

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
    /// Returns the reasons why tasks of a job are pending, by resource and by limit; empty if no
    /// task is pending.
    #[must_use]
    pub fn explain(&self, job: JobId) -> Vec<Reason> {
        let Some(job_index) = self.jobs.find(job) else {
            return Vec::new();
        };
        let Some(job) = self
            .jobs
            .get(job_index)
            .filter(|job| !job.pending.is_empty())
        else {
            return Vec::new();
        };
        let key = job.class_key();
        let mut reasons = Vec::new();
        reasons.extend(self.can_ever_fit(&job.spec).err());
        reasons.extend(self.explain_team(job, &key));
        if job.claims > 0 {
            reasons.push(Reason::AwaitingPreemption { tasks: job.claims });
        }
        // The task counts as ending after every hold, since the start time is unknown.
        let need = job.need(job_index, Time(u64::MAX));
        reasons.extend(self.explain_capacity(job, &need));
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

    /// Checks whether the tasks of a job would fit if nothing else ran.
    ///
    /// # Errors
    ///
    /// Returns the reason why they never fit.
    pub fn can_ever_fit(&self, spec: &JobSpec) -> Result<(), Reason> {
        let amount = &spec.resources;
        let largest = self
            .fleet
            .registered()
            .fold(Resources::ZERO, |max, (_, w)| larger(&max, &w.total));
        if let Some(kind) = exceeded(amount, &largest).next() {
            return Err(Reason::NeverFits {
                kind,
                needed: kind.of(amount),
                largest: kind.of(&largest),
            });
        }
        if !self.fleet.registered().any(|(_, w)| amount.fits(&w.total)) {
            return Err(Reason::NeverFitsTogether);
        }
        if spec.policy == Policy::Gang {
            let tasks = u64::from(spec.tasks);
            plan_empty(&self.fleet, spec, tasks)
                .map_err(|room| Reason::GangTooLarge { tasks, room })?;
        }
        Ok(())
    }

    /// Returns the reasons that lie in the team: it is not configured, or its allowance is used up.
    fn explain_team(&self, job: &Job, key: &ClassKey) -> Vec<Reason> {
        let team = &self.teams.items[job.team];
        if !team.configured {
            return vec![Reason::UnknownTeam {
                team: team.name.clone(),
            }];
        }
        let needed = key.min_amount();
        let used = team.used.plus(&team.claimed);
        exceeded(&used.plus(&needed), &team.allowance)
            .map(|kind| Reason::Allowance {
                team: team.name.clone(),
                kind,
                needed: kind.of(&needed),
                used: kind.of(&used),
                limit: kind.of(&team.allowance),
            })
            .collect()
    }

    /// Returns the reasons why no worker can start the next task; empty if some worker can.
    fn explain_capacity(&self, job: &Job, need: &Need) -> Vec<Reason> {
        let largest = self.fleet.largest();
        let reasons: Vec<Reason> = exceeded(&need.amount, &largest)
            .map(|kind| Reason::NotFree {
                kind,
                needed: kind.of(&need.amount),
                largest: kind.of(&largest),
            })
            .collect();
        if !reasons.is_empty() {
            return reasons;
        }
        let with_room = || {
            self.fleet
                .registered()
                .filter(|(_, w)| w.usable && need.amount.fits(&w.free))
        };
        if with_room().next().is_none() {
            return vec![Reason::NotFreeTogether];
        }
        if with_room().any(|(id, w)| need.fits(w) && job.allows(w.rack, id)) {
            return Vec::new();
        }
        let by_headroom = with_room()
            .filter(|(_, w)| !need.respects_headroom(w))
            .count();
        let by_hold = with_room().filter(|(_, w)| !need.respects_hold(w)).count();
        let worker_limit_reached = |(id, w): &(usize, &super::fleet::Worker)| {
            let count = job.counts.on_worker(*id);
            (
                job.spec.worker_limit > 0 && count >= job.spec.worker_limit,
                w.rack,
            )
        };
        let worker_limited = with_room().any(|w| worker_limit_reached(&w).0);
        let rack_limited =
            with_room().any(|w| !worker_limit_reached(&w).0 && !job.allows(w.1.rack, w.0));
        [
            (by_headroom > 0).then_some(Reason::AcceleratorHeadroom {
                workers: by_headroom,
            }),
            (by_hold > 0).then_some(Reason::Held { workers: by_hold }),
            worker_limited.then_some(Reason::WorkerLimit {
                limit: job.spec.worker_limit,
            }),
            rack_limited.then_some(Reason::RackLimit {
                limit: job.spec.rack_limit,
            }),
        ]
        .into_iter()
        .flatten()
        .collect()
    }

    /// Returns the number of jobs and teams that come before the job.
    fn explain_order(&self, job: &Job) -> Reason {
        let team = &self.teams.items[job.team];
        let is_ahead =
            |entry: &super::queue::QueueEntry| (entry.0, entry.1) < (job.start_by, job.sequence);
        let jobs = team
            .queue
            .classes
            .iter()
            .map(|class| class.jobs.iter().take_while(|e| is_ahead(e)).count())
            .sum();
        let rank = team.rank(&self.fleet.total, 0.0);
        let teams = self
            .teams
            .items
            .iter()
            .filter(|t| !t.queue.classes.is_empty() && t.rank(&self.fleet.total, 0.0) < rank)
            .count();
        Reason::QueuedBehind { jobs, teams }
    }
}

/// Returns the kinds of resources of which `amount` exceeds `limit`.
fn exceeded(amount: &Resources, limit: &Resources) -> impl Iterator<Item = ResourceKind> {
    let (amount, limit) = (*amount, *limit);
    ResourceKind::ALL
        .into_iter()
        .filter(move |kind| kind.of(&amount) > kind.of(&limit))
}
