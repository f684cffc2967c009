//! Allowances under changes of limits, transfers, lost answers and takeover.

mod common;

use common::{apply, change, cores, id, record, runner, team, zone};
use primrosebay_state::allowance::Allowances;
use primrosebay_state::config::{ApplyResult, Config, ZoneState};
use primrosebay_state::escrow::Escrow;
use primrosebay_state::record::{Body, Record};
use primrosebay_state::resources::Resources;
use proptest::prelude::*;

const ZONES: [&str; 3] = ["a", "b", "c"];

fn amounts(all: &Allowances) -> [u64; 3] {
    ZONES.map(|zone| all.get("t", zone).cores_milli)
}

fn three_zones(limit: u64) -> Allowances {
    let mut all = Allowances::default();
    for zone in ZONES {
        all.add_zone(&zone.into());
    }
    all.set_limit(&"t".into(), &cores(limit));
    all
}

/// Guards against rounding that loses a part of a limit or gives more than it.
#[test]
fn limits_are_split_raised_and_lowered() {
    let mut all = three_zones(100);
    assert_eq!(amounts(&all), [34, 33, 33]);
    assert!(all.transfer("t", "a", "b", &cores(17), 1));
    assert_eq!(amounts(&all), [17, 50, 33]);
    all.set_limit(&"t".into(), &cores(160));
    assert_eq!(amounts(&all), [37, 70, 53]);
    all.set_limit(&"t".into(), &cores(16));
    assert_eq!(amounts(&all), [4, 7, 5]);
    all.set_limit(&"t".into(), &cores(1));
    assert_eq!(amounts(&all), [1, 0, 0]);
}

/// Guards against a giver that falls below its floor, an unknown zone, and a delayed transfer of an
/// earlier term.
#[test]
fn transfers_beyond_the_floor_or_of_an_old_term_have_no_effect() {
    let mut all = three_zones(60);
    assert!(!all.transfer("t", "a", "b", &cores(11), 1));
    assert!(all.transfer("t", "a", "b", &cores(10), 1));
    assert!(!all.transfer("t", "a", "b", &cores(1), 1));
    assert!(!all.transfer("t", "a", "x", &cores(0), 1));
    assert!(all.transfer("", "b", "b", &Resources::ZERO, 5));
    assert!(!all.transfer("t", "b", "a", &cores(1), 4));
    assert_eq!(amounts(&all), [10, 30, 20]);
}

/// Guards against a zone that is declared later and takes what others may be using.
#[test]
fn later_zone_starts_with_what_nobody_holds() {
    let mut all = three_zones(60);
    all.add_zone(&"d".into());
    assert_eq!(all.get("t", "d"), Resources::ZERO);
    assert!(all.transfer("t", "a", "d", &cores(12), 1));
    all.remove_zone("b");
    assert_eq!(all.sum("t"), cores(60));
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
                0 => all.set_limit(&"t".into(), &cores(n)),
                1 => all.add_zone(&ZONES[from].into()),
                2 => all.remove_zone(ZONES[from]),
                _ => {
                    let floor = all.floor("t", ZONES[from]);
                    all.transfer("t", ZONES[from], ZONES[to], &cores(n / 4), n);
                    prop_assert!(floor.fits(&all.get("t", ZONES[from])), "{before:?}");
                }
            }
            prop_assert!(all.sum("t").fits(&all.limit("t")), "{all:?}");
        }
    }

    /// Guards against zones that together run more than the limit while appends are lost, delayed
    /// or doubled, readers lag, and coordinators are replaced.
    #[test]
    fn running_work_stays_within_the_limit(
        ops in proptest::collection::vec((0..8u8, 0..3usize, 0..64usize, 0..30u64), 1..120),
    ) {
        let mut world = World::new(90);
        for at in [0, 0, 0, 0, 1, 2] {
            // The first terms are open: every zone has read its fence.
            world.step(if world.network.is_empty() { 1 } else { 2 }, at, 0, 1);
        }
        for (op, zone, which, n) in ops {
            world.step(op, zone, which, n);
            let running: u64 = world.zones.iter().map(|zone| zone.running).sum();
            prop_assert!(running <= 90, "{running} run after {op} in {zone}");
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

/// Three zones, a log, and appends that are still in the network.
struct World {
    log: Vec<Record>,
    network: Vec<Record>,
    zones: Vec<Zone>,
    ids: u64,
}

impl World {
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
            ids: 100,
        }
    }

    fn step(&mut self, op: u8, at: usize, which: usize, n: u64) {
        match op {
            0 => self.read(at),
            1 => (0..self.log.len()).for_each(|_| self.read(at)),
            2 => self.land(which, n),
            3 => self.give(at, which % 3, n),
            4 => self.takeover(at, which),
            5 => self.zones[at].running /= 2,
            _ => {
                let zone = &mut self.zones[at];
                let all = zone.config.allowances();
                let usable = zone.escrow.usable(all, "t", &cores(zone.running));
                zone.running = zone.running.max(usable.cores_milli);
            }
        }
    }

    /// The first records of the log are the ones of `new`, which every zone has applied.
    fn read(&mut self, at: usize) {
        let zone = &mut self.zones[at];
        let offset = zone.config.next;
        if let Some(record) = self.log.get(usize::try_from(offset).expect("small") - 4) {
            let applied = zone.config.apply_record(offset, record);
            zone.escrow.read(record.id, applied);
        }
    }

    /// An append arrives; in one of three cases it is sent again later.
    fn land(&mut self, which: usize, n: u64) {
        if self.network.is_empty() {
            return;
        }
        let record = self.network.remove(which % self.network.len());
        if n.is_multiple_of(3) {
            self.network.push(record.clone());
        }
        self.log.push(record);
    }

    fn give(&mut self, from: usize, to: usize, n: u64) {
        self.ids += 1;
        let zone = &mut self.zones[from];
        let (all, used) = (zone.config.allowances(), cores(zone.running));
        let target = ZONES[to].into();
        let body = zone
            .escrow
            .transfer(id(self.ids), all, &"t".into(), &target, &cores(n), &used);
        self.network
            .extend(body.map(|body: Body| record(self.ids, body)));
    }

    /// The successor has read an arbitrary prefix of the log; its predecessor's appends may arrive
    /// later.
    fn takeover(&mut self, at: usize, which: usize) {
        self.ids += 1;
        let mut fresh = Self::new(90).zones.swap_remove(at);
        for record in self.log.iter().take(which) {
            assert_ne!(
                fresh.config.apply_record(fresh.config.next, record),
                ApplyResult::Gap
            );
        }
        fresh.epoch = self.zones[at].epoch + 1;
        fresh.escrow = Escrow::new(&fresh.name.into(), fresh.epoch, id(self.ids));
        fresh.running = self.zones[at].running;
        self.network.push(record(self.ids, fresh.escrow.fence()));
        self.zones[at] = fresh;
    }
}
