//! Helpers that create records and changes for the tests of this crate.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use primrosebay_state::config::{Change, Config, KeyHash, Resource, ZoneState};
use primrosebay_state::id::{Incarnation, RecordId};
use primrosebay_state::record::{Body, Record};
use primrosebay_state::resources::Resources;
use proptest::test_runner::{Config as Runner, RngSeed};

/// Returns a `proptest` configuration with a fixed seed.
pub fn runner(cases: u32, seed: u64) -> Runner {
    Runner {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Runner::default()
    }
}

pub fn id(sequence: u64) -> RecordId {
    RecordId {
        incarnation: Incarnation(7),
        sequence,
    }
}

pub fn record(sequence: u64, body: Body) -> Record {
    Record {
        id: id(sequence),
        body,
    }
}

pub fn change(kind: &str, name: &str, expected: u64, spec: impl Into<Option<Resource>>) -> Change {
    Change {
        kind: kind.into(),
        name: name.into(),
        expected,
        spec: spec.into(),
    }
}

pub fn millicores(cores_milli: u64) -> Resources {
    Resources {
        cores_milli,
        ..Resources::ZERO
    }
}

pub fn team(share: u32, limit: u64) -> Resource {
    let limit = millicores(limit);
    Resource::Team { share, limit }
}

pub fn key(team: &str, secret: &str) -> Resource {
    Resource::Key {
        team: team.into(),
        hash: KeyHash::of(secret.as_bytes()).hex().into(),
    }
}

pub fn zone(state: ZoneState) -> Resource {
    let region = "north".into();
    Resource::Zone { state, region }
}

/// Applies `changes` at consecutive offsets from `config.next`.
pub fn apply(config: &mut Config, changes: impl IntoIterator<Item = Change>) {
    for change in changes {
        let offset = config.next;
        config.apply(offset, &change);
    }
}
