//! Jobs of the whole cell: submission, reading, lists and cancellation, at the coordinator of the
//! home zone wherever it is.

mod answer;
pub mod home;

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use primrosebay_protocol::api::{Failure, JobView, Submitted};
use primrosebay_protocol::code::Code;
use primrosebay_protocol::log::JOBS_STREAM;
use primrosebay_protocol::peer::{Caller, Document, Request, Response};
use primrosebay_state::Name;
use primrosebay_state::id::JobId;
use primrosebay_state::job::{JobSpec, Problem};
use primrosebay_state::record::Body;

use crate::publisher::{Durability, PublishError};
use crate::shared::Shared;
use crate::zones::Zone;

/// How often a submission looks whether its record has been read back.
const READ_POLL: Duration = Duration::from_millis(2);
/// Longest wait for a record to be read back. After it the job counts as accepted; should another
/// job turn out to have had the name first, the coordinator cancels this one.
const READ_LIMIT: Duration = Duration::from_secs(2);
/// Jobs of one page of a list from a peer.
const PAGE: u32 = 1_000;

impl Shared {
    /// Accepts a job, or its parts in several zones.
    ///
    /// # Errors
    /// Returns a failure that tells whether the job may have been accepted.
    pub async fn submit(&self, caller: Caller, spec: JobSpec) -> Result<Submitted, Failure> {
        self.check_limit(&spec)?;
        let mut parts = self.parts(spec)?.into_iter();
        let (zone, spec) = parts
            .next()
            .ok_or_else(|| Failure::new(Code::NO_COORDINATOR))?;
        let id = self.next_job_id();
        let mut submitted = self.submit_to(&zone, id, caller.clone(), spec).await?;
        for (zone, spec) in parts {
            let id = self.next_job_id();
            let part = self.submit_to(&zone, id, caller.clone(), spec).await?;
            submitted.parts.push(part);
        }
        Ok(submitted)
    }

    /// Submits a job to the coordinator of `zone`: at a peer if one is known, and here otherwise.
    ///
    /// # Errors
    /// Returns a failure that tells whether the job may have been accepted.
    pub async fn submit_to(
        &self,
        zone: &Name,
        id: JobId,
        caller: Caller,
        spec: JobSpec,
    ) -> Result<Submitted, Failure> {
        self.recent_jobs.add(self.now(), zone, &spec);
        let Some(coordinator) = self.elsewhere(zone) else {
            return self.accept(id, zone.clone(), spec).await;
        };
        let document = Document::new(&spec).map_err(|_| Failure::new(Code::BODY_TOO_LARGE))?;
        let request = Request::Submit {
            id,
            zone: zone.clone(),
            caller,
            spec: document,
        };
        match self.forward(&coordinator, &request).await {
            Ok(Response::Submitted(document)) => document.read().map_err(|_| internal()),
            Ok(_) => Err(internal()),
            // The coordinator does not answer, or has just lost the zone. Any instance may record
            // the job; a second record with the same identifier changes nothing.
            Err(failure) if failure.code.is_retryable() => {
                self.accept(id, zone.clone(), spec).await
            }
            Err(failure) => Err(failure),
        }
    }

    /// Reads a job, at the coordinator of its home if that can be reached.
    ///
    /// # Errors
    /// Returns a failure if there is no such job for the caller.
    pub async fn read_job(&self, id: JobId, caller: &Caller) -> Result<JobView, Failure> {
        let known = self.find(id, caller);
        let home = known.as_ref().map(|job| job.zone.clone()).ok();
        let coordinator = home.and_then(|zone| self.elsewhere(&zone));
        if let Some(coordinator) = coordinator {
            let request = Request::Read {
                id,
                caller: caller.clone(),
            };
            if let Ok(Response::Job(document)) = self.forward(&coordinator, &request).await
                && let Ok(job) = document.read()
            {
                return Ok(job);
            }
        }
        known.map_err(Failure::new)
    }

    /// Returns the jobs of the caller in all zones, by id. Jobs of a zone whose coordinator cannot
    /// be reached are missing.
    pub async fn all_jobs(&self, caller: &Caller) -> Vec<JobView> {
        let mut jobs = self.jobs_here(caller, "");
        let mut coordinators: Vec<(Name, Name)> = self
            .zone_names()
            .into_iter()
            .filter_map(|zone| Some((self.elsewhere(&zone)?, zone)))
            .collect();
        coordinators.sort();
        for (coordinator, zone) in coordinators {
            jobs.extend(self.jobs_at(&coordinator, &zone, caller).await);
        }
        jobs.sort_by_key(|job| job.id);
        jobs.dedup_by_key(|job| job.id);
        jobs
    }

    async fn jobs_at(&self, coordinator: &str, zone: &Name, caller: &Caller) -> Vec<JobView> {
        let mut jobs: Vec<JobView> = Vec::new();
        loop {
            let request = Request::List {
                caller: caller.clone(),
                zone: zone.clone(),
                after: jobs.last().map(|job| job.id),
                limit: PAGE,
            };
            let Ok(Response::Jobs(document)) = self.forward(coordinator, &request).await else {
                return jobs;
            };
            match document.read() {
                Ok(page) if !page.is_empty() => jobs.extend(page),
                _ => return jobs,
            }
        }
    }

    /// Records the cancellation of a job.
    ///
    /// # Errors
    /// Returns a failure if there is no such job for the caller or the log cannot be reached.
    pub async fn cancel_job(&self, id: JobId, caller: &Caller) -> Result<JobView, Failure> {
        let job = self.find(id, caller).map_err(Failure::new)?;
        let body = Body::Cancelled { job: id };
        match self.publisher.persist(JOBS_STREAM, body).await {
            Ok(_) => Ok(job),
            Err(error) => Err(Failure::new(code_of(error))),
        }
    }

    /// Makes a job durable and hands it to the coordinator of its home.
    async fn accept(&self, id: JobId, zone: Name, spec: JobSpec) -> Result<Submitted, Failure> {
        // Every zone's coordinator reads all records of jobs, so any of them knows the names.
        let home = self
            .zone(&zone)
            .or_else(|| self.zone(&self.setup.zone))
            .ok_or_else(|| Failure::new(Code::NO_COORDINATOR))?;
        if home.name == zone {
            check_fit(&home, &spec)?;
        }
        if let Some(earlier) = earlier(&home, &spec) {
            return same(&earlier, &spec);
        }
        let tenure = home.tenure();
        let body = Body::Accepted {
            job: id,
            zone: zone.clone(),
            spec: spec.clone(),
        };
        let kept = self.publisher.persist(JOBS_STREAM, body).await;
        let code = match kept {
            Ok(Durability::Logged(offset)) => {
                wait_read(&home, offset).await;
                Code::ACCEPTED
            }
            Ok(Durability::Held) => Code::ACCEPTED_BY_PEERS,
            Err(error) => return Err(Failure::new(code_of(error))),
        };
        if let Some(earlier) = earlier(&home, &spec).filter(|earlier| earlier.id != id) {
            return same(&earlier, &spec);
        }
        if home.name == zone {
            home.accepted(id, spec, code == Code::ACCEPTED, tenure);
        }
        Ok(Submitted {
            code,
            id,
            zone,
            parts: Vec::new(),
        })
    }

    /// Finds a job among those that this instance knows from the log.
    fn find(&self, id: JobId, caller: &Caller) -> Result<JobView, Code> {
        let zones = self.zones();
        let mut view = None;
        for zone in &zones {
            let found = zone.read(|coordinator| coordinator.job(id));
            // Only the coordinator of the home knows how far the tasks are.
            let home = found.as_ref().is_some_and(|job| job.zone == zone.name);
            if home || view.is_none() {
                view = found;
            }
            if home {
                break;
            }
        }
        view.filter(|job| caller.operator || job.spec.team == caller.team)
            .ok_or(Code::NOT_FOUND)
    }

    fn jobs_here(&self, caller: &Caller, zone: &str) -> Vec<JobView> {
        let zones = self.zones();
        zones
            .iter()
            .filter(|known| zone.is_empty() || *known.name == *zone)
            .flat_map(|known| known.read(|coordinator| coordinator.jobs().collect::<Vec<_>>()))
            .filter(|job| caller.operator || job.spec.team == caller.team)
            .collect()
    }

    /// Returns the peer that coordinates `zone`, unless this instance does.
    fn elsewhere(&self, zone: &str) -> Option<Name> {
        let here = self.zone(zone).is_some_and(|zone| zone.epoch().is_some());
        let peers = self.peers().filter(|_| !here)?;
        peers.coordinator(zone)
    }

    async fn forward(&self, peer: &str, request: &Request) -> Result<Response, Failure> {
        match self.peers() {
            Some(peers) => peers.forward(peer, request).await,
            None => Err(Failure::new(Code::NO_COORDINATOR)),
        }
    }
}

/// Refuses a job that no worker of its home can ever run. Nothing is refused while the workers are
/// not known.
fn check_fit(home: &Arc<Zone>, spec: &JobSpec) -> Result<(), Failure> {
    let reason = home.read(|coordinator| {
        let scheduler = coordinator.scheduler();
        let known = !scheduler.total().is_zero();
        known.then(|| scheduler.can_ever_fit(spec).err()).flatten()
    });
    match reason {
        Some(reason) => Err(Failure::with_problems(
            Code::NEVER_FITS,
            vec![Problem::new("resources", reason.to_string())],
        )),
        None => Ok(()),
    }
}

/// Returns the job that has the name of `spec` in the log.
fn earlier(home: &Arc<Zone>, spec: &JobSpec) -> Option<JobView> {
    home.read(|coordinator| coordinator.job_by_name(&spec.team, &spec.name))
}

/// Answers a submission whose name is taken: a caller that repeats a submission, because the answer
/// was lost, gets the job that it has submitted.
fn same(earlier: &JobView, spec: &JobSpec) -> Result<Submitted, Failure> {
    let trace = spec.trace.clone();
    let first = JobSpec {
        trace,
        ..earlier.spec.clone()
    };
    if first != *spec {
        return Err(Failure::with_problems(
            Code::DUPLICATE_NAME,
            vec![Problem::new("name", "a name that no job of the team has")],
        ));
    }
    Ok(Submitted {
        code: Code::ACCEPTED,
        id: earlier.id,
        zone: earlier.zone.clone(),
        parts: Vec::new(),
    })
}

/// Waits until the coordinator was given the record at `offset`, because the order in the log
/// decides who gets a name.
async fn wait_read(home: &Arc<Zone>, offset: u64) {
    let mut left = READ_LIMIT;
    while home.jobs_read() <= offset && !left.is_zero() {
        task::sleep(READ_POLL).await;
        left = left.saturating_sub(READ_POLL);
    }
}

fn code_of(error: PublishError) -> Code {
    match error {
        PublishError::NotAppended => Code::LOG_UNAVAILABLE,
        PublishError::Unknown => Code::RECORD_UNKNOWN,
    }
}

fn internal() -> Failure {
    Failure::new(Code::INTERNAL)
}
