//! Handling of calls that peers forward.

use primrosebay_protocol::api::{Failure, JobView};
use primrosebay_protocol::code::Code;
use primrosebay_protocol::log::JOBS_STREAM;
use primrosebay_protocol::peer::{Caller, Document, Response};
use primrosebay_state::Name;
use primrosebay_state::id::JobId;
use primrosebay_state::job::JobSpec;
use primrosebay_state::record::Body;

use super::{MAX_PAGE_JOBS, failure_code};
use crate::shared::Shared;

impl Shared {
    /// Accepts a job if this instance coordinates `zone` and the job belongs to the caller's team.
    pub(crate) async fn answer_submit(
        &self,
        id: JobId,
        zone: Name,
        caller: &Caller,
        spec: JobSpec,
    ) -> Response {
        if spec.team != caller.team {
            return Response::Refused(Code::OTHER_TEAM);
        }
        let coordinates = self.zone(&zone).is_some_and(|zone| zone.epoch().is_some());
        if !coordinates {
            return Response::Refused(Code::NO_COORDINATOR);
        }
        match self.accept(id, zone, spec).await {
            Ok(submitted) => Document::new(&submitted)
                .map_or_else(|_| Response::Refused(Code::INTERNAL), Response::Submitted),
            Err(failure) => failure_response(&failure),
        }
    }

    /// Returns a job as this instance knows it.
    pub(crate) fn answer_read(&self, id: JobId, caller: &Caller) -> Response {
        self.find_job(id, caller)
            .map_or_else(Response::Refused, |job| job_response(&job))
    }

    /// Cancels a job whose home zone this instance coordinates. Other cancellations are recorded
    /// only.
    pub(crate) async fn answer_cancel(&self, id: JobId, caller: &Caller) -> Response {
        match self.find_job(id, caller) {
            Ok(job) if self.cancel_here(&job) => return job_response(&job),
            Ok(_) => {}
            Err(code) => return Response::Refused(code),
        }
        let body = Body::Cancelled { job: id };
        match self.publisher.persist(JOBS_STREAM, body).await {
            Ok(_) => self.answer_read(id, caller),
            Err(error) => Response::Refused(failure_code(error)),
        }
    }

    /// Lists jobs of one zone, or of all local zones if `zone` is empty, sorted by identifier. The
    /// page starts after the job `after`.
    pub(crate) fn answer_list(
        &self,
        caller: &Caller,
        zone: &str,
        after: Option<JobId>,
        limit: u32,
    ) -> Response {
        let mut jobs = self.local_jobs(caller, zone);
        jobs.retain(|job| after.is_none_or(|after| job.id > after));
        jobs.sort_by_key(|job| job.id);
        jobs.truncate(limit.min(MAX_PAGE_JOBS) as usize);
        // A page that is too long for a frame is halved; the caller requests the rest.
        loop {
            match Document::new(&jobs) {
                Ok(document) => return Response::Jobs(document),
                Err(_) if jobs.len() > 1 => jobs.truncate(jobs.len() / 2),
                Err(_) => return Response::Refused(Code::BODY_TOO_LARGE),
            }
        }
    }
}

fn failure_response(failure: &Failure) -> Response {
    Document::new(failure).map_or(Response::Refused(failure.code), Response::Failed)
}

fn job_response(job: &JobView) -> Response {
    Document::new(job).map_or(Response::Refused(Code::BODY_TOO_LARGE), Response::Job)
}
