//! The choice of a job's home zone.

use primrosebay_protocol::api::Failure;
use primrosebay_protocol::code::Code;
use primrosebay_protocol::peer::ZoneFree;
use primrosebay_state::Name;
use primrosebay_state::config::{Resource, ZoneState};
use primrosebay_state::job::{JobSpec, Policy, Problem, is_name};

use crate::shared::Shared;

impl Shared {
    /// Returns the names of all zones, from the configuration and of this instance.
    pub(super) fn zone_names(&self) -> Vec<Name> {
        let config = self.config();
        let mut names: Vec<Name> = config.zones().map(|(zone, _)| zone.clone()).collect();
        names.push(self.setup.zone.clone());
        names.sort();
        names.dedup();
        names
    }

    /// Refuses a job that can never run within the upper limit of its team.
    pub(super) fn check_limit(&self, spec: &JobSpec) -> Result<(), Failure> {
        let config = self.config();
        let limit = match config.get("team", &spec.team).map(|item| &item.spec) {
            Some(Resource::Team { limit, .. }) => *limit,
            _ => return Ok(()),
        };
        let together = match spec.policy {
            Policy::Batch => 1,
            Policy::Service | Policy::Gang => u64::from(spec.tasks),
        };
        if spec.resources.times(together).fits(&limit) {
            return Ok(());
        }
        Err(Failure::with_problems(
            Code::OVER_LIMIT,
            vec![Problem::new(
                "resources",
                format!("{together} tasks at a time within the team's upper limit"),
            )],
        ))
    }

    /// Returns the job with its home zone, or the parts of a service with theirs.
    pub(super) fn parts(&self, spec: JobSpec) -> Result<Vec<(Name, JobSpec)>, Failure> {
        let zones = self.candidates(&spec);
        if zones.is_empty() {
            return Err(Failure::new(Code::NO_COORDINATOR));
        }
        if spec.policy != Policy::Service || spec.tasks == 1 || zones.len() == 1 {
            return Ok(vec![(zones[0].clone(), spec)]);
        }
        split(&spec, &zones)
    }

    /// Returns the zones that may run the job, the one with the most free resources first.
    fn candidates(&self, spec: &JobSpec) -> Vec<Name> {
        let config = self.config();
        let free = self.free_by_zone();
        let mut zones = self.zone_names();
        zones.retain(|zone| spec.zones.is_empty() || spec.zones.contains(zone));
        if zones
            .iter()
            .any(|zone| config.zone_state(zone) == ZoneState::In)
        {
            zones.retain(|zone| config.zone_state(zone) == ZoneState::In);
        }
        let room = |zone: &Name| {
            let found = free.iter().find(|free| free.zone == *zone);
            found.map_or(0, |found| found.free.cores_milli)
        };
        zones.sort_by_key(|zone| std::cmp::Reverse((room(zone), *zone == self.setup.zone)));
        zones
    }

    /// Returns what is free in each zone, as heard from its coordinator or known here, less what
    /// this instance has sent there since.
    fn free_by_zone(&self) -> Vec<ZoneFree> {
        let mut free = self.peers().map_or_else(Vec::new, |peers| peers.free());
        for zone in self.zones() {
            if zone.epoch().is_none() {
                continue;
            }
            free.retain(|known| known.zone != zone.name);
            free.push(zone.read(|coordinator| {
                let scheduler = coordinator.scheduler();
                let waiting = scheduler.usage().iter().fold(
                    primrosebay_state::resources::Resources::ZERO,
                    |sum, team| sum.plus(&team.wanted),
                );
                ZoneFree {
                    zone: zone.name.clone(),
                    free: scheduler.free().minus(&waiting),
                    total: scheduler.total(),
                }
            }));
        }
        free
    }
}

/// Splits a service evenly over `zones`, as one job for each, so that each zone goes on alone.
fn split(spec: &JobSpec, zones: &[Name]) -> Result<Vec<(Name, JobSpec)>, Failure> {
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
