//! The freshness rule under partitions, log outages, pauses and restarts.

use std::collections::VecDeque;

use primrosebay_coordination::acceptance::{Member, MemberState, evaluate};
use primrosebay_coordination::freshness::{Freshness, FreshnessReport, MAX_AGE_MS, Status, Work};
use primrosebay_state::Name;
use primrosebay_state::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const STEP_MS: u64 = 400;

fn zones(count: usize) -> Vec<(Name, Name)> {
    let zone = |i| (Name::from(format!("z{i}")), Name::from("north"));
    (0..count).map(zone).collect()
}

fn declared(zones: &[(Name, Name)]) -> impl Iterator<Item = (&Name, &Name)> {
    zones.iter().map(|(zone, region)| (zone, region))
}

/// An instance in `z0` of three zones that read the log's end, at offset 5, at time 0.
fn started() -> Freshness {
    let mut fresh = Freshness::new(&"a".into(), &"z0".into(), &"north".into());
    fresh.applied(Time(0), 5, declared(&zones(3)));
    fresh.confirmed(Time(0), Time(0), 5);
    fresh
}

fn beat(zone: &str, next: u64, age: Option<u64>, current: bool) -> FreshnessReport {
    FreshnessReport {
        name: format!("peer-{zone}").into(),
        zone: zone.into(),
        region: "north".into(),
        next,
        age,
        current,
    }
}

/// Guards against an isolated instance that goes on taking keyed work, and against one that drops
/// work that needs no key.
#[test]
fn isolated_instance_stops_keyed_work_only() {
    let mut fresh = started();
    assert_eq!(fresh.status(Time(MAX_AGE_MS)), Status::Fresh);
    let after = Time(MAX_AGE_MS + 1);
    assert_eq!(fresh.status(after), Status::Stale);
    for (work, may) in [
        (Work::Keyed, false),
        (Work::Start, false),
        (Work::Open, true),
        (Work::Running, true),
        (Work::Cancel, true),
    ] {
        assert_eq!(fresh.allows(after, work), may, "{work:?}");
    }
}

/// Guards against a log outage that stops all instances, and against one that goes on beside a
/// newer configuration or a peer that is not current.
#[rstest]
#[case::outage_for_all(5, true, Status::Outage)]
#[case::peer_has_newer(6, true, Status::Stale)]
#[case::peer_not_current(5, false, Status::Stale)]
fn outage_needs_a_quorum_without_newer(
    #[case] next: u64,
    #[case] current: bool,
    #[case] expected: Status,
) {
    let mut fresh = started();
    for ms in (0..20_000).step_by(400) {
        fresh.record_report(Time(ms), Time(ms), beat("z1", next, None, current));
    }
    assert_eq!(fresh.status(Time(20_000)), expected);
}

/// Guards against an instance that counts as current again after a pause, through heartbeats that
/// were answered before the pause or that hide it.
#[rstest]
#[case::answered_before(&[7600, 12_001])]
#[case::answered_after(&[12_001])]
fn pause_ends_being_current(#[case] sent: &[u64]) {
    let mut fresh = started();
    for ms in (0..8000).step_by(400) {
        fresh.record_report(Time(ms), Time(ms), beat("z1", 5, None, true));
    }
    for sent in sent {
        fresh.record_report(Time(12_001), Time(*sent), beat("z1", 5, None, true));
    }
    assert_eq!(fresh.status(Time(12_001)), Status::Stale);
    fresh.record_report(Time(12_002), Time(12_002), beat("z2", 5, None, true));
    assert_eq!(fresh.status(Time(12_002)), Status::Outage);
}

/// Guards against an age that shrinks at a hop, and against the confirmation of a configuration
/// that this instance has not applied.
#[rstest]
#[case::relayed(5, 3900, Status::Fresh)]
#[case::age_adds_up(5, 4000, Status::Stale)]
#[case::not_applied(6, 0, Status::Stale)]
fn confirmation_of_a_peer_ages(#[case] next: u64, #[case] age: u64, #[case] expected: Status) {
    let mut fresh = Freshness::new(&"a".into(), &"z0".into(), &"north".into());
    fresh.applied(Time(10_000), 5, declared(&zones(3)));
    fresh.record_report(
        Time(10_050),
        Time(10_000),
        beat("z1", next, Some(age), true),
    );
    assert_eq!(fresh.status(Time(10_050)), expected);
}

/// Guards against a change that counts as accepted while an instance that may be current lacks it,
/// or while one region lacks it.
#[test]
fn acceptance_names_the_missing_zones() {
    let mut zones = zones(3);
    zones.push(("s0".into(), "south".into()));
    let member = |zone: &str, next, state| Member {
        name: format!("{zone}-{next}").into(),
        zone: zone.into(),
        next,
        state,
    };
    let mut members = vec![
        member("z0", 8, MemberState::Current),
        member("z1", 8, MemberState::Current),
        member("z1", 7, MemberState::Unreachable),
        member("z2", 8, MemberState::Current),
        member("z2", 3, MemberState::Behind),
    ];
    let verdict = evaluate(7, declared(&zones), &members);
    assert!(!verdict.accepted);
    assert_eq!(verdict.missing, ["s0".into(), "z1".into()] as [Name; 2]);
    members.push(member("s0", 8, MemberState::Current));
    assert!(evaluate(7, declared(&zones), &members).accepted);
    assert!(!evaluate(8, declared(&zones), &members).accepted);
}

struct Instance {
    fresh: Freshness,
    name: Name,
    zone: usize,
    next: u64,
    log: bool,
    paused_until: u64,
}

struct Answer {
    due: u64,
    to: usize,
    sent: u64,
    beat: FreshnessReport,
    pushed: bool,
}

/// Instances in three or four zones, with a log that some of them reach.
struct World {
    rng: SmallRng,
    zones: Vec<(Name, Name)>,
    instances: Vec<Instance>,
    cut: Vec<Vec<bool>>,
    answers: VecDeque<Answer>,
    end: u64,
    /// The time at which each change was first judged accepted.
    accepted: Vec<Option<u64>>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let zones = zones(rng.random_range(3..=4));
        let count = zones.len() + rng.random_range(0..3);
        let instances = (0..count).map(|i| {
            let name = Name::from(format!("i{i}"));
            let zone = i % zones.len();
            Instance {
                fresh: Freshness::new(&name, &zones[zone].0, &"north".into()),
                name,
                zone,
                next: 0,
                log: true,
                paused_until: 0,
            }
        });
        Self {
            instances: instances.collect(),
            cut: vec![vec![false; count]; count],
            answers: VecDeque::new(),
            end: 0,
            accepted: Vec::new(),
            rng,
            zones,
        }
    }

    fn disturb(&mut self, now: u64) {
        let count = self.instances.len();
        let at = self.rng.random_range(0..count);
        match self.rng.random_range(0..40) {
            0 => self.instances.iter_mut().for_each(|one| one.log = false),
            1 => self.instances.iter_mut().for_each(|one| one.log = true),
            2 | 3 => self.instances[at].log = !self.instances[at].log,
            4 => self.instances[at].paused_until = now + self.rng.random_range(1..30) * STEP_MS,
            5 => {
                let one = &mut self.instances[at];
                one.fresh = Freshness::new(&one.name, &self.zones[one.zone].0, &"north".into());
                one.next = 0;
            }
            6..=9 => {
                for other in 0..count {
                    let cut = self.rng.random_bool(0.6);
                    self.cut[at][other] = cut;
                    self.cut[other][at] = cut;
                }
            }
            10 => self.cut = vec![vec![false; count]; count],
            11..=14 if self.instances.iter().any(|one| one.log) => {
                self.end += 1;
                self.accepted.push(None);
            }
            _ => {}
        }
    }

    fn step(&mut self, now: u64) {
        self.disturb(now);
        for at in 0..self.instances.len() {
            let one = &mut self.instances[at];
            if one.paused_until > now {
                continue;
            }
            if one.log && self.rng.random_bool(0.8) {
                one.next = self.end;
                one.fresh
                    .applied(Time(now), one.next, declared(&self.zones));
                one.fresh.confirmed(Time(now), Time(now), self.end);
            }
            self.exchange(now, at);
        }
        self.deliver(now);
        self.judge(now);
    }

    /// Every other instance answers the heartbeat of `at` now; the answer may take a while.
    fn exchange(&mut self, now: u64, at: usize) {
        for from in 0..self.instances.len() {
            let awake = self.instances[from].paused_until <= now;
            if from == at || !awake || self.cut[at][from] {
                continue;
            }
            let late = u64::from(self.rng.random_bool(0.2)) * self.rng.random_range(0..15);
            self.answers.push_back(Answer {
                due: now + late * STEP_MS,
                to: at,
                sent: now,
                beat: self.instances[from].fresh.report(Time(now)),
                pushed: self.rng.random_bool(0.5),
            });
        }
    }

    fn deliver(&mut self, now: u64) {
        for answer in std::mem::take(&mut self.answers) {
            let one = &mut self.instances[answer.to];
            if answer.due > now || one.paused_until > now {
                self.answers.push_back(answer);
                continue;
            }
            let next = answer.beat.next;
            one.fresh
                .record_report(Time(now), Time(answer.sent), answer.beat);
            if answer.pushed && next > one.next {
                one.next = next;
                one.fresh.applied(Time(now), next, declared(&self.zones));
            }
        }
    }

    fn judge(&mut self, now: u64) {
        for at in 0..self.instances.len() {
            if self.instances[at].paused_until > now {
                continue;
            }
            let mut members = self.instances[at].fresh.members(Time(now));
            for other in &self.instances {
                if members.iter().all(|member| member.name != other.name) {
                    members.push(Member {
                        name: other.name.clone(),
                        zone: self.zones[other.zone].0.clone(),
                        next: 0,
                        state: MemberState::Unreachable,
                    });
                }
            }
            for (offset, accepted) in (0..).zip(&mut self.accepted) {
                let verdict = evaluate(offset, declared(&self.zones), &members);
                if verdict.accepted && accepted.is_none() {
                    *accepted = Some(now);
                }
            }
        }
    }

    /// Returns how many instances rely on their configuration during an outage, after checking that
    /// none of those that rely on it lacks a change that was accepted more than 4 s ago.
    fn check(&mut self, now: u64) -> usize {
        let mut outage = 0;
        for one in &mut self.instances {
            let status = one.fresh.status(Time(now));
            if one.paused_until > now || status == Status::Stale {
                continue;
            }
            outage += usize::from(status == Status::Outage);
            for (offset, accepted) in (0..).zip(&self.accepted) {
                let due = accepted.is_some_and(|at| now > at + MAX_AGE_MS);
                assert!(
                    one.next > offset || !due,
                    "{} is {status:?} at {now} without the change at {offset}",
                    one.name
                );
            }
        }
        outage
    }
}

/// Guards against an accepted change, such as a withdrawn key, that is not in force at an instance
/// which goes on.
#[test]
fn accepted_change_is_in_force_wherever_work_goes_on() {
    let (mut outage, mut accepted) = (0, 0);
    for seed in 0..120 {
        let mut world = World::new(seed);
        for step in 1..400 {
            world.step(step * STEP_MS);
            outage += world.check(step * STEP_MS);
        }
        accepted += world.accepted.iter().flatten().count();
    }
    // Without these the rule would hold because nothing happens.
    assert!(outage > 1000 && accepted > 1000, "{outage} {accepted}");
}
