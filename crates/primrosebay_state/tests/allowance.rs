//! Tests of allowances under changes of limits, transfers, lost acknowledgements and changes of the
//! coordinator.

mod common;

use common::{apply, change, id, millicores, record, runner, team, zone};
use primrosebay_state::allowance::Allowances;
use primrosebay_state::config::{ApplyResult, Config, ZoneState};
use primrosebay_state::escrow::Escrow;
use primrosebay_state::record::{Body, Record};
use primrosebay_state::resources::Resources;
use proptest::prelude::*;

const ZONES: [&str; 3] = ["a", "b", "c"];

fn millicores_by_zone(all: &Allowances) -> [u64; 3] {
    ZONES.map(|zone| all.get("t", zone).cores_milli)
}

fn three_zones(limit: u64) -> Allowances {
    let mut all = Allowances::default();
    for zone in ZONES {
        all.add_zone(&zone.into());
    }
    all.set_limit(&"t".into(), &millicores(limit));
    all
}

/// Guards against rounding that makes the sum of the allowances differ from the limit.
#[test]
fn changed_limits_are_divided_without_loss() {
    let mut all = three_zones(100);
    assert_eq!(millicores_by_zone(&all), [34, 33, 33]);
    assert!(all.transfer("t", "a", "b", &millicores(17), 1));
    assert_eq!(millicores_by_zone(&all), [17, 50, 33]);
    all.set_limit(&"t".into(), &millicores(160));
    assert_eq!(millicores_by_zone(&all), [37, 70, 53]);
    all.set_limit(&"t".into(), &millicores(16));
    assert_eq!(millicores_by_zone(&all), [4, 7, 5]);
    all.set_limit(&"t".into(), &millicores(1));
    assert_eq!(millicores_by_zone(&all), [1, 0, 0]);
}

/// Guards against transfers that take a zone below its floor, go to an unknown zone, or were
/// delayed until after a fence of a later term.
#[test]
fn transfers_below_the_floor_or_of_an_earlier_term_have_no_effect() {
    let mut all = three_zones(60);
    assert!(!all.transfer("t", "a", "b", &millicores(11), 1));
    assert!(all.transfer("t", "a", "b", &millicores(10), 1));
    assert!(!all.transfer("t", "a", "b", &millicores(1), 1));
    assert!(!all.transfer("t", "a", "x", &millicores(0), 1));
    assert!(all.transfer("", "b", "b", &Resources::ZERO, 5));
    assert!(!all.transfer("t", "b", "a", &millicores(1), 4));
    assert_eq!(millicores_by_zone(&all), [10, 30, 20]);
}

/// Guards against a zone that is declared after the team and takes amounts that other zones may be
/// using.
#[test]
fn added_zone_gets_only_unassigned_amounts() {
    let mut all = three_zones(60);
    all.add_zone(&"d".into());
    assert_eq!(all.get("t", "d"), Resources::ZERO);
    assert!(all.transfer("t", "a", "d", &millicores(12), 1));
    all.remove_zone("b");
    assert_eq!(all.sum("t"), millicores(60));
}

proptest! {
    #![proptest_config(runner(4096, 23))]

    /// Guards against allowances whose sum exceeds the limit at some log prefix.
    #[test]
    fn sum_is_at_most_the_limit_at_every_prefix(
        ops in proptest::collection::vec((0..6u8, 0..3usize, 0..3usize, 0..200u64), 1..60),
    ) {
        let mut all = three_zones(100);
        for (op, from, to, n) in ops {
            let before = all.get("t", ZONES[from]);
            match op {
                0 => all.set_limit(&"t".into(), &millicores(n)),
                1 => all.add_zone(&ZONES[from].into()),
                2 => all.remove_zone(ZONES[from]),
                _ => {
                    let floor = all.floor("t", ZONES[from]);
                    all.transfer("t", ZONES[from], ZONES[to], &millicores(n / 4), n);
                    prop_assert!(floor.fits(&all.get("t", ZONES[from])), "{before:?}");
                }
            }
            prop_assert!(all.sum("t").fits(&all.limit("t")), "{all:?}");
        }
    }

    /// Guards against zones whose running tasks together exceed the limit while appends are lost,
    /// delayed or duplicated, readers lag, and coordinators are replaced.
    #[test]
    fn running_tasks_stay_within_the_limit(
        ops in proptest::collection::vec((0..8u8, 0..3usize, 0..64usize, 0..30u64), 1..120),
    ) {
        let mut simulation = Simulation::new(90);
        for at in [0, 0, 0, 0, 1, 2] {
            // Every zone reads the fence of its first term.
            simulation.step(if simulation.network.is_empty() { 1 } else { 2 }, at, 0, 1);
        }
        for (op, zone, which, n) in ops {
            simulation.step(op, zone, which, n);
            let running: u64 = simulation.zones.iter().map(|zone| zone.running).sum();
            prop_assert!(running <= 90, "{running} millicores used after operation {op} in zone {zone}");
        }
    }
}

struct Zone {
    name: &'static str,
    config: Config,
    escrow: Escrow,
    epoch: u64,
    running: u64,
}

/// Simulates three zones, a log, and appends in flight.
struct Simulation {
    log: Vec<Record>,
    network: Vec<Record>,
    zones: Vec<Zone>,
    last_id: u64,
}

impl Simulation {
    fn new(limit: u64) -> Self {
        let mut base = Config::new();
        apply(
            &mut base,
            ZONES.map(|name| change("zone", name, 0, zone(ZoneState::In))),
        );
        apply(&mut base, [change("team", "t", 0, team(1, limit))]);
        let zones = (0..).zip(ZONES).map(|(i, name)| Zone {
            name,
            config: base.clone(),
            escrow: Escrow::new(&name.into(), 1, id(1 + i)),
            epoch: 1,
            running: 0,
        });
        let zones: Vec<Zone> = zones.collect();
        let network = (0..)
            .zip(&zones)
            .map(|(i, zone)| record(1 + i, zone.escrow.fence()));
        Self {
            log: Vec::new(),
            network: network.collect(),
            zones,
            last_id: 100,
        }
    }

    fn step(&mut self, op: u8, at: usize, which: usize, n: u64) {
        match op {
            0 => self.read(at),
            1 => (0..self.log.len()).for_each(|_| self.read(at)),
            2 => self.deliver(which, n),
            3 => self.transfer(at, which % 3, n),
            4 => self.replace_coordinator(at, which),
            5 => self.zones[at].running /= 2,
            _ => {
                let zone = &mut self.zones[at];
                let all = zone.config.allowances();
                let usable = zone.escrow.usable(all, "t", &millicores(zone.running));
                zone.running = zone.running.max(usable.cores_milli);
            }
        }
    }

    /// Applies the next record to a zone. The first 4 offsets are the changes made by `new`, which
    /// every zone has applied and which are not in `log`.
    fn read(&mut self, at: usize) {
        let zone = &mut self.zones[at];
        let offset = zone.config.next;
        if let Some(record) = self.log.get(usize::try_from(offset).expect("small") - 4) {
            let applied = zone.config.apply_record(offset, record);
            zone.escrow.record_applied(record.id, applied);
        }
    }

    /// Delivers an append to the log. If `n` is a multiple of 3, the append is also sent again.
    fn deliver(&mut self, which: usize, n: u64) {
        if self.network.is_empty() {
            return;
        }
        let record = self.network.remove(which % self.network.len());
        if n.is_multiple_of(3) {
            self.network.push(record.clone());
        }
        self.log.push(record);
    }

    fn transfer(&mut self, from: usize, to: usize, n: u64) {
        self.last_id += 1;
        let zone = &mut self.zones[from];
        let (all, used) = (zone.config.allowances(), millicores(zone.running));
        let target = ZONES[to].into();
        let body = zone.escrow.transfer(
            id(self.last_id),
            all,
            &"t".into(),
            &target,
            &millicores(n),
            &used,
        );
        self.network
            .extend(body.map(|body: Body| record(self.last_id, body)));
    }

    /// Replaces the coordinator of a zone. The new coordinator has read the first `which` records
    /// of the log; appends of the previous coordinator may still arrive.
    fn replace_coordinator(&mut self, at: usize, which: usize) {
        self.last_id += 1;
        let mut successor = Self::new(90).zones.swap_remove(at);
        for record in self.log.iter().take(which) {
            assert_ne!(
                successor.config.apply_record(successor.config.next, record),
                ApplyResult::Gap
            );
        }
        successor.epoch = self.zones[at].epoch + 1;
        successor.escrow = Escrow::new(&successor.name.into(), successor.epoch, id(self.last_id));
        successor.running = self.zones[at].running;
        self.network
            .push(record(self.last_id, successor.escrow.fence()));
        self.zones[at] = successor;
    }
}
