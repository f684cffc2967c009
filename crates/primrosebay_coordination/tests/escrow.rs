//! Demands for allowance and transfers between zones.

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

/// Guards against demands for allowance that the free resources of the zone's workers cannot use.
#[test]
fn demand_is_bounded_by_free_resources() {
    let requested = demands(&"a".into(), &[usage(100, 100, 900)], &cores(50));
    assert_eq!(requested, [demand("a", 50)]);
    assert!(demands(&"a".into(), &[usage(100, 20, 30)], &cores(500)).is_empty());
}

/// Guards against transfers of allowance that the giving zone's own work needs, or that take the
/// zone below its floor.
#[test]
fn giver_keeps_its_usage_and_floor() {
    let floor = |_: &str| cores(40);
    assert!(transfers(&[usage(100, 60, 40)], floor, &[demand("b", 10)]).is_empty());
    assert!(transfers(&[usage(40, 0, 0)], floor, &[demand("b", 10)]).is_empty());
    let given = transfers(&[usage(10_000, 10, 0)], floor, &[demand("b", 50_000)]);
    assert_eq!(given[0].amount, cores(4_980));
}

/// Guards against transfers that shrink to fractions of a core, which leaves the rest of the
/// allowance unused for a long time.
#[test]
fn small_amounts_are_transferred_whole() {
    let floor = |_: &str| cores(40);
    let given = transfers(&[usage(1_000, 10, 0)], floor, &[demand("b", 5_000)]);
    assert_eq!(given[0].amount, cores(960));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against transfers that raise the allowances above the limit, and against a demand
    /// that stays unmet while the other zones are idle: everything above the floors of the idle
    /// zones has to reach the zone with the demand.
    #[test]
    fn idle_zones_give_all_above_their_floor(limit in 10_u64..1_000_000, zones in 2_usize..9) {
        let names: Vec<primrosebay_state::Name> = (0..zones).map(|z| format!("z{z}").into()).collect();
        let mut allowances = Allowances::default();
        for name in &names {
            allowances.add_zone(name);
        }
        allowances.set_limit(&"shops".into(), &cores(limit));
        for _ in 0..40 {
            let demands = [demand("z0", limit)];
            for name in &names[1..] {
                let idle = usage(allowances.get("shops", name).cores_milli, 0, 0);
                let floor = allowances.floor("shops", name);
                for transfer in transfers(&[idle], |_| floor, &demands) {
                    prop_assert!(
                        allowances.transfer(&transfer.team, name, &transfer.to, &transfer.amount, 1)
                    );
                }
                prop_assert!(allowances.sum("shops").fits(&cores(limit)));
            }
        }
        let kept: u64 = names[1..].iter().map(|n| allowances.floor("shops", n).cores_milli).sum();
        prop_assert_eq!(allowances.get("shops", "z0").cores_milli, limit - kept);
    }
}
