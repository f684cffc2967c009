//! Which instances of a large cell relay requests, and to which ones.

use primrosebay_cell::follower::{Relay, Settings, relay_targets};
use primrosebay_cell::record::Member;
use primrosebay_state::Name;
use primrosebay_state::table::Table;
use primrosebay_state::time::Time;

fn members(count: usize) -> Vec<(Name, Member)> {
    let member = |i: usize| {
        let member = Member {
            address: format!("10.0.0.{i}:7420").into(),
            cores_milli: if i.is_multiple_of(10) { 500 } else { 120 },
            secret: format!("secret-{i}").into(),
            zone: format!("zone-{}", i % 5).into(),
        };
        (Name::from(format!("node-{i:03}")), member)
    };
    (0..count).map(member).collect()
}

fn targets(all: &[(Name, Member)], index: usize) -> Vec<(Name, Member)> {
    let (name, own) = &all[index];
    let mut members = Table::default();
    for (name, member) in all {
        members.insert(name.clone(), member.clone());
    }
    relay_targets(name, own, &members, &Settings::default())
}

/// Guards against small instances that read every record of a large cell: 147 of them read more than
/// the log can serve, and none kept up.
#[test]
fn small_instances_of_a_large_cell_relay_to_large_ones() {
    let all = members(147);
    let found = targets(&all, 7);
    assert_eq!(found.len(), 15);
    assert!(found.iter().all(|(_, m)| m.cores_milli == 500));
    assert!(targets(&all, 20).is_empty(), "a large instance follows");
}

/// Guards against a hop that small cells do not need.
#[test]
fn instances_of_a_small_cell_follow() {
    let all = members(35);
    assert!((0..35).all(|i| targets(&all, i).is_empty()));
}

/// Guards against a cell that depends on one or two large instances.
#[test]
fn instances_follow_if_few_are_large() {
    let mut all = members(147);
    for (_, member) in all.iter_mut().skip(20) {
        member.cores_milli = 120;
    }
    assert!((0..147).all(|i| targets(&all, i).is_empty()));
}

/// Guards against requests that cross zones although the zone has a large instance, and against a
/// large instance that all others ask first.
#[test]
fn targets_of_the_own_zone_come_first() {
    let all = members(147);
    let mut first: Vec<Name> = Vec::new();
    for index in (5..147)
        .step_by(5)
        .filter(|i: &usize| !i.is_multiple_of(10))
    {
        let found = targets(&all, index);
        assert_eq!(found[0].1.zone, all[index].1.zone);
        first.push(found[0].0.clone());
    }
    first.sort_unstable();
    first.dedup();
    assert!(first.len() > 3, "all ask {first:?}");
}

/// Guards against a relaying instance that keeps asking a target that gives no answer, and against
/// one that never follows the log although no target is left.
#[test]
fn targets_without_an_answer_come_last_until_none_is_left() {
    let all = members(147);
    let found = targets(&all, 7);
    let first = found[0].0.clone();
    let mut relay = Relay::new(&all[7].0, found, Settings::default(), Time(1_000));
    relay.on_failure(&first, Time(1_100));
    let asked = relay.targets(Time(1_100));
    assert_eq!(asked.last().map(|t| &t.0), Some(&first));
    assert_eq!(relay.targets(Time(3_200))[0].0, first);
    assert!(!relay.is_abandoned(Time(2_900)));
    assert!(relay.is_abandoned(Time(9_100)));
    relay.on_answer(&first, Time(9_100));
    assert!(!relay.is_abandoned(Time(9_200)));
}

/// Guards against small instances that all read the whole log at the same moment once no large one
/// is left.
#[test]
fn instances_give_up_relaying_at_different_times() {
    let all = members(147);
    let given_up = |at: u64| {
        let abandoned = (0..147).filter(|i| {
            let found = targets(&all, *i);
            let relay = Relay::new(&all[*i].0, found, Settings::default(), Time(0));
            relay.is_abandoned(Time(at))
        });
        abandoned.count()
    };
    assert_eq!(given_up(2_000), 0);
    let early = given_up(3_000);
    assert!((5..60).contains(&early), "{early} at once");
    assert_eq!(given_up(8_001), 147);
}
