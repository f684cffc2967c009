//! Tests of the configuration built from records in log order.

mod common;

use common::{apply, change, key, millicores, record, runner, team, zone};
use primrosebay_state::config::{
    ApplyResult, Change, Config, ConfigSnapshotPart, HISTORY_CAPACITY, KeyHash, Loader, Resource,
    TooOld, ZoneState,
};
use primrosebay_state::record::{Body, Record};
use proptest::prelude::*;
use rstest::rstest;

/// Guards against telling two concurrent operators that the change of each took effect.
#[rstest]
#[case::both_create(0)]
#[case::both_replace(1)]
fn first_of_two_concurrent_changes_wins(#[case] expected: u64) {
    let mut config = Config::new();
    apply(
        &mut config,
        (0..expected).map(|_| change("team", "a", 0, team(1, 1))),
    );
    let offset = config.next;
    let (first, second) = (team(2, 2), team(3, 3));
    assert_eq!(
        config.apply(offset, &change("team", "a", expected, first.clone())),
        ApplyResult::Done
    );
    assert_eq!(
        config.apply(offset + 1, &change("team", "a", expected, second)),
        ApplyResult::Conflict
    );
    assert_eq!(config.get("team", "a").map(|item| &item.spec), Some(&first));
    assert_eq!(config.version("team", "a"), offset + 1);
}

/// Guards against a deleted key that becomes valid again because the record of its creation was
/// appended twice.
#[test]
fn repeated_record_does_not_restore_a_deleted_key() {
    let mut config = Config::new();
    apply(&mut config, [change("team", "a", 0, team(1, 1))]);
    let create = record(1, Body::Config(change("key", "k", 0, key("a", "secret"))));
    let delete = record(2, Body::Config(change("key", "k", 2, None)));
    assert_eq!(config.apply_record(1, &create), ApplyResult::Done);
    assert_eq!(config.authenticate(b"secret").as_deref(), Some("a"));
    assert_eq!(config.apply_record(2, &delete), ApplyResult::Done);
    assert_eq!(config.authenticate(b"secret"), None);
    assert_eq!(config.apply_record(3, &create), ApplyResult::Duplicate);
    assert_eq!(config.authenticate(b"secret"), None);
    assert_eq!(config.next, 4);
}

/// Guards against a key that stays valid after its team was deleted or its hash was replaced.
#[test]
fn key_becomes_invalid_with_its_team_or_hash() {
    let mut config = Config::new();
    let created = [
        change("team", "a", 0, team(1, 1)),
        change("key", "k", 0, key("a", "old")),
    ];
    apply(&mut config, created);
    apply(&mut config, [change("key", "k", 2, key("a", "new"))]);
    assert_eq!(config.authenticate(b"old"), None);
    assert_eq!(config.authenticate(b"new").as_deref(), Some("a"));
    apply(&mut config, [change("team", "a", 1, None)]);
    assert_eq!(config.authenticate(b"new"), None);
}

/// Guards against a lookup that compares only the 8 bytes by which the index is sorted.
#[test]
fn keys_with_the_same_hash_prefix_are_distinguished() {
    let mut config = Config::new();
    let hash = |tail: &str| format!("{}{tail}", "ab".repeat(31));
    apply(
        &mut config,
        ["a", "b"].map(|name| change("team", name, 0, team(1, 1))),
    );
    for (name, tail) in [("a", "01"), ("b", "02")] {
        let spec = Resource::Key {
            team: name.into(),
            hash: hash(tail).into(),
        };
        apply(&mut config, [change("key", name, 0, Some(spec))]);
    }
    assert_eq!(config.key_team(&hash("01")).as_deref(), Some("a"));
    assert_eq!(config.key_team(&hash("02")).as_deref(), Some("b"));
    assert_eq!(config.key_team(&hash("03")), None);
    let parsed = KeyHash::parse(&hash("01")).expect("64 digits");
    assert_eq!(parsed.hex(), hash("01"));
}

/// Guards against invalid resources in the log, and against reporting only the first problem.
#[test]
fn invalid_changes_are_refused_with_every_problem() {
    let mut config = Config::new();
    let valid = [
        change("team", "a", 0, team(1, 1)),
        change("key", "k", 0, key("a", "secret")),
        change("zone", "z", 0, zone(ZoneState::In)),
    ];
    for valid in &valid {
        assert_eq!(config.check(valid), []);
        apply(&mut config, [valid.clone()]);
    }
    let queue = |team: &str| {
        Some(Resource::Queue {
            open: true,
            team: team.into(),
        })
    };
    let hash = |hash: &str| {
        Some(Resource::Key {
            team: "none".into(),
            hash: hash.into(),
        })
    };
    let invalid = [
        change("team", "Bad Name", 0, team(0, u64::MAX)),
        change("tram", "a", 0, None),
        change("team", "a", 1, zone(ZoneState::In)),
        change("key", "l", 0, hash("ABCD")),
        change("key", "l", 0, key("a", "secret")),
        change("queue", "q", 0, queue("none")),
        change("zone", "z", 3, None),
    ];
    let problems: Vec<_> = invalid
        .iter()
        .map(|change| (change, config.check(change)))
        .collect();
    insta::assert_yaml_snapshot!("invalid_changes", problems);
}

/// Guards against unknown fields that are ignored silently.
#[test]
fn unknown_fields_are_refused() {
    let text = r#"{"kind":"zone","state":"out","region":"north","drain":true}"#;
    let error = serde_json::from_str::<Resource>(text).expect_err("unknown field");
    assert!(error.to_string().contains("drain"), "{error}");
}

/// Guards against watches that miss changes silently, and against unbounded memory.
#[test]
fn history_is_bounded_and_refuses_dropped_offsets() {
    let mut config = Config::with_history(3);
    let names = ["a", "b", "c", "d", "e"];
    apply(
        &mut config,
        names.map(|name| change("team", name, 0, team(1, 1))),
    );
    let too_old = TooOld { oldest: 2 };
    assert_eq!(config.since(1).map(Iterator::count), Err(too_old));
    let names: Vec<_> = config
        .since(3)
        .expect("kept")
        .map(|event| &*event.name)
        .collect();
    assert_eq!(names, ["d", "e"]);
    assert_eq!(config.since(99).map(Iterator::count), Ok(0));
}

/// Generates a log of changes to a few resources, with conflicts, repeated records and deletions.
fn log() -> impl Strategy<Value = Vec<Record>> {
    let entry = (0..3u32, 0..12u64, 1..40u64, 0..8u32).prop_map(|(name, expected, id, share)| {
        let spec = (share > 0).then(|| team(share, 9));
        record(
            id,
            Body::Config(change("team", &format!("t{name}"), expected, spec)),
        )
    });
    proptest::collection::vec(entry, 1..40)
}

fn build(records: &[Record]) -> Config {
    let mut config = Config::new();
    for (offset, record) in (0..).zip(records) {
        config.apply_record(offset, record);
    }
    config
}

fn restore(parts: &[ConfigSnapshotPart], oldest: u64, tail: &[(u64, Record)]) -> Option<Config> {
    let mut loader = Loader::new(oldest, HISTORY_CAPACITY);
    for (offset, record) in tail {
        loader.push(*offset, record.clone());
    }
    let end = tail.last().map_or(oldest, |(offset, _)| offset + 1);
    for (i, part) in (0..).zip(parts) {
        loader.push(
            end + i,
            record(1000 + i, Body::ConfigSnapshot(part.clone())),
        );
    }
    loader.build()
}

proptest! {
    #![proptest_config(runner(256, 11))]

    /// Guards against a configuration that reverts or differs between instances when records arrive
    /// late, early, twice, or after a restart from a snapshot.
    #[test]
    fn configuration_never_reverts(
        records in log(),
        delivery in proptest::collection::vec((0..40usize, any::<bool>()), 0..200),
    ) {
        let mut config = Config::new();
        for (at, restart) in delivery {
            let before = config.clone();
            if let Some(record) = records.get(at) {
                config.apply_record(at as u64, record);
            }
            prop_assert!(config.next >= before.next);
            prop_assert_eq!(config.snapshot_parts(), build(&records[..usize::try_from(config.next).expect("small")]).snapshot_parts());
            if restart && config.next > 0 {
                let restored = restore(&config.snapshot_parts(), config.next, &[]).expect("a snapshot");
                prop_assert_eq!(&restored.snapshot_parts()[0].items, &config.snapshot_parts()[0].items);
                prop_assert_eq!(restored.next, config.next + 1);
            }
        }
    }

    /// Guards against different configurations after the log has dropped its first records, so that
    /// one instance starts from a snapshot and another has read the whole log.
    #[test]
    fn snapshot_and_tail_equal_the_whole_log(records in log(), cut in 0..40usize, at in 0..40usize) {
        let cut = cut.min(records.len());
        let at = at.clamp(cut, records.len().max(cut));
        let tail: Vec<(u64, Record)> = (0..).zip(records.clone()).skip(cut).collect();
        let restored = restore(&build(&records[..at]).snapshot_parts(), cut as u64, &tail).expect("a snapshot");
        let whole = build(&records);
        prop_assert_eq!(restored.snapshot_parts()[0].items.clone(), whole.snapshot_parts()[0].items.clone());
        prop_assert_eq!(restored.allowances(), whole.allowances());
    }
}

/// Guards against a start from a snapshot of which the log has dropped a part, or after which the
/// log has dropped records.
#[test]
fn incomplete_snapshot_is_not_used() {
    let mut config = Config::new();
    let teams =
        |from: u64, to: u64| (from..to).map(|i| change("team", &format!("t{i}"), 0, team(1, 9)));
    apply(&mut config, teams(0, 600));
    let parts = config.snapshot_parts();
    assert!(parts.len() > 1);
    assert!(restore(&parts[1..], 600, &[]).is_none());
    assert!(restore(&parts, 601, &[]).is_none());
    let restored = restore(&parts, 600, &[]).expect("complete");
    assert_eq!(restored.list("team").count(), 600);
    assert_eq!(restored.allowances().limit("t3"), millicores(9));
    assert_eq!(
        restored.since(599).map(Iterator::count),
        Err(TooOld { oldest: 600 })
    );
}

/// Guards against skipping a record that has not arrived yet.
#[test]
fn later_offset_waits_for_the_earlier_one() {
    let mut config = Config::new();
    let creation: Change = change("team", "a", 0, team(1, 1));
    assert_eq!(config.apply(1, &creation), ApplyResult::Gap);
    assert_eq!((config.next, config.version("team", "a")), (0, 0));
    assert_eq!(config.apply(0, &creation), ApplyResult::Done);
    assert_eq!(config.apply(0, &creation), ApplyResult::Old);
}
