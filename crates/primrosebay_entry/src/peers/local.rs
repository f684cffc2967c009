//! What peers get to know of this instance, and its answers to their calls.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use primrosebay_protocol::api::{Failure, JobView, Submitted};
use primrosebay_protocol::code::Code;
use primrosebay_protocol::log::{Page, Placed};
use primrosebay_protocol::peer::{
    Caller, Document, Request, Response, Summary, ZoneFree, ZoneTerm,
};
use primrosebay_state::Name;
use primrosebay_state::id::JobId;
use primrosebay_state::job::JobSpec;
use primrosebay_state::record::Body;
use primrosebay_state::time::Time;

use super::{Local, Report};
use crate::publisher::{Kept, PublishError};
use crate::shared::Shared;
use crate::zones::stream_of;

/// Age of the last confirmation of the log's end up to which an instance counts as fresh, in
/// milliseconds.
pub const FRESH_MS: u64 = 4_000;
/// Most jobs of one answer to a list call.
const LIST_LIMIT: u32 = 1_000;

impl Local for Shared {
    fn now(&self) -> Time {
        Self::now(self)
    }

    fn report(&self) -> Report {
        let log_age = self.log_age();
        Report {
            config: self.config_log().next(),
            log_age,
            current: log_age.is_some_and(|age| age <= FRESH_MS),
            summary: self.summary(),
        }
    }

    fn records(&self, from: u64) -> Page {
        self.config_log().page(from)
    }

    fn apply(&self, records: Vec<Placed>) {
        let before = self.config_log().next();
        self.config_log().apply(records);
        if self.config_log().next() != before {
            self.publish_config();
        }
    }

    fn answer<'a>(
        &'a self,
        _: &'a Name,
        request: Request,
    ) -> Pin<Box<dyn Future<Output = Response> + Send + 'a>> {
        Box::pin(async move {
            let answer = match request {
                Request::Submit {
                    id,
                    zone,
                    caller,
                    spec,
                } => match spec.read() {
                    Ok(spec) => self.submit(id, zone, &caller, spec).await,
                    Err(_) => Err(Code::MALFORMED),
                },
                Request::Read { id, caller } => self.find(id, &caller).map(|job| document(&job)),
                Request::Cancel { id, caller } => self.cancel(id, &caller).await,
                Request::List {
                    caller,
                    zone,
                    after,
                    limit,
                } => Ok(self.list(&caller, &zone, after, limit)),
                _ => Err(Code::MALFORMED),
            };
            answer.unwrap_or_else(Response::Refused)
        })
    }
}

impl Shared {
    /// Returns the milliseconds since the end of the log was confirmed, by this instance or through
    /// a peer. A peer's confirmation counts if this instance has applied all that the peer had.
    #[must_use]
    pub fn log_age(&self) -> Option<u64> {
        let (next, own) = {
            let log = self.config_log();
            (log.next(), log.age(Self::now(self)))
        };
        let peers = self.peers().map_or_else(Vec::new, |peers| peers.view());
        let through_peers = peers.into_iter().filter_map(|peer| {
            let age = peer.heartbeat.log_age? + peer.age?;
            (peer.heartbeat.config <= next).then_some(age)
        });
        through_peers.chain(own).min()
    }

    fn summary(&self) -> Summary {
        let mut summary = Summary::default();
        for zone in self.zones() {
            let now = Self::now(self);
            let authority = zone.read(|coordinator| coordinator.authority(now));
            if !authority.held {
                continue;
            }
            let (free, total) = zone.read(|coordinator| {
                let scheduler = coordinator.scheduler();
                (scheduler.free(), scheduler.total())
            });
            summary.zones.push(ZoneTerm {
                zone: zone.name.clone(),
                epoch: authority.epoch,
            });
            summary.free.push(ZoneFree {
                zone: zone.name.clone(),
                free,
                total,
            });
        }
        summary
    }

    /// Accepts a job for a zone that this instance coordinates. A job that is known was accepted by
    /// an earlier try of the same call.
    async fn submit(
        &self,
        id: JobId,
        zone: Name,
        caller: &Caller,
        spec: JobSpec,
    ) -> Result<Response, Code> {
        if spec.team != caller.team {
            return Err(Code::OTHER_TEAM);
        }
        let known = self.zone(&zone).ok_or(Code::NO_COORDINATOR)?;
        let now = Self::now(self);
        if !known.read(|coordinator| coordinator.authority(now).held) {
            return Err(Code::NO_COORDINATOR);
        }
        let code = if known.read(|coordinator| coordinator.job(id)).is_some() {
            Code::ACCEPTED
        } else {
            let body = Body::Accepted {
                job: id,
                zone: zone.clone(),
                spec,
            };
            match self.publisher.accept(&stream_of(&zone), body).await {
                Ok(Kept::Logged(_)) => Code::ACCEPTED,
                Ok(Kept::Held) => Code::ACCEPTED_BY_PEERS,
                Err(PublishError::NotAppended) => return Err(Code::LOG_UNAVAILABLE),
                Err(PublishError::Unknown) => return Err(Code::RECORD_UNKNOWN),
            }
        };
        let submitted = Submitted { code, id, zone };
        Document::new(&submitted).map_or(Err(Code::INTERNAL), |d| Ok(Response::Submitted(d)))
    }

    fn find(&self, id: JobId, caller: &Caller) -> Result<JobView, Code> {
        let zones = self.zones();
        let mut found = zones
            .iter()
            .filter_map(|zone| zone.read(|coordinator| coordinator.job(id)));
        found
            .find(|job| caller.operator || job.spec.team == caller.team)
            .ok_or(Code::NOT_FOUND)
    }

    async fn cancel(&self, id: JobId, caller: &Caller) -> Result<Response, Code> {
        let job = self.find(id, caller)?;
        let body = Body::Cancelled { job: id };
        match self.publisher.accept(&stream_of(&job.zone), body).await {
            Ok(_) => Ok(document(&job)),
            Err(PublishError::NotAppended) => Err(Code::LOG_UNAVAILABLE),
            Err(PublishError::Unknown) => Err(Code::RECORD_UNKNOWN),
        }
    }

    fn list(&self, caller: &Caller, zone: &str, after: Option<JobId>, limit: u32) -> Response {
        let zones = self.zones();
        let wanted = zones
            .iter()
            .filter(|known| zone.is_empty() || *known.name == *zone);
        let mut jobs: Vec<JobView> = wanted
            .flat_map(|known| known.read(|coordinator| coordinator.jobs().collect::<Vec<_>>()))
            .filter(|job| caller.operator || job.spec.team == caller.team)
            .filter(|job| after.is_none_or(|after| job.id > after))
            .collect();
        jobs.sort_by_key(|job| job.id);
        jobs.truncate(limit.min(LIST_LIMIT) as usize);
        // A page that exceeds a frame is cut, and the caller asks for the rest.
        loop {
            match Document::new(&jobs) {
                Ok(document) => return Response::Jobs(document),
                Err(_) if jobs.len() > 1 => jobs.truncate(jobs.len() / 2),
                Err(_) => return Response::Refused(Code::BODY_TOO_LARGE),
            }
        }
    }

    /// Submits a job to the coordinator of `zone`, here or at a peer.
    ///
    /// # Errors
    /// Returns a failure that tells whether the job may have been accepted.
    pub async fn submit_to(
        self: &Arc<Self>,
        zone: &Name,
        id: JobId,
        caller: Caller,
        spec: JobSpec,
    ) -> Result<Submitted, Failure> {
        let now = Self::now(self);
        let own = self.zone(zone);
        if own.is_some_and(|zone| zone.read(|coordinator| coordinator.authority(now).held)) {
            let answer = self.submit(id, zone.clone(), &caller, spec).await;
            return submitted(answer.map_err(Failure::new)?);
        }
        let peers = self
            .peers()
            .ok_or_else(|| Failure::new(Code::NO_COORDINATOR))?;
        let coordinator = peers.coordinator(zone);
        let coordinator = coordinator.ok_or_else(|| Failure::new(Code::NO_COORDINATOR))?;
        let spec = Document::new(&spec).map_err(|_| Failure::new(Code::BODY_TOO_LARGE))?;
        let request = Request::Submit {
            id,
            zone: zone.clone(),
            caller,
            spec,
        };
        submitted(peers.forward(&coordinator, &request).await?)
    }
}

fn submitted(response: Response) -> Result<Submitted, Failure> {
    match response {
        Response::Submitted(document) => document.read(),
        _ => return Err(Failure::new(Code::INTERNAL)),
    }
    .map_err(|_| Failure::new(Code::INTERNAL))
}

fn document(job: &JobView) -> Response {
    Document::new(job).map_or(Response::Refused(Code::BODY_TOO_LARGE), Response::Job)
}
