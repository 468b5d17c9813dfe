//! Encoded messages behind a checksum.
//!
//! The decoder trusts the lengths that it finds: a damaged one would make it
//! ask for any amount of memory. So nothing is decoded before its checksum is
//! found right. It guards against damage and against bytes of other programs,
//! not against a sender that means harm.

use nanoserde::{DeBin, SerBin};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of the checksum before the message.
pub const CHECKSUM_BYTES: usize = 8;

/// Mixed into the checksum, so that bytes of other programs are refused.
const CHECKSUM_SEED: u64 = 0x6372_6f66_7472_696c;

/// Why bytes are not a message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// They are not of this protocol, or they were damaged.
    #[error("checksum differs")]
    Checksum,
    /// They hold no message of this kind.
    #[error("malformed message: {0}")]
    Malformed(String),
}

/// The message behind its checksum.
pub fn encode(message: &impl SerBin) -> Vec<u8> {
    let mut bytes = vec![0; CHECKSUM_BYTES];
    message.ser_bin(&mut bytes);
    let checksum = checksum_of(&bytes[CHECKSUM_BYTES..]);
    bytes[..CHECKSUM_BYTES].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// The message of bytes that [`encode`] made.
pub fn decode<T: DeBin>(bytes: &[u8]) -> Result<T, MessageError> {
    let (checksum, body) = bytes
        .split_first_chunk::<CHECKSUM_BYTES>()
        .ok_or(MessageError::Checksum)?;
    if u64::from_le_bytes(*checksum) != checksum_of(body) {
        return Err(MessageError::Checksum);
    }
    T::deserialize_bin(body).map_err(|error| MessageError::Malformed(error.to_string()))
}

fn checksum_of(body: &[u8]) -> u64 {
    xxh3_64_with_seed(body, CHECKSUM_SEED)
}
