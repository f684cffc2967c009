//! Load balancing, ejection, slow start and draining of minions.

use primrosebay_coordination::routing::minion::{Endpoint, Feedback, Listed, SLOTS};
use primrosebay_coordination::routing::table::{Choice, MinionTable, TableRules};
use primrosebay_state::Name;
use primrosebay_state::time::Time;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

const FAILED: Feedback = Feedback {
    failed: Some(true),
    busy: None,
    refused: false,
    leaving: false,
};

fn listed(name: &str, zone: &str) -> Listed {
    Listed {
        endpoint: Endpoint {
            name: name.into(),
            zone: zone.into(),
            address: "127.0.0.1:1".into(),
        },
        leaving: false,
    }
}

fn minions(zone: &str, count: usize) -> Vec<Listed> {
    (0..count)
        .map(|i| listed(&format!("{zone}-{i:03}"), zone))
        .collect()
}

fn table(list: &[Listed]) -> (MinionTable, SmallRng) {
    let mut table = MinionTable::new("a".into(), TableRules::default());
    table.update(list, Time(0));
    (table, SmallRng::seed_from_u64(7))
}

fn picks(table: &mut MinionTable, rng: &mut SmallRng, now: Time) -> Vec<Name> {
    std::iter::from_fn(|| table.pick(None, now, rng).map(|endpoint| endpoint.name)).collect()
}

/// Guards against minions that get more requests than they have slots.
#[test]
fn no_minion_gets_more_requests_than_it_has_slots() {
    let (mut table, mut rng) = table(&minions("a", 6));
    assert_eq!(
        picks(&mut table, &mut rng, Time(0)).len(),
        6 * SLOTS as usize
    );
    assert!(table.minions().iter().all(|m| m.running == SLOTS));
}

/// Guards against calls to other zones while the own zone has free slots, and against refusals
/// while only the own zone is saturated.
#[test]
fn the_own_zone_is_used_first_and_then_the_others() {
    let list = [minions("a", 2), minions("b", 2)].concat();
    let (mut table, mut rng) = table(&list);
    let picked = picks(&mut table, &mut rng, Time(0));
    let own_slots = 2 * SLOTS as usize;
    assert!(picked[..own_slots].iter().all(|name| name.starts_with('a')));
    assert_eq!(picked.len(), 2 * own_slots);
}

/// Guards against load that concentrates on a few minions, as it does with a random choice.
#[test]
fn least_of_two_balances_better_than_random() {
    let max_load = |choice| {
        let rules = TableRules {
            choice,
            ..TableRules::default()
        };
        let mut table = MinionTable::new("a".into(), rules);
        table.update(&minions("a", 48), Time(0));
        let mut rng = SmallRng::seed_from_u64(3);
        for _ in 0..48 * 3 {
            table.pick(None, Time(0), &mut rng);
        }
        table.minions().iter().map(|m| m.running).max()
    };
    assert!(max_load(Choice::LeastOfTwo) < max_load(Choice::Random));
}

/// Guards against requests to a minion whose slots other entry instances occupy, and against a
/// report of such load that never expires.
#[rstest]
#[case::reported(Feedback { busy: Some(6), ..Feedback::default() }, 3)]
#[case::refused(Feedback { refused: true, ..Feedback::default() }, 0)]
fn reported_load_of_others_expires(#[case] feedback: Feedback, #[case] free: usize) {
    let (mut table, mut rng) = table(&minions("a", 1));
    let endpoint = table.pick(None, Time(0), &mut rng).unwrap();
    table.finish(&endpoint.name, feedback, Time(10));
    assert_eq!(picks(&mut table, &mut rng, Time(11)).len(), free);
    assert!(table.pick(None, Time(10_000), &mut rng).is_some());
}

/// Guards against own requests that count as the load of other entry instances because responses
/// overtook each other.
#[test]
fn responses_that_overtake_each_other_occupy_no_slots() {
    let (mut table, mut rng) = table(&minions("a", 1));
    assert_eq!(picks(&mut table, &mut rng, Time(0)).len(), 8);
    for busy in [0, 3, 7, 1, 2, 6, 5, 4] {
        let answered = Feedback {
            busy: Some(busy),
            ..Feedback::default()
        };
        table.finish("a-000", answered, Time(1));
    }
    assert_eq!(picks(&mut table, &mut rng, Time(2)).len(), 8);
}

/// Guards against a minion that fails all requests and attracts most of them because it fails fast.
#[test]
fn a_failing_minion_is_ejected_and_returns_with_slow_start() {
    let (mut table, mut rng) = table(&minions("a", 10));
    for _ in 0..5 {
        table.finish("a-000", FAILED, Time(0));
    }
    assert!(!picks(&mut table, &mut rng, Time(1)).contains(&"a-000".into()));
    let returned = picks(&mut table, &mut rng, Time(5_000));
    assert_eq!(
        returned,
        [Name::from("a-000")],
        "a minion that returns gets one request at first"
    );
    assert_eq!(picks(&mut table, &mut rng, Time(15_000)).len(), 7);
}

/// Guards against a minion that fails every second request, so never several in a row.
#[test]
fn a_minion_that_fails_often_is_ejected() {
    let (mut table, _) = table(&minions("a", 10));
    for i in 0..20 {
        let result = Feedback {
            failed: Some(i % 2 == 0),
            ..Feedback::default()
        };
        table.finish("a-000", result, Time(0));
    }
    assert_eq!(table.ejected(Time(1)), 1);
}

/// Guards against requests to a minion that is about to stop, whether the instance list or the
/// minion itself announces it first.
#[rstest]
#[case::instance_list(true)]
#[case::own_response(false)]
fn a_leaving_minion_gets_no_new_requests(#[case] from_list: bool) {
    let mut list = minions("a", 2);
    let (mut table, mut rng) = table(&list);
    if from_list {
        list[0].leaving = true;
    } else {
        let leaving = Feedback {
            leaving: true,
            ..Feedback::default()
        };
        table.finish("a-000", leaving, Time(1));
    }
    // A list that lags behind the minion's own announcement must not undo it.
    table.update(&list, Time(2));
    assert!(!picks(&mut table, &mut rng, Time(3)).contains(&"a-000".into()));
    // After a restart, the minion is missing from a list or no longer marked as leaving.
    table.update(&list[1..], Time(4));
    list[0].leaving = false;
    table.update(&list, Time(5));
    assert!(picks(&mut table, &mut rng, Time(6)).contains(&"a-000".into()));
}

/// Guards against a wrong list that removes all minions at once.
#[test]
fn an_empty_list_takes_effect_after_a_grace_period() {
    let (mut table, mut rng) = table(&minions("a", 4));
    table.update(&[], Time(0));
    assert!(table.pick(None, Time(1), &mut rng).is_some());
    table.update(&[], Time(40_000));
    assert!(table.pick(None, Time(40_001), &mut rng).is_none());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against ejections that take the service down when all minions fail for a common
    /// cause, and against slots that leak or are assigned twice.
    #[test]
    fn at_most_thirty_percent_are_ejected(
        count in 1_usize..40,
        steps in prop::collection::vec((any::<bool>(), any::<bool>(), 0_u64..400), 1..400),
    ) {
        let (mut table, mut rng) = table(&minions("a", count));
        let (mut running, mut now) = (Vec::new(), Time(0));
        for (start, failed, ms) in steps {
            now = now + ms;
            if start {
                running.extend(table.pick(None, now, &mut rng));
            } else if let Some(endpoint) = running.pop() {
                table.finish(&endpoint.name, Feedback { failed: Some(failed), ..FAILED }, now);
            }
            let max_ejected = if count > 3 { count * 30 / 100 } else { usize::from(count > 1) };
            prop_assert!(table.ejected(now) <= max_ejected);
            let total: u32 = table.minions().iter().map(|m| m.running).sum();
            prop_assert_eq!(total as usize, running.len());
            prop_assert!(table.minions().iter().all(|m| m.running <= SLOTS));
        }
    }
}
