//! Jobs of the whole cell: submission, reading, listing and cancellation, through the coordinator
//! of the home zone, which may run on a peer.

mod forwarded;
pub mod home;

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use primrosebay_coordination::zone::Event;
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

/// Interval between checks whether the record of a submission has been read back.
const READ_POLL: Duration = Duration::from_millis(2);
/// Longest wait for the record of a submission to be read back. After it the job counts as
/// accepted; if an earlier record turns out to have the same name, the coordinator cancels the job.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Most jobs in one page of a list from a peer.
const MAX_PAGE_JOBS: u32 = 1_000;

impl Shared {
    /// Submits a job to its home zone, or a service in parts to several zones.
    ///
    /// # Errors
    /// Returns a failure that tells whether the job may have been accepted.
    pub async fn submit(&self, caller: Caller, spec: JobSpec) -> Result<Submitted, Failure> {
        self.check_team_limit(&spec)?;
        let mut parts = self.split_by_zone(spec)?.into_iter();
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

    /// Submits a job to the coordinator of `zone` if it runs on a peer, and otherwise accepts the
    /// job here.
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
        let Some(coordinator) = self.remote_coordinator(zone) else {
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
            Ok(Response::Submitted(document)) => document.read().map_err(|_| internal_failure()),
            Ok(_) => Err(internal_failure()),
            // The coordinator did not answer, or has just lost its authority. Any instance may
            // record the job; a second record with the same identifier has no effect.
            Err(failure) if failure.code.is_retryable() => {
                self.accept(id, zone.clone(), spec).await
            }
            Err(failure) => Err(failure),
        }
    }

    /// Returns a job, as known to the coordinator of its home zone if that is reachable, and
    /// otherwise to this instance.
    ///
    /// # Errors
    /// Returns a failure if the job is not known, or belongs to another team.
    pub async fn read_job(&self, id: JobId, caller: &Caller) -> Result<JobView, Failure> {
        let known = self.find_job(id, caller);
        let home = known.as_ref().map(|job| job.zone.clone()).ok();
        let coordinator = home.and_then(|zone| self.remote_coordinator(&zone));
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

    /// Returns the jobs that the caller may read in all zones, sorted by identifier. Jobs of a zone
    /// whose coordinator is unreachable may be missing. Callers hold a permit of [`Shared::lists`],
    /// since the jobs take as much memory as the state of their coordinators.
    pub async fn all_jobs(&self, caller: &Caller) -> Vec<JobView> {
        let mut jobs = self.local_jobs(caller, "");
        let mut coordinators: Vec<(Name, Name)> = self
            .zone_names()
            .into_iter()
            .filter_map(|zone| Some((self.remote_coordinator(&zone)?, zone)))
            .collect();
        coordinators.sort();
        for (coordinator, zone) in coordinators {
            jobs.extend(self.fetch_jobs(&coordinator, &zone, caller).await);
        }
        jobs.sort_by_key(|job| job.id);
        jobs.dedup_by_key(|job| job.id);
        jobs
    }

    /// Fetches the caller's jobs of `zone` from its coordinator, page by page. Returns the jobs so
    /// far if a call fails.
    async fn fetch_jobs(&self, coordinator: &str, zone: &Name, caller: &Caller) -> Vec<JobView> {
        let mut jobs: Vec<JobView> = Vec::new();
        loop {
            let request = Request::List {
                caller: caller.clone(),
                zone: zone.clone(),
                after: jobs.last().map(|job| job.id),
                limit: MAX_PAGE_JOBS,
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

    /// Records the cancellation of a job and returns the job as known before.
    ///
    /// # Errors
    /// Returns a failure if the job is not known or belongs to another team, or if the cancellation
    /// cannot be made durable.
    pub async fn cancel_job(&self, id: JobId, caller: &Caller) -> Result<JobView, Failure> {
        let job = self.find_job(id, caller).map_err(Failure::new)?;
        let body = Body::Cancelled { job: id };
        match self.publisher.persist(JOBS_STREAM, body).await {
            Ok(Durability::Logged(_)) => Ok(job),
            // The coordinator of the home zone cannot read the record while the log is down.
            Ok(Durability::Held) => {
                self.deliver_cancellation(&job, caller).await;
                Ok(job)
            }
            Err(error) => Err(Failure::new(failure_code(error))),
        }
    }

    /// Passes the cancellation of a job to the coordinator of its home zone. If that is not
    /// reachable, the cancellation takes effect once its record is read from the log.
    async fn deliver_cancellation(&self, job: &JobView, caller: &Caller) {
        if self.cancel_here(job) {
            return;
        }
        if let Some(coordinator) = self.remote_coordinator(&job.zone) {
            let request = Request::Cancel {
                id: job.id,
                caller: caller.clone(),
            };
            if let Err(failure) = self.forward(&coordinator, &request).await {
                log::warn!(
                    "jobs: cancellation of {} not delivered to {coordinator}: code {}",
                    job.id,
                    failure.code
                );
            }
        }
    }

    /// Cancels a job if this instance coordinates its home zone, and returns whether it does. The
    /// coordinator appends a record of its own.
    fn cancel_here(&self, job: &JobView) -> bool {
        let zone = self.zone(&job.zone).filter(|zone| zone.epoch().is_some());
        if let Some(zone) = &zone {
            zone.handle(Event::Cancel { job: job.id });
        }
        zone.is_some()
    }

    /// Makes a job durable, and feeds it to the coordinator of its home zone if that runs here.
    async fn accept(&self, id: JobId, zone: Name, spec: JobSpec) -> Result<Submitted, Failure> {
        // The coordinator of every zone reads the whole jobs stream, so any of them knows all
        // names.
        let local = self
            .zone(&zone)
            .or_else(|| self.zone(&self.setup.zone))
            .ok_or_else(|| Failure::new(Code::NO_COORDINATOR))?;
        if local.name == zone {
            check_fit(&local, &spec)?;
        }
        if let Some(earlier) = job_with_name(&local, &spec) {
            return answer_resubmission(&earlier, &spec);
        }
        let tenure = local.tenure();
        let body = Body::Accepted {
            job: id,
            zone: zone.clone(),
            spec: spec.clone(),
        };
        let durability = self.publisher.persist(JOBS_STREAM, body).await;
        let code = match durability {
            Ok(Durability::Logged(offset)) => {
                wait_fed(&local, offset).await;
                Code::ACCEPTED
            }
            Ok(Durability::Held) => Code::ACCEPTED_BY_PEERS,
            Err(error) => return Err(Failure::new(failure_code(error))),
        };
        if let Some(earlier) = job_with_name(&local, &spec).filter(|earlier| earlier.id != id) {
            return answer_resubmission(&earlier, &spec);
        }
        if local.name == zone {
            local.job_accepted(id, spec, code == Code::ACCEPTED, tenure);
        }
        Ok(Submitted {
            code,
            id,
            zone,
            parts: Vec::new(),
        })
    }

    /// Returns a job that the local coordinators know from the log and the caller may read.
    fn find_job(&self, id: JobId, caller: &Caller) -> Result<JobView, Code> {
        let zones = self.zones();
        let mut view = None;
        for zone in &zones {
            let found = zone.read(|coordinator| coordinator.job(id));
            // Only the coordinator of the home zone knows the progress of the tasks.
            let is_home = found.as_ref().is_some_and(|job| job.zone == zone.name);
            if is_home || view.is_none() {
                view = found;
            }
            if is_home {
                break;
            }
        }
        view.filter(|job| caller.operator || job.spec.team == caller.team)
            .ok_or(Code::NOT_FOUND)
    }

    /// Returns the jobs that the caller may read from the local coordinator of `zone`, or from all
    /// local coordinators if `zone` is empty.
    fn local_jobs(&self, caller: &Caller, zone: &str) -> Vec<JobView> {
        let zones = self.zones();
        let is_own = |job: &JobView| caller.operator || job.spec.team == caller.team;
        zones
            .iter()
            .filter(|known| zone.is_empty() || *known.name == *zone)
            .flat_map(|known| known.read(|c| c.jobs().filter(is_own).collect::<Vec<_>>()))
            .collect()
    }

    /// Returns the peer that coordinates `zone`, or `None` if this instance does or no peer claims
    /// it.
    fn remote_coordinator(&self, zone: &str) -> Option<Name> {
        let here = self.zone(zone).is_some_and(|zone| zone.epoch().is_some());
        let peers = self.peers().filter(|_| !here)?;
        peers.coordinator(zone)
    }

    /// Forwards a call to a peer. Fails if this instance has no peer interface.
    async fn forward(&self, peer: &str, request: &Request) -> Result<Response, Failure> {
        match self.peers() {
            Some(peers) => peers.forward(peer, request).await,
            None => Err(Failure::new(Code::NO_COORDINATOR)),
        }
    }
}

/// Refuses a job that the workers of its home zone can never run. No job is refused while the
/// workers are unknown.
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

/// Returns the job in the log that has the team and name of `spec`.
fn job_with_name(zone: &Arc<Zone>, spec: &JobSpec) -> Option<JobView> {
    zone.read(|coordinator| coordinator.job_by_name(&spec.team, &spec.name))
}

/// Answers a submission whose name is taken by the job `earlier`. A caller that repeats a
/// submission because its answer was lost gets that job; any other specification is refused. The
/// trace may differ.
fn answer_resubmission(earlier: &JobView, spec: &JobSpec) -> Result<Submitted, Failure> {
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

/// Waits until the record at `offset` was fed to the coordinator, because the order in the log
/// decides which job gets a name. Gives up after [`READ_TIMEOUT`].
async fn wait_fed(zone: &Arc<Zone>, offset: u64) {
    let mut left = READ_TIMEOUT;
    while zone.jobs_read() <= offset && !left.is_zero() {
        task::sleep(READ_POLL).await;
        left = left.saturating_sub(READ_POLL);
    }
}

/// Returns the result code of a submission or cancellation that is not known to be durable.
fn failure_code(error: PublishError) -> Code {
    match error {
        PublishError::NotAppended => Code::LOG_UNAVAILABLE,
        PublishError::Unknown => Code::RECORD_UNKNOWN,
    }
}

fn internal_failure() -> Failure {
    Failure::new(Code::INTERNAL)
}
