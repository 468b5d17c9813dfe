//! Membership probes over UDP, one message a datagram. The types belong to the
//! state machine that speaks them.

pub use croftrill_state::membership::{
    DatagramError, Health, MemberUpdate, Probe, ProbeKind, MAX_DATAGRAM_BYTES,
};
