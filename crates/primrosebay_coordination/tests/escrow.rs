//! Decisions about transfers of allowance between zones.

use primrosebay_coordination::escrow::{Demand, demands, transfers};
use primrosebay_coordination::schedule::TeamUsage;
use primrosebay_state::allowance::Allowances;
use primrosebay_state::resources::Resources;
use proptest::prelude::*;

fn cores(cores_milli: u64) -> Resources {
    Resources {
        cores_milli,
        ..Resources::ZERO
    }
}

fn usage(allowance: u64, used: u64, wanted: u64) -> TeamUsage {
    TeamUsage {
        team: "shops".into(),
        allowance: cores(allowance),
        used: cores(used),
        wanted: cores(wanted),
    }
}

fn demand(zone: &str, amount: u64) -> Demand {
    Demand {
        team: "shops".into(),
        zone: zone.into(),
        amount: cores(amount),
    }
}

/// Guards against a zone that asks for allowance that its workers cannot use.
#[test]
fn demand_is_bounded_by_free_resources() {
    let asked = demands(&"a".into(), &[usage(100, 100, 900)], &cores(50));
    assert_eq!(asked, [demand("a", 50)]);
    assert!(demands(&"a".into(), &[usage(100, 20, 30)], &cores(500)).is_empty());
}

/// Guards against transfers out of what the giver needs or must keep.
#[test]
fn giver_keeps_its_use_and_its_floor() {
    let floor = |_: &str| cores(40);
    assert!(transfers(&[usage(100, 60, 40)], floor, &[demand("b", 10)]).is_empty());
    assert!(transfers(&[usage(40, 0, 0)], floor, &[demand("b", 10)]).is_empty());
    let given = transfers(&[usage(10_000, 10, 0)], floor, &[demand("b", 50_000)]);
    assert_eq!(given[0].amount, cores(4_980));
}

/// Guards against transfers that shrink to fractions of a core and leave the rest unused for long.
#[test]
fn small_amounts_are_given_whole() {
    let floor = |_: &str| cores(40);
    let given = transfers(&[usage(1_000, 10, 0)], floor, &[demand("b", 5_000)]);
    assert_eq!(given[0].amount, cores(960));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against transfers that together exceed the limit, and against a zone whose demand is
    /// never met although the others need nothing: with idle givers, everything above their floors
    /// reaches the zone that asks.
    #[test]
    fn idle_zones_give_all_above_their_floor(limit in 10_u64..1_000_000, zones in 2_usize..9) {
        let names: Vec<primrosebay_state::Name> = (0..zones).map(|z| format!("z{z}").into()).collect();
        let mut all = Allowances::default();
        for name in &names {
            all.add_zone(name);
        }
        all.set_limit(&"shops".into(), &cores(limit));
        for _ in 0..40 {
            let asked = [demand("z0", limit)];
            for name in &names[1..] {
                let mine = usage(all.get("shops", name).cores_milli, 0, 0);
                let floor = all.floor("shops", name);
                for gift in transfers(&[mine], |_| floor, &asked) {
                    prop_assert!(all.give(&gift.team, name, &gift.to, &gift.amount, 1));
                }
                prop_assert!(all.sum("shops").fits(&cores(limit)));
            }
        }
        let kept: u64 = names[1..].iter().map(|n| all.floor("shops", n).cores_milli).sum();
        prop_assert_eq!(all.get("shops", "z0").cores_milli, limit - kept);
    }
}
