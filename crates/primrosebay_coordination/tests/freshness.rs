//! Freshness and acceptance under partitions, log outages, pauses and restarts.

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

/// Returns an instance in `z0` of three zones that read the log to its end, offset 5, at time 0.
fn started() -> Freshness {
    let mut fresh = Freshness::new(&"a".into(), &"z0".into(), &"north".into());
    fresh.applied(Time(0), 5, declared(&zones(3)));
    fresh.confirmed(Time(0), Time(0), 5);
    fresh
}

fn report(zone: &str, next: u64, age: Option<u64>, current: bool) -> FreshnessReport {
    FreshnessReport {
        name: format!("peer-{zone}").into(),
        zone: zone.into(),
        region: "north".into(),
        next,
        age,
        current,
    }
}

/// Guards against an isolated instance that continues to accept keyed work, and against one that
/// stops work for which no key is needed.
#[test]
fn isolated_instance_stops_keyed_work_only() {
    let mut fresh = started();
    assert_eq!(fresh.status(Time(MAX_AGE_MS)), Status::Fresh);
    let after = Time(MAX_AGE_MS + 1);
    assert_eq!(fresh.status(after), Status::Stale);
    for (work, allowed) in [
        (Work::Keyed, false),
        (Work::Start, false),
        (Work::Open, true),
        (Work::Running, true),
        (Work::Cancel, true),
    ] {
        assert_eq!(fresh.allows(after, work), allowed, "{work:?}");
    }
}

/// Guards against a log outage that stops all instances, and against an instance that continues in
/// an outage although a peer has a newer configuration or is not current.
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
        fresh.record_report(Time(ms), Time(ms), report("z1", next, None, current));
    }
    assert_eq!(fresh.status(Time(20_000)), expected);
}

/// Guards against an instance that still counts as current after a pause, because of a delayed
/// answer to a heartbeat from before the pause, or because the first answer after the pause hides
/// the gap.
#[rstest]
#[case::answered_before(&[7600, 12_001])]
#[case::answered_after(&[12_001])]
fn paused_instance_is_not_current(#[case] sent: &[u64]) {
    let mut fresh = started();
    for ms in (0..8000).step_by(400) {
        fresh.record_report(Time(ms), Time(ms), report("z1", 5, None, true));
    }
    for sent in sent {
        fresh.record_report(Time(12_001), Time(*sent), report("z1", 5, None, true));
    }
    assert_eq!(fresh.status(Time(12_001)), Status::Stale);
    fresh.record_report(Time(12_002), Time(12_002), report("z2", 5, None, true));
    assert_eq!(fresh.status(Time(12_002)), Status::Outage);
}

/// Guards against a relayed confirmation whose age does not include the time since the heartbeat
/// was sent, and against the confirmation of a configuration that this instance has not applied.
#[rstest]
#[case::relayed(5, 3900, Status::Fresh)]
#[case::too_old(5, 4000, Status::Stale)]
#[case::not_applied(6, 0, Status::Stale)]
fn relayed_confirmation_keeps_its_age(
    #[case] next: u64,
    #[case] age: u64,
    #[case] expected: Status,
) {
    let mut fresh = Freshness::new(&"a".into(), &"z0".into(), &"north".into());
    fresh.applied(Time(10_000), 5, declared(&zones(3)));
    fresh.record_report(
        Time(10_050),
        Time(10_000),
        report("z1", next, Some(age), true),
    );
    assert_eq!(fresh.status(Time(10_050)), expected);
}

/// Guards against a change that counts as accepted although an instance that may be current has not
/// applied it, or one region lacks a quorum.
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
    let acceptance = evaluate(7, declared(&zones), &members);
    assert!(!acceptance.accepted);
    assert_eq!(acceptance.missing, ["s0".into(), "z1".into()] as [Name; 2]);
    members.push(member("s0", 8, MemberState::Current));
    assert!(evaluate(7, declared(&zones), &members).accepted);
    assert!(!evaluate(8, declared(&zones), &members).accepted);
}

struct Instance {
    fresh: Freshness,
    name: Name,
    zone: usize,
    next: u64,
    log_reachable: bool,
    paused_until: u64,
}

/// An answer to a heartbeat.
struct Answer {
    arrives: u64,
    to: usize,
    sent: u64,
    report: FreshnessReport,
    /// Whether the peer also sends the configuration records that the recipient lacks.
    pushed: bool,
}

/// Simulated instances in three or four zones. Each instance may be cut off from the log.
struct World {
    rng: SmallRng,
    zones: Vec<(Name, Name)>,
    instances: Vec<Instance>,
    /// Whether two instances are partitioned from each other.
    partitioned: Vec<Vec<bool>>,
    answers: VecDeque<Answer>,
    /// Offset after the last record of the log.
    end: u64,
    /// When any instance first evaluated each change as accepted.
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
                log_reachable: true,
                paused_until: 0,
            }
        });
        Self {
            instances: instances.collect(),
            partitioned: vec![vec![false; count]; count],
            answers: VecDeque::new(),
            end: 0,
            accepted: Vec::new(),
            rng,
            zones,
        }
    }

    /// Injects at most one random fault, repair or configuration change.
    fn inject_event(&mut self, now: u64) {
        let count = self.instances.len();
        let at = self.rng.random_range(0..count);
        match self.rng.random_range(0..40) {
            0 => self
                .instances
                .iter_mut()
                .for_each(|instance| instance.log_reachable = false),
            1 => self
                .instances
                .iter_mut()
                .for_each(|instance| instance.log_reachable = true),
            2 | 3 => self.instances[at].log_reachable = !self.instances[at].log_reachable,
            4 => self.instances[at].paused_until = now + self.rng.random_range(1..30) * STEP_MS,
            5 => {
                let instance = &mut self.instances[at];
                instance.fresh = Freshness::new(
                    &instance.name,
                    &self.zones[instance.zone].0,
                    &"north".into(),
                );
                instance.next = 0;
            }
            6..=9 => {
                for other in 0..count {
                    let partitioned = self.rng.random_bool(0.6);
                    self.partitioned[at][other] = partitioned;
                    self.partitioned[other][at] = partitioned;
                }
            }
            10 => self.partitioned = vec![vec![false; count]; count],
            11..=14 if self.instances.iter().any(|instance| instance.log_reachable) => {
                self.end += 1;
                self.accepted.push(None);
            }
            _ => {}
        }
    }

    fn step(&mut self, now: u64) {
        self.inject_event(now);
        for at in 0..self.instances.len() {
            let instance = &mut self.instances[at];
            if instance.paused_until > now {
                continue;
            }
            if instance.log_reachable && self.rng.random_bool(0.8) {
                instance.next = self.end;
                instance
                    .fresh
                    .applied(Time(now), instance.next, declared(&self.zones));
                instance.fresh.confirmed(Time(now), Time(now), self.end);
            }
            self.send_heartbeats(now, at);
        }
        self.deliver(now);
        self.evaluate(now);
    }

    /// Sends heartbeats from the instance `at`. Every reachable instance answers at once; the
    /// answer may be delayed.
    fn send_heartbeats(&mut self, now: u64, at: usize) {
        for from in 0..self.instances.len() {
            let running = self.instances[from].paused_until <= now;
            if from == at || !running || self.partitioned[at][from] {
                continue;
            }
            let delay = u64::from(self.rng.random_bool(0.2)) * self.rng.random_range(0..15);
            self.answers.push_back(Answer {
                arrives: now + delay * STEP_MS,
                to: at,
                sent: now,
                report: self.instances[from].fresh.report(Time(now)),
                pushed: self.rng.random_bool(0.5),
            });
        }
    }

    fn deliver(&mut self, now: u64) {
        for answer in std::mem::take(&mut self.answers) {
            let instance = &mut self.instances[answer.to];
            if answer.arrives > now || instance.paused_until > now {
                self.answers.push_back(answer);
                continue;
            }
            let next = answer.report.next;
            instance
                .fresh
                .record_report(Time(now), Time(answer.sent), answer.report);
            if answer.pushed && next > instance.next {
                instance.next = next;
                instance
                    .fresh
                    .applied(Time(now), next, declared(&self.zones));
            }
        }
    }

    /// Evaluates all changes at each instance and records those that are newly accepted.
    fn evaluate(&mut self, now: u64) {
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
                let acceptance = evaluate(offset, declared(&self.zones), &members);
                if acceptance.accepted && accepted.is_none() {
                    *accepted = Some(now);
                }
            }
        }
    }

    /// Checks that no instance that relies on its configuration lacks a change that was accepted
    /// more than 4 s ago. Returns how many instances rely on their configuration in an outage.
    fn check(&mut self, now: u64) -> usize {
        let mut outages = 0;
        for instance in &mut self.instances {
            let status = instance.fresh.status(Time(now));
            if instance.paused_until > now || status == Status::Stale {
                continue;
            }
            outages += usize::from(status == Status::Outage);
            for (offset, accepted) in (0..).zip(&self.accepted) {
                let overdue = accepted.is_some_and(|at| now > at + MAX_AGE_MS);
                assert!(
                    instance.next > offset || !overdue,
                    "{} is {status:?} at {now} without the change at offset {offset}",
                    instance.name
                );
            }
        }
        outages
    }
}

/// Guards against an instance that continues to work without an accepted change, such as a
/// withdrawn key. Random partitions, pauses, restarts and log outages delay the change at some
/// instances.
#[test]
fn working_instances_have_applied_accepted_changes() {
    let (mut outages, mut accepted) = (0, 0);
    for seed in 0..120 {
        let mut world = World::new(seed);
        for step in 1..400 {
            world.step(step * STEP_MS);
            outages += world.check(step * STEP_MS);
        }
        accepted += world.accepted.iter().flatten().count();
    }
    // Without outages and accepted changes the check above would hold trivially.
    assert!(
        outages > 1000 && accepted > 1000,
        "{outages} outages, {accepted} accepted changes"
    );
}
