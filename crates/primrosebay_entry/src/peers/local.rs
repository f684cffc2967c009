//! The entry instance's side of the peer exchange: its heartbeat reports and its answers to calls.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Weak};
use std::time::Duration;

use primrosebay_coordination::freshness::FreshnessReport;
use primrosebay_coordination::membership::{Listed, Membership};
use primrosebay_coordination::publisher::{Copies, CopyLimits};

use primrosebay_protocol::code::Code;
use primrosebay_protocol::list::{Instance, Liveness, Role};
use primrosebay_protocol::log::{LogEntry, Page};
use primrosebay_protocol::peer::{Request, Response, Summary, ZoneTerm};
use primrosebay_state::Name;
use primrosebay_state::time::Time;

use primrosebay_transport::peer::{LinkError, Settings};

use super::{ConfirmedHeartbeat, LocalInstance, PeerSetup, Peers, Report};
use crate::shared::Shared;
use crate::transfers;
use primrosebay_transport::clock::Clock;

/// Interval between checks of the certificate files for changes.
const RELOAD_PERIOD: Duration = Duration::from_secs(10);

/// Serves the peer exchange from the shared state until the instance is dropped.
struct SharedInstance {
    shared: Weak<Shared>,
    clock: Clock,
}

impl LocalInstance for SharedInstance {
    fn now(&self) -> Time {
        self.clock.now()
    }

    fn report(&self) -> Option<Report> {
        let shared = self.shared.upgrade()?;
        let now = shared.now();
        let report = shared
            .configuration
            .with_freshness(|freshness| freshness.report(now));
        Some(Report {
            config: report.next,
            log_age: report.age,
            current: report.current,
            summary: shared.summary(),
        })
    }

    fn heartbeat_confirmed(&self, received: ConfirmedHeartbeat<'_>) {
        let Some(shared) = self.shared.upgrade() else {
            return;
        };
        let config = shared.config();
        let mut zones = config.zones();
        let region = zones.find(|(zone, _)| *zone == received.zone);
        let heartbeat = received.heartbeat;
        let report = FreshnessReport {
            name: received.name.clone(),
            zone: received.zone.clone(),
            region: region.map_or_else(|| Name::from(""), |(_, region)| region.clone()),
            next: heartbeat.config,
            age: heartbeat.log_age,
            current: heartbeat.current,
        };
        let now = shared.now();
        shared
            .configuration
            .with_freshness(|freshness| freshness.record_report(now, received.sent, report));
    }

    fn config_records(&self, from: u64) -> Page {
        let shared = self.shared.upgrade();
        shared.map_or_else(Page::default, |shared| shared.configuration.page(from))
    }

    fn apply_config(&self, records: Vec<LogEntry>) {
        if let Some(shared) = self.shared.upgrade() {
            shared.apply_from_peer(&records);
        }
    }

    fn handle_call<'a>(
        &'a self,
        _: &'a Name,
        request: Request,
    ) -> Pin<Box<dyn Future<Output = Response> + Send + 'a>> {
        Box::pin(async move {
            let Some(shared) = self.shared.upgrade() else {
                return Response::Refused(Code::STOPPING);
            };
            match request {
                Request::Submit {
                    id,
                    zone,
                    caller,
                    spec,
                } => match spec.read() {
                    Ok(spec) => shared.answer_submit(id, zone, &caller, spec).await,
                    Err(_) => Response::Refused(Code::MALFORMED),
                },
                Request::Read { id, caller } => shared.answer_read(id, &caller),
                Request::Cancel { id, caller } => shared.answer_cancel(id, &caller).await,
                Request::List {
                    caller,
                    zone,
                    after,
                    limit,
                } => shared.answer_list(&caller, &zone, after, limit),
                _ => Response::Refused(Code::MALFORMED),
            }
        })
    }
}

impl Peers {
    /// Opens the peer socket of an entry instance, starts its heartbeats and sets the exchange in
    /// `shared`.
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
        let local = Arc::new(SharedInstance {
            shared: Arc::downgrade(shared),
            clock: shared.setup.clock.clone(),
        });
        let peers = Self::start(settings, setup.identity, membership, copies, local)?;
        if let Some(files) = setup.files {
            peers.net().watch(files, RELOAD_PERIOD);
        }
        shared.set_peers(peers);
        Ok(())
    }
}

impl Shared {
    /// Passes the zones' regions and the entry instances of the list on to the peer exchange, and
    /// their number to the publisher.
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
        peers.update_list(&listed);
        self.publisher.set_instances(peers.instance_count());
    }

    /// Returns the terms, resources and demand of the zones over which this instance has authority.
    fn summary(&self) -> Summary {
        let mut summary = Summary::default();
        for zone in self.zones() {
            let now = self.now();
            let authority = zone.read(|coordinator| coordinator.authority(now));
            if !authority.held {
                continue;
            }
            summary.zones.push(ZoneTerm {
                zone: zone.name.clone(),
                epoch: authority.epoch,
            });
            summary.free.push(zone.resources());
            summary.demand.extend(transfers::zone_demand(&zone));
        }
        summary
    }
}
