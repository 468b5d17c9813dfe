//! Bytes that nobody of this protocol wrote, or that were damaged on their way.
//!
//! The decoder behind the checksum trusts the lengths that it finds, so a frame
//! that gets past it with a damaged length asks for any amount of memory.

use bytes::{BufMut, BytesMut};
use croftrill_protocol::peer::{ClaimHandOver, PeerRequest};
use croftrill_state::{NodeId, Revision};
use croftrill_transport::peer::{ClientCodec, ServerCodec};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tarpc::{ClientMessage, Request};
use tokio_util::codec::{Decoder, Encoder};

/// Bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;

/// A call with a list in it, as a frame.
fn call_frame() -> Vec<u8> {
    let part = ClaimHandOver {
        from: NodeId::from("node"),
        from_revision: Revision(3),
        to_revision: Revision(4),
        to_instance: 0,
        records: Vec::new(),
        end: None,
    };
    let call = ClientMessage::Request(Request {
        context: tarpc::context::current(),
        id: 1,
        message: PeerRequest::HandOverClaims { part },
    });
    let mut frame = BytesMut::new();
    ClientCodec::default().encode(call, &mut frame).unwrap();
    frame.to_vec()
}

fn framed(body: &[u8]) -> BytesMut {
    let mut frame = BytesMut::new();
    frame.put_u32(body.len() as u32);
    frame.put_slice(body);
    frame
}

#[test]
fn a_whole_frame_is_read() {
    let mut frame = BytesMut::from(&call_frame()[..]);
    assert!(ServerCodec::default().decode(&mut frame).unwrap().is_some());
}

#[test]
fn a_frame_that_claims_more_than_it_holds_is_an_error() {
    let frame = call_frame();
    for start in LENGTH_BYTES..frame.len() {
        let mut damaged = frame.clone();
        let end = damaged.len().min(start + size_of::<u64>());
        damaged[start..end].fill(0xff);
        let decoded = ServerCodec::default().decode(&mut BytesMut::from(&damaged[..]));
        assert!(decoded.is_err(), "damaged from {start}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_bytes_are_an_error_to_both_sides(body in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(ServerCodec::default().decode(&mut framed(&body)).is_err());
        prop_assert!(ClientCodec::default().decode(&mut framed(&body)).is_err());
    }

    #[test]
    fn a_damaged_frame_is_an_error(position in any::<prop::sample::Index>(), flipped in 1..=u8::MAX) {
        let mut damaged = call_frame();
        let index = LENGTH_BYTES + position.index(damaged.len() - LENGTH_BYTES);
        damaged[index] ^= flipped;
        prop_assert!(ServerCodec::default().decode(&mut BytesMut::from(&damaged[..])).is_err());
    }
}
