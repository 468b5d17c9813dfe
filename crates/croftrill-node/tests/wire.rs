//! Decoding of arbitrary bytes as messages between nodes.
//!
//! Nodes of a newer build crashed in a fleet of an older one. The older messages had other data
//! where the newer build decodes the length of a list, and the decoder reserved memory for that
//! many items.

use croftrill_node::crash_wire::{WireCrashReport, WirePartReport};
use croftrill_node::peer::{FromOrderer, ToOrderer, WireModel, WirePlacement};
use croftrill_node::stored_streams::{decode_segment, encode_segment};
use croftrill_node::wire::decode;
use croftrill_scheduler::crash_ledger::{
    CrashReport, EndedReplica, Fingerprint, PartHash, SuspectId, Suspicion,
};
use croftrill_scheduler::replica::{HeldModel, Holdings};
use croftrill_scheduler::replica_table::{Arrival, Placement};
use croftrill_scheduler::software_versions::SoftwareVersion;
use croftrill_scheduler::stored_streams::{AttemptHash, StoredStream};
use croftrill_scheduler::time::Moment;
use nanoserde::SerBin;
use proptest::prelude::*;
use std::time::Duration;

/// Lengths that crash a decoder which trusts them, as they exceed the memory or the address
/// space.
const LENGTHS: [u64; 5] = [u64::MAX, u64::MAX / 2, 1 << 62, 1 << 40, 1 << 20];

fn message() -> Vec<u8> {
    let held = HeldModel {
        model: "m1".into(),
        adapters: vec!["a1".into()],
    };
    let placement = Placement {
        replica: "r1".into(),
        started_ms: Some(7),
        usable: Holdings {
            models: vec![held],
            ..Holdings::default()
        },
        arriving: vec![Arrival {
            model: "m2".into(),
            ready_at: Moment::default() + Duration::from_secs(1),
        }],
        includes_copies: true,
    };
    let wire = WirePlacement::from_placement(&placement, Moment::default());
    FromOrderer::Placements(vec![wire].into()).serialize_bin()
}

fn decode_as_all(bytes: &[u8]) {
    // The result does not matter, only that decoding neither panics nor aborts.
    let _ = decode::<FromOrderer>(bytes);
    let _ = decode::<ToOrderer>(bytes);
    let _ = decode::<WireCrashReport>(bytes);
    let _ = decode::<WirePartReport>(bytes);
    let _ = decode_segment(bytes);
}

#[test]
fn decode_of_an_oversized_length_ends() {
    let bytes = message();
    for length in LENGTHS {
        for start in 0..bytes.len().saturating_sub(8) {
            let mut damaged = bytes.clone();
            damaged[start..start + 8].copy_from_slice(&length.to_le_bytes());
            decode_as_all(&damaged);
        }
    }
}

proptest! {
    #[test]
    fn decode_of_arbitrary_bytes_ends(kind in 0u8..16, bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let with_kind: Vec<u8> = [u32::from(kind).to_le_bytes().as_slice(), &bytes].concat();
        decode_as_all(&with_kind);
        decode_as_all(&bytes);
    }
}

/// Bytes as build cfa4aee wrote them. Other builds must read them as long as nodes of that build
/// may run in the same fleet.
#[test]
fn serialize_of_messages_matches_the_recorded_bytes() {
    let waiting = ToOrderer::Waiting(WireModel::from_key(&croftrill_scheduler::demand::ModelKey {
        service: "llm".into(),
        model: "m1".into(),
        adapter: Some("a1".into()),
    }));
    for (recorded, encoded) in [
        (include_str!("recorded/waiting.hex"), waiting.serialize_bin()),
        (include_str!("recorded/placements.hex"), message()),
        (
            include_str!("recorded/forgotten.hex"),
            FromOrderer::Forgotten(vec!["r1".to_string()].into()).serialize_bin(),
        ),
    ] {
        let encoded: String = encoded.iter().map(|byte| format!("{byte:02x}")).collect();
        assert_eq!(recorded.trim(), encoded);
    }
}

/// Guards against parts that an older build takes for requests, as it finds them in the same report.
#[test]
fn crash_report_keeps_requests_and_parts_apart() {
    let suspicion = |position| Suspicion {
        ended: [EndedReplica(4), EndedReplica(5)].into(),
        cleared: [EndedReplica(5)].into(),
        position,
    };
    let request = (SuspectId::Request(Fingerprint(7)), suspicion(0));
    let part = (SuspectId::Part(PartHash(7)), suspicion(2));
    let report = CrashReport::from([request.clone(), part.clone()]);
    let of_requests = WireCrashReport::from_report(&report);
    assert_eq!(of_requests.into_report(), CrashReport::from([request]));
    let of_parts = WirePartReport::from_report(&report, |replica| Duration::from_secs(replica.0));
    let ages: Vec<_> = of_parts.end_ages().collect();
    let age = |number| (EndedReplica(number), Duration::from_secs(number));
    assert_eq!(ages, [age(4), age(5)]);
    assert_eq!(of_parts.into_report(), CrashReport::from([part]));
}

/// Guards against versions of streams that a start of all nodes reads otherwise than they were written.
#[test]
fn decode_segment_returns_what_was_encoded() {
    let versions: Vec<SoftwareVersion> = (0..300).map(|number| format!("v{number}").into()).collect();
    let streams: Vec<StoredStream> = (0..900)
        .map(|number| {
            (
                AttemptHash(number),
                versions[number as usize % versions.len()].clone(),
            )
        })
        .collect();
    let decoded = decode_segment(&encode_segment(&streams)).expect("a segment");
    let of_first_versions = streams.iter().filter(|(attempt, _)| attempt.0 % 300 < 256);
    let expected: Vec<StoredStream> = of_first_versions.cloned().collect();
    assert_eq!(decoded, expected);
    let bytes_per_stream = encode_segment(&streams[..256]).len() / 256;
    assert!(bytes_per_stream < 24, "{bytes_per_stream}");
}
