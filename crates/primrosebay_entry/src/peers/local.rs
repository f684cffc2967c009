//! What peers get to know of this instance, and its answers to their calls.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Weak};
use std::time::Duration;

use primrosebay_coordination::freshness::Beat;
use primrosebay_coordination::membership::{Listed, Membership};
use primrosebay_coordination::publisher::{Copies, CopyLimits};
use primrosebay_coordination::zone::Event;

use primrosebay_protocol::api::{Failure, JobView, Submitted};
use primrosebay_protocol::code::Code;
use primrosebay_protocol::list::{Instance, Liveness, Role};
use primrosebay_protocol::log::{Page, Placed};
use primrosebay_protocol::peer::{
    Caller, Document, Request, Response, Summary, ZoneFree, ZoneTerm,
};
use primrosebay_state::Name;
use primrosebay_state::id::JobId;
use primrosebay_state::job::JobSpec;
use primrosebay_state::record::Body;
use primrosebay_state::time::Time;

use primrosebay_transport::peer::{LinkError, Settings};

use super::{Heard, Local, PeerSetup, Peers, Report};
use crate::clock::Clock;
use crate::publisher::{Kept, PublishError};
use crate::shared::Shared;
use crate::zones::stream_of;

/// Most jobs of one answer to a list call.
const LIST_LIMIT: u32 = 1_000;

/// How often the certificate files are looked at.
const RELOAD_PERIOD: Duration = Duration::from_secs(10);

/// Answers for an entry instance for as long as it exists.
struct Host {
    shared: Weak<Shared>,
    clock: Clock,
}

impl Local for Host {
    fn now(&self) -> Time {
        self.clock.now()
    }

    fn report(&self) -> Option<Report> {
        let shared = self.shared.upgrade()?;
        let now = shared.now();
        let beat = shared
            .configuration
            .with_freshness(|freshness| freshness.beat(now));
        Some(Report {
            config: beat.next,
            log_age: beat.age,
            current: beat.current,
            summary: shared.summary(),
        })
    }

    fn heard(&self, heard: Heard<'_>) {
        let Some(shared) = self.shared.upgrade() else {
            return;
        };
        let config = shared.config();
        let mut zones = config.zones();
        let region = zones.find(|(zone, _)| *zone == heard.zone);
        let heartbeat = heard.heartbeat;
        let beat = Beat {
            name: heard.name.clone(),
            zone: heard.zone.clone(),
            region: region.map_or_else(|| Name::from(""), |(_, region)| region.clone()),
            next: heartbeat.config,
            age: heartbeat.log_age,
            current: heartbeat.current,
        };
        let now = shared.now();
        shared
            .configuration
            .with_freshness(|freshness| freshness.heard(now, heard.sent, beat));
    }

    fn records(&self, from: u64) -> Page {
        let shared = self.shared.upgrade();
        shared.map_or_else(Page::default, |shared| shared.configuration.page(from))
    }

    fn apply(&self, records: Vec<Placed>) {
        if let Some(shared) = self.shared.upgrade() {
            shared.apply_pushed(&records);
        }
    }

    fn answer<'a>(
        &'a self,
        _: &'a Name,
        request: Request,
    ) -> Pin<Box<dyn Future<Output = Response> + Send + 'a>> {
        Box::pin(async move {
            let Some(shared) = self.shared.upgrade() else {
                return Response::Refused(Code::STOPPING);
            };
            let answer = match request {
                Request::Submit {
                    id,
                    zone,
                    caller,
                    spec,
                } => match spec.read() {
                    Ok(spec) => shared.submit(id, zone, &caller, spec).await,
                    Err(_) => Err(Code::MALFORMED),
                },
                Request::Read { id, caller } => shared.find(id, &caller).map(|job| document(&job)),
                Request::Cancel { id, caller } => shared.cancel(id, &caller).await,
                Request::List {
                    caller,
                    zone,
                    after,
                    limit,
                } => Ok(shared.list(&caller, &zone, after, limit)),
                _ => Err(Code::MALFORMED),
            };
            answer.unwrap_or_else(Response::Refused)
        })
    }
}

impl Peers {
    /// Starts the exchange of an entry instance.
    ///
    /// # Errors
    /// Returns an error if the socket cannot be opened or the identity cannot be used.
    pub fn join(shared: &Arc<Shared>, setup: PeerSetup) -> Result<(), LinkError> {
        let settings = Settings {
            name: shared.setup.name.clone(),
            incarnation: shared.incarnation,
            address: setup.address,
            ..Settings::default()
        };
        let membership = Membership::new(settings.name.clone(), shared.setup.zone.clone());
        let copies = Copies::new(CopyLimits::default());
        let host = Arc::new(Host {
            shared: Arc::downgrade(shared),
            clock: shared.setup.clock.clone(),
        });
        let peers = Self::start(settings, setup.identity, membership, copies, host)?;
        if let Some(files) = setup.files {
            peers.net().watch(files, RELOAD_PERIOD);
        }
        shared.use_peers(peers);
        Ok(())
    }
}

impl Shared {
    /// Tells the exchange with peers which entry instances the list has.
    pub fn update_peers(&self, instances: &[Instance]) {
        let Some(peers) = self.peers() else {
            return;
        };
        let config = self.config();
        let regions = config
            .zones()
            .map(|(zone, region)| (zone.clone(), region.clone()));
        peers.set_regions(regions.collect());
        let entries = instances.iter().filter(|i| i.role == Role::Entry);
        let listed: Vec<_> = entries
            .map(|instance| Listed {
                name: instance.name.clone(),
                zone: instance.zone.clone(),
                address: instance.address.clone(),
                leaving: instance.state == Liveness::Leaving,
            })
            .collect();
        peers.listed(&listed);
        self.publisher.set_instances(peers.instances());
    }

    fn summary(&self) -> Summary {
        let mut summary = Summary::default();
        for zone in self.zones() {
            let now = self.now();
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

    /// Accepts a job that a peer forwarded, for a zone that this instance coordinates.
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
        if !self.coordinates(&zone) {
            return Err(Code::NO_COORDINATOR);
        }
        let submitted = self.accept(id, zone, spec).await?;
        Document::new(&submitted).map_or(Err(Code::INTERNAL), |d| Ok(Response::Submitted(d)))
    }

    fn coordinates(&self, zone: &str) -> bool {
        let now = self.now();
        let zone = self.zone(zone);
        zone.is_some_and(|zone| zone.read(|coordinator| coordinator.authority(now).held))
    }

    /// Makes a job durable and tells the coordinator. A job that is known was accepted by an earlier
    /// try of the same call.
    async fn accept(&self, job: JobId, zone: Name, spec: JobSpec) -> Result<Submitted, Code> {
        let home = self.zone(&zone);
        let known = home
            .as_ref()
            .and_then(|zone| zone.read(|coordinator| coordinator.job(job)));
        let mut code = Code::ACCEPTED;
        if known.is_none() {
            let body = Body::Accepted {
                job,
                zone: zone.clone(),
                spec: spec.clone(),
            };
            let kept = self.publisher.accept(&stream_of(&zone), body).await;
            let durable = match kept {
                Ok(Kept::Logged(_)) => true,
                Ok(Kept::Held) => false,
                Err(PublishError::NotAppended) => return Err(Code::LOG_UNAVAILABLE),
                Err(PublishError::Unknown) => return Err(Code::RECORD_UNKNOWN),
            };
            if !durable {
                code = Code::ACCEPTED_BY_PEERS;
            }
            if let Some(home) = home {
                home.handle(Event::Accepted {
                    job,
                    spec,
                    durable,
                    own: true,
                });
            }
        }
        Ok(Submitted {
            code,
            id: job,
            zone,
        })
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
        let elsewhere = self.peers().filter(|_| !self.coordinates(zone));
        let elsewhere = elsewhere.and_then(|peers| Some((peers, peers.coordinator(zone)?)));
        let Some((peers, coordinator)) = elsewhere else {
            return self
                .accept(id, zone.clone(), spec)
                .await
                .map_err(Failure::new);
        };
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
