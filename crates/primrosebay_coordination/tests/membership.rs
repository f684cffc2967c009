//! Peers by list and heartbeats.

use rstest::rstest;

use primrosebay_coordination::membership::{
    HEARTBEAT_MS, Health, HeartbeatHeader, Listed, Membership,
};
use primrosebay_state::Name;
use primrosebay_state::id::Incarnation;
use primrosebay_state::time::Time;

fn listed(name: &str, zone: &str) -> Listed {
    Listed {
        name: name.into(),
        zone: zone.into(),
        address: "127.0.0.1:1".into(),
        leaving: false,
    }
}

fn cell() -> Vec<Listed> {
    let zones = [("a", 3), ("b", 3), ("c", 3)];
    let names = |(zone, count): (&'static str, u32)| {
        (0..count).map(move |i| listed(&format!("entry-{zone}{i}"), zone))
    };
    zones.into_iter().flat_map(names).collect()
}

fn member(name: &str, zone: &str) -> Membership {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    let regions = regions.map(|(zone, region)| (Name::from(zone), Name::from(region)));
    let mut member = Membership::new(name.into(), zone.into());
    member.set_regions(regions.to_vec());
    member.update_list(Time(0), &cell());
    member
}

fn beat(sequence: u64, echo: u64) -> HeartbeatHeader {
    HeartbeatHeader {
        incarnation: Incarnation(1),
        sequence,
        echo,
    }
}

/// Sends what is due at `now` and returns the sequence for entry-a1.
fn send(member: &mut Membership, now: Time) -> u64 {
    let due = member.due(now);
    let due = due.iter().find(|due| &*due.peer == "entry-a1");
    due.map_or(0, |due| due.sequence)
}

/// Guards against duplicates, reordered heartbeats and those of an earlier process that keep a peer
/// alive or bring back old contents.
#[test]
fn only_newer_heartbeats_are_news() {
    let mut member = member("entry-a0", "a");
    let old = HeartbeatHeader {
        incarnation: Incarnation(7),
        ..beat(9, 0)
    };
    assert!(member.received(Time(0), "entry-a1", old));
    assert!(member.received(Time(1), "entry-a1", beat(2, 0)));
    for stale in [
        beat(2, 0),
        beat(1, 0),
        HeartbeatHeader {
            sequence: 10,
            ..old
        },
    ] {
        assert!(!member.received(Time(2), "entry-a1", stale), "{stale:?}");
    }
    assert_eq!(member.incarnation("entry-a1"), Some(Incarnation(1)));
    assert!(!member.is_alive(Time(2), Incarnation(7)));
}

/// Guards against a dead peer that gets forwarded calls, and a live one that is suspected early.
#[rstest]
#[case(1_199, Health::Alive)]
#[case(1_200, Health::Suspected)]
#[case(2_399, Health::Suspected)]
#[case(2_400, Health::Dropped)]
fn silent_peer_is_suspected_then_dropped(#[case] after: u64, #[case] health: Health) {
    let mut member = member("entry-a0", "a");
    let sequence = send(&mut member, Time(0));
    member.received(Time(0), "entry-a1", beat(1, sequence));
    assert_eq!(member.health(Time(after), "entry-a1"), health);
    assert_eq!(
        member.reachable(Time(after)).is_empty(),
        health == Health::Dropped
    );
}

/// Guards against one-way loss: a peer whose heartbeats arrive but that does not get ours would be
/// taken for reachable for ever.
#[test]
fn one_way_loss_drops_the_peer() {
    let mut member = member("entry-a0", "a");
    for i in 0..20 {
        let now = Time(i * HEARTBEAT_MS);
        let sequence = send(&mut member, now);
        // After the fifth heartbeat, the direction towards the peer is lost.
        member.received(now, "entry-a1", beat(i + 1, sequence.min(5)));
        let expected = match i {
            0..=8 => Health::Alive,
            9..=11 => Health::Suspected,
            _ => Health::Dropped,
        };
        assert_eq!(member.health(now, "entry-a1"), expected, "heartbeat {i}");
    }
}

/// Guards against a heartbeat that was delayed in the network and passes for a fresh confirmation
/// of the log's end.
#[test]
fn age_counts_the_delay_in_the_network() {
    let mut member = member("entry-a0", "a");
    assert_eq!(member.age(Time(0), "entry-a1"), None);
    let sequence = send(&mut member, Time(1_000));
    member.received(Time(1_001), "entry-a1", beat(1, 0));
    assert_eq!(member.age(Time(1_001), "entry-a1"), None);
    member.received(Time(9_000), "entry-a1", beat(2, sequence));
    assert_eq!(member.age(Time(9_500), "entry-a1"), Some(8_500));
}

/// Guards against a wrong list that hides a peer whose heartbeats arrive, which would raise the
/// append rate, and against dead peers that are kept for ever.
#[test]
fn list_alone_does_not_remove_a_peer() {
    let mut member = member("entry-a0", "a");
    member.received(Time(0), "entry-a1", beat(1, 0));
    member.update_list(Time(500), &[]);
    assert_eq!(member.instances(), 2);
    assert!(member.ranks("a").iter().all(|name| &**name == "entry-a0"));
    member.update_list(Time(60_000), &[]);
    assert_eq!(member.instances(), 1);
}

/// Guards against instances that disagree on the ranks, and coordinators far from their zone.
#[test]
fn ranks_agree_and_prefer_near_instances() {
    let ranks = member("entry-a0", "a").ranks("a");
    assert_eq!(ranks, member("entry-c2", "c").ranks("a"));
    let zone = |name: &Name| name.as_bytes()["entry-".len()];
    let zones: Vec<u8> = ranks.iter().map(zone).collect();
    assert_eq!(zones, b"aaabbbccc");
    // Leaving instances are no candidates, and the order of the others stays.
    let mut member = member("entry-c2", "c");
    let mut list = cell();
    list[0].leaving = true;
    member.update_list(Time(0), &list);
    let rest: Vec<_> = ranks
        .into_iter()
        .filter(|name| *name != list[0].name)
        .collect();
    assert_eq!(member.ranks("a"), rest);
}

/// Guards against copies whose holders are all in one zone, or that go to dead instances.
#[test]
fn first_two_holders_are_in_two_zones() {
    let mut member = member("entry-a0", "a");
    for name in ["entry-a1", "entry-a2", "entry-b1", "entry-c1"] {
        member.received(Time(0), name, beat(1, 0));
    }
    let holders = member.holders(Time(0));
    assert_eq!(holders.len(), 4);
    assert_eq!(&*holders[0], "entry-b1");
    assert!(holders[1].starts_with("entry-a"));
    assert!(member.holders(Time(5_000)).is_empty());
}
