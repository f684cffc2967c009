//! Membership from the instance list and heartbeats.

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

fn membership(name: &str, zone: &str) -> Membership {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    let regions = regions.map(|(zone, region)| (Name::from(zone), Name::from(region)));
    let mut membership = Membership::new(name.into(), zone.into());
    membership.set_regions(regions.to_vec());
    membership.update_list(Time(0), &cell());
    membership
}

fn header(sequence: u64, echo: u64) -> HeartbeatHeader {
    HeartbeatHeader {
        incarnation: Incarnation(1),
        sequence,
        echo,
    }
}

/// Sends the heartbeats that are due at `now` and returns the sequence number of the one to
/// entry-a1, or 0 if none is due.
fn send(membership: &mut Membership, now: Time) -> u64 {
    let due = membership.due(now);
    let due = due.iter().find(|due| &*due.peer == "entry-a1");
    due.map_or(0, |due| due.sequence)
}

/// Guards against duplicates, reordered heartbeats and heartbeats of an earlier process that keep a
/// peer alive or restore outdated contents.
#[test]
fn only_newer_heartbeats_are_recorded() {
    let mut membership = membership("entry-a0", "a");
    let old = HeartbeatHeader {
        incarnation: Incarnation(7),
        ..header(9, 0)
    };
    assert!(membership.received(Time(0), "entry-a1", old));
    assert!(membership.received(Time(1), "entry-a1", header(2, 0)));
    for stale in [
        header(2, 0),
        header(1, 0),
        HeartbeatHeader {
            sequence: 10,
            ..old
        },
    ] {
        assert!(
            !membership.received(Time(2), "entry-a1", stale),
            "{stale:?}"
        );
    }
    assert_eq!(membership.incarnation("entry-a1"), Some(Incarnation(1)));
    assert!(!membership.is_alive(Time(2), Incarnation(7)));
}

/// Guards against calls that are forwarded to a dead peer, and against a live peer that is
/// suspected too early.
#[rstest]
#[case(1_199, Health::Alive)]
#[case(1_200, Health::Suspected)]
#[case(2_399, Health::Suspected)]
#[case(2_400, Health::Dropped)]
fn silent_peer_is_suspected_then_dropped(#[case] after: u64, #[case] health: Health) {
    let mut membership = membership("entry-a0", "a");
    let sequence = send(&mut membership, Time(0));
    membership.received(Time(0), "entry-a1", header(1, sequence));
    assert_eq!(membership.health(Time(after), "entry-a1"), health);
    assert_eq!(
        membership.reachable(Time(after)).is_empty(),
        health == Health::Dropped
    );
}

/// Guards against one-way loss: a peer whose heartbeats arrive but that does not receive any would
/// count as reachable forever.
#[test]
fn one_way_loss_drops_the_peer() {
    let mut membership = membership("entry-a0", "a");
    for i in 0..20 {
        let now = Time(i * HEARTBEAT_MS);
        let sequence = send(&mut membership, now);
        // Heartbeats to the peer are lost after the fifth.
        membership.received(now, "entry-a1", header(i + 1, sequence.min(5)));
        let expected = match i {
            0..=8 => Health::Alive,
            9..=11 => Health::Suspected,
            _ => Health::Dropped,
        };
        assert_eq!(
            membership.health(now, "entry-a1"),
            expected,
            "heartbeat {i}"
        );
    }
}

/// Guards against a heartbeat that was delayed in the network but counts as a fresh confirmation of
/// the log's end.
#[test]
fn age_includes_network_delay() {
    let mut membership = membership("entry-a0", "a");
    assert_eq!(membership.age(Time(0), "entry-a1"), None);
    let sequence = send(&mut membership, Time(1_000));
    membership.received(Time(1_001), "entry-a1", header(1, 0));
    assert_eq!(membership.age(Time(1_001), "entry-a1"), None);
    membership.received(Time(9_000), "entry-a1", header(2, sequence));
    assert_eq!(membership.age(Time(9_500), "entry-a1"), Some(8_500));
}

/// Guards against a wrong list that removes a peer whose heartbeats arrive, which would raise the
/// total append rate, and against dead peers that are kept forever.
#[test]
fn list_alone_does_not_remove_a_peer() {
    let mut membership = membership("entry-a0", "a");
    membership.received(Time(0), "entry-a1", header(1, 0));
    membership.update_list(Time(500), &[]);
    assert_eq!(membership.instances(), 2);
    assert!(
        membership
            .ranks("a")
            .iter()
            .all(|name| &**name == "entry-a0")
    );
    membership.update_list(Time(60_000), &[]);
    assert_eq!(membership.instances(), 1);
}

/// Guards against instances that disagree on the ranks, and against coordinators far from their
/// zone.
#[test]
fn ranks_agree_and_prefer_near_instances() {
    let ranks = membership("entry-a0", "a").ranks("a");
    assert_eq!(ranks, membership("entry-c2", "c").ranks("a"));
    let zone = |name: &Name| name.as_bytes()["entry-".len()];
    let zones: Vec<u8> = ranks.iter().map(zone).collect();
    assert_eq!(zones, b"aaabbbccc");
    // A leaving instance is not a candidate; the order of the others does not change.
    let mut membership = membership("entry-c2", "c");
    let mut list = cell();
    list[0].leaving = true;
    membership.update_list(Time(0), &list);
    let rest: Vec<_> = ranks
        .into_iter()
        .filter(|name| *name != list[0].name)
        .collect();
    assert_eq!(membership.ranks("a"), rest);
}

/// Guards against copies that are all held in one zone or are sent to dead instances.
#[test]
fn first_two_holders_are_in_two_zones() {
    let mut membership = membership("entry-a0", "a");
    for name in ["entry-a1", "entry-a2", "entry-b1", "entry-c1"] {
        membership.received(Time(0), name, header(1, 0));
    }
    let holders = membership.holders(Time(0));
    assert_eq!(holders.len(), 4);
    assert_eq!(&*holders[0], "entry-b1");
    assert!(holders[1].starts_with("entry-a"));
    assert!(membership.holders(Time(5_000)).is_empty());
}
