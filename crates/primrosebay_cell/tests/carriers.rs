//! The choice of carriers, and what happens to their minions when they come and go.

use primrosebay_cell::carriers::{Carriers, Instance, Loss, Permit, Settings};
use primrosebay_state::Name;
use primrosebay_state::time::Time;

const ZONES: usize = 5;

fn zone(index: usize) -> Name {
    format!("zone-{}", index % ZONES).into()
}

fn minion(index: usize) -> Name {
    format!("minion-{index:04}").into()
}

fn node(index: usize) -> Name {
    format!("node-{index:03}").into()
}

/// Returns instances of unlike size, the largest of which are not the first ones.
fn instances(count: usize) -> Vec<Instance> {
    let instance = |i: usize| Instance {
        name: node(i),
        zone: zone(i),
        cores_milli: if i % 7 == 3 { 500 } else { 120 },
    };
    (0..count).map(instance).collect()
}

fn carriers(leader: usize) -> Carriers {
    let mut carriers = Carriers::new(node(leader), Settings::default());
    carriers.set_instances(instances(147));
    for i in 0..1_100 {
        carriers.set_minion(&minion(i), &zone(i));
    }
    carriers
}

fn assignments(carriers: &Carriers) -> Vec<Option<Name>> {
    let minions = (0..1_100).map(minion);
    minions.map(|m| carriers.carrier(&m).cloned()).collect()
}

fn changes(before: &[Option<Name>], after: &[Option<Name>]) -> usize {
    before.iter().zip(after).filter(|(b, a)| b != a).count()
}

/// Guards against carriers that are too small for their work, and against a zone without one.
#[test]
fn large_instances_of_each_zone_carry() {
    let mut carriers = carriers(0);
    let chosen = carriers.choose(Time(0));
    assert_eq!(chosen.len(), 11);
    let large = instances(147);
    let is_large = |name: &Name| {
        large
            .iter()
            .any(|i| i.name == *name && i.cores_milli == 500)
    };
    assert!(chosen.iter().all(is_large), "{chosen:?}");
    for i in 0..1_100 {
        let carrier = carriers.carrier(&minion(i)).expect("all are assigned");
        let home = large.iter().find(|c| c.name == *carrier).map(|c| &c.zone);
        assert_eq!(home, Some(&zone(i)), "minion {i}");
    }
}

/// Guards against a small cell whose commands take an extra hop.
#[test]
fn leader_of_a_small_cell_calls_its_minions_itself() {
    let mut carriers = Carriers::new(node(0), Settings::default());
    carriers.set_instances(instances(9));
    for i in 0..48 {
        carriers.set_minion(&minion(i), &zone(i));
    }
    assert!(carriers.choose(Time(0)).is_empty());
    assert_eq!(carriers.carrier(&minion(7)), None);
}

/// Guards against minions that stay with a silent carrier until they count as silent themselves, and
/// against a loss that moves minions of other carriers.
#[test]
fn minions_of_a_silent_carrier_go_to_others() {
    let mut carriers = carriers(0);
    let chosen = carriers.choose(Time(0));
    let before = assignments(&carriers);
    let (lost, alive) = chosen.split_first().expect("some are chosen");
    for name in alive {
        assert!(carriers.on_poll(name, Time(500)));
    }
    assert!(carriers.remove_lost(Time(600)).is_empty());
    let removed = carriers.remove_lost(Time(700));
    assert_eq!(removed, vec![(lost.clone(), Loss::Silent)]);
    let after = assignments(&carriers);
    let orphans = before.iter().filter(|c| c.as_ref() == Some(lost)).count();
    assert_eq!(changes(&before, &after), orphans);
    assert!(
        after
            .iter()
            .all(|c| c.is_some() && c.as_ref() != Some(lost))
    );
    // A late poll of the lost one is rejected.
    assert!(!carriers.on_poll(lost, Time(710)));
    let replacement = carriers.choose(Time(710));
    assert_eq!(replacement.len(), 1);
    assert_ne!(&replacement[0], lost, "it may still be frozen");
}

/// Guards against a carrier that answers the leader but reaches none of its minions: no minion would
/// be usable while the leader considers the carrier well.
#[test]
fn carrier_that_reaches_no_minion_is_replaced() {
    let mut carriers = carriers(0);
    let chosen = carriers.choose(Time(0));
    for _ in 0..Settings::default().failures {
        carriers.on_hold(&chosen[0], false);
        carriers.on_hold(&chosen[1], false);
        carriers.on_hold(&chosen[1], true);
    }
    let removed = carriers.remove_lost(Time(100));
    assert_eq!(removed, vec![(chosen[0].clone(), Loss::CutOff)]);
}

/// Guards against a storm of new connections after a takeover: a successor uses the carriers that
/// have the connections, except for those of the old and the new leader.
#[test]
fn successor_keeps_most_assignments() {
    let mut old = carriers(3);
    old.choose(Time(0));
    let mut new = carriers(10);
    new.choose(Time(0));
    let moved = changes(&assignments(&old), &assignments(&new));
    assert!(moved <= 1_100 / 3, "{moved} minions have another carrier");
}

/// Guards against a zone that is lost with its carriers: its minions, which may be alive, need
/// carriers elsewhere, and those of other zones keep theirs.
#[test]
fn lost_zone_moves_only_its_own_minions() {
    let mut carriers = carriers(0);
    let chosen = carriers.choose(Time(0));
    let before = assignments(&carriers);
    let all = instances(147);
    let in_zone = |name: &Name| all.iter().any(|i| i.name == *name && i.zone == zone(0));
    for name in chosen.iter().filter(|n| !in_zone(n)) {
        carriers.on_poll(name, Time(700));
    }
    let lost = carriers.remove_lost(Time(700));
    assert!(lost.iter().all(|(name, _)| in_zone(name)) && !lost.is_empty());
    let after = assignments(&carriers);
    for i in 0..1_100 {
        let moved = before[i] != after[i];
        assert_eq!(moved, i % ZONES == 0, "minion {i}");
    }
}

/// Guards against commands that a carrier sends after a pause: its permission counts from its own
/// poll, on a clock that includes the pause, and a later term ends it.
#[test]
fn permit_runs_out_while_the_carrier_is_paused() {
    let permit = Permit::new(7, Time(10_000), 1_000);
    assert!(permit.is_valid(Time(10_999), 7));
    assert!(!permit.is_valid(Time(11_001), 7));
    assert!(!permit.is_valid(Time(10_001), 8));
}

/// Guards against a leader that counts minions which left long ago, and chooses ever more carriers.
#[test]
fn minions_that_have_left_need_no_carrier() {
    let mut carriers = carriers(0);
    for i in 1_100..3_000 {
        carriers.set_minion(&minion(i), &zone(i));
    }
    let last = minion(1_100);
    carriers.retain_minions(|name| *name < last);
    assert_eq!(carriers.choose(Time(0)).len(), 11);
    assert_eq!(carriers.carrier(&minion(2_000)), None);
}
