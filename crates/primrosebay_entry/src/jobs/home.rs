//! The choice of a job's home zone, whose coordinator schedules the job.

use std::sync::{Mutex, PoisonError};

use primrosebay_protocol::api::Failure;
use primrosebay_protocol::code::Code;
use primrosebay_protocol::peer::ZoneResources;
use primrosebay_state::Name;
use primrosebay_state::config::{Resource, ZoneState};
use primrosebay_state::job::{JobSpec, Policy, Problem, is_name};

use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;

use crate::shared::Shared;

/// Milliseconds for which a submitted job is added to the reported load of its zone. This is the
/// time between two summaries in heartbeats, within which a burst of jobs would not see its own
/// load.
const RECENT_LOAD_MS: u64 = 1_600;

impl Shared {
    /// Returns the names of all configured zones and of this instance's zone, sorted.
    pub(super) fn zone_names(&self) -> Vec<Name> {
        let config = self.config();
        let mut names: Vec<Name> = config.zones().map(|(zone, _)| zone.clone()).collect();
        names.push(self.setup.zone.clone());
        names.sort();
        names.dedup();
        names
    }

    /// Refuses a job that can never run within the upper limit of its team: all tasks of a service
    /// or gang run at the same time, those of a batch job one by one if necessary.
    pub(super) fn check_team_limit(&self, spec: &JobSpec) -> Result<(), Failure> {
        let config = self.config();
        let limit = match config.get("team", &spec.team).map(|item| &item.spec) {
            Some(Resource::Team { limit, .. }) => *limit,
            _ => return Ok(()),
        };
        let concurrent = match spec.policy {
            Policy::Batch => 1,
            Policy::Service | Policy::Gang => u64::from(spec.tasks),
        };
        if spec.resources.times(concurrent).fits(&limit) {
            return Ok(());
        }
        Err(Failure::with_problems(
            Code::OVER_LIMIT,
            vec![Problem::new(
                "resources",
                format!("{concurrent} tasks at a time within the team's upper limit"),
            )],
        ))
    }

    /// Returns the job with its home zone, or the parts of a service with their home zones.
    pub(super) fn split_by_zone(&self, spec: JobSpec) -> Result<Vec<(Name, JobSpec)>, Failure> {
        let zones = self.candidate_zones(&spec);
        if zones.is_empty() {
            return Err(Failure::new(Code::NO_COORDINATOR));
        }
        if spec.policy != Policy::Service || spec.tasks == 1 || zones.len() == 1 {
            return Ok(vec![(zones[0].clone(), spec)]);
        }
        split_service(&spec, &zones)
    }

    /// Returns the zones that may run the job, the least loaded first and on a tie this instance's
    /// own. Zones that are out of service are left out unless all of them are.
    fn candidate_zones(&self, spec: &JobSpec) -> Vec<Name> {
        let (config, now) = (self.config(), self.now());
        let resources = self.resources_by_zone();
        let mut zones = self.zone_names();
        zones.retain(|zone| spec.zones.is_empty() || spec.zones.contains(zone));
        if zones
            .iter()
            .any(|zone| config.zone_state(zone) == ZoneState::In)
        {
            zones.retain(|zone| config.zone_state(zone) == ZoneState::In);
        }
        let load = |zone: &Name| {
            let found = resources.iter().find(|known| known.zone == *zone);
            found.map_or(f64::MAX, |found| self.recent_jobs.load(found, now))
        };
        let remote = |zone: &Name| *zone != self.setup.zone;
        zones.sort_by(|a, b| load(a).total_cmp(&load(b)).then(remote(a).cmp(&remote(b))));
        zones
    }

    /// Returns the resources and demand of each zone, from the local coordinator or from
    /// heartbeats.
    fn resources_by_zone(&self) -> Vec<ZoneResources> {
        let mut resources = self
            .peers()
            .map_or_else(Vec::new, |peers| peers.resources_by_zone());
        for zone in self.zones() {
            if zone.epoch().is_some() {
                resources.retain(|known| known.zone != zone.name);
                resources.push(zone.resources());
            }
        }
        resources
    }
}

/// Jobs that this instance has submitted to zones so recently that heartbeats may not show them
/// yet.
#[derive(Debug, Default)]
pub struct RecentJobs {
    sent: Mutex<Vec<(Time, Name, Resources)>>,
}

impl RecentJobs {
    /// Notes that a job was submitted to `zone`.
    pub fn add(&self, now: Time, zone: &Name, spec: &JobSpec) {
        let amount = spec.resources.times(u64::from(spec.tasks));
        let mut sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        sent.retain(|(at, ..)| now.since(*at) < RECENT_LOAD_MS);
        sent.push((now, zone.clone(), amount));
    }

    /// Returns the load of a zone: the dominant share of its used and requested resources, those of
    /// recent jobs included, in its total; above 1.0 if they exceed the total.
    fn load(&self, resources: &ZoneResources, now: Time) -> f64 {
        let sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        let used = resources
            .total
            .minus(&resources.free)
            .plus(&resources.wanted);
        sent.iter()
            .filter(|(at, zone, _)| *zone == resources.zone && now.since(*at) < RECENT_LOAD_MS)
            .fold(used, |sum, (_, _, amount)| sum.plus(amount))
            .dominant_share(&resources.total)
    }
}

/// Splits a service evenly over `zones` into one job per zone, so that each zone can run its part
/// without the others.
fn split_service(spec: &JobSpec, zones: &[Name]) -> Result<Vec<(Name, JobSpec)>, Failure> {
    let count = u32::try_from(zones.len()).unwrap_or(u32::MAX);
    let mut parts = Vec::new();
    for (i, zone) in (0..count).zip(zones) {
        let tasks = spec.tasks / count + u32::from(i < spec.tasks % count);
        if tasks == 0 {
            continue;
        }
        let name: Name = format!("{}-{zone}", spec.name).into();
        if !is_name(&name) {
            let expected = format!("a name that is short enough to be followed by -{zone}");
            let problem = Problem::new("name", expected);
            return Err(Failure::with_problems(Code::INVALID, vec![problem]));
        }
        let part = JobSpec {
            name,
            tasks,
            zones: vec![zone.clone()],
            ..spec.clone()
        };
        parts.push((zone.clone(), part));
    }
    Ok(parts)
}
