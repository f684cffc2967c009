//! Tests of the encoding and decoding of frames between entry instances.

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

/// Guards against a decoder that panics or allocates unbounded memory when a faulty or malicious
/// peer sends arbitrary bytes.
#[test]
fn arbitrary_bytes_never_panic() {
    let bytes = prop::collection::vec(any::<u8>(), 0..600);
    runner()
        .run(&(any::<bool>(), bytes), |(with_version, mut frame)| {
            if with_version {
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

/// Guards against fields that the encoding loses or mixes up, and against truncated or extended
/// frames that are accepted.
#[test]
fn truncated_and_extended_frames_are_refused() {
    let frame = encode(&heartbeat()).unwrap();
    assert_eq!(decode::<Heartbeat>(&frame).unwrap(), heartbeat());
    for end in 0..frame.len() {
        assert!(decode::<Heartbeat>(&frame[..end]).is_err());
    }
    let extended = [&frame[..], &[0]].concat();
    assert_eq!(decode::<Heartbeat>(&extended), Err(FrameError::Trailing(1)));
}

/// Guards against decoding a frame of another release with the wrong layout, and against frames
/// that exhaust memory.
#[rstest]
#[case::empty(vec![], FrameError::Empty)]
#[case::version(vec![VERSION + 1, 0], FrameError::Version(VERSION + 1))]
#[case::length(vec![VERSION; MAX_FRAME + 1], FrameError::TooLong(MAX_FRAME + 1))]
#[case::kind(vec![VERSION, 200], FrameError::Malformed)]
fn invalid_frames_return_the_matching_error(#[case] frame: Vec<u8>, #[case] expected: FrameError) {
    assert_eq!(decode::<Request>(&frame).unwrap_err(), expected);
}

/// Guards against configuration records that cannot be decoded, because `postcard` does not support
/// the internally tagged enum of their resources.
#[test]
fn configuration_records_can_be_decoded() {
    let change = Change {
        kind: "zone".into(),
        name: "a".into(),
        expected: 0,
        spec: Some(Resource::Zone {
            state: ZoneState::Out,
            region: "r".into(),
        }),
    };
    let entry = LogEntry {
        offset: 5,
        record: Record {
            id: RecordId {
                incarnation: Incarnation(1),
                sequence: 1,
            },
            body: Body::Config(change),
        },
    };
    let request = Request::Push(Document::new(&vec![entry.clone()]).unwrap());
    let Request::Push(document) = decode(&encode(&request).unwrap()).unwrap() else {
        panic!("decoded as another kind of request");
    };
    assert_eq!(document.read().unwrap()[0].record, entry.record);
}
