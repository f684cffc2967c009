//! Frames between entry instances.

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

use primrosebay_protocol::log::LogEntry;
use primrosebay_protocol::peer::{
    Document, FrameError, Heartbeat, MAX_FRAME, Request, Response, Summary, VERSION, ZoneTerm,
    decode, encode,
};
use primrosebay_state::config::{Change, Resource, ZoneState};
use primrosebay_state::id::{Incarnation, RecordId};
use primrosebay_state::record::{Body, Record};

fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(ProptestConfig::with_cases(2_000), rng)
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        incarnation: Incarnation(9),
        sequence: 300,
        echo: 299,
        config: 12,
        log_age: Some(40),
        current: true,
        summary: Some(Summary {
            zones: vec![ZoneTerm {
                zone: "a".into(),
                epoch: 4,
            }],
            ..Summary::default()
        }),
    }
}

/// Guards against a decoder that panics or allocates without bound on bytes of a broken or hostile
/// sender.
#[test]
fn arbitrary_bytes_never_panic() {
    let bytes = prop::collection::vec(any::<u8>(), 0..600);
    runner()
        .run(&(any::<bool>(), bytes), |(versioned, mut frame)| {
            if versioned {
                frame.insert(0, VERSION);
            }
            let _ = decode::<Heartbeat>(&frame);
            if let Ok(Request::Push(document)) = decode::<Request>(&frame) {
                let _ = document.read();
            }
            let _ = decode::<Response>(&frame);
            Ok(())
        })
        .unwrap();
}

/// Guards against fields that are lost or mixed up by the encoding, and against a damaged frame
/// that passes for a longer or shorter one.
#[test]
fn cut_and_extended_frames_are_refused() {
    let frame = encode(&heartbeat()).unwrap();
    assert_eq!(decode::<Heartbeat>(&frame).unwrap(), heartbeat());
    for end in 0..frame.len() {
        assert!(decode::<Heartbeat>(&frame[..end]).is_err());
    }
    let longer = [&frame[..], &[0]].concat();
    assert_eq!(decode::<Heartbeat>(&longer), Err(FrameError::Trailing(1)));
}

/// Guards against a frame of another release that is read with the wrong layout, and against
/// frames that exhaust memory.
#[rstest]
#[case::empty(vec![], FrameError::Empty)]
#[case::version(vec![VERSION + 1, 0], FrameError::Version(VERSION + 1))]
#[case::length(vec![VERSION; MAX_FRAME + 1], FrameError::TooLong(MAX_FRAME + 1))]
#[case::kind(vec![VERSION, 200], FrameError::Malformed)]
fn bad_frames_name_the_fault(#[case] frame: Vec<u8>, #[case] fault: FrameError) {
    assert_eq!(decode::<Request>(&frame).unwrap_err(), fault);
}

/// Guards against configuration records that cannot be decoded, because their resources are
/// internally tagged.
#[test]
fn configuration_records_survive() {
    let change = Change {
        kind: "zone".into(),
        name: "a".into(),
        expected: 0,
        spec: Some(Resource::Zone {
            state: ZoneState::Out,
            region: "r".into(),
        }),
    };
    let placed = LogEntry {
        offset: 5,
        record: Record {
            id: RecordId {
                incarnation: Incarnation(1),
                sequence: 1,
            },
            body: Body::Config(change),
        },
    };
    let sent = Request::Push(Document::new(&vec![placed.clone()]).unwrap());
    let Request::Push(document) = decode(&encode(&sent).unwrap()).unwrap() else {
        panic!("another request arrived");
    };
    assert_eq!(document.read().unwrap()[0].record, placed.record);
}
